"""Pool of open connections to one instance."""

from collections.abc import AsyncIterator, Awaitable, Callable
from contextlib import asynccontextmanager
from types import TracebackType

import anyio
from anyio.abc import TaskGroup

from rosemaryward.decisions.errors import NotRunError, OutcomeUnknownError
from rosemaryward.endpoints.connection import MysqlConnection

__all__ = ["ConnectionPool"]

Connect = Callable[[], Awaitable[MysqlConnection]]

MAINTENANCE_INTERVAL_S = 0.5


class ConnectionPool:
    """Reuses open connections, because opening one takes about 10 ms.

    Parameters
    ----------
    connect : callable
        Opens a connection; raises `NotRunError`.
    max_open : int
        Maximum number of open connections.
    min_open : int
        Number of open connections that the pool maintains, in use or idle.

    Attributes
    ----------
    open_count : int
        Connections that are open or being opened.
    connection_released : anyio.Event
        Set and replaced when a connection or a place for one becomes free.
    """

    def __init__(self, connect: Connect, max_open: int, min_open: int) -> None:
        self.connect = connect
        self.max_open = max_open
        self.min_open = min(min_open, max_open)
        self.idle: list[MysqlConnection] = []
        self.open_count = 0
        self.closing = False
        self.connection_released = anyio.Event()
        self.task_group: TaskGroup | None = None

    async def __aenter__(self) -> "ConnectionPool":
        self.task_group = anyio.create_task_group()
        await self.task_group.__aenter__()
        self.task_group.start_soon(self._maintain_min_open)
        return self

    async def __aexit__(
        self,
        kind: type[BaseException] | None,
        error: BaseException | None,
        trace: TracebackType | None,
    ) -> None:
        assert self.task_group is not None
        self.closing = True
        self.task_group.cancel_scope.cancel()
        await self.task_group.__aexit__(None, None, None)
        while self.idle:
            await self._discard(self.idle.pop())

    @asynccontextmanager
    async def connection(self, timeout_s: float) -> AsyncIterator[MysqlConnection]:
        """Take a connection for the duration of a context.

        Parameters
        ----------
        timeout_s : float
            Longest wait for a connection.

        Raises
        ------
        NotRunError
            If no connection becomes free in time or a new one cannot be opened.
        """
        connection = await self.take(timeout_s)
        try:
            yield connection
        finally:
            await self.give_back(connection)

    async def take(self, timeout_s: float) -> MysqlConnection:
        """Take a connection out of the pool; `give_back` returns it.

        Raises
        ------
        NotRunError
            If no connection becomes free in time or a new one cannot be opened.
        """
        if self.idle:
            return self.idle.pop()
        try:
            with anyio.fail_after(timeout_s):
                while self.open_count >= self.max_open:
                    await self.connection_released.wait()
                    if self.idle:
                        return self.idle.pop()
                return await self._open()
        except TimeoutError as error:
            raise NotRunError(
                f"no free connection: {self.open_count} of {self.max_open} open"
            ) from error

    async def give_back(
        self, connection: MysqlConnection, used_by_transaction: bool = False
    ) -> None:
        """Return a connection to the pool.

        Parameters
        ----------
        connection : MysqlConnection
        used_by_transaction : bool
            Whether the connection has to be reset before it is reused.
        """
        if used_by_transaction and not connection.broken:
            try:
                await connection.reset()
            except (NotRunError, OutcomeUnknownError):
                await connection.aclose()
        if connection.broken or self.closing:
            await self._discard(connection)
        else:
            self.idle.append(connection)
        self._notify_waiters()

    async def _open(self) -> MysqlConnection:
        self.open_count += 1
        try:
            return await self.connect()
        except BaseException:
            self.open_count -= 1
            self._notify_waiters()
            raise

    async def _discard(self, connection: MysqlConnection) -> None:
        self.open_count -= 1
        await connection.aclose()

    def _notify_waiters(self) -> None:
        self.connection_released.set()
        self.connection_released = anyio.Event()

    async def _maintain_min_open(self) -> None:
        while True:
            while self.open_count < self.min_open:
                try:
                    self.idle.append(await self._open())
                except NotRunError:
                    break
                self._notify_waiters()
            await anyio.sleep(MAINTENANCE_INTERVAL_S)
