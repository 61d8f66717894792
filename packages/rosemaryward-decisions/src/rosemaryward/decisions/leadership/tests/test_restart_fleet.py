"""Leaving primaries while hosts restart, fall silent or lose the store."""

import asyncio

import anyio
import looptime
import pytest
from hypothesis import HealthCheck, Phase, settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, precondition, rule

from rosemaryward.decisions.leadership.failover_lock import LEASE_TTL_S
from rosemaryward.decisions.leadership.lock_turns import TURN_S
from rosemaryward.decisions.leadership.tests.restart_fleet import HOSTS, RestartFleet

POLL_INTERVAL_S = 0.05
REPLACED_WITHIN_S = 2.5  # a primary that leaves, whatever one other host does
# The lease of a silent holder ends, and it may act for as long after an early end.
HOLDER_WITHIN_S = 2 * LEASE_TTL_S + 2 * TURN_S


def silence(fleet, host):
    host.silent = host.away = True


def freeze(fleet, host):
    host.resumes_at = fleet.clock() + 60.0


def lose_power(fleet, host):
    host.kill()
    host.silent = True


def lose_store(fleet, host):
    host.away = True


def answer_slowly(fleet, host):
    host.reply_delay_s = 1.0


def start_again(fleet, host):
    fleet.kill(host.name)


FAULTS = [silence, freeze, lose_power, lose_store, answer_slowly, start_again]


def play(scenario):
    loop = looptime.new_event_loop(noop_cycles=0)
    fleet = RestartFleet(loop.time)
    try:
        loop.run_until_complete(scenario(fleet))
        assert fleet.broken_promises() == []
    finally:
        close(loop, fleet)


def close(loop, fleet):
    fleet.close()
    loop.run_until_complete(asyncio.sleep(0.1))
    loop.close()


async def seconds_until(fleet, condition, limit_s=20.0):
    started_at = fleet.clock()
    for _ in range(int(limit_s / POLL_INTERVAL_S)):
        if condition():
            break
        await anyio.sleep(POLL_INTERVAL_S)
    return fleet.clock() - started_at


@pytest.mark.parametrize("fault", FAULTS)
@pytest.mark.parametrize("number", range(len(HOSTS)))
def test_leaving_primary_is_replaced_although_one_host_is_faulty(fault, number):
    """Guards against a leaving primary that keeps its work while one host is silent."""

    async def scenario(fleet):
        await fleet.start()
        for name in HOSTS:
            await fleet.restart(name)
            await anyio.sleep(0.5)
        fault(fleet, fleet.hosts[HOSTS[number]])
        await anyio.sleep(HOLDER_WITHIN_S)
        primary = fleet.group.primary
        fleet.leave(primary)
        assert (
            await seconds_until(fleet, lambda: fleet.is_replaced(primary))
            <= REPLACED_WITHIN_S
        )
        await anyio.sleep(10.0)

    play(scenario)


@pytest.mark.parametrize("fault", FAULTS)
@pytest.mark.parametrize("number", range(len(HOSTS) - 1))
def test_lock_has_a_holder_after_restarts_although_one_host_is_faulty(fault, number):
    """Guards against a lock that waits for every host after a rolling restart."""

    async def scenario(fleet):
        await fleet.start()
        for name in HOSTS[:-1]:
            await fleet.restart(name)
            await anyio.sleep(0.5)
        fault(fleet, fleet.hosts[HOSTS[number]])
        await fleet.restart(HOSTS[-1])
        await seconds_until(fleet, lambda: fleet.holder() is not None)
        assert fleet.holder() is not None
        primary = fleet.group.primary
        fleet.leave(primary)
        assert (
            await seconds_until(fleet, lambda: fleet.is_replaced(primary))
            <= HOLDER_WITHIN_S + REPLACED_WITHIN_S
        )

    play(scenario)


@pytest.mark.parametrize("silent_s", [0.0, 0.7, 1.5, 3.0])
@pytest.mark.parametrize("read_age_s", [0.0, 0.3, 0.6, 0.9, 1.2])
def test_cut_off_host_reads_nothing_stale_at_the_leaving_primary(silent_s, read_age_s):
    """Guards against reads at a replaced primary by a host that nobody reaches."""

    async def scenario(fleet):
        await fleet.start()
        host = next(h for h in fleet.hosts.values() if h is not fleet.holder())
        await seconds_until(
            fleet, lambda: fleet.clock() - host.confirmation.read_at < 0.1
        )
        await anyio.sleep(read_age_s)
        fleet.lagging = fleet.group.primary
        silence(fleet, host)
        await anyio.sleep(silent_s)
        fleet.leave(fleet.lagging)
        await seconds_until(fleet, lambda: fleet.is_replaced(fleet.lagging))
        await anyio.sleep(7.0)

    play(scenario)


def test_member_without_the_store_notices_a_change_by_a_process_it_never_saw():
    """Guards against stale reads after a change by a process that has just started."""

    async def scenario(fleet):
        await fleet.start()
        new, cut_off, *others = HOSTS
        await fleet.hosts[new].drain()
        await anyio.sleep(2.0)  # the others have read that it left
        for name in (cut_off, *others):
            fleet.hosts[name].away = True
        fleet.cut_pairs.add(frozenset((new, cut_off)))
        fleet.lagging = fleet.group.primary
        fleet.start_host(new)
        waiting = seconds_until(fleet, lambda: fleet.holder() is fleet.hosts[new])
        assert await waiting <= HOLDER_WITHIN_S
        fleet.leave(fleet.lagging)
        await seconds_until(fleet, lambda: fleet.is_replaced(fleet.lagging))
        assert fleet.is_replaced(fleet.lagging)
        await anyio.sleep(7.0)

    play(scenario)


NAMES = st.sampled_from(HOSTS)
STEPS_S = st.sampled_from([0.1, 0.4, 1.0, 2.5, 6.0])


class RestartMachine(RuleBasedStateMachine):
    """Guards against orders of restarts, faults and releases that break a promise."""

    MAX_FAULTY = len(HOSTS)

    def __init__(self):
        super().__init__()
        self.loop = looptime.new_event_loop(noop_cycles=0)
        self.fleet = RestartFleet(self.loop.time)
        self.wait_for(self.fleet.start())

    def wait_for(self, coroutine):
        return self.loop.run_until_complete(coroutine)

    def call(self, function, *arguments):
        """Call a function that starts tasks."""

        async def call():
            function(*arguments)

        self.wait_for(call())

    def host(self, name):
        return self.fleet.hosts[name]

    def may_fail(self, name):
        faulty = {n for n in HOSTS if self.fleet.is_faulty(n)}
        return len(faulty | {name}) <= self.MAX_FAULTY

    @rule(seconds=STEPS_S)
    def pass_time(self, seconds):
        self.wait_for(asyncio.sleep(seconds))

    @rule(name=NAMES, gone_s=st.sampled_from([0.0, 0.5]))
    def restart(self, name, gone_s):
        if self.may_fail(name) and self.host(name).tasks:
            self.wait_for(self.fleet.restart(name, gone_s))

    @rule()
    def restart_all(self):
        for name in HOSTS:
            self.restart(name, 0.0)
            self.pass_time(0.4)

    @rule(name=NAMES, fault=st.sampled_from(FAULTS), seconds=STEPS_S)
    def fail(self, name, fault, seconds):
        if self.may_fail(name):
            self.call(fault, self.fleet, self.host(name))
        self.pass_time(seconds)

    @rule(name=NAMES, seconds=st.sampled_from([0.5, 1.5, 3.0, 5.0]))
    def stand_still(self, name, seconds):
        if self.may_fail(name):
            self.host(name).resumes_at = self.loop.time() + seconds

    @rule(name=NAMES)
    def heal(self, name):
        self.call(self.fleet.heal, name)

    @precondition(lambda self: not self.fleet.leaving_at)
    @rule(seconds=STEPS_S)
    def release(self, seconds):
        if self.fleet.group.primary is not None:
            self.call(self.fleet.leave, self.fleet.group.primary)
        self.pass_time(seconds)

    @rule(seconds=st.sampled_from([0.0, 0.1, 0.4, 1.0]))
    def slow_store(self, seconds):
        self.fleet.store_delay_s = seconds

    @rule(count=st.sampled_from([1, 3]))
    def lose_answers(self, count):
        self.fleet.answers_to_lose = count

    @rule(seconds=st.sampled_from([1.0, 5.0]))
    def lose_store(self, seconds):
        self.fleet.store_down = True
        self.pass_time(seconds)
        self.fleet.store_down = False

    @invariant()
    def promises_hold(self):
        self.fleet.holder()  # one at most
        assert self.fleet.broken_promises() == []

    def teardown(self):
        """Require a holder and a primary soon, although one host stays faulty."""
        try:
            faulty = [name for name in HOSTS if self.fleet.is_faulty(name)]
            for name in faulty[1:]:
                self.call(self.fleet.heal, name)
            self.fleet.store_delay_s = 0.0
            self.fleet.answers_to_lose = 0
            self.pass_time(30.0)
            assert self.fleet.holder() is not None
            assert self.fleet.primary_record().serving
            self.promises_hold()
        finally:
            close(self.loop, self.fleet)


class SingleFaultMachine(RestartMachine):
    """The same orders, with at most one faulty host at a time."""

    MAX_FAULTY = 1

    @rule()
    def expect_holder(self):
        """Require a holder in bounded time."""
        if self.fleet.store_delay_s == 0.0 and self.fleet.answers_to_lose <= 0:
            waiting = seconds_until(self.fleet, lambda: self.fleet.holder() is not None)
            assert self.wait_for(waiting) <= HOLDER_WITHIN_S


SETTINGS = settings(
    derandomize=True,
    max_examples=10,
    stateful_step_count=20,
    deadline=None,
    database=None,
    suppress_health_check=list(HealthCheck),
    # Shrinking a failure takes minutes, as each step runs whole changes.
    phases=[Phase.explicit, Phase.generate],
)
TestRestarts = RestartMachine.TestCase
TestRestarts.settings = SETTINGS
TestSingleFaults = SingleFaultMachine.TestCase
TestSingleFaults.settings = SETTINGS
