"""Encoding and keys of the document in the platform's store.

The version is part of the value, so it remains monotonic when operators restore a
lost store from a snapshot and the store's own revisions start again.
"""

import zlib

import msgspec

from rosemaryward.decisions.decoding import decode_json
from rosemaryward.decisions.document.schema import Document
from rosemaryward.decisions.messages import PrimaryRecord
from rosemaryward.decisions.types import Count

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
MAX_STORED_BYTES = 1_000_000  # largest value that the store accepts
# With values of the largest size, the history takes half a gigabyte of the store.
MAX_HISTORY_VERSIONS = 500
COMPRESSION_THRESHOLD_BYTES = 65_536  # smaller values stay readable in the store
MAX_DECODED_BYTES = 16_000_000  # limits the memory that a corrupt value takes


class StoredDocument(msgspec.Struct, frozen=True, kw_only=True):
    """A document version with the metadata of its change.

    Parameters
    ----------
    version : int
        Number of the version, from 1; every accepted change raises it by one.
    author : str
        Author of the change.
    comment : str
        Author's comment on the change.
    changed_at : str
        Time of the change, ISO 8601, UTC.
    document : Document
    """

    version: Count
    author: str
    comment: str
    changed_at: str
    document: Document


def encode_stored(stored: StoredDocument) -> bytes:
    """Encode a document version as JSON for the store and the gossip channel.

    A large document is compressed, since the store limits the size of values and
    every proxy pulls each version.
    """
    data = msgspec.json.encode(stored)
    return data if len(data) < COMPRESSION_THRESHOLD_BYTES else zlib.compress(data)


def _decompress(data: bytes) -> bytes:
    decompressor = zlib.decompressobj()
    try:
        result = decompressor.decompress(data, MAX_DECODED_BYTES)
    except zlib.error as error:
        raise msgspec.ValidationError(f"stored document is corrupt: {error}") from error
    if not decompressor.eof:
        raise msgspec.ValidationError(
            f"expected a complete stored document of at most {MAX_DECODED_BYTES} "
            "bytes, found a truncated or larger one"
        )
    return result


def decode_stored(data: bytes) -> StoredDocument:
    """Decode a value that `encode_stored` returned.

    Raises
    ------
    msgspec.ValidationError
        If the value is corrupt or too large, or a field is missing, unknown or of
        the wrong type.
    """
    text = data if data.startswith(b"{") else _decompress(data)
    return decode_json(text, StoredDocument)


def encode_primary(record: PrimaryRecord) -> bytes:
    """Encode a primary record as JSON for the store."""
    return msgspec.json.encode(record)


def decode_primary(data: bytes) -> PrimaryRecord:
    """Decode a value that `encode_primary` returned."""
    return decode_json(data, PrimaryRecord)


def environment_prefix(environment: str) -> str:
    """Return the prefix of all keys of an environment."""
    return f"{KEY_PREFIX}/{environment}/"


def document_key(environment: str) -> str:
    """Return the key of the document in force."""
    return f"{KEY_PREFIX}/{environment}/document"


def history_key(environment: str, version: int) -> str:
    """Return the key of an earlier document version.

    The store keeps the newest `MAX_HISTORY_VERSIONS` versions, so keys are reused.
    """
    return f"{KEY_PREFIX}/{environment}/history/{version % MAX_HISTORY_VERSIONS:012d}"


def primary_key(environment: str, database: str) -> str:
    """Return the key of a database's primary record."""
    return f"{KEY_PREFIX}/{environment}/primaries/{database}"


def audit_key(environment: str, sequence: int) -> str:
    """Return the key of an audit entry; keys sort by sequence."""
    return f"{KEY_PREFIX}/{environment}/audit/{sequence:012d}"
