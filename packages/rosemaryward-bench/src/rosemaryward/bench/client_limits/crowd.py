"""Connections of a crowd and measurements of the process that it burdens."""

import asyncio
import contextlib
import os
import socket
import struct
from collections.abc import Awaitable, Callable, Sequence
from pathlib import Path

__all__ = ["Crowd", "ProcessMonitor", "reset_connections"]

HOST = "127.0.0.1"
SAMPLE_INTERVAL_S = 0.05
RESET_PEAK = "5"
RESET_ON_CLOSE = struct.pack("ii", 1, 0)  # linger for no time
KIB_PER_MIB = 1024
REFUSALS = (OSError, asyncio.IncompleteReadError)
"""A proxy may refuse or close a connection of a crowd at any time."""


class Crowd:
    """Connections that are opened and used all at once.

    Parameters
    ----------
    port : int
        Port on loopback.
    size : int
        Number of connections.

    Attributes
    ----------
    connections : list of tuple
        Reader and writer of each connection that could be opened.
    """

    def __init__(self, port: int, size: int) -> None:
        self.port = port
        self.size = size
        self.connections: list[tuple[asyncio.StreamReader, asyncio.StreamWriter]] = []

    async def __aenter__(self) -> "Crowd":
        await asyncio.gather(*(self._open() for _ in range(self.size)))
        return self

    async def __aexit__(self, *exc_info: object) -> None:
        for _, writer in self.connections:
            writer.transport.abort()
        await asyncio.sleep(0)

    async def _open(self) -> None:
        with contextlib.suppress(OSError):
            self.connections.append(await asyncio.open_connection(HOST, self.port))

    async def receive_line(self) -> None:
        """Read one line on each connection."""

        async def receive(
            reader: asyncio.StreamReader, _: asyncio.StreamWriter
        ) -> None:
            await reader.readline()

        await self.run_all(receive)

    async def run_all(
        self,
        action: Callable[[asyncio.StreamReader, asyncio.StreamWriter], Awaitable[None]],
        limit_s: float = 3.0,
    ) -> None:
        """Run an action on all connections at once; it ends after a time limit."""

        async def run(
            reader: asyncio.StreamReader, writer: asyncio.StreamWriter
        ) -> None:
            with contextlib.suppress(*REFUSALS):
                await action(reader, writer)

        tasks = [asyncio.ensure_future(run(*pair)) for pair in self.connections]
        if not tasks:
            return
        _, pending = await asyncio.wait(tasks, timeout=limit_s)
        for task in pending:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)

    async def send(
        self, pieces: Sequence[bytes], pause_s: float = 0.0, limit_s: float = 1.0
    ) -> None:
        """Send the same pieces on all connections at once.

        Parameters
        ----------
        pieces : sequence of bytes
            Sent one by one on each connection.
        pause_s : float
            Pause after each piece.
        limit_s : float
            Longest time for the whole, since a proxy may stop reading.
        """

        async def send_all(
            _: asyncio.StreamReader, writer: asyncio.StreamWriter
        ) -> None:
            for piece in pieces:
                writer.write(piece)
                await writer.drain()
                await asyncio.sleep(pause_s)

        await self.run_all(send_all, limit_s)

    async def receive_slowly(self, count: int, pause_s: float) -> None:
        """Read `count` single bytes on each connection with a pause after each."""

        async def receive(
            reader: asyncio.StreamReader, writer: asyncio.StreamWriter
        ) -> None:
            for _ in range(count):
                await reader.read(1)
                await asyncio.sleep(pause_s)

        await self.run_all(receive, 1.0)


async def reset_connections(port: int, count: int, data: bytes = b"") -> None:
    """Open connections one after the other and reset each at once.

    Parameters
    ----------
    port : int
        Port on loopback.
    count : int
        Number of connections.
    data : bytes
        Sent before the reset.
    """
    for _ in range(count):
        with contextlib.suppress(OSError), socket.socket() as client:
            client.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_ON_CLOSE)
            client.connect((HOST, port))
            client.send(data)
        await asyncio.sleep(0)


class ProcessMonitor:
    """Highest memory and number of descriptors of a process while its context is open.

    Parameters
    ----------
    pid : int
        Process to measure.

    Attributes
    ----------
    descriptors : int
        Most descriptors that were open at one of the samples.
    """

    def __init__(self, pid: int) -> None:
        self.pid = pid
        self.descriptors = 0

    async def __aenter__(self) -> "ProcessMonitor":
        self.reset_peak_memory()
        self.task = asyncio.ensure_future(self._sample())
        return self

    async def __aexit__(self, *exc_info: object) -> None:
        self.task.cancel()
        await asyncio.gather(self.task, return_exceptions=True)

    def reset_peak_memory(self) -> None:
        """Forget the memory that the process had before."""
        Path(f"/proc/{self.pid}/clear_refs").write_text(RESET_PEAK, encoding="ascii")

    def peak_memory_mib(self) -> float:
        """Return the highest resident memory since the last reset."""
        status = Path(f"/proc/{self.pid}/status").read_text(encoding="ascii")
        (line,) = (x for x in status.splitlines() if x.startswith("VmHWM"))
        return int(line.split()[1]) / KIB_PER_MIB

    async def _sample(self) -> None:
        while True:
            count = len(os.listdir(f"/proc/{self.pid}/fd"))
            self.descriptors = max(self.descriptors, count)
            await asyncio.sleep(SAMPLE_INTERVAL_S)
