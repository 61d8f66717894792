"""One statement outside of a transaction, from its target to its reply."""

import contextlib
from collections.abc import Awaitable, Callable
from typing import TypeVar

import anyio
import msgspec

from rosemaryward.decisions.admission import SlotGrant
from rosemaryward.decisions.clock import boot_time_s
from rosemaryward.decisions.errors import OverloadError
from rosemaryward.decisions.gateway.connections import EndpointPool, PooledConnection
from rosemaryward.decisions.gateway.environment import Route
from rosemaryward.decisions.gateway.outcomes import (
    NOT_RUN,
    Answer,
    ConnectError,
    Failure,
    UnansweredError,
)
from rosemaryward.decisions.gateway.statements import (
    AdmissionParameters,
    PreparedStatement,
    Statement,
    StatementKind,
)
from rosemaryward.decisions.gateway.targets import Target, TargetSelector
from rosemaryward.decisions.types import LogPosition, Rank

__all__ = [
    "Attempts",
    "Executor",
    "RetryError",
    "SessionContext",
    "StatementFailedError",
    "StatementRequest",
]

HOLD_SHARE = 0.2  # of the target latency, for a statement without a usable endpoint
CHANGE_HOLD_SHARE = 0.8  # of the target latency, while a primary is being changed
CHANGE_USUAL_S = 1.5
RETRY_PAUSE_S = 0.02
READ_ATTEMPT_SHARE = 0.5  # of the time left, so that a second endpoint can answer

Outcome = TypeVar("Outcome")


class SessionContext:
    """Values, prepared statements and newest commit of one session.

    Attributes
    ----------
    target : Target, optional
        Where the present statement runs, and what allowed it.
    """

    __slots__ = ("caller", "position", "prepared", "target", "values")

    def __init__(self, caller: str) -> None:
        self.caller = caller
        self.values: dict[str, str] = {}
        self.prepared: dict[str, PreparedStatement] = {}
        self.position = LogPosition()
        self.target: Target | None = None


class StatementRequest(msgspec.Struct, frozen=True, kw_only=True):
    """A statement with what decides where and until when it may run.

    Parameters
    ----------
    statement : Statement
    route : Route
    writes : bool
    received_at : float
        Boot time of the statement or of its transaction's start, in seconds.
    expires_at : float
        Boot time at which the route's timeout ends it.
    """

    statement: Statement
    route: Route
    writes: bool
    received_at: float
    expires_at: float


class StatementFailedError(Exception):
    """A statement ended without a result.

    Parameters
    ----------
    failure : Failure
    reason : str
    endpoint : str
        Endpoint that was asked last.
    """

    def __init__(self, failure: Failure, reason: str, endpoint: str = "") -> None:
        super().__init__(reason)
        self.failure = failure
        self.reason = reason
        self.endpoint = endpoint


class Attempts:
    """Attempts to run one statement.

    Parameters
    ----------
    started_at : float
        Boot time in seconds.

    Attributes
    ----------
    tried : set of str
        Endpoints that could not run it a moment ago.
    offered : bool
        Whether an endpoint was asked to run it.
    waiting_since : float
        Since when no endpoint has been asked.
    """

    __slots__ = ("offered", "tried", "waiting_since")

    def __init__(self, started_at: float) -> None:
        self.tried: set[str] = set()
        self.offered = False
        self.waiting_since = started_at

    def note(self, endpoint: str, offered_at: float | None) -> None:
        """Record a failed attempt.

        Parameters
        ----------
        endpoint : str
        offered_at : float, optional
            When the endpoint failed the statement; None if it never got it.
        """
        self.tried.add(endpoint)
        if offered_at is not None:
            self.offered = True
            self.waiting_since = offered_at


class RetryError(Exception):
    """An endpoint did not serve a statement, and another one may.

    Parameters
    ----------
    reason : str
    offered_at : float, optional
        When the endpoint failed the statement; None if it never got it.
    """

    def __init__(self, reason: str, offered_at: float | None = None) -> None:
        super().__init__(reason)
        self.reason = reason
        self.offered_at = offered_at


class Executor:
    """Runs statements at the endpoints that the selector chooses.

    Parameters
    ----------
    selector : TargetSelector
    clock : callable, optional
    attempt_failed : callable
        Called with statement, route, endpoint and reason of each failed attempt.
    """

    def __init__(
        self,
        selector: TargetSelector,
        attempt_failed: Callable[[Statement, Route, str, str], None],
        clock: Callable[[], float] = boot_time_s,
    ) -> None:
        self.selector = selector
        self.attempt_failed = attempt_failed
        self.clock = clock
        self.changed = anyio.Event()
        selector.leadership.change_listeners.append(self.wake)

    def wake(self, group: str) -> None:
        """Let statements that wait for an endpoint look again."""
        self.changed.set()
        self.changed = anyio.Event()

    def select(
        self, request: StatementRequest, session: SessionContext, tried: set[str]
    ) -> Target | None:
        """Return where the statement may run now."""
        route = request.route
        if request.writes:
            target = self.selector.primary(route.group)
            if target is not None and target.pool.endpoint.id in tried:
                return None
            return target
        return self.selector.read(route, request.received_at, session.position, tried)

    async def run(
        self, request: StatementRequest, session: SessionContext
    ) -> tuple[Answer, Target]:
        """Run a single statement; raises `StatementFailedError`."""
        return await self.retry(
            request,
            session,
            lambda target: self._attempt(request, session, target),
        )

    async def retry(
        self,
        request: StatementRequest,
        session: SessionContext,
        attempt: Callable[[Target], Awaitable[Outcome]],
    ) -> tuple[Outcome, Target]:
        """Try one endpoint after the other.

        Parameters
        ----------
        request : StatementRequest
        session : SessionContext
        attempt : callable
            Tries a target; raises `RetryError` if another one may be tried.

        Returns
        -------
        outcome
            What the attempt returned.
        target : Target

        Raises
        ------
        StatementFailedError
        """
        attempts = Attempts(self.clock())
        while True:
            target = await self.wait_for_target(request, session, attempts)
            endpoint = target.pool.endpoint.id
            session.target = target
            try:
                return await attempt(target), target
            except RetryError as error:
                self.attempt_failed(
                    request.statement, request.route, endpoint, error.reason
                )
                attempts.note(endpoint, error.offered_at)
                if self.clock() >= request.expires_at:
                    failure = Failure.TIMED_OUT if attempts.offered else Failure.BUSY
                    raise StatementFailedError(
                        failure, error.reason, endpoint
                    ) from error

    async def wait_for_target(
        self, request: StatementRequest, session: SessionContext, attempts: Attempts
    ) -> Target:
        """Return a target, waiting for a bounded time until there is one.

        Raises
        ------
        StatementFailedError
            If no endpoint may run the statement.
        """
        hold_s = self._hold_s(request)
        give_up_at = min(attempts.waiting_since + hold_s, request.expires_at)
        while True:
            now = self.clock()
            target = self.select(request, session, attempts.tried)
            if target is not None and (now < give_up_at or not attempts.tried):
                return target
            if now >= give_up_at:
                group = request.route.group
                raise StatementFailedError(
                    Failure.BUSY, f"not run: no usable endpoint of {group}"
                )
            # An endpoint that was busy a moment ago may be asked again.
            pause_s = min(RETRY_PAUSE_S if attempts.tried else hold_s, give_up_at - now)
            with anyio.move_on_after(pause_s):
                await self.changed.wait()
            attempts.tried.clear()

    def _hold_s(self, request: StatementRequest) -> float:
        """Return for how long a statement waits for an endpoint.

        A change of primary that began a moment ago is about to end, so waiting for it
        serves the statement sooner than a refusal and another try of the caller.
        """
        target_s = request.route.target_latency_s
        began_s = self.selector.leadership.change_age_s(request.route.group)
        if began_s is None or began_s > CHANGE_USUAL_S:
            return target_s * HOLD_SHARE
        return target_s * CHANGE_HOLD_SHARE

    def slot(
        self, pool: EndpointPool, request: StatementRequest, session: SessionContext
    ) -> SlotGrant:
        """Return a grant of one of the endpoint's slots."""
        rank = Rank(min(request.route.rank, max(Rank)))
        left_s = max(request.expires_at - self.clock(), 0.0)
        return pool.queue.slot(rank, session.caller, request.route.database, left_s)

    def admission_parameters(
        self,
        request: StatementRequest,
        session: SessionContext,
        target: Target,
        left_s: float,
    ) -> AdmissionParameters:
        """Return what orders a statement at a relay for the time that it has left."""
        route = request.route
        epoch = 0 if target.record is None else target.record.epoch
        return AdmissionParameters(
            route.rank, session.caller, route.database, left_s, epoch
        )

    async def _attempt(
        self, request: StatementRequest, session: SessionContext, target: Target
    ) -> Answer:
        pool = target.pool
        try:
            async with self.slot(pool, request, session):
                left_s = max(request.expires_at - self.clock(), 0.0)
                async with pool.connection(left_s) as pooled:
                    return await self.execute(request, session, target, pooled)
        except OverloadError as error:
            raise StatementFailedError(
                Failure.BUSY, f"not run: {error}", pool.endpoint.id
            ) from error
        except ConnectError as error:
            raise RetryError(error.reason) from error

    async def execute(
        self,
        request: StatementRequest,
        session: SessionContext,
        target: Target,
        pooled: PooledConnection,
    ) -> Answer:
        """Run a statement on a connection.

        Raises
        ------
        RetryError
            If it certainly did not run, or if it only reads.
        StatementFailedError
        """
        pool = target.pool
        writes = request.writes
        now = self.clock()
        left_s = request.expires_at - now
        attempt_s = left_s if writes else left_s * READ_ATTEMPT_SHARE
        sent = False
        sent_at = now
        try:
            with anyio.fail_after(max(attempt_s, 0.0)):
                name = await self.prepare(request.statement, session, pooled)
                self.check_still_primary(request.route.group, target)
                sent = True
                sent_at = self.clock()
                admission = self.admission_parameters(
                    request, session, target, attempt_s
                )
                with self.writing(request.route.group, writes):
                    answer = await pooled.execute(
                        request.statement, name, target.min_position, admission
                    )
        except (UnansweredError, TimeoutError) as error:
            reason = str(error) or f"no answer in {attempt_s:.3f} s"
            pool.note_unanswered(sent_at, error, reason)
            if sent and writes:
                raise StatementFailedError(
                    Failure.IN_DOUBT, reason, pool.endpoint.id
                ) from error
            if not sent:
                raise RetryError(reason) from error
            raise RetryError(reason, self.clock()) from error
        self.selector.record_answer(target, sent_at, answer)
        return self._check(request, target, answer)

    async def prepare(
        self, statement: Statement, session: SessionContext, pooled: PooledConnection
    ) -> str:
        """Give the connection the session's context.

        Returns
        -------
        str
            Name at the endpoint of the prepared statement, empty for others.

        Raises
        ------
        UnansweredError
        """
        await pooled.adopt(session.values)
        if statement.kind is not StatementKind.EXECUTE:
            return ""
        return await pooled.prepare(session.prepared[statement.name])

    def writing(
        self, group: str, writes: bool
    ) -> contextlib.AbstractContextManager[None]:
        """Count a statement as a running write if it is one."""
        if not writes:
            return contextlib.nullcontext()
        return self.selector.leadership.track_write(group)

    def check_still_primary(self, group: str, target: Target) -> None:
        """Refuse to use a primary that was replaced while a statement waited.

        Raises
        ------
        RetryError
        """
        if target.record is None:
            return
        if self.selector.leadership.primary(group) != target.record:
            raise RetryError("the primary is being changed")

    def _check(
        self, request: StatementRequest, target: Target, answer: Answer
    ) -> Answer:
        failure = answer.failure
        endpoint = target.pool.endpoint.id
        if failure is None:
            if request.writes:
                self.acknowledge(request.route.group, target, answer.position)
            return answer
        if failure is Failure.BEHIND:
            raise RetryError(
                f"BEHIND at {answer.position}, needs {target.min_position}"
            )
        if failure in NOT_RUN:
            raise RetryError(f"{failure.name} {answer.reason}")
        if not request.writes:
            raise RetryError(f"{failure.name} {answer.reason}", self.clock())
        raise StatementFailedError(failure, answer.reason, endpoint)

    def acknowledge(
        self, group: str, target: Target, position: LogPosition | None
    ) -> None:
        """Note an acknowledged write.

        Raises
        ------
        StatementFailedError
            If the primary was replaced before the answer came.
        """
        if target.record is None:
            return
        epoch = target.record.epoch
        if not self.selector.leadership.acknowledge(group, epoch, position):
            raise StatementFailedError(
                Failure.IN_DOUBT,
                f"primary of epoch {epoch} was replaced before the answer",
                target.pool.endpoint.id,
            )
