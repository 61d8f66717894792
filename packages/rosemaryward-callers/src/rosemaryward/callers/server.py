"""MySQL server that accepts caller connections."""

import asyncio
import contextlib
import socket
import ssl
from collections.abc import Callable
from types import TracebackType

import anyio
import structlog
from mysql_mimic.auth import (
    AuthPlugin,
    IdentityProvider,
    NativePasswordAuthPlugin,
    User,
)
from mysql_mimic.control import LocalControl
from mysql_mimic.errors import MysqlError
from mysql_mimic.stream import MysqlStream

from rosemaryward.callers.limits import DEFAULT_CALLER_LIMITS
from rosemaryward.callers.reader import CallerProtocol, CommandReader
from rosemaryward.callers.session import (
    AccountSource,
    CallerConnection,
    MysqlSession,
    StatementRunner,
)
from rosemaryward.decisions.clients import (
    Client,
    ClientLimits,
    ClientState,
    ClientTable,
)
from rosemaryward.decisions.clock import boot_time_s

__all__ = ["CallerServer"]

DRAIN_POLL_INTERVAL_S = 0.02
RECEIVE_BUFFER_BYTES = 32 * 1024
"""Receive buffer of each connection, which the system doubles."""
DRAIN_IDLE_TIMEOUT_S = 2.0
"""Idle time after which a connection is closed during a drain."""

log = structlog.get_logger(__name__)


class DocumentIdentityProvider(IdentityProvider):
    """Authenticates callers against the configuration in force.

    Parameters
    ----------
    accounts : AccountSource
    """

    def __init__(self, accounts: AccountSource) -> None:
        self.accounts = accounts
        self.plugin = NativePasswordAuthPlugin()

    def get_plugins(self) -> list[AuthPlugin]:
        """Return the supported authentication plugins."""
        return [self.plugin]

    async def get_user(self, username: str) -> User | None:
        """Return the user with its password hash, or None if it is unknown."""
        account = self.accounts.account(username)
        if account is None:
            return None
        return User(
            name=username,
            auth_string=account.password_hash,
            auth_plugin=self.plugin.name,
        )


class CallerServer:
    """Accepts caller connections and serves each one in a task of its own.

    Parameters
    ----------
    host : str
        IP address to listen on.
    port : int
        Port to listen on; 0 picks a free port.
    runner : StatementRunner
        Runs the callers' statements.
    accounts : AccountSource
    tls : ssl.SSLContext, optional
        Server context; callers may then use TLS.
    on_connection_count : callable, optional
        Called with the number of open connections after each change.
    limits : ClientLimits, optional
        Limits on the connections of all callers.

    Attributes
    ----------
    clients : ClientTable
        Open connections with their limits.
    """

    def __init__(
        self,
        host: str,
        port: int,
        runner: StatementRunner,
        accounts: AccountSource,
        tls: ssl.SSLContext | None = None,
        on_connection_count: Callable[[int], None] = lambda count: None,
        limits: ClientLimits = DEFAULT_CALLER_LIMITS,
    ) -> None:
        self.clients = ClientTable(limits, boot_time_s)
        self.host = host
        self.port = port
        self.runner = runner
        self.accounts = accounts
        self.tls = tls
        self.on_connection_count = on_connection_count
        self.identity_provider = DocumentIdentityProvider(accounts)
        self.sessions: dict[MysqlSession, CallerConnection] = {}
        self.server: asyncio.Server | None = None

    async def __aenter__(self) -> "CallerServer":
        loop = asyncio.get_running_loop()
        long_messages = asyncio.Lock()

        def create_protocol() -> CallerProtocol:
            reader = CommandReader(loop, long_messages)
            return CallerProtocol(reader, self._serve, loop)

        listener = _listen(self.host, self.port)
        self.server = await loop.create_server(create_protocol, sock=listener)
        self.port = self.server.sockets[0].getsockname()[1]
        return self

    async def __aexit__(
        self,
        kind: type[BaseException] | None,
        error: BaseException | None,
        trace: TracebackType | None,
    ) -> None:
        self.stop_accepting()
        for session in list(self.sessions):
            self._close(session)

    def stop_accepting(self) -> None:
        """Refuse new connections and keep the open ones."""
        if self.server is not None:
            self.server.close()

    async def drain(self, grace_s: float) -> int:
        """Close all connections without interrupting a statement.

        Open transactions may complete. The next statement outside a transaction is
        refused as not run, and its connection is closed after that reply. Closing
        it without a reply would leave the outcome of a statement that the caller
        sends at the same moment unknown. Idle connections are closed after
        `DRAIN_IDLE_TIMEOUT_S`.

        Parameters
        ----------
        grace_s : float
            Longest wait for statements and transactions in progress.

        Returns
        -------
        int
            Number of connections still open at the end of the grace period.
        """
        self.stop_accepting()
        with anyio.move_on_after(grace_s):
            while self.sessions:
                for session, connection in list(self.sessions.items()):
                    session.is_draining = True
                    if _may_close(session, connection.stream.reader):
                        self._close(session)
                await anyio.sleep(DRAIN_POLL_INTERVAL_S)
        return len(self.sessions)

    def _close(self, session: MysqlSession) -> None:
        connection = self.sessions.pop(session, None)
        if connection is not None:
            connection.stream.writer.close()

    async def _serve(self, reader: CommandReader, writer: asyncio.StreamWriter) -> None:
        abort = writer.transport.abort
        client = self.clients.admit(abort, abort)
        if client is None:
            abort()
            return
        reader.client = client
        try:
            await self._serve_client(reader, writer)
        finally:
            try:
                await self._close_writer(client, writer)
            finally:
                self.clients.remove(client)

    async def _close_writer(self, client: Client, writer: asyncio.StreamWriter) -> None:
        """Close a connection, which stays open until the client has taken the answer.

        After `answer_s` it is closed in any case.
        """
        client.enter(ClientState.SENDING)
        try:
            writer.close()
            with (
                contextlib.suppress(OSError),
                anyio.move_on_after(self.clients.limits.answer_s),
            ):
                await writer.wait_closed()
        finally:
            writer.transport.abort()

    async def _serve_client(
        self, reader: CommandReader, writer: asyncio.StreamWriter
    ) -> None:
        session = MysqlSession(self.runner, self.accounts)
        connection = CallerConnection(
            MysqlStream(reader, writer),
            session,
            LocalControl(),
            self.identity_provider,
            ssl=self.tls,
        )
        reader.is_in_transaction = lambda: _is_in_transaction(session)
        self.sessions[session] = connection
        self.on_connection_count(len(self.sessions))
        try:
            with contextlib.suppress(
                ConnectionError,
                MysqlError,
                asyncio.IncompleteReadError,
                asyncio.CancelledError,
            ):
                await connection.start()
        except Exception as error:  # one connection must not be left open
            log.info("caller connection failed", error=repr(error))
        finally:
            self.sessions.pop(session, None)
            self.on_connection_count(len(self.sessions))


def _listen(host: str, port: int) -> socket.socket:
    """Return a listening socket whose connections have small receive buffers."""
    family = socket.AF_INET6 if ":" in host else socket.AF_INET
    listener = socket.create_server((host, port), family=family)
    listener.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BUFFER_BYTES)
    return listener


def _may_close(session: MysqlSession, reader: CommandReader) -> bool:
    """Return whether a drain may close a connection now."""
    idle_s = reader.idle_s()
    if session.is_refused:
        return idle_s > 0.0
    return not _is_in_transaction(session) and idle_s > DRAIN_IDLE_TIMEOUT_S


def _is_in_transaction(session: MysqlSession) -> bool:
    return session.state is not None and session.state.transaction is not None
