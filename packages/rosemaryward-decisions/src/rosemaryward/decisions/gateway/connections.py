"""Connection pool of one endpoint, shared by the sessions of a proxy."""

import contextlib
from collections.abc import AsyncIterator, Awaitable, Callable
from typing import Protocol

import anyio
import structlog

from rosemaryward.decisions.admission import (
    AdmissionQueue,
    AdmissionSettings,
    TenantWeights,
)
from rosemaryward.decisions.clock import boot_time_s
from rosemaryward.decisions.gateway.environment import Endpoint
from rosemaryward.decisions.gateway.outcomes import (
    Answer,
    ConnectError,
    Failure,
    RelayRefusedError,
    UnansweredError,
)
from rosemaryward.decisions.gateway.statements import (
    AdmissionParameters,
    ControlStatement,
    PreparedStatement,
    Statement,
)
from rosemaryward.decisions.types import LogPosition

__all__ = [
    "WARMUP_CAUSES",
    "Connection",
    "Connector",
    "EndpointPool",
    "PooledConnection",
]

CONNECT_TIMEOUT_S = 0.6  # allows for one lost SYN packet between regions
FIRST_AVOIDANCE_S = 0.5
MAX_AVOIDANCE_S = 4.0
UNREACHABLE_AVOIDANCE_S = 0.3  # the relay knows when the endpoint answers again
RELAY_LOAD_MAX_AGE_S = 2.0
UNANSWERED_FAILURE_AFTER_S = 0.3  # most statements finish sooner
RELEASE_WAIT_LIMIT_S = 0.15  # while the endpoint accepts no more connections
CONNECTION_LIMIT_PAUSE_S = 0.1  # between connection attempts at the limit

# The slots are shared with other proxies, so the latency that this proxy observes does
# not indicate how many statements it may run. An endpoint has few slots, and one that
# is kept free for rare urgent statements is missing to all others.
ENDPOINT_ADMISSION = AdmissionSettings(
    adaptive=False, minimum_reserve_slots=0, late_deadline_share=0.2
)

WARMUP_CAUSES = ("started", "recovered")
# Answers by which an endpoint tells that it has too much work.
OVERLOAD_FAILURES = frozenset({Failure.BUSY, Failure.CONNECTION_LIMIT})

log = structlog.get_logger(__name__)


class Connection(Protocol):
    """Open connection to an endpoint, which runs one statement at a time.

    Every method except `aclose` raises `UnansweredError` if no complete answer
    arrives. A connection through a relay also raises `ConnectError` if the statement
    was certainly not run.
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
            Statement to run.
        prepared_name : str
            Name at the endpoint of the prepared statement to execute, empty for other
            kinds of statement.
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

    async def reset(self) -> Answer:
        """Clear all session values and prepared statements."""

    async def run_control(self, control: ControlStatement) -> Answer:
        """Run a control statement of the proxy."""

    async def aclose(self) -> None:
        """Close the connection without waiting for the endpoint."""


class Connector(Protocol):
    """Opens and closes connections to endpoints."""

    async def connect(self, endpoint: Endpoint) -> Connection:
        """Connect to an endpoint; raises `ConnectError` if it cannot be used."""

    def discard(self, connection: Connection) -> None:
        """Schedule the close of a connection, which rolls back its transaction."""


class PooledConnection:
    """Pooled connection with the session context that is set on it.

    Parameters
    ----------
    connection : Connection
        Open connection.

    Attributes
    ----------
    values : dict of str to str
        Session values that are set at the endpoint.
    prepared : set of str
        Names of the statements that are prepared at the endpoint.
    broken : bool
        Whether the connection must be closed instead of reused.
    idle_since : float
        Boot time at which it was last returned to the pool, in seconds.
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
        """Run a caller's statement; raises `UnansweredError` or `ConnectError`."""
        return await self._receive(
            self.connection.execute(statement, prepared_name, min_position, admission)
        )

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
            If the endpoint does not confirm a value; the connection is then unusable.
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
        """Prepare a statement unless it is already prepared.

        Returns
        -------
        str
            Name of the prepared statement at the endpoint.

        Raises
        ------
        UnansweredError
            If the endpoint does not confirm it; the connection is then unusable.
        """
        name = f"{'w' if prepared.writes else 'r'}-{prepared.shape}"
        if name not in self.prepared:
            await self._confirm(self.connection.prepare(name, prepared))
            self.prepared.add(name)
        return name

    async def _receive(self, answer: Awaitable[Answer]) -> Answer:
        """Await an answer; mark the connection broken unless it is complete."""
        self.broken = True
        received = await answer
        self.broken = False
        return received

    async def _confirm(self, answer: Awaitable[Answer]) -> None:
        """Await an answer; raises `UnansweredError` if it reports a failure."""
        received = await self._receive(answer)
        if received.failure is not None:
            self.broken = True
            raise UnansweredError(
                f"endpoint refused the session context: {received.reason}"
            )


class EndpointPool:
    """Connection pool and admission queue of one endpoint.

    Parameters
    ----------
    endpoint : Endpoint
        Endpoint to connect to.
    connector : Connector
        Opens and closes the connections.
    clock : callable, optional
        Returns the boot time in seconds.
    connection_cap : callable, optional
        Returns how many connections callers' statements may use for a given group,
        None for no cap.
    relayed : bool, optional
        Whether the statements run at a relay, which also decides whether the endpoint
        answers.
    weights : callable, optional
        Weights of tenants in the admission queue, see `AdmissionQueue`.
    warmup_counts : dict of str to int, optional
        Counts warm-ups by cause, may be shared with other pools.

    Attributes
    ----------
    idle_connections : list of PooledConnection
        Open connections that no session uses.
    open_count : int
        Number of open connections, idle or in use.
    last_answer_at : float
        Boot time of the endpoint's last answer, in seconds.
    avoid_until : float
        Boot time until which the endpoint counts as suspect, in seconds.
    avoidance_s : float
        Length of the last avoidance, 0 after an answer.
    connect_paused_until : float
        Boot time until which no connection is opened because the endpoint has
        reached its connection limit, in seconds.
    failures : int
        Failures since the last answer.
    relay_load : float
        Load of the endpoint's slots that its relay reported last.
    relay_load_at : float
        Boot time of that report, in seconds.
    """

    def __init__(
        self,
        endpoint: Endpoint,
        connector: Connector,
        clock: Callable[[], float] = boot_time_s,
        connection_cap: Callable[[str], int | None] | None = None,
        relayed: bool = False,
        weights: TenantWeights | None = None,
        warmup_counts: dict[str, int] | None = None,
    ) -> None:
        self.connection_cap = connection_cap
        self.relayed = relayed
        self.endpoint = endpoint
        self.connector = connector
        self.clock = clock
        self.queue = AdmissionQueue(endpoint.slots, {}, ENDPOINT_ADMISSION, weights)
        self.queue.warmup.ended = self._log_warmup_end
        self.warmup_counts = (
            dict.fromkeys(WARMUP_CAUSES, 0) if warmup_counts is None else warmup_counts
        )
        self.idle_connections: list[PooledConnection] = []
        self.open_count = 0
        self.last_answer_at = float("-inf")
        self.avoid_until = float("-inf")
        self.avoidance_s = 0.0
        self.connect_paused_until = float("-inf")
        self.failures = 0
        self.relay_load = 0.0
        self.relay_load_at = float("-inf")
        self.connection_released = anyio.Event()
        self.closed = False

    @property
    def suspect(self) -> bool:
        """Whether the endpoint recently failed to answer and is to be avoided."""
        return self.clock() < self.avoid_until

    @property
    def load(self) -> float:
        """Load of the endpoint's slots, 0 if nothing recent is known.

        A direct pool knows the statements of this proxy only.
        """
        if not self.relayed:
            return self.queue.load
        is_recent = self.clock() - self.relay_load_at < RELAY_LOAD_MAX_AGE_S
        return self.relay_load if is_recent else 0.0

    def record_answer(self, answer: Answer) -> None:
        """Record that the endpoint answered, which ends its avoidance."""
        self._record_load(answer.load)
        self.last_answer_at = self.clock()
        if self.failures:
            log.info("endpoint regained", endpoint=self.endpoint.id)
            self.begin_warmup("recovered")
        elif answer.failure in OVERLOAD_FAILURES:
            self.queue.record_overload()
        self.failures = 0
        self.avoidance_s = 0.0
        self.avoid_until = float("-inf")

    def begin_warmup(self, cause: str) -> None:
        """Limit the work in progress at an endpoint that has started or recovered.

        Parameters
        ----------
        cause : str
            One of `WARMUP_CAUSES`.
        """
        if self.relayed:
            return  # the relay's own pool limits the work of all proxies
        self.queue.begin_warmup()
        self.warmup_counts[cause] += 1
        log.info(
            "endpoint warm-up started",
            endpoint=self.endpoint.id,
            cause=cause,
            limit=self.queue.limit,
            slots=self.queue.slots,
        )

    def _log_warmup_end(self, duration_s: float) -> None:
        log.info(
            "endpoint warm-up ended",
            endpoint=self.endpoint.id,
            took_s=round(duration_s, 3),
            steps_back=self.queue.warmup.steps_back,
        )

    def record_failure(self, reason: str) -> None:
        """Record a failure and avoid the endpoint, twice as long as the last time."""
        if not self.failures:
            log.warning("endpoint lost", endpoint=self.endpoint.id, reason=reason)
        self.failures += 1
        self.avoidance_s = min(
            self.avoidance_s * 2.0 or FIRST_AVOIDANCE_S, MAX_AVOIDANCE_S
        )
        self.avoid_until = self.clock() + self.avoidance_s
        # The idle connections may be silent too; opening a new one detects that
        # sooner.
        self.discard_idle()

    def record_unanswered(self, sent_at: float, error: Exception, reason: str) -> None:
        """Record that a statement was not answered.

        This is no failure of the endpoint if it has answered another statement since,
        or if the statement timed out after too short a time to tell a slow endpoint
        from a silent one. A missing reply of a relay tells nothing about the endpoint.

        Parameters
        ----------
        sent_at : float
            Boot time at which the statement was sent, in seconds.
        error : Exception
            Error that ended the wait for the answer.
        reason : str
            Reason for the log.
        """
        if self.relayed or self.last_answer_at >= sent_at:
            return
        if (
            isinstance(error, TimeoutError)
            and self.clock() < sent_at + UNANSWERED_FAILURE_AFTER_S
        ):
            return
        self.record_failure(reason)

    def record_refusal(self, error: ConnectError) -> None:
        """Record that the endpoint is unreachable or overloaded for its relay."""
        if not isinstance(error, RelayRefusedError):
            return
        if not error.answers:
            self.avoid_until = self.clock() + UNREACHABLE_AVOIDANCE_S
        elif error.load:
            self._record_load(error.load)

    def _record_load(self, load: float) -> None:
        self.relay_load = load
        self.relay_load_at = self.clock()

    async def acquire(
        self, wait_s: float, ignore_cap: bool = False
    ) -> PooledConnection:
        """Return an idle connection or open one.

        Parameters
        ----------
        wait_s : float
            Limit of the time to open a connection, and to wait for one when the
            endpoint accepts no more.
        ignore_cap : bool
            Whether to ignore the cap on connections for callers' statements.

        Returns
        -------
        PooledConnection
            Connection, to be returned with `release`.

        Raises
        ------
        ConnectError
            If no connection is free or the endpoint cannot be used.
        """
        give_up_at = self.clock() + min(wait_s, RELEASE_WAIT_LIMIT_S)
        while True:
            if self.idle_connections:
                return self.idle_connections.pop()
            capped = not ignore_cap and self._is_capped()
            if not capped and self.clock() >= self.connect_paused_until:
                try:
                    return await self._open(wait_s)
                except ConnectError as error:
                    if error.failure is not Failure.CONNECTION_LIMIT:
                        self.record_failure(error.reason)
                        raise
                    self._record_connection_limit(error.reason)
            wake_at = (
                give_up_at if capped else min(give_up_at, self.connect_paused_until)
            )
            remaining_s = wake_at - self.clock()
            if self.clock() >= give_up_at:
                raise ConnectError(
                    Failure.CONNECTION_LIMIT,
                    "no connection became free and no more may be opened",
                )
            with anyio.move_on_after(max(remaining_s, 0.0)):
                await self.connection_released.wait()

    def _is_capped(self) -> bool:
        if self.connection_cap is None:
            return False
        cap = self.connection_cap(self.endpoint.group)
        return cap is not None and self.open_count >= cap

    async def _open(self, wait_s: float) -> PooledConnection:
        try:
            with anyio.fail_after(min(CONNECT_TIMEOUT_S, max(wait_s, 0.001))):
                connection = await self.connector.connect(self.endpoint)
        except TimeoutError:
            raise ConnectError(Failure.BUSY, "opening a connection timed out") from None
        self.open_count += 1
        return PooledConnection(connection)

    def _record_connection_limit(self, reason: str) -> None:
        """Record that the endpoint is alive but accepts no more connections."""
        now = self.clock()
        if now >= self.connect_paused_until + CONNECTION_LIMIT_PAUSE_S:
            log.info(
                "connection limit",
                endpoint=self.endpoint.id,
                opened=self.open_count,
                reason=reason,
            )
        self.last_answer_at = now
        self.queue.record_overload()
        self.connect_paused_until = now + CONNECTION_LIMIT_PAUSE_S

    def release(self, pooled: PooledConnection) -> None:
        """Return a connection to the pool, or close it if it is unusable."""
        if pooled.broken or self.closed:
            self.open_count -= 1
            self.connector.discard(pooled.connection)
            return
        pooled.idle_since = self.clock()
        self.idle_connections.append(pooled)
        self.connection_released.set()
        self.connection_released = anyio.Event()

    @contextlib.asynccontextmanager
    async def connection(
        self, wait_s: float, ignore_cap: bool = False
    ) -> AsyncIterator[PooledConnection]:
        """Hold a connection inside a `with` block; raises `ConnectError`.

        The connection is closed if the block raises.
        """
        pooled = await self.acquire(wait_s, ignore_cap)
        try:
            yield pooled
        except BaseException:
            pooled.broken = True
            raise
        finally:
            self.release(pooled)

    async def probe(self, control: ControlStatement, timeout_s: float) -> Answer:
        """Run a control statement, regardless of the cap on connections.

        Parameters
        ----------
        control : ControlStatement
            Statement to run.
        timeout_s : float
            Limit of the wait for a connection, and of the wait for the answer.

        Raises
        ------
        ConnectError
            If there is no connection.
        UnansweredError
            If no complete answer arrives in time.
        """
        async with self.connection(timeout_s, ignore_cap=True) as pooled:
            try:
                with anyio.fail_after(timeout_s):
                    answer = await pooled.run_control(control)
            except TimeoutError:
                raise UnansweredError(
                    f"{control.kind.name}: no answer within {timeout_s} s"
                ) from None
        self.record_answer(answer)
        return answer

    def update(self, endpoint: Endpoint) -> None:
        """Apply a changed registration of the endpoint at the same address."""
        self.endpoint = endpoint
        if endpoint.slots != self.queue.slots:
            self.queue.set_slots(endpoint.slots)

    def discard_idle(self, idle_s: float = 0.0) -> None:
        """Close connections that have been idle for at least `idle_s` seconds."""
        limit = self.clock() - idle_s
        keep = [pooled for pooled in self.idle_connections if pooled.idle_since > limit]
        drop = [
            pooled for pooled in self.idle_connections if pooled.idle_since <= limit
        ]
        self.idle_connections = keep
        for pooled in drop:
            self.open_count -= 1
            self.connector.discard(pooled.connection)

    def close(self) -> None:
        """Close idle connections now and the others when they are released."""
        self.closed = True
        self.queue.close()
        self.discard_idle()
