"""Reads, writes and transactions at one instance that this proxy owns."""

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
from rosemaryward.decisions.routing.pinned_transactions import PinnedTransactions
from rosemaryward.decisions.routing.transactions import OpenTransaction
from rosemaryward.decisions.types import LogPosition

__all__ = ["OwnedEndpoint"]

MAX_APPLY_WAIT_S = 0.1
"""Wait for a replica to apply a position; the primary can serve the read instead."""
MAX_TRANSACTION_IDLE_S = 30.0
MAX_BUSY_TRANSACTION_IDLE_S = 5.0
"""Applies instead while other statements wait for a slot."""


class OwnedEndpoint:
    """Runs the statements that entry proxies send for one instance.

    Parameters
    ----------
    access : EndpointAccess
    """

    __slots__ = ("access", "became_idle", "running", "transactions")

    def __init__(self, access: EndpointAccess) -> None:
        self.access = access
        self.transactions = PinnedTransactions(access)
        self.running = 0
        self.became_idle = anyio.Event()

    @property
    def is_idle(self) -> bool:
        """Whether no statement and no transaction is in progress."""
        return self.running == 0 and len(self.transactions) == 0

    async def wait_idle(self) -> None:
        """Wait until no statement and no transaction is in progress."""
        while not self.is_idle:
            self.became_idle = anyio.Event()
            await self.became_idle.wait()

    async def run(self, sender: str, message: Execute) -> StatementResult:
        """Run one statement.

        Parameters
        ----------
        sender : str
            Host id of the entry proxy.
        message : Execute
        """
        self.running += 1
        try:
            if message.transaction:
                return await self.transactions.run(sender, message)
            if message.is_write:
                return await self._write(message)
            return await self._read(message)
        finally:
            self.running -= 1
            self._signal_idle()

    async def end(self, sender: str, message: EndTransaction) -> StatementResult:
        """Commit or roll back a transaction."""
        self.running += 1
        try:
            return await self.transactions.end(sender, message)
        finally:
            self.running -= 1
            self._signal_idle()

    async def roll_back(self, transaction: OpenTransaction) -> None:
        """Roll back a transaction once its running statement has ended."""
        async with transaction.lock:
            await self.transactions.roll_back(transaction)
        self._signal_idle()

    def idle_transactions(self) -> list[OpenTransaction]:
        """Return the transactions that exceed the idle time."""
        is_busy = self.access.admission.queued > 0
        idle_s = MAX_BUSY_TRANSACTION_IDLE_S if is_busy else MAX_TRANSACTION_IDLE_S
        return self.transactions.table.idle_since(anyio.current_time() - idle_s)

    def _signal_idle(self) -> None:
        if self.is_idle:
            self.became_idle.set()

    async def _read(self, message: Execute) -> StatementResult:
        access = self.access
        deadline = anyio.current_time() + message.deadline_s
        access.check_new_work()
        applied = await self._wait_until_readable(message)
        async with access.slot(message) as slot:
            access.check_new_work()
            done = await access.execute(message.sql, deadline)
            access.record_times(message, slot)
        is_primary = access.is_primary()
        if is_primary and not access.holds_read_lease():
            # The answer may miss writes that a newer primary has acknowledged. The
            # read did run, so this is not a `NotRunError`; the entry retries reads
            # in both cases.
            raise OutcomeUnknownError("the primary is not confirmed by a majority")
        return StatementResult(
            columns=done.columns,
            rows=done.rows,
            position=applied,
            from_replica=not is_primary,
        )

    async def _wait_until_readable(self, message: Execute) -> LogPosition:
        """Wait until the instance has applied the position that the read requires.

        Returns
        -------
        LogPosition
            Position that the instance has applied.
        """
        group, endpoint = self.access.group, self.access.endpoint
        instance = endpoint.instance
        status = group.status_of(instance)
        if status is None or status.role is InstanceRole.FENCED:
            raise NotRunError(f"{endpoint} is fenced or has an unknown status")
        if status.leaving and status.role is InstanceRole.REPLICA:
            raise NotRunError(f"{endpoint} is leaving and takes no reads")
        if status.role is InstanceRole.PRIMARY:
            if not self.access.holds_read_lease():
                raise NotRunError(f"{endpoint} is not confirmed by a majority")
            if status.term < message.minimum.term:
                raise ReplicaBehindError(
                    f"{endpoint} is a primary of term {status.term}, "
                    f"expected term {message.minimum.term} or later",
                    status.applied,
                )
            return status.applied
        minimum = message.minimum
        if message.fresh:
            minimum = max(minimum, await self._read_index(message.deadline_s))
        if minimum > LogPosition():
            timeout_s = min(MAX_APPLY_WAIT_S, message.deadline_s)
            status = await group.wait_applied(instance, minimum, timeout_s)
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
        staleness_s = self.access.group.staleness_s(endpoint.instance)
        if staleness_s > message.max_staleness_s:
            raise ReplicaBehindError(
                f"{endpoint} has a staleness of {staleness_s:.3f} s, "
                f"expected at most {message.max_staleness_s:.3f} s",
                LogPosition(),
            )

    async def _write(self, message: Execute) -> StatementResult:
        access = self.access
        deadline = anyio.current_time() + message.deadline_s
        access.writable_term()
        access.check_new_work()
        async with access.slot(message) as slot:
            # The primary may have changed while the statement was queued.
            term = access.writable_term()
            access.check_new_work()
            done = await access.execute(message.sql, deadline, message.request_key)
            access.record_times(message, slot)
        return await access.confirm_write(done, term, deadline)
