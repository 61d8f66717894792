"""Stateful test of changes of primary with crashes, silences and restarts."""

import asyncio
import contextlib

import looptime
from hypothesis import HealthCheck, Phase, settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule

from rosemaryward.decisions.errors import RosemarywardError
from rosemaryward.decisions.gateway.tests.fakes import GROUP
from rosemaryward.decisions.leadership.tests.replication import PROXIES, SimulatedFleet

INSTANCES = st.integers(0, 2)


class ReplicationMachine(RuleBasedStateMachine):
    """Guards against promoting an instance that lacks an acknowledged commit."""

    def __init__(self):
        super().__init__()
        self.loop = looptime.new_event_loop(noop_cycles=0)
        self.fleet = SimulatedFleet(self.loop.time)
        self.run(self.fleet.maintain())

    def run(self, operation):
        # A change or upkeep that fails is tried again later.
        with contextlib.suppress(RosemarywardError):
            self.loop.run_until_complete(operation)

    def instance(self, number):
        return self.fleet.group.instances[number]

    @rule(proxy=st.sampled_from(PROXIES), sampled=st.booleans())
    def commit(self, proxy, sampled):
        self.fleet.commit(proxy, sampled)

    @rule(number=INSTANCES)
    def crash(self, number):
        self.instance(number).alive = False

    @rule(number=INSTANCES, renamed=st.booleans())
    def restart_instance(self, number, renamed):
        instance = self.instance(number)
        if not instance.alive:
            self.fleet.group.restart(instance, renamed)
            self.fleet.register(instance)

    @rule(number=INSTANCES)
    def stop_or_resume_receiving(self, number):
        self.instance(number).receives ^= True

    @rule(number=INSTANCES)
    def cut_or_heal(self, number):
        self.instance(number).reachable ^= True

    @rule()
    def expire_registrations(self):
        self.fleet.expire_registrations()

    @rule(proxy=st.sampled_from(PROXIES))
    def restart_process(self, proxy):
        self.fleet.start_process(proxy)

    @rule()
    def restart_all_processes(self):
        self.fleet.start_processes()

    @rule(seconds=st.sampled_from([0.2, 3.0, 20.0]))
    def advance(self, seconds):
        self.fleet.group.replicate()
        if seconds > 1.0:
            self.fleet.group.demote_replaced_primaries()
        self.loop.run_until_complete(asyncio.sleep(seconds))

    @rule()
    def maintain(self):
        if self.fleet.leadership.records[GROUP].serving:
            self.run(self.fleet.maintain())

    @rule(silent=st.booleans())
    def change_primary(self, silent):
        self.run(self.fleet.change(silent))

    @rule(cut=st.booleans(), expired=st.booleans(), proxy=st.sampled_from(PROXIES))
    def fail_primary(self, cut, expired, proxy):
        """Crash the primary or cut it off after a commit, and replace it."""
        self.fleet.commit(proxy, sampled=False)
        primary = self.fleet.group.primary
        if primary is None:
            return
        if cut:
            primary.reachable = primary.receives = False
        else:
            primary.alive = False
        if expired:
            self.fleet.expire_registrations()
        self.run(self.fleet.change(silent=True))

    @rule(proxy=st.sampled_from(PROXIES))
    def lose_replica_and_memory(self, proxy):
        """Let one replica receive nothing, then restart the process that commits."""
        primary = self.fleet.group.primary
        replicas = [i for i in self.fleet.group.instances if i is not primary]
        replicas[0].receives = False
        self.fleet.commit(proxy, sampled=False)
        self.time_passes()
        self.fleet.start_process(proxy)

    @invariant()
    def time_passes(self):
        self.loop.run_until_complete(asyncio.sleep(0.001))

    @invariant()
    def no_acknowledged_commit_is_lost(self):
        assert self.fleet.group.lost == []

    def teardown(self):
        """Require a primary as soon as all instances are back."""
        for instance in self.fleet.group.instances:
            if not instance.alive:
                self.fleet.group.restart(instance, renamed=True)
            instance.reachable = True
            instance.receives = True
            self.fleet.register(instance)
        self.run(self.fleet.change(silent=False))
        self.no_acknowledged_commit_is_lost()
        assert self.fleet.leadership.records[GROUP].serving
        self.loop.close()


ReplicationMachine.TestCase.settings = settings(
    derandomize=True,
    max_examples=200,
    stateful_step_count=25,
    deadline=None,
    database=None,
    suppress_health_check=list(HealthCheck),
    # Shrinking a failure takes minutes, as each step runs whole changes.
    phases=[Phase.explicit, Phase.generate],
)
TestReplication = ReplicationMachine.TestCase
