import pytest

from rosemaryward.decisions.errors import ConflictError
from rosemaryward.decisions.gateway.tests.fakes import FakeClock
from rosemaryward.decisions.leadership.liveness import (
    REQUEST_TIMEOUT_S,
    TURN_INTERVAL_S,
    LivenessDelegate,
)
from rosemaryward.decisions.leadership.members import MemberDirectory
from rosemaryward.decisions.leadership.tests.fakes import MemoryStore, member

CUT_OFF = "proxy-2"
KEY = "alive/" + CUT_OFF


class DelegateScenario:
    """Delegate of one of three proxies, another of which cannot reach the store."""

    def __init__(self, name="proxy-1", lease=5):
        self.clock = FakeClock()
        self.members = MemberDirectory(self.clock)
        for revision, other in enumerate(("proxy-1", CUT_OFF, "proxy-3"), 1):
            self.members.observe(member(other), revision)
            self.members.mark_alive(other)
        self.members.mark_absent(CUT_OFF)
        self.store = MemoryStore()
        self.lease = lease
        self.delegate = LivenessDelegate(
            name,
            self.members,
            self.store,
            "alive/",
            lambda: self.lease,
            lambda: None,
            self.clock,
        )

    async def ask(self):
        self.delegate.record_request(f"inc-{CUT_OFF}")
        if CUT_OFF in self.delegate.first_asked_at:
            await self.delegate.check(CUT_OFF)


async def test_key_of_a_member_that_asks_is_written():
    """Guards against a proxy that refuses work while it lacks only the store."""
    run = DelegateScenario()
    await run.ask()
    run.clock.now += TURN_INTERVAL_S * 2
    await run.ask()
    assert run.store.values[KEY][0] == f"inc-{CUT_OFF}".encode()


async def test_members_take_turns():
    """Guards against a store call by every member for each cut-off one."""
    runs = [DelegateScenario("proxy-1"), DelegateScenario("proxy-3")]
    for run in runs:
        await run.ask()
    assert sum(KEY in run.store.values for run in runs) == 1


async def test_key_of_a_member_that_stopped_asking_is_removed():
    """Guards against a change of primary that waits for a process that has ended."""
    run = DelegateScenario()
    run.clock.now += TURN_INTERVAL_S * 2
    run.delegate.record_request(f"inc-{CUT_OFF}")
    run.clock.now += TURN_INTERVAL_S * 2
    await run.ask()
    run.members.mark_alive(CUT_OFF)
    run.clock.now += REQUEST_TIMEOUT_S + 0.1
    await run.delegate.check(CUT_OFF)
    assert KEY not in run.store.values
    assert not run.delegate.first_asked_at


async def test_member_that_registered_again_keeps_its_key():
    """Guards against removing the key of a member that can reach the store again."""
    run = DelegateScenario()
    await run.ask()
    run.clock.now += TURN_INTERVAL_S * 2
    await run.ask()
    run.store.values[KEY] = (b"own", 99)
    run.clock.now += REQUEST_TIMEOUT_S + 0.1
    with pytest.raises(ConflictError):
        await run.delegate.check(CUT_OFF)
    assert KEY in run.store.values


@pytest.mark.parametrize(
    "incarnation",
    [
        pytest.param("inc-unknown", id="newer-process"),
        pytest.param("inc-proxy-3", id="living"),
    ],
)
async def test_only_registered_absent_processes_are_tracked(incarnation):
    """Guards against a liveness key for a process that no change waits for."""
    run = DelegateScenario()
    run.delegate.record_request(incarnation)
    assert not run.delegate.first_asked_at


async def test_no_key_is_written_without_a_lease():
    """Guards against a key that outlives the member that wrote it."""
    run = DelegateScenario(lease=0)
    await run.ask()
    run.clock.now += TURN_INTERVAL_S * 2
    await run.ask()
    assert run.store.values == {}


@pytest.mark.parametrize(
    "remains",
    [
        pytest.param(False, id="key-lost"),
        pytest.param(True, id="key-remains-in-a-restored-store"),
    ],
)
async def test_key_is_written_again_under_a_new_lease(remains):
    """Guards against a proxy that refuses work after its delegate lost its lease."""
    run = DelegateScenario()
    await run.ask()
    run.clock.now += TURN_INTERVAL_S * 2
    await run.ask()
    written = run.store.values[KEY][1]
    run.members.mark_alive(CUT_OFF)
    run.lease = 6
    if remains:
        await run.ask()
    # The store removes the key with the lease that it was bound to.
    del run.store.values[KEY]
    run.members.mark_absent(CUT_OFF)
    await run.ask()
    run.clock.now += TURN_INTERVAL_S * 2
    await run.ask()
    assert run.store.values[KEY][1] > written
