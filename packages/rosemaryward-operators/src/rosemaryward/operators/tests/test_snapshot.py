import json

import pytest

from rosemaryward.decisions.document.stored import (
    document_key,
    encode_primary,
    primary_key,
)
from rosemaryward.decisions.errors import DocumentError, StoreError
from rosemaryward.decisions.messages import PrimaryRecord
from rosemaryward.operators.configuration import Change, ConfigurationService
from rosemaryward.operators.snapshot import (
    StaleSnapshotError,
    decode_snapshot,
    export_snapshot,
    import_snapshot,
)
from rosemaryward.operators.tests.examples import Fault, MemoryStore, example_document

PRIMARY = primary_key("production", "orders")


async def filled_store(versions: int, term: int) -> MemoryStore:
    store = MemoryStore()
    service = ConfigurationService(store, "production", now=lambda: "2026-01-01")
    for number in range(versions):
        change = Change(author="ana", base_version=number)
        await service.apply(example_document(orders=number + 1), change)
    record = PrimaryRecord(database="orders", term=term, instance=f"i{term % 3}")
    await store.compare_and_swap(PRIMARY, encode_primary(record), 0)
    return store


def values(store: MemoryStore) -> dict[str, bytes]:
    return {key: value.value for key, value in store.values.items()}


@pytest.mark.looptime
async def test_round_trip_into_an_empty_store():
    """Guards against a snapshot with missing keys."""
    store = await filled_store(3, term=4)
    data = await export_snapshot(store, "production")
    empty = MemoryStore()
    report = await import_snapshot(empty, "production", data)
    assert values(empty) == values(store)
    assert empty.writes[-1].key == document_key("production")
    again = await import_snapshot(empty, "production", data)
    assert (again.written, again.unchanged) == (0, report.written)


@pytest.mark.looptime
@pytest.mark.parametrize(
    ("snapshot", "present"),
    [
        pytest.param((2, 9), (3, 4), id="older-document"),
        pytest.param((3, 4), (2, 9), id="older-term"),
        pytest.param((2, 4), (3, 9), id="both-older"),
    ],
)
async def test_stale_snapshot_is_refused(snapshot, present):
    """Guards against an old snapshot that restores a replaced document or primary."""
    data = await export_snapshot(await filled_store(*snapshot), "production")
    store = await filled_store(*present)
    before = values(store)
    with pytest.raises(StaleSnapshotError, match=r"holds (document|primaries/orders)"):
        await import_snapshot(store, "production", data)
    assert values(store) == before


@pytest.mark.looptime
async def test_newer_snapshot_is_imported():
    """Guards against a newer snapshot that is refused or imported in part."""
    newer = await filled_store(3, term=9)
    data = await export_snapshot(newer, "production")
    store = await filled_store(2, term=4)
    await import_snapshot(store, "production", data)
    for key in (document_key("production"), PRIMARY):
        assert values(store)[key] == values(newer)[key]


@pytest.mark.looptime
async def test_change_during_the_import():
    """Guards against an import that overwrites a concurrent change."""
    data = await export_snapshot(await filled_store(3, term=4), "production")
    store = await filled_store(1, term=4)
    service = ConfigurationService(store, "production")

    async def change_first(method: str, key: str) -> Fault:
        if method == "swap" and key == document_key("production"):
            store.choose_fault = MemoryStore().choose_fault
            await service.apply(
                example_document(stock=9), Change(author="ben", base_version=1)
            )
        return Fault.NONE

    store.choose_fault = change_first
    with pytest.raises(StaleSnapshotError, match="during the import"):
        await import_snapshot(store, "production", data)
    assert (await service.show()).document == example_document(stock=9)


@pytest.mark.looptime
async def test_interrupted_import_can_be_repeated():
    """Guards against an import that cannot be completed after a store failure."""
    source = await filled_store(3, term=4)
    data = await export_snapshot(source, "production")
    store = MemoryStore()
    calls = 0

    async def fail_later(method: str, key: str) -> Fault:
        nonlocal calls
        calls += 1
        return Fault.NONE if calls < 4 else Fault.LOST_REQUEST

    store.choose_fault = fail_later
    with pytest.raises(StoreError):
        await import_snapshot(store, "production", data)
    assert document_key("production") not in store.values
    store.choose_fault = MemoryStore().choose_fault
    await import_snapshot(store, "production", data)
    assert values(store) == values(source)


@pytest.mark.looptime
@pytest.mark.parametrize(
    ("field", "value", "path"),
    [
        ("format_version", 2, "snapshot.format_version"),
        ("environment", "trial", "snapshot.environment"),
        ("checksum", "0" * 64, "snapshot.checksum"),
        ("items", [], "snapshot.checksum"),
        ("extra", 1, "snapshot"),
    ],
)
async def test_corrupt_snapshot(field, value, path):
    """Guards against importing a corrupt file or that of another environment."""
    data = await export_snapshot(await filled_store(1, term=1), "production")
    changed = json.loads(data) | {field: value}
    with pytest.raises(DocumentError) as caught:
        decode_snapshot(json.dumps(changed).encode(), "production")
    assert caught.value.path == path
