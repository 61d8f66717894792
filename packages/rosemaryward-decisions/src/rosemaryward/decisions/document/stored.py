"""Form and place of the document in the platform's store.

The version is part of the value, so it stays monotonic when operators rebuild a
lost store from a snapshot and the store's own revisions start again.
"""

import zlib

import msgspec

from rosemaryward.decisions.document.schema import Document
from rosemaryward.decisions.messages import PrimaryRecord

__all__ = [
    "MAX_HISTORY_VERSIONS",
    "MAX_STORED_BYTES",
    "StoredDocument",
    "encode_stored",
    "decode_stored",
    "encode_primary",
    "decode_primary",
    "environment_prefix",
    "document_key",
    "history_key",
    "primary_key",
    "audit_key",
]

KEY_PREFIX = "/rosemaryward"
MAX_STORED_BYTES = 1_000_000  # bytes of a value that the store accepts
# With values of the largest size, the history takes half a gigabyte of the store.
MAX_HISTORY_VERSIONS = 500  # versions
COMPRESSED_FROM = 65_536  # bytes; smaller values stay readable in the store
DECODED_LIMIT = 16_000_000  # bytes; bounds the memory that a corrupt value takes


class StoredDocument(msgspec.Struct, frozen=True, kw_only=True):
    """A document with the facts of the change that brought it.

    Parameters
    ----------
    version : int
        Raised by one with every accepted change, from 1.
    author : str
    comment : str
    changed_at : str
        Time of the change, ISO 8601, UTC.
    document : Document
    """

    version: int
    author: str
    comment: str
    changed_at: str
    document: Document


def encode_stored(stored: StoredDocument) -> bytes:
    """Return the JSON form that the store and the gossip channel carry.

    A large document is compressed, since the store limits the size of values and
    every proxy pulls each version.
    """
    data = msgspec.json.encode(stored)
    return data if len(data) < COMPRESSED_FROM else zlib.compress(data)


def _decompress(data: bytes) -> bytes:
    decompressor = zlib.decompressobj()
    try:
        result = decompressor.decompress(data, DECODED_LIMIT)
    except zlib.error as error:
        raise msgspec.ValidationError(f"corrupt stored document: {error}") from error
    if not decompressor.eof:
        raise msgspec.ValidationError("stored document is cut off or too large")
    return result


def decode_stored(data: bytes) -> StoredDocument:
    """Parse the form that `encode_stored` returns.

    Raises
    ------
    msgspec.ValidationError
        If a field is missing, unknown or of the wrong type.
    """
    text = data if data.startswith(b"{") else _decompress(data)
    return msgspec.json.decode(text, type=StoredDocument)


def encode_primary(record: PrimaryRecord) -> bytes:
    """Return the JSON form of a primary record in the store."""
    return msgspec.json.encode(record)


def decode_primary(data: bytes) -> PrimaryRecord:
    """Parse the form that `encode_primary` returns."""
    return msgspec.json.decode(data, type=PrimaryRecord)


def environment_prefix(environment: str) -> str:
    """Return the prefix of all keys of an environment."""
    return f"{KEY_PREFIX}/{environment}/"


def document_key(environment: str) -> str:
    """Return the key of the document in force."""
    return f"{KEY_PREFIX}/{environment}/document"


def history_key(environment: str, version: int) -> str:
    """Return the key of an earlier document.

    The store keeps the newest `MAX_HISTORY_VERSIONS` versions, so a key is used again.
    """
    return f"{KEY_PREFIX}/{environment}/history/{version % MAX_HISTORY_VERSIONS:012d}"


def primary_key(environment: str, database: str) -> str:
    """Return the key of a database's primary record."""
    return f"{KEY_PREFIX}/{environment}/primaries/{database}"


def audit_key(environment: str, sequence: int) -> str:
    """Return the key of an audit entry; keys sort by sequence."""
    return f"{KEY_PREFIX}/{environment}/audit/{sequence:012d}"
