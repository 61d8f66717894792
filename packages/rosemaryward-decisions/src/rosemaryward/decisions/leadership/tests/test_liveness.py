import pytest

from rosemaryward.decisions.errors import ConflictError
from rosemaryward.decisions.gateway.tests.fakes import FakeClock
from rosemaryward.decisions.leadership.liveness import (
    ASKED_WITHIN_S,
    TURN_S,
    LivenessDelegate,
)
from rosemaryward.decisions.leadership.members import MemberDirectory
from rosemaryward.decisions.leadership.tests.fakes import MemoryStore, member

TURNED_AWAY = "proxy-2"
KEY = "alive/" + TURNED_AWAY


class Sponsored:
    """Two proxies, one of which the store turns away."""

    def __init__(self, name="proxy-1", lease=5):
        self.clock = FakeClock()
        self.members = MemberDirectory(self.clock)
        for revision, other in enumerate(("proxy-1", TURNED_AWAY, "proxy-3"), 1):
            self.members.observe(member(other), revision)
            self.members.mark_alive(other)
        self.members.mark_absent(TURNED_AWAY)
        self.store = MemoryStore()
        self.lease = lease
        self.sponsor = LivenessDelegate(
            name,
            self.members,
            self.store,
            "alive/",
            lambda: self.lease,
            lambda: None,
            self.clock,
        )

    async def ask(self):
        self.sponsor.record_request(f"inc-{TURNED_AWAY}")
        if TURNED_AWAY in self.sponsor.asked:
            await self.sponsor.check(TURNED_AWAY)


async def test_member_that_asks_is_sponsored():
    """Guards against refusing work at a proxy that only the store cannot reach."""
    run = Sponsored()
    await run.ask()
    run.clock.now += TURN_S * 2
    await run.ask()
    assert run.store.values[KEY][0] == f"inc-{TURNED_AWAY}".encode()


async def test_members_take_turns():
    """Guards against a call of every member for each one that is turned away."""
    runs = [Sponsored("proxy-1"), Sponsored("proxy-3")]
    for run in runs:
        await run.ask()
    assert sum(KEY in run.store.values for run in runs) == 1


async def test_member_that_stopped_asking_is_released():
    """Guards against a change of primary that waits for a process that is gone."""
    run = Sponsored()
    run.clock.now += TURN_S * 2
    run.sponsor.record_request(f"inc-{TURNED_AWAY}")
    run.clock.now += TURN_S * 2
    await run.ask()
    run.members.mark_alive(TURNED_AWAY)
    run.clock.now += ASKED_WITHIN_S + 0.1
    await run.sponsor.check(TURNED_AWAY)
    assert KEY not in run.store.values
    assert not run.sponsor.asked


async def test_member_that_registered_again_keeps_its_key():
    """Guards against removing the key of a member that the store answers again."""
    run = Sponsored()
    await run.ask()
    run.clock.now += TURN_S * 2
    await run.ask()
    run.store.values[KEY] = (b"own", 99)
    run.clock.now += ASKED_WITHIN_S + 0.1
    with pytest.raises(ConflictError):
        await run.sponsor.check(TURNED_AWAY)
    assert KEY in run.store.values


@pytest.mark.parametrize(
    "incarnation",
    [
        pytest.param("inc-unknown", id="newer-process"),
        pytest.param("inc-proxy-3", id="living"),
    ],
)
async def test_only_registered_absent_processes_are_sponsored(incarnation):
    """Guards against a confirmation for a process that no change waits for."""
    run = Sponsored()
    run.sponsor.record_request(incarnation)
    assert not run.sponsor.asked


async def test_no_sponsor_without_a_lease():
    """Guards against a key that outlives its sponsor."""
    run = Sponsored(lease=0)
    await run.ask()
    run.clock.now += TURN_S * 2
    await run.ask()
    assert run.store.values == {}
