"""Bearer tokens of operators, their roles and their rate limits."""

import hashlib
import hmac
from collections.abc import Iterable
from enum import StrEnum
from pathlib import Path

import anyio
import msgspec

from rosemaryward.decisions.errors import SettingsError

__all__ = ["Role", "TokenBucket", "TokenEntry", "TokenRegistry", "hash_token"]

TOKEN_REQUESTS_PER_S = 20.0
TOKEN_REQUEST_BURST = 40.0
FAILED_LOGINS_PER_S = 5.0
FAILED_LOGIN_BURST = 20.0


class Role(StrEnum):
    """Group of operations that a token may call."""

    READ = "read"
    CHANGE = "change"
    DRAIN = "drain"


def hash_token(token: str) -> str:
    """Return the SHA-256 hash of a token as hex text.

    Tokens must be random strings of at least 32 characters, because a plain hash
    does not protect guessable ones.
    """
    return hashlib.sha256(token.encode()).hexdigest()


class TokenEntry(msgspec.Struct, frozen=True, kw_only=True, forbid_unknown_fields=True):
    """A token that the API accepts.

    Parameters
    ----------
    name : str
        Name of the operator in the audit log.
    sha256 : str
        Hash of the token as hex text.
    roles : tuple of Role
    """

    name: str
    sha256: str
    roles: tuple[Role, ...]


class TokenBucket:
    """Rate limiter that permits bursts.

    Parameters
    ----------
    rate : float
        Permitted requests per second on average.
    burst : float
        Number of requests permitted at once.
    """

    __slots__ = ("burst", "rate", "tokens", "updated_at_s")

    def __init__(self, rate: float, burst: float) -> None:
        self.rate = rate
        self.burst = burst
        self.tokens = burst
        self.updated_at_s = 0.0

    def take(self) -> bool:
        """Return whether a request is within the rate, and count it if so."""
        now = anyio.current_time()
        self.tokens = min(
            self.burst, self.tokens + max(0.0, now - self.updated_at_s) * self.rate
        )
        self.updated_at_s = now
        if self.tokens < 1.0:
            return False
        self.tokens -= 1.0
        return True


class TokenRegistry:
    """The accepted tokens with their rate limiters.

    Parameters
    ----------
    entries : iterable of TokenEntry

    Attributes
    ----------
    failed_logins : TokenBucket
        Limits requests with an unknown token.
    """

    __slots__ = ("buckets", "entries", "failed_logins")

    def __init__(self, entries: Iterable[TokenEntry]) -> None:
        self.entries = tuple(entries)
        self.buckets = {
            entry.name: TokenBucket(TOKEN_REQUESTS_PER_S, TOKEN_REQUEST_BURST)
            for entry in self.entries
        }
        self.failed_logins = TokenBucket(FAILED_LOGINS_PER_S, FAILED_LOGIN_BURST)

    @classmethod
    def load(cls, path: Path) -> "TokenRegistry":
        """Read the entries from a JSON file.

        Raises
        ------
        SettingsError
            If the file cannot be read or an entry is malformed.
        """
        try:
            data = path.read_bytes()
            return cls(msgspec.json.decode(data, type=list[TokenEntry]))
        except (OSError, msgspec.MsgspecError) as error:
            raise SettingsError(f"token file {path}: {error}") from error

    def find(self, token: str) -> TokenEntry | None:
        """Return the entry of a token, or None, in time independent of the entry."""
        digest = hash_token(token)
        found = None
        for entry in self.entries:
            if hmac.compare_digest(entry.sha256.lower(), digest):
                found = entry
        return found

    def allow(self, entry: TokenEntry) -> bool:
        """Return whether a request is within the rate of its token, and count it."""
        return self.buckets[entry.name].take()
