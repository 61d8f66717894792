"""JSON encoding of the etcd v3 gateway.

Keys and values are base64 strings, 64-bit integers are decimal strings, and
replies omit fields that have their default value.
"""

import base64
import binascii
from typing import Any

import msgspec

from rosemaryward.bench.store.values import Event, KeyValue

__all__ = [
    "StoreRefusalError",
    "encode_event",
    "encode_kv",
    "reply_header",
    "integer_field",
    "bytes_field",
]

INVALID_ARGUMENT = 3  # gRPC status code
MEMBER_ID = "1"


class StoreRefusalError(Exception):
    """Error reply to a request that the store refuses.

    Parameters
    ----------
    status : int
        HTTP status.
    code : int
        gRPC status code.
    message : str
        Error text.
    """

    def __init__(self, status: int, code: int, message: str) -> None:
        super().__init__(message)
        self.status = status
        self.body = msgspec.json.encode(
            {"error": message, "code": code, "message": message}
        )


def bytes_field(body: dict[str, Any], field: str) -> bytes:
    """Decode a base64 field of a request; return empty bytes if it is missing."""
    try:
        return base64.b64decode(body.get(field, ""), validate=True)
    except (binascii.Error, TypeError, ValueError) as error:
        raise StoreRefusalError(
            400, INVALID_ARGUMENT, f"{field}: expected base64 text"
        ) from error


def integer_field(body: dict[str, Any], field: str) -> int:
    """Return an integer field, given as a number or string; 0 if it is missing."""
    try:
        return int(body.get(field, 0))
    except (TypeError, ValueError) as error:
        raise StoreRefusalError(
            400, INVALID_ARGUMENT, f"{field}: expected an integer"
        ) from error


def reply_header(revision: int) -> dict[str, str]:
    """Return the header of a reply."""
    return {
        "cluster_id": MEMBER_ID,
        "member_id": MEMBER_ID,
        "revision": str(revision),
        "raft_term": "1",
    }


def encode_kv(item: KeyValue) -> dict[str, str]:
    """Encode a key and its value."""
    fields = {
        "key": base64.b64encode(item.key).decode(),
        "create_revision": str(item.create_revision),
        "mod_revision": str(item.mod_revision),
        "version": str(item.version),
        "value": base64.b64encode(item.value).decode(),
        "lease": str(item.lease),
    }
    return {name: text for name, text in fields.items() if text not in ("", "0")}


def encode_event(event: Event) -> dict[str, Any]:
    """Encode a change of a key."""
    encoded: dict[str, Any] = {"kv": encode_kv(event.kv)}
    if event.deleted:
        encoded["type"] = "DELETE"
    return encoded
