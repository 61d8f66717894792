"""Connections to endpoints, and the session context that is set on a pooled one."""

from collections.abc import Awaitable
from typing import Protocol

from rosemaryward.decisions.gateway.environment import Endpoint
from rosemaryward.decisions.gateway.outcomes import (
    UNRUNNABLE,
    Answer,
    ConnectError,
    ConnectionState,
    Failure,
)
from rosemaryward.decisions.gateway.prepared_names import PreparedNames
from rosemaryward.decisions.gateway.statements import (
    AdmissionParameters,
    ControlStatement,
    NamedStatement,
    PreparedStatement,
    Statement,
)
from rosemaryward.decisions.types import LogPosition

__all__ = ["Connection", "Connector", "PooledConnection"]


MAX_IDLE_VALUES_BYTES = 16 * 1024


class Connection(Protocol):
    """Open connection to an endpoint, which runs one statement at a time.

    Every method except `aclose` raises `UnansweredError` if no complete answer
    arrives, and `ConnectError` if the statement was certainly not run. If the failure
    is one of `UNRUNNABLE`, the connection stays usable.
    """

    async def execute(
        self,
        statement: Statement,
        named: NamedStatement | None,
        min_position: LogPosition | None,
        admission: AdmissionParameters | None,
    ) -> Answer:
        """Run a caller's statement.

        Parameters
        ----------
        statement : Statement
            Statement to run.
        named : NamedStatement, optional
            Prepared statement to execute, None for other kinds of statement.
        min_position : LogPosition, optional
            Position that the endpoint must have applied.
        admission : AdmissionParameters, optional
            Place of the statement in the relay's queue; unused by a direct connection.

        Returns
        -------
        Answer
        """

    async def begin(
        self,
        read_only: bool,
        min_position: LogPosition | None,
        admission: AdmissionParameters | None,
    ) -> Answer:
        """Begin a transaction; parameters as for `execute`."""

    async def roll_back(self) -> Answer:
        """Roll back the open transaction."""

    async def set_value(self, name: str, value: str) -> Answer:
        """Set a session value."""

    async def prepare(self, name: str, prepared: PreparedStatement) -> Answer:
        """Prepare a statement under a name."""

    async def deallocate(self, name: str) -> Answer:
        """Forget the prepared statement of a name."""

    async def reset(self) -> Answer:
        """Clear all session values and prepared statements."""

    async def run_control(self, control: ControlStatement) -> Answer:
        """Run a control statement of the proxy."""

    async def aclose(self) -> None:
        """Close the connection without waiting for the endpoint."""


class Connector(Protocol):
    """Opens and closes connections to endpoints."""

    async def connect(self, endpoint: Endpoint, tenant: str = "") -> Connection:
        """Connect to an endpoint.

        Parameters
        ----------
        endpoint : Endpoint
            Endpoint to connect to.
        tenant : str, optional
            Tenant that the endpoint is told, empty to tell it the name of the proxy.

        Raises
        ------
        ConnectError
            If the endpoint cannot be used.
        """

    def discard(self, connection: Connection) -> None:
        """Schedule the close of a connection, which rolls back its transaction."""


class PooledConnection:
    """Pooled connection with the session context that is set on it.

    Parameters
    ----------
    connection : Connection
        Open connection.
    tenant : str, optional
        Tenant that the endpoint was told; the connection is used for no other.

    Attributes
    ----------
    values : dict of str to str
        Session values that are set at the endpoint.
    prepared : PreparedNames
        Statements that are prepared at the endpoint.
    state : ConnectionState
        State after the last answer.
    must_reset : bool
        Whether the session context at the endpoint is not known.
    broken : bool
        Whether the connection must be closed instead of reused.
    idle_since : float
        Boot time at which it was last returned to the pool, in seconds.
    """

    __slots__ = (
        "broken",
        "connection",
        "idle_since",
        "must_reset",
        "prepared",
        "state",
        "tenant",
        "values",
    )

    def __init__(self, connection: Connection, tenant: str = "") -> None:
        self.connection = connection
        self.tenant = tenant
        self.values: dict[str, str] = {}
        self.prepared = PreparedNames()
        self.state = ConnectionState.IDLE
        self.must_reset = False
        self.broken = False
        self.idle_since = 0.0

    async def execute(
        self,
        statement: Statement,
        named: NamedStatement | None,
        min_position: LogPosition | None = None,
        admission: AdmissionParameters | None = None,
    ) -> Answer:
        """Run a caller's statement; raises `UnansweredError` or `ConnectError`."""
        answer = await self._receive(
            self.connection.execute(statement, named, min_position, admission)
        )
        self.must_reset |= answer.failure is Failure.UNKNOWN_STATEMENT
        return answer

    async def begin(
        self,
        read_only: bool,
        min_position: LogPosition | None,
        admission: AdmissionParameters | None = None,
    ) -> Answer:
        """Begin a transaction; raises `UnansweredError` or `ConnectError`."""
        return await self._receive(
            self.connection.begin(read_only, min_position, admission)
        )

    async def roll_back(self) -> Answer:
        """Roll back the open transaction; raises `UnansweredError`."""
        return await self._receive(self.connection.roll_back())

    async def run_control(self, control: ControlStatement) -> Answer:
        """Run a control statement; raises `UnansweredError`."""
        return await self._receive(self.connection.run_control(control))

    async def set_session_values(self, values: dict[str, str]) -> None:
        """Replace the connection's session values.

        Parameters
        ----------
        values : dict of str to str
            Session values by name. If one that is set is not among them, the
            connection is reset first.

        Raises
        ------
        UnansweredError
            If the endpoint does not answer; the connection is then unusable.
        ConnectError
            If the endpoint refuses a value, so that no statement may run.
        """
        if self.must_reset or any(name not in values for name in self.values):
            await self._confirm(self.connection.reset())
            self.values = {}
            self.prepared.clear()
            self.must_reset = False
        for name, value in values.items():
            if self.values.get(name) != value:
                await self._confirm(self.connection.set_value(name, value))
                self.values[name] = value

    async def prepare(self, prepared: PreparedStatement) -> NamedStatement:
        """Prepare a statement unless it is already prepared.

        Returns
        -------
        NamedStatement
            The statement with its name at the endpoint.

        Raises
        ------
        UnansweredError
            If the endpoint does not answer; the connection is then unusable.
        ConnectError
            If the endpoint refuses the statement.
        """
        name = self.prepared.find(prepared)
        if name is None:
            while (evicted := self.prepared.evict_for(prepared)) is not None:
                await self._confirm(self.connection.deallocate(evicted))
            name = self.prepared.next_name()
            await self._confirm(self.connection.prepare(name, prepared))
            self.prepared.add(name, prepared)
        return NamedStatement(name, prepared)

    def holds_long_values(self) -> bool:
        """Return whether the session values are too long for an idle connection."""
        size = sum(len(name) + len(value) for name, value in self.values.items())
        return size > MAX_IDLE_VALUES_BYTES

    def forget_values(self) -> None:
        """Drop the session values, which are reset at the next use."""
        self.values = {}
        self.must_reset = True

    async def _receive(self, answer: Awaitable[Answer]) -> Answer:
        """Await an answer; mark the connection broken unless it stays usable."""
        self.broken = True
        try:
            received = await answer
        except ConnectError as error:
            self.broken = error.failure not in UNRUNNABLE
            raise
        self.broken = False
        self.state = received.state
        return received

    async def _confirm(self, answer: Awaitable[Answer]) -> None:
        """Await an answer; raises `ConnectError` if it reports a failure."""
        received = await self._receive(answer)
        if received.failure is not None:
            self.must_reset = True
            raise ConnectError(
                received.failure,
                f"endpoint refused the session context: {received.reason}",
            )
