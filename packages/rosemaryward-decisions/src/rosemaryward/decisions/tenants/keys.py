"""Keys of callers, kept as digests so that no log line or message can contain one."""

import hashlib
import secrets

__all__ = ["CallerKey"]

DIGEST_BYTES = 32
FINGERPRINT_BYTES = 4

# Random for each process: a fingerprint in a log file does not allow to test guesses.
_fingerprint_secret = secrets.token_bytes(32)


class CallerKey:
    """Key that a caller sent or that the configuration lists.

    Parameters
    ----------
    key : bytes
        Key as on the wire; it is not kept.

    Attributes
    ----------
    digest : bytes
        BLAKE2b digest of the key, empty if the key is empty.
    fingerprint : str
        Eight hexadecimal digits that identify the key in the log lines of this
        process, empty if the key is empty.
    """

    __slots__ = ("digest", "fingerprint")

    def __init__(self, key: bytes) -> None:
        self.digest = b""
        self.fingerprint = ""
        if key:
            self.digest = hashlib.blake2b(key, digest_size=DIGEST_BYTES).digest()
            self.fingerprint = hashlib.blake2b(
                key, digest_size=FINGERPRINT_BYTES, key=_fingerprint_secret
            ).hexdigest()

    def __repr__(self) -> str:
        return f"CallerKey({self.fingerprint})"
