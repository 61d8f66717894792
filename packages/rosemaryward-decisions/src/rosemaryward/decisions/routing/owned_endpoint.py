"""One instance that this proxy owns: reads, writes and transactions."""

import anyio

from rosemaryward.decisions.errors import (
    NotRunError,
    OutcomeUnknownError,
    ReplicaBehindError,
)
from rosemaryward.decisions.interfaces import InstanceRole
from rosemaryward.decisions.messages import (
    NO_STALENESS_LIMIT,
    EndTransaction,
    Execute,
    StatementResult,
)
from rosemaryward.decisions.routing.access import EndpointAccess
from rosemaryward.decisions.routing.pinned import PinnedTransactions
from rosemaryward.decisions.routing.transactions import OpenTransaction
from rosemaryward.decisions.types import LogPosition

__all__ = ["OwnedEndpoint"]

APPLY_WAIT_S = 0.1
"""Longest wait for a replica to apply a position; the primary is the alternative."""
TRANSACTION_IDLE_S = 30.0
BUSY_TRANSACTION_IDLE_S = 5.0
"""Longest idle time of a transaction while other work waits for a slot."""


class OwnedEndpoint:
    """Runs what entry proxies send for one instance.

    Parameters
    ----------
    access : EndpointAccess
    """

    __slots__ = ("access", "idle", "running", "transactions")

    def __init__(self, access: EndpointAccess) -> None:
        self.access = access
        self.transactions = PinnedTransactions(access)
        self.running = 0
        self.idle = anyio.Event()

    @property
    def is_idle(self) -> bool:
        """Whether no statement and no transaction is in progress."""
        return self.running == 0 and len(self.transactions) == 0

    async def wait_idle(self) -> None:
        """Wait until no statement and no transaction is in progress."""
        while not self.is_idle:
            self.idle = anyio.Event()
            await self.idle.wait()

    async def run(self, sender: str, message: Execute) -> StatementResult:
        """Run one statement of an entry proxy."""
        self.running += 1
        try:
            if message.transaction:
                return await self.transactions.run(sender, message)
            if message.is_write:
                return await self._write(message)
            return await self._read(message)
        finally:
            self.running -= 1
            self._note_idle()

    async def end(self, sender: str, message: EndTransaction) -> StatementResult:
        """Commit or roll back a transaction."""
        self.running += 1
        try:
            return await self.transactions.end(sender, message)
        finally:
            self.running -= 1
            self._note_idle()

    async def abandon(self, transaction: OpenTransaction) -> None:
        """Roll back a transaction after its statement in progress."""
        async with transaction.lock:
            await self.transactions.roll_back(transaction)
        self._note_idle()

    def idle_transactions(self) -> list[OpenTransaction]:
        """Return the transactions that have been idle for too long."""
        is_busy = self.access.admission.queued > 0
        idle_s = BUSY_TRANSACTION_IDLE_S if is_busy else TRANSACTION_IDLE_S
        return self.transactions.table.idle_since(anyio.current_time() - idle_s)

    def _note_idle(self) -> None:
        if self.is_idle:
            self.idle.set()

    async def _read(self, message: Execute) -> StatementResult:
        access = self.access
        deadline = anyio.current_time() + message.deadline_s
        applied = await self._wait_until_readable(message)
        async with access.slot(message) as slot:
            done = await access.execute(message.sql, deadline)
            access.observe(message, slot)
        is_primary = access.is_primary()
        if is_primary and not access.holds_lease():
            # The answer may miss writes that a newer primary has acknowledged. It
            # ran, so it is not refused as not run; the entry repeats reads anyway.
            raise OutcomeUnknownError("the primary is not confirmed by a majority")
        return StatementResult(
            columns=done.columns,
            rows=done.rows,
            position=applied,
            from_replica=not is_primary,
        )

    async def _wait_until_readable(self, message: Execute) -> LogPosition:
        """Wait until the instance has what the read must see."""
        group, endpoint = self.access.group, self.access.endpoint
        instance = endpoint.instance
        status = group.status_of(instance)
        if status is None or status.role is InstanceRole.FENCED:
            raise NotRunError(f"{endpoint} is not ready for reads")
        if status.leaving and status.role is InstanceRole.REPLICA:
            raise NotRunError(f"{endpoint} is leaving")
        if status.role is InstanceRole.PRIMARY:
            if not self.access.holds_lease():
                raise NotRunError(f"{endpoint} is not confirmed by a majority")
            if status.term < message.minimum.term:
                raise ReplicaBehindError(f"{endpoint} is replaced", status.applied)
            return status.applied
        minimum = message.minimum
        if message.fresh:
            minimum = max(minimum, await self._read_index(message.deadline_s))
        if minimum > LogPosition():
            timeout = min(APPLY_WAIT_S, message.deadline_s)
            status = await group.wait_applied(instance, minimum, timeout)
        self._check_staleness(message)
        return status.applied

    async def _read_index(self, deadline_s: float) -> LogPosition:
        group = self.access.group
        primary = group.primary
        if primary is None:
            database = self.access.endpoint.database
            raise NotRunError(f"{database} has no known primary")
        return await group.read_index(primary.instance, deadline_s)

    def _check_staleness(self, message: Execute) -> None:
        if message.fresh or message.max_staleness_s == NO_STALENESS_LIMIT:
            return
        endpoint = self.access.endpoint
        age = self.access.group.staleness_s(endpoint.instance)
        if age > message.max_staleness_s:
            raise ReplicaBehindError(
                f"{endpoint} is {age:.3f} s old, "
                f"at most {message.max_staleness_s:.3f} s accepted",
                LogPosition(),
            )

    async def _write(self, message: Execute) -> StatementResult:
        access = self.access
        deadline = anyio.current_time() + message.deadline_s
        access.writable_term()
        async with access.slot(message) as slot:
            # The statement may have waited while the primary changed.
            term = access.writable_term()
            done = await access.execute(message.sql, deadline, message.request_key)
            access.observe(message, slot)
        return await access.confirm(done, term, deadline)
