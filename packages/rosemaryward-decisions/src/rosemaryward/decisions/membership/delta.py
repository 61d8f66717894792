"""Deltas between two versions of the configuration document.

A change touches a few fields of a document of up to a megabyte, so a proxy that
has the previous version fetches only the delta.
"""

import re
from hashlib import blake2b

import msgspec

__all__ = ["DocumentHistory", "apply_delta", "make_delta"]

KEPT_VERSIONS = 4
_CHECKSUM_BYTES = 8
_CHUNK_PATTERN = re.compile(rb"[^}]*}|[^}]+")


class _Copy(msgspec.Struct, frozen=True, array_like=True, tag="c"):
    """Copy `count` chunks of the base, starting with chunk number `start`."""

    start: int
    count: int


class _Literal(msgspec.Struct, frozen=True, array_like=True, tag="l"):
    """Insert these bytes."""

    data: bytes


class _Delta(msgspec.Struct, frozen=True, array_like=True):
    """Ordered parts of the new document and the checksum of the whole document."""

    parts: list[_Copy | _Literal]
    checksum: bytes


_decoder = msgspec.msgpack.Decoder(_Delta)


def make_delta(base: bytes, data: bytes) -> bytes:
    """Return the encoded delta from which `apply_delta` rebuilds `data`.

    Parameters
    ----------
    base : bytes
        Document that the receiver has.
    data : bytes
        Document that the receiver needs.

    Notes
    -----
    Documents are split after closing braces, so that a chunk holds about one
    instance, rule or user. A chunk that occurs anywhere in the base is replaced
    by its number there.
    """
    chunk_numbers: dict[bytes, int] = {}
    base_chunks = _CHUNK_PATTERN.findall(base)
    for number, chunk in enumerate(base_chunks):
        chunk_numbers.setdefault(chunk, number)
    parts: list[_Copy | _Literal] = []
    next_number = -1
    for chunk in _CHUNK_PATTERN.findall(data):
        last = parts[-1] if parts else None
        if 0 <= next_number < len(base_chunks) and base_chunks[next_number] == chunk:
            assert isinstance(last, _Copy)
            parts[-1] = _Copy(last.start, last.count + 1)
            next_number += 1
        elif chunk in chunk_numbers:
            parts.append(_Copy(chunk_numbers[chunk], 1))
            next_number = chunk_numbers[chunk] + 1
        else:
            parts.append(_Literal(chunk))
            next_number = -1
    return msgspec.msgpack.encode(_Delta(parts, _checksum(data)))


def apply_delta(base: bytes, delta: bytes) -> bytes | None:
    """Return the document built from `base` and a delta, None if they do not match."""
    try:
        decoded = _decoder.decode(delta)
    except (msgspec.DecodeError, UnicodeDecodeError):
        return None
    chunks = _CHUNK_PATTERN.findall(base)
    built = []
    for part in decoded.parts:
        match part:
            case _Literal():
                built.append(part.data)
            case _Copy():
                if not 0 <= part.start <= part.start + part.count <= len(chunks):
                    return None
                built.extend(chunks[part.start : part.start + part.count])
    data = b"".join(built)
    return data if _checksum(data) == decoded.checksum else None


class DocumentHistory:
    """Recent versions of the document and the deltas to the newest one."""

    __slots__ = ("_deltas", "_versions")

    def __init__(self) -> None:
        self._versions: dict[int, bytes] = {}
        self._deltas: dict[int, bytes] = {}

    def add(self, version: int, data: bytes) -> None:
        """Add a newer version and discard those beyond the limit."""
        self._versions[version] = data
        self._deltas.clear()
        while len(self._versions) > KEPT_VERSIONS:
            del self._versions[next(iter(self._versions))]

    def delta(self, base_version: int) -> bytes | None:
        """Return the encoded delta from `base_version` to the newest version.

        Returns
        -------
        bytes or None
            None if the base is not kept or the delta is no smaller than the
            document.
        """
        base = self._versions.get(base_version)
        if base is None:
            return None
        newest = self._versions[max(self._versions)]
        if base_version not in self._deltas:
            self._deltas[base_version] = make_delta(base, newest)
        delta = self._deltas[base_version]
        return delta if len(delta) < len(newest) else None


def _checksum(data: bytes) -> bytes:
    return blake2b(data, digest_size=_CHECKSUM_BYTES).digest()
