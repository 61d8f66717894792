import asyncio
from collections.abc import Awaitable, Callable
from typing import Any

import looptime
import msgspec
import pytest
from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, precondition, rule

from rosemaryward.decisions.document import Document, check_document
from rosemaryward.decisions.document.stored import (
    MAX_HISTORY_VERSIONS,
    StoredDocument,
    audit_key,
    decode_stored,
    document_key,
    history_key,
)
from rosemaryward.decisions.errors import (
    ConflictError,
    DocumentError,
    OutcomeUnknownError,
    StoreError,
)
from rosemaryward.operators.audit import ENTRIES_KEPT, AuditLog
from rosemaryward.operators.configuration import (
    Change,
    ConfigurationService,
    NoSuchVersionError,
    VersionConflictError,
)
from rosemaryward.operators.tests.examples import (
    PASSWORD_HASH,
    Fault,
    MemoryStore,
    example_document,
    example_values,
)

KEY = document_key("production")


def service(store: MemoryStore, environment: str = "production"):
    return ConfigurationService(store, environment, now=lambda: "2026-01-02T03:04:05Z")


async def applied(store: MemoryStore, count: int) -> ConfigurationService:
    """Return a service after applying `count` versions, with slots from 1 to 40."""
    result = service(store)
    for number in range(count):
        change = Change(author="ana", base_version=number)
        await result.apply(example_document(orders=number % 40 + 1), change)
    return result


@pytest.mark.looptime
async def test_versions_and_history():
    """Guards against skipped or repeated versions and missing audit entries."""
    store = MemoryStore()
    configuration = await applied(store, 3)
    entries = await configuration.history()
    assert [entry.version for entry in entries] == [3, 2, 1]
    assert (await configuration.version(1)).document.databases["orders"].slots == 1
    actions = [entry.action for entry in await configuration.audit.entries()]
    assert actions == ["config.apply"] * 3


@pytest.mark.looptime
async def test_equal_document_keeps_version():
    """Guards against a repeated request that creates another version."""
    configuration = await applied(MemoryStore(), 2)
    again = await configuration.apply(
        example_document(orders=2), Change(author="ana", base_version=1)
    )
    assert again.version == 2


@pytest.mark.looptime
async def test_invalid_document_stores_nothing():
    """Guards against a refused document that is written to the store in part."""
    store = MemoryStore()
    for document in (example_document(orders=41), example_document("trial")):
        with pytest.raises(DocumentError):
            await service(store).apply(document, Change(author="ana", base_version=0))
    assert store.writes == []


@pytest.mark.looptime
async def test_merge_and_conflict():
    """Guards against a lost change, and a conflict error without its author."""
    configuration = await applied(MemoryStore(), 2)
    merged = await configuration.apply(
        example_document(orders=1, stock=9), Change(author="ben", base_version=1)
    )
    assert {n: d.slots for n, d in merged.document.databases.items()} == {
        "orders": 2,
        "stock": 9,
    }
    with pytest.raises(VersionConflictError, match="version 3 by ben") as caught:
        await configuration.apply(
            example_document(orders=7), Change(author="cem", base_version=1)
        )
    assert caught.value.sections == ("databases.orders",)
    with pytest.raises(VersionConflictError):
        await configuration.apply(
            example_document(orders=1, stock=5),
            Change(author="cem", base_version=1, merge=False),
        )


@pytest.mark.looptime
async def test_rollback_is_a_new_version():
    """Guards against a decreasing version, which proxies would ignore."""
    configuration = await applied(MemoryStore(), 3)
    stored = await configuration.rollback(1, Change(author="ana"))
    assert (stored.version, stored.document.databases["orders"].slots) == (4, 1)
    with pytest.raises(NoSuchVersionError):
        await configuration.rollback(9, Change(author="ana"))


@pytest.mark.looptime
async def test_minimum_version():
    """Guards against a restored store whose versions the proxies ignore as old."""
    change = Change(author="ana", base_version=0, minimum_version=41)
    assert (
        await service(MemoryStore()).apply(example_document(), change)
    ).version == 42


@pytest.mark.looptime
async def test_promotion_keeps_addresses_and_hashes():
    """Guards against promoting instances or passwords of the trial environment."""
    store = MemoryStore()
    values = example_values("trial")
    values["regions"] = {"lab": ["a"]}
    for database in values["databases"].values():
        database["slots"] = 7
        for instance in database["instances"].values():
            instance.update(region="lab", failure_domain="a", host="127.0.0.9")
    values["tenants"]["orders"]["users"]["shop"]["password_hash"] = "0" * 40
    values["tenants"]["orders"]["rules"][0]["rank"] = "normal"
    trial = msgspec.convert(values, Document)
    await service(store, "trial").apply(trial, Change(author="ana", base_version=0))
    production = await applied(store, 1)
    promoted = (await production.promote("trial", Change(author="ana"))).document
    assert promoted.environment == "production"
    assert promoted.regions == example_document().regions
    assert promoted.databases["orders"].slots == 7
    assert promoted.databases["orders"].instances["i0"].host == "127.0.0.1"
    shop = promoted.tenants["orders"]
    assert shop.users["shop"].password_hash == PASSWORD_HASH
    assert shop.rules[0].rank == "normal"
    values["tenants"]["stock"]["users"]["guest"] = {"password_hash": "0" * 40}
    trial = msgspec.convert(values, Document)
    await service(store, "trial").apply(trial, Change(author="ana", base_version=1))
    with pytest.raises(DocumentError, match=r"tenants\.stock\.users\.guest"):
        await production.promote("trial", Change(author="ana"))


@pytest.mark.looptime
async def test_store_down():
    """Guards against a call that hangs or reports success while the store is down."""
    store = MemoryStore()
    configuration = await applied(store, 1)
    store.down = True
    with pytest.raises(StoreError):
        await configuration.apply(
            example_document(orders=2), Change(author="ana", base_version=1)
        )
    store.down = False
    assert (await configuration.show()).version == 1


@pytest.mark.looptime
async def test_crash_before_the_document_key():
    """Guards against a history entry left by a crash that blocks later changes."""
    store = MemoryStore()
    configuration = await applied(store, 1)
    writes = 0

    async def fail_after_archive(method: str, key: str) -> Fault:
        nonlocal writes
        writes += method == "swap"
        return Fault.NONE if writes <= 1 else Fault.LOST_REQUEST

    store.choose_fault = fail_after_archive
    with pytest.raises(OutcomeUnknownError):
        await configuration.apply(
            example_document(orders=2), Change(author="ana", base_version=1)
        )
    store.choose_fault = MemoryStore().choose_fault
    assert (await configuration.show()).version == 1
    await configuration.apply(
        example_document(orders=3), Change(author="ben", base_version=1)
    )
    slots = [
        (await configuration.version(v)).document.databases["orders"].slots
        for v in (1, 2)
    ]
    assert slots == [1, 3]


@pytest.mark.looptime
async def test_history_and_audit_are_bounded():
    """Guards against unbounded numbers of stored versions and audit entries."""
    store = MemoryStore()
    configuration = await applied(store, MAX_HISTORY_VERSIONS + 3)
    log = configuration.audit
    for number in range(ENTRIES_KEPT):
        await log.append("ana", "drain", str(number))
    assert len(store.values) == 1 + MAX_HISTORY_VERSIONS + 1 + ENTRIES_KEPT
    entries = await log.entries(limit=ENTRIES_KEPT)
    assert [entry.detail for entry in entries][:2] == ["999", "998"]
    assert len({entry.sequence for entry in entries}) == ENTRIES_KEPT
    with pytest.raises(NoSuchVersionError):
        await configuration.version(1)


@pytest.mark.looptime
async def test_concurrent_audit_entries():
    """Guards against audit entries that overwrite each other."""
    store = MemoryStore()
    logs = [AuditLog(store, "production") for _ in range(5)]
    await asyncio.gather(*(log.append("ana", "drain") for log in logs for _ in "ab"))
    assert [e.sequence for e in await logs[0].entries()] == list(range(10, 0, -1))


@pytest.mark.looptime
async def test_audit_without_hint():
    """Guards against an audit log that cannot be written without its hint."""
    store = MemoryStore()
    log = AuditLog(store, "production")
    for _ in range(50):
        await log.append("ana", "drain")
    del store.values[audit_key("production", 0)]
    assert (await log.append("ana", "drain")).sequence == 51


class RacingOperators(RuleBasedStateMachine):
    """Concurrent operators whose store calls interleave and fail in any order.

    Each store call waits until the state machine completes it, possibly with a fault.
    """

    def __init__(self) -> None:
        super().__init__()
        self.loop = looptime.new_event_loop()
        self.pending: list[Any] = []  # task, (method, key) and future of each call
        self.store = MemoryStore(self._wait)
        self.tasks: dict[str, asyncio.Task[StoredDocument]] = {}
        self.changes = 0
        self._drive(self._start("first", {}, 0))
        self._finish()

    async def _wait(self, method: str, key: str) -> Fault:
        future: asyncio.Future[Fault] = self.loop.create_future()
        self.pending.append((asyncio.current_task(), (method, key), future))
        return await future

    async def _start(self, comment: str, slots: dict[str, int], base: int) -> None:
        change = Change(author=comment, comment=comment, base_version=base)
        call = service(self.store).apply(example_document(**slots), change)
        self.tasks[comment] = self.loop.create_task(call)

    def _drive(self, call: Awaitable[Any] | None = None) -> None:
        """Run the event loop until every task waits for the store."""
        self.loop.run_until_complete(call or asyncio.sleep(1.0))
        self.loop.run_until_complete(asyncio.sleep(1.0))

    def _finish(self) -> None:
        while self.pending:
            self._answer(0, Fault.NONE)

    def _answer(self, index: int, fault: Fault) -> None:
        self.pending.pop(index)[2].set_result(fault)
        self._drive()

    def _stored(self) -> list[StoredDocument]:
        return [decode_stored(w.value) for w in self.store.writes if w.key == KEY]

    @rule(
        database=st.sampled_from(["orders", "stock"]),
        slots=st.integers(1, 9),
        age=st.integers(0, 2),
    )
    @precondition(lambda self: sum(not t.done() for t in self.tasks.values()) < 4)
    def change(self, database: str, slots: int, age: int) -> None:
        chain = self._stored()
        base = chain[max(0, len(chain) - 1 - age)]
        counts = {n: d.slots for n, d in base.document.databases.items()}
        self.changes += 1
        start = self._start(
            f"change {self.changes}", counts | {database: slots}, base.version
        )
        self._drive(start)

    @rule(index=st.integers(0, 9), fault=st.sampled_from(Fault))
    @precondition(lambda self: self.pending)
    def answer(self, index: int, fault: Fault) -> None:
        self._answer(index % len(self.pending), fault)

    @rule(index=st.integers(0, 9), fault=st.sampled_from([None, *Fault]))
    @precondition(lambda self: self.pending)
    def overtake(self, index: int, fault: Fault | None) -> None:
        """Run one operator to its end, or to a fault at the document key."""
        owner = self.pending[index % len(self.pending)][0]
        while not owner.done():
            place = [task for task, _, _ in self.pending].index(owner)
            if fault is not None and self.pending[place][1] == ("swap", KEY):
                self._answer(place, fault)
                return
            self._answer(place, Fault.NONE)

    @invariant()
    def versions_rise_by_one(self) -> None:
        chain = self._stored()
        assert [s.version for s in chain] == list(range(1, len(chain) + 1))
        for stored in chain:
            check_document(stored.document)

    def teardown(self) -> None:
        self._finish()
        chain = self._stored()
        by_comment = {stored.comment: stored for stored in chain}
        assert len(by_comment) == len(chain), "a change took effect twice"
        for comment, task in self.tasks.items():
            assert task.done()
            error = task.exception()
            if error is None:
                assert task.result() in chain, "an acknowledged change was lost"
            elif isinstance(error, ConflictError):
                assert comment not in by_comment, "a refused change took effect"
            else:
                assert isinstance(error, StoreError | OutcomeUnknownError)
        self._check_history(chain)
        self.loop.close()

    def _check_history(self, chain: list[StoredDocument]) -> None:
        for stored in chain[:-1]:
            value = self.store.values[history_key("production", stored.version)]
            assert decode_stored(value.value) == stored


RacingOperatorsTest: Callable[[], Any] = RacingOperators.TestCase
RacingOperatorsTest.settings = settings(
    derandomize=True, max_examples=100, stateful_step_count=40, deadline=None
)
