import contextlib

import msgspec
import pytest

from rosemaryward.decisions.gateway.tests.fakes import FakeClock
from rosemaryward.decisions.leadership import failover_lock as lock_module
from rosemaryward.decisions.leadership.failover_lock import FailoverLock, LockRecord
from rosemaryward.decisions.leadership.tests.fakes import MemoryStore

KEY = "duty"


def make_duty(store, clock, name="proxy-1", first_start=True, releases=False):
    async def ask_release(holder, token):
        return releases

    return FailoverLock(
        store, KEY, name, f"inc-{name}", 0.0, first_start, ask_release, clock
    )


async def step(duty):
    """Run one round of the duty's loop."""
    if duty._is_mine():
        await duty._renew()
        return
    await duty._ask_last_holder()
    if duty._is_free():
        await duty._take()


async def test_free_duty_is_taken_after_the_longest_lease():
    """Guards against two holders after a lease was taken back early."""
    store, clock = MemoryStore(), FakeClock()
    duty = make_duty(store, clock)
    await step(duty)
    assert not duty.is_held()
    clock.now += lock_module.LEASE_S + 0.1
    await step(duty)
    assert duty.is_held()
    assert duty.token == store.revision


async def test_holder_stops_by_itself_when_it_cannot_renew():
    """Guards against a frozen holder that acts after its lease ended."""
    store, clock = MemoryStore(), FakeClock()
    duty = make_duty(store, clock)
    clock.now += 10.0
    await step(duty)
    clock.now += lock_module.LEASE_S
    assert not duty.is_held()


async def test_duty_taken_during_the_lease_call_is_not_overwritten():
    """Guards against replacing a holder that became known while taking the duty."""
    store, clock = MemoryStore(), FakeClock()
    duty = make_duty(store, clock)
    clock.now += 10.0
    other = LockRecord("proxy-2", "inc-proxy-2")
    grant = store.grant_lease

    async def grant_while_another_takes(ttl_s):
        store.revision += 1
        store.values[KEY] = (msgspec.json.encode(other), store.revision)
        duty.observe(other, store.revision)
        return await grant(ttl_s)

    store.grant_lease = grant_while_another_takes
    with contextlib.suppress(lock_module.ConflictError):
        await step(duty)
    assert msgspec.json.decode(store.values[KEY][0], type=LockRecord) == other
    assert not duty.is_held()


async def test_lost_lease_ends_the_duty():
    """Guards against a holder whose key the platform has removed."""
    store, clock = MemoryStore(), FakeClock()
    duty = make_duty(store, clock)
    clock.now += 10.0
    await step(duty)
    store.ended.add(duty.lease_id)
    await step(duty)
    assert not duty.is_held()


async def test_restarted_holder_takes_its_duty_at_once():
    """Guards against a gap after the holder's process was killed."""
    store, clock = MemoryStore(), FakeClock()
    duty = make_duty(store, clock, first_start=False)
    store.revision = 31
    store.values[KEY] = (b"", 31)
    duty.observe(LockRecord("proxy-1", "inc-before"), 31)
    await step(duty)
    assert duty.is_held()
    assert duty.token > 31


async def test_newcomer_leaves_the_duty_to_members_that_were_there():
    """Guards against a change by a proxy that members cut off do not know."""
    store, clock = MemoryStore(), FakeClock()
    duty = make_duty(store, clock, name="proxy-9", first_start=False)
    clock.now += 60.0  # the store did not answer the new process
    await step(duty)
    assert not duty.is_held()
    duty.mark_registered()
    clock.now += lock_module.NEWCOMER_WAIT_S - 1.0
    await step(duty)
    assert not duty.is_held()
    clock.now += 2.0
    await step(duty)
    assert duty.is_held()


async def test_duty_that_was_given_back_is_taken_at_once():
    """Guards against a gap in the duty at every planned restart."""
    store, clock = MemoryStore(), FakeClock()
    duty = make_duty(store, clock, name="proxy-2")
    store.revision = 12
    store.values[KEY] = (b"", 12)
    duty.observe(LockRecord("", "inc-proxy-1"), 12)
    await step(duty)
    assert duty.is_held()


@pytest.mark.parametrize("releases", [True, False])
async def test_removed_duty_waits_for_a_holder_that_does_not_answer(releases):
    """Guards against two holders after the platform took the key back."""
    store, clock = MemoryStore(), FakeClock()
    duty = make_duty(store, clock, name="proxy-2", releases=releases)
    duty.observe(LockRecord("proxy-1", "inc-proxy-1"), 31)
    duty.observe_removal()
    await step(duty)
    assert duty.is_held() is releases


async def test_released_holder_stops_at_once():
    """Guards against a holder that acts after it said that it has stopped."""
    store, clock = MemoryStore(), FakeClock()
    duty = make_duty(store, clock)
    clock.now += 10.0
    await step(duty)
    duty.invalidate_token(duty.token - 1)
    assert duty.is_held()
    duty.invalidate_token(duty.token)
    assert not duty.is_held()
