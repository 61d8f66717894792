"""Export and import of all values of one environment in the store."""

import hashlib
from collections.abc import Iterable

import anyio
import msgspec

from rosemaryward.decisions.document.stored import (
    audit_key,
    decode_primary,
    decode_stored,
    document_key,
    environment_prefix,
    history_key,
    primary_key,
)
from rosemaryward.decisions.errors import ConflictError, DocumentError, StoreError
from rosemaryward.decisions.interfaces import Store, VersionedValue
from rosemaryward.operators.audit import AuditEntry, utc_now

__all__ = [
    "FORMAT_VERSION",
    "ImportReport",
    "Snapshot",
    "SnapshotItem",
    "StaleSnapshotError",
    "decode_snapshot",
    "export_snapshot",
    "import_snapshot",
]

FORMAT_VERSION = 1
MAX_INLINE_BYTES = 262_144


class StaleSnapshotError(ConflictError):
    """The import would replace state in the store with older or conflicting state."""


class SnapshotItem(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """A value of the store, encoded as base64 in JSON."""

    key: str
    value: bytes


class Snapshot(msgspec.Struct, frozen=True, kw_only=True, forbid_unknown_fields=True):
    """Contents of a snapshot file.

    Parameters
    ----------
    format_version : int
    environment : str
    exported_at : str
    checksum : str
        SHA-256 over the keys and values, as hex text.
    items : tuple of SnapshotItem
        Ordered by key.
    """

    format_version: int
    environment: str
    exported_at: str
    checksum: str
    items: tuple[SnapshotItem, ...]


class ImportReport(msgspec.Struct, frozen=True, kw_only=True):
    """Number of values that an import wrote, and that it found up to date."""

    written: int
    unchanged: int


def _checksum(environment: str, items: Iterable[SnapshotItem]) -> str:
    digest = hashlib.sha256(environment.encode())
    for item in items:
        for part in (item.key.encode(), item.value):
            digest.update(len(part).to_bytes(8, "big"))
            digest.update(part)
    return digest.hexdigest()


async def export_snapshot(store: Store, environment: str) -> bytes:
    """Return a snapshot of an environment as JSON."""
    values = await store.list(environment_prefix(environment))
    items = tuple(
        SnapshotItem(value.key, value.value)
        for value in sorted(values, key=lambda value: value.key)
    )
    snapshot = Snapshot(
        format_version=FORMAT_VERSION,
        environment=environment,
        exported_at=utc_now(),
        checksum=_checksum(environment, items),
        items=items,
    )
    return msgspec.json.format(msgspec.json.encode(snapshot), indent=1)


def decode_snapshot(data: bytes, environment: str) -> Snapshot:
    """Decode and check a snapshot.

    Raises
    ------
    DocumentError
        If the file is malformed or corrupt, or has another format version or
        environment.
    """
    try:
        snapshot = msgspec.json.decode(data, type=Snapshot)
    except msgspec.MsgspecError as error:
        raise DocumentError("snapshot", f"malformed file: {error}") from error
    prefix = environment_prefix(environment)
    checks = [
        ("format_version", FORMAT_VERSION, snapshot.format_version),
        ("environment", environment, snapshot.environment),
        ("checksum", _checksum(environment, snapshot.items), snapshot.checksum),
    ]
    for path, expected, found in checks:
        if expected != found:
            problem = f"expected {expected!r}, found {found!r}"
            raise DocumentError(f"snapshot.{path}", problem)
    for index, item in enumerate(snapshot.items):
        path = f"snapshot.items[{index}]"
        if not item.key.startswith(prefix):
            raise DocumentError(
                f"{path}.key", f"expected {prefix}..., found {item.key}"
            )
    return snapshot


def _state_number(key: str, value: bytes, environment: str, path: str) -> int:
    """Return the version, term or sequence of a value, 0 for unknown keys.

    Values of one key are ordered by this number.
    """
    try:
        if key == document_key(environment) or key.startswith(
            history_key(environment, 0).rpartition("/")[0]
        ):
            return decode_stored(value).version
        if key.startswith(primary_key(environment, "")):
            return decode_primary(value).term
        if key == audit_key(environment, 0):
            return msgspec.json.decode(value, type=int)
        if key.startswith(audit_key(environment, 0).rpartition("/")[0]):
            return msgspec.json.decode(value, type=AuditEntry).sequence
    except msgspec.MsgspecError as error:
        raise DocumentError(path, f"malformed value: {error}") from error
    return 0


def _is_protected(key: str, environment: str) -> bool:
    """Return whether a key is the document or a primary record."""
    is_document = key == document_key(environment)
    return is_document or key.startswith(primary_key(environment, ""))


def _check_not_stale(
    environment: str,
    item: SnapshotItem,
    number: int,
    present: VersionedValue,
    found: int,
) -> None:
    """Raise `StaleSnapshotError` for an older document or primary record."""
    if not _is_protected(item.key, environment):
        return
    name = item.key.removeprefix(environment_prefix(environment))
    if number < found:
        raise StaleSnapshotError(
            f"the store holds {name} of version or term {found}, the snapshot of "
            f"{number}; an older snapshot is accepted by an empty store only"
        )
    if number == found and item.value != present.value:
        raise StaleSnapshotError(
            f"the store and the snapshot hold different values of {name} with "
            f"version or term {found}"
        )


def plan_import(
    environment: str, data: bytes, present: dict[str, VersionedValue]
) -> tuple[list[SnapshotItem], int]:
    """Return the items to write, the document last, and the total number of items.

    Raises
    ------
    DocumentError
        If the file is not a valid snapshot of the environment.
    StaleSnapshotError
        If the store holds a newer document or a newer term of a primary.
    """
    snapshot = decode_snapshot(data, environment)
    writes = []
    for item in snapshot.items:
        number = _state_number(item.key, item.value, environment, item.key)
        old = present.get(item.key)
        if old is not None:
            found = _state_number(item.key, old.value, environment, item.key)
            _check_not_stale(environment, item, number, old, found)
            if found >= number:
                continue
        writes.append(item)
    document = document_key(environment)
    writes.sort(key=lambda item: item.key == document)
    return writes, len(snapshot.items)


async def import_snapshot(store: Store, environment: str, data: bytes) -> ImportReport:
    """Write a snapshot to the store.

    The document is written last. An interrupted import therefore leaves the previous
    document in force and can be repeated.

    Raises
    ------
    DocumentError
        If the file is not a valid snapshot of the environment.
    StaleSnapshotError
        If the store holds a newer document or a newer term of a primary.
    StoreError
        If the store does not reply.
    """
    values = await store.list(environment_prefix(environment))
    present = {value.key: value for value in values}
    if len(data) <= MAX_INLINE_BYTES:
        writes, count = plan_import(environment, data, present)
    else:
        # Decoding every version on the event loop would delay heartbeats.
        writes, count = await anyio.to_thread.run_sync(
            plan_import, environment, data, present
        )
    for item in writes:
        old = present.get(item.key)
        await _put(store, item, 0 if old is None else old.version)
    return ImportReport(written=len(writes), unchanged=count - len(writes))


async def _put(store: Store, item: SnapshotItem, version: int) -> None:
    try:
        await store.compare_and_swap(item.key, item.value, version)
    except ConflictError as error:
        found = await store.get(item.key)
        if found is None or found.value != item.value:
            raise StaleSnapshotError(f"{item.key} changed during the import") from error
    except StoreError:
        found = await store.get(item.key)
        if found is None or found.value != item.value:
            raise
