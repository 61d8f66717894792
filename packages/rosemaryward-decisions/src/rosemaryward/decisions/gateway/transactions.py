"""Open transaction of a caller, pinned to one connection."""

import contextlib
from contextlib import AbstractAsyncContextManager
from types import TracebackType

import anyio
import structlog

from rosemaryward.decisions.errors import OverloadError
from rosemaryward.decisions.gateway.connections import PooledConnection
from rosemaryward.decisions.gateway.environment import Route
from rosemaryward.decisions.gateway.execution import (
    Executor,
    RetryError,
    SessionContext,
    StatementFailedError,
    StatementRequest,
)
from rosemaryward.decisions.gateway.outcomes import (
    Answer,
    ConnectError,
    ConnectionState,
    Failure,
    UnansweredError,
)
from rosemaryward.decisions.gateway.statements import StatementKind
from rosemaryward.decisions.gateway.targets import Target
from rosemaryward.decisions.types import LogPosition

__all__ = ["Transaction"]

ROLLBACK_TIMEOUT_S = 0.5

log = structlog.get_logger(__name__)


class Transaction:
    """Transaction from its `BEGIN` to its end.

    Parameters
    ----------
    executor : Executor
        Runs its statements.
    session : SessionContext
        Session of the caller.
    route : Route
        Route in force when it began.
    read_only : bool
        Whether it only reads, so that it may run at a replica.
    began_at : float
        Boot time at which its `BEGIN` was received, in seconds.

    Attributes
    ----------
    failed : bool
        Whether it can only be rolled back.
    admitted : bool
        Whether its first statement has entered the admission queue.
    wrote : bool
        Whether a write was sent in it.
    pooled : PooledConnection or None
        Connection that it is pinned to, None before it is opened and after its end.
    target : Target or None
        Target that it runs at.
    """

    def __init__(
        self,
        executor: Executor,
        session: SessionContext,
        route: Route,
        read_only: bool,
        began_at: float,
    ) -> None:
        self.executor = executor
        self.session = session
        self.route = route
        self.read_only = read_only
        self.began_at = began_at
        self.failed = False
        self.admitted = False
        self.wrote = False
        self.pooled: PooledConnection | None = None
        self.target: Target | None = None

    async def __aenter__(self) -> "Transaction":
        return self

    async def __aexit__(
        self,
        kind: type[BaseException] | None,
        error: BaseException | None,
        traceback: TracebackType | None,
    ) -> None:
        await self.roll_back()

    @property
    def endpoint(self) -> str:
        """Endpoint that the transaction runs at, empty until it is opened."""
        return "" if self.target is None else self.target.pool.endpoint.id

    async def run(self, request: StatementRequest) -> Answer:
        """Run a statement inside the transaction.

        Parameters
        ----------
        request : StatementRequest
            Statement to run.

        Returns
        -------
        Answer

        Raises
        ------
        StatementFailedError
            If the statement has no result. The transaction is then rolled back or,
            after `COMMIT`, ended.
        """
        commits = request.statement.kind is StatementKind.COMMIT
        try:
            answer = await self._run(request)
        except BaseException:
            self.failed = True
            await self.roll_back()
            raise
        if commits:
            self._release_connection()
        return answer

    async def roll_back(self) -> None:
        """Roll back the transaction and release its connection."""
        pooled, target = self.pooled, self.target
        if pooled is None or target is None:
            return
        self.pooled = None
        with anyio.CancelScope(shield=True):
            try:
                if not pooled.broken:
                    with anyio.fail_after(ROLLBACK_TIMEOUT_S):
                        answer = await pooled.roll_back()
                    pooled.broken = answer.state is not ConnectionState.IDLE
            except (UnansweredError, TimeoutError) as error:
                # The connection is closed, which also rolls the transaction back.
                log.info(
                    "rollback was not answered",
                    endpoint=self.endpoint,
                    error=str(error),
                )
            finally:
                target.pool.release(pooled)

    def _release_connection(self) -> None:
        """Return the connection to the pool after the end of the transaction."""
        if self.pooled is not None and self.target is not None:
            self.target.pool.release(self.pooled)
        self.pooled = None

    async def _run(self, request: StatementRequest) -> Answer:
        """Run a statement, opening the transaction at an endpoint if necessary."""
        if self.pooled is None:
            await self.pin(request)
        assert self.pooled is not None
        assert self.target is not None
        pooled, target = self.pooled, self.target
        self.session.target = target
        statement = request.statement
        commits = statement.kind is StatementKind.COMMIT
        sent = False
        sent_at = self.executor.clock()
        position_before = LogPosition()
        remaining_s = max(request.expires_at - self.executor.clock(), 0.0)
        try:
            is_first = not self.admitted
            async with self._first_statement_slot(target, request):
                if is_first:
                    self._check_not_leaving(target)
                with anyio.fail_after(remaining_s):
                    named = await self.executor.prepare(statement, self.session, pooled)
                    sent = True
                    sent_at = self.executor.clock()
                    position_before = self.executor.newest_position(self.route.group)
                    self.wrote |= self.session.writes(statement)
                    admission = self.executor.admission_parameters(
                        request, self.session, target, remaining_s
                    )
                    with (
                        self.executor.track_write(self.route.group, commits),
                        self.session.sending(),
                    ):
                        answer = await pooled.execute(statement, named, None, admission)
        except (OverloadError, ConnectError) as error:
            raise StatementFailedError(
                Failure.ROLLED_BACK, f"rolled back: {error}", self.endpoint
            ) from error
        except (UnansweredError, TimeoutError) as error:
            reason = str(error) or f"no answer within {remaining_s:.3f} s"
            target.pool.record_unanswered(sent_at, error, reason)
            failure = Failure.IN_DOUBT if commits and sent else Failure.ROLLED_BACK
            raise StatementFailedError(failure, reason, self.endpoint) from error
        self.executor.selector.record_answer(target, sent_at, answer)
        if answer.failure is not None:
            raise StatementFailedError(
                self._failure_for_caller(answer.failure, commits),
                answer.reason,
                self.endpoint,
            )
        if commits and not self.read_only:
            # Without a write, no entry is committed that a new primary must have.
            self.executor.record_acknowledgement(
                self.route.group,
                target,
                answer.position if self.wrote else None,
                position_before,
            )
        return answer

    def _check_not_leaving(self, target: Target) -> None:
        """Check that an endpoint may still get the transaction's first statement."""
        endpoint = target.pool.endpoint.id
        if not self.executor.selector.directory.accepts_statements(endpoint):
            raise StatementFailedError(
                Failure.ROLLED_BACK,
                f"rolled back: endpoint {endpoint} is leaving",
                endpoint,
            )

    def _first_statement_slot(
        self, target: Target, request: StatementRequest
    ) -> AbstractAsyncContextManager[object]:
        """Return a slot for the first statement and a null context for later ones.

        Other statements may wait for resources that the open transaction holds, so
        its later statements do not queue again.
        """
        if self.admitted:
            return contextlib.nullcontext()
        self.admitted = True
        return self.executor.request_slot(target.pool, request, self.session)

    def _failure_for_caller(self, failure: Failure, commits: bool) -> Failure:
        """Return the failure to report to the caller for a failure at the endpoint."""
        if not commits or failure in (Failure.NOT_PRIMARY, Failure.BUSY):
            return Failure.ROLLED_BACK
        return failure

    async def pin(self, request: StatementRequest) -> None:
        """Open the transaction at an endpoint and pin it to a connection.

        Other endpoints are tried on failure, because nothing has run yet.

        Parameters
        ----------
        request : StatementRequest
            First statement, or the `BEGIN`.

        Raises
        ------
        StatementFailedError
            If no endpoint could be used; a later statement may try again.
        """
        self.pooled, self.target = await self.executor.retry(
            request, self.session, lambda target: self._begin(request, target)
        )

    async def _begin(
        self, request: StatementRequest, target: Target
    ) -> PooledConnection:
        """Begin at an endpoint and return the connection; raises `RetryError`."""
        pool = target.pool
        remaining_s = max(request.expires_at - self.executor.clock(), 0.0)
        try:
            pooled = await pool.acquire(remaining_s, tenant=self.session.tenant)
        except ConnectError as error:
            raise RetryError(error.reason) from error
        sent_at = self.executor.clock()
        try:
            with anyio.fail_after(remaining_s):
                await pooled.set_session_values(self.session.values)
                await self.executor.check_target(
                    self.route.group, target, self.read_only
                )
                sent_at = self.executor.clock()
                admission = self.executor.admission_parameters(
                    request, self.session, target, remaining_s
                )
                with self.session.sending():
                    answer = await pooled.begin(
                        self.read_only, target.min_position, admission
                    )
            self.executor.selector.record_answer(target, sent_at, answer)
            if answer.failure is not None:
                raise RetryError(f"BEGIN failed: {answer.reason}")
            if not self.read_only:
                self.executor.record_verification(target, sent_at)
        except (UnansweredError, TimeoutError) as error:
            reason = str(error) or f"no answer within {remaining_s:.3f} s"
            pool.record_unanswered(sent_at, error, reason)
            pool.release(pooled)
            raise RetryError(reason) from error
        except ConnectError as error:
            pool.release(pooled)
            raise self.executor.translate_refusal(error, pool) from error
        except BaseException:
            pool.release(pooled)
            raise
        return pooled
