"""JSON messages of the etcd v3 gateway that the store client uses.

The gateway carries keys and values in base64, writes 64-bit numbers as strings
and leaves out fields that are zero or empty.
"""

import msgspec

__all__ = [
    "Header",
    "KeyValue",
    "RangeReply",
    "OperationReply",
    "TxnReply",
    "WatchEvent",
    "WatchResult",
    "WatchMessage",
    "prefix_end",
]


class Header(msgspec.Struct, frozen=True):
    """Common part of the answers."""

    revision: int = 0


class KeyValue(msgspec.Struct, frozen=True):
    """One key with its value; msgspec decodes the base64 text to bytes."""

    key: bytes = b""
    value: bytes = b""
    mod_revision: int = 0


class RangeReply(msgspec.Struct, frozen=True):
    """Answer to a range call."""

    header: Header = Header()
    kvs: tuple[KeyValue, ...] = ()


class OperationReply(msgspec.Struct, frozen=True):
    """Answer to one operation of a transaction; None for other kinds."""

    response_range: RangeReply | None = None


class TxnReply(msgspec.Struct, frozen=True):
    """Answer to a transaction."""

    header: Header = Header()
    succeeded: bool = False
    responses: tuple[OperationReply, ...] = ()


class WatchEvent(msgspec.Struct, frozen=True):
    """One change of a watched key."""

    type: str = "PUT"
    kv: KeyValue = KeyValue()


class WatchResult(msgspec.Struct, frozen=True):
    """Batch of changes, or the confirmation or end of a watch."""

    header: Header = Header()
    created: bool = False
    canceled: bool = False
    compact_revision: int = 0
    events: tuple[WatchEvent, ...] = ()


class WatchMessage(msgspec.Struct, frozen=True):
    """One message of the watch stream."""

    result: WatchResult | None = None


def prefix_end(prefix: bytes) -> bytes:
    """Return the smallest key after all keys that start with `prefix`."""
    trimmed = prefix.rstrip(b"\xff")
    if not trimmed:
        return b"\x00"
    return trimmed[:-1] + bytes([trimmed[-1] + 1])
