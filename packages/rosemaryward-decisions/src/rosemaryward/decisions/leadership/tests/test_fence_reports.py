import anyio
import pytest

from rosemaryward.decisions.errors import StoreError
from rosemaryward.decisions.gateway.tests.fakes import GROUP, make_record
from rosemaryward.decisions.leadership import change as change_module
from rosemaryward.decisions.leadership import fence_reports, fencing
from rosemaryward.decisions.leadership.fence_reports import FenceReporter, FenceReports
from rosemaryward.decisions.leadership.members import (
    FenceReply,
    FenceRequest,
    MemberDirectory,
)
from rosemaryward.decisions.leadership.records import GroupRecord, Leadership
from rosemaryward.decisions.leadership.tests.fakes import (
    ChangeScenario,
    MemoryStore,
    Peers,
    member,
    status,
)
from rosemaryward.decisions.types import LogPosition

ANNOUNCED = GroupRecord(epoch=2, primary="i-1", serving=False, holder="proxy-1")
REQUEST = FenceRequest(GROUP, 2)
HEALTHY = {"i-2": status(1, 9), "i-3": status(1, 9)}


@pytest.fixture(autouse=True)
def _short_intervals(monkeypatch):
    monkeypatch.setattr(fence_reports, "DIRECT_REQUEST_WAIT_S", 0.02)
    monkeypatch.setattr(change_module, "CONFIRMATION_VALIDITY_S", 1.0)
    monkeypatch.setattr(change_module, "CONFIRMATION_MARGIN_S", 0.0)
    monkeypatch.setattr(fencing, "FENCE_RETRY_S", 0.02)
    monkeypatch.setattr(fencing, "REPORT_POLL_INTERVAL_S", 0.02)
    monkeypatch.setattr(change_module, "CATCH_UP_TIMEOUT_S", 0.05)


class ReporterScenario:
    """Member that the holder does not reach, beside one that the store turns away."""

    def __init__(self):
        self.leadership = Leadership()
        self.leadership.observe(GROUP, make_record(), 1)
        self.leadership.confirm(self.leadership.clock())
        self.leadership.acknowledge(GROUP, 1, LogPosition(1, 7))
        members = MemberDirectory()
        for revision, name in enumerate(("proxy-2", "proxy-3"), 1):
            members.observe(member(name), revision)
        self.peers = Peers()
        self.peers.fenced = {"proxy-3": LogPosition(1, 9)}
        self.store = MemoryStore()
        self.reports = FenceReports(self.store, "fences/")
        self.reporter = FenceReporter(
            "proxy-2",
            "inc-proxy-2",
            self.leadership,
            members,
            self.peers,
            self.reports,
        )

    async def run(self, while_running=lambda: None):
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(self.reporter.run)
            await anyio.wait_all_tasks_blocked()
            self.leadership.observe(GROUP, ANNOUNCED, 2)
            while_running()
            await anyio.sleep(0.2)
            tasks.cancel_scope.cancel()
        return await self.reports.read(REQUEST)


async def test_fence_is_reported_without_a_request_of_the_holder():
    """Guards against a change that waits for members behind a partition."""
    run = ReporterScenario()
    assert await run.run() == [FenceReply("inc-proxy-2", LogPosition(1, 7))]
    assert run.leadership.fence_epochs[GROUP] == 2


async def test_fence_of_a_member_that_asks_for_confirmations_is_reported():
    """Guards against a change that waits for a member that the store turns away."""
    run = ReporterScenario()
    run.reporter.record_request("inc-proxy-3")
    replies = await run.run()
    assert FenceReply("inc-proxy-3", LogPosition(1, 9)) in replies


@pytest.mark.parametrize(
    "event",
    [
        pytest.param(lambda run: run.leadership.fence(GROUP, 2), id="requested"),
        pytest.param(
            lambda run: run.leadership.observe(GROUP, make_record(2, "i-2"), 3),
            id="change-has-ended",
        ),
    ],
)
async def test_no_report_is_written_without_need(event):
    """Guards against store calls of the whole fleet for each change."""
    run = ReporterScenario()
    assert await run.run(lambda: event(run)) == []


async def test_report_is_repeated_while_the_store_does_not_answer():
    """Guards against a lost report."""
    run = ReporterScenario()
    failures = [StoreError("busy"), StoreError("busy")]

    def fail():
        if failures:
            raise failures.pop()

    run.store.before_write = fail
    assert len(await run.run()) == 1


@pytest.mark.parametrize(
    ("reported", "acknowledged", "quick"),
    [
        pytest.param("inc-proxy-2", LogPosition(1, 9), True, id="reported"),
        pytest.param("inc-other", LogPosition(1, 9), False, id="other-process"),
    ],
)
async def test_change_uses_reports_of_unreachable_members(
    reported, acknowledged, quick
):
    """Guards against a change that waits for a member that has stopped already."""
    run = ChangeScenario(dict(HEALTHY))
    del run.peers.fenced["proxy-2"]
    reports = FenceReports(run.store, "fences/")
    await reports.write(REQUEST, "proxy-2", [FenceReply(reported, acknowledged)])
    started_at = anyio.current_time()
    change = await run.run()
    assert (anyio.current_time() - started_at < 0.5) is quick
    assert change.acknowledged == acknowledged


async def test_report_of_another_epoch_is_not_used():
    """Guards against a member that uses a primary which an older fence allowed."""
    run = ChangeScenario(dict(HEALTHY))
    del run.peers.fenced["proxy-2"]
    reports = FenceReports(run.store, "fences/")
    older = FenceRequest(GROUP, 1)
    await reports.write(older, "proxy-2", [FenceReply("inc-proxy-2", LogPosition())])
    started_at = anyio.current_time()
    await run.run()
    assert anyio.current_time() - started_at >= 0.9


async def test_groups_whose_names_contain_the_separator_have_their_own_reports():
    """Guards against a fence that counts as confirmed by reports on another group."""
    reports = FenceReports(MemoryStore(), "fences/")
    reply = FenceReply("inc-proxy-2", LogPosition())
    await reports.write(FenceRequest("orders/1", 2), "proxy-2", [reply])
    assert await reports.read(FenceRequest("orders", 1)) == []
    assert await reports.read(FenceRequest("orders/1", 2)) == [reply]


async def test_unreadable_report_is_passed_over():
    """Guards against a foreign value that ends a change of primary."""
    store = MemoryStore()
    await store.write(f"fences/{GROUP}/2/odd", b"[" * 5000, 0)
    assert await FenceReports(store, "fences/").read(REQUEST) == []
