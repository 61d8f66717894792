"""Control commands that take effect after a later decision."""

import asyncio

import anyio
import looptime
import pytest
from hypothesis import HealthCheck, Phase, settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule

from rosemaryward.decisions.groups.tests.simulation import GroupSimulation, run
from rosemaryward.decisions.interfaces import InstanceRole

INSTANCES = st.sampled_from(["i1", "i2", "i3"])
HOSTS = st.sampled_from(["p1", "p2", "p3"])
COMMANDS = st.sampled_from(["raise_term", "open_writes", "follow"])


class HeldCommandsMachine(RuleBasedStateMachine):
    """Guards against lost writes when commands arrive after a later promotion.

    A process that is suspended between its decision and the call looks the same to
    the instances. Each host writes at the primary that it knows itself.
    """

    def __init__(self):
        super().__init__()
        self.loop = looptime.new_event_loop(noop_cycles=0)
        self.stop = asyncio.Event()
        self.ready = self.loop.create_future()
        self.main = self.loop.create_task(self.run_simulation())
        self.simulation = self.loop.run_until_complete(self.ready)

    async def run_simulation(self):
        async with GroupSimulation(0) as simulation:
            simulation.tasks.start_soon(simulation.write_through_each_host, 0.05)
            self.ready.set_result(simulation)
            await self.stop.wait()
            await simulation.heal_and_check()

    def advance_by(self, seconds):
        self.loop.run_until_complete(asyncio.sleep(seconds))

    @rule(seconds=st.sampled_from([0.05, 0.3, 0.7, 2.0]))
    def advance(self, seconds):
        self.advance_by(seconds)

    @rule(host=HOSTS, command=COMMANDS)
    def hold_command(self, host, command):
        self.simulation.network.held.add((host, command))

    @rule()
    def deliver_held_commands(self):
        self.loop.run_until_complete(self._deliver())

    async def _deliver(self):
        self.simulation.network.release()
        await asyncio.sleep(0.02)

    @rule(name=INSTANCES)
    def stop_or_start_instance(self, name):
        self.simulation.instances[name].alive ^= True

    @rule(name=INSTANCES, seconds=st.sampled_from([0.0, 0.2, 1.0]))
    def delay_replication(self, name, seconds):
        self.simulation.instances[name].lag_s = seconds

    @rule(host=HOSTS, name=INSTANCES)
    def cut_or_heal(self, host, name):
        self.simulation.network.cuts ^= {frozenset((host, name))}

    @rule(name=INSTANCES | HOSTS)
    def isolate(self, name):
        others = {"i1", "i2", "i3", "p1", "p2", "p3"} - {name}
        self.simulation.network.cut([name], others)

    @rule()
    def heal(self):
        self.simulation.network.cuts.clear()

    @rule(host=HOSTS)
    def stop_or_start_host(self, host):
        self.loop.run_until_complete(self._stop_or_start(host))

    async def _stop_or_start(self, host):
        if host in self.simulation.supervisors:
            self.simulation.kill_host(host)
        else:
            self.simulation.start_host(host)
        await asyncio.sleep(0.01)

    @rule(
        held=st.sets(st.tuples(HOSTS, COMMANDS), min_size=1),
        seconds=st.sampled_from([0.3, 1.2, 2.5]),
    )
    def replace_primary_while_commands_are_held(self, held, seconds):
        """Let the primary fail, and deliver the commands once it is back."""
        primary = self.simulation.primary()
        if primary is None:
            return
        self.simulation.network.held |= held
        primary.alive = False
        self.advance_by(seconds)
        primary.alive = True
        self.advance_by(0.05)
        self.deliver_held_commands()

    @invariant()
    def no_violations(self):
        assert not self.simulation.violations

    def teardown(self):
        self.stop.set()
        self.loop.run_until_complete(self.main)
        self.loop.close()


HeldCommandsMachine.TestCase.settings = settings(
    derandomize=True,
    max_examples=40,
    stateful_step_count=20,
    deadline=None,
    database=None,
    suppress_health_check=list(HealthCheck),
    # Shrinking a failure takes minutes, as each step simulates seconds of traffic.
    phases=[Phase.explicit, Phase.generate],
)
TestHeldCommands = HeldCommandsMachine.TestCase


async def hold_open(simulation):
    """Fail the primary while a replica is behind, and hold the open of the other one.

    Returns
    -------
    tuple of Instance
        The primary, which has returned, and the replica that was to be opened.
    """
    network, primary = simulation.network, simulation.primary()
    chosen, behind = (i for i in simulation.instances.values() if i is not primary)
    network.cut([primary.name], [behind.name])
    for _ in range(5):
        assert await simulation.write()
    network.held |= {(host, "open_writes") for host in simulation.supervisors}
    primary.alive = False
    await simulation.wait_until(lambda: chosen.term > 1)
    await anyio.sleep(0.6)
    assert len(simulation.opened) == 1
    primary.alive = True
    network.cuts.clear()
    return primary, chosen


def test_late_open_of_an_earlier_attempt_opens_no_second_primary():
    """Guards against a promotion that takes effect after a later one."""

    async def scenario():
        async with GroupSimulation(1) as simulation:
            primary, chosen = await hold_open(simulation)
            simulation.network.held.clear()
            chosen.alive = False
            await simulation.wait_until(lambda: len(simulation.opened) > 1)
            assert simulation.primary() is primary
            chosen.alive = True
            await simulation.wait_until(lambda: chosen.role is InstanceRole.REPLICA)
            simulation.tasks.start_soon(simulation.write_through_each_host, 0.05)
            simulation.network.release()
            await anyio.sleep(0.05)
            assert chosen.role is InstanceRole.REPLICA
            await anyio.sleep(2.0)
            await simulation.heal_and_check()

    run(scenario)


@pytest.mark.parametrize(
    "is_interrupted",
    [pytest.param(True, id="proposer-died"), pytest.param(False, id="proposer-lives")],
)
def test_instance_opened_late_on_a_minority_side_acknowledges_nothing(is_interrupted):
    """Guards against adopting the primary of an interrupted, superseded change."""

    async def scenario():
        async with GroupSimulation(1) as simulation:
            primary, chosen = await hold_open(simulation)
            proposer = chosen.proposer[:2]
            side = {chosen.name, proposer}
            everyone = set(simulation.instances) | set(simulation.supervisors)
            simulation.network.cut(side, everyone - side)
            simulation.network.held = {(proposer, "open_writes")}
            if is_interrupted:
                simulation.kill_host(proposer)
            await simulation.wait_until(lambda: len(simulation.opened) > 1)
            assert simulation.primary() is primary
            simulation.tasks.start_soon(simulation.write_through_each_host, 0.05)
            simulation.network.release()
            if is_interrupted:
                simulation.start_host(proposer)
            await simulation.wait_until(lambda: chosen.role is InstanceRole.PRIMARY)
            await anyio.sleep(2.0)
            assert not simulation.violations
            await simulation.heal_and_check()

    run(scenario)
