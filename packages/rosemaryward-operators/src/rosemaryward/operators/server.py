"""HTTP server of the administration API."""

import contextlib
import ipaddress
import socket
from collections.abc import Iterator
from contextlib import AsyncExitStack
from pathlib import Path
from types import TracebackType

import anyio
import uvicorn
from starlette.applications import Starlette

from rosemaryward.decisions.clients import (
    DEFAULT_LIMITS,
    ClientLimits,
    ClientTable,
    enforce_limits,
)
from rosemaryward.decisions.clock import boot_time_s
from rosemaryward.decisions.errors import SettingsError
from rosemaryward.operators.bounded_http import bounded_protocol
from rosemaryward.operators.tls import ReloadingTlsContext, TlsFiles

__all__ = ["AdminServer"]

MAX_CONCURRENCY = 64  # connections and requests in progress
KEEP_ALIVE_TIMEOUT_S = 5
SHUTDOWN_TIMEOUT_S = 5
MAX_HEADER_BYTES = 16_384


class _Server(uvicorn.Server):
    """uvicorn server without signal handlers, with an event for when it listens."""

    def __init__(self, config: uvicorn.Config) -> None:
        super().__init__(config)
        self.listening = anyio.Event()

    @contextlib.contextmanager
    def capture_signals(self) -> Iterator[None]:
        yield

    async def startup(self, sockets: list[socket.socket] | None = None) -> None:
        await super().startup(sockets)
        self.listening.set()


def is_loopback(host: str) -> bool:
    """Return whether a host name or IP address is a loopback address."""
    try:
        return ipaddress.ip_address(host).is_loopback
    except ValueError:
        return host == "localhost"


class AdminServer:
    """Serves an ASGI application while its context is open.

    Parameters
    ----------
    app : Starlette
    host : str
        IP address to listen on.
    port : int
        Port to listen on; 0 picks a free port.
    certificate, key : Path, optional
        PEM files; required unless `host` is a loopback address.

    limits : ClientLimits, optional
        Limits on the connections of all operators.

    Attributes
    ----------
    port : int
        Port in use, set when the context is entered.
    clients : ClientTable
        Open connections with their limits.
    """

    __slots__ = (
        "_server",
        "_stack",
        "app",
        "certificate",
        "clients",
        "host",
        "key",
        "port",
    )

    def __init__(
        self,
        app: Starlette,
        host: str,
        port: int,
        certificate: Path | None = None,
        key: Path | None = None,
        limits: ClientLimits = DEFAULT_LIMITS.internal,
    ) -> None:
        self.clients = ClientTable(limits, boot_time_s)
        self.app = app
        self.host = host
        self.port = port
        self.certificate = certificate
        self.key = key
        self._stack = AsyncExitStack()

    async def __aenter__(self) -> "AdminServer":
        if self.certificate is None and not is_loopback(self.host):
            raise SettingsError(
                f"administration address {self.host}: expected a certificate and a "
                "key, or a loopback address"
            )
        async with AsyncExitStack() as stack:
            config = await self._configure(stack)
            listener = self._listen()
            stack.callback(listener.close)
            self._server = _Server(config)
            tasks = await stack.enter_async_context(anyio.create_task_group())
            tasks.start_soon(self._serve, [listener], tasks.cancel_scope)
            tasks.start_soon(enforce_limits, self.clients, "operators")
            stack.callback(self._stop)
            await self._server.listening.wait()
            self._stack = stack.pop_all()
        return self

    async def __aexit__(
        self,
        kind: type[BaseException] | None,
        error: BaseException | None,
        trace: TracebackType | None,
    ) -> bool | None:
        return await self._stack.__aexit__(kind, error, trace)

    async def _configure(self, stack: AsyncExitStack) -> uvicorn.Config:
        config = uvicorn.Config(
            self.app,
            http=bounded_protocol(self.clients),
            log_config=None,
            access_log=False,
            lifespan="off",
            ws="none",
            server_header=False,
            proxy_headers=False,
            limit_concurrency=MAX_CONCURRENCY,
            timeout_keep_alive=KEEP_ALIVE_TIMEOUT_S,
            timeout_graceful_shutdown=SHUTDOWN_TIMEOUT_S,
            h11_max_incomplete_event_size=MAX_HEADER_BYTES,
        )
        if self.certificate is not None:
            files = TlsFiles(certificate=self.certificate, key=self.key)
            source = await stack.enter_async_context(ReloadingTlsContext(files))
            config.ssl_context_factory = lambda *_: source.context
        return config

    def _listen(self) -> socket.socket:
        family = socket.AF_INET6 if ":" in self.host else socket.AF_INET
        try:
            listener = socket.create_server((self.host, self.port), family=family)
        except OSError as error:
            raise SettingsError(
                f"administration address {self.host}:{self.port}: {error}"
            ) from error
        self.port = listener.getsockname()[1]
        return listener

    async def _serve(
        self, listeners: list[socket.socket], scope: anyio.CancelScope
    ) -> None:
        """Serve until `_stop`, then end the reports on the limits."""
        await self._server.serve(listeners)
        scope.cancel()

    def _stop(self) -> None:
        self._server.should_exit = True
