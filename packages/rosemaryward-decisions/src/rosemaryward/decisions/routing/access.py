"""Access to one owned instance: slots, connections and the group's state."""

from contextlib import AbstractAsyncContextManager

import anyio

from rosemaryward.decisions.errors import NotPrimaryError, NotRunError
from rosemaryward.decisions.interfaces import InstanceRole
from rosemaryward.decisions.messages import Execute, StatementResult
from rosemaryward.decisions.routing.collaborators import (
    Admission,
    ConnectionSource,
    Group,
    HeldSlot,
)
from rosemaryward.decisions.routing.observer import NullObserver, StatementObserver
from rosemaryward.decisions.routing.requests import execute_once
from rosemaryward.decisions.types import EndpointId, Rank

__all__ = ["CONNECTION_WAIT_S", "EndpointAccess"]

CONNECTION_WAIT_S = 0.5


class EndpointAccess:
    """What statements and transactions of one instance share.

    Parameters
    ----------
    endpoint : EndpointId
    admission : Admission
    connections : ConnectionSource
    group : Group
    observer : StatementObserver, optional
    """

    __slots__ = ("admission", "connections", "endpoint", "group", "observer")

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

    def slot(self, message: Execute) -> AbstractAsyncContextManager[HeldSlot]:
        """Return a context manager that holds a slot for a statement."""
        return self.admission.slot(
            Rank(message.rank), message.caller, message.tenant, message.deadline_s
        )

    def holds_lease(self) -> bool:
        """Tell whether no newer primary can have acknowledged a write."""
        return self.group.holds_read_lease(self.endpoint.instance)

    def is_primary(self) -> bool:
        """Tell whether the instance last reported itself as the primary."""
        status = self.group.status_of(self.endpoint.instance)
        return status is not None and status.role is InstanceRole.PRIMARY

    def writable_term(self) -> int:
        """Return the term in which the instance accepts writes now.

        Raises
        ------
        NotPrimaryError
            If it is not the primary, or no majority confirms that it is.
        """
        status = self.group.status_of(self.endpoint.instance)
        primary = self.group.primary
        hint = primary.instance if primary is not None else ""
        if status is None or status.role is not InstanceRole.PRIMARY:
            raise NotPrimaryError(f"{self.endpoint} is not the primary", hint)
        if not self.holds_lease():
            raise NotPrimaryError(f"{self.endpoint} has no majority", hint)
        return status.term

    async def execute(
        self, sql: str, deadline: float, request_key: str = ""
    ) -> StatementResult:
        """Run a statement on a connection of the pool.

        Parameters
        ----------
        sql : str
        deadline : float
            Event-loop time.
        request_key : str
            Makes a repeat of a write idempotent.
        """
        connection = await self.connections.take(CONNECTION_WAIT_S)
        timeout = deadline - anyio.current_time()
        try:
            if timeout <= 0:
                raise NotRunError("the deadline passed before the statement started")
            if request_key:
                return await execute_once(connection, sql, request_key, timeout)
            return await connection.execute(sql, timeout)
        finally:
            with anyio.CancelScope(shield=True):
                await self.connections.give_back(
                    connection, used_by_transaction=bool(request_key)
                )

    async def confirm(
        self, done: StatementResult, term: int, deadline: float
    ) -> StatementResult:
        """Return the answer of a write once a majority has received it.

        Raises
        ------
        OutcomeUnknownError
            If the primary was replaced or the deadline passed.
        """
        remaining = max(0.0, deadline - anyio.current_time())
        position = await self.group.confirm_write(
            self.endpoint.instance, term, remaining
        )
        self.observer.record_confirmed_write(self.endpoint.database)
        return StatementResult(
            columns=done.columns,
            rows=done.rows,
            affected_rows=done.affected_rows,
            last_insert_id=done.last_insert_id,
            position=position,
        )

    def observe(self, message: Execute, slot: HeldSlot) -> None:
        """Record the queue and service time of a statement."""
        service_s = anyio.current_time() - slot.started_at
        self.observer.record_statement(
            message.tenant, message.rank, slot.waited_s, service_s
        )
