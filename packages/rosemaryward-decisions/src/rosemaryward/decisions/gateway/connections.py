"""Connection pool of one endpoint, shared by the sessions of a proxy."""

import contextlib
from collections.abc import AsyncIterator, Callable

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
    ConnectionState,
    Failure,
    RelayRefusedError,
    UnansweredError,
)
from rosemaryward.decisions.gateway.pooled_connection import (
    Connection,
    Connector,
    PooledConnection,
)
from rosemaryward.decisions.gateway.statements import ControlStatement

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
        Open connections that no session uses, the least recently used first.
    paces_recovery : bool
        Whether the work is limited after the endpoint has started or recovered.
    open_count : int
        Number of open connections, idle or in use.
    opening_count : int
        Number of connections of tenants that are being opened.
    evicted_count : int
        Number of idle connections that were closed for another tenant.
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
        self.paces_recovery = True
        self.queue.warmup.ended = self._log_warmup_end
        self.warmup_counts = (
            dict.fromkeys(WARMUP_CAUSES, 0) if warmup_counts is None else warmup_counts
        )
        self.idle_connections: list[PooledConnection] = []
        self.open_count = 0
        self.opening_count = 0
        self.evicted_count = 0
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
        if self.relayed or not self.paces_recovery:
            return  # a relay's own pool limits the work of all proxies
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
        self, wait_s: float, ignore_cap: bool = False, tenant: str = ""
    ) -> PooledConnection:
        """Return an idle connection or open one.

        At the cap, or at the endpoint's limit, an idle connection of another tenant is
        closed first.

        Parameters
        ----------
        wait_s : float
            Limit of the time to open a connection, and to wait for one when the
            endpoint accepts no more.
        ignore_cap : bool
            Whether to ignore the cap on connections for callers' statements.
        tenant : str, optional
            Tenant whose connections may be used, empty for those opened in the name
            of the proxy.

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
        evicted = False
        while True:
            pooled = self._take_idle(tenant)
            if pooled is not None:
                return pooled
            capped = not ignore_cap and self._is_capped(tenant)
            may_open = not capped and self.clock() >= self.connect_paused_until
            if not may_open and (capped or not evicted):
                may_open = evicted = await self._evict()
            if may_open:
                try:
                    return await self._open(wait_s, tenant)
                except ConnectError as error:
                    if error.failure is not Failure.CONNECTION_LIMIT:
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

    def _take_idle(self, tenant: str) -> PooledConnection | None:
        """Remove and return the tenant's most recently used idle connection."""
        for index in range(len(self.idle_connections) - 1, -1, -1):
            if self.idle_connections[index].tenant == tenant:
                return self.idle_connections.pop(index)
        return None

    def _is_capped(self, tenant: str) -> bool:
        """Return whether the cap allows no further connection.

        Tenants open many connections at once, so those being opened count too.
        """
        if self.connection_cap is None:
            return False
        cap = self.connection_cap(self.endpoint.group)
        opening = self.opening_count if tenant else 0
        return cap is not None and self.open_count + opening >= cap

    async def _evict(self) -> bool:
        """Close the least recently used idle connection; return False without one.

        It is closed before another one is opened, which the endpoint would refuse.
        """
        if not self.idle_connections:
            return False
        pooled = self.idle_connections.pop(0)
        self.open_count -= 1
        self.evicted_count += 1
        # The place is taken at once, or else another session would take it meanwhile.
        self.opening_count += 1
        try:
            await pooled.connection.aclose()
        finally:
            self.opening_count -= 1
        return True

    async def _open(self, wait_s: float, tenant: str) -> PooledConnection:
        started_at = self.clock()
        self.opening_count += bool(tenant)
        try:
            with anyio.fail_after(min(CONNECT_TIMEOUT_S, max(wait_s, 0.001))):
                connection = await self.connector.connect(self.endpoint, tenant)
        except TimeoutError as error:
            reason = "opening a connection timed out"
            self._notify_released()
            if not self.relayed:
                self.record_unanswered(started_at, error, reason)
            raise ConnectError(Failure.BUSY, reason) from None
        except ConnectError as error:
            self._notify_released()
            if error.failure is not Failure.CONNECTION_LIMIT:
                self.record_failure(error.reason)
            raise
        finally:
            self.opening_count -= bool(tenant)
        self.open_count += 1
        return PooledConnection(connection, tenant)

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
        if pooled.holds_long_values():
            pooled.forget_values()
            # Opening a relayed connection costs nothing, and an open one keeps values.
            pooled.broken |= self.relayed
        if pooled.broken or self.closed:
            self.open_count -= 1
            self.connector.discard(pooled.connection)
        else:
            pooled.idle_since = self.clock()
            self.idle_connections.append(pooled)
        self._notify_released()

    def _notify_released(self) -> None:
        """Wake those who wait for a connection, or for a place to open one."""
        self.connection_released.set()
        self.connection_released = anyio.Event()

    @contextlib.asynccontextmanager
    async def connection(
        self, wait_s: float, ignore_cap: bool = False, tenant: str = ""
    ) -> AsyncIterator[PooledConnection]:
        """Hold a connection inside a `with` block; raises `ConnectError`.

        The connection is closed if the block raises in a transaction, or before the
        answer to a statement is complete.
        """
        pooled = await self.acquire(wait_s, ignore_cap, tenant)
        try:
            yield pooled
        except BaseException:
            pooled.broken |= pooled.state is not ConnectionState.IDLE
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
