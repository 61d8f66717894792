"""Fleet of quota participants on a virtual clock, without a network or a store.

Hosts see the registrations with a delay, have clocks that differ, and can stop, start,
freeze and be cut off. Messages are encoded as on the wire, delayed by distance, and
lost at a cut.
"""

import asyncio
import bisect
import math
import random
from collections import Counter, defaultdict

import anyio
import looptime
import msgspec

from rosemaryward.decisions.errors import OverloadError, PeerError
from rosemaryward.decisions.gateway.directory import distance
from rosemaryward.decisions.leadership.members import MemberDirectory, MemberRecord
from rosemaryward.decisions.quota import (
    Allocator,
    AllocatorPlacement,
    OwnShare,
    QuotaBounds,
    ShareDonor,
    TenantQuota,
    TenantRate,
)
from rosemaryward.decisions.relays.messages import RelayReply, RelayRequest
from rosemaryward.decisions.types import Place

DOMAINS = (("r1", "a"), ("r1", "b"), ("r1", "c"), ("r2", "d"), ("r2", "e"), ("r2", "f"))
DELAY_S = (0.0002, 0.001, 0.008)  # one way, by distance
VIEW_DELAY_S = 0.05
VIEW_INTERVAL_S = 0.25
MIRROR_AGE_S = 1.0  # of a host in touch
LEASE_S = 3.0
REMOVAL_S = 60.0  # after the end of the lease
STEP_S = 0.05

_request_decoder = msgspec.msgpack.Decoder(RelayRequest)
_reply_decoder = msgspec.msgpack.Decoder(RelayReply)
_FRAME_BYTES = 12  # length and request id


class Process:
    """One proxy process with its own view of the members."""

    def __init__(self, fleet, name, place, generation):
        self.fleet = fleet
        self.name = name
        self.frozen = False
        self.cut = False
        self.dead = False
        self.thawed = anyio.Event()
        self.offset = fleet.random.uniform(0, 1e5)
        self.record = MemberRecord(
            name, "x:1", f"{name}.{generation}", f"{name}:2", place, 100.0
        )
        self.members = MemberDirectory(self.clock)
        self.seen_at = float("-inf")
        self.allocator = fleet.allocator_type(
            self.record.incarnation, self.limits, fleet.bounds, self.clock
        )
        self.share = OwnShare(
            name,
            self.record.incarnation,
            self.members,
            self.mirror_age_s,
            self.clock,
            fleet.first_start,
        )
        channel = Channel(fleet, self)
        self.donor = fleet.donor_type(
            self.record,
            self.share,
            AllocatorPlacement(self.members),
            channel,
            self.allocator,
            self.clock,
        )
        self.quota = fleet.quota_type(
            self.record, self.limits, self.donor, channel, self.allocator, self.clock
        )
        self.known_limits = fleet.limits

    def clock(self):
        return self.fleet.now() + self.offset

    def limits(self):
        return self.known_limits

    def mirror_age_s(self):
        return MIRROR_AGE_S + self.fleet.now() - self.seen_at

    def is_in_touch(self):
        return not (self.frozen or self.cut or self.fleet.store_down)

    def read_store(self):
        """Apply the registrations, as a mirror does."""
        store, directory = self.fleet, self.members
        for record, revision in store.registered.values():
            directory.observe(record, revision)
        for name in list(directory.members):
            if name not in store.registered:
                directory.remove(name)
        for name in store.alive - directory.alive:
            directory.mark_alive(name)
        for name in directory.alive - store.alive:
            directory.mark_absent(name)
        self.known_limits = store.limits
        self.seen_at = store.now()

    async def run(self):
        async with anyio.create_task_group() as self.tasks:
            self.tasks.start_soon(self.quota.run)
            self.tasks.start_soon(self._read_store_regularly)
            await self._start()
            while True:
                if not self.frozen:
                    self.donor.step(self.tasks)
                await self.donor.wait()

    async def _start(self):
        await self._wait_until_in_touch()
        self.read_store()
        self.share.observe_start()
        await anyio.sleep(VIEW_DELAY_S)
        await self._wait_until_in_touch()
        self.fleet.register(self.record)
        self.read_store()

    async def _wait_until_in_touch(self):
        while not self.is_in_touch():  # noqa: ASYNC110 - the fleet has no such event
            await anyio.sleep(STEP_S)

    async def _read_store_regularly(self):
        revision = -1
        while True:
            if self.is_in_touch() and self.share.was_registered is not None:
                changed = revision != self.fleet.revision
                if changed or self.mirror_age_s() > MIRROR_AGE_S + VIEW_INTERVAL_S:
                    revision = self.fleet.revision
                    self.read_store()
            await anyio.sleep(VIEW_DELAY_S)

    def freeze(self):
        self.frozen = True

    def thaw(self):
        self.frozen = False
        self.thawed.set()
        self.thawed = anyio.Event()

    async def wait_until_thawed(self):
        while self.frozen:
            await self.thawed.wait()


class Channel:
    """Messages of one process, which are counted and can be delayed or lost."""

    def __init__(self, fleet, process):
        self.fleet = fleet
        self.process = process

    async def donate(self, member, message):
        return await self._exchange(member, message)

    async def borrow(self, member, message):
        return await self._exchange(member, message)

    async def _exchange(self, member, message):
        fleet, source = self.fleet, self.process
        payload = msgspec.msgpack.encode(message)
        fleet.count(source.name, payload)
        await source.wait_until_thawed()
        await self._travel(member)
        target = fleet.processes.get(member.name)
        if target is None or target.dead or not fleet.is_connected(source, target):
            await anyio.sleep(0.4)
            raise PeerError(f"{member.name} is unreachable")
        await target.wait_until_thawed()
        if target.dead:
            raise PeerError("connection ended")
        reply = target.allocator.handle(_request_decoder.decode(payload))
        payload = msgspec.msgpack.encode(reply)
        fleet.count(target.name, payload)
        await self._travel(member)
        if not fleet.is_connected(source, target):
            await anyio.sleep(0.4)
            raise PeerError("connection ended")
        await source.wait_until_thawed()
        return _reply_decoder.decode(payload)

    async def _travel(self, member):
        fleet = self.fleet
        delay_s = DELAY_S[distance(self.process.record.place, member.place)]
        delay_s += fleet.random.expovariate(1 / fleet.jitter_s) if fleet.jitter_s else 0
        await anyio.sleep(delay_s)


class Fleet:
    """Hosts, their registrations and the operations that they admitted."""

    def __init__(self, seed, limits, hosts=12, first_start=False, **types):
        self.random = random.Random(seed)
        self.bounds = types.get("bounds", QuotaBounds())
        self.allocator_type = types.get("allocator", Allocator)
        self.donor_type = types.get("donor", ShareDonor)
        self.quota_type = types.get("quota", TenantQuota)
        self.jitter_s = types.get("jitter_s", 0.0005)
        self.limits = limits
        self.limit_changes = [(float("-inf"), limits)]
        self.first_start = first_start
        self.registered = {}
        self.alive = set()
        self.revision = 0
        self.generation = 0
        self.store_down = False
        self.partition = None
        self.places = {
            f"h{i:04d}": Place(*DOMAINS[i % len(DOMAINS)]) for i in range(hosts)
        }
        self.processes = {}
        self.scopes = {}
        self.admitted = defaultdict(list)
        self.asked = defaultdict(list)
        self.messages = Counter()
        self.bytes = Counter()
        self.most_donated = 0.0

    def now(self):
        return asyncio.get_running_loop().time()

    def count(self, name, payload):
        self.messages[name] += 1
        self.bytes[name] += len(payload) + _FRAME_BYTES

    def is_connected(self, one, other):
        if one.cut or other.cut:
            return one is other
        if self.partition is None:
            return True
        return (one.record.place.region == self.partition) == (
            other.record.place.region == self.partition
        )

    def register(self, record):
        self.revision += 1
        self.registered[record.name] = (record, self.revision)
        self.alive.add(record.name)

    def preregister(self):
        """Leave the registrations of earlier processes, as before a restart."""
        for name, place in self.places.items():
            self.revision += 1
            record = MemberRecord(name, "x:1", f"{name}.old", f"{name}:2", place, 100.0)
            self.registered[name] = (record, self.revision)

    def set_limits(self, limits):
        self.limits = limits
        self.revision += 1
        self.limit_changes.append((self.now(), limits))

    def start(self, name):
        self.generation += 1
        process = Process(self, name, self.places[name], self.generation)
        self.processes[name] = process
        scope = self.scopes[name] = anyio.CancelScope()

        async def run():
            with scope:
                await process.run()

        self.tasks.start_soon(run)

    def start_all(self):
        for name in self.places:
            self.start(name)

    def kill(self, name):
        process = self.processes[name]
        if process.dead:
            return
        process.dead = True
        process.thaw()
        self.scopes[name].cancel()
        self.tasks.start_soon(self._expire, name, process)

    async def _expire(self, name, process):
        def is_current():
            return self.processes[name] is process

        await anyio.sleep(LEASE_S)
        if is_current() and name in self.alive:
            self.alive.discard(name)
            self.revision += 1
        await anyio.sleep(REMOVAL_S)
        if is_current() and name in self.registered:
            del self.registered[name]
            self.revision += 1

    async def drain(self, name):
        """Stop a process as after SIGTERM."""
        process = self.processes[name]
        process.allocator.leaving = True
        process.share.leaving = True
        await anyio.sleep(2.2)
        if not process.dead and self.processes[name] is process:
            self.kill(name)
            self.registered.pop(name, None)
            self.alive.discard(name)
            self.revision += 1

    async def call(self, tenant, names, rate_per_s, until):
        """Send operations of a tenant at random times to random hosts."""
        while self.now() < until:
            await anyio.sleep(self.random.expovariate(rate_per_s))
            self.tasks.start_soon(self._operate, tenant, self.random.choice(names))

    async def _operate(self, tenant, name):
        process = self.processes.get(name)
        if process is None or process.dead or process.frozen:
            return
        self.asked[tenant].append(self.now())
        try:
            await process.quota.admit(tenant)
        except OverloadError:
            return
        if not process.frozen and not process.dead:
            self.admitted[tenant].append(self.now())

    # Checks

    def donated(self):
        """Return the sum of the fractions in force at all processes that live."""
        return sum(
            donation.fraction
            for process in self.processes.values()
            if not process.dead
            for donation in process.allocator.shares.donations.values()
            if donation.until > process.clock()
        )

    async def watch_donations(self):
        """Record the largest sum of the fractions in force."""
        while True:
            await anyio.sleep(STEP_S)
            self.most_donated = max(self.most_donated, self.donated())

    def check_donations(self):
        assert self.most_donated <= 1 + 1e-6, f"{self.most_donated} of a rate given"

    def worst_window(self, tenant, since=float("-inf"), limits=None):
        """Return the largest ratio of operations in a window to the bound."""
        times = sorted(t for t in self.admitted[tenant] if t >= since)
        worst = 0.0
        for i, start in enumerate(times):
            end = bisect.bisect_left(times, start + self.bounds.window_s)
            rate = (
                limits[tenant]
                if limits is not None
                else self._largest_limit(tenant, start)
            )
            worst = max(worst, (end - i) / self.bound(rate))
        return worst

    def bound(self, rate):
        bounds = self.bounds
        limit = rate.rate_per_s * bounds.window_s + rate.burst
        return math.floor(limit * (1 + bounds.overage) + bounds.slack + 1e-6)

    def _largest_limit(self, tenant, start):
        """Return the largest limit that may still apply to a window."""
        window_s = self.bounds.window_s
        candidates = []
        for (since, limits), (until, _) in zip(
            self.limit_changes, [*self.limit_changes[1:], (math.inf, None)], strict=True
        ):
            # A host that is cut off keeps the old limit for as long as it donates.
            applies_until = until + 25.0 + window_s
            if since <= start + window_s and start <= applies_until:
                candidates.append(limits[tenant])
        return max(candidates, key=self.bound)

    def check_bound(self):
        for tenant in self.limits:
            ratio = self.worst_window(tenant)
            assert ratio <= 1.0, f"{tenant} had {ratio:.3f} of the bound in a window"

    def served(self, tenant, since, until):
        """Return the operations per second that were admitted."""
        times = self.admitted[tenant]
        return sum(since <= t < until for t in times) / (until - since)

    def asked_for(self, tenant, since, until):
        times = self.asked[tenant]
        return sum(since <= t < until for t in times) / (until - since)


def run_fleet(fleet, scenario):
    """Run a scenario, a function of the fleet, on a virtual clock."""

    async def main():
        async with anyio.create_task_group() as fleet.tasks:
            fleet.tasks.start_soon(fleet.watch_donations)
            await scenario(fleet)
            fleet.tasks.cancel_scope.cancel()

    with asyncio.Runner(
        loop_factory=lambda: looptime.new_event_loop(start=0, noop_cycles=0)
    ) as runner:
        runner.run(main())
    return fleet


HOT = TenantRate(150.0, 30.0)
SMALL = TenantRate(1.0, 1.0)
LIMITS = {"hot": HOT, "small": SMALL}
