"""Simulation of a database group, its owners and their network on a virtual clock."""

import asyncio
import math
from collections.abc import Callable
from functools import partial
from random import Random

import anyio
import looptime

from rosemaryward.decisions.document.schema import InstanceSection
from rosemaryward.decisions.errors import EndpointError, OutcomeUnknownError
from rosemaryward.decisions.groups import GroupSettings, GroupSupervisor
from rosemaryward.decisions.interfaces import InstanceRole, InstanceStatus
from rosemaryward.decisions.types import LogPosition, Place

PLACES = {
    "1": Place("nam-bo", "a"),
    "2": Place("nam-bo", "b"),
    "3": Place("bac-bo", "c"),
}
SECTIONS = {
    f"i{n}": InstanceSection(
        host=f"i{n}", port=1, region=p.region, failure_domain=p.failure_domain
    )
    for n, p in PLACES.items()
}


def run(scenario, *args):
    """Run the coroutine `scenario(*args)` on a virtual clock."""
    loop = looptime.new_event_loop(noop_cycles=0)
    with asyncio.Runner(loop_factory=lambda: loop) as runner:
        return runner.run(scenario(*args))


def pause_process(seconds):
    """Advance the virtual clock while nothing in the event loop runs."""
    loop = asyncio.get_running_loop()
    loop.setup_looptime(start=loop.time() + seconds, noop_cycles=0)


class Network:
    """Delays, drops and blocks messages between hosts and instances.

    Parties have names such as ``p1`` for a host and ``i1`` for an instance.
    """

    def __init__(self, random: Random):
        self.random = random
        self.cuts: set[frozenset[str]] = set()
        self.extra_s: dict[str, float] = {}  # additional one-way delay by party
        self.loss: dict[str, float] = {}  # fraction of lost answers, by requesting host
        self.held: set[tuple[str, str]] = set()  # (host, command) not delivered yet
        self.released = anyio.Event()

    def cut(self, ones, others):
        self.cuts |= {frozenset((a, b)) for a in ones for b in others if a != b}

    def delay_s(self, a, b):
        one, other = PLACES[a[-1]], PLACES[b[-1]]
        base = 0.0005 if one == other else 0.0015
        base = base if one.region == other.region else 0.008
        jitter = self.random.uniform(0.0, 0.001)
        return base + jitter + self.extra_s.get(a, 0.0) + self.extra_s.get(b, 0.0)

    def release(self):
        """Deliver the held commands, also those of hosts that have stopped."""
        self.held.clear()
        self.released.set()
        self.released = anyio.Event()

    async def wait_released(self, host, command):
        while (host, command) in self.held:
            await self.released.wait()
            await anyio.sleep(self.random.uniform(0.0, 0.01))

    async def transmit(self, a, b, loss=0.0):
        lost = loss and self.random.random() < loss
        if lost or frozenset((a, b)) in self.cuts:
            await anyio.sleep_forever()
        await anyio.sleep(self.delay_s(a, b))


class Instance:
    """Instance with a term, a role and a log of (term, payload) entries."""

    def __init__(self, name, simulation):
        self.name, self.simulation = name, simulation
        self.term, self.role, self.source = 0, InstanceRole.FENCED, ""
        self.log: list[tuple[int, int]] = []
        self.applied = 0.0
        self.apply_per_s = math.inf
        self.lag_s = 0.0
        self.alive, self.refuses, self.leaving = True, False, False
        self.proposer = ""
        self.lost_answers: dict[str, int] = {}
        self.changed = anyio.Event()

    def position(self, index):
        return LogPosition(self.log[index - 1][0], index) if index else LogPosition()

    def status(self):
        received = self.position(len(self.log))
        applied = self.position(min(int(self.applied), len(self.log)))
        return InstanceStatus(self.term, self.role, received, applied, self.leaving)

    def raise_term(self, expected, new, proposer):
        if (self.term, self.proposer) == (new, proposer):
            return True
        if self.term != expected or new <= expected:
            return False
        self.term, self.role, self.proposer = new, InstanceRole.FENCED, proposer
        return True

    def open_writes(self, term):
        if self.term != term:
            return False
        self.role = InstanceRole.PRIMARY
        self.simulation.record_opened(term, self.name)
        return True

    def follow(self, term, host):
        if self.term > term or host == self.name:
            return False
        self.term, self.role, self.source = term, InstanceRole.REPLICA, host
        return True

    def write(self, term, payload):
        if not self.alive or self.term != term or self.role != InstanceRole.PRIMARY:
            return False
        self.log.append((term, payload))
        self.notify()
        return True

    def notify(self):
        if math.isinf(self.apply_per_s):
            self.applied = len(self.log)
        self.changed.set()
        self.changed = anyio.Event()

    async def replicate(self):
        """Copy the log of the primary that this instance follows."""
        while True:
            await anyio.sleep(0.01)
            if self.applied < len(self.log):
                step = min(self.apply_per_s * 0.01, len(self.log) - self.applied)
                self.applied += step if self.alive else 0
            source = self.simulation.instances.get(self.source)
            if source is None or not self.may_copy(source):
                continue
            term, log = self.term, list(source.log)
            await self.simulation.network.transmit(source.name, self.name)
            await anyio.sleep(self.lag_s)
            if self.term == term and self.may_copy(source) and log != self.log:
                self.log = log
                self.applied = min(self.applied, len(log))
                self.notify()

    def may_copy(self, source):
        return (
            self.alive
            and source.alive
            and self.role is InstanceRole.REPLICA
            and (source.term, source.role) == (self.term, InstanceRole.PRIMARY)
            and frozenset((self.name, source.name)) not in self.simulation.network.cuts
        )


class Control:
    """Control connection of one host that asserts that its calls are not concurrent.

    A status request that waits for a position may run beside one other call.
    """

    def __init__(self, host, instance):
        self.host, self.instance = host, instance
        self.busy: set[bool] = set()

    async def _call(self, call, waits=False):
        assert waits not in self.busy, "concurrent calls on a control connection"
        self.busy.add(waits)
        try:
            return await call
        finally:
            self.busy.remove(waits)

    async def _command(self, name, operate):
        """Deliver a command even if its sender no longer waits for the answer."""
        answered = asyncio.get_running_loop().create_future()

        async def deliver():
            try:
                await self.instance.simulation.network.wait_released(self.host, name)
                answer = await self._exchange(name, operate)
            except EndpointError as error:
                answer = error
            if not answered.cancelled():
                answered.set_result(answer)

        self.instance.simulation.tasks.start_soon(deliver)
        answer = await answered
        if isinstance(answer, EndpointError):
            raise answer
        return answer

    async def _exchange(self, name, operate, wait=None):
        instance, network = self.instance, self.instance.simulation.network
        await network.transmit(self.host, instance.name)
        if not instance.alive:
            if not instance.refuses:
                await anyio.sleep_forever()
            raise EndpointError("connection refused")
        if wait is not None:
            with anyio.move_on_after(wait[1]):
                while instance.status().received < wait[0]:
                    await instance.changed.wait()
        result = operate()
        if instance.lost_answers.get(name, 0):
            instance.lost_answers[name] -= 1
            await anyio.sleep_forever()
        await network.transmit(
            instance.name, self.host, network.loss.get(self.host, 0.0)
        )
        return result

    async def status(self, wait_for=None, timeout_s=1.0):
        wait = None if wait_for is None else (wait_for, timeout_s)
        call = self._exchange("status", self.instance.status, wait)
        return await self._call(call, wait is not None)

    async def raise_term(self, *arguments):
        operate = partial(self.instance.raise_term, *arguments)
        return await self._call(self._command("raise_term", operate))

    async def open_writes(self, term):
        operate = partial(self.instance.open_writes, term)
        return await self._call(self._command("open_writes", operate))

    async def follow(self, term, host, port):
        operate = partial(self.instance.follow, term, host)
        return await self._call(self._command("follow", operate))

    async def aclose(self):
        pass


class GroupSimulation:
    """Three instances with one owner in the failure domain of each."""

    def __init__(self, seed, settings: Callable[[], GroupSettings] = GroupSettings):
        self.random = Random(seed)
        self.network = Network(self.random)
        self.instances = {name: Instance(name, self) for name in SECTIONS}
        self.sections = dict(SECTIONS)
        self.settings = settings
        self.supervisors: dict[str, GroupSupervisor] = {}
        self.scopes: dict[str, anyio.CancelScope] = {}
        self.opened: dict[int, str] = {}
        self.opened_at: dict[int, float] = {}
        self.acknowledged: list[tuple[float, int, int]] = []  # (time, term, payload)
        self.payloads = 0
        self.violations: list[str] = []

    async def __aenter__(self):
        self.tasks = anyio.create_task_group()
        await self.tasks.__aenter__()
        for instance in self.instances.values():
            self.tasks.start_soon(instance.replicate)
        for number in PLACES:
            self.start_host(f"p{number}")
        await self.wait_until(lambda: self.supervisors and self.primary() is not None)
        await anyio.sleep(0.5)
        return self

    async def __aexit__(self, *exc_info):
        self.tasks.cancel_scope.cancel()
        await self.tasks.__aexit__(*exc_info)

    def start_host(self, host):
        self.scopes[host] = anyio.CancelScope()
        self.tasks.start_soon(self._run_host, host)

    def kill_host(self, host):
        self.scopes.pop(host).cancel()
        del self.supervisors[host]

    async def _run_host(self, host):
        supervisor = GroupSupervisor(
            "orders",
            host,
            PLACES[host[-1]],
            self.sections,
            lambda endpoint: Control(host, self.instances[endpoint.instance]),
            FakeReachabilityClient(host, self),
            lambda record: self.tasks.start_soon(self._gossip, host, record),
            Random(self.random.random()),
            self.settings(),
        )
        supervisor.set_proposer_index(int(host[-1]) - 1)
        supervisor.set_owned_instances([f"i{host[-1]}"])
        with self.scopes[host]:
            async with supervisor:
                self.supervisors[host] = supervisor
                await anyio.sleep_forever()

    async def _gossip(self, host, record):
        for other in [name for name in self.supervisors if name != host]:
            if frozenset((host, other)) not in self.network.cuts:
                await anyio.sleep(0.02)
                if other in self.supervisors:
                    self.supervisors[other].observe_primary(record)

    def record_opened(self, term, name):
        if self.opened.setdefault(term, name) != name:
            self.violations.append(
                f"{name} opened in term {term} of {self.opened[term]}"
            )
        self.opened_at.setdefault(term, anyio.current_time())

    def primary(self):
        """Return the instance opened in the highest term, or None if it is down."""
        name = self.opened.get(max(self.opened, default=0))
        instance = self.instances.get(name)
        return instance if instance and instance.alive else None

    def total(self, counter):
        return sum(getattr(s, counter) for s in self.supervisors.values())

    async def wait_until(self, condition, limit_s=30.0):
        with anyio.fail_after(limit_s):
            while not condition():  # noqa: ASYNC110 - any state may change
                await anyio.sleep(0.01)

    async def write(self, deadline_s=1.0):
        """Run one write through the owner of the known primary of the highest term.

        Returns whether the write was acknowledged within `deadline_s` seconds.
        """
        records = [s.primary for s in self.supervisors.values() if s.primary]
        record = max(records, key=lambda r: r.term, default=None)
        host = f"p{record.instance[-1]}" if record else ""
        if host not in self.supervisors:
            return False
        return await self._write_through(host, record, deadline_s)

    async def write_through_each_host(self, interval_s):
        """Write all the time through each host, at the primary that it knows."""
        async with anyio.create_task_group() as tasks:
            while True:
                for host, supervisor in self.supervisors.items():
                    if supervisor.primary is not None:
                        tasks.start_soon(self._write_through, host, supervisor.primary)
                await anyio.sleep(interval_s)

    async def _write_through(self, host, record, deadline_s=1.0):
        supervisor, instance = self.supervisors[host], self.instances[record.instance]
        self.payloads += 1
        payload = self.payloads
        with anyio.move_on_after(deadline_s):
            await self.network.transmit(host, instance.name)
            if not instance.write(record.term, payload):
                return False
            await self.network.transmit(instance.name, host)
            try:
                await supervisor.confirm_write(instance.name, record.term, deadline_s)
            except OutcomeUnknownError:
                return False
            self._record_acknowledged(record.term, payload)
            return True
        return False

    def _record_acknowledged(self, term, payload):
        if max(self.opened) > term:
            self.violations.append(
                f"term {term} acknowledged after term {max(self.opened)}"
            )
        self.acknowledged.append((anyio.current_time(), term, payload))

    async def write_continuously(self, interval_s=0.02):
        async with anyio.create_task_group() as tasks:
            while True:
                tasks.start_soon(self.write)
                await anyio.sleep(interval_s)

    async def failover_gap_s(self):
        """Return the seconds until the first acknowledged write in a newer term."""
        began, term = anyio.current_time(), max(self.opened)
        await self.wait_until(
            lambda: self.acknowledged and self.acknowledged[-1][1] > term
        )
        return next(time for time, t, _ in self.acknowledged if t > term) - began

    async def heal_and_check(self):
        """Remove all faults and check that instances agree and no write is lost."""
        self.network.cuts.clear()
        self.network.extra_s.clear()
        self.network.loss.clear()
        self.network.release()
        for instance in self.instances.values():
            instance.alive, instance.lag_s = True, 0.0
            instance.apply_per_s = math.inf
        for host in {f"p{n}" for n in PLACES} - set(self.supervisors):
            self.start_host(host)
        await self.wait_until(self._agrees, 60.0)
        log = self.primary().log
        kept = {payload for _, payload in log}
        lost = [p for _, _, p in self.acknowledged if p not in kept]
        assert not self.violations
        assert not lost, f"lost acknowledged writes {lost}"
        assert len(kept) == len(log), "a write is in the log twice"

    def _agrees(self):
        primary = self.primary()
        return primary is not None and all(
            i.term == primary.term
            and i.log == primary.log
            and (i is primary or i.role is InstanceRole.REPLICA)
            for i in self.instances.values()
        )


class FakeReachabilityClient:
    """Queries the other owners; those cut off or stopped do not reply."""

    def __init__(self, host, simulation):
        self.host, self.simulation = host, simulation

    async def query(self, endpoint):
        replies = []

        async def ask_one(other):
            await self.simulation.network.transmit(self.host, other)
            if other in self.simulation.supervisors:
                reply = self.simulation.supervisors[other].reachability(endpoint)
                await self.simulation.network.transmit(other, self.host)
                replies.append(reply)

        with anyio.move_on_after(0.15):
            async with anyio.create_task_group() as tasks:
                for other in self.simulation.supervisors:
                    if other != self.host:
                        tasks.start_soon(ask_one, other)
        return replies
