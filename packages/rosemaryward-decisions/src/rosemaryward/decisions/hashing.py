"""Stable hashes that all proxies agree on."""

from hashlib import blake2b

__all__ = ["stable_hash"]

_HASH_BYTES = 8
_SHIFT = 1  # digests travel as MessagePack integers; 63 bits fit a signed one


def stable_hash(*parts: str) -> int:
    """Return a 63-bit hash of the parts that does not vary between processes."""
    data = "\0".join(parts).encode()
    digest = blake2b(data, digest_size=_HASH_BYTES).digest()
    return int.from_bytes(digest) >> _SHIFT
