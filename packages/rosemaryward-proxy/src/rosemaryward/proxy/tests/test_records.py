import random

import anyio
import pytest

from rosemaryward.decisions.document.stored import (
    decode_primary,
    encode_primary,
    primary_key,
)
from rosemaryward.decisions.errors import ConflictError, StoreError
from rosemaryward.decisions.interfaces import VersionedValue
from rosemaryward.decisions.messages import PrimaryRecord
from rosemaryward.proxy.records import PrimaryRecorder

pytestmark = pytest.mark.looptime

KEY = primary_key("test", "orders")


class FakeStore:
    """Store that fails a number of reads, or lets other writers write first."""

    def __init__(self, failures=0, rivals=()):
        self.values = {}
        self.failures = failures
        self.rivals = list(rivals)

    async def get(self, key):
        if self.failures:
            self.failures -= 1
            raise StoreError("down")
        return self.values.get(key)

    async def compare_and_swap(self, key, value, version):
        if self.rivals:
            rival = encode_primary(self.rivals.pop())
            self.values[key] = VersionedValue(key, rival, version + 1)
            raise ConflictError("changed")
        self.values[key] = VersionedValue(key, value, version + 1)
        return version + 1


def _record(term, instance="a"):
    return PrimaryRecord("orders", term, instance)


@pytest.mark.parametrize(
    ("store", "added", "kept"),
    [
        pytest.param(FakeStore(), [_record(2)], _record(2), id="first"),
        pytest.param(FakeStore(failures=5), [_record(2)], _record(2), id="store-down"),
        pytest.param(
            FakeStore(), [_record(3, "b"), _record(2)], _record(3, "b"), id="late"
        ),
        pytest.param(
            FakeStore(rivals=[_record(5, "c")]),
            [_record(4)],
            _record(5, "c"),
            id="newer-rival",
        ),
        pytest.param(
            FakeStore(rivals=[_record(1, "c")]),
            [_record(4)],
            _record(4),
            id="older-rival",
        ),
    ],
)
async def test_newest_term_is_kept(store, added, kept):
    """Guards against overwriting a stored record with one of an older term."""
    recorder = PrimaryRecorder("test", store, random.Random(1))
    async with anyio.create_task_group() as group:
        group.start_soon(recorder.run)
        for record in added:
            recorder.add(record)
            await anyio.sleep(60)
        group.cancel_scope.cancel()
    assert decode_primary(store.values[KEY].value) == kept
    assert not recorder.pending
