"""Small fleet of proxies that restart, fall silent and lose the store.

Each proxy has its own lock, confirmation, change of primary and router. Statements of
callers reach the instances through the router, as new work.
"""

import contextlib
import itertools

import anyio
import msgspec

from rosemaryward.decisions.decoding import decode_json
from rosemaryward.decisions.errors import ConflictError, PeerError, StoreError
from rosemaryward.decisions.gateway.directory import EndpointDirectory
from rosemaryward.decisions.gateway.environment import ReadPolicy
from rosemaryward.decisions.gateway.execution import (
    Executor,
    StatementFailedError,
    StatementRequest,
)
from rosemaryward.decisions.gateway.outcomes import (
    Answer,
    ConnectError,
    ConnectionState,
    Failure,
    UnansweredError,
)
from rosemaryward.decisions.gateway.session_context import SessionContext
from rosemaryward.decisions.gateway.statements import Statement, StatementKind
from rosemaryward.decisions.gateway.targets import TargetSelector
from rosemaryward.decisions.gateway.tests.fakes import (
    FAR,
    NEAR,
    make_endpoint,
    make_route,
)
from rosemaryward.decisions.leadership.confirmation import Confirmation
from rosemaryward.decisions.leadership.failover_lock import FailoverLock
from rosemaryward.decisions.leadership.lock_turns import acquire_delay_s
from rosemaryward.decisions.leadership.members import (
    FenceReply,
    IntroductionReply,
    MemberDirectory,
    MemberRecord,
)
from rosemaryward.decisions.leadership.records import GroupRecord
from rosemaryward.decisions.leadership.tests.promotion_fleet import (
    LOCK_KEY,
    RECORD_KEY,
    ExpiringStore,
    LateGroup,
    Proxy,
    Supervisor,
)
from rosemaryward.decisions.leadership.verification import PrimaryVerifier
from rosemaryward.decisions.mirror import LeaseLostError

HOSTS = tuple(f"host-{number}" for number in range(1, 6))
MEMBER_PREFIX = "members/"
LIVENESS_PREFIX = "live/"
LIVENESS_LEASE_S = 3.0
LIVENESS_INTERVAL_S = 1.0
READ_INTERVAL_S = 1.5
STATEMENT_INTERVAL_S = 0.2
START_S = 0.3
STORE_TIMEOUT_S = 1.2
REQUEST_TIMEOUT_S = 0.6
FAILOVER_REQUEST_TIMEOUT_S = 2.0
DRAIN_S = 7.0  # after which a leaving endpoint gets no new work
IN_TOUCH_AFTER_S = 4.0  # without a fault at the host
PROCESS_DEADLINE_S = 2.0  # of a caller's statement


class SimulatedConnection:
    """Connection of one host to a simulated instance."""

    def __init__(self, host, instance):
        self.host = host
        self.instance = instance
        self.name = instance.name

    async def execute(self, statement, named=None, min_position=None, admission=None):
        await self.host.checkpoint()
        instance = self.instance
        if not instance.alive or instance.name != self.name:
            raise UnansweredError("the instance has ended")
        self.host.fleet.record_arrival(self.host, instance)
        if statement.kind is StatementKind.READ:
            self.host.fleet.check_read(instance, statement)
            return self._answer()
        if not instance.is_primary:
            return self._answer(Failure.NOT_PRIMARY)
        position = await self.host.group.commit_when_received(instance)
        if position is None:
            raise UnansweredError("no answer")
        await self.host.checkpoint()
        return self._answer(position=position)

    def _answer(self, failure=None, position=None):
        received = position or self.instance.received
        return Answer([], "", ConnectionState.IDLE, received, failure)

    async def set_value(self, name, value):
        return self._answer()

    async def reset(self):
        return self._answer()

    async def aclose(self):
        await anyio.lowlevel.checkpoint()


class SimulatedConnector:
    """Opens the connections of one host."""

    def __init__(self, host):
        self.host = host

    async def connect(self, endpoint, tenant=""):
        await self.host.checkpoint()
        for instance in self.host.group.instances:
            if instance.name == endpoint.id and instance.alive:
                return SimulatedConnection(self.host, instance)
        raise ConnectError(Failure.BUSY, "no such instance")

    def discard(self, connection):
        pass


class LeavingSupervisor(Supervisor):
    """Supervisor that also replaces a primary that leaves."""

    async def _replacement_reason(self, record):
        endpoint = self.proxy.directory.endpoints.get(record.primary)
        if record.serving and endpoint is not None and endpoint.leaving:
            return "primary leaving"
        return await super()._replacement_reason(record)


class Host(Proxy):
    """One process of a host, from its start to its end.

    Attributes
    ----------
    silent : bool
        Whether other hosts do not reach it, nor it them.
    away : bool
        Whether it does not reach the store.
    reply_delay_s : float
        Time that its replies to other hosts take.
    faulty_at : float
        Boot time at which a fault last affected it.
    """

    def __init__(self, name, fleet):
        super().__init__(name, fleet)
        self.incarnation = f"{name}.{next(fleet.incarnations)}"
        self.record = MemberRecord(
            name, f"{name}:1", self.incarnation, verifies_reads=True
        )
        self.silent = False
        self.away = False
        self.reply_delay_s = 0.0
        self.faulty_at = self.clock()
        self.lease = 0
        self.directory = EndpointDirectory(SimulatedConnector(self), self.clock)
        self.members = MemberDirectory(self.clock, known_since=self.clock())
        self.confirmation = Confirmation(
            self.incarnation,
            self.leadership,
            self,
            self.clock,
            directory=self.members,
        )
        self.lock = FailoverLock(
            self,
            LOCK_KEY,
            name,
            self.incarnation,
            lambda: acquire_delay_s(self.members, name),
            False,
            self.request_release,
            self.clock,
        )
        self.lock.introduce = self.confirmation.introduce
        self.lock.wait_until_stopped = self.confirmation.wait_for_changes
        self.verifier = PrimaryVerifier(self.leadership, self, self.clock)
        self.selector = TargetSelector(
            self.directory, self.leadership, NEAR, self.clock
        )
        self.executor = Executor(
            self.selector, self._attempt_failed, self.clock, self.verifier
        )
        self.supervisor = LeavingSupervisor(self)
        self.tasks = []

    def _attempt_failed(self, statement, route, endpoint, reason):
        pass

    # Life of the process

    def start(self):
        self.tasks.append(self.group.spawn(self._run()))

    async def _run(self):
        await anyio.sleep(START_S)
        while True:
            with contextlib.suppress(StoreError):
                await self.read_store()
                break
            await anyio.sleep(0.25)
        for task in (
            self.watch,
            self._read_regularly,
            self._stay_registered,
            self.confirmation.run,
            self.lock.run,
            self.supervisor.run,
            self._write,
            self._read,
        ):
            self.tasks.append(self.group.spawn(task()))

    def kill(self):
        for task in self.tasks:
            task.cancel()
        self.tasks.clear()

    async def drain(self):
        """End as planned: release the lock and remove the registration."""
        with anyio.move_on_after(2.0):
            await self.lock.release()
        self.confirmation.leaving = True
        with contextlib.suppress(Exception), anyio.move_on_after(0.35):
            revision = self.members.revisions.get(self.name, 0)
            await self._call_store(
                self.fleet.store.delete_key, MEMBER_PREFIX + self.name, revision
            )
            self.fleet.store.end_lease_of(self.lease)
        self.kill()

    def is_in_touch(self):
        """Return whether nothing has happened to the host for some seconds."""
        is_well = not (self.silent or self.away) and self.clock() >= self.resumes_at
        return is_well and self.clock() - self.faulty_at >= IN_TOUCH_AFTER_S

    # Store

    async def _call_store(self, operation, *arguments):
        with anyio.move_on_after(STORE_TIMEOUT_S):
            await self.checkpoint()
            if self.away or self.fleet.store_down:
                await anyio.sleep(STORE_TIMEOUT_S)
            await anyio.sleep(self.fleet.store_delay_s)
            result = await operation(*arguments)
            if self.fleet.loses_answer():
                await anyio.sleep(STORE_TIMEOUT_S)
            await self.checkpoint()
            return result
        raise StoreError("the store does not answer")

    async def watch(self):
        while True:
            await self.checkpoint()
            history = self.fleet.store.history
            reaches_store = not (self.away or self.fleet.store_down)
            while reaches_store and self.watched < len(history):
                _, key, value, revision = history[self.watched]
                self.watched += 1
                self.apply(key, value, revision)
            if reaches_store:
                self.observe_endpoints()
            await anyio.sleep(0.05)

    def apply(self, key, value, revision):
        if key.startswith(MEMBER_PREFIX):
            name = key.removeprefix(MEMBER_PREFIX)
            if value is None:
                self.members.remove(name)
            else:
                self.members.observe(decode_json(value, MemberRecord), revision)
        elif key.startswith(LIVENESS_PREFIX):
            name = key.removeprefix(LIVENESS_PREFIX)
            if value is None:
                self.members.mark_absent(name)
            else:
                self.members.mark_alive(name)
        elif value is not None or key == LOCK_KEY:
            super().apply(key, value, revision)

    async def read_store(self):
        """Apply all values and confirm the records."""
        sent_at = self.clock()
        listing, watched = await self._call_store(self.fleet.store.list_all)
        self.watched = max(self.watched, watched)
        values = {s.key: s for s in listing.values}
        for stored in listing.values:
            self.apply(stored.key, stored.value, stored.revision)
        for name in set(self.members.members) - {
            key.removeprefix(MEMBER_PREFIX) for key in values
        }:
            self.members.remove(name)
        for name in [*self.members.alive]:
            if LIVENESS_PREFIX + name not in values:
                self.members.mark_absent(name)
        if LOCK_KEY not in values and 0 < self.lock.revision <= listing.revision:
            self.lock.observe_removal()
        live = []
        for name, record in self.members.members.items():
            key = values.get(LIVENESS_PREFIX + name)
            if key is not None and key.value == record.incarnation.encode():
                live.append(record)
        self.confirmation.record_read(sent_at, live, listing.revision)

    async def _read_regularly(self):
        while True:
            with contextlib.suppress(StoreError):
                await self.read_store()
            if self.clock() - self.confirmation.read_at > 2 * READ_INTERVAL_S:
                self.directory.mark_outdated()
            await anyio.sleep(READ_INTERVAL_S)

    async def _stay_registered(self):
        while True:
            try:
                await self._register()
            except LeaseLostError:
                self.lease = 0
                continue
            except (ConflictError, StoreError):
                pass
            await anyio.sleep(LIVENESS_INTERVAL_S)

    async def _register(self):
        if self.lease and self.members.members.get(self.name) == self.record:
            await self.renew_lease(self.lease)
            return
        lease = await self.grant_lease(LIVENESS_LEASE_S)
        revision = await self._call_store(
            self.fleet.store.register, self.record, lease, self.members.revisions
        )
        self.lease = lease
        self.members.observe(self.record, revision)
        self.lock.mark_registered()
        with contextlib.suppress(StoreError):
            await self.read_store()

    def observe_endpoints(self):
        """See the registrations of the instances, as the store has them."""
        registered = {i.name: i for i in self.group.instances if i.alive}
        for instance in registered.values():
            self.directory.observe(
                make_endpoint(
                    instance.name,
                    FAR,
                    address=instance.address,
                    claims_primary=instance.is_primary,
                    leaving=instance in self.fleet.leaving_at,
                    started_at=self.group.started_at.get(instance, 1),
                )
            )
        for endpoint_id in set(self.directory.endpoints) - set(registered):
            self.directory.mark_unregistered(endpoint_id)
        self.directory.remove_expired()

    # Other hosts

    async def _reach(self, name, timeout_s=REQUEST_TIMEOUT_S):
        other = self.fleet.hosts[name]
        with anyio.move_on_after(timeout_s):
            await self.checkpoint()
            if other is self:
                return other
            if self.silent or other.silent or self._is_cut_from(other):
                await anyio.sleep(timeout_s)
            if not other.tasks:
                await anyio.sleep(timeout_s)
            await anyio.sleep(max(other.resumes_at - self.clock(), 0.0))
            await anyio.sleep(other.reply_delay_s)
            if other.tasks and not (self.silent or other.silent):
                return other
        raise PeerError(f"{name} is unreachable")

    def _is_cut_from(self, other):
        return frozenset((self.name, other.name)) in self.fleet.cut_pairs

    async def fence(self, member, request):
        other = await self._reach(member.name, FAILOVER_REQUEST_TIMEOUT_S)
        position = await other.leadership.fence_and_drain(request.group, request.epoch)
        committed = other.leadership.committed_position(request.group)
        return FenceReply(other.incarnation, position, committed)

    async def introduce(self, member, request):
        other = await self._reach(member.name, FAILOVER_REQUEST_TIMEOUT_S)
        other.confirmation.observe_introduction(request.member)
        return IntroductionReply(other.incarnation)

    async def request_confirmation(self, member, request):
        other = await self._reach(member.name)
        return other.confirmation.reply(request)

    # Callers

    async def _write(self):
        await self._run_statements(StatementKind.WRITE)

    async def _read(self):
        await self._run_statements(StatementKind.READ)

    async def _run_statements(self, kind):
        while True:
            self.tasks = [task for task in self.tasks if not task.done()]
            self.tasks.append(self.group.spawn(self._run_statement(kind)))
            await anyio.sleep(STATEMENT_INTERVAL_S)

    async def _run_statement(self, kind):
        now = self.clock()
        request_id = f"r{next(self.fleet.requests)}"
        self.fleet.required[request_id] = len(self.group.acknowledged)
        request = StatementRequest(
            statement=Statement(request_id, kind, kind.name),
            route=make_route(ReadPolicy.PRIMARY, timeout_s=PROCESS_DEADLINE_S),
            writes=kind is StatementKind.WRITE,
            received_at=now,
            expires_at=now + PROCESS_DEADLINE_S,
        )
        try:
            answer, _ = await self.executor.run(request, SessionContext("caller"))
        except StatementFailedError:
            return
        if kind is StatementKind.WRITE:
            self.group.acknowledge(answer.position)


class FleetStore(ExpiringStore):
    """Store with the registrations of the hosts."""

    async def list_all(self):
        self.expire_leases()
        return await self.list(""), len(self.history)

    async def register(self, record, lease, revisions):
        self.expire_leases()
        if lease not in self.expires_at:
            raise LeaseLostError(str(lease))
        key = MEMBER_PREFIX + record.name
        revision = await self.write(key, msgspec.json.encode(record), self.known(key))
        live = LIVENESS_PREFIX + record.name
        await self.write(live, record.incarnation.encode(), self.known(live), lease)
        return revision

    def known(self, key):
        return self.values.get(key, (None, 0))[1]

    async def delete_key(self, key, revision):
        if self.known(key) == revision:
            self.remove(key)

    def end_lease_of(self, lease):
        if lease in self.expires_at:
            self.end_lease(lease)


class RestartFleet:
    """Hosts, instances and the store, with tasks on one event loop.

    Attributes
    ----------
    leaving_at : dict of SimulatedInstance to float
        Boot time at which each leaving instance has reported it.
    cut_pairs : set of frozenset of str
        Pairs of hosts that do not reach each other.
    lagging : SimulatedInstance or None
        Instance that receives nothing any more once it is demoted.
    late : list of str
        New work that reached a leaving instance after `DRAIN_S`.
    stale : list of str
        Reads of logs that lack a commit that was acknowledged before.
    """

    def __init__(self, clock):
        self.clock = clock
        self.store = FleetStore(clock)
        self.group = LateGroup(clock)
        self.incarnations = itertools.count(1)
        self.requests = itertools.count(1)
        self.numbers = itertools.count(10)
        self.required = {}
        self.leaving_at = {}
        self.cut_pairs = set()
        self.lagging = None
        self.late = []
        self.stale = []
        self.store_delay_s = 0.0
        self.store_down = False
        self.answers_to_lose = 0
        self.hosts = {}

    async def start(self):
        """Start all hosts, and wait until each may take the lock."""
        self.group.spawn(self._run_group())
        for name in HOSTS:
            self.start_host(name)
        await anyio.sleep(16.0)

    def start_host(self, name):
        self.hosts[name] = Host(name, self)
        self.hosts[name].start()

    async def restart(self, name, gone_s=0.2):
        """Restart a host as planned."""
        old = self.hosts[name]
        await old.drain()
        await anyio.sleep(gone_s)
        if self.hosts[name] is old:
            self.start_host(name)

    def kill(self, name):
        """Kill a host's process; another one starts at once."""
        self.hosts[name].kill()
        self.start_host(name)

    def leave(self, instance, for_s=8.0):
        """Let an instance leave; it starts again, under another id, when it ended."""
        self.leaving_at[instance] = self.clock()
        self.group.spawn(self._end_later(instance, for_s))

    async def _end_later(self, instance, for_s):
        await anyio.sleep(for_s)
        instance.alive = False
        del self.leaving_at[instance]
        await anyio.sleep(0.5)
        self.group.start(instance, renamed=True, empty=False)

    async def _run_group(self):
        replaced_since = {}
        while True:
            self.store.expire_leases()
            if self.lagging is not None and not self.lagging.is_primary:
                self.lagging.receives = False
            self.group.replicate()
            newest = self.group.primary
            for instance in self.group.instances:
                if not instance.is_primary or instance is newest:
                    replaced_since.pop(instance, None)
                else:
                    since = replaced_since.setdefault(instance, self.clock())
                    instance.is_primary = self.clock() - since < 1.0
            await anyio.sleep(0.05)

    def loses_answer(self):
        """Return whether the answer to the present call is lost."""
        self.answers_to_lose -= 1
        return self.answers_to_lose >= 0

    def record_arrival(self, host, instance):
        """Check that a leaving instance gets no new work after its bound."""
        since = self.leaving_at.get(instance, self.clock())
        if self.clock() - since > DRAIN_S and host.is_in_touch():
            self.late.append(f"{host.name} {self.clock() - since:.2f} s")

    def check_read(self, instance, statement):
        """Check that a log has what was acknowledged before the read was sent."""
        required = self.group.acknowledged[: self.required[statement.request_id]]
        log = set(instance.log)
        missing = [commit for commit in required if commit not in log]
        if missing and not any(missing[-1] in lost for lost in self.group.lost):
            self.stale.append(
                f"{statement.request_id} at {instance.name}: {missing[-1]}"
            )

    def holder(self):
        """Return the host that holds the lock, None without one."""
        holders = [host for host in self.hosts.values() if host.lock.is_held()]
        assert len(holders) <= 1
        return holders[0] if holders else None

    def primary_record(self):
        """Return the group's record in the store."""
        return decode_json(self.store.values[RECORD_KEY][0], GroupRecord)

    def is_replaced(self, primary):
        """Return whether another instance serves in the place of a primary."""
        record = self.primary_record()
        return record.serving and record.primary != primary.name

    def is_faulty(self, name):
        """Return whether a host does not work as usual."""
        host = self.hosts[name]
        is_cut = host.silent or host.away or not host.tasks
        return is_cut or host.reply_delay_s > 0 or host.resumes_at > self.clock()

    def heal(self, name):
        """End the faults of a host; one without power starts."""
        host = self.hosts[name]
        host.silent = host.away = False
        host.reply_delay_s = 0.0
        host.resumes_at = min(host.resumes_at, self.clock())
        host.faulty_at = self.clock()
        if not host.tasks:
            self.start_host(name)

    def broken_promises(self):
        """Return what the fleet should not have done, and the failures of tasks."""
        return [*self.group.lost, *self.stale, *self.late, *self.failures()]

    def failures(self):
        """Return the exceptions that ended tasks."""
        ended = [t for t in self.group.tasks if t.done() and not t.cancelled()]
        return [t.exception() for t in ended if t.exception() is not None]

    def close(self):
        for task in self.group.tasks:
            task.cancel()
