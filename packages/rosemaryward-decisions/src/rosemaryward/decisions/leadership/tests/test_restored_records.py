import anyio
import pytest

from rosemaryward.decisions.gateway.tests.fakes import GROUP, FakeClock, make_record
from rosemaryward.decisions.leadership import change as change_module
from rosemaryward.decisions.leadership.confirmation import Confirmation
from rosemaryward.decisions.leadership.members import (
    ConfirmationReply,
    ConfirmationRequest,
)
from rosemaryward.decisions.leadership.records import (
    CONFIRMATION_VALIDITY_S,
    Leadership,
)
from rosemaryward.decisions.leadership.supervisor import PrimarySupervisor
from rosemaryward.decisions.leadership.tests.fakes import (
    ChangeScenario,
    Peers,
    member,
    status,
)
from rosemaryward.decisions.mirror import make_revision

SELF = "inc-proxy-1"
PRIMARY = status(1, 5, is_primary=True)
NEW_PRIMARY = status(2, 5, is_primary=True)
REPLICA = status(1, 5)
BEFORE = 20  # number of a revision that the restore of the store loses


def reply(record=None, incarnation="inc-proxy-2"):
    known = {} if record is None else {GROUP: (record, BEFORE)}
    return ConfirmationReply(0.1, True, False, known, BEFORE, incarnation)


@pytest.fixture(autouse=True)
def _short_intervals(monkeypatch):
    monkeypatch.setattr(change_module, "CONFIRMATION_VALIDITY_S", 0.3)
    monkeypatch.setattr(change_module, "CONFIRMATION_MARGIN_S", 0.0)
    monkeypatch.setattr(change_module, "ENDPOINT_REPLY_TIMEOUT_S", 0.05)
    monkeypatch.setattr(change_module, "CATCH_UP_TIMEOUT_S", 0.05)
    monkeypatch.setattr(change_module, "POSITION_RETRY_S", 0.01)


class RestoredScenario(ChangeScenario):
    """Lock holder that read epoch 1 from a restored store; one other member."""

    def __init__(self, statuses, other_member=None):
        super().__init__(dict(statuses))
        if other_member is not None:
            self.peers.confirmations["proxy-2"] = other_member
        self.leadership.observe(GROUP, make_record(), make_revision(1, 1))
        self.writer.revision = make_revision(1, 1)

    async def check(self):
        await PrimarySupervisor(GROUP, self.context()).check()
        return self.leadership.records[GROUP]


def test_proxy_does_not_go_back_to_the_older_primary_of_a_restored_store():
    """Guards against reads and writes at a primary that was replaced."""
    clock = FakeClock()
    leadership = Leadership(clock)
    confirmation = Confirmation(SELF, leadership, Peers(), clock)
    members = [member("proxy-1"), member("proxy-2")]
    leadership.observe(GROUP, make_record(2, "i-2"), BEFORE)
    confirmation.record_read(clock(), members, BEFORE)
    leadership.observe(GROUP, make_record(1, "i-1"), make_revision(1, 5))
    confirmation.record_read(clock(), members, make_revision(1, 5))
    assert leadership.records[GROUP].primary == "i-2"


def test_process_that_knows_only_the_restored_store_uses_none_of_its_primaries():
    """Guards against a new process that takes a copy's older record for the newest."""
    clock = FakeClock()
    leadership = Leadership(clock)
    confirmation = Confirmation(SELF, leadership, Peers(), clock)
    leadership.observe(GROUP, make_record(1, "i-1"), make_revision(1, 5))
    confirmation.record_read(clock(), [member("proxy-1")], make_revision(1, 6))
    assert leadership.primary(GROUP) is None


def test_primary_stays_in_use_for_the_validity_of_the_last_read_before_a_restore():
    """Guards against a restore that ends all service at once."""
    clock = FakeClock()
    leadership = Leadership(clock)
    confirmation = Confirmation(SELF, leadership, Peers(), clock)
    leadership.observe(GROUP, make_record(2, "i-2"), BEFORE)
    confirmation.record_read(clock(), [member("proxy-1")], BEFORE)
    clock.now += CONFIRMATION_VALIDITY_S / 2
    confirmation.record_read(clock(), [member("proxy-1")], make_revision(1, 5))
    assert leadership.primary(GROUP).primary == "i-2"
    clock.now += CONFIRMATION_VALIDITY_S * 2 / 3
    assert leadership.primary(GROUP) is None


@pytest.mark.parametrize(
    ("statuses", "other_member", "primary", "promoted"),
    [
        pytest.param(
            {"i-1": PRIMARY, "i-2": REPLICA, "i-3": REPLICA},
            reply(),
            "i-1",
            [],
            id="same-primary",
        ),
        pytest.param(
            {"i-1": REPLICA, "i-2": NEW_PRIMARY, "i-3": REPLICA},
            reply(make_record(2, "i-2")),
            "i-2",
            [],
            id="a-member-knows-the-change",
        ),
        pytest.param(
            {"i-1": REPLICA, "i-2": NEW_PRIMARY, "i-3": REPLICA},
            reply(),
            "i-2",
            [],
            id="nobody-knows-the-change",
        ),
        pytest.param(
            {"i-1": PRIMARY, "i-2": NEW_PRIMARY, "i-3": REPLICA},
            reply(),
            "i-2",
            [],
            id="replaced-primary-was-cut-off",
        ),
        pytest.param(
            {"i-1": PRIMARY, "i-2": REPLICA, "i-3": REPLICA},
            None,
            "i-1",
            [],
            id="member-gone-but-all-endpoints-answer",
        ),
        pytest.param(
            {"i-1": PRIMARY, "i-2": REPLICA},
            reply(),
            "i-1",
            [],
            id="replica-silent-but-all-members-answer",
        ),
        pytest.param(
            {"i-1": PRIMARY, "i-2": REPLICA},
            None,
            "i-2",
            ["i-2"],
            id="member-gone-and-replica-silent",
        ),
        pytest.param(
            {"i-1": PRIMARY, "i-2": REPLICA},
            reply(incarnation="inc-new"),
            "i-2",
            ["i-2"],
            id="member-restarted-and-replica-silent",
        ),
        pytest.param(
            {"i-2": REPLICA, "i-3": REPLICA},
            reply(),
            "i-2",
            ["i-2"],
            id="primary-silent",
        ),
        pytest.param(
            {"i-1": PRIMARY, "i-2": REPLICA, "i-3": REPLICA},
            reply(make_record(2, "i-1", serving=False)),
            "i-2",
            ["i-2"],
            id="change-announced-before-the-restore",
        ),
    ],
)
async def test_lock_holder_restores_the_newest_primary(
    statuses, other_member, primary, promoted
):
    """Guards against a restored record that names a replaced primary."""
    run = RestoredScenario(statuses, other_member)
    record = await run.check()
    assert (record.primary, record.serving) == (primary, True)
    assert [endpoint for endpoint, _, _ in run.promoter.calls] == promoted


async def test_busy_endpoint_does_not_cost_the_primary_its_place():
    """Guards against a change of primary because one status call was turned away."""
    statuses = {"i-1": PRIMARY, "i-2": REPLICA, "i-3": REPLICA}
    run = RestoredScenario(statuses)
    del run.control.statuses["i-1"]

    async def free_endpoint():
        await anyio.sleep(0.02)
        run.control.statuses["i-1"] = PRIMARY

    async with anyio.create_task_group() as tasks:
        tasks.start_soon(free_endpoint)
        record = await run.check()
    assert (record.primary, run.promoter.calls) == ("i-1", [])


async def test_epoch_of_a_lost_change_is_not_given_out_again():
    """Guards against two primaries of one epoch, and a fence that outlives its change.

    A member has fenced an epoch whose announcement the store has lost.
    """
    run = RestoredScenario({"i-1": PRIMARY, "i-2": REPLICA, "i-3": REPLICA})
    clock = FakeClock()
    cut_off = Leadership(clock)
    cut_off.observe(GROUP, make_record(), 1)
    cut_off.fence(GROUP, 5)
    record = await run.check()
    assert record.epoch > 5
    cut_off.observe(GROUP, record, run.writer.revision)
    cut_off.confirm(clock(), 1)
    assert cut_off.primary(GROUP) == record


async def test_record_that_the_copy_lacks_is_written_again():
    """Guards against conflicts without end with a revision from before the restore."""
    answer = reply(make_record(2, "i-2"))
    run = RestoredScenario({"i-1": REPLICA, "i-2": NEW_PRIMARY, "i-3": REPLICA}, answer)
    run.leadership.observe_removal(GROUP)
    run.writer.revision = 0
    record = await run.check()
    assert (record.primary, record.serving) == ("i-2", True)


async def test_restored_record_is_checked_as_usual_afterwards():
    """Guards against a record that is written again and again."""
    run = RestoredScenario({"i-1": PRIMARY, "i-2": REPLICA, "i-3": REPLICA}, reply())
    await run.check()
    run.leadership.observe(GROUP, run.writer.records[-1], run.writer.revision)
    assert run.leadership.is_established(GROUP)


def test_member_that_saw_a_restore_does_not_help_to_bridge_an_outage():
    """Guards against confirming primaries that a new lock holder may be changing."""
    clock = FakeClock()
    leadership = Leadership(clock)
    confirmation = Confirmation(SELF, leadership, Peers(), clock)
    confirmation.record_read(clock(), [member("proxy-1"), member("proxy-2")], BEFORE)
    request = ConfirmationRequest("inc-proxy-2")
    assert not confirmation.reply(request).changing
    leadership.observe_restore(1)
    assert confirmation.reply(request).changing
