"""Orders of events around changes of primary that must not lose a commit."""

import asyncio
import contextlib

import anyio
import pytest

from rosemaryward.decisions.errors import RosemarywardError, StoreError
from rosemaryward.decisions.gateway.tests.fakes import (
    FAR,
    GROUP,
    make_endpoint,
    make_record,
)
from rosemaryward.decisions.leadership.records import (
    CONFIRMATION_VALIDITY_S,
    Leadership,
)
from rosemaryward.decisions.leadership.tests.promotion_fleet import PromotionFleet
from rosemaryward.decisions.leadership.tests.replication import SimulatedFleet
from rosemaryward.decisions.types import LogPosition

pytestmark = pytest.mark.looptime(noop_cycles=0)

CALL_TIMEOUT_S = 1.0  # of a promotion call


async def change(fleet):
    """Replace the primary, or fail to do so."""
    with contextlib.suppress(RosemarywardError):
        await fleet.change(silent=True)


def hold_up_first_call(group, delay_s):
    """Let the first promotion call reach the platform late, without an answer."""
    promote = group.promote
    calls = []

    async def promote_late(*call):
        await anyio.sleep(delay_s)
        await promote(*call)

    async def promote_or_time_out(*call):
        calls.append(call)
        if len(calls) > 1:
            return await promote(*call)
        calls.append(asyncio.get_running_loop().create_task(promote_late(*call)))
        await anyio.sleep(CALL_TIMEOUT_S)
        raise StoreError("no answer")

    group.promote = promote_or_time_out


def start_empty(fleet, instance, renamed):
    """Start an instance again without its log."""
    instance.alive = False
    fleet.group.restart(instance, renamed)
    instance.term = 1
    instance.log = []
    fleet.expire_registrations()
    fleet.directory.observe(
        make_endpoint(instance.name, FAR, address=instance.address, started_at=2)
    )


@pytest.mark.parametrize("renamed", [False, True])
@pytest.mark.parametrize("proxy_restarted", [False, True])
async def test_instance_that_starts_empty_does_not_stand_for_its_earlier_log(
    renamed, proxy_restarted
):
    """Guards against counting an emptied replica as a log without the last commits."""
    fleet = SimulatedFleet(anyio.current_time)
    await fleet.maintain()
    primary, copy, behind = fleet.group.instances
    behind.receives = False
    fleet.commit("proxy-1", sampled=False)
    start_empty(fleet, copy, renamed)
    primary.alive = False
    if proxy_restarted:
        fleet.start_process("proxy-1")
    await change(fleet)
    assert fleet.group.lost == []


async def test_promotion_call_without_answer_does_not_replace_a_later_primary():
    """Guards against a held-up call that promotes after another one was published."""
    fleet = SimulatedFleet(anyio.current_time)
    await fleet.maintain()
    old, called, _ = fleet.group.instances
    fleet.commit("proxy-1", sampled=False)
    hold_up_first_call(fleet.group, delay_s=5.0)
    old.alive = False
    async with anyio.create_task_group() as tasks:
        tasks.start_soon(change, fleet)
        await anyio.sleep(0.9)
        called.alive = False
        await anyio.sleep(2.1)
        fleet.group.restart(old, renamed=True)
        fleet.register(old)
        await change(fleet)
        fleet.commit("proxy-1", sampled=False)
        called.receives = False
        fleet.group.restart(called, renamed=False)
        await anyio.sleep(6.0)
    assert fleet.group.lost == []


async def test_promotion_call_without_answer_does_not_undo_a_later_change():
    """Guards against a repeated call whose first copy promotes after a later change."""
    fleet = SimulatedFleet(anyio.current_time)
    await fleet.maintain()
    old, called, _ = fleet.group.instances
    fleet.commit("proxy-1", sampled=False)
    hold_up_first_call(fleet.group, delay_s=5.0)
    old.alive = False
    await change(fleet)  # the repeated call is answered
    fleet.group.restart(old, renamed=True)
    fleet.register(old)
    fleet.group.replicate()
    called.alive = False
    await change(fleet)
    fleet.commit("proxy-1", sampled=False)
    called.receives = False
    fleet.group.restart(called, renamed=False)
    await anyio.sleep(6.0)
    assert fleet.group.lost == []


async def test_write_answered_after_the_confirmation_ended_is_not_acknowledged():
    """Guards against telling a caller of a commit that a change may not have seen."""
    leadership = Leadership(anyio.current_time)
    leadership.observe(GROUP, make_record(), 1)
    leadership.confirm(anyio.current_time())
    with leadership.track_write(GROUP):
        await anyio.sleep(CONFIRMATION_VALIDITY_S + 0.1)
        acknowledged = leadership.acknowledge(GROUP, 1, LogPosition(1, 9))
    assert not acknowledged


@contextlib.asynccontextmanager
async def promotion_fleet():
    """Run two proxies with their supervisors."""
    fleet = PromotionFleet(anyio.current_time)
    await fleet.start()
    yield fleet
    for task in fleet.group.tasks:
        task.cancel()


async def write(fleet, name):
    """Run a write through a proxy; its answer arrives at once."""
    fleet.group.spawn(fleet.proxies[name].write_statement(0.0))
    await anyio.sleep(0.2)


async def test_instance_that_returns_before_it_is_registered_may_have_commits():
    """Guards against a replica set without an instance that confirms commits again."""
    async with promotion_fleet() as fleet:
        primary, behind, gone = fleet.group.instances
        gone.alive = False
        for proxy in fleet.proxies.values():
            fleet.expire_registrations(proxy)
        await anyio.sleep(20.0)  # it leaves the replica set
        behind.receives = False
        fleet.group.start(gone, renamed=True, empty=False)
        await write(fleet, "proxy-2")
        assert fleet.group.acknowledged
        primary.alive = False
        await anyio.sleep(10.0)
        assert fleet.group.lost == []


async def test_instance_that_starts_empty_while_it_copies_the_log_is_no_copy_of_it():
    """Guards against a promotion while the only other copy is copied again."""
    async with promotion_fleet() as fleet:
        primary, copy, behind = fleet.group.instances
        behind.receives = False
        await write(fleet, "proxy-2")
        fleet.group.copied_at[copy] = anyio.current_time() + 4.0
        copy.alive = False
        fleet.group.start(copy, renamed=False, empty=True)
        primary.alive = False
        await anyio.sleep(10.0)
        fleet.group.start(primary, renamed=False, empty=False)
        assert fleet.group.lost == []


async def test_group_whose_commits_are_destroyed_is_served_again():
    """Guards against refusing all candidates for a commit that no instance has."""
    async with promotion_fleet() as fleet:
        await write(fleet, "proxy-2")
        assert fleet.group.acknowledged
        for instance in fleet.group.instances:
            instance.alive = False
        await anyio.sleep(3.0)
        for instance in fleet.group.instances:
            instance.is_primary = False
            fleet.group.start(instance, renamed=False, empty=True)
        for proxy in fleet.proxies.values():
            for instance in fleet.group.instances:
                fleet.register(proxy, instance)
        await anyio.sleep(60.0)
        assert fleet.proxies["proxy-1"].leadership.records[GROUP].serving
        assert fleet.group.lost == []


async def test_instance_that_loses_its_pause_confirms_no_commit_for_a_caller():
    """Guards against a commit that is acknowledged after the candidate was chosen."""
    async with promotion_fleet() as fleet:
        old, _, held = fleet.group.instances
        holder, other = fleet.proxies.values()
        for instance in fleet.group.instances[1:]:
            instance.receives = False
        holder.unreachable.add(old)
        other.cut_off = True  # it cannot be fenced
        await anyio.sleep(4.5)
        fleet.group.spawn(other.write_statement(0.0))
        fleet.group.hold_ups = [0.9]
        await anyio.sleep(3.9)
        assert held.held_term
        held.held_term = 0
        held.receives = True
        await anyio.sleep(10.0)
        assert fleet.group.lost == []


async def test_first_commit_of_a_term_is_reported_as_committed():
    """Guards against losing the first commit after a change of primary."""
    leadership = Leadership(anyio.current_time)
    leadership.observe(GROUP, make_record(epoch=2, term=2), 1)
    leadership.confirm(anyio.current_time())
    newest_before = LogPosition(1, 9)
    assert leadership.acknowledge(GROUP, 2, LogPosition(2, 10), newest_before)
    assert leadership.committed_position(GROUP) > newest_before
