"""Loopback TCP forwarders that can delay, reset, cut or stall connections."""

import random
import socket
import struct
from enum import Enum, auto

import anyio
from anyio.abc import SocketAttribute, SocketStream, TaskGroup

__all__ = ["Link", "LinkState"]

CHUNK_BYTES = 64 * 1024
LINGER_ZERO = struct.pack("ii", 1, 0)
CONNECTION_ERRORS = (
    anyio.EndOfStream,
    anyio.BrokenResourceError,
    anyio.ClosedResourceError,
    OSError,
)


class LinkState(Enum):
    """How a link treats data."""

    GOOD = auto()
    DELAYED = auto()
    CUT = auto()  # both directions; new connections hang as well
    CUT_ANSWERS = auto()  # requests pass, replies do not
    CUT_REQUESTS = auto()  # replies pass, requests do not


class Link:
    """Forwards loopback connections to one port.

    Parameters
    ----------
    name : str
        Name in the records of faults.
    target_port : int
        Port that connections are forwarded to; may change later.

    Attributes
    ----------
    state : LinkState
    delay_s : float
        Mean delay in seconds of each chunk in the state `DELAYED`.
    stalled : set
        Client connections that forward no more data, while new connections do.
    """

    def __init__(self, name: str, target_port: int = 0) -> None:
        self.name = name
        self.target_port = target_port
        self.state = LinkState.GOOD
        self.delay_s = 0.0
        self.port = 0
        self.connections: set[SocketStream] = set()
        self.stalled: set[SocketStream] = set()
        self.state_changed = anyio.Event()

    def set_state(self, state: LinkState, delay_s: float = 0.0) -> None:
        """Change the state and wake up the connections that wait for it."""
        self.state = state
        self.delay_s = delay_s
        self.state_changed.set()
        self.state_changed = anyio.Event()

    async def listen(self, tasks: TaskGroup) -> None:
        """Start to listen; connections are served until `tasks` is cancelled."""
        listener = await anyio.create_tcp_listener(
            local_host="127.0.0.1", local_port=0, backlog=512
        )
        self.port = listener.extra(SocketAttribute.local_port)
        tasks.start_soon(listener.serve, self._serve)

    def stall(self) -> None:
        """Stop forwarding on the open connections without closing them."""
        self.stalled |= self.connections

    def reset(self) -> None:
        """Reset the connections that are open now."""
        for stream in self.connections:
            raw = stream.extra(SocketAttribute.raw_socket)
            raw.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, LINGER_ZERO)
            raw.shutdown(socket.SHUT_RDWR)

    async def _serve(self, client: SocketStream) -> None:
        try:
            async with client:
                while self.state is LinkState.CUT:
                    await self.state_changed.wait()
                async with await anyio.connect_tcp(
                    "127.0.0.1", self.target_port
                ) as server:
                    await self._forward(client, server)
        except* CONNECTION_ERRORS:
            pass  # one side has closed, which closes the other connection too
        finally:
            self.connections.discard(client)
            self.stalled.discard(client)

    async def _forward(self, client: SocketStream, server: SocketStream) -> None:
        self.connections.add(client)
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(self._copy, client, server, client, LinkState.CUT_REQUESTS)
            tasks.start_soon(self._copy, server, client, client, LinkState.CUT_ANSWERS)

    async def _copy(
        self,
        source: SocketStream,
        sink: SocketStream,
        client: SocketStream,
        cut_state: LinkState,
    ) -> None:
        """Copy data in one direction until the connection ends with an exception.

        Data is held back while the state is `CUT` or `cut_state`.
        """
        while True:
            data = await source.receive(CHUNK_BYTES)
            if self.state is LinkState.DELAYED:
                await anyio.sleep(self.delay_s * random.uniform(0.5, 1.5))
            while client in self.stalled or self.state in (LinkState.CUT, cut_state):
                await self.state_changed.wait()
            await sink.send(data)
