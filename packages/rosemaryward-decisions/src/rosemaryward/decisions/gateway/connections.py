"""Connections to one endpoint, shared by the sessions of a proxy."""

import contextlib
from collections.abc import AsyncIterator, Awaitable, Callable
from typing import Protocol

import anyio
import structlog

from rosemaryward.decisions.admission import AdmissionQueue, AdmissionSettings
from rosemaryward.decisions.clock import boot_time_s
from rosemaryward.decisions.gateway.environment import Endpoint
from rosemaryward.decisions.gateway.outcomes import (
    Answer,
    ConnectError,
    Failure,
    RelayLostError,
    UnansweredError,
)
from rosemaryward.decisions.gateway.statements import (
    AdmissionParameters,
    ControlStatement,
    PreparedStatement,
    Statement,
)
from rosemaryward.decisions.types import LogPosition

__all__ = ["Connection", "Connector", "EndpointPool", "PooledConnection"]

CONNECT_TIMEOUT_S = 0.6  # covers one lost opening packet between regions
AVOID_FIRST_S = 0.5
AVOID_LIMIT_S = 4.0
SILENCE_S = 0.3  # longer than most statements run
RETURN_WAIT_S = 0.15  # for a connection of this proxy when no more are accepted
LIMIT_PAUSE_S = 0.1

log = structlog.get_logger(__name__)


class Connection(Protocol):
    """Open connection to an endpoint; one statement at a time.

    Every method but `aclose` raises `UnansweredError` if no whole answer comes. One
    through a relay also raises `ConnectError` if a statement was certainly not run.
    """

    async def execute(
        self,
        statement: Statement,
        prepared_name: str,
        min_position: LogPosition | None,
        admission: AdmissionParameters | None,
    ) -> Answer:
        """Run a caller's statement.

        Parameters
        ----------
        statement : Statement
        prepared_name : str
            Name at the endpoint of the prepared statement that it executes.
        min_position : LogPosition, optional
            Position that the endpoint must have applied.
        admission : AdmissionParameters, optional
            Orders it at a relay; a direct connection does not need it.
        """

    async def begin(
        self,
        read_only: bool,
        min_position: LogPosition | None,
        admission: AdmissionParameters | None,
    ) -> Answer:
        """Begin a transaction."""

    async def roll_back(self) -> Answer:
        """Roll a transaction back."""

    async def set_value(self, name: str, value: str) -> Answer:
        """Set a session value."""

    async def prepare(self, name: str, prepared: PreparedStatement) -> Answer:
        """Prepare a statement under a name."""

    async def reset(self) -> Answer:
        """Clear session values and prepared statements."""

    async def run_control(self, control: ControlStatement) -> Answer:
        """Run a control statement."""

    async def aclose(self) -> None:
        """Close at once."""


class Connector(Protocol):
    """Opens connections."""

    async def connect(self, endpoint: Endpoint) -> Connection:
        """Connect; raises `ConnectError` if the endpoint cannot be used."""

    def discard(self, connection: Connection) -> None:
        """Close a connection soon; the endpoint rolls back an open transaction."""


class PooledConnection:
    """Connection with the session context that it carries.

    Parameters
    ----------
    connection : Connection
    """

    __slots__ = (
        "broken",
        "connection",
        "idle_since",
        "prepared",
        "values",
    )

    def __init__(self, connection: Connection) -> None:
        self.connection = connection
        self.values: dict[str, str] = {}
        self.prepared: set[str] = set()
        self.broken = False
        self.idle_since = 0.0

    async def execute(
        self,
        statement: Statement,
        prepared_name: str,
        min_position: LogPosition | None = None,
        admission: AdmissionParameters | None = None,
    ) -> Answer:
        """Run a caller's statement; raises `UnansweredError` and `ConnectError`."""
        return await self._receive(
            self.connection.execute(statement, prepared_name, min_position, admission)
        )

    async def begin(
        self,
        read_only: bool,
        min_position: LogPosition | None,
        admission: AdmissionParameters | None = None,
    ) -> Answer:
        """Begin a transaction; raises `UnansweredError` and `ConnectError`."""
        return await self._receive(
            self.connection.begin(read_only, min_position, admission)
        )

    async def roll_back(self) -> Answer:
        """Roll a transaction back; raises `UnansweredError`."""
        return await self._receive(self.connection.roll_back())

    async def run_control(self, control: ControlStatement) -> Answer:
        """Run a control statement; raises `UnansweredError`."""
        return await self._receive(self.connection.run_control(control))

    async def adopt(self, values: dict[str, str]) -> None:
        """Make the connection's values those of a session.

        Raises
        ------
        UnansweredError
            If the endpoint does not confirm them; the connection is unusable.
        """
        if any(name not in values for name in self.values):
            await self._confirm(self.connection.reset())
            self.values = {}
            self.prepared = set()
        for name, value in values.items():
            if self.values.get(name) != value:
                await self._confirm(self.connection.set_value(name, value))
                self.values[name] = value

    async def prepare(self, prepared: PreparedStatement) -> str:
        """Prepare a statement unless it is; return its name at the endpoint.

        Raises
        ------
        UnansweredError
            If the endpoint does not confirm it; the connection is unusable.
        """
        name = f"{'w' if prepared.writes else 'r'}-{prepared.shape}"
        if name not in self.prepared:
            await self._confirm(self.connection.prepare(name, prepared))
            self.prepared.add(name)
        return name

    async def _receive(self, answer: Awaitable[Answer]) -> Answer:
        """Await an answer; without a whole one the connection is unusable."""
        self.broken = True
        received = await answer
        self.broken = False
        return received

    async def _confirm(self, answer: Awaitable[Answer]) -> None:
        received = await self._receive(answer)
        if received.failure is not None:
            self.broken = True
            raise UnansweredError(f"session context refused: {received.reason}")


class EndpointPool:
    """Connections and admission queue of one endpoint.

    Parameters
    ----------
    endpoint : Endpoint
    connector : Connector
    clock : callable, optional
    connection_cap : callable, optional
        Returns how many connections callers' statements may use, None for no cap.

    Attributes
    ----------
    last_answer_at : float
        Boot time of the endpoint's last answer.
    avoid_until : float
        Boot time until which reads should go elsewhere.
    """

    def __init__(
        self,
        endpoint: Endpoint,
        connector: Connector,
        clock: Callable[[], float] = boot_time_s,
        connection_cap: Callable[[str], int | None] | None = None,
    ) -> None:
        self.connection_cap = connection_cap
        self.endpoint = endpoint
        self.connector = connector
        self.clock = clock
        # Several proxies share the slots, so the latency that one of them observes
        # says little about how many statements it may run.
        self.queue = AdmissionQueue(
            endpoint.slots, {}, AdmissionSettings(adaptive=False)
        )
        self.idle: list[PooledConnection] = []
        self.opened = 0
        self.last_answer_at = float("-inf")
        self.avoid_until = float("-inf")
        self.avoid_s = 0.0
        self.limited_until = float("-inf")
        self.failures = 0
        self.returned = anyio.Event()
        self.closed = False

    @property
    def suspect(self) -> bool:
        """Whether the endpoint failed to answer lately."""
        return self.clock() < self.avoid_until

    def note_answer(self, answer: Answer) -> None:
        """Record that the endpoint answered."""
        self.last_answer_at = self.clock()
        if self.failures:
            log.info("endpoint regained", endpoint=self.endpoint.id)
        self.failures = 0
        self.avoid_s = 0.0
        self.avoid_until = float("-inf")

    def note_failure(self, reason: str) -> None:
        """Record that the endpoint did not answer, and avoid it for a while."""
        if not self.failures:
            log.warning("endpoint lost", endpoint=self.endpoint.id, reason=reason)
        self.failures += 1
        self.avoid_s = min(self.avoid_s * 2.0 or AVOID_FIRST_S, AVOID_LIMIT_S)
        self.avoid_until = self.clock() + self.avoid_s
        # Other connections may be silent as well; a new one shows it sooner.
        self.discard_idle()

    def note_unanswered(self, sent_at: float, error: Exception, reason: str) -> None:
        """Record that a statement sent at a time was not answered.

        An endpoint that has answered other statements since then lost one answer, and
        one that had little time for its answer may be slow; neither is avoided.
        """
        if self.last_answer_at >= sent_at or isinstance(error, RelayLostError):
            return
        if isinstance(error, TimeoutError) and self.clock() < sent_at + SILENCE_S:
            return
        self.note_failure(reason)

    async def take(self, wait_s: float, above_cap: bool = False) -> PooledConnection:
        """Return an idle connection or open one.

        Parameters
        ----------
        wait_s : float
            Time to wait for a connection when the endpoint accepts no more.
        above_cap : bool
            Whether the cap for callers' statements does not count.

        Raises
        ------
        ConnectError
        """
        give_up_at = self.clock() + min(wait_s, RETURN_WAIT_S)
        while True:
            if self.idle:
                return self.idle.pop()
            capped = not above_cap and self._is_capped()
            if not capped and self.clock() >= self.limited_until:
                try:
                    return await self._open(wait_s)
                except ConnectError as error:
                    if error.failure is not Failure.CONNECTION_LIMIT:
                        self.note_failure(error.reason)
                        raise
                    self._note_limit(error.reason)
            wake_at = give_up_at if capped else min(give_up_at, self.limited_until)
            left_s = wake_at - self.clock()
            if self.clock() >= give_up_at:
                raise ConnectError(Failure.CONNECTION_LIMIT, "no connection is free")
            with anyio.move_on_after(max(left_s, 0.0)):
                await self.returned.wait()

    def _is_capped(self) -> bool:
        if self.connection_cap is None:
            return False
        cap = self.connection_cap(self.endpoint.group)
        return cap is not None and self.opened >= cap

    async def _open(self, wait_s: float) -> PooledConnection:
        try:
            with anyio.fail_after(min(CONNECT_TIMEOUT_S, max(wait_s, 0.001))):
                connection = await self.connector.connect(self.endpoint)
        except TimeoutError:
            raise ConnectError(Failure.BUSY, "no answer to a new connection") from None
        self.opened += 1
        return PooledConnection(connection)

    def _note_limit(self, reason: str) -> None:
        """Record that the endpoint lives but accepts no more connections."""
        now = self.clock()
        if now >= self.limited_until + LIMIT_PAUSE_S:
            log.info(
                "connection limit",
                endpoint=self.endpoint.id,
                opened=self.opened,
                reason=reason,
            )
        self.last_answer_at = now
        self.limited_until = now + LIMIT_PAUSE_S

    def give_back(self, pooled: PooledConnection) -> None:
        """Keep a connection for later use, or close it if it is unusable."""
        if pooled.broken or self.closed:
            self.opened -= 1
            self.connector.discard(pooled.connection)
            return
        pooled.idle_since = self.clock()
        self.idle.append(pooled)
        self.returned.set()
        self.returned = anyio.Event()

    @contextlib.asynccontextmanager
    async def connection(
        self, wait_s: float, above_cap: bool = False
    ) -> AsyncIterator[PooledConnection]:
        """Hold a connection; raises `ConnectError`."""
        pooled = await self.take(wait_s, above_cap)
        try:
            yield pooled
        except BaseException:
            pooled.broken = True
            raise
        finally:
            self.give_back(pooled)

    async def probe(self, control: ControlStatement, timeout_s: float) -> Answer:
        """Run a control statement of the proxy.

        Raises
        ------
        ConnectError, UnansweredError
        """
        async with self.connection(timeout_s, above_cap=True) as pooled:
            try:
                with anyio.fail_after(timeout_s):
                    answer = await pooled.run_control(control)
            except TimeoutError:
                raise UnansweredError(
                    f"{control.kind.name}: no answer in {timeout_s} s"
                ) from None
        self.note_answer(answer)
        return answer

    def update(self, endpoint: Endpoint) -> None:
        """Take over a changed registration at the same address."""
        self.endpoint = endpoint
        if endpoint.slots != self.queue.slots:
            self.queue.set_slots(endpoint.slots)

    def discard_idle(self, idle_s: float = 0.0) -> None:
        """Close connections that were idle for a time or longer."""
        limit = self.clock() - idle_s
        keep = [pooled for pooled in self.idle if pooled.idle_since > limit]
        drop = [pooled for pooled in self.idle if pooled.idle_since <= limit]
        self.idle = keep
        for pooled in drop:
            self.opened -= 1
            self.connector.discard(pooled.connection)

    def close(self) -> None:
        """Close idle connections now and the others when they come back."""
        self.closed = True
        self.queue.close()
        self.discard_idle()
