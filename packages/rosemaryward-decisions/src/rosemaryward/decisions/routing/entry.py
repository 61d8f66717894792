"""Entry path: routes statements of callers to the owners of endpoints."""

import contextlib
import random
from functools import partial

import anyio
import msgspec

from rosemaryward.decisions.admission import EntryShedder, TenantLimiter
from rosemaryward.decisions.document.schema import TenantLimits
from rosemaryward.decisions.errors import (
    NotPrimaryError,
    NotRunError,
    OutcomeUnknownError,
    OverloadError,
    RosemarywardError,
    StatementError,
)
from rosemaryward.decisions.messages import (
    NO_STALENESS_LIMIT,
    EndTransaction,
    Execute,
    StatementReply,
    StatementRequest,
    StatementResult,
)
from rosemaryward.decisions.retries import Backoff, RetryBudget
from rosemaryward.decisions.routing.attributes import Attributes
from rosemaryward.decisions.routing.classification import (
    Classifier,
    StatementClass,
    StatementKind,
)
from rosemaryward.decisions.routing.interfaces import Directory, Requester
from rosemaryward.decisions.routing.observer import NullObserver, StatementObserver
from rosemaryward.decisions.routing.replica_selection import ReplicaSelector
from rosemaryward.decisions.routing.replies import raise_for_reply
from rosemaryward.decisions.routing.rules import Policy, RoutingRules
from rosemaryward.decisions.routing.sessions import CallerSession, CallerTransaction
from rosemaryward.decisions.routing.statement_retry import StatementRetry
from rosemaryward.decisions.types import EndpointId, LogPosition, Place, Rank

__all__ = ["EntryService"]

INITIAL_BACKOFF_S = 0.02
MAX_BACKOFF_S = 0.25
RETRY_RATIO = 0.2  # retries per first attempt
RETRY_BURST = 200.0  # capacity of the retry budget of a database
ANSWER_MARGIN_S = 0.05
"""Time after the deadline in which the answer of an owner is still awaited."""
READ_ATTEMPT_SHARE = 0.5
"""Share of the time left that a read gives one endpoint before it tries the next."""
ROLLBACK_TIMEOUT_S = 1.0
REPEATED_REQUEST_ERROR_CODE = 1062  # ER_DUP_ENTRY


class EntryService:
    """Routes the statements of all callers of this proxy.

    Parameters
    ----------
    place : Place
        Place of this proxy.
    rules : RoutingRules
    directory : Directory
    requester : Requester
    jitter : random.Random
        Source of the jitter of retries.
    observer : StatementObserver, optional
    """

    def __init__(
        self,
        place: Place,
        rules: RoutingRules,
        directory: Directory,
        requester: Requester,
        jitter: random.Random,
        observer: StatementObserver | None = None,
    ) -> None:
        self.observer = observer or NullObserver()
        self.rules = rules
        self.directory = directory
        self.requester = requester
        self.jitter = jitter
        self.replica_selector = ReplicaSelector(place)
        self.classifier = Classifier()
        self.shedder = EntryShedder()
        self.limiter = TenantLimiter(_limits(rules))
        self.budgets: dict[str, RetryBudget] = {}

    def set_rules(self, rules: RoutingRules) -> None:
        """Apply the rules of a new configuration."""
        self.rules = rules
        self.limiter.set_limits(_limits(rules))

    def check_connection(self, tenant: str) -> None:
        """Raise `OverloadError` if the tenant has reached its connection limit."""
        self.limiter.check_connection(tenant)

    def open_session(self, session: CallerSession) -> None:
        """Count a caller connection; `close_session` must be called for it.

        Raises
        ------
        OverloadError
            If the tenant has reached its connection limit.
        """
        self.limiter.open_connection(session.account.tenant)

    async def run(
        self,
        session: CallerSession,
        sql: str,
        statement_attributes: Attributes | None = None,
    ) -> StatementResult:
        """Run one statement of a caller and return its answer.

        Parameters
        ----------
        session : CallerSession
        sql : str
        statement_attributes : Attributes, optional
            Attributes of this statement, in addition to those of the session.

        Raises
        ------
        StatementError
            If the endpoint reports an SQL error.
        NotRunError
            If the statement certainly did not run.
        OutcomeUnknownError
            If the statement may have run.
        """
        statement = self.classifier.classify(sql)
        match statement.kind:
            case StatementKind.BEGIN:
                return await self._begin(session)
            case StatementKind.COMMIT:
                return await self._end_session_transaction(session, commit=True)
            case StatementKind.ROLLBACK:
                return await self._end_session_transaction(session, commit=False)
        attributes = session.attributes
        if statement_attributes is not None:
            attributes = attributes.merged_with(statement_attributes)
        self._check_database(session.database)
        self.limiter.admit_statement(session.account.tenant)
        policy = self.rules.policy(
            session.account, session.database, statement, attributes
        )
        tenant, rank = session.account.tenant, policy.rank
        try:
            done = await self._dispatch(
                session, sql, statement, policy, statement_attributes
            )
        except RosemarywardError as error:
            self.observer.record_outcome(tenant, rank, _outcome_label(error))
            raise
        self.observer.record_outcome(tenant, rank, "done")
        if statement.kind is StatementKind.READ:
            self.observer.record_read(tenant, done.from_replica)
        return done

    async def _dispatch(
        self,
        session: CallerSession,
        sql: str,
        statement: StatementClass,
        policy: Policy,
        statement_attributes: Attributes | None,
    ) -> StatementResult:
        if session.transaction is None and not session.autocommit:
            session.begin()
        if session.transaction is not None:
            return await self._run_in_transaction(session, sql, statement, policy)
        if statement.kind is StatementKind.READ:
            return await self._read(session, sql, policy)
        key = (
            statement_attributes.request if statement_attributes is not None else ""
        ) or session.take_request_key()
        return await self._write(session, sql, policy, key)

    async def close_session(self, session: CallerSession) -> None:
        """Count a caller connection as closed and roll back its open transaction."""
        self.limiter.close_connection(session.account.tenant)
        await self.reset(session)

    async def reset(self, session: CallerSession) -> None:
        """Roll back the open transaction of a session, if any."""
        if session.transaction is not None:
            await self._end_session_transaction(session, commit=False)

    def _check_database(self, database: str) -> None:
        if not database:
            raise StatementError(1046, "No database selected")
        if database not in self.rules.document.databases:
            raise StatementError(1049, f"Unknown database '{database}'")

    async def _read(
        self, session: CallerSession, sql: str, policy: Policy
    ) -> StatementResult:
        minimum = session.minimum_position(session.database)
        deadline = anyio.current_time() + policy.deadline_s
        message = Execute(
            endpoint=EndpointId(session.database, ""),
            sql=sql,
            is_write=False,
            rank=policy.rank,
            deadline_s=policy.deadline_s,
            tenant=session.account.tenant,
            caller=session.caller,
            minimum=minimum if minimum is not None else LogPosition(),
            max_staleness_s=policy.max_staleness_s or NO_STALENESS_LIMIT,
            fresh=minimum is None or policy.max_staleness_s == 0.0,
        )
        retry = self._start_retry(session.database, deadline)
        while True:
            try:
                return await self._read_from_endpoints(message, deadline)
            except (NotRunError, OutcomeUnknownError) as error:
                # A read has no effect, so it may be retried after an unknown outcome.
                await retry.wait(error)

    async def _read_from_endpoints(
        self, message: Execute, deadline: float
    ) -> StatementResult:
        """Run a read at the first endpoint that answers: replicas, then the primary."""
        database = message.endpoint.database
        instances = self.rules.document.databases[database].instances
        primary = self.directory.primary_of(database)
        endpoints = self.replica_selector.order_replicas(database, instances, primary)
        if primary:
            endpoints.append(EndpointId(database, primary))
        last_error: Exception = NotRunError(
            f"{database} has no replica and no known primary for reads"
        )
        for number, endpoint in enumerate(endpoints, 1):
            started_at = anyio.current_time()
            # An owner that does not answer must leave time for the next endpoint.
            share = 1.0 if number == len(endpoints) else READ_ATTEMPT_SHARE
            attempt_deadline = started_at + (deadline - started_at) * share
            try:
                done = await self._execute(message, endpoint, attempt_deadline)
            except (NotRunError, OutcomeUnknownError) as error:
                self.replica_selector.record_failure(endpoint)
                last_error = error
                continue
            self.replica_selector.record_answer(
                endpoint, anyio.current_time() - started_at
            )
            return done
        raise last_error

    async def _write(
        self, session: CallerSession, sql: str, policy: Policy, request_key: str
    ) -> StatementResult:
        database = session.database
        deadline = anyio.current_time() + policy.deadline_s
        message = self._write_message(session, sql, policy, request_key)
        retry = self._start_retry(database, deadline)
        while True:
            try:
                endpoint = self._primary_endpoint(database)
                done = await self._execute(message, endpoint, deadline)
            except NotRunError as error:
                await retry.wait(error)
            except OutcomeUnknownError as error:
                if not request_key:
                    raise
                # The request key makes the retry idempotent.
                await retry.wait(error)
            else:
                session.record_write(database, done.position)
                return done

    def _write_message(
        self, session: CallerSession, sql: str, policy: Policy, request_key: str
    ) -> Execute:
        return Execute(
            endpoint=EndpointId(session.database, ""),
            sql=sql,
            is_write=True,
            rank=policy.rank,
            deadline_s=policy.deadline_s,
            tenant=session.account.tenant,
            caller=session.caller,
            request_key=request_key,
        )

    def _start_retry(self, database: str, deadline: float) -> StatementRetry:
        budget = self.budgets.get(database)
        if budget is None:
            budget = self.budgets[database] = RetryBudget(RETRY_RATIO, RETRY_BURST)
        budget.record_first_attempt()
        backoff = Backoff(self.jitter, INITIAL_BACKOFF_S, 2.0, MAX_BACKOFF_S)
        primary_changed = partial(self.directory.primary_changed, database)
        return StatementRetry(budget, backoff, deadline, primary_changed)

    def _primary_endpoint(self, database: str) -> EndpointId:
        primary = self.directory.primary_of(database)
        if not primary:
            raise NotPrimaryError(f"{database} has no known primary")
        return EndpointId(database, primary)

    async def _execute(
        self, message: Execute, endpoint: EndpointId, deadline: float
    ) -> StatementResult:
        remaining_s = deadline - anyio.current_time()
        if remaining_s <= 0:
            raise NotRunError("the deadline passed before the statement was sent")
        rank = Rank(message.rank)
        self.shedder.check(endpoint, rank, remaining_s)
        addressed = msgspec.structs.replace(
            message, endpoint=endpoint, deadline_s=remaining_s
        )
        try:
            done = raise_for_reply(
                await self._request(endpoint, addressed, remaining_s)
            )
        except OverloadError as error:
            self._record_overload(endpoint, rank, error)
            raise
        self.shedder.record_admission(endpoint, rank)
        return done

    def _record_overload(
        self, endpoint: EndpointId, rank: Rank, error: OverloadError
    ) -> None:
        waits_s = {
            Rank(value): wait_s for value, wait_s in error.estimated_waits_s.items()
        }
        self.shedder.record_refusal(
            endpoint, rank, error.retry_after_s, waits_s or None
        )

    async def _request(
        self, endpoint: EndpointId, message: StatementRequest, remaining_s: float
    ) -> StatementReply:
        owner = self.directory.owner_of(endpoint)
        if owner is None:
            raise NotRunError(f"{endpoint} has no known owner")
        return await self.requester.request(
            owner, message, remaining_s + ANSWER_MARGIN_S
        )

    async def _begin(self, session: CallerSession) -> StatementResult:
        if session.transaction is not None:
            await self._end_session_transaction(session, commit=True)
        session.begin()
        return StatementResult()

    async def _run_in_transaction(
        self,
        session: CallerSession,
        sql: str,
        statement: StatementClass,
        policy: Policy,
    ) -> StatementResult:
        transaction = session.transaction
        assert transaction is not None
        message = Execute(
            endpoint=EndpointId(session.database, ""),
            sql=sql,
            is_write=statement.kind is not StatementKind.READ,
            rank=policy.rank,
            deadline_s=policy.deadline_s,
            tenant=session.account.tenant,
            caller=session.caller,
            transaction=transaction.name,
        )
        if transaction.endpoint is None:
            return await self._open_transaction(session, transaction, message)
        if transaction.endpoint.database != session.database:
            raise StatementError(1235, "a transaction may use only one database")
        try:
            return await self._execute_in_transaction(transaction, message)
        except NotRunError as error:
            # Only the text of the reason tells that the transaction is lost.
            if "rolled back" in error.reason:
                session.transaction = None
            raise
        except OutcomeUnknownError as error:
            # Without a commit, no statement of the transaction takes effect.
            await self._end_session_transaction(session, commit=False)
            raise NotRunError(f"the transaction was rolled back: {error}") from error

    async def _open_transaction(
        self, session: CallerSession, transaction: CallerTransaction, message: Execute
    ) -> StatementResult:
        """Run the first statement, which may be retried as the transaction is empty."""
        opening = msgspec.structs.replace(
            message, begins_transaction=True, request_key=transaction.request_key
        )
        deadline = anyio.current_time() + message.deadline_s
        retry = self._start_retry(session.database, deadline)
        while True:
            try:
                transaction.endpoint = self._primary_endpoint(session.database)
                return await self._execute_in_transaction(transaction, opening)
            except (NotRunError, OutcomeUnknownError) as error:
                await self._end_transaction(transaction, commit=False)
                await retry.wait(_to_not_run(error))
            except StatementError as error:
                if error.code == REPEATED_REQUEST_ERROR_CODE:
                    session.transaction = None
                raise

    async def _execute_in_transaction(
        self, transaction: CallerTransaction, message: Execute
    ) -> StatementResult:
        assert transaction.endpoint is not None
        addressed = msgspec.structs.replace(message, endpoint=transaction.endpoint)
        reply = await self._request(transaction.endpoint, addressed, message.deadline_s)
        return raise_for_reply(reply)

    async def _end_session_transaction(
        self, session: CallerSession, commit: bool
    ) -> StatementResult:
        transaction = session.transaction
        session.transaction = None
        if transaction is None or transaction.endpoint is None:
            return StatementResult()
        database = transaction.endpoint.database
        done = await self._end_transaction(transaction, commit)
        if commit:
            session.record_write(database, done.position)
        return done

    async def _end_transaction(
        self, transaction: CallerTransaction, commit: bool
    ) -> StatementResult:
        endpoint, transaction.endpoint = transaction.endpoint, None
        if endpoint is None:
            return StatementResult()
        deadline_s = self.rules.ranks[Rank.URGENT].deadline_s
        message = EndTransaction(endpoint, transaction.name, commit, deadline_s)
        if not commit:
            return await self._roll_back(endpoint, message)
        return raise_for_reply(await self._request(endpoint, message, deadline_s))

    async def _roll_back(
        self, endpoint: EndpointId, message: EndTransaction
    ) -> StatementResult:
        """Roll back; an owner that cannot be reached does so by itself."""
        with contextlib.suppress(NotRunError, OutcomeUnknownError):
            await self._request(endpoint, message, ROLLBACK_TIMEOUT_S)
        return StatementResult()


def _limits(rules: RoutingRules) -> dict[str, TenantLimits]:
    return {name: tenant.limits for name, tenant in rules.document.tenants.items()}


def _outcome_label(error: RosemarywardError) -> str:
    if isinstance(error, NotRunError):
        return "not_run"
    return "failed" if isinstance(error, StatementError) else "unknown"


def _to_not_run(error: Exception) -> NotRunError:
    if isinstance(error, NotRunError):
        return error
    return NotRunError(f"the transaction was rolled back: {error}")
