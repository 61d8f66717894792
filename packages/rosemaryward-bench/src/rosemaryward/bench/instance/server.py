"""TCP server of one database instance."""

import asyncio
import contextlib
import itertools
import logging
from collections.abc import Coroutine
from typing import Any

import msgspec
from mysql_mimic.control import LocalControl
from mysql_mimic.errors import ErrorCode, MysqlError
from mysql_mimic.packets import make_error
from mysql_mimic.stream import ConnectionClosed, MysqlStream
from mysql_mimic.types import Capabilities, ServerStatus

from rosemaryward.bench.instance.accounts import AnyUser
from rosemaryward.bench.instance.control import GroupControl
from rosemaryward.bench.instance.database import Database
from rosemaryward.bench.instance.group import Group
from rosemaryward.bench.instance.replication import Replication
from rosemaryward.bench.instance.session import InstanceConnection, InstanceSession
from rosemaryward.bench.instance.slots import Slots
from rosemaryward.bench.instance.stream import open_stream
from rosemaryward.decisions.interfaces import InstanceRole

__all__ = ["InstanceSettings", "Instance"]


# CancelledError is included because asyncio logs a connection task that is
# cancelled.
CONNECTION_END_ERRORS = (
    OSError,
    ConnectionClosed,
    MysqlError,
    EOFError,
    asyncio.CancelledError,
)


class InstanceSettings(msgspec.Struct, frozen=True, kw_only=True):
    """Settings of one instance.

    Parameters
    ----------
    host : str
    port : int
        0 lets the operating system choose.
    database : str
        Name of the schema that clients see.
    slots : int
        Number of statements that run concurrently.
    service_time_s : float
        Time in seconds that each statement holds its slot.
    connections : int
        Largest number of open connections.
    connect_cost_s : float
        Time in seconds that opening a connection takes.
    lag_s : float
        Apply lag of a replica in seconds.
    role : InstanceRole
        Role at the start.
    term : int
        Term at the start.
    primary : tuple of str and int, optional
        Host and port from which a replica pulls the log.
    """

    host: str = "127.0.0.1"
    port: int = 0
    database: str = "main"
    slots: int = 5
    service_time_s: float = 0.001
    connections: int = 30
    connect_cost_s: float = 0.010
    lag_s: float = 0.020
    role: InstanceRole = InstanceRole.REPLICA
    term: int = 1
    primary: tuple[str, int] | None = None


class Instance:
    """Database instance that serves connections while the context is entered."""

    def __init__(self, settings: InstanceSettings) -> None:
        self.settings = settings
        self.port = settings.port
        self.open_connections = 0
        self.connection_ids = itertools.count(1)
        self.stack = contextlib.AsyncExitStack()
        self.tasks: set[asyncio.Task[None]] = set()

    async def __aenter__(self) -> "Instance":
        logging.getLogger("mysql_mimic").setLevel(logging.CRITICAL + 1)
        settings = self.settings
        self.database = Database()
        self.group = Group(self.database, settings.term, settings.role, settings.lag_s)
        self.group.primary = settings.primary
        self.control = GroupControl(self.group)
        self.slots = Slots(settings.slots, settings.service_time_s)
        self.start_task(self.group.run_applier())
        self.start_task(Replication(self.group).run())
        self.server = await asyncio.start_server(
            self.accept, settings.host, settings.port, backlog=1024
        )
        self.port = self.server.sockets[0].getsockname()[1]
        return self

    async def __aexit__(self, *exc_info: object) -> None:
        self.server.close()
        for task in list(self.tasks):
            task.cancel()
        await asyncio.gather(*self.tasks, return_exceptions=True)
        self.database.close()

    def start_task(self, coroutine: Coroutine[Any, Any, None]) -> None:
        """Run a coroutine in a task that is cancelled on exit."""
        task = asyncio.create_task(coroutine)
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)

    async def accept(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        """Serve one connection."""
        task = asyncio.current_task()
        if task is not None:
            self.tasks.add(task)
            task.add_done_callback(self.tasks.discard)
        self.open_connections += 1
        try:
            with contextlib.suppress(*CONNECTION_END_ERRORS):
                await self.serve(open_stream(reader, writer))
        finally:
            self.open_connections -= 1
            writer.close()

    async def serve(self, stream: MysqlStream) -> None:
        """Refuse a connection over the limit, otherwise run its statements."""
        if self.open_connections > self.settings.connections:
            await stream.write(
                make_error(
                    Capabilities.CLIENT_PROTOCOL_41,
                    msg="Too many connections",
                    code=ErrorCode.CON_COUNT_ERROR,
                )
            )
            return
        await asyncio.sleep(self.settings.connect_cost_s)
        session = InstanceSession(
            self.group, self.control, self.slots, self.settings.database
        )
        connection = InstanceConnection(stream, session, LocalControl(), AnyUser())
        connection.status_flags = ServerStatus.SERVER_STATUS_AUTOCOMMIT
        connection.connection_id = next(self.connection_ids)
        await connection.start()
