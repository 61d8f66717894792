"""Access to one owned instance: slots, connections and the state of its group."""

from contextlib import AbstractAsyncContextManager

import anyio
import structlog

from rosemaryward.decisions.errors import NotPrimaryError, NotRunError
from rosemaryward.decisions.interfaces import InstanceRole
from rosemaryward.decisions.messages import Execute, StatementResult
from rosemaryward.decisions.routing.interfaces import (
    Admission,
    ConnectionSource,
    Group,
    HeldSlot,
)
from rosemaryward.decisions.routing.observer import NullObserver, StatementObserver
from rosemaryward.decisions.routing.request_keys import execute_once
from rosemaryward.decisions.types import EndpointId, Rank

__all__ = ["CONNECTION_WAIT_S", "EndpointAccess"]

CONNECTION_WAIT_S = 0.5  # maximum wait for a connection, and for ``BEGIN``
# An instance that leaves gets no new statement after this time, even if nothing has
# replaced it as the primary.
LEAVING_USE_LIMIT_S = 5.0

log = structlog.get_logger(__name__)


class EndpointAccess:
    """Resources that statements and transactions of one instance share.

    Parameters
    ----------
    endpoint : EndpointId
    admission : Admission
        Admission queue of the instance.
    connections : ConnectionSource
        Connection pool of the instance.
    group : Group
        State of the database group that the instance belongs to.
    observer : StatementObserver, optional

    Attributes
    ----------
    refuses_new_work : bool
        Whether the last new statement was refused because the instance leaves.
    """

    __slots__ = (
        "admission",
        "connections",
        "endpoint",
        "group",
        "observer",
        "refuses_new_work",
    )

    def __init__(
        self,
        endpoint: EndpointId,
        admission: Admission,
        connections: ConnectionSource,
        group: Group,
        observer: StatementObserver | None = None,
    ) -> None:
        self.endpoint = endpoint
        self.admission = admission
        self.connections = connections
        self.group = group
        self.observer = observer or NullObserver()
        self.refuses_new_work = False

    def check_new_work(self) -> None:
        """Check that the instance may get a new statement.

        Raises
        ------
        NotRunError
            If it has been leaving for long.
        """
        leaving_s = self.group.leaving_s(self.endpoint.instance)
        refuses = leaving_s >= LEAVING_USE_LIMIT_S
        if refuses and not self.refuses_new_work:
            log.warning(
                "leaving instance gets no new statements",
                endpoint=str(self.endpoint),
                leaving_s=round(leaving_s, 3),
            )
        self.refuses_new_work = refuses
        if refuses:
            raise NotRunError(f"{self.endpoint} has been leaving for {leaving_s:.1f} s")

    def slot(self, message: Execute) -> AbstractAsyncContextManager[HeldSlot]:
        """Return a context manager that holds a slot for a statement."""
        return self.admission.slot(
            Rank(message.rank), message.caller, message.tenant, message.deadline_s
        )

    def holds_read_lease(self) -> bool:
        """Return whether no newer primary can have acknowledged a write."""
        return self.group.holds_read_lease(self.endpoint.instance)

    def is_primary(self) -> bool:
        """Return whether the instance last reported itself as the primary."""
        status = self.group.status_of(self.endpoint.instance)
        return status is not None and status.role is InstanceRole.PRIMARY

    def writable_term(self) -> int:
        """Return the term in which the instance currently accepts writes.

        Raises
        ------
        NotPrimaryError
            If the instance is not the primary or a majority does not confirm it.
        """
        status = self.group.status_of(self.endpoint.instance)
        primary = self.group.primary
        hint = primary.instance if primary is not None else ""
        if status is None or status.role is not InstanceRole.PRIMARY:
            raise NotPrimaryError(f"{self.endpoint} is not the primary", hint)
        if not self.holds_read_lease():
            raise NotPrimaryError(
                f"{self.endpoint} is not confirmed as the primary by a majority", hint
            )
        return status.term

    async def execute(
        self, sql: str, deadline: float, request_key: str = ""
    ) -> StatementResult:
        """Run a statement on a connection of the pool.

        Parameters
        ----------
        sql : str
        deadline : float
            Event-loop time in seconds.
        request_key : str
            Key that makes a retry of a write idempotent; empty for none.

        Raises
        ------
        NotRunError
            If no connection was free in time or the deadline has passed.
        """
        connection = await self.connections.take(CONNECTION_WAIT_S)
        timeout_s = deadline - anyio.current_time()
        try:
            if timeout_s <= 0:
                raise NotRunError("the deadline passed before the statement started")
            if request_key:
                return await execute_once(connection, sql, request_key, timeout_s)
            return await connection.execute(sql, timeout_s)
        finally:
            with anyio.CancelScope(shield=True):
                await self.connections.give_back(
                    connection, used_by_transaction=bool(request_key)
                )

    async def confirm_write(
        self, done: StatementResult, term: int, deadline: float
    ) -> StatementResult:
        """Wait until a majority has received a write, then return its answer.

        Parameters
        ----------
        done : StatementResult
            Answer of the primary.
        term : int
            Term in which the write ran.
        deadline : float
            Event-loop time in seconds.

        Raises
        ------
        OutcomeUnknownError
            If the primary was replaced or the deadline has passed.
        """
        remaining_s = max(0.0, deadline - anyio.current_time())
        position = await self.group.confirm_write(
            self.endpoint.instance, term, remaining_s
        )
        self.observer.record_confirmed_write(self.endpoint.database)
        return StatementResult(
            columns=done.columns,
            rows=done.rows,
            affected_rows=done.affected_rows,
            last_insert_id=done.last_insert_id,
            position=position,
        )

    def record_times(self, message: Execute, slot: HeldSlot) -> None:
        """Report the queue and service time of a statement to the observer."""
        service_s = anyio.current_time() - slot.started_at
        self.observer.record_statement(
            message.tenant, message.rank, slot.waited_s, service_s
        )
