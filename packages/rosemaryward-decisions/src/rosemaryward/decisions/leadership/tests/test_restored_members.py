import anyio
import pytest

from rosemaryward.decisions.gateway.tests.fakes import FakeClock
from rosemaryward.decisions.leadership import change as change_module
from rosemaryward.decisions.leadership import fencing
from rosemaryward.decisions.leadership import members as members_module
from rosemaryward.decisions.leadership.members import MemberDirectory
from rosemaryward.decisions.leadership.records import CONFIRMATION_VALIDITY_S
from rosemaryward.decisions.leadership.tests.fakes import (
    ChangeScenario,
    member,
    status,
)


def make_directory(clock):
    members = MemberDirectory(clock)
    members.observe(member("proxy-2"), 5)
    members.mark_alive("proxy-2")
    return members


@pytest.mark.parametrize(
    ("passed_s", "fenced"),
    [
        pytest.param(0.0, ["proxy-2"], id="at-once"),
        pytest.param(CONFIRMATION_VALIDITY_S, ["proxy-2"], id="confirmation-valid"),
        pytest.param(CONFIRMATION_VALIDITY_S + 1.0, [], id="confirmation-expired"),
    ],
)
def test_member_whose_registration_was_lost_is_fenced(passed_s, fenced):
    """Guards against a promotion while a member that the copy lacks may write."""
    clock = FakeClock()
    members = make_directory(clock)
    members.observe_restore()
    members.remove("proxy-2")
    members.mark_absent("proxy-2")
    clock.now += passed_s
    assert [member.name for member in members.members_to_fence()] == fenced


def test_member_that_registers_again_is_fenced_once():
    """Guards against waiting for a second answer of one process."""
    members = make_directory(FakeClock())
    members.observe_restore()
    members.remove("proxy-2")
    members.observe(member("proxy-2"), 6)
    assert len(members.members_to_fence()) == 1


@pytest.mark.parametrize(
    ("restored", "least_s"),
    [
        pytest.param(True, 0.25, id="restored"),
        pytest.param(False, 0.0, id="not-restored"),
    ],
)
async def test_change_waits_for_members_that_only_the_lost_changes_named(
    monkeypatch, restored, least_s
):
    """Guards against a promotion while a member unknown to the holder may write."""
    for module in (change_module, members_module):
        monkeypatch.setattr(module, "CONFIRMATION_VALIDITY_S", 0.25)
    monkeypatch.setattr(members_module, "CLOCK_DRIFT_MARGIN_S", 0.0)
    monkeypatch.setattr(fencing, "FENCE_RETRY_S", 0.02)
    run = ChangeScenario({"i-2": status(1, 5), "i-3": status(1, 5)})
    if restored:
        run.members.observe_restore()
    began_at = anyio.current_time()
    change = await run.run()
    assert anyio.current_time() - began_at >= least_s
    assert change.all_members_fenced is not restored
