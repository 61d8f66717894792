"""Promotion calls that take effect seconds after their caller has given up."""

import asyncio
import contextlib

import looptime
import msgspec
import pytest

from rosemaryward.decisions.errors import RosemarywardError, StoreError
from rosemaryward.decisions.gateway.tests.fakes import GROUP, FakeClock, make_record
from rosemaryward.decisions.leadership import change as change_module
from rosemaryward.decisions.leadership import pending_promotions
from rosemaryward.decisions.leadership.change import ChangeAbandonedError
from rosemaryward.decisions.leadership.pending_promotions import (
    EFFECT_LIMIT_S,
    PendingPromotions,
)
from rosemaryward.decisions.leadership.records import Leadership
from rosemaryward.decisions.leadership.tests.fakes import ChangeScenario, status
from rosemaryward.decisions.leadership.tests.replication import (
    SimulatedFleet,
    SimulatedGroup,
)
from rosemaryward.decisions.mirror import make_revision

CALL_TIMEOUT_S = 1.0


class SlowPromotionGroup(SimulatedGroup):
    """Group whose next promotion call is not answered and takes effect later.

    Attributes
    ----------
    effect_delay_s : float
        Delay of that effect in seconds, 0 if the call is answered.
    """

    def __init__(self):
        super().__init__()
        self.effect_delay_s = 0.0
        self.effects = []
        self.called = asyncio.Event()

    async def promote(self, group, name, holder, token):
        if not self.effect_delay_s:
            return await super().promote(group, name, holder, token)
        delay_s, self.effect_delay_s = self.effect_delay_s, 0.0
        self.effects.append(asyncio.create_task(self._promote_later(name, delay_s)))
        self.called.set()
        await asyncio.sleep(CALL_TIMEOUT_S)
        raise StoreError("promotion call failed: no answer")

    async def _promote_later(self, name, delay_s):
        await asyncio.sleep(delay_s)
        await super().promote(GROUP, name, "", 0)


class Scenario:
    """Fleet whose primary has crashed after a commit."""

    def __init__(self, loop):
        self.fleet = SimulatedFleet(loop.time)
        self.group = self.fleet.group = SlowPromotionGroup()
        self.fleet.start_processes()
        self.first, self.second, self.third = self.group.instances

    async def crash_primary(self):
        await self.fleet.maintain()
        self.fleet.commit("proxy-1", sampled=False)
        self.first.alive = False

    async def change_until_serving(self):
        """Change the primary, again if a change is abandoned."""
        while (
            not self.fleet.leadership.records[GROUP].serving or not self.group.effects
        ):
            with contextlib.suppress(RosemarywardError):
                await self.fleet.change(silent=True)
            await asyncio.sleep(0.25)

    def restart(self, instance):
        self.group.restart(instance, renamed=False)
        self.fleet.register(instance)

    async def commit_for(self, duration_s):
        """Commit all the time, as far as a primary is published."""
        for _ in range(round(duration_s / 0.1)):
            self.group.replicate()
            self.group.demote_replaced_primaries()
            self.fleet.commit("proxy-1", sampled=False)
            await asyncio.sleep(0.1)


@pytest.mark.parametrize("effect_delay_s", [0.5, 2.0, 4.0, 6.0])
@pytest.mark.parametrize("holder", ["same", "next"])
@pytest.mark.parametrize("returns_after_s", [0.2, 1.5])
def test_late_promotion_does_not_replace_a_primary_that_others_have_used(
    effect_delay_s, holder, returns_after_s
):
    """Guards against losing commits to a promotion call that was held up."""
    loop = looptime.new_event_loop(noop_cycles=0)
    scenario = Scenario(loop)

    async def run():
        await scenario.crash_primary()
        scenario.group.effect_delay_s = effect_delay_s
        change = asyncio.create_task(scenario.change_until_serving())
        await scenario.group.called.wait()
        called = scenario.second
        if holder == "next":
            change.cancel()
            scenario.fleet.record = scenario.fleet.leadership.records[GROUP]
            scenario.fleet.start_processes()
        called.alive = called.receives = False
        scenario.restart(scenario.first)
        if holder == "next":
            change = asyncio.create_task(scenario.change_until_serving())
        await asyncio.sleep(returns_after_s)
        scenario.restart(called)
        await scenario.commit_for(12.0)
        change.cancel()

    loop.run_until_complete(run())
    loop.close()
    assert scenario.group.lost == []
    assert scenario.fleet.leadership.records[GROUP].serving
    assert len(scenario.group.acknowledged) > 1


async def test_next_holder_waits_for_the_last_call_of_the_one_before(monkeypatch):
    """Guards against a call that was repeated long after it was first announced."""
    monkeypatch.setattr(change_module, "CONFIRMATION_VALIDITY_S", 0.3)
    monkeypatch.setattr(change_module, "CONFIRMATION_MARGIN_S", 0.0)
    monkeypatch.setattr(change_module, "CATCH_UP_TIMEOUT_S", 0.05)
    monkeypatch.setattr(pending_promotions, "EFFECT_LIMIT_S", 5.0)
    run = ChangeScenario({"i-2": status(1, 6)})
    announced = msgspec.structs.replace(
        make_record(2), serving=False, holder="proxy-2", pending=("i-3",)
    )
    run.leadership.observe(GROUP, announced, 2)
    run.writer.revision = 2
    first_announced_at = run.leadership.clock() - EFFECT_LIMIT_S - 0.1
    pending = run.leadership.pending_promotions
    pending.until[GROUP]["i-3"] = first_announced_at + EFFECT_LIMIT_S
    with contextlib.suppress(ChangeAbandonedError):
        await run.run("unfinished change", old_primary_silent=True)
    assert run.promoter.calls == []


def test_answered_call_is_not_pending_because_of_a_much_earlier_one():
    """Guards against a wait in every later promotion of the same endpoint."""
    clock = FakeClock()
    pending = PendingPromotions(clock)
    with pytest.raises(StoreError), pending.track_call(GROUP, "i-2"):
        raise StoreError("no answer")
    clock.now += EFFECT_LIMIT_S + 1.0
    with pending.track_call(GROUP, "i-2"):
        pass
    pending.resolve(GROUP, "i-2")
    assert pending.endpoints(GROUP) == []


def test_restored_store_does_not_end_the_wait_for_an_unanswered_call():
    """Guards against a copy of the store from before the call was announced."""
    leadership = Leadership(FakeClock())
    record = msgspec.structs.replace(make_record(2), serving=False)
    leadership.observe(GROUP, record, 2)
    named = msgspec.structs.replace(record, pending=("i-2",))
    leadership.observe(GROUP, named, 3)
    pending = leadership.pending_promotions
    with pytest.raises(StoreError), pending.track_call(GROUP, "i-2"):
        raise StoreError("no answer")
    leadership.observe(GROUP, record, make_revision(1, 2))
    assert pending.endpoints(GROUP) == ["i-2"]
