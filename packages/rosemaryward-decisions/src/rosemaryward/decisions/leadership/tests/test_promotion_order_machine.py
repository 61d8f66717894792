"""Stateful test of two proxies that change the primary while other events happen."""

import asyncio

import looptime
from hypothesis import HealthCheck, Phase, settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, precondition, rule

from rosemaryward.decisions.gateway.tests.fakes import GROUP
from rosemaryward.decisions.leadership.tests.promotion_fleet import PromotionFleet
from rosemaryward.decisions.leadership.tests.replication import PROXIES

INSTANCES = st.integers(0, 2)
NAMES = st.sampled_from(PROXIES)
HOLD_UPS_S = st.sampled_from([0.5, 3.0, 4.5, 6.0])
STEPS_S = st.sampled_from([0.05, 0.2, 0.6, 1.2, 3.0, 7.0])


def requires(fault):
    """Allow a rule only in machines with a fault."""
    return precondition(lambda machine: fault in machine.FAULTS)


class PromotionOrderMachine(RuleBasedStateMachine):
    """Guards against orders of events that lose an acknowledged commit."""

    FAULTS = frozenset()

    def __init__(self):
        super().__init__()
        self.loop = looptime.new_event_loop(noop_cycles=0)
        self.fleet = PromotionFleet(self.loop.time)
        self.loop.run_until_complete(self.fleet.start())

    def pass_time(self, seconds):
        self.loop.run_until_complete(asyncio.sleep(seconds))

    def instance(self, number):
        return self.fleet.group.instances[number]

    def proxy(self, name):
        return self.fleet.proxies[name]

    def start_write(self, name, answer_delay_s):
        write = self.proxy(name).write_statement(answer_delay_s)
        self.fleet.group.tasks.add(self.loop.create_task(write))

    @rule(name=NAMES, seconds=STEPS_S)
    def write(self, name, seconds):
        self.start_write(name, 0.0)
        self.pass_time(seconds)

    @requires("late answers")
    @rule(name=NAMES, answer_delay_s=st.sampled_from([0.3, 3.0, 6.5]))
    def write_with_late_answer(self, name, answer_delay_s):
        self.start_write(name, answer_delay_s)
        self.pass_time(0.05)

    @rule(seconds=STEPS_S)
    def advance(self, seconds):
        self.pass_time(seconds)

    @rule(number=INSTANCES)
    def crash(self, number):
        self.instance(number).alive = False

    @rule()
    def crash_primary(self):
        primary = self.fleet.group.primary
        if primary is not None:
            primary.alive = False

    @rule(name=NAMES, hold_up_s=HOLD_UPS_S, seconds=STEPS_S, expired=st.booleans())
    def fail_primary(self, name, hold_up_s, seconds, expired):
        """Crash the primary after a commit; the first promotion call may be late."""
        self.write(name, 0.2)
        if "late calls" in self.FAULTS:
            self.fleet.group.hold_ups = [hold_up_s]
        self.crash_primary()
        if expired:
            for proxy in self.fleet.proxies.values():
                self.fleet.expire_registrations(proxy)
        self.pass_time(seconds)

    @rule(
        name=NAMES,
        hold_up_s=HOLD_UPS_S,
        called_s=st.sampled_from([0.5, 0.9]),
        away_s=st.sampled_from([1.5, 3.0]),
    )
    def lose_called_endpoint(self, name, hold_up_s, called_s, away_s):
        """Crash the endpoint that is called; it returns, and receives nothing yet."""
        if "late calls" in self.FAULTS:
            self.fleet.group.hold_ups = [hold_up_s]
        for proxy in self.fleet.proxies.values():
            proxy.replaces_next = True
        self.pass_time(called_s)
        called = self.fleet.group.called
        if called is None:
            return
        called.alive = False
        self.pass_time(away_s)
        self.write(name, 0.2)
        called.receives = False
        self.start(self.fleet.group.instances.index(called), False, PROXIES, False)

    @rule(seconds=st.sampled_from([1.0, 5.0]))
    def heal(self, seconds):
        self.fleet.heal()
        self.pass_time(seconds)

    @rule(lagging=st.none() | INSTANCES)
    def restart_all(self, lagging):
        """Restart what has crashed; one instance receives nothing yet."""
        for number in range(len(self.fleet.group.instances)):
            self.instance(number).receives = number != lagging
            self.start(number, renamed=False, seen_by=PROXIES, empty=False)
        self.pass_time(0.1)

    @rule(number=INSTANCES, renamed=st.booleans(), seen_by=st.sets(NAMES))
    def restart(self, number, renamed, seen_by):
        self.start(number, renamed, seen_by, empty=False)

    @requires("empty")
    @rule(
        number=INSTANCES,
        renamed=st.booleans(),
        seen_by=st.sets(NAMES),
        copy_s=st.sampled_from([0.0, 1.0, 4.0]),
    )
    def restart_empty(self, number, renamed, seen_by, copy_s):
        instance = self.instance(number)
        self.fleet.group.copied_at[instance] = self.loop.time() + copy_s
        instance.alive = instance.alive and instance.is_primary
        self.start(number, renamed, seen_by, empty=True)

    @requires("empty")
    @rule(name=NAMES, copy_s=st.sampled_from([1.0, 4.0]), seconds=STEPS_S)
    def empty_copy_and_fail_primary(self, name, copy_s, seconds):
        """Empty the only other copy of a commit shortly before the primary fails."""
        copy, behind = self.replicas()
        self.instance(behind).receives = False
        self.write(name, 0.2)
        self.instance(copy).alive = False
        self.restart_empty(copy, False, PROXIES, copy_s)
        self.crash_primary()
        self.pass_time(seconds)

    @requires("unregistered")
    @rule(name=NAMES, away_s=st.sampled_from([5.0, 20.0]), seconds=STEPS_S)
    def return_unregistered_and_fail_primary(self, name, away_s, seconds):
        """Let a replica that was away take part before it is registered again."""
        copy, behind = self.replicas()
        self.instance(copy).alive = False
        for proxy in self.fleet.proxies.values():
            self.fleet.expire_registrations(proxy)
        self.pass_time(away_s)
        self.instance(behind).receives = False
        self.start(copy, True, (), empty=False)
        self.write(name, 0.2)
        self.crash_primary()
        self.pass_time(seconds)

    def replicas(self):
        """Return the numbers of two instances that are not the primary."""
        primary = self.fleet.group.primary
        numbers = range(len(self.fleet.group.instances))
        return [n for n in numbers if self.instance(n) is not primary][:2]

    def start(self, number, renamed, seen_by, empty):
        instance = self.instance(number)
        if instance.alive:
            return
        self.fleet.group.start(instance, renamed, empty)
        for name in seen_by:
            self.fleet.expire_registrations(self.proxy(name))
            self.fleet.register(self.proxy(name), instance)

    @rule(number=INSTANCES)
    def restart_at_once(self, number):
        """Start a replica again, which loses its pause."""
        instance = self.instance(number)
        if instance.alive and not instance.is_primary:
            instance.held_term = 0

    @rule(name=NAMES)
    def expire_registrations(self, name):
        self.fleet.expire_registrations(self.proxy(name))

    @rule(name=NAMES, numbers=st.sets(INSTANCES, max_size=2))
    def lose_registrations(self, name, numbers):
        self.proxy(name).missing = {self.instance(number) for number in numbers}
        self.fleet.expire_registrations(self.proxy(name))

    @rule(name=NAMES)
    def register_all(self, name):
        self.proxy(name).missing.clear()
        for instance in self.fleet.group.instances:
            self.fleet.register(self.proxy(name), instance)

    @rule(number=INSTANCES)
    def stop_or_resume_receiving(self, number):
        self.instance(number).receives ^= True

    @rule(name=NAMES, number=INSTANCES)
    def cut_or_heal_link(self, name, number):
        self.proxy(name).unreachable ^= {self.instance(number)}

    @rule(name=NAMES)
    def cut_off_or_heal(self, name):
        self.proxy(name).cut_off ^= True

    @rule(name=NAMES, seconds=st.sampled_from([0.02, 0.5, 4.0]))
    def delay_watch(self, name, seconds):
        self.proxy(name).watch_delay_s = seconds

    @rule(name=NAMES)
    def replace_primary(self, name):
        self.proxy(name).replaces_next = True

    @rule()
    def end_lease(self):
        for lease_id in list(self.fleet.store.lease_keys):
            self.fleet.store.end_lease(lease_id)

    @requires("late calls")
    @rule(hold_ups=st.lists(HOLD_UPS_S, min_size=1, max_size=3))
    def hold_up_calls(self, hold_ups):
        self.fleet.group.hold_ups = hold_ups

    @requires("suspended")
    @rule(name=NAMES, seconds=st.sampled_from([0.5, 3.0, 8.0]))
    def suspend(self, name, seconds):
        self.proxy(name).resumes_at = self.loop.time() + seconds

    @invariant()
    def no_acknowledged_commit_is_lost(self):
        assert self.fleet.group.lost == []

    @invariant()
    def at_most_one_proxy_holds_the_lock(self):
        holders = [p for p in self.fleet.proxies.values() if p.lock.is_held()]
        assert len(holders) <= 1

    @invariant()
    def no_task_has_failed(self):
        assert self.fleet.failures() == []

    def teardown(self):
        """Require a primary as soon as all faults are over."""
        try:
            self.fleet.heal()
            self.pass_time(40.0)
            self.no_acknowledged_commit_is_lost()
            self.no_task_has_failed()
            record = self.proxy(PROXIES[0]).leadership.records[GROUP]
            assert record.serving
        finally:
            for task in self.fleet.group.tasks:
                task.cancel()
            self.pass_time(0.1)
            self.loop.close()


class LateCallMachine(PromotionOrderMachine):
    """Promotion calls that take effect after their caller has given up."""

    FAULTS = frozenset({"late calls"})


class EmptyRestartMachine(PromotionOrderMachine):
    """Replicas that return without their logs."""

    FAULTS = frozenset({"empty"})


class UnregisteredMachine(PromotionOrderMachine):
    """Replicas that confirm commits before they are registered again."""

    FAULTS = frozenset({"unregistered"})


class LateAnswerMachine(PromotionOrderMachine):
    """Commits whose answers arrive after the confirmation has ended."""

    FAULTS = frozenset({"late answers"})


class SuspendedProxyMachine(PromotionOrderMachine):
    """Processes that stand still while their clocks go on."""

    FAULTS = frozenset({"suspended"})


SETTINGS = settings(
    derandomize=True,
    max_examples=40,
    stateful_step_count=30,
    deadline=None,
    database=None,
    suppress_health_check=list(HealthCheck),
    # Shrinking a failure takes minutes, as each step runs whole changes.
    phases=[Phase.explicit, Phase.generate],
)
TestPromotionOrder = PromotionOrderMachine.TestCase
TestPromotionOrder.settings = SETTINGS
TestLateCalls = LateCallMachine.TestCase
TestLateCalls.settings = SETTINGS
TestEmptyRestarts = EmptyRestartMachine.TestCase
TestEmptyRestarts.settings = SETTINGS
TestUnregistered = UnregisteredMachine.TestCase
TestUnregistered.settings = SETTINGS
TestLateAnswers = LateAnswerMachine.TestCase
TestLateAnswers.settings = SETTINGS
TestSuspendedProxies = SuspendedProxyMachine.TestCase
TestSuspendedProxies.settings = SETTINGS
