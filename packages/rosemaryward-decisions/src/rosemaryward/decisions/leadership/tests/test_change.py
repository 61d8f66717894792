import contextlib

import anyio
import msgspec
import pytest

from rosemaryward.decisions.clock import boot_time_s
from rosemaryward.decisions.gateway.tests.fakes import (
    FAR,
    GROUP,
    make_endpoint,
    make_record,
)
from rosemaryward.decisions.leadership import change as change_module
from rosemaryward.decisions.leadership import fencing
from rosemaryward.decisions.leadership.change import ChangeAbandonedError
from rosemaryward.decisions.leadership.records import CONFIRMATION_VALIDITY_S
from rosemaryward.decisions.leadership.replica_sets import (
    ReplicaSetRecord,
    ReplicaSets,
)
from rosemaryward.decisions.leadership.tests.fakes import ChangeScenario, member, status
from rosemaryward.decisions.types import LogPosition


@pytest.fixture(autouse=True)
def _short_intervals(monkeypatch):
    monkeypatch.setattr(change_module, "CONFIRMATION_VALIDITY_S", 0.3)
    monkeypatch.setattr(change_module, "CONFIRMATION_MARGIN_S", 0.0)
    monkeypatch.setattr(fencing, "FENCE_RETRY_S", 0.02)
    monkeypatch.setattr(change_module, "POSITION_RETRY_S", 0.02)
    monkeypatch.setattr(change_module, "CATCH_UP_TIMEOUT_S", 0.05)


@pytest.mark.parametrize(
    ("statuses", "expected"),
    [
        pytest.param({"i-2": status(1, 6), "i-3": status(1, 4)}, "i-2", id="longest"),
        pytest.param({"i-2": status(1, 4), "i-3": status(1, 6)}, "i-3", id="other"),
        pytest.param({"i-2": status(1, 5)}, "i-2", id="one-silent-but-complete"),
    ],
)
async def test_replica_with_all_acknowledged_commits_is_promoted(statuses, expected):
    """Guards against losing a commit that only one replica has received."""
    run = ChangeScenario(statuses)
    await run.run()
    assert run.promoter.calls == [(expected, "proxy-1", 7)]
    assert [(r.serving, r.pending) for r in run.writer.records] == [
        (False, ()),
        (False, (expected,)),
        (True, ()),
    ]
    assert run.leadership.records[GROUP].primary == expected


async def test_incomplete_replica_is_not_promoted_while_another_is_silent():
    """Guards against promoting a replica that lacks an acknowledged commit."""
    run = ChangeScenario({"i-2": status(1, 4)})
    with pytest.raises(ChangeAbandonedError):
        await run.run()
    assert not run.promoter.calls


async def test_change_waits_until_an_unreachable_member_is_unconfirmed():
    """Guards against a promotion while a cut-off member reads at the old primary."""
    run = ChangeScenario({"i-2": status(1, 5), "i-3": status(1, 5)})
    del run.peers.fenced["proxy-2"]
    started_at = anyio.current_time()
    await run.run()
    assert anyio.current_time() - started_at >= 0.3


async def test_every_replica_must_answer_if_a_member_is_unfenced():
    """Guards against trusting acknowledged positions of only some members."""
    run = ChangeScenario({"i-2": status(1, 5)})
    del run.peers.fenced["proxy-2"]
    with pytest.raises(ChangeAbandonedError):
        await run.run()


async def test_commit_acknowledged_by_an_ended_process_is_not_lost():
    """Guards against a silent replica that alone has a commit of an ended proxy."""
    run = ChangeScenario({"i-2": status(1, 4)})
    run.members.observe(member("proxy-2", "inc-new"), 3)
    run.peers.fenced["proxy-1"] = LogPosition(1, 4)
    run.peers.fenced["proxy-2"] = LogPosition()  # its old process acknowledged 1.5
    with contextlib.suppress(ChangeAbandonedError):
        await run.run()
    assert run.promoter.calls == []


@pytest.mark.parametrize(
    ("sample_age_s", "sampled", "promoted"),
    [
        pytest.param(0.0, 4, ["i-2"], id="sample-since-and-replica-has-it"),
        pytest.param(0.0, 5, [], id="sample-since-and-replica-lacks-it"),
        pytest.param(9.0, 4, [], id="sample-from-before"),
    ],
)
@pytest.mark.parametrize("end", ["replaced", "left", "absent", "before-this-process"])
async def test_positions_of_ended_processes_are_known_from_later_samples(
    sample_age_s, sampled, promoted, end
):
    """Guards against waiting for a replica whose entries another one surely has."""
    run = ChangeScenario({"i-2": status(1, 4)})
    run.peers.fenced = {"proxy-1": LogPosition(1, 4), "proxy-2": LogPosition()}
    now = run.members.clock()
    if end == "replaced":
        run.members.observe(member("proxy-2", "inc-new"), 3)
    elif end == "left":
        run.members.remove("proxy-2")
    elif end == "absent":
        run.members.mark_absent("proxy-2")
        run.members.absent_since["proxy-2"] = now - CONFIRMATION_VALIDITY_S - 1.0
    else:
        run.members.last_left_at = now
    sent_at = run.members.clock() - sample_age_s
    run.samples.record(sent_at, LogPosition(1, sampled))
    with contextlib.suppress(ChangeAbandonedError):
        await run.run()
    assert [endpoint for endpoint, _, _ in run.promoter.calls] == promoted


@pytest.mark.parametrize(
    ("statuses", "returned", "promoted"),
    [
        pytest.param({"i-2": status(1, 4)}, [], [], id="others-gone"),
        pytest.param(
            {"i-2": status(1, 4), "i-9": status(1, 6)}, ["i-3"], ["i-9"], id="one-back"
        ),
        pytest.param(
            {"i-2": status(1, 4), "i-9": status(1, 4)}, ["i-1"], ["i-2"], id="old-back"
        ),
    ],
)
@pytest.mark.parametrize("known_from", ["store", "this-process"])
async def test_replica_is_not_promoted_while_others_may_have_more_commits(
    statuses, returned, promoted, known_from
):
    """Guards against losing commits when crashed endpoints are no longer registered."""
    run = ChangeScenario(dict(statuses))
    run.members.last_left_at = run.members.clock()  # what others knew is forgotten
    run.samples.record(run.members.clock(), LogPosition(2, 7))  # not acknowledged
    await run.upkeep().add_registered()
    if known_from == "store":
        record, revision = run.replica_sets.records[GROUP], 1
        run.replica_sets = ReplicaSets(run.replica_set_writer)
        run.replica_sets.observe(GROUP, record, revision)
    for endpoint_id in ("i-1", "i-3"):
        address = run.directory.endpoints.pop(endpoint_id).address
        if endpoint_id in returned:
            run.directory.observe(make_endpoint("i-9", FAR, address=address))
    with contextlib.suppress(ChangeAbandonedError):
        await run.run()
    assert [endpoint for endpoint, _, _ in run.promoter.calls] == promoted


@pytest.mark.parametrize(
    ("received", "registered_late", "promoted"),
    [
        pytest.param(4, None, [], id="only-unknown-endpoint-has-it"),
        pytest.param(4, 6, ["i-9"], id="unknown-endpoint-registers"),
        pytest.param(5, None, ["i-2"], id="candidate-has-it"),
    ],
)
async def test_replica_without_a_reported_commit_is_not_promoted(
    received, registered_late, promoted
):
    """Guards against losing commits that an endpoint outside the replica set has."""
    run = ChangeScenario({"i-2": status(1, received), "i-3": status(1, received)})
    run.peers.fenced = {"proxy-1": LogPosition(1, 6), "proxy-2": LogPosition()}
    run.peers.committed = {"proxy-1": LogPosition(1, 5)}
    if registered_late is not None:
        run.control.statuses["i-9"] = status(1, registered_late)
        run.directory.observe(make_endpoint("i-9", FAR, address="10.0.9.9:1"))
    with contextlib.suppress(ChangeAbandonedError):
        await run.run(old_primary_silent=True)
    assert [endpoint for endpoint, _, _ in run.promoter.calls] == promoted


async def test_loss_of_the_primary_is_accepted_without_synchronous_replicas():
    """Guards against a group that waits for good for a log that no replica has."""
    run = ChangeScenario({"i-2": status(1, 4), "i-3": status(1, 4)})
    run.sync_replicas = 0
    run.peers.committed = {"proxy-1": LogPosition(1, 5)}
    with contextlib.suppress(ChangeAbandonedError):
        await run.run(old_primary_silent=True)
    assert [endpoint for endpoint, _, _ in run.promoter.calls] == ["i-2"]


async def test_replica_is_not_promoted_while_new_endpoints_may_be_unregistered():
    """Guards against counting logs right after an outage of the store."""
    run = ChangeScenario({"i-2": status(1, 4), "i-3": status(1, 4)})
    run.directory.mark_outdated()
    with contextlib.suppress(ChangeAbandonedError):
        await run.run(old_primary_silent=True)
    assert run.promoter.calls == []


async def test_new_process_at_a_members_address_reports_the_end_of_the_old_one():
    """Guards against trusting a reply that lacks what an ended process had seen."""
    run = ChangeScenario({"i-2": status(1, 4)})
    run.peers.fenced = {"proxy-1": LogPosition(1, 4), "proxy-2": LogPosition()}
    run.peers.incarnations["proxy-2"] = "inc-new"  # its registration is not seen yet
    with contextlib.suppress(ChangeAbandonedError):
        await run.run()
    assert run.promoter.calls == []


async def test_old_primary_that_returns_is_the_last_choice():
    """Guards against refusing for good when only the old primary has all commits."""
    run = ChangeScenario({"i-1": status(1, 6, is_primary=True), "i-2": status(1, 4)})
    run.peers.fenced["proxy-1"] = LogPosition(1, 6)
    await run.run(old_primary_silent=True)
    assert [endpoint for endpoint, _, _ in run.promoter.calls] == ["i-1"]


async def test_leaving_replica_is_not_promoted():
    """Guards against a primary that is about to stop."""
    run = ChangeScenario({"i-2": status(1, 6), "i-3": status(1, 6)})
    run.directory.observe(make_endpoint("i-2", FAR, leaving=True))
    await run.run()
    assert run.promoter.calls[0][0] == "i-3"


async def test_replication_is_paused_when_the_old_primary_is_silent():
    """Guards against commits that are acknowledged after positions were read."""
    run = ChangeScenario({"i-2": status(1, 5), "i-3": status(1, 5)})
    await run.run()
    operations = [operation for operation, _ in run.control.calls]
    assert "hold" in operations
    assert operations.index("hold") > operations.index("demote")


async def test_replicas_keep_receiving_from_a_reachable_old_primary():
    """Guards against losing entries that are in transit to the replicas."""
    statuses = {"i-1": status(1, 6), "i-2": status(1, 4), "i-3": status(1, 4)}
    run = ChangeScenario(statuses)

    async def catch_up():
        await anyio.sleep(0.01)
        statuses["i-2"] = status(1, 6)

    async with anyio.create_task_group() as tasks:
        tasks.start_soon(catch_up)
        await run.run()
    assert run.promoter.calls[0][0] == "i-2"
    assert ("hold", "i-2") not in run.control.calls


async def test_interrupted_change_publishes_an_endpoint_that_it_promoted():
    """Guards against a second promotion after the holder was killed in a change."""
    run = ChangeScenario({"i-2": status(1, 5), "i-3": status(2, 5, is_primary=True)})
    await run.run("unfinished change")
    assert not run.promoter.calls
    assert run.leadership.records[GROUP].primary == "i-3"


@pytest.mark.parametrize("recorded_term", [2, 0])
async def test_primary_that_was_replaced_earlier_is_not_published(recorded_term):
    """Guards against reads at a primary of an earlier term than the recorded one."""
    run = ChangeScenario({"i-2": status(2, 5), "i-3": status(1, 9, is_primary=True)})
    run.leadership.observe(GROUP, make_record(epoch=2, term=recorded_term), 2)
    run.writer.revision = 2
    await run.run(old_primary_silent=True)
    assert [endpoint for endpoint, _, _ in run.promoter.calls] == ["i-2"]
    assert run.leadership.records[GROUP].primary == "i-2"


async def test_promotion_of_a_primary_of_an_earlier_term_is_awaited():
    """Guards against publishing a primary before it leads the new term."""
    run = ChangeScenario({"i-1": status(2, 5), "i-2": status(1, 9, is_primary=True)})
    del run.directory.endpoints["i-3"]
    run.leadership.observe(GROUP, make_record(epoch=2, term=2), 2)
    run.writer.revision = 2
    run.peers.fenced = {"proxy-1": LogPosition(1, 9), "proxy-2": LogPosition(1, 9)}

    async def promote_later(group, endpoint_id, holder, token):
        run.control.statuses["i-1"] = status(2, 5)
        return True

    async def lead_later():
        await anyio.sleep(0.1)
        run.control.statuses["i-2"] = status(3, 9, is_primary=True)

    run.promoter.promote = promote_later
    async with anyio.create_task_group() as tasks:
        tasks.start_soon(lead_later)
        await run.run()
    assert run.writer.records[-1].term == 3


async def test_replaced_primary_is_demoted_when_the_new_one_is_published():
    """Guards against a replaced primary that cannot reach the new one."""
    run = ChangeScenario({"i-1": status(1, 6, is_primary=True), "i-2": status(1, 6)})
    del run.directory.endpoints["i-3"]
    await run.run(old_primary_silent=True)
    operations = [operation for operation, e in run.control.calls if e == "i-1"]
    assert operations == ["release", "demote"]


async def test_record_names_the_term_of_the_new_primary():
    """Guards against a later change that cannot tell which primary is the newest."""
    run = ChangeScenario({"i-2": status(1, 5), "i-3": status(1, 5)})
    await run.run()
    assert [record.term for record in run.writer.records] == [1, 1, 2]


async def test_lost_lock_ends_the_change():
    """Guards against a promotion by a former holder of the failover lock."""
    run = ChangeScenario({"i-2": status(1, 5), "i-3": status(1, 5)})
    run.lock.held = False
    with pytest.raises(ChangeAbandonedError):
        await run.run()
    assert not run.promoter.calls
    assert not run.writer.records


async def test_record_changed_by_another_holder_is_not_overwritten():
    """Guards against publishing a primary over the record of a later change."""
    run = ChangeScenario({"i-2": status(1, 5), "i-3": status(1, 5)})
    promote = run.promoter.promote

    async def promote_and_interfere(*arguments):
        run.writer.revision += 1
        return await promote(*arguments)

    run.promoter.promote = promote_and_interfere
    with pytest.raises(change_module.RosemarywardError):
        await run.run()
    assert [r.serving for r in run.writer.records] == [False, False]


async def test_fence_covers_a_member_that_restarted():
    """Guards against waiting for a process that no longer exists."""
    run = ChangeScenario({"i-2": status(1, 5), "i-3": status(1, 5)})
    run.members.observe(member("proxy-2", "inc-new"), 3)
    await run.run()
    assert run.promoter.calls


async def test_fence_drains_running_writes():
    """Guards against an acknowledged position that misses a running write."""
    run = ChangeScenario({})
    leadership = run.leadership
    with leadership.track_write(GROUP):
        position = await leadership.fence_and_drain(GROUP, 2)
    assert position == LogPosition()
    assert not leadership.acknowledge(GROUP, 1, LogPosition(1, 9))


async def test_new_record_is_sent_to_the_members():
    """Guards against members that learn a new primary only from the store."""
    run = ChangeScenario({"i-2": status(1, 6), "i-3": status(1, 4)})
    await run.run()
    ((name, record, revision),) = run.peers.sent_records
    assert name == "proxy-2"
    assert record.serving
    assert revision == run.writer.revision


class UnreachableMemberScenario(ChangeScenario):
    """Change of a primary that answers, while the second member does not."""

    def __init__(self, statuses, verifies_reads=True):
        super().__init__(statuses)
        silent = msgspec.structs.replace(
            member("proxy-2"), verifies_reads=verifies_reads
        )
        self.members.remove("proxy-2")
        self.members.observe(silent, 9)
        self.members.mark_alive("proxy-2")
        del self.peers.fenced["proxy-2"]
        self.replica_sets.observe(GROUP, ReplicaSetRecord(self._addresses()), 1)

    def _addresses(self):
        return {e.id: e.address for e in self.directory.endpoints.values()}


OLD = status(1, 9)
SHORT_FENCE = {
    "PROMPT_FENCE_S": 0.05,
    "UNVERIFIED_READ_S": 0.2,
    "VERIFICATION_VALIDITY_S": 0.05,
    "CONFIRMATION_VALIDITY_S": 1.0,
}


@pytest.mark.parametrize(
    ("statuses", "changes", "early"),
    [
        pytest.param({"i-1": OLD, "i-2": status(1, 9)}, {}, True, id="same-log"),
        pytest.param(
            {"i-1": OLD, "i-2": status(1, 8), "i-3": status(1, 7)},
            {},
            True,
            id="nobody-has-its-last-entries",
        ),
        pytest.param(
            {"i-1": OLD, "i-2": status(1, 8)},
            {},
            False,
            id="a-silent-one-may-have-them",
        ),
        pytest.param({"i-2": status(1, 9)}, {}, False, id="primary-does-not-answer"),
        pytest.param(
            {"i-1": status(3, 9, is_primary=True), "i-2": status(1, 9)},
            {},
            False,
            id="primary-is-not-demoted",
        ),
        pytest.param(
            {"i-1": OLD, "i-2": status(1, 9)},
            {"sync_replicas": 0},
            False,
            id="commits-need-no-replica",
        ),
        pytest.param(
            {"i-1": OLD, "i-2": status(1, 9)},
            {"verifies_reads": False},
            False,
            id="member-of-an-earlier-build",
        ),
    ],
)
async def test_primary_is_replaced_before_a_silent_member_is_unconfirmed(
    monkeypatch, statuses, changes, early
):
    """Guards against seconds without a primary whenever one host does not answer."""
    for name, value in SHORT_FENCE.items():
        monkeypatch.setattr(change_module, name, value)
    run = UnreachableMemberScenario(statuses, changes.get("verifies_reads", True))
    run.sync_replicas = changes.get("sync_replicas", 1)
    started_at = boot_time_s()
    with contextlib.suppress(ChangeAbandonedError):
        await run.run()
    published_s = boot_time_s() - started_at
    record = run.leadership.records[GROUP]
    assert (record.serving and published_s < 0.9) is early
    assert published_s >= 0.2


async def test_primary_that_started_again_after_its_demotion_is_demoted_again(
    monkeypatch,
):
    """Guards against reads at a primary that leads again after a crash."""
    for name, value in SHORT_FENCE.items():
        monkeypatch.setattr(change_module, name, value)
    run = UnreachableMemberScenario({"i-1": OLD, "i-2": status(1, 9)})
    promote = run.promoter.promote

    async def start_old_primary_again(*arguments):
        run.directory.observe(make_endpoint("i-1", FAR, started_at=7))
        return await promote(*arguments)

    run.promoter.promote = start_old_primary_again
    await run.run()
    demotions = [call for call in run.control.calls if call == ("demote", "i-1")]
    assert len(demotions) >= 3
    assert run.leadership.records[GROUP].primary == "i-2"


async def test_error_during_an_unfinished_fence_ends_the_change(monkeypatch):
    """Guards against a group of errors that nobody handles."""
    for name, value in SHORT_FENCE.items():
        monkeypatch.setattr(change_module, name, value)
    run = UnreachableMemberScenario({"i-1": OLD, "i-2": status(1, 9)})

    async def lose_lock(*arguments):
        run.lock.held = False
        return True

    run.promoter.promote = lose_lock
    with pytest.raises(ChangeAbandonedError):
        await run.run()
