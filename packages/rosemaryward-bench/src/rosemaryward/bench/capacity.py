"""Measures the cost of membership and configuration by fleet size.

The production services run on a virtual clock and exchange messages over an
in-memory transport, which encodes, decodes and counts every message. The cost of
the gossip socket is measured separately, on loopback.

Examples
--------
``python -m rosemaryward.bench.capacity --sizes 10,50``
"""

import asyncio
import gc
import math
import random
import socket
import time
import tracemalloc
from collections import Counter
from collections.abc import AsyncIterator, Callable, Coroutine
from contextlib import AsyncExitStack
from dataclasses import dataclass
from pathlib import Path
from statistics import linear_regression
from typing import Annotated, Any, TypeVar

import anyio
import anyio.abc
import cappa
import looptime
import msgspec
from rich.console import Console
from rich.table import Table

from rosemaryward.decisions.document.schema import (
    DatabaseSection,
    Document,
    InstanceSection,
)
from rosemaryward.decisions.document.stored import StoredDocument, encode_stored
from rosemaryward.decisions.errors import PeerError
from rosemaryward.decisions.interfaces import GossipHandler, VersionedValue
from rosemaryward.decisions.membership import (
    ConfigurationReplica,
    MembershipService,
    MemberTable,
    OwnershipMap,
)
from rosemaryward.decisions.messages import (
    Digest,
    GossipReply,
    GossipRequest,
    Member,
    MemberState,
    Probe,
    ProbeAck,
)
from rosemaryward.decisions.types import Place
from rosemaryward.peers.gossip import GossipTransport

__all__ = ["CapacityCommand", "FleetResult", "OwnershipResult", "SocketResult", "main"]

DESIGN_MEMBERS = 2900
DESIGN_DATABASES = 3700
FAILURE_DOMAINS = (
    Place("r1", "a"),
    Place("r1", "b"),
    Place("r1", "c"),
    Place("r2", "d"),
    Place("r2", "e"),
)
REGION_DELAY_S = 0.008
DOMAIN_DELAY_S = 0.0015
STEADY_DURATION_S = 10.0
SETTLE_DURATION_S = 5.0
DOCUMENT_DATABASES = 100  # in the configuration document, which then has 34 kB
CONVERGENCE_TIMEOUT_S = 120.0  # virtual time; a longer duration is reported as -1
POLL_INTERVAL_S = 0.05
LOGARITHMIC_FIGURES = ("change_s", "death_s", "rejoin_s")
COLUMN_WIDTH = 14
REQUESTS_ON_OPEN_CONNECTION = 1000
REQUESTS_ON_NEW_CONNECTIONS = 200

_Result = TypeVar("_Result")


class FleetResult(msgspec.Struct, kw_only=True):
    """Results for one fleet size; rates are per member.

    Parameters
    ----------
    members : int
    bytes_in_per_s, bytes_out_per_s : float
        Encoded message bytes in steady state, without the socket's overhead.
    messages_per_s : float
        Requests and replies, sent and received, in steady state.
    cpu_per_s : float
        Processor seconds per second in steady state, including encoding and the
        in-memory transport, excluding sockets.
    table_bytes : int
        Memory of one member table.
    store_calls_per_s : float
        Store calls of the whole fleet; a watch counts once, when it starts.
    watches : int
        Open watches of the whole fleet.
    change_s : float
        Seconds until all members have a new configuration, -1 if they do not
        within the timeout.
    change_bytes : float
        Bytes sent per member in that time.
    death_s, death_bytes, death_cpu_s : float
        The same until all member tables agree after a fifth of the members
        failed at once, and the processor time per member.
    rejoin_s, rejoin_bytes, rejoin_cpu_s : float
        The same after the failed members restarted.
    wall_s : float
        Wall-clock time of the measurement.
    """

    members: int
    bytes_in_per_s: float = 0.0
    bytes_out_per_s: float = 0.0
    messages_per_s: float = 0.0
    cpu_per_s: float = 0.0
    table_bytes: int = 0
    store_calls_per_s: float = 0.0
    watches: int = 0
    change_s: float = -1.0
    change_bytes: float = 0.0
    death_s: float = -1.0
    death_bytes: float = 0.0
    death_cpu_s: float = 0.0
    rejoin_s: float = -1.0
    rejoin_bytes: float = 0.0
    rejoin_cpu_s: float = 0.0
    wall_s: float = 0.0


class SocketResult(msgspec.Struct, kw_only=True):
    """Cost of one probe and its reply over pynng on loopback.

    Parameters
    ----------
    message_bytes : int
        Encoded size of request and reply.
    wire_bytes : float
        Bytes of the TCP streams on an open connection.
    cpu_s : float
        Processor time of both sides on an open connection, in seconds.
    dial_wire_bytes, dial_cpu_s : float
        The same with a new connection for the request.
    """

    message_bytes: int
    wire_bytes: float
    cpu_s: float
    dial_wire_bytes: float
    dial_cpu_s: float


class OwnershipResult(msgspec.Struct, kw_only=True):
    """Processor time to compute the owners of all databases at the design size.

    Parameters
    ----------
    start_s : float
        For the first time.
    death_s, join_s : float
        After one member failed or joined.
    domain_lost_s : float
        After all members of one failure domain failed.
    """

    start_s: float
    death_s: float
    join_s: float
    domain_lost_s: float


class SimulatedTransport:
    """In-memory transport between all members, with counters by host."""

    def __init__(self) -> None:
        self.handlers: dict[str, GossipHandler] = {}
        self.places: dict[str, Place] = {}
        self.bytes_in: Counter[str] = Counter()
        self.bytes_out: Counter[str] = Counter()
        self.messages = 0
        self._encode = msgspec.msgpack.Encoder().encode
        self._request: msgspec.msgpack.Decoder[GossipRequest] = msgspec.msgpack.Decoder(
            GossipRequest
        )
        self._reply: msgspec.msgpack.Decoder[GossipReply] = msgspec.msgpack.Decoder(
            GossipReply
        )

    def reset(self) -> None:
        """Set all counters to 0."""
        self.bytes_in.clear()
        self.bytes_out.clear()
        self.messages = 0

    async def deliver(
        self, source: str, target: str, message: GossipRequest
    ) -> GossipReply:
        """Deliver a request and return the reply, each after the one-way latency."""
        delay_s = self._delay(source, target)
        data = self._encode(message)
        # Decoding only costs processor time: the members share the original object
        # to save memory.
        self._request.decode(data)
        self.bytes_out[source] += len(data)
        await anyio.sleep(delay_s)
        handler = self.handlers.get(target)
        if handler is None:
            raise PeerError("no reply: the target is not running")
        self._count(target, source, len(data))
        reply = await handler(message)
        data = self._encode(reply)
        self._reply.decode(data)
        self.bytes_out[target] += len(data)
        await anyio.sleep(delay_s)
        self._count(source, target, len(data))
        return reply

    def _count(self, receiver: str, sender: str, size: int) -> None:
        self.bytes_in[receiver] += size
        self.messages += 2

    def _delay(self, source: str, target: str) -> float:
        here, there = self.places.get(source), self.places.get(target)
        if here is None or there is None or here.region != there.region:
            return REGION_DELAY_S
        return DOMAIN_DELAY_S


class MemberTransport:
    """Gossip transport of one member."""

    def __init__(self, traffic: SimulatedTransport, host: str) -> None:
        self.traffic = traffic
        self.host = host

    async def request(
        self, target: Member, message: GossipRequest, timeout_s: float
    ) -> GossipReply:
        """Send a message; a request to a stopped member takes the whole timeout."""
        started = anyio.current_time()
        try:
            return await self.traffic.deliver(self.host, target.host, message)
        except PeerError:
            await anyio.sleep(max(0.0, started + timeout_s - anyio.current_time()))
            raise


class CountingStore:
    """In-memory store that counts its calls."""

    def __init__(self) -> None:
        self.calls = 0
        self.watches = 0
        self.value: VersionedValue | None = None
        self._changed = anyio.Event()

    def put(self, version: int) -> None:
        """Store a document; the database with number `version` differs."""
        instance = InstanceSection(
            host="10.0.0.1", port=3306, region="r1", failure_domain="a"
        )
        databases = {
            f"orders-{number:04d}": DatabaseSection(
                tenant="orders",
                instances={"i0": instance, "i1": instance, "i2": instance},
                slots=5 if number != version else 6,
                connections=30,
            )
            for number in range(DOCUMENT_DATABASES)
        }
        document = Document(
            environment="bench", regions={}, databases=databases, tenants={}
        )
        stored = StoredDocument(
            version=version, author="", comment="", changed_at="", document=document
        )
        self.value = VersionedValue("document", encode_stored(stored), version)
        self._changed.set()
        self._changed = anyio.Event()

    async def get(self, key: str) -> VersionedValue | None:
        """Return the stored document."""
        self.calls += 1
        await anyio.sleep(REGION_DELAY_S)
        return self.value

    async def list(self, prefix: str) -> list[VersionedValue]:
        """Return the stored document in a list."""
        return [self.value] if self.value else []

    async def compare_and_swap(self, key: str, value: bytes, version: int) -> int:
        """Raise an error, because the measurement only reads."""
        raise NotImplementedError

    async def watch(self, key: str) -> AsyncIterator[VersionedValue]:
        """Yield the stored document now and at every change."""
        self.calls += 1
        self.watches += 1
        try:
            while True:
                changed = self._changed
                if self.value is not None:
                    yield self.value
                await changed.wait()
        finally:
            self.watches -= 1


class Fleet:
    """All members of one measurement.

    Parameters
    ----------
    size : int
        Number of members.
    tasks : anyio.abc.TaskGroup
        Task group of the members' tasks.
    """

    def __init__(self, size: int, tasks: anyio.abc.TaskGroup) -> None:
        self.size = size
        self.tasks = tasks
        self.traffic = SimulatedTransport()
        self.store = CountingStore()
        self.services: dict[int, MembershipService] = {}
        self.replicas: dict[int, ConfigurationReplica] = {}
        self._scopes: dict[int, anyio.CancelScope] = {}

    async def start(self, number: int, incarnation: int, known: list[Member]) -> None:
        """Start one member whose table already holds the members `known`."""
        member = make_member(number, incarnation)
        channel = MemberTransport(self.traffic, member.host)
        seeds = [(make_member(n, 1).host, 2) for n in range(3)]
        service = MembershipService(member, channel, random.Random(number), seeds=seeds)
        for other in known:
            service.state.table.merge(other, 0.0)
        self.traffic.places[member.host] = member.place
        self.traffic.handlers[member.host] = service.handle
        self.services[number] = service
        self.replicas[number] = ConfigurationReplica(
            "bench", member.host_id, self.store, service, random.Random(-number)
        )
        await self.tasks.start(self._run, number)

    def kill(self, number: int) -> None:
        """Stop a member without a leave message."""
        service = self.services.pop(number)
        del self.replicas[number]
        self.traffic.handlers.pop(service.local.host)
        self._scopes.pop(number).cancel()

    def converged(self) -> bool:
        """Return whether every table holds exactly the running members."""
        expected = MemberTable()
        for service in self.services.values():
            expected.merge(service.local, 0.0)
        digests = {service.state.table.digest for service in self.services.values()}
        return digests == {expected.digest}

    def bytes_out_per_member(self) -> float:
        """Return the mean bytes sent per member since the last reset."""
        return self.traffic.bytes_out.total() / max(1, len(self.services))

    async def _run(self, number: int, task_status: anyio.abc.TaskStatus[None]) -> None:
        with anyio.CancelScope() as self._scopes[number]:
            async with AsyncExitStack() as stack:
                await stack.enter_async_context(self.services[number])
                await stack.enter_async_context(self.replicas[number])
                task_status.started()
                await anyio.sleep_forever()


class CountingRelay:
    """TCP relay to one port that counts the bytes in both directions."""

    def __init__(self, target: int) -> None:
        self.target = target
        self.bytes = 0

    async def handle(self, client: anyio.abc.SocketStream) -> None:
        """Forward one connection until either side closes it."""
        async with (
            client,
            await anyio.connect_tcp("127.0.0.1", self.target) as server,
            anyio.create_task_group() as tasks,
        ):
            tasks.start_soon(self._copy, client, server, tasks.cancel_scope)
            tasks.start_soon(self._copy, server, client, tasks.cancel_scope)

    async def _copy(
        self,
        source: anyio.abc.SocketStream,
        target: anyio.abc.SocketStream,
        scope: anyio.CancelScope,
    ) -> None:
        try:
            while True:
                data = await source.receive()
                self.bytes += len(data)
                await target.send(data)
        except (anyio.EndOfStream, anyio.BrokenResourceError):
            scope.cancel()


@dataclass
class CapacityCommand:
    """Measure membership and configuration by fleet size.

    Parameters
    ----------
    sizes : str
        Fleet sizes, separated by commas.
    output : Path
        JSON file for the results.
    deaths_up_to : int
        Largest fleet in which members fail and restart; this takes minutes of
        processor time beyond 1,000 members.
    """

    sizes: Annotated[str, cappa.Arg(long=True)] = "10,50,200,1000"
    output: Annotated[Path, cappa.Arg(long=True)] = Path("out/capacity.json")
    deaths_up_to: Annotated[int, cappa.Arg(long=True)] = 1000

    def __call__(self) -> None:
        """Run the measurements and print the tables."""
        sizes = [int(text) for text in self.sizes.split(",")]
        console = Console(width=COLUMN_WIDTH * (len(sizes) + 3))
        results = []
        for size in sizes:
            started = time.perf_counter()
            result = run_virtual(measure_fleet(size, size <= self.deaths_up_to))
            result.wall_s = time.perf_counter() - started
            results.append(result)
            console.print(f"{size} members measured in {result.wall_s:.1f} s")
        cost = anyio.run(measure_socket)
        ownership = measure_ownership()
        design = extrapolate(results)
        print_results(console, results, design)
        print_figures(console, "One probe and its answer over pynng", cost)
        print_figures(console, "Owners of all endpoints at design size", ownership)
        self.output.parent.mkdir(parents=True, exist_ok=True)
        report = {"fleets": results, "design": design, "socket": cost}
        report["ownership"] = ownership
        self.output.write_bytes(msgspec.json.format(msgspec.json.encode(report)))


def make_member(number: int, incarnation: int) -> Member:
    """Return one member; failure domains alternate by number."""
    place = FAILURE_DOMAINS[number % len(FAILURE_DOMAINS)]
    host = f"10.{number >> 16 & 255}.{number >> 8 & 255}.{number & 255}"
    return Member(
        f"entry-{number:05d}", incarnation, MemberState.ALIVE, place, host, 4407, 2
    )


def run_virtual(run: Coroutine[Any, Any, _Result]) -> _Result:
    """Run a coroutine on an event loop with a virtual clock."""
    loop = looptime.patch_event_loop(asyncio.new_event_loop(), start=0, noop_cycles=0)
    try:
        return loop.run_until_complete(run)
    finally:
        loop.close()


async def measure_fleet(size: int, deaths: bool) -> FleetResult:
    """Run all measurements of one fleet size."""
    result = FleetResult(members=size, table_bytes=measure_table_bytes(size))
    async with anyio.create_task_group() as tasks:
        fleet = Fleet(size, tasks)
        fleet.store.put(1)
        known = [make_member(number, 1) for number in range(size)]
        for number in range(size):
            await fleet.start(number, 1, known)
        await anyio.sleep(SETTLE_DURATION_S)
        await measure_steady(fleet, result)
        await measure_change(fleet, result)
        if deaths:
            await measure_deaths(fleet, result)
        tasks.cancel_scope.cancel()
    gc.collect()
    return result


async def measure_steady(fleet: Fleet, result: FleetResult) -> None:
    """Measure rates while nothing changes."""
    fleet.traffic.reset()
    fleet.store.calls = 0
    cpu = time.process_time()
    await anyio.sleep(STEADY_DURATION_S)
    member_seconds = fleet.size * STEADY_DURATION_S
    result.cpu_per_s = (time.process_time() - cpu) / member_seconds
    result.bytes_in_per_s = fleet.traffic.bytes_in.total() / member_seconds
    result.bytes_out_per_s = fleet.traffic.bytes_out.total() / member_seconds
    result.messages_per_s = fleet.traffic.messages / member_seconds
    result.store_calls_per_s = fleet.store.calls / STEADY_DURATION_S
    result.watches = fleet.store.watches


async def measure_change(fleet: Fleet, result: FleetResult) -> None:
    """Measure the propagation of a configuration change."""
    fleet.store.put(2)
    result.change_s, result.change_bytes, _ = await measure_until(
        fleet, lambda: all(r.version == 2 for r in fleet.replicas.values())
    )


async def measure_deaths(fleet: Fleet, result: FleetResult) -> None:
    """Measure the failure of a fifth of the members, and their restart."""
    victims = random.Random(fleet.size).sample(range(3, fleet.size), fleet.size // 5)
    for victim in victims:
        fleet.kill(victim)
    figures = await measure_until(fleet, fleet.converged)
    result.death_s, result.death_bytes, result.death_cpu_s = figures
    await anyio.sleep(SETTLE_DURATION_S)
    fleet.traffic.reset()
    for victim in victims:
        await fleet.start(victim, 2, [])
    figures = await measure_until(fleet, fleet.converged)
    result.rejoin_s, result.rejoin_bytes, result.rejoin_cpu_s = figures


async def measure_until(
    fleet: Fleet, condition: Callable[[], bool]
) -> tuple[float, float, float]:
    """Return time, bytes sent and processor time per member until a condition holds."""
    fleet.traffic.reset()
    started, cpu = anyio.current_time(), time.process_time()
    took = -1.0
    while took < 0 and anyio.current_time() - started < CONVERGENCE_TIMEOUT_S:
        await anyio.sleep(POLL_INTERVAL_S)
        if condition():
            took = anyio.current_time() - started
    cpu_s = (time.process_time() - cpu) / max(1, len(fleet.services))
    return took, fleet.bytes_out_per_member(), cpu_s


def measure_table_bytes(size: int) -> int:
    """Return the memory in bytes of one member table with decoded entries."""
    encoded = [msgspec.msgpack.encode(make_member(number, 1)) for number in range(size)]
    decoder = msgspec.msgpack.Decoder(Member)
    gc.collect()
    tracemalloc.start()
    table = MemberTable()
    for data in encoded:
        table.merge(decoder.decode(data), 0.0)
    table.live()
    used, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    return used


def measure_ownership() -> OwnershipResult:
    """Measure how long one proxy takes to compute the owners of all databases."""
    members = [make_member(number, 1) for number in range(DESIGN_MEMBERS)]
    owners = OwnershipMap()
    owners.set_databases({f"d{n}": make_database(n) for n in range(DESIGN_DATABASES)})

    def evaluate(live: list[Member]) -> float:
        cpu = time.process_time()
        owners.set_members(live)
        for database in owners.databases:
            owners.owners(database)
        return time.process_time() - cpu

    domain = members[0].place
    return OwnershipResult(
        start_s=evaluate(members),
        death_s=evaluate(members[1:]),
        join_s=evaluate(members),
        domain_lost_s=evaluate([m for m in members if m.place != domain]),
    )


def make_database(number: int) -> DatabaseSection:
    """Return a database with instances in three failure domains."""
    places = [FAILURE_DOMAINS[(number + k) % len(FAILURE_DOMAINS)] for k in range(3)]
    instances = {
        f"i{k}": InstanceSection(
            host="10.0.0.1",
            port=3306,
            region=place.region,
            failure_domain=place.failure_domain,
        )
        for k, place in enumerate(places)
    }
    return DatabaseSection(tenant="t", instances=instances, slots=5, connections=30)


async def measure_socket() -> SocketResult:
    """Measure a probe and its reply over pynng."""
    probe = Probe(make_member(1, 1 << 40), Digest(9, 1 << 60, 1 << 61))
    ack = ProbeAck(make_member(2, 1 << 40), Digest(9, 1 << 60, 1 << 61))

    async def answer(request: GossipRequest) -> GossipReply:
        return ack

    size = len(msgspec.msgpack.encode(probe)) + len(msgspec.msgpack.encode(ack))
    async with GossipTransport("127.0.0.1", free_port(), answer) as server:
        cpu_s = await cpu_per_request(
            server.port, probe, REQUESTS_ON_OPEN_CONNECTION, fresh=False
        )
        dial_cpu_s = await cpu_per_request(
            server.port, probe, REQUESTS_ON_NEW_CONNECTIONS, fresh=True
        )
        relay = CountingRelay(server.port)
        listener = await anyio.create_tcp_listener(local_host="127.0.0.1")
        port = listener.extra(anyio.abc.SocketAttribute.local_port)
        async with listener, anyio.create_task_group() as tasks:
            tasks.start_soon(listener.serve, relay.handle)
            await cpu_per_request(port, probe, REQUESTS_ON_OPEN_CONNECTION, fresh=False)
            wire_bytes = relay.bytes / REQUESTS_ON_OPEN_CONNECTION
            relay.bytes = 0
            await cpu_per_request(port, probe, REQUESTS_ON_NEW_CONNECTIONS, fresh=True)
            dial_wire_bytes = relay.bytes / REQUESTS_ON_NEW_CONNECTIONS
            tasks.cancel_scope.cancel()
    return SocketResult(
        message_bytes=size,
        wire_bytes=wire_bytes,
        cpu_s=cpu_s,
        dial_wire_bytes=dial_wire_bytes,
        dial_cpu_s=dial_cpu_s,
    )


async def cpu_per_request(port: int, probe: Probe, count: int, fresh: bool) -> float:
    """Return the processor time per request in seconds.

    Parameters
    ----------
    port : int
    probe : Probe
    count : int
        Number of requests.
    fresh : bool
        Whether each request opens a new connection.
    """
    target = Member(
        "target", 1, MemberState.ALIVE, FAILURE_DOMAINS[0], "127.0.0.1", 0, port
    )

    async def refuse(request: GossipRequest) -> GossipReply:
        raise PeerError("this gossip endpoint only sends requests")

    async with GossipTransport("127.0.0.1", free_port(), refuse) as client:
        cpu = time.process_time()
        for _ in range(count):
            await client.request(target, probe, 5.0)
            if fresh:
                client.close_idle_sockets()
        return (time.process_time() - cpu) / count


def free_port() -> int:
    """Return a loopback port that is currently free."""
    with socket.socket() as probe:
        probe.bind(("127.0.0.1", 0))
        port: int = probe.getsockname()[1]
        return port


def extrapolate(results: list[FleetResult]) -> FleetResult:
    """Fit each result linearly and extrapolate it to the design size.

    Propagation times are fitted against the logarithm of the size, all other
    results against the size.
    """
    design = FleetResult(members=DESIGN_MEMBERS)
    if len(results) < 2:
        return design
    for field in FleetResult.__struct_fields__:
        if field in ("members", "wall_s"):
            continue
        scale = math.log10 if field in LOGARITHMIC_FIGURES else float
        deaths = field.startswith(("death", "rejoin"))
        used = [r for r in results if r.death_s >= 0 or not deaths]
        if len(used) < 2:
            continue
        fit = linear_regression(
            [scale(r.members) for r in used], [getattr(r, field) for r in used]
        )
        value = fit.intercept + fit.slope * scale(DESIGN_MEMBERS)
        setattr(design, field, type(getattr(design, field))(value))
    return design


def print_results(
    console: Console, results: list[FleetResult], design: FleetResult
) -> None:
    """Print the results by fleet size as a table."""
    table = Table(title="Cost per member by fleet size")
    table.add_column("figure")
    for result in results:
        table.add_column(str(result.members), justify="right")
    table.add_column(f"{DESIGN_MEMBERS} (fit)", justify="right")
    for field in FleetResult.__struct_fields__[1:]:
        values = [getattr(result, field) for result in [*results, design]]
        table.add_row(field, *(f"{value:.4g}" for value in values))
    console.print(table)


def print_figures(console: Console, title: str, figures: msgspec.Struct) -> None:
    """Print the fields of one result as a table."""
    table = Table(title=title)
    table.add_column("figure")
    table.add_column("value", justify="right")
    for field in figures.__struct_fields__:
        table.add_row(field, f"{getattr(figures, field):.4g}")
    console.print(table)


def main() -> None:
    """Run the command with the process's arguments."""
    cappa.invoke(CapacityCommand)


if __name__ == "__main__":
    main()
