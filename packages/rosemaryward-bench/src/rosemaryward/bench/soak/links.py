"""Loopback links whose connections can be delayed, reset, cut or silenced."""

import random
import socket
import struct
from enum import Enum, auto

import anyio
from anyio.abc import SocketAttribute, SocketStream, TaskGroup

__all__ = ["Link", "LinkState"]

CHUNK_SIZE = 64 * 1024  # bytes
RESET_ON_CLOSE = struct.pack("ii", 1, 0)
ENDED = (
    anyio.EndOfStream,
    anyio.BrokenResourceError,
    anyio.ClosedResourceError,
    OSError,
)


class LinkState(Enum):
    """What a link does with data."""

    GOOD = auto()
    DELAYED = auto()
    CUT = auto()  # both ways; new connections hang as well
    CUT_ANSWERS = auto()  # requests arrive, answers do not
    CUT_REQUESTS = auto()


class Link:
    """Forwards connections to one port.

    Parameters
    ----------
    name : str
    target_port : int
        May change when the process behind it starts again.

    Attributes
    ----------
    state : LinkState
    delay_s : float
        Added to each piece of data in the state `DELAYED`.
    silenced : set
        Connections that stay silent for good although new ones work.
    """

    def __init__(self, name: str, target_port: int = 0) -> None:
        self.name = name
        self.target_port = target_port
        self.state = LinkState.GOOD
        self.delay_s = 0.0
        self.port = 0
        self.connections: set[SocketStream] = set()
        self.silenced: set[SocketStream] = set()
        self.changed = anyio.Event()

    def change(self, state: LinkState, delay_s: float = 0.0) -> None:
        """Enter a state."""
        self.state = state
        self.delay_s = delay_s
        self.changed.set()
        self.changed = anyio.Event()

    async def run(self, tasks: TaskGroup) -> None:
        """Listen until cancelled."""
        listener = await anyio.create_tcp_listener(
            local_host="127.0.0.1", local_port=0, backlog=512
        )
        self.port = listener.extra(SocketAttribute.local_port)
        tasks.start_soon(listener.serve, self._serve)

    def silence(self) -> None:
        """Silence the connections that are open now."""
        self.silenced |= self.connections

    def reset(self) -> None:
        """Reset the connections that are open now."""
        for stream in self.connections:
            raw = stream.extra(SocketAttribute.raw_socket)
            raw.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_ON_CLOSE)
            raw.shutdown(socket.SHUT_RDWR)

    async def _serve(self, near: SocketStream) -> None:
        try:
            async with near:
                while self.state is LinkState.CUT:
                    await self.changed.wait()
                async with await anyio.connect_tcp(
                    "127.0.0.1", self.target_port
                ) as far:
                    await self._forward(near, far)
        except* ENDED:
            pass  # either side has closed; both connections are closed by now
        finally:
            self.connections.discard(near)
            self.silenced.discard(near)

    async def _forward(self, near: SocketStream, far: SocketStream) -> None:
        self.connections.add(near)
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(self._move, near, far, near, LinkState.CUT_REQUESTS)
            tasks.start_soon(self._move, far, near, near, LinkState.CUT_ANSWERS)

    async def _move(
        self,
        source: SocketStream,
        sink: SocketStream,
        near: SocketStream,
        cut_state: LinkState,
    ) -> None:
        """Move data one way; raises what ended the connection."""
        while True:
            data = await source.receive(CHUNK_SIZE)
            if self.state is LinkState.DELAYED:
                await anyio.sleep(self.delay_s * random.uniform(0.5, 1.5))
            while near in self.silenced or self.state in (LinkState.CUT, cut_state):
                await self.changed.wait()
            await sink.send(data)
