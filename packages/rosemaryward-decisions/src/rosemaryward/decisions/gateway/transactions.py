"""A caller's open transaction and the connection that it is pinned to."""

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

__all__ = ["Transaction"]

ROLLBACK_TIMEOUT_S = 0.5

log = structlog.get_logger(__name__)


class Transaction:
    """Transaction from its first statement to its end.

    Parameters
    ----------
    executor : Executor
    session : SessionContext
    route : Route
        Route in force when it began.
    read_only : bool
    began_at : float
        Boot time at which its `BEGIN` was received, in seconds.

    Attributes
    ----------
    failed : bool
        Whether it can only be rolled back.
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
        """Endpoint that the transaction runs at, empty before its first statement."""
        return "" if self.target is None else self.target.pool.endpoint.id

    async def run(self, request: StatementRequest) -> Answer:
        """Run a statement inside the transaction.

        Raises
        ------
        StatementFailedError
            The transaction is then rolled back or, for `COMMIT`, over.
        """
        commits = request.statement.kind is StatementKind.COMMIT
        try:
            answer = await self._run(request)
        except BaseException:
            self.failed = True
            await self.roll_back()
            raise
        if commits:
            self._end()
        return answer

    async def roll_back(self) -> None:
        """End the transaction without keeping anything; keeps no connection."""
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
                # Closing the connection rolls back as well.
                log.info(
                    "rollback unanswered", endpoint=self.endpoint, error=str(error)
                )
            finally:
                target.pool.give_back(pooled)

    def _end(self) -> None:
        if self.pooled is not None and self.target is not None:
            self.target.pool.give_back(self.pooled)
        self.pooled = None

    async def _run(self, request: StatementRequest) -> Answer:
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
        left_s = max(request.expires_at - self.executor.clock(), 0.0)
        try:
            async with self._slot(target, request):
                with anyio.fail_after(left_s):
                    name = await self.executor.prepare(statement, self.session, pooled)
                    sent = True
                    sent_at = self.executor.clock()
                    admission = self.executor.admission_parameters(
                        request, self.session, target, left_s
                    )
                    with self.executor.writing(self.route.group, commits):
                        answer = await pooled.execute(statement, name, None, admission)
        except (OverloadError, ConnectError) as error:
            raise StatementFailedError(
                Failure.ROLLED_BACK, f"rolled back: {error}", self.endpoint
            ) from error
        except (UnansweredError, TimeoutError) as error:
            reason = str(error) or f"no answer in {left_s:.3f} s"
            target.pool.note_unanswered(sent_at, error, reason)
            failure = Failure.IN_DOUBT if commits and sent else Failure.ROLLED_BACK
            raise StatementFailedError(failure, reason, self.endpoint) from error
        self.executor.selector.record_answer(target, sent_at, answer)
        if answer.failure is not None:
            raise StatementFailedError(
                self._failure(answer.failure, commits), answer.reason, self.endpoint
            )
        if commits and not self.read_only:
            self.executor.acknowledge(self.route.group, target, answer.position)
        return answer

    def _slot(
        self, target: Target, request: StatementRequest
    ) -> AbstractAsyncContextManager[object]:
        """Return a grant for the first statement, and nothing to wait for afterwards.

        Others may wait for what an open transaction holds, so it does not queue again.
        """
        if self.admitted:
            return contextlib.nullcontext()
        self.admitted = True
        return self.executor.slot(target.pool, request, self.session)

    def _failure(self, failure: Failure, commits: bool) -> Failure:
        """Return what a failure inside the transaction means to the caller."""
        if not commits or failure in (Failure.NOT_PRIMARY, Failure.BUSY):
            return Failure.ROLLED_BACK
        return failure

    async def pin(self, request: StatementRequest) -> None:
        """Begin at an endpoint; tries others while nothing has run.

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
        """Open the transaction at an endpoint; raises `RetryError`."""
        pool = target.pool
        left_s = max(request.expires_at - self.executor.clock(), 0.0)
        try:
            pooled = await pool.take(left_s)
        except ConnectError as error:
            raise RetryError(error.reason) from error
        sent_at = self.executor.clock()
        try:
            with anyio.fail_after(left_s):
                await pooled.adopt(self.session.values)
                self.executor.check_still_primary(self.route.group, target)
                sent_at = self.executor.clock()
                admission = self.executor.admission_parameters(
                    request, self.session, target, left_s
                )
                answer = await pooled.begin(
                    self.read_only, target.min_position, admission
                )
            self.executor.selector.record_answer(target, sent_at, answer)
            if answer.failure is not None:
                raise RetryError(f"BEGIN failed: {answer.reason}")
        except (UnansweredError, TimeoutError) as error:
            reason = str(error) or f"no answer in {left_s:.3f} s"
            pool.note_unanswered(sent_at, error, reason)
            pool.give_back(pooled)
            raise RetryError(reason) from error
        except ConnectError as error:
            pool.give_back(pooled)
            raise RetryError(error.reason) from error
        except BaseException:
            pool.give_back(pooled)
            raise
        return pooled
