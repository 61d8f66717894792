"""Measures the cost of membership and configuration against the fleet's size.

The real services run on a virtual clock, joined by an in-memory channel that
encodes and decodes every message and counts its bytes. The cost of the gossip
socket itself is measured apart, on loopback.

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

DESIGN_SIZE = 2900
DESIGN_DATABASES = 3700
DOMAINS = (
    Place("r1", "a"),
    Place("r1", "b"),
    Place("r1", "c"),
    Place("r2", "d"),
    Place("r2", "e"),
)
REGION_DELAY_S = 0.008
DOMAIN_DELAY_S = 0.0015
STEADY_S = 10.0
SETTLE_S = 5.0
DATABASES = 100  # in the document, which then takes 34 kB
LIMIT_S = 120.0  # virtual time after which a missing convergence is reported
CHECK_S = 0.05
SPREAD_TIMES = ("change_s", "death_s", "rejoin_s")
COLUMN_WIDTH = 14
SOCKET_REQUESTS = 1000
DIALS = 200

_Result = TypeVar("_Result")


class FleetResult(msgspec.Struct, kw_only=True):
    """Figures of one fleet size; rates are per member.

    Parameters
    ----------
    members : int
    bytes_in_per_s, bytes_out_per_s : float
        Encoded message bytes in steady state, without the socket's overhead.
    messages_per_s : float
        Requests and answers, sent and received, in steady state.
    cpu_per_s : float
        Processor seconds per second in steady state, with encoding and the
        in-memory channel, without sockets.
    table_bytes : int
        Memory of one member table.
    store_calls_per_s : float
        Calls of the whole fleet, with waiting watches counted when they start.
    watches : int
        Waiting watches of the whole fleet.
    change_s : float
        Time until a configuration change is in force on all members; -1 for
        not within the limit.
    change_bytes : float
        Bytes out per member in that time.
    death_s, death_bytes, death_cpu_s : float
        The same after a fifth of the members died at once, and the processor
        time per member.
    rejoin_s, rejoin_bytes, rejoin_cpu_s : float
        The same after they started again.
    wall_s : float
        Real time that the measurement took.
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
    """Cost of one probe and its answer over pynng on loopback.

    Parameters
    ----------
    message_bytes : int
        Encoded request and answer.
    wire_bytes : float
        Bytes of the TCP streams for them on an open connection.
    cpu_s : float
        Processor time of both sides on an open connection.
    dial_wire_bytes, dial_cpu_s : float
        The same when the connection is opened for the request.
    """

    message_bytes: int
    wire_bytes: float
    cpu_s: float
    dial_wire_bytes: float
    dial_cpu_s: float


class OwnershipResult(msgspec.Struct, kw_only=True):
    """Processor time to know all owners at the design size.

    Parameters
    ----------
    start_s : float
        From nothing.
    death_s, join_s : float
        After one member died or joined.
    domain_lost_s : float
        After all members of one failure domain died.
    """

    start_s: float
    death_s: float
    join_s: float
    domain_lost_s: float


class Traffic:
    """Channel of all members, with counters by address."""

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

    async def carry(
        self, source: str, target: str, message: GossipRequest
    ) -> GossipReply:
        """Deliver a request and return the answer after the delays."""
        delay_s = self._delay(source, target)
        data = self._encode(message)
        self._request.decode(data)  # costs time; members share one object's memory
        self.bytes_out[source] += len(data)
        await anyio.sleep(delay_s)
        handler = self.handlers.get(target)
        if handler is None:
            raise PeerError("no answer")
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


class MemberChannel:
    """One member's side of the traffic."""

    def __init__(self, traffic: Traffic, host: str) -> None:
        self.traffic = traffic
        self.host = host

    async def request(
        self, target: Member, message: GossipRequest, timeout_s: float
    ) -> GossipReply:
        """Send a message; a dead target costs the whole timeout."""
        started = anyio.current_time()
        try:
            return await self.traffic.carry(self.host, target.host, message)
        except PeerError:
            await anyio.sleep(max(0.0, started + timeout_s - anyio.current_time()))
            raise


class CountingStore:
    """Store in memory that counts its calls."""

    def __init__(self) -> None:
        self.calls = 0
        self.watches = 0
        self.value: VersionedValue | None = None
        self._changed = anyio.Event()

    def put(self, version: int) -> None:
        """Store a document that differs from the last one in one database."""
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
            for number in range(DATABASES)
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
        """Return the value."""
        self.calls += 1
        await anyio.sleep(REGION_DELAY_S)
        return self.value

    async def list(self, prefix: str) -> list[VersionedValue]:
        """Return the value in a list."""
        return [self.value] if self.value else []

    async def compare_and_swap(self, key: str, value: bytes, version: int) -> int:
        """Refuse; the measurement only reads."""
        raise NotImplementedError

    async def watch(self, key: str) -> AsyncIterator[VersionedValue]:
        """Yield the value now and at every change."""
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
    tasks : anyio.abc.TaskGroup
        Owns the members' tasks.
    """

    def __init__(self, size: int, tasks: anyio.abc.TaskGroup) -> None:
        self.size = size
        self.tasks = tasks
        self.traffic = Traffic()
        self.store = CountingStore()
        self.services: dict[int, MembershipService] = {}
        self.replicas: dict[int, ConfigurationReplica] = {}
        self._scopes: dict[int, anyio.CancelScope] = {}

    async def start(self, number: int, incarnation: int, known: list[Member]) -> None:
        """Start one member that knows some others already."""
        member = make_member(number, incarnation)
        channel = MemberChannel(self.traffic, member.host)
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
        """Stop a member without a farewell."""
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

    def out_per_member(self) -> float:
        """Return the mean bytes out since the last reset."""
        return self.traffic.bytes_out.total() / max(1, len(self.services))

    async def _run(self, number: int, task_status: anyio.abc.TaskStatus[None]) -> None:
        with anyio.CancelScope() as self._scopes[number]:
            async with AsyncExitStack() as stack:
                await stack.enter_async_context(self.services[number])
                await stack.enter_async_context(self.replicas[number])
                task_status.started()
                await anyio.sleep_forever()


class CountingRelay:
    """TCP relay to one port that counts the bytes of both directions."""

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
    """Measure membership and configuration against the fleet's size.

    Parameters
    ----------
    sizes : str
        Fleet sizes, separated by commas.
    output : Path
        File for the figures as JSON.
    deaths_up_to : int
        Largest fleet in which members die and return; that takes minutes of
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
    """Return the entry of one member; places alternate."""
    place = DOMAINS[number % len(DOMAINS)]
    host = f"10.{number >> 16 & 255}.{number >> 8 & 255}.{number & 255}"
    return Member(
        f"entry-{number:05d}", incarnation, MemberState.ALIVE, place, host, 4407, 2
    )


def run_virtual(run: Coroutine[Any, Any, _Result]) -> _Result:
    """Run a coroutine on an event loop whose clock jumps over waits."""
    loop = looptime.patch_event_loop(asyncio.new_event_loop(), start=0, noop_cycles=0)
    try:
        return loop.run_until_complete(run)
    finally:
        loop.close()


async def measure_fleet(size: int, deaths: bool) -> FleetResult:
    """Run all measurements of one fleet size."""
    result = FleetResult(members=size, table_bytes=table_memory(size))
    async with anyio.create_task_group() as tasks:
        fleet = Fleet(size, tasks)
        fleet.store.put(1)
        known = [make_member(number, 1) for number in range(size)]
        for number in range(size):
            await fleet.start(number, 1, known)
        await anyio.sleep(SETTLE_S)
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
    await anyio.sleep(STEADY_S)
    member_seconds = fleet.size * STEADY_S
    result.cpu_per_s = (time.process_time() - cpu) / member_seconds
    result.bytes_in_per_s = fleet.traffic.bytes_in.total() / member_seconds
    result.bytes_out_per_s = fleet.traffic.bytes_out.total() / member_seconds
    result.messages_per_s = fleet.traffic.messages / member_seconds
    result.store_calls_per_s = fleet.store.calls / STEADY_S
    result.watches = fleet.store.watches


async def measure_change(fleet: Fleet, result: FleetResult) -> None:
    """Measure the spread of a configuration change."""
    fleet.store.put(2)
    result.change_s, result.change_bytes, _ = await measure_until(
        fleet, lambda: all(r.version == 2 for r in fleet.replicas.values())
    )


async def measure_deaths(fleet: Fleet, result: FleetResult) -> None:
    """Measure the deaths of a fifth of the members, and their return."""
    victims = random.Random(fleet.size).sample(range(3, fleet.size), fleet.size // 5)
    for victim in victims:
        fleet.kill(victim)
    figures = await measure_until(fleet, fleet.converged)
    result.death_s, result.death_bytes, result.death_cpu_s = figures
    await anyio.sleep(SETTLE_S)
    fleet.traffic.reset()
    for victim in victims:
        await fleet.start(victim, 2, [])
    figures = await measure_until(fleet, fleet.converged)
    result.rejoin_s, result.rejoin_bytes, result.rejoin_cpu_s = figures


async def measure_until(
    fleet: Fleet, condition: Callable[[], bool]
) -> tuple[float, float, float]:
    """Return time, bytes out and processor time per member until it holds."""
    fleet.traffic.reset()
    started, cpu = anyio.current_time(), time.process_time()
    took = -1.0
    while took < 0 and anyio.current_time() - started < LIMIT_S:
        await anyio.sleep(CHECK_S)
        if condition():
            took = anyio.current_time() - started
    cpu_s = (time.process_time() - cpu) / max(1, len(fleet.services))
    return took, fleet.out_per_member(), cpu_s


def table_memory(size: int) -> int:
    """Return the bytes of one member table whose entries came off the wire."""
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
    """Measure the evaluation of owners of all databases by one proxy."""
    members = [make_member(number, 1) for number in range(DESIGN_SIZE)]
    owners = OwnershipMap()
    owners.set_databases({f"d{n}": spread_database(n) for n in range(DESIGN_DATABASES)})

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


def spread_database(number: int) -> DatabaseSection:
    """Return a database with instances in three failure domains."""
    places = [DOMAINS[(number + k) % len(DOMAINS)] for k in range(3)]
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
    """Measure a probe and its answer over pynng."""
    probe = Probe(make_member(1, 1 << 40), Digest(9, 1 << 60, 1 << 61))
    ack = ProbeAck(make_member(2, 1 << 40), Digest(9, 1 << 60, 1 << 61))

    async def answer(request: GossipRequest) -> GossipReply:
        return ack

    size = len(msgspec.msgpack.encode(probe)) + len(msgspec.msgpack.encode(ack))
    async with GossipTransport("127.0.0.1", free_port(), answer) as server:
        cpu_s = await cpu_per_request(server.port, probe, SOCKET_REQUESTS, fresh=False)
        dial_cpu_s = await cpu_per_request(server.port, probe, DIALS, fresh=True)
        relay = CountingRelay(server.port)
        listener = await anyio.create_tcp_listener(local_host="127.0.0.1")
        port = listener.extra(anyio.abc.SocketAttribute.local_port)
        async with listener, anyio.create_task_group() as tasks:
            tasks.start_soon(listener.serve, relay.handle)
            await cpu_per_request(port, probe, SOCKET_REQUESTS, fresh=False)
            wire_bytes = relay.bytes / SOCKET_REQUESTS
            relay.bytes = 0
            await cpu_per_request(port, probe, DIALS, fresh=True)
            dial_wire_bytes = relay.bytes / DIALS
            tasks.cancel_scope.cancel()
    return SocketResult(
        message_bytes=size,
        wire_bytes=wire_bytes,
        cpu_s=cpu_s,
        dial_wire_bytes=dial_wire_bytes,
        dial_cpu_s=dial_cpu_s,
    )


async def cpu_per_request(port: int, probe: Probe, count: int, fresh: bool) -> float:
    """Return the processor time per request, on one or on fresh connections."""
    target = Member("target", 1, MemberState.ALIVE, DOMAINS[0], "127.0.0.1", 0, port)

    async def refuse(request: GossipRequest) -> GossipReply:
        raise PeerError("this endpoint only asks")

    async with GossipTransport("127.0.0.1", free_port(), refuse) as client:
        cpu = time.process_time()
        for _ in range(count):
            await client.request(target, probe, 5.0)
            if fresh:
                client.close_idle_sockets()
        return (time.process_time() - cpu) / count


def free_port() -> int:
    """Return a loopback port that was free a moment ago."""
    with socket.socket() as probe:
        probe.bind(("127.0.0.1", 0))
        port: int = probe.getsockname()[1]
        return port


def extrapolate(results: list[FleetResult]) -> FleetResult:
    """Fit each figure and evaluate it at the design size.

    Times to spread are fitted against the logarithm of the size, all other
    figures against the size.
    """
    design = FleetResult(members=DESIGN_SIZE)
    if len(results) < 2:
        return design
    for field in FleetResult.__struct_fields__:
        if field in ("members", "wall_s"):
            continue
        scale = math.log10 if field in SPREAD_TIMES else float
        deaths = field.startswith(("death", "rejoin"))
        used = [r for r in results if r.death_s >= 0 or not deaths]
        if len(used) < 2:
            continue
        fit = linear_regression(
            [scale(r.members) for r in used], [getattr(r, field) for r in used]
        )
        value = fit.intercept + fit.slope * scale(DESIGN_SIZE)
        setattr(design, field, type(getattr(design, field))(value))
    return design


def print_results(
    console: Console, results: list[FleetResult], design: FleetResult
) -> None:
    """Print the figures of the fleets as a table."""
    table = Table(title="Cost per member by fleet size")
    table.add_column("figure")
    for result in results:
        table.add_column(str(result.members), justify="right")
    table.add_column(f"{DESIGN_SIZE} (fit)", justify="right")
    for field in FleetResult.__struct_fields__[1:]:
        values = [getattr(result, field) for result in [*results, design]]
        table.add_row(field, *(f"{value:.4g}" for value in values))
    console.print(table)


def print_figures(console: Console, title: str, figures: msgspec.Struct) -> None:
    """Print single figures as a table."""
    table = Table(title=title)
    table.add_column("figure")
    table.add_column("value", justify="right")
    for field in figures.__struct_fields__:
        table.add_row(field, f"{getattr(figures, field):.4g}")
    console.print(table)


def main() -> None:
    """Run the command."""
    cappa.invoke(CapacityCommand)


if __name__ == "__main__":
    main()
