"""Hashes that are the same in all proxies."""

from hashlib import blake2b

__all__ = ["stable_hash"]

_DIGEST_BYTES = 8
_DROPPED_BITS = 1  # hashes are sent as MessagePack integers; 63 bits fit a signed one


def stable_hash(*parts: str) -> int:
    """Return a 63-bit hash of the parts that is the same in every process."""
    data = "\0".join(parts).encode()
    digest = blake2b(data, digest_size=_DIGEST_BYTES).digest()
    return int.from_bytes(digest) >> _DROPPED_BITS
