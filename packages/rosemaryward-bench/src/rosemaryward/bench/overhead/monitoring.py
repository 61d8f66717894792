"""Cost of the status requests with which owners monitor their instances."""

import time

import anyio
from anyio.abc import ByteStream, SocketAttribute

from rosemaryward.bench.launch.state import RunningDeployment, RunningEndpoint
from rosemaryward.bench.overhead.measures import Measure
from rosemaryward.endpoints.connection import Credentials
from rosemaryward.endpoints.control import MysqlInstanceControl

__all__ = ["measure_monitoring"]

REQUEST_COUNT = 1000
CHUNK_BYTES = 65536


class CountingRelay:
    """Forwards connections to an endpoint and counts the bytes.

    Parameters
    ----------
    endpoint : RunningEndpoint

    Attributes
    ----------
    sent, received : int
        Bytes to and from the endpoint.
    """

    def __init__(self, endpoint: RunningEndpoint) -> None:
        self.endpoint = endpoint
        self.sent = 0
        self.received = 0

    async def serve(self, caller: ByteStream) -> None:
        """Forward one connection until either side closes it."""
        target = await anyio.connect_tcp(self.endpoint.host, self.endpoint.port)
        async with caller, target, anyio.create_task_group() as group:
            group.start_soon(self._forward_requests, caller, target)
            while True:
                try:
                    data = await target.receive(CHUNK_BYTES)
                except anyio.EndOfStream:
                    break
                self.received += len(data)
                await caller.send(data)
            group.cancel_scope.cancel()

    async def _forward_requests(self, caller: ByteStream, target: ByteStream) -> None:
        try:
            while True:
                data = await caller.receive(CHUNK_BYTES)
                self.sent += len(data)
                await target.send(data)
        except (anyio.EndOfStream, anyio.BrokenResourceError):
            await target.aclose()


async def measure_monitoring(running: RunningDeployment) -> list[Measure]:
    """Return bytes and CPU time of one status request on the side of the proxy."""
    endpoint = running.endpoints[0]
    cpu_s = await _cpu_time_s(endpoint)
    sent, received = await _message_bytes(endpoint)
    return [
        Measure("status request, bytes sent", sent, "B", 0.0, True),
        Measure("status request, bytes received", received, "B", 0.0, True),
        Measure("status request, processor time", 1000 * cpu_s, "ms", 0.0, True),
    ]


async def _cpu_time_s(endpoint: RunningEndpoint) -> float:
    control = MysqlInstanceControl(
        endpoint.host, endpoint.port, Credentials("direct", "")
    )
    await control.status()
    before = time.process_time()
    for _ in range(REQUEST_COUNT):
        await control.status()
    used = time.process_time() - before
    await control.aclose()
    return used / REQUEST_COUNT


async def _message_bytes(endpoint: RunningEndpoint) -> tuple[float, float]:
    relay = CountingRelay(endpoint)
    listener = await anyio.create_tcp_listener(local_host="127.0.0.1")
    async with listener, anyio.create_task_group() as group:
        group.start_soon(listener.serve, relay.serve)
        port = listener.extra(SocketAttribute.local_port)
        control = MysqlInstanceControl("127.0.0.1", port, Credentials("direct", ""))
        await control.status()
        sent, received = relay.sent, relay.received
        for _ in range(REQUEST_COUNT):
            await control.status()
        await control.aclose()
        group.cancel_scope.cancel()
    return (relay.sent - sent) / REQUEST_COUNT, (
        relay.received - received
    ) / REQUEST_COUNT
