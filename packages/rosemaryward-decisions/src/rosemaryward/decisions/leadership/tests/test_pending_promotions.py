"""Promotion calls that take effect seconds after their caller has given up."""

import asyncio
import contextlib

import looptime
import pytest

from rosemaryward.decisions.errors import RosemarywardError, StoreError
from rosemaryward.decisions.gateway.tests.fakes import GROUP
from rosemaryward.decisions.leadership.tests.replication import (
    SimulatedFleet,
    SimulatedGroup,
)

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
