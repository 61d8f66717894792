"""In-memory store, endpoints and members for tests of leadership."""

import anyio

from rosemaryward.decisions.clock import boot_time_s
from rosemaryward.decisions.errors import ConflictError, EndpointError, PeerError
from rosemaryward.decisions.freshness import PositionSamples
from rosemaryward.decisions.gateway.directory import EndpointDirectory
from rosemaryward.decisions.gateway.tests.fakes import (
    FAR,
    GROUP,
    FakeConnector,
    FakeInstance,
    make_endpoint,
    make_record,
)
from rosemaryward.decisions.leadership.change import PrimaryChange
from rosemaryward.decisions.leadership.confirmation import Confirmation
from rosemaryward.decisions.leadership.context import FailoverContext
from rosemaryward.decisions.leadership.control import EndpointStatus
from rosemaryward.decisions.leadership.fence_reports import FenceReports
from rosemaryward.decisions.leadership.members import (
    FenceReply,
    IntroductionReply,
    MemberDirectory,
    MemberRecord,
)
from rosemaryward.decisions.leadership.records import Leadership
from rosemaryward.decisions.leadership.replica_set_upkeep import ReplicaSetUpkeep
from rosemaryward.decisions.leadership.replica_sets import ReplicaSets
from rosemaryward.decisions.mirror import (
    ConditionalWrite,
    LeaseLostError,
    Listing,
    StoredValue,
)
from rosemaryward.decisions.types import LogPosition


class MemoryStore:
    """Conditional writes and leases; `before_write` is called before each write."""

    def __init__(self):
        self.values = {}
        self.revision = 10
        self.leases = 0
        self.ended = set()
        self.before_write = None

    async def write(self, key, value, expected, lease_id=0):
        return await self.write_all([ConditionalWrite(key, value, expected, lease_id)])

    async def write_all(self, writes):
        await anyio.lowlevel.checkpoint()
        if self.before_write is not None:
            self.before_write()
        for write in writes:
            if self.values.get(write.key, (None, 0))[1] != write.expected:
                raise ConflictError(write.key)
        self.revision += 1
        for write in writes:
            self.values[write.key] = (write.value, self.revision)
        return self.revision

    async def list(self, prefix):
        await anyio.lowlevel.checkpoint()
        values = [
            StoredValue(key, value, revision)
            for key, (value, revision) in self.values.items()
            if key.startswith(prefix)
        ]
        return Listing(values, self.revision)

    async def delete(self, key, expected):
        await anyio.lowlevel.checkpoint()
        if self.values.get(key, (None, 0))[1] != expected:
            raise ConflictError(key)
        del self.values[key]

    async def grant_lease(self, ttl_s):
        await anyio.lowlevel.checkpoint()
        self.leases += 1
        return self.leases

    async def renew_lease(self, lease_id):
        if lease_id in self.ended:
            raise LeaseLostError(str(lease_id))


class Lock:
    """Failover lock that is held until a test sets `held` to false."""

    def __init__(self):
        self.holder = "proxy-1"
        self.token = 7
        self.held = True

    def is_held(self):
        return self.held


class Control:
    """Control of endpoints with fixed statuses; those without one do not answer."""

    def __init__(self, statuses):
        self.statuses = statuses
        self.calls = []

    async def _call(self, operation, endpoint_id):
        await anyio.lowlevel.checkpoint()
        self.calls.append((operation, endpoint_id))
        if endpoint_id not in self.statuses:
            raise EndpointError(f"{endpoint_id} does not answer")
        return self.statuses[endpoint_id]

    async def status(self, endpoint_id):
        return await self._call("status", endpoint_id)

    async def hold(self, endpoint_id, term):
        return await self._call("hold", endpoint_id)

    async def release(self, endpoint_id):
        return await self._call("release", endpoint_id)

    async def demote(self, endpoint_id, term):
        return await self._call("demote", endpoint_id)

    async def answers(self, group, endpoint_id, address):
        return endpoint_id in self.statuses


class Promoter:
    """Promotion call that always succeeds at once."""

    def __init__(self, control):
        self.control = control
        self.calls = []

    async def promote(self, group, endpoint_id, holder, token):
        self.calls.append((endpoint_id, holder, token))
        self.control.statuses[endpoint_id] = status(2, 0, is_primary=True)
        return True


class Peers:
    """Requests to members, answered by name; other members are unreachable."""

    def __init__(self):
        self.fenced = {}
        self.committed = {}
        self.incarnations = {}  # of processes that are not registered yet
        self.confirmations = {}
        self.confirmation_requests = []
        self.introducible = set()  # names of the members that answer introductions
        self.introduced = []
        self.sent_records = []

    async def send_record(self, member, notice):
        await anyio.lowlevel.checkpoint()
        self.sent_records.append((member.name, notice.record, notice.revision))

    async def fence(self, member, request):
        await anyio.lowlevel.checkpoint()
        if member.name not in self.fenced:
            raise PeerError(f"{member.name} is unreachable")
        incarnation = self.incarnations.get(member.name, member.incarnation)
        committed = self.committed.get(member.name, LogPosition())
        return FenceReply(incarnation, self.fenced[member.name], committed)

    async def introduce(self, member, request):
        await anyio.lowlevel.checkpoint()
        if member.name not in self.introducible:
            raise PeerError(f"{member.name} is unreachable")
        self.introduced.append((member.name, request.member))
        return IntroductionReply(member.incarnation)

    async def request_confirmation(self, member, request):
        await anyio.lowlevel.checkpoint()
        self.confirmation_requests.append((member.name, request))
        if member.name not in self.confirmations:
            raise PeerError(f"{member.name} is unreachable")
        return self.confirmations[member.name]


class Writer:
    """Conditional writes of one record of one group."""

    def __init__(self, revision=1):
        self.records = []
        self.revision = revision

    async def write(self, group, record, expected):
        if expected != self.revision:
            raise ConflictError(f"{expected} is not {self.revision}")
        self.revision += 1
        self.records.append(record)
        return self.revision


def status(term, index, is_primary=False):
    return EndpointStatus(
        is_primary=is_primary,
        term=term,
        received=LogPosition(term, index),
        held_term=0,
        lag_s=0.0,
        connections=1,
    )


def member(name, incarnation=None):
    return MemberRecord(name, "10.0.0.1:1", incarnation or f"inc-{name}")


class ChangeScenario:
    """A change of primary of one group with three endpoints and two members."""

    def __init__(self, statuses):
        instances = [FakeInstance(f"i-{n}") for n in (1, 2, 3)]
        self.directory = EndpointDirectory(FakeConnector(instances))
        for instance in instances:
            self.directory.observe(make_endpoint(instance.name, FAR))
        self.leadership = Leadership()
        self.leadership.observe(GROUP, make_record(), 1)
        self.members = MemberDirectory()
        for number, name in enumerate(("proxy-1", "proxy-2"), 1):
            self.members.observe(member(name), number)
            self.members.mark_alive(name)
        self.peers = Peers()
        self.peers.fenced = {"proxy-1": LogPosition(1, 5), "proxy-2": LogPosition(1, 5)}
        self.control = Control(statuses)
        self.promoter = Promoter(self.control)
        self.samples = PositionSamples()
        self.writer = Writer()
        self.store = MemoryStore()
        self.replica_set_writer = Writer(revision=0)
        self.replica_sets = ReplicaSets(self.replica_set_writer)
        self.lock = Lock()
        self.sync_replicas = 1
        self.confirmation = Confirmation(
            "inc-proxy-1", self.leadership, self.peers, directory=self.members
        )

    def context(self):
        return FailoverContext(
            lock=self.lock,
            directory=self.directory,
            leadership=self.leadership,
            members=self.members,
            peers=self.peers,
            control=self.control,
            promoter=self.promoter,
            writer=self.writer,
            confirmation=self.confirmation,
            refresh_members=self._refresh,
            group_samples=lambda group: self.samples,
            fence_reports=FenceReports(self.store, "fences/"),
            replica_sets=self.replica_sets,
            sync_replicas=lambda group: self.sync_replicas,
        )

    def upkeep(self, clock=boot_time_s):
        return ReplicaSetUpkeep(GROUP, self.context(), clock)

    async def run(self, reason="test", old_primary_silent=False):
        change = PrimaryChange(GROUP, self.context())
        await change.run(reason, old_primary_silent)
        return change

    async def _refresh(self):
        await anyio.lowlevel.checkpoint()
