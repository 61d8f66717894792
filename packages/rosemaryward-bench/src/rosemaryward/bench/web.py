"""HTTP servers of the test doubles."""

import asyncio
import socket
from collections.abc import AsyncIterator, Iterator
from contextlib import asynccontextmanager, contextmanager

import uvicorn
from starlette.types import ASGIApp

__all__ = ["serve_http"]


class Server(uvicorn.Server):
    """Uvicorn server that installs no signal handlers and reports its port."""

    def __init__(self, config: uvicorn.Config) -> None:
        super().__init__(config)
        self.ready = asyncio.Event()

    @contextmanager
    def capture_signals(self) -> Iterator[None]:
        """Leave the process's signal handlers unchanged."""
        yield

    async def startup(self, sockets: list[socket.socket] | None = None) -> None:
        """Bind the socket and signal that the port is known."""
        await super().startup(sockets)
        self.ready.set()

    @property
    def port(self) -> int:
        """Port on which the server listens."""
        return self.servers[0].sockets[0].getsockname()[1]


@asynccontextmanager
async def serve_http(app: ASGIApp, host: str, port: int) -> AsyncIterator[int]:
    """Serve an application while the context is entered.

    Yields
    ------
    int
        The port, which the operating system chooses if `port` is 0.
    """
    config = uvicorn.Config(
        app,
        host,
        port,
        log_level="critical",
        access_log=False,
        timeout_graceful_shutdown=1,
    )
    server = Server(config)
    async with asyncio.TaskGroup() as tasks:
        tasks.create_task(server.serve())
        await server.ready.wait()
        try:
            yield server.port
        finally:
            server.should_exit = True
