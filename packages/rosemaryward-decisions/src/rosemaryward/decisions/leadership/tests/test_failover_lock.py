import contextlib

import anyio
import msgspec
import pytest
from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule

from rosemaryward.decisions.gateway.tests.fakes import FakeClock
from rosemaryward.decisions.leadership import failover_lock as lock_module
from rosemaryward.decisions.leadership.confirmation import Confirmation
from rosemaryward.decisions.leadership.failover_lock import FailoverLock, LockRecord
from rosemaryward.decisions.leadership.records import Leadership
from rosemaryward.decisions.leadership.tests.fakes import MemoryStore, Peers
from rosemaryward.decisions.mirror import make_revision

KEY = "duty"


def make_lock(store, clock, name="proxy-1", first_start=True, releases=False):
    async def request_release(holder, token):
        return releases

    return FailoverLock(
        store, KEY, name, f"inc-{name}", float, first_start, request_release, clock
    )


async def step(lock):
    """Run one round of the lock's loop."""
    if lock._is_own_record():
        await lock._renew()
        return
    if not lock._may_acquire():
        await lock._request_release()
    if lock._may_acquire() and await lock._is_known():
        await lock._acquire()


async def test_free_lock_is_acquired_after_the_longest_lease():
    """Guards against two holders after the store revoked a lease early."""
    store, clock = MemoryStore(), FakeClock()
    lock = make_lock(store, clock)
    await step(lock)
    assert not lock.is_held()
    clock.now += lock_module.LEASE_TTL_S + 0.1
    await step(lock)
    assert lock.is_held()
    assert lock.token == store.revision


async def test_holder_stops_when_it_cannot_renew():
    """Guards against a frozen holder that acts after its lease ended."""
    store, clock = MemoryStore(), FakeClock()
    lock = make_lock(store, clock)
    clock.now += 10.0
    await step(lock)
    clock.now += lock_module.LEASE_TTL_S
    assert not lock.is_held()


async def test_record_written_during_the_lease_call_is_not_overwritten():
    """Guards against replacing a holder observed while the lock is acquired."""
    store, clock = MemoryStore(), FakeClock()
    lock = make_lock(store, clock)
    clock.now += 10.0
    other = LockRecord("proxy-2", "inc-proxy-2")
    grant = store.grant_lease

    async def grant_while_another_takes(ttl_s):
        store.revision += 1
        store.values[KEY] = (msgspec.json.encode(other), store.revision)
        lock.observe(other, store.revision)
        return await grant(ttl_s)

    store.grant_lease = grant_while_another_takes
    with contextlib.suppress(lock_module.ConflictError):
        await step(lock)
    assert msgspec.json.decode(store.values[KEY][0], type=LockRecord) == other
    assert not lock.is_held()


async def test_lost_lease_ends_the_hold():
    """Guards against a holder whose key the platform has removed."""
    store, clock = MemoryStore(), FakeClock()
    lock = make_lock(store, clock)
    clock.now += 10.0
    await step(lock)
    store.ended.add(lock.lease_id)
    await step(lock)
    assert not lock.is_held()


async def test_restarted_holder_acquires_the_lock_at_once():
    """Guards against a time without a holder after its process was killed."""
    store, clock = MemoryStore(), FakeClock()
    lock = make_lock(store, clock, first_start=False)
    store.revision = 31
    store.values[KEY] = (b"", 31)
    lock.observe(LockRecord("proxy-1", "inc-before"), 31)
    await step(lock)
    assert lock.is_held()
    assert lock.token > 31


async def test_new_process_waits_before_it_acquires_the_lock():
    """Guards against a change by a proxy that cut-off members do not know."""
    store, clock = MemoryStore(), FakeClock()
    lock = make_lock(store, clock, name="proxy-9", first_start=False)
    clock.now += 60.0  # the store did not answer the new process
    await step(lock)
    assert not lock.is_held()
    lock.mark_registered()
    clock.now += lock_module.NEW_PROCESS_WAIT_S - 1.0
    await step(lock)
    assert not lock.is_held()
    clock.now += 2.0
    await step(lock)
    assert lock.is_held()


@pytest.mark.parametrize("is_known", [True, False])
async def test_lock_has_a_holder_after_a_rolling_restart(is_known):
    """Guards against primaries that nobody replaces while all processes are new."""
    store, clock = MemoryStore(), FakeClock()
    lock = make_lock(store, clock, name="proxy-2", first_start=False)
    store.revision = 12
    store.values[KEY] = (b"", 12)
    lock.observe(LockRecord("", "inc-proxy-1"), 12)

    async def introduce():
        return is_known

    lock.introduce = introduce
    await step(lock)
    assert not lock.is_held()  # not registered yet
    lock.mark_registered()
    await step(lock)
    assert lock.is_held() is is_known


async def test_released_lock_is_acquired_at_once():
    """Guards against a time without a holder at every planned restart."""
    store, clock = MemoryStore(), FakeClock()
    lock = make_lock(store, clock, name="proxy-2")
    store.revision = 12
    store.values[KEY] = (b"", 12)
    lock.observe(LockRecord("", "inc-proxy-1"), 12)
    await step(lock)
    assert lock.is_held()


@pytest.mark.parametrize("releases", [True, False])
async def test_removed_lock_waits_for_a_holder_that_does_not_answer(releases):
    """Guards against two holders after the platform removed the key."""
    store, clock = MemoryStore(), FakeClock()
    lock = make_lock(store, clock, name="proxy-2", releases=releases)
    lock.observe(LockRecord("proxy-1", "inc-proxy-1"), 31)
    lock.observe_removal()
    await step(lock)
    assert lock.is_held() is releases


async def test_holder_stops_when_its_token_is_invalidated():
    """Guards against a holder that acts after it answered that it has stopped."""
    store, clock = MemoryStore(), FakeClock()
    lock = make_lock(store, clock)
    clock.now += 10.0
    await step(lock)
    lock.invalidate_token(lock.token - 1)
    assert lock.is_held()
    lock.invalidate_token(lock.token)
    assert not lock.is_held()


async def test_lock_is_released_after_the_holder_has_stopped_acting():
    """Guards against two proxies that promote around a planned stop of one."""
    store, clock = MemoryStore(), FakeClock()
    lock = make_lock(store, clock)
    clock.now += 10.0
    await step(lock)
    confirmation = Confirmation("inc-proxy-1", Leadership(clock), Peers(), clock)
    lock.wait_until_stopped = confirmation.wait_for_changes
    async with anyio.create_task_group() as tasks:
        with confirmation.track_change():  # waits for the answer to a promotion
            tasks.start_soon(lock.release)
            await anyio.sleep(0.1)
            assert not lock.is_held()
            held = msgspec.json.decode(store.values[KEY][0], type=LockRecord)
            assert held.holder == "proxy-1"
    released = msgspec.json.decode(store.values[KEY][0], type=LockRecord)
    assert released.holder == ""


class FleetLockMachine(RuleBasedStateMachine):
    """Three proxies, a store that may take leases back, and hosts that freeze."""

    NAMES = ("proxy-1", "proxy-2", "proxy-3")

    def __init__(self):
        super().__init__()
        self.clock = FakeClock()
        self.store = MemoryStore()
        self.locks = {
            name: make_lock(self.store, self.clock, name) for name in self.NAMES
        }

    @rule(name=st.sampled_from(NAMES))
    def run_one_round(self, name):
        with contextlib.suppress(lock_module.ConflictError):
            anyio.run(step, self.locks[name])

    @rule(name=st.sampled_from(NAMES))
    def watch(self, name):
        lock, stored = self.locks[name], self.store.values.get(KEY)
        if stored is not None:
            lock.observe(msgspec.json.decode(stored[0], type=LockRecord), stored[1])
        elif lock.record is not None:
            lock.observe_removal()

    @rule(seconds=st.sampled_from([0.1, 0.5, 1.0, 2.5]))
    def wait(self, seconds):
        self.clock.now += seconds

    @rule()
    def store_takes_the_key_back(self):
        if self.store.values.pop(KEY, None) is not None:
            self.store.revision += 1
            self.store.ended.update(lock.lease_id for lock in self.locks.values())

    @rule(name=st.sampled_from(NAMES))
    def release(self, name):
        with contextlib.suppress(lock_module.ConflictError):
            anyio.run(self.locks[name].release)

    @invariant()
    def at_most_one_proxy_holds_the_lock(self):
        assert sum(lock.is_held() for lock in self.locks.values()) <= 1


TestFleetLock = FleetLockMachine.TestCase
TestFleetLock.settings = settings(
    max_examples=40, stateful_step_count=30, deadline=None, derandomize=True
)


async def test_lock_that_the_store_took_back_unseen_has_one_holder():
    """Guards against a second holder that never saw the first one's record."""
    store, clock = MemoryStore(), FakeClock()
    first, second = (make_lock(store, clock, name) for name in ("proxy-2", "proxy-1"))
    clock.now += 2.5
    await step(first)
    assert first.is_held()
    del store.values[KEY]
    store.revision += 1
    await step(second)
    assert not (first.is_held() and second.is_held())


class WatchedFleetLockMachine(FleetLockMachine):
    """The same fleet, whose proxies watch all keys and stop when they are asked to."""

    def __init__(self):
        super().__init__()
        for lock in self.locks.values():
            lock.request_release = self.request_release

    async def request_release(self, holder, token):
        self.locks[holder].invalidate_token(token)
        return True

    @rule(name=st.sampled_from(FleetLockMachine.NAMES))
    def watch_last_acquisition(self, name):
        lock = self.locks[name]
        stored = self.store.values.get(lock.last_acquisition_key)
        if stored is not None:
            record = msgspec.json.decode(stored[0], type=LockRecord)
            lock.observe_last_acquisition(record, stored[1])


TestWatchedFleetLock = WatchedFleetLockMachine.TestCase
TestWatchedFleetLock.settings = settings(
    max_examples=100, stateful_step_count=30, deadline=None, derandomize=True
)


@pytest.mark.parametrize("releases", [True, False])
async def test_holder_that_was_not_seen_is_asked_to_stop(releases):
    """Guards against waiting for a lease although its holder has stopped."""
    store, clock = MemoryStore(), FakeClock()
    first, second = (
        make_lock(store, clock, name, releases=releases)
        for name in ("proxy-2", "proxy-1")
    )
    clock.now += 2.5
    await step(first)
    del store.values[KEY]
    await step(second)
    assert (second.last_holder, second.last_holder_token) == ("proxy-2", first.token)
    await step(second)
    assert second.is_held() is releases
    clock.now += lock_module.LEASE_TTL_S
    await step(second)
    assert second.is_held()


async def test_release_by_an_earlier_holder_does_not_free_the_lock():
    """Guards against a second holder after removals that a watch shows together."""
    store, clock = MemoryStore(), FakeClock()
    lock = make_lock(store, clock, releases=True)
    lock.observe(LockRecord("proxy-2", "inc-proxy-2"), 31)
    lock.observe_last_acquisition(LockRecord("proxy-3", "inc-proxy-3"), 35)
    lock.observe_removal()
    assert (lock.last_holder, lock.last_holder_token) == ("proxy-3", 35)


@pytest.mark.parametrize(
    "copy",
    [
        pytest.param(None, id="never-written"),
        pytest.param(LockRecord("proxy-3", "inc-proxy-3"), id="of-an-earlier-holder"),
    ],
)
async def test_lock_of_an_earlier_build_is_acquired_at_once(copy):
    """Guards against a slow handover in a rolling update."""
    store, clock = MemoryStore(), FakeClock()
    lock = make_lock(store, clock, name="proxy-2")
    store.revision = 20
    if copy is not None:
        store.values[lock.last_acquisition_key] = (msgspec.json.encode(copy), 12)
        lock.observe_last_acquisition(copy, 12)
    store.values[KEY] = (b"", 20)
    lock.observe(LockRecord("", "inc-proxy-1"), 20)
    await step(lock)
    assert lock.is_held()


@pytest.mark.parametrize(
    "copy", [pytest.param(None, id="lost"), pytest.param(b"?", id="unreadable")]
)
async def test_lock_without_a_readable_copy_is_free_after_a_lease(copy):
    """Guards against a lock that nobody can acquire any more."""
    store, clock = MemoryStore(), FakeClock()
    lock = make_lock(store, clock)
    lock.observe_last_acquisition(LockRecord("proxy-2", "inc-proxy-2"), 5)
    if copy is not None:
        store.values[lock.last_acquisition_key] = (copy, 9)
    clock.now += 2.5
    await step(lock)
    assert not lock.is_held()
    clock.now += lock_module.LEASE_TTL_S
    await step(lock)
    assert lock.is_held()


async def test_released_lock_is_not_acquired_again_by_the_same_process():
    """Guards against a process that takes the lock while it shuts down."""
    store, clock = MemoryStore(), FakeClock()
    lock = make_lock(store, clock)
    clock.now += 10.0
    await step(lock)
    assert lock.is_held()
    await lock.release()
    lock.observe(LockRecord("", "inc-proxy-1"), store.revision)
    clock.now += 10.0
    await step(lock)
    assert not lock.is_held()


@pytest.mark.parametrize(
    "restored_record",
    [
        pytest.param(LockRecord("proxy-1", "inc-proxy-1"), id="own-earlier-one"),
        pytest.param(LockRecord("", "inc-proxy-2"), id="one-that-was-released"),
        pytest.param(None, id="none"),
    ],
)
async def test_lock_is_not_acquired_while_a_lost_holder_may_act(restored_record):
    """Guards against a second holder after a restore lost the first one's record."""
    store, clock = MemoryStore(), FakeClock()
    lock = make_lock(store, clock, releases=True)
    lock.observe(LockRecord("proxy-3", "inc-proxy-3"), 12)
    clock.now += 10.0
    lock.observe_restore()
    if restored_record is None:
        lock.observe_removal()
        store.values.pop(KEY, None)
    else:
        revision = make_revision(1, 9)
        store.values[KEY] = (msgspec.json.encode(restored_record), revision)
        lock.observe(restored_record, revision)
    clock.now += lock_module.LEASE_TTL_S - 0.1
    await lock._request_release()
    assert not lock._may_acquire()
    clock.now += 0.2
    assert lock._may_acquire()


async def test_holder_stops_when_the_store_is_restored():
    """Guards against a holder that acts under a token from before the restore."""
    store, clock = MemoryStore(), FakeClock()
    lock = make_lock(store, clock)
    clock.now += 10.0
    await step(lock)
    assert lock.is_held()
    lock.observe_restore()
    assert not lock.is_held()
    lock.observe(LockRecord("proxy-1", "inc-proxy-1"), make_revision(1, 5))
    assert not lock.is_held()
