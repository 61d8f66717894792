"""Two proxies with their own views, and a group whose promotion calls can be late."""

import asyncio
import itertools

import anyio
import msgspec

from rosemaryward.decisions.decoding import decode_json
from rosemaryward.decisions.errors import EndpointError, PeerError, StoreError
from rosemaryward.decisions.freshness import PositionSamples
from rosemaryward.decisions.gateway.directory import EndpointDirectory
from rosemaryward.decisions.gateway.tests.fakes import (
    FAR,
    GROUP,
    FakeConnector,
    make_endpoint,
)
from rosemaryward.decisions.leadership.confirmation import Confirmation
from rosemaryward.decisions.leadership.context import FailoverContext
from rosemaryward.decisions.leadership.failover_lock import FailoverLock, LockRecord
from rosemaryward.decisions.leadership.fence_reports import FenceReports
from rosemaryward.decisions.leadership.members import FenceReply, MemberDirectory
from rosemaryward.decisions.leadership.records import GroupRecord, Leadership
from rosemaryward.decisions.leadership.replica_sets import (
    ReplicaSetRecord,
    ReplicaSets,
)
from rosemaryward.decisions.leadership.supervisor import (
    PRIMARY_SILENT,
    PrimarySupervisor,
)
from rosemaryward.decisions.leadership.tests.fakes import MemoryStore, member
from rosemaryward.decisions.leadership.tests.replication import (
    PROXIES,
    SimulatedGroup,
)
from rosemaryward.decisions.mirror import LeaseLostError

LOCK_KEY = "duty"
RECORD_KEY = "groups/" + GROUP
REPLICA_SET_KEY = "replica-sets/" + GROUP
LATENCY_S = 0.02
POLL_INTERVAL_S = 0.05
CONFIRM_INTERVAL_S = 1.0
STORE_TIMEOUT_S = 1.2
PEER_TIMEOUT_S = 0.4
ENDPOINT_TIMEOUT_S = 0.4
CALL_TIMEOUT_S = 1.0  # of a promotion call
PROMOTION_DELAY_S = 0.3  # from a promotion call to its effect
COMMIT_TIMEOUT_S = 5.0
SILENCE_S = 0.8


class ExpiringStore(MemoryStore):
    """Store whose leases expire, with a history of its changes."""

    def __init__(self, clock):
        super().__init__()
        self.clock = clock
        self.expires_at = {}
        self.lease_keys = {}
        self.history = []  # time, key, value or None, revision

    def remove(self, key):
        if key in self.values:
            del self.values[key]
            self.revision += 1
            self.history.append((self.clock(), key, None, self.revision))

    def expire_leases(self):
        for lease_id, expires_at in list(self.expires_at.items()):
            if expires_at <= self.clock():
                self.end_lease(lease_id)

    def end_lease(self, lease_id):
        del self.expires_at[lease_id]
        key = self.lease_keys.pop(lease_id, None)
        if key is not None:
            self.remove(key)

    async def write_all(self, writes):
        self.expire_leases()
        for write in writes:
            if write.lease_id and write.lease_id not in self.expires_at:
                raise LeaseLostError(str(write.lease_id))
        revision = await super().write_all(writes)
        for write in writes:
            self.lease_keys = {
                lease: key for lease, key in self.lease_keys.items() if key != write.key
            }
            if write.lease_id:
                self.lease_keys[write.lease_id] = write.key
            self.history.append((self.clock(), write.key, write.value, revision))
        return revision

    async def grant_lease(self, ttl_s):
        lease_id = await super().grant_lease(ttl_s)
        self.expires_at[lease_id] = self.clock() + ttl_s
        self.lease_ttl_s = ttl_s
        return lease_id

    async def renew_lease(self, lease_id):
        self.expire_leases()
        if lease_id not in self.expires_at:
            raise LeaseLostError(str(lease_id))
        self.expires_at[lease_id] = self.clock() + self.lease_ttl_s


class LateGroup(SimulatedGroup):
    """Group with commits in flight and promotion calls that arrive late.

    Attributes
    ----------
    called : SimulatedInstance or None
        Instance that the newest promotion call names.
    hold_ups : list of float
        Seconds for which each of the next promotion calls is held up.
    pending_losses : list of tuple of SimulatedInstance, str and LogPosition
        Crashed instance, which may return with its log, and the name of the promoted
        one that lacks an acknowledged commit of this log.
    """

    def __init__(self, clock):
        super().__init__()
        self.clock = clock
        self.hold_ups = []
        self.pending_losses = []
        self.called = None
        self.started_at = {}  # milliseconds, of instances that have started again
        self.copied_at = {}  # time at which an emptied instance has the log again
        self.tasks = set()

    def spawn(self, coroutine):
        task = asyncio.get_running_loop().create_task(coroutine)
        self.tasks.add(task)
        return task

    def replicate(self):
        """Send each instance the log of the newest primary that it reaches."""
        for instance in self.instances:
            if instance.is_primary or not (instance.alive and instance.receives):
                continue
            if self.copied_at.get(instance, 0.0) > self.clock():
                continue
            sources = [
                i
                for i in self.instances
                if i.is_primary and i.alive and i.receives and i.term >= instance.term
            ]
            source = max(sources, key=lambda i: i.term, default=None)
            if source is not None and instance.held_term <= source.term:
                instance.term = source.term
                instance.log = list(source.log)

    async def commit_when_received(self, instance):
        """Commit at a primary; return the position once a replica has received it."""
        if not (instance.is_primary and instance.alive):
            return None
        position = type(instance.received)(instance.term, instance.received.index + 1)
        instance.log.append(position)
        deadline = self.clock() + COMMIT_TIMEOUT_S
        while self.clock() < deadline:
            await anyio.sleep(LATENCY_S)
            self.replicate()
            if not (instance.is_primary and instance.alive):
                return None
            others = [i for i in self.instances if i.alive and i is not instance]
            if any(position in i.log for i in others):
                return position
        return None

    def acknowledge(self, position):
        """Record that a caller was told of a commit."""
        self.acknowledged.append(position)
        newest = self.primary
        if newest is not None and position not in newest.log:
            self.lost.append((newest.name, position))

    def start(self, instance, renamed, empty):
        """Start a crashed instance again; one that was replaced may be empty."""
        if empty and not instance.is_primary:
            instance.log = []
            instance.term = 1
            self.pending_losses = [p for p in self.pending_losses if p[0] != instance]
        self.lost += [
            (promoted, commit)
            for holder, promoted, commit in self.pending_losses
            if holder is instance
        ]
        self.restart(instance, renamed)
        self.started_at[instance] = int(self.clock() * 1000)

    def take_effect(self, instance):
        """Let an instance lead the next term with what it has received."""
        for commit in set(self.acknowledged) - set(instance.log):
            holders = [i for i in self.instances if commit in i.log]
            if any(i.alive for i in holders):
                self.lost.append((instance.name, commit))
            else:
                self.pending_losses += [(i, instance.name, commit) for i in holders]
        instance.term = max(i.term for i in self.instances) + 1
        instance.is_primary = True
        instance.held_term = 0

    async def receive_call(self, name):
        """Handle a promotion call that has arrived; return whether it is accepted."""
        instance = next((i for i in self.instances if i.name == name), None)
        if instance is None or not instance.alive:
            return False
        if instance is self.primary:
            return True
        self.spawn(self.promote_later(instance, name))
        return True

    async def promote_later(self, instance, name):
        await anyio.sleep(PROMOTION_DELAY_S)
        if instance.alive and instance.name == name and instance is not self.primary:
            self.take_effect(instance)

    async def receive_call_late(self, name, delay_s):
        await anyio.sleep(delay_s)
        return await self.receive_call(name)

    async def call(self, name):
        """Send a promotion call, which may be held up without an answer."""
        delay_s = self.hold_ups.pop(0) if self.hold_ups else LATENCY_S
        self.called = next((i for i in self.instances if i.name == name), None)
        task = self.spawn(self.receive_call_late(name, delay_s))
        if delay_s < CALL_TIMEOUT_S:
            return await asyncio.shield(task)
        await anyio.sleep(CALL_TIMEOUT_S)
        raise StoreError("the promotion call was not answered")


class Supervisor(PrimarySupervisor):
    """Supervisor that finds reasons in the proxy's view of the group."""

    def __init__(self, proxy):
        super().__init__(GROUP, proxy.context(), proxy.clock)
        self.proxy = proxy
        self.silent_since = None

    async def _replacement_reason(self, record):
        if not record.serving:
            return "unfinished change"
        if self.proxy.replaces_next:
            self.proxy.replaces_next = False
            return "test"
        if record.primary not in self.proxy.directory.endpoints:
            return "primary gone"
        try:
            status = await self.proxy.status(record.primary)
        except EndpointError:
            now = self.clock()
            self.silent_since = now if self.silent_since is None else self.silent_since
            return PRIMARY_SILENT if now - self.silent_since >= SILENCE_S else ""
        self.silent_since = None
        return "" if status.is_primary else "primary has become a replica"


class Proxy:
    """Proxy with its own view; it is the store, control and peers of its duties.

    Attributes
    ----------
    resumes_at : float
        Boot time until which the process stands still while its clock goes on.
    cut_off : bool
        Whether neither the store nor the other proxy is reachable.
    watch_delay_s : float
        Time after which changes of the store are seen.
    unreachable : set of SimulatedInstance
        Instances that this proxy does not reach.
    """

    def __init__(self, name, fleet):
        self.name = name
        self.fleet = fleet
        self.group = fleet.group
        self.clock = fleet.clock
        self.resumes_at = float("-inf")
        self.cut_off = False
        self.watch_delay_s = LATENCY_S
        self.watched = 0
        self.unreachable = set()
        self.replaces_next = False
        self.missing = set()  # instances that this proxy does not see registered
        self.directory = EndpointDirectory(FakeConnector([]), self.clock)
        self.leadership = Leadership(self.clock)
        self.members = MemberDirectory(self.clock)
        self.samples = PositionSamples()
        self.replica_sets = ReplicaSets(Writer(self, REPLICA_SET_KEY))
        for number, other in enumerate(PROXIES, 1):
            self.members.observe(member(other), number)
            self.members.mark_alive(other)
        self.confirmation = Confirmation(
            f"inc-{name}", self.leadership, self, directory=self.members
        )
        self.lock = FailoverLock(
            self,
            LOCK_KEY,
            name,
            f"inc-{name}",
            lambda: 0.7 * PROXIES.index(name),
            True,
            self.request_release,
            self.clock,
        )
        self.lock.wait_until_stopped = self.confirmation.wait_for_changes
        self.supervisor = Supervisor(self)

    def context(self):
        return FailoverContext(
            lock=self.lock,
            directory=self.directory,
            leadership=self.leadership,
            members=self.members,
            peers=self,
            control=self,
            promoter=self,
            writer=Writer(self, RECORD_KEY),
            confirmation=self.confirmation,
            refresh_members=self.checkpoint,
            group_samples=lambda group: self.samples,
            fence_reports=FenceReports(MemoryStore(), "fences/"),
            replica_sets=self.replica_sets,
            sync_replicas=lambda group: 1,
        )

    async def checkpoint(self):
        """Wait for the latency of a call, and while the process stands still."""
        await anyio.sleep(LATENCY_S)
        await anyio.sleep(max(self.resumes_at - self.clock(), 0.0))

    # Store

    async def _call_store(self, operation, *arguments):
        await self.checkpoint()
        if self.cut_off:
            await anyio.sleep(STORE_TIMEOUT_S)
            raise StoreError("the store does not answer")
        result = await operation(*arguments)
        await self.checkpoint()
        return result

    async def write_all(self, writes):
        return await self._call_store(self.fleet.store.write_all, writes)

    async def write(self, key, value, expected, lease_id=0):
        write = self.fleet.store.write
        return await self._call_store(write, key, value, expected, lease_id)

    async def list(self, prefix):
        return await self._call_store(self.fleet.store.list, prefix)

    async def grant_lease(self, ttl_s):
        return await self._call_store(self.fleet.store.grant_lease, ttl_s)

    async def renew_lease(self, lease_id):
        await self._call_store(self.fleet.store.renew_lease, lease_id)

    async def watch(self):
        """Apply the changes of the store with a delay."""
        while True:
            await self.checkpoint()
            history = self.fleet.store.history
            while not self.cut_off and self.watched < len(history):
                changed_at, key, value, revision = history[self.watched]
                if changed_at + self.watch_delay_s > self.clock():
                    break
                self.watched += 1
                self.apply(key, value, revision)
            await anyio.sleep(POLL_INTERVAL_S)

    def apply(self, key, value, revision):
        if key == LOCK_KEY and value is None:
            self.lock.observe_removal()
        elif key == LOCK_KEY:
            self.lock.observe(decode_json(value, LockRecord), revision)
        elif key == self.lock.last_acquisition_key:
            record = decode_json(value, LockRecord)
            self.lock.observe_last_acquisition(record, revision)
        elif key == RECORD_KEY:
            record = decode_json(value, GroupRecord)
            self.leadership.observe(GROUP, record, revision)
        elif key == REPLICA_SET_KEY:
            record = decode_json(value, ReplicaSetRecord)
            self.replica_sets.observe(GROUP, record, revision)

    async def confirm(self):
        """Confirm the records by reads of the store."""
        while True:
            await self.checkpoint()
            sent_at = self.clock()
            if not self.cut_off:
                for key in (RECORD_KEY, REPLICA_SET_KEY):
                    if key in self.fleet.store.values:
                        self.apply(key, *self.fleet.store.values[key])
                self.leadership.confirm(sent_at)
            else:
                self.directory.mark_outdated()
            self.read_at_primary()
            await anyio.sleep(CONFIRM_INTERVAL_S)

    def read_at_primary(self):
        """Sample the position of the primary, as reads of callers do."""
        instance = self.usable_primary()
        if instance is not None:
            self.samples.record(self.clock(), instance.received)

    def usable_primary(self):
        """Return the instance of the usable primary if it answers."""
        record = self.leadership.primary(GROUP)
        return next(
            (
                i
                for i in self.group.instances
                if record is not None
                and (i.name, i.alive, i.is_primary) == (record.primary, True, True)
                and i not in self.unreachable
            ),
            None,
        )

    # Other proxies

    async def _reach(self, name):
        await self.checkpoint()
        other = self.fleet.proxies[name]
        is_suspended = other.clock() < other.resumes_at
        if other is not self and (self.cut_off or other.cut_off or is_suspended):
            await anyio.sleep(PEER_TIMEOUT_S)
            raise PeerError(f"{name} is unreachable")
        return other

    async def fence(self, member, request):
        other = await self._reach(member.name)
        position = await other.leadership.fence_and_drain(request.group, request.epoch)
        committed = other.leadership.committed_position(request.group)
        await self.checkpoint()
        return FenceReply(f"inc-{member.name}", position, committed)

    async def send_record(self, member, notice):
        other = await self._reach(member.name)
        other.leadership.observe(notice.group, notice.record, notice.revision)

    async def request_release(self, name, token):
        try:
            other = await self._reach(name)
        except PeerError:
            return False
        other.lock.invalidate_token(token)
        return other.confirmation.changes_in_progress == 0

    # Endpoints and promotion call

    async def _query(self, name, change):
        await self.checkpoint()
        instance = next((i for i in self.group.instances if i.name == name), None)
        if instance is None or not instance.alive or instance in self.unreachable:
            await anyio.sleep(ENDPOINT_TIMEOUT_S)
            raise EndpointError(f"{name} does not answer")
        change(instance)
        status = instance.status()
        await self.checkpoint()
        return status

    async def status(self, name):
        return await self._query(name, lambda instance: None)

    async def hold(self, name, term):
        def hold(instance):
            if not instance.is_primary:
                instance.held_term = max(instance.held_term, term)

        return await self._query(name, hold)

    async def release(self, name):
        def release(instance):
            instance.held_term = 0

        return await self._query(name, release)

    async def demote(self, name, term):
        def demote(instance):
            if instance.term < term:
                instance.is_primary = False

        return await self._query(name, demote)

    async def answers(self, group, name, address):
        try:
            await self.status(name)
        except EndpointError:
            return False
        return True

    async def promote(self, group, name, holder, token):
        await self.checkpoint()
        accepted = await self.group.call(name)
        await self.checkpoint()
        return accepted

    # Callers

    async def write_statement(self, answer_delay_s):
        """Run a write of a caller, whose answer travels for some time."""
        instance = self.usable_primary()
        if instance is None:
            return
        epoch = self.leadership.records[GROUP].epoch
        position_before = self.samples.newest
        sent_at = self.clock()
        with self.leadership.track_write(GROUP):
            position = await self.group.commit_when_received(instance)
            if position is None:
                return
            await anyio.sleep(answer_delay_s)
            await self.checkpoint()
            if self.leadership.acknowledge(GROUP, epoch, position, position_before):
                self.group.acknowledge(position)
                self.samples.record(sent_at, position)


class Writer:
    """Conditional writes of one record through a proxy's calls to the store."""

    def __init__(self, proxy, key):
        self.proxy = proxy
        self.key = key

    async def write(self, group, record, expected):
        value = msgspec.json.encode(record)
        return await self.proxy.write(self.key, value, expected)


class PromotionFleet:
    """Two proxies that supervise a group, with tasks on one event loop.

    Parameters
    ----------
    clock : callable
        Boot time in seconds.
    """

    def __init__(self, clock):
        self.clock = clock
        self.store = ExpiringStore(clock)
        self.group = LateGroup(clock)
        self.proxies = {name: Proxy(name, self) for name in PROXIES}
        self.numbers = itertools.count(1)

    async def start(self):
        """Start all tasks and wait until a primary is recorded."""
        for instance in self.group.instances:
            for proxy in self.proxies.values():
                self.register(proxy, instance)
        self.group.spawn(self.run_group())
        for proxy in self.proxies.values():
            for task in (
                proxy.watch,
                proxy.confirm,
                proxy.lock.run,
                proxy.supervisor.run,
            ):
                self.group.spawn(task())
        await anyio.sleep(6.0)

    async def run_group(self):
        """Replicate, expire leases and demote replaced primaries."""
        replaced_since = {}
        while True:
            self.store.expire_leases()
            self.group.replicate()
            newest = self.group.primary
            for instance in self.group.instances:
                is_replaced = instance.is_primary and instance is not newest
                if not is_replaced or not (instance.receives and newest.receives):
                    replaced_since.pop(instance, None)
                elif newest.alive and instance.alive:
                    since = replaced_since.setdefault(instance, self.clock())
                    instance.is_primary = self.clock() - since < 1.0
            await anyio.sleep(POLL_INTERVAL_S)

    def register(self, proxy, instance):
        if instance.alive and instance not in proxy.missing:
            proxy.directory.observe(
                make_endpoint(
                    instance.name,
                    FAR,
                    address=instance.address,
                    claims_primary=instance.is_primary,
                    started_at=self.group.started_at.get(instance, 1),
                )
            )

    def expire_registrations(self, proxy):
        """Remove the registrations that have ended from a proxy's view."""
        seen = {
            i.name for i in self.group.instances if i.alive and i not in proxy.missing
        }
        for endpoint_id in set(proxy.directory.endpoints) - seen:
            del proxy.directory.endpoints[endpoint_id]

    def heal(self):
        """End all faults; crashed instances return with their logs."""
        self.group.hold_ups.clear()
        for instance in self.group.instances:
            if not instance.alive:
                self.group.start(instance, renamed=True, empty=False)
            instance.receives = True
        for proxy in self.proxies.values():
            proxy.cut_off = False
            proxy.watch_delay_s = LATENCY_S
            proxy.unreachable.clear()
            proxy.missing.clear()
            self.expire_registrations(proxy)
            for instance in self.group.instances:
                self.register(proxy, instance)

    def failures(self):
        """Return the exceptions that ended tasks."""
        ended = [t for t in self.group.tasks if t.done() and not t.cancelled()]
        return [t.exception() for t in ended if t.exception() is not None]
