"""Execution of statements at endpoints, with retries at other endpoints."""

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
    UNRUNNABLE,
    Answer,
    ConnectError,
    Failure,
    UnansweredError,
)
from rosemaryward.decisions.gateway.session_context import SessionContext
from rosemaryward.decisions.gateway.statements import (
    AdmissionParameters,
    NamedStatement,
    Statement,
    StatementKind,
)
from rosemaryward.decisions.gateway.targets import Target, TargetSelector
from rosemaryward.decisions.leadership.verification import PrimaryVerifier
from rosemaryward.decisions.types import LogPosition, Rank

__all__ = [
    "Attempts",
    "Executor",
    "RetryError",
    "SessionContext",
    "StatementFailedError",
    "StatementRequest",
]

# Shares of the target latency that a statement waits for a usable endpoint, usually
# and during a change of primary.
ENDPOINT_WAIT_SHARE = 0.2
PRIMARY_CHANGE_WAIT_SHARE = 0.8
USUAL_PRIMARY_CHANGE_S = 1.5
RETRY_PAUSE_S = 0.02
READ_ATTEMPT_SHARE = 0.5  # of the remaining time, to leave some for another endpoint

Outcome = TypeVar("Outcome")


class StatementRequest(msgspec.Struct, frozen=True, kw_only=True):
    """Statement with the conditions that determine its target and its deadline.

    Parameters
    ----------
    statement : Statement
        Statement of the caller.
    route : Route
        Route that applies to it.
    writes : bool
        Whether it has to run at the primary because it, or its transaction, writes.
    received_at : float
        Boot time at which it, or the start of its transaction, was received, in
        seconds.
    expires_at : float
        Boot time at which the route's timeout expires, in seconds.
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
        Kind of failure.
    reason : str
        Details of the failure.
    endpoint : str
        Endpoint of the last attempt, empty if there was none.
    """

    def __init__(self, failure: Failure, reason: str, endpoint: str = "") -> None:
        super().__init__(reason)
        self.failure = failure
        self.reason = reason
        self.endpoint = endpoint


class Attempts:
    """State of the attempts to run one statement.

    Parameters
    ----------
    started_at : float
        Boot time of the first attempt, in seconds.

    Attributes
    ----------
    tried : set of str
        Endpoints that were tried since the last pause.
    reached_endpoint : bool
        Whether the statement reached an endpoint.
    waiting_since : float
        Boot time of the start or of the last failure at an endpoint, in seconds.
    """

    __slots__ = ("reached_endpoint", "tried", "waiting_since")

    def __init__(self, started_at: float) -> None:
        self.tried: set[str] = set()
        self.reached_endpoint = False
        self.waiting_since = started_at

    def record_failure(self, endpoint: str, failed_at: float | None) -> None:
        """Record a failed attempt.

        Parameters
        ----------
        endpoint : str
            Endpoint of the attempt.
        failed_at : float, optional
            Boot time at which the statement failed, in seconds; None if it did not
            reach the endpoint.
        """
        self.tried.add(endpoint)
        if failed_at is not None:
            self.reached_endpoint = True
            self.waiting_since = failed_at


class RetryError(Exception):
    """An attempt failed and the statement may be tried at another endpoint.

    Parameters
    ----------
    reason : str
        Why the attempt failed.
    failed_at : float, optional
        Boot time at which the statement failed, in seconds; None if it did not reach
        the endpoint.
    """

    def __init__(self, reason: str, failed_at: float | None = None) -> None:
        super().__init__(reason)
        self.reason = reason
        self.failed_at = failed_at


class Executor:
    """Runs statements at the endpoints that the selector chooses.

    Parameters
    ----------
    selector : TargetSelector
        Chooses the endpoints.
    attempt_failed : callable
        Called with statement, route, endpoint and reason of each failed attempt.
    clock : callable, optional
        Returns the boot time in seconds.
    verifier : PrimaryVerifier, optional
        Asks a primary whether it still leads; without it, an old confirmation allows
        no reads at primaries.
    """

    def __init__(
        self,
        selector: TargetSelector,
        attempt_failed: Callable[[Statement, Route, str, str], None],
        clock: Callable[[], float] = boot_time_s,
        verifier: PrimaryVerifier | None = None,
    ) -> None:
        self.verifier = verifier
        self.selector = selector
        self.attempt_failed = attempt_failed
        self.clock = clock
        self.targets_changed = anyio.Event()
        selector.leadership.change_listeners.append(self.notify_waiting)

    def notify_waiting(self, group: str) -> None:
        """Let statements that wait for an endpoint select again."""
        self.targets_changed.set()
        self.targets_changed = anyio.Event()

    def select(
        self, request: StatementRequest, session: SessionContext, tried: set[str]
    ) -> Target | None:
        """Return a target for the statement.

        Parameters
        ----------
        request : StatementRequest
            Statement to run.
        session : SessionContext
            Session of the statement.
        tried : set of str
            Endpoints to exclude.

        Returns
        -------
        Target or None
            None if no endpoint may run it now.
        """
        route = request.route
        if request.writes:
            target = self.selector.select_primary(route.group)
            if target is not None and target.pool.endpoint.id in tried:
                return None
            return target
        return self.selector.select_read(
            route, request.received_at, session.position, tried
        )

    async def run(
        self, request: StatementRequest, session: SessionContext
    ) -> tuple[Answer, Target]:
        """Run a statement outside of a transaction.

        Parameters
        ----------
        request : StatementRequest
            Statement to run.
        session : SessionContext
            Session of the statement.

        Returns
        -------
        answer : Answer
            Answer of the endpoint.
        target : Target
            Target that ran it.

        Raises
        ------
        StatementFailedError
            If the statement has no result.
        """
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
        """Try endpoints one after the other until an attempt succeeds.

        Parameters
        ----------
        request : StatementRequest
            Statement to run.
        session : SessionContext
            Session of the statement.
        attempt : callable
            Tries a target; raises `RetryError` if another one may be tried.

        Returns
        -------
        outcome
            Return value of the successful attempt.
        target : Target
            Target of that attempt.

        Raises
        ------
        StatementFailedError
            If no endpoint can be used in time, or an attempt failed for good.
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
                attempts.record_failure(endpoint, error.failed_at)
                if self.clock() >= request.expires_at:
                    failure = (
                        Failure.TIMED_OUT if attempts.reached_endpoint else Failure.BUSY
                    )
                    raise StatementFailedError(
                        failure, error.reason, endpoint
                    ) from error

    async def wait_for_target(
        self, request: StatementRequest, session: SessionContext, attempts: Attempts
    ) -> Target:
        """Return a target, after waiting for one for a bounded time if necessary.

        Parameters
        ----------
        request : StatementRequest
            Statement to run.
        session : SessionContext
            Session of the statement.
        attempts : Attempts
            Earlier attempts to run it.

        Returns
        -------
        Target

        Raises
        ------
        StatementFailedError
            If no endpoint became usable in time.
        """
        wait_s = self._endpoint_wait_s(request)
        deadline = min(attempts.waiting_since + wait_s, request.expires_at)
        while True:
            now = self.clock()
            target = self.select(request, session, attempts.tried)
            if target is not None and (now < deadline or not attempts.tried):
                return target
            group = request.route.group
            if target is None and self.selector.is_refused(group):
                raise StatementFailedError(
                    Failure.BUSY, f"not run: the primary of group {group} is leaving"
                )
            if now >= deadline:
                raise StatementFailedError(
                    Failure.BUSY, f"not run: no usable endpoint in group {group}"
                )
            # After the pause, endpoints that were busy may be tried again.
            pause_s = min(RETRY_PAUSE_S if attempts.tried else wait_s, deadline - now)
            with anyio.move_on_after(pause_s):
                await self.targets_changed.wait()
            attempts.tried.clear()

    def _endpoint_wait_s(self, request: StatementRequest) -> float:
        """Return how long a statement waits for an endpoint, in seconds.

        A change of primary that began recently ends soon, so waiting for it serves the
        statement sooner than refusing it and having the caller retry.
        """
        target_s = request.route.target_latency_s
        change_age_s = self.selector.leadership.change_age_s(request.route.group)
        if change_age_s is None or change_age_s > USUAL_PRIMARY_CHANGE_S:
            return target_s * ENDPOINT_WAIT_SHARE
        return target_s * PRIMARY_CHANGE_WAIT_SHARE

    def request_slot(
        self, pool: EndpointPool, request: StatementRequest, session: SessionContext
    ) -> SlotGrant:
        """Return a context manager that holds one of the endpoint's slots."""
        rank = Rank(min(request.route.rank, max(Rank)))
        remaining_s = max(request.expires_at - self.clock(), 0.0)
        share = session.tenant or request.route.database
        return pool.queue.slot(rank, session.caller, share, remaining_s)

    def admission_parameters(
        self,
        request: StatementRequest,
        session: SessionContext,
        target: Target,
        remaining_s: float,
    ) -> AdmissionParameters:
        """Return the parameters that order a statement in the queue of a relay."""
        route = request.route
        epoch = 0 if target.record is None else target.record.epoch
        return AdmissionParameters(
            route.rank,
            session.caller,
            route.database,
            remaining_s,
            epoch,
            session.tenant,
        )

    async def _attempt(
        self, request: StatementRequest, session: SessionContext, target: Target
    ) -> Answer:
        pool = target.pool
        try:
            async with self.request_slot(pool, request, session):
                remaining_s = max(request.expires_at - self.clock(), 0.0)
                async with pool.connection(
                    remaining_s, tenant=session.tenant
                ) as pooled:
                    return await self.execute(request, session, target, pooled)
        except OverloadError as error:
            if pool.queue.warmup.active and not request.writes:
                raise RetryError(f"not run: {error}") from error
            raise StatementFailedError(
                Failure.BUSY, f"not run: {error}", pool.endpoint.id
            ) from error
        except ConnectError as error:
            raise self.translate_refusal(error, pool) from error

    def translate_refusal(self, error: ConnectError, pool: EndpointPool) -> Exception:
        """Record that a statement was not sent, and return the error to raise.

        Parameters
        ----------
        error : ConnectError
            Why it was not sent.
        pool : EndpointPool
            Pool of the endpoint.

        Returns
        -------
        RetryError or StatementFailedError
        """
        if error.failure in UNRUNNABLE:
            return StatementFailedError(
                Failure.BUSY, f"not run: {error.reason}", pool.endpoint.id
            )
        pool.record_refusal(error)
        return RetryError(error.reason)

    async def execute(
        self,
        request: StatementRequest,
        session: SessionContext,
        target: Target,
        pooled: PooledConnection,
    ) -> Answer:
        """Run a statement on a connection.

        Parameters
        ----------
        request : StatementRequest
            Statement to run.
        session : SessionContext
            Session of the statement.
        target : Target
            Target that the connection belongs to.
        pooled : PooledConnection
            Connection to use.

        Returns
        -------
        Answer

        Raises
        ------
        ConnectError
            If the statement was not sent.
        RetryError
            If the attempt failed and the statement certainly did not run, or only
            reads.
        StatementFailedError
            If a write failed or its outcome is unknown.
        """
        pool = target.pool
        writes = request.writes
        now = self.clock()
        remaining_s = request.expires_at - now
        attempt_s = remaining_s if writes else remaining_s * READ_ATTEMPT_SHARE
        sent = False
        sent_at = now
        position_before = LogPosition()
        try:
            with anyio.fail_after(max(attempt_s, 0.0)):
                named = await self.prepare(request.statement, session, pooled)
                await self.check_target(request.route.group, target, not writes)
                sent = True
                sent_at = self.clock()
                position_before = self.newest_position(request.route.group)
                admission = self.admission_parameters(
                    request, session, target, attempt_s
                )
                with (
                    self.track_write(request.route.group, writes),
                    session.sending(),
                ):
                    answer = await pooled.execute(
                        request.statement, named, target.min_position, admission
                    )
        except (UnansweredError, TimeoutError) as error:
            reason = str(error) or f"no answer within {attempt_s:.3f} s"
            pool.record_unanswered(sent_at, error, reason)
            if sent and writes:
                raise StatementFailedError(
                    Failure.IN_DOUBT, reason, pool.endpoint.id
                ) from error
            if not sent:
                raise RetryError(reason) from error
            raise RetryError(reason, self.clock()) from error
        self.selector.record_answer(target, sent_at, answer)
        return self._check_answer(request, target, answer, sent_at, position_before)

    def newest_position(self, group: str) -> LogPosition:
        """Return the newest position that the primary's log is known to have."""
        return self.selector.group_samples(group).newest

    async def prepare(
        self, statement: Statement, session: SessionContext, pooled: PooledConnection
    ) -> NamedStatement | None:
        """Set the session's context on the connection.

        Parameters
        ----------
        statement : Statement
            Statement to run next.
        session : SessionContext
            Session of the statement.
        pooled : PooledConnection
            Connection to use.

        Returns
        -------
        NamedStatement or None
            Prepared statement to execute, None for other kinds of statement.

        Raises
        ------
        UnansweredError
            If the endpoint does not answer.
        ConnectError
            If the endpoint refuses the context.
        """
        await pooled.set_session_values(session.values)
        if statement.kind is not StatementKind.EXECUTE:
            return None
        return await pooled.prepare(session.prepared[statement.name])

    def track_write(
        self, group: str, writes: bool
    ) -> contextlib.AbstractContextManager[None]:
        """Return a context manager that counts a write as running at the primary."""
        if not writes:
            return contextlib.nullcontext()
        return self.selector.leadership.track_write(group)

    async def check_target(self, group: str, target: Target, only_reads: bool) -> None:
        """Check that a new statement may be sent to the target that it waited for.

        Parameters
        ----------
        group : str
            Group of the statement.
        target : Target
            Endpoint to which it is about to be sent.
        only_reads : bool
            Whether the statement, or its transaction, only reads. A primary that was
            replaced refuses writes by itself.

        Raises
        ------
        RetryError
            If the target is no longer the primary, or has been leaving for long.
        """
        endpoint = target.pool.endpoint.id
        if not self.selector.directory.accepts_statements(endpoint):
            raise RetryError(f"not run: endpoint {endpoint} is leaving")
        if target.record is None:
            return
        if only_reads and not target.pool.relayed:
            epoch = target.record.epoch
            if not await self._may_read(group, endpoint, epoch):
                raise RetryError("the primary was not verified before the read")
        if self.selector.leadership.primary(group) != target.record:
            raise RetryError(
                "the primary was replaced or fenced before the statement ran"
            )

    async def _may_read(self, group: str, endpoint: str, epoch: int) -> bool:
        """Return whether no commit can be missing from a primary's log."""
        if self.verifier is None:
            return self.selector.leadership.may_read(group, endpoint, epoch)
        return await self.verifier.may_read(group, endpoint, epoch)

    def _check_answer(
        self,
        request: StatementRequest,
        target: Target,
        answer: Answer,
        sent_at: float,
        position_before: LogPosition,
    ) -> Answer:
        """Return a successful answer; raise the error for a failed one."""
        failure = answer.failure
        endpoint = target.pool.endpoint.id
        if failure is None:
            if request.writes:
                self.record_verification(target, sent_at)
                self.record_acknowledgement(
                    request.route.group, target, answer.position, position_before
                )
            return answer
        if failure is Failure.BEHIND:
            raise RetryError(
                f"BEHIND: expected position {target.min_position} or later, "
                f"replica is at {answer.position}"
            )
        if failure in NOT_RUN:
            raise RetryError(f"{failure.name}: {answer.reason}")
        if not request.writes and failure not in UNRUNNABLE:
            raise RetryError(f"{failure.name}: {answer.reason}", self.clock())
        raise StatementFailedError(failure, answer.reason, endpoint)

    def record_verification(self, target: Target, sent_at: float) -> None:
        """Record that an endpoint has accepted what a replica refuses.

        Parameters
        ----------
        target : Target
            Target that answered. A relay verifies the primary on its own account.
        sent_at : float
            Boot time at which the statement was sent, in seconds.
        """
        if target.record is not None and not target.pool.relayed:
            endpoint = target.pool.endpoint.id
            self.selector.leadership.record_verification(endpoint, sent_at)

    def record_acknowledgement(
        self,
        group: str,
        target: Target,
        position: LogPosition | None,
        position_before: LogPosition,
    ) -> None:
        """Record the position of an acknowledged write.

        Parameters
        ----------
        group : str
            Replication group of the write.
        target : Target
            Target that answered.
        position : LogPosition or None
            Position in the answer.
        position_before : LogPosition
            Position that the primary's log had before the write was sent.

        Raises
        ------
        StatementFailedError
            If the primary was replaced before the answer arrived.
        """
        if target.record is None:
            return
        epoch = target.record.epoch
        if not self.selector.leadership.acknowledge(
            group, epoch, position, position_before
        ):
            raise StatementFailedError(
                Failure.IN_DOUBT,
                f"the primary of epoch {epoch} was replaced before its answer arrived",
                target.pool.endpoint.id,
            )
