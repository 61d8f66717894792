"""Session of one caller, from its first statement until it disconnects."""

import contextlib
from collections.abc import Callable
from typing import Protocol

import anyio

from rosemaryward.decisions.clock import boot_time_s
from rosemaryward.decisions.gateway.environment import Environment, Route
from rosemaryward.decisions.gateway.execution import (
    Executor,
    SessionContext,
    StatementFailedError,
    StatementRequest,
)
from rosemaryward.decisions.gateway.observer import StatementObserver
from rosemaryward.decisions.gateway.operations import (
    BEGIN_KINDS,
    OperationRefusedError,
    SessionOperations,
)
from rosemaryward.decisions.gateway.outcomes import (
    Answer,
    ConnectionState,
    Failure,
    Reply,
)
from rosemaryward.decisions.gateway.statements import Statement, StatementKind
from rosemaryward.decisions.gateway.transactions import Transaction
from rosemaryward.decisions.tenants import CallerAccess, RefusalCause

__all__ = ["CallerChannel", "CallerSession"]

IDLE = ConnectionState.IDLE
TRANSACTION = ConnectionState.TRANSACTION
FAILED_TRANSACTION = ConnectionState.FAILED_TRANSACTION
END_KINDS = (StatementKind.COMMIT, StatementKind.ROLLBACK)
DISCONNECT_TIMEOUT_S = 1.0  # several round trips between the farthest regions


class CallerChannel(Protocol):
    """Connection to a caller."""

    async def receive(self) -> Statement | None:
        """Return the next statement, or None after the caller has disconnected."""

    async def send(self, statement: Statement, reply: Reply) -> None:
        """Send the reply to a statement."""

    async def announce_end(self, refusal: Reply) -> None:
        """Ask the caller to disconnect, and refuse its next statement in advance.

        The refusal is sent without its final state, so that a statement that
        crosses it can be answered by `complete_refusal`.
        """

    async def complete_refusal(self, state: ConnectionState) -> None:
        """Send the state after a statement that `announce_end` has refused."""


class CallerSession:
    """Serves the statements of one caller until it disconnects.

    Parameters
    ----------
    channel : CallerChannel
        Connection to the caller.
    database : str
        Database that the caller uses.
    caller : str
        Name of the caller.
    executor : Executor
        Runs the statements at endpoints.
    environment : callable
        Returns the configuration in force.
    observer : StatementObserver
        Receives the outcomes of the statements.
    clock : callable, optional
        Returns the boot time in seconds.
    access : CallerAccess, optional
        Key of the caller; without it, no statement is checked.

    Attributes
    ----------
    operations : SessionOperations
        Authorizes the statements and counts the operations.
    transaction : Transaction or None
        Open transaction of the caller.
    end_reason : str
        Why to close as soon as no statement and no transaction is open, empty if
        the session goes on.
    abandons_transaction : bool
        Whether an open transaction does not delay the close.
    receive_scope : anyio.CancelScope or None
        Cancels the wait for the next statement, None while a statement runs.
    interrupted : bool
        Whether `end` cancelled the wait for the next statement.
    """

    def __init__(
        self,
        channel: CallerChannel,
        database: str,
        caller: str,
        executor: Executor,
        environment: Callable[[], Environment],
        observer: StatementObserver,
        clock: Callable[[], float] = boot_time_s,
        access: CallerAccess | None = None,
    ) -> None:
        self.channel = channel
        self.database = database
        self.context = SessionContext(caller)
        self.operations = SessionOperations(self.context, access)
        self.executor = executor
        self.environment = environment
        self.observer = observer
        self.clock = clock
        self.transaction: Transaction | None = None
        self.end_reason = ""
        self.abandons_transaction = False
        self.receive_scope: anyio.CancelScope | None = None
        self.interrupted = False

    @property
    def state(self) -> ConnectionState:
        """State of the session between two statements."""
        if self.transaction is None:
            return IDLE
        return FAILED_TRANSACTION if self.transaction.failed else TRANSACTION

    def end(self, reason: str, abandon_transaction: bool = False) -> None:
        """Close the session as soon as no statement and no transaction is open.

        Parameters
        ----------
        reason : str
            Why the session ends, told to the caller.
        abandon_transaction : bool
            Whether to close it with an open transaction too, once no statement runs.
        """
        self.end_reason = reason
        self.abandons_transaction |= abandon_transaction
        if self.receive_scope is not None and self._may_close():
            self.interrupted = True
            self.receive_scope.cancel()

    async def run(self) -> None:
        """Serve statements until the caller disconnects or the session ends."""
        try:
            while not self._may_close():
                statement = await self._receive()
                if statement is None:
                    if self.interrupted:
                        break
                    return
                started_at = self.clock()
                reply, route, endpoint = await self._serve(statement, started_at)
                await self.channel.send(statement, reply)
                took_s = self.clock() - started_at
                if route is not None:
                    self.observer.answered(
                        statement, route, endpoint, self.context, reply, took_s
                    )
                if statement.kind in BEGIN_KINDS and reply.failure is None:
                    await self._open_transaction_early(statement)
            await self._close()
        finally:
            if self.transaction is not None:
                await self.transaction.roll_back()

    def _may_close(self) -> bool:
        """Return whether the session ends between two statements."""
        if not self.end_reason:
            return False
        return self.transaction is None or self.abandons_transaction

    async def _close(self) -> None:
        """Refuse whatever the caller still sends, until it disconnects.

        A connection that is closed with unread bytes is reset, and the caller of a
        statement among them could not know whether it ran.
        """
        if self.transaction is not None:
            await self.transaction.roll_back()
            self.transaction.failed = True
            self.operations.end_refused()
        with anyio.move_on_after(DISCONNECT_TIMEOUT_S) as scope:
            await self.channel.announce_end(self._refusal())
            while (statement := await self.channel.receive()) is not None:
                await self._refuse(statement)
        if scope.cancelled_caught:
            self.observer.closed_by_proxy(self.database, self.state, self.end_reason)

    async def _refuse(self, statement: Statement) -> None:
        """Complete the refusal of a statement, and refuse the next one."""
        refusal = self._refusal()
        if statement.kind in END_KINDS:
            self.transaction = None
        await self.channel.complete_refusal(self.state)
        route = self.environment().routes.get(self.database)
        if route is not None:
            self.context.target = None
            self.observer.answered(statement, route, "", self.context, refusal, 0.0)
        await self.channel.announce_end(self._refusal())

    def _refusal(self) -> Reply:
        """Return the reply to a statement that arrives after the end."""
        if self.transaction is None:
            reason = f"not run: {self.end_reason}"
            return self._failure_reply(Failure.BUSY, reason)
        reason = f"the transaction was rolled back: {self.end_reason}"
        return self._failure_reply(Failure.ROLLED_BACK, reason)

    async def _open_transaction_early(self, statement: Statement) -> None:
        """Open a transaction at an endpoint before its first statement arrives."""
        transaction = self.transaction
        if transaction is None:
            return
        request = StatementRequest(
            statement=statement,
            route=transaction.route,
            writes=not transaction.read_only,
            received_at=transaction.began_at,
            expires_at=self.clock() + transaction.route.timeout_s,
        )
        # On failure, the first statement tries again and reports the error.
        with contextlib.suppress(StatementFailedError):
            await transaction.pin(request)

    async def _receive(self) -> Statement | None:
        """Wait for a statement; roll back a transaction that is idle for too long."""
        while True:
            limit_s = None
            if self.transaction is not None and not self.transaction.failed:
                limit_s = self.environment().transaction_idle_s
            deadline = None if limit_s is None else anyio.current_time() + limit_s
            with anyio.CancelScope() as scope:
                if deadline is not None:
                    scope.deadline = deadline
                self.interrupted = False
                self.receive_scope = scope
                statement = await self.channel.receive()
            self.receive_scope = None
            if not scope.cancelled_caught:
                return statement
            if self.interrupted:
                return None
            if self.transaction is not None:
                self.transaction.failed = True
                await self.transaction.roll_back()

    async def _serve(
        self, statement: Statement, started_at: float
    ) -> tuple[Reply, Route | None, str]:
        """Return the reply to a statement, its route and its endpoint."""
        self.context.target = None
        transaction = self.transaction
        if transaction is None:
            route = self.environment().routes.get(self.database)
        else:
            route = transaction.route
        if route is None:
            reason = f"no route for database {self.database}"
            return self._failure_reply(Failure.UNKNOWN_DATABASE, reason), None, ""
        try:
            await self._check_operation(statement, route)
        except OperationRefusedError as error:
            return await self._refuse_operation(statement, error), route, ""
        local = await self._refuse_unusable(statement)
        if local is None:
            local = self._serve_locally(statement, route, started_at)
        if local is not None:
            return local, route, ""
        try:
            answer, endpoint = await self._forward(statement, route, started_at)
        except StatementFailedError as error:
            if transaction is None or transaction.failed:
                self.operations.end_refused()
            if statement.kind is StatementKind.COMMIT:
                self.transaction = None
            return (
                self._failure_reply(error.failure, error.reason),
                route,
                error.endpoint,
            )
        return Reply(self.state, answer.rows, answer.signature), route, endpoint

    async def _check_operation(self, statement: Statement, route: Route) -> None:
        """Authorize a statement, and begin the operation that it is or opens.

        Raises
        ------
        OperationRefusedError
            If the caller may not run it now.
        """
        present = self.environment().routes.get(self.database) or route
        # A transaction goes on for its tenant, so it needs the key until its end.
        has_tenant = self.transaction is not None and bool(self.context.tenant)
        tenant = self.operations.authorize(present.public and not has_tenant)
        if self.transaction is None and self.operations.begins(statement):
            await self.operations.begin(tenant)

    async def _refuse_operation(
        self, statement: Statement, error: OperationRefusedError
    ) -> Reply:
        """Reply to a refused statement, after its transaction is rolled back."""
        transaction = self.transaction
        if transaction is None:
            return self._failure_reply(error.failure, error.idle_reason)
        had_failed = transaction.failed
        transaction.failed = True
        await transaction.roll_back()
        self.operations.end_refused()
        if error.cause is RefusalCause.UNKNOWN_KEY:
            if statement.kind in END_KINDS:
                self.transaction = None
            return self._failure_reply(error.failure, error.reason)
        if had_failed or statement.kind in END_KINDS:
            return self._serve_in_failed_transaction(statement)
        return self._failure_reply(
            Failure.ROLLED_BACK, f"the transaction was rolled back: {error.reason}"
        )

    async def _refuse_unusable(self, statement: Statement) -> Reply | None:
        """Reply to a statement that cannot be run as received, else return None."""
        if statement.kind is StatementKind.UNREADABLE:
            return self._failure_reply(Failure.MALFORMED, statement.text)
        transaction = self.transaction
        if transaction is not None and transaction.failed:
            return self._serve_in_failed_transaction(statement)
        if statement.kind is not StatementKind.REFUSED:
            return None
        if transaction is None:
            return self._failure_reply(Failure.BUSY, statement.text)
        # A refusal as not run would promise that nothing of the transaction is kept.
        transaction.failed = True
        await transaction.roll_back()
        return self._failure_reply(
            Failure.ROLLED_BACK, f"the transaction was rolled back: {statement.text}"
        )

    def _serve_in_failed_transaction(self, statement: Statement) -> Reply:
        """Reply to a statement of a transaction that can only be rolled back."""
        if statement.kind is StatementKind.ROLLBACK:
            self.transaction = None
            return Reply(IDLE)
        if statement.kind is StatementKind.COMMIT:
            self.transaction = None
            return self._failure_reply(
                Failure.ROLLED_BACK, "the transaction was rolled back"
            )
        return self._failure_reply(
            Failure.MALFORMED, "the transaction has failed; expected ROLLBACK or COMMIT"
        )

    def _serve_locally(
        self, statement: Statement, route: Route, started_at: float
    ) -> Reply | None:
        """Reply to a statement that needs no endpoint, else return None."""
        kind = statement.kind
        context = self.context
        if kind in BEGIN_KINDS:
            if self.transaction is not None:
                return self._failure_reply(
                    Failure.MALFORMED, "a transaction is already open"
                )
            read_only = kind is StatementKind.BEGIN_READ
            self.transaction = Transaction(
                self.executor, context, route, read_only, started_at
            )
        elif kind is StatementKind.SET_VALUE:
            context.values[statement.name] = statement.argument
        elif kind is StatementKind.PREPARE and statement.prepared is not None:
            context.prepared[statement.name] = statement.prepared
        elif kind is StatementKind.DEALLOCATE:
            context.prepared.pop(statement.name, None)
        elif kind is StatementKind.EXECUTE and statement.name not in context.prepared:
            return self._failure_reply(
                Failure.UNKNOWN_STATEMENT,
                f"no prepared statement named {statement.name}",
            )
        elif (
            kind in (StatementKind.COMMIT, StatementKind.ROLLBACK)
            and self.transaction is None
        ):
            return self._failure_reply(Failure.MALFORMED, "no transaction is open")
        else:
            return None
        return Reply(self.state)

    async def _forward(
        self, statement: Statement, route: Route, started_at: float
    ) -> tuple[Answer | Reply, str]:
        """Run a statement at an endpoint and return its answer and the endpoint.

        Raises `StatementFailedError` if the statement has no result.
        """
        transaction = self.transaction
        request = StatementRequest(
            statement=statement,
            route=route,
            writes=self._writes(statement, transaction),
            received_at=started_at if transaction is None else transaction.began_at,
            expires_at=started_at + route.timeout_s,
        )
        if transaction is None:
            answer, target = await self.executor.run(request, self.context)
            if request.writes:
                self._record_commit(answer)
            return answer, target.pool.endpoint.id
        if statement.kind is StatementKind.ROLLBACK:
            endpoint = transaction.endpoint
            await transaction.roll_back()
            self.transaction = None
            return Reply(IDLE), endpoint
        answer = await transaction.run(request)
        if statement.kind is StatementKind.COMMIT:
            self.transaction = None
            if not transaction.read_only:
                self._record_commit(answer)
        return answer, transaction.endpoint

    def _writes(self, statement: Statement, transaction: Transaction | None) -> bool:
        """Return whether the statement, or its transaction, may write."""
        if transaction is not None:
            return not transaction.read_only
        return self.context.writes(statement)

    def _record_commit(self, answer: Answer) -> None:
        """Record the position of the session's newest commit."""
        if answer.position is not None:
            self.context.position = max(self.context.position, answer.position)

    def _failure_reply(self, failure: Failure, reason: str) -> Reply:
        return Reply(self.state, failure=failure, reason=reason)
