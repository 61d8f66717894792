import msgspec
import pytest

from rosemaryward.decisions.gateway.tests.fakes import FakeClock
from rosemaryward.decisions.leadership.failover_lock import NEW_PROCESS_WAIT_S
from rosemaryward.decisions.leadership.lock_turns import (
    MAX_TURNS,
    TURN_S,
    acquire_delay_s,
)
from rosemaryward.decisions.leadership.members import MemberDirectory
from rosemaryward.decisions.leadership.tests.fakes import member

FLEET = 200


def make_fleet(large=(), clock=None):
    members = MemberDirectory(clock or FakeClock())
    for number in range(FLEET):
        name = f"proxy-{number}"
        capacity = 100.0 if number in large else 10.0
        members.observe(msgspec.structs.replace(member(name), capacity=capacity), 1)
        members.mark_alive(name)
    return members


def test_few_members_try_to_acquire_a_free_lock_at_once():
    """Guards against store calls of a whole fleet for one lock."""
    members = make_fleet()
    delays = [acquire_delay_s(members, f"proxy-{n}") for n in range(FLEET)]
    assert delays.count(0.0) == 1
    assert sum(delay < MAX_TURNS * TURN_S for delay in delays) == MAX_TURNS


def test_lock_goes_to_a_member_with_much_capacity():
    """Guards against changes of primary by the smallest host of the fleet."""
    members = make_fleet(large=(7, 90))
    delays = sorted((acquire_delay_s(members, f"proxy-{n}"), n) for n in range(FLEET))
    assert {n for _, n in delays[:2]} == {7, 90}


def test_members_that_have_just_restarted_come_last():
    """Guards against a lock without a holder while hosts restart one by one."""
    clock = FakeClock()
    members = make_fleet(large=(7, 90), clock=clock)
    clock.now += 2 * NEW_PROCESS_WAIT_S
    restarted = msgspec.structs.replace(members.members["proxy-7"], incarnation="new")
    members.observe(restarted, 2)
    assert acquire_delay_s(members, "proxy-90") == 0.0
    assert acquire_delay_s(members, "proxy-7") == MAX_TURNS * TURN_S


@pytest.mark.parametrize("name", ["proxy-7", "unknown"])
def test_member_that_is_not_live_comes_last(name):
    """Guards against a lock that nobody acquires while its first member is gone."""
    members = make_fleet(large=(7, 90))
    members.mark_absent("proxy-7")
    assert acquire_delay_s(members, name) == MAX_TURNS * TURN_S
    assert acquire_delay_s(members, "proxy-90") == 0.0
