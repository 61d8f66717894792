"""Forwarding of TCP connections through the simulated network."""

import asyncio
import contextlib
from collections.abc import Callable, Coroutine
from typing import Any

import msgspec

from rosemaryward.bench.relay.network import Network, Node

__all__ = ["Forwarder", "Route"]

CHUNK_BYTES = 64 * 1024
MAX_QUEUED_CHUNKS = 64
TIMER_RESOLUTION_S = 0.001  # the event loop rounds delays to this step


class Route(msgspec.Struct, frozen=True, kw_only=True):
    """Address to listen on, address to forward to and the node that owns it."""

    listen_host: str
    listen_port: int
    host: str
    port: int
    node: str


class Forwarder:
    """Accepts the connections of one route and forwards them to its node.

    Parameters
    ----------
    route : Route
    target : Node
        Node that the route leads to.
    network : Network
    identify : callable
        Returns the node that opened a connection, given its local and remote
        address as seen by that node.
    """

    def __init__(
        self,
        route: Route,
        target: Node,
        network: Network,
        identify: Callable[[tuple[str, int], tuple[str, int]], Node],
    ) -> None:
        self.route = route
        self.target = target
        self.network = network
        self.identify = identify
        self.tasks: set[asyncio.Task[None]] = set()

    async def __aenter__(self) -> "Forwarder":
        self.server = await asyncio.start_server(
            self.accept, self.route.listen_host, self.route.listen_port, backlog=1024
        )
        self.port = self.server.sockets[0].getsockname()[1]
        return self

    async def __aexit__(self, *exc_info: object) -> None:
        self.server.close()
        for task in list(self.tasks):
            task.cancel()
        await asyncio.gather(*self.tasks, return_exceptions=True)

    async def accept(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        """Forward one connection until either side closes it."""
        task = asyncio.current_task()
        if task is not None:
            self.tasks.add(task)
            task.add_done_callback(self.tasks.discard)
        try:
            with contextlib.suppress(OSError, asyncio.CancelledError):
                await self.forward(reader, writer)
        finally:
            writer.close()

    async def forward(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        """Connect to the target and copy data in both directions."""
        source = self.identify(
            writer.get_extra_info("peername"), writer.get_extra_info("sockname")
        )
        await self.delay(source, self.target, 0)
        target_reader, target_writer = await asyncio.open_connection(
            self.route.host, self.route.port
        )
        await self.delay(self.target, source, 0)
        try:
            await run_until_first_ends(
                self.copy_delayed(reader, target_writer, source, self.target),
                self.copy_delayed(target_reader, writer, self.target, source),
            )
        finally:
            target_writer.close()

    async def copy_delayed(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        source: Node,
        target: Node,
    ) -> None:
        """Copy data in one direction, in order, each chunk at its arrival time."""
        queue: asyncio.Queue[tuple[float, bytes]] = asyncio.Queue(MAX_QUEUED_CHUNKS)
        delivery = asyncio.create_task(self.deliver(queue, writer, source, target))
        try:
            while data := await reader.read(CHUNK_BYTES):
                arrival = self.network.arrival(source, target, len(data))
                await queue.put((arrival, data))
            await queue.put((self.network.arrival(source, target, 0), b""))
            await delivery
        finally:
            delivery.cancel()

    async def deliver(
        self,
        queue: asyncio.Queue[tuple[float, bytes]],
        writer: asyncio.StreamWriter,
        source: Node,
        target: Node,
    ) -> None:
        """Write queued chunks until an empty one marks the end of the stream."""
        while True:
            arrival, data = await queue.get()
            await self.wait_until_arrival(arrival, source, target)
            if not data:
                return
            writer.write(data)
            await writer.drain()

    async def delay(self, source: Node, target: Node, size: int) -> None:
        """Wait for the simulated transfer of `size` bytes between two nodes."""
        await self.wait_until_arrival(
            self.network.arrival(source, target, size), source, target
        )

    async def wait_until_arrival(
        self, arrival: float, source: Node, target: Node
    ) -> None:
        """Wait until an arrival time of the event loop, and while the link is cut."""
        delay_s = arrival - asyncio.get_running_loop().time()
        # Random rounding preserves the mean of latencies below the timer's resolution.
        steps = int(delay_s / TIMER_RESOLUTION_S + self.network.random.random())
        if steps > 0:
            await asyncio.sleep(steps * TIMER_RESOLUTION_S)
        while self.network.is_cut(source, target):
            await self.network.changed.wait()


async def run_until_first_ends(*coroutines: Coroutine[Any, Any, None]) -> None:
    """Run coroutines concurrently until one ends, then cancel the others."""
    tasks = [asyncio.ensure_future(coroutine) for coroutine in coroutines]
    try:
        await asyncio.wait(tasks, return_when=asyncio.FIRST_COMPLETED)
    finally:
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
