"""Control statements of an instance's replication group over MySQL connections."""

import anyio

from rosemaryward.decisions.errors import EndpointError, RosemarywardError
from rosemaryward.decisions.interfaces import InstanceRole, InstanceStatus
from rosemaryward.decisions.messages import StatementResult
from rosemaryward.decisions.types import LogPosition
from rosemaryward.endpoints.connection import (
    Credentials,
    MysqlConnection,
    open_connection,
)

__all__ = ["MysqlInstanceControl"]

CONNECT_TIMEOUT_S = 0.5
REPLY_MARGIN_S = 0.5  # network time on top of the wait at the instance


class MysqlInstanceControl:
    """Control connections to one instance; implements `InstanceControl`.

    A broken connection is reopened by the next call. A connection runs one call at
    a time, and a call that waits at the instance would delay the others. Calls with
    a wait therefore use a connection of their own.

    Parameters
    ----------
    host : str
    port : int
    credentials : Credentials
    """

    def __init__(self, host: str, port: int, credentials: Credentials) -> None:
        self.host = host
        self.port = port
        self.credentials = credentials
        self.command_connection = _ControlConnection(self)
        self.wait_connection = _ControlConnection(self)

    async def status(
        self, wait_for: LogPosition | None = None, timeout_s: float = 1.0
    ) -> InstanceStatus:
        """Return the status; see `InstanceControl.status`."""
        if wait_for is None:
            result = await self.command_connection.call("SHOW GROUP STATUS", timeout_s)
        else:
            wait_ms = int(timeout_s * 1000)
            result = await self.wait_connection.call(
                f"SHOW GROUP STATUS WAIT {wait_for.term} {wait_for.index} {wait_ms}",
                timeout_s + REPLY_MARGIN_S,
            )
        return _parse_status(result)

    async def raise_term(self, expected: int, new: int, proposer: str) -> bool:
        """Raise the term; see `InstanceControl.raise_term`."""
        name = proposer.replace("'", "")
        return await self._run_change(
            f"ALTER GROUP RAISE TERM {expected} TO {new} BY '{name}'"
        )

    async def open_writes(self, term: int) -> bool:
        """Open writes; see `InstanceControl.open_writes`."""
        return await self._run_change(f"ALTER GROUP OPEN {term}")

    async def follow(self, term: int, host: str, port: int) -> bool:
        """Follow a primary; see `InstanceControl.follow`."""
        return await self._run_change(f"ALTER GROUP FOLLOW {term} '{host}' {port}")

    async def aclose(self) -> None:
        """Close both connections."""
        await self.command_connection.aclose()
        await self.wait_connection.aclose()

    async def _run_change(self, sql: str) -> bool:
        """Run a control statement and return whether the instance accepted it."""
        result = await self.command_connection.call(sql, timeout_s=1.0)
        return bool(result.rows) and str(result.rows[0][0]) == "1"


class _ControlConnection:
    """Connection that is opened on demand and runs one call at a time.

    Opening it and each call have timeouts of their own, and the monitor's lock
    serializes the users of the connection, so there is no overall timeout.
    """

    def __init__(self, owner: MysqlInstanceControl) -> None:
        self.owner = owner
        self.lock = anyio.Lock(fast_acquire=True)
        self.connection: MysqlConnection | None = None

    async def call(self, sql: str, timeout_s: float) -> StatementResult:
        """Run a control statement; raises `EndpointError`."""
        try:
            async with self.lock:
                connection = await self._connected()
                return await connection.execute(sql, timeout_s)
        except RosemarywardError as error:
            owner = self.owner
            raise EndpointError(f"{owner.host}:{owner.port}: {error}") from error

    async def _connected(self) -> MysqlConnection:
        if self.connection is None or self.connection.broken:
            self.connection = await open_connection(
                self.owner.host,
                self.owner.port,
                "",
                self.owner.credentials,
                CONNECT_TIMEOUT_S,
            )
        return self.connection

    async def aclose(self) -> None:
        """Close the connection if it is open."""
        if self.connection is not None:
            await self.connection.aclose()


def _parse_status(result: StatementResult) -> InstanceStatus:
    names = [column.name for column in result.columns]
    if not result.rows:
        raise EndpointError("group status: expected one row, got none")
    row = dict(zip(names, result.rows[0], strict=True))
    try:
        return InstanceStatus(
            term=int(row["term"] or 0),
            role=InstanceRole(str(row["role"])),
            received=LogPosition(
                int(row["received_term"] or 0), int(row["received_index"] or 0)
            ),
            applied=LogPosition(
                int(row["applied_term"] or 0), int(row["applied_index"] or 0)
            ),
            leaving=str(row.get("leaving", "0")) == "1",
        )
    except (KeyError, ValueError) as error:
        raise EndpointError(f"group status: malformed row: {error}") from error
