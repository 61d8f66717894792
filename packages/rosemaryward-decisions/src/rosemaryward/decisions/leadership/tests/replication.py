"""Simulated replication group of one primary and two replicas on a virtual clock."""

import itertools

import anyio

from rosemaryward.decisions.errors import EndpointError
from rosemaryward.decisions.freshness import PositionSamples
from rosemaryward.decisions.gateway.directory import EndpointDirectory
from rosemaryward.decisions.gateway.tests.fakes import (
    FAR,
    GROUP,
    FakeConnector,
    make_endpoint,
    make_record,
)
from rosemaryward.decisions.leadership.change import PrimaryChange
from rosemaryward.decisions.leadership.confirmation import Confirmation
from rosemaryward.decisions.leadership.context import FailoverContext
from rosemaryward.decisions.leadership.control import EndpointStatus
from rosemaryward.decisions.leadership.fence_reports import FenceReports
from rosemaryward.decisions.leadership.members import MemberDirectory
from rosemaryward.decisions.leadership.records import Leadership
from rosemaryward.decisions.leadership.replica_set_upkeep import ReplicaSetUpkeep
from rosemaryward.decisions.leadership.replica_sets import ReplicaSets
from rosemaryward.decisions.leadership.tests.fakes import (
    Lock,
    MemoryStore,
    Peers,
    Writer,
    member,
)
from rosemaryward.decisions.types import LogPosition

PROXIES = ("proxy-1", "proxy-2")  # the first one holds the failover lock


class SimulatedInstance:
    """Instance with a log of positions, which survives a crash."""

    def __init__(self, name, number):
        self.name = name
        self.address = f"10.0.1.{number}:1"
        self.is_primary = False
        self.term = 1
        self.held_term = 0
        self.log = []
        self.alive = True
        self.reachable = True  # for the holder of the failover lock
        self.receives = True

    @property
    def received(self):
        return self.log[-1] if self.log else LogPosition(self.term, 0)

    def status(self):
        return EndpointStatus(
            is_primary=self.is_primary,
            term=self.term,
            received=self.received,
            held_term=self.held_term,
            lag_s=0.0,
            connections=1,
        )


class SimulatedGroup:
    """Instances, promotion call and endpoint control of one group.

    Attributes
    ----------
    acknowledged : list of LogPosition
        Commits that a caller was told of.
    lost : list of tuple of str and LogPosition
        Each promoted instance with an acknowledged commit that it lacks.
    """

    def __init__(self):
        self.instances = [SimulatedInstance(f"i-{n}", n) for n in (1, 2, 3)]
        self.instances[0].is_primary = True
        self.names = itertools.count(4)
        self.acknowledged = []
        self.lost = []

    @property
    def primary(self):
        return max(
            (i for i in self.instances if i.is_primary),
            key=lambda i: i.term,
            default=None,
        )

    def find(self, name):
        instance = next((i for i in self.instances if i.name == name), None)
        if instance is None or not (instance.alive and instance.reachable):
            raise EndpointError(f"{name} does not answer")
        return instance

    def replicate(self):
        """Send the primary's log to the instances that receive it."""
        primary = self.primary
        if primary is None or not primary.alive:
            return
        for instance in self.instances:
            follows = instance.alive and instance.receives and not instance.is_primary
            if follows and instance.held_term <= primary.term:
                instance.term = primary.term
                instance.log = list(primary.log)

    def demote_replaced_primaries(self):
        """Make replaced primaries replicas if they reach the newest primary."""
        newest = self.primary
        if newest is None or not newest.alive:
            return
        for instance in self.instances:
            if instance is not newest and instance.alive and instance.receives:
                instance.is_primary = False

    def commit(self, name):
        """Commit at an instance; return the position if a replica has received it."""
        primary = self.primary
        if primary is None or primary.name != name or not primary.alive:
            return None
        position = LogPosition(primary.term, primary.received.index + 1)
        primary.log.append(position)
        self.replicate()
        replicas = [i for i in self.instances if i.alive and i is not primary]
        if not any(position in i.log for i in replicas):
            return None
        self.acknowledged.append(position)
        return position

    def restart(self, instance, renamed):
        """Start an instance again with its log, at its address."""
        instance.alive = True
        instance.held_term = 0
        if renamed:
            instance.name = f"i-{next(self.names)}"
        if instance is not self.primary:
            instance.is_primary = False

    # Endpoint control

    async def status(self, name):
        await anyio.lowlevel.checkpoint()
        return self.find(name).status()

    async def hold(self, name, term):
        await anyio.lowlevel.checkpoint()
        instance = self.find(name)
        instance.held_term = max(instance.held_term, term)
        return instance.status()

    async def release(self, name):
        await anyio.lowlevel.checkpoint()
        instance = self.find(name)
        instance.held_term = 0
        return instance.status()

    async def demote(self, name, term):
        await anyio.lowlevel.checkpoint()
        instance = self.find(name)
        if instance.term < term:
            instance.is_primary = False
        return instance.status()

    async def answers(self, group, name, address):
        return any(i.name == name and i.alive and i.reachable for i in self.instances)

    # Promotion call

    async def promote(self, group, name, holder, token):
        await anyio.sleep(0.3)
        instance = next((i for i in self.instances if i.name == name), None)
        if instance is None or not instance.alive:
            return False
        if instance is self.primary:
            return True
        missing = [c for c in self.acknowledged if c not in instance.log]
        self.lost += [(name, commit) for commit in missing]
        instance.term = max(i.term for i in self.instances) + 1
        instance.is_primary = True
        instance.held_term = 0
        return True


class SimulatedFleet:
    """Two proxies in front of a simulated group; the first one replaces the primary.

    Parameters
    ----------
    clock : callable
        Boot time in seconds.
    """

    def __init__(self, clock):
        self.clock = clock
        self.group = SimulatedGroup()
        self.writer = Writer()
        self.replica_set_writer = Writer(revision=0)
        self.incarnations = itertools.count(1)
        self.record = make_record()
        self.replica_set = None
        self.peers = Peers()
        self.start_processes()

    def start_processes(self):
        """Start both proxies anew; only what the store holds is known to them."""
        self.directory = EndpointDirectory(FakeConnector([]), self.clock)
        self.leadership = Leadership(self.clock)
        self.leadership.observe(GROUP, self.record, self.writer.revision)
        self.members = MemberDirectory(self.clock, known_since=self.clock())
        self.samples = PositionSamples()
        self.replica_sets = ReplicaSets(self.replica_set_writer)
        if self.replica_set is not None:
            revision = self.replica_set_writer.revision
            self.replica_sets.observe(GROUP, self.replica_set, revision)
        for name in PROXIES:
            self.start_process(name)
        for instance in self.group.instances:
            if instance.alive:
                self.register(instance)
        self.upkeep = ReplicaSetUpkeep(GROUP, self.context(), self.clock)

    def start_process(self, name):
        """Start a proxy anew; what it has seen acknowledged is forgotten."""
        number = next(self.incarnations)
        self.members.observe(member(name, f"inc-{number}"), number)
        self.members.mark_alive(name)
        self.peers.fenced[name] = LogPosition()
        self.peers.committed[name] = LogPosition()

    def register(self, instance):
        self.directory.observe(
            make_endpoint(
                instance.name,
                FAR,
                address=instance.address,
                claims_primary=instance.is_primary,
            )
        )

    def expire_registrations(self):
        """Remove the endpoints that have not been registered for some seconds."""
        alive = {i.name for i in self.group.instances if i.alive}
        for endpoint_id in set(self.directory.endpoints) - alive:
            del self.directory.endpoints[endpoint_id]

    def commit(self, proxy, sampled):
        """Commit through a proxy, which remembers the position."""
        record = self.leadership.records[GROUP]
        if not record.serving:
            return
        sent_at = self.clock()
        position = self.group.commit(record.primary)
        if position is None:
            return
        self.peers.fenced[proxy] = max(self.peers.fenced[proxy], position)
        self.peers.committed[proxy] = self.peers.fenced[proxy]
        if sampled:
            self.samples.record(sent_at, position)

    def context(self):
        return FailoverContext(
            lock=Lock(),
            directory=self.directory,
            leadership=self.leadership,
            members=self.members,
            peers=self.peers,
            control=self.group,
            promoter=self.group,
            writer=self.writer,
            confirmation=Confirmation(
                "inc-1", self.leadership, self.peers, directory=self.members
            ),
            refresh_members=anyio.lowlevel.checkpoint,
            group_samples=lambda group: self.samples,
            fence_reports=FenceReports(MemoryStore(), "fences/"),
            replica_sets=self.replica_sets,
            sync_replicas=lambda group: 1,
        )

    async def maintain(self):
        """Update the replica set, as the holder of the lock does all the time."""
        await self.upkeep.update(self.leadership.records[GROUP].primary)
        self.replica_set = self.replica_sets.records[GROUP]

    async def change(self, silent):
        """Replace the primary."""
        change = PrimaryChange(GROUP, self.context(), self.clock)
        try:
            await change.run("test", silent)
        finally:
            self.record = self.leadership.records[GROUP]
