"""JSON messages of the etcd v3 gateway that the store client uses.

The gateway encodes keys and values in base64 and 64-bit numbers as strings, and
omits fields that are zero or empty.
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
    """Header of every reply, with the store's revision."""

    revision: int = 0


class KeyValue(msgspec.Struct, frozen=True):
    """A key with its value; msgspec decodes their base64 text to bytes."""

    key: bytes = b""
    value: bytes = b""
    mod_revision: int = 0


class RangeReply(msgspec.Struct, frozen=True):
    """Reply to a range request; each key is decoded on its own."""

    header: Header = Header()
    kvs: tuple[msgspec.Raw, ...] = ()


class OperationReply(msgspec.Struct, frozen=True):
    """Reply to one operation of a transaction; None if it is not a range request."""

    response_range: RangeReply | None = None


class TxnReply(msgspec.Struct, frozen=True):
    """Reply to a transaction."""

    header: Header = Header()
    succeeded: bool = False
    responses: tuple[OperationReply, ...] = ()


class WatchEvent(msgspec.Struct, frozen=True):
    """One change of a watched key."""

    type: str = "PUT"
    kv: msgspec.Raw = msgspec.Raw(b"{}")


class WatchResult(msgspec.Struct, frozen=True):
    """A batch of changes, or the creation or cancellation of a watch."""

    header: Header = Header()
    created: bool = False
    canceled: bool = False
    compact_revision: int = 0
    events: tuple[WatchEvent, ...] = ()


class WatchMessage(msgspec.Struct, frozen=True):
    """One message of a watch stream."""

    result: WatchResult | None = None


def prefix_end(prefix: bytes) -> bytes:
    """Return the range end that covers exactly the keys that start with `prefix`."""
    trimmed = prefix.rstrip(b"\xff")
    if not trimmed:
        return b"\x00"
    return trimmed[:-1] + bytes([trimmed[-1] + 1])
