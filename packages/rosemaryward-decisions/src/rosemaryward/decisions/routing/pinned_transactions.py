"""Transactions at one instance, each pinned to a connection."""

import anyio

from rosemaryward.decisions.errors import (
    NotRunError,
    OutcomeUnknownError,
    OverloadError,
    StatementError,
)
from rosemaryward.decisions.interfaces import StatementConnection
from rosemaryward.decisions.messages import EndTransaction, Execute, StatementResult
from rosemaryward.decisions.routing.access import CONNECTION_WAIT_S, EndpointAccess
from rosemaryward.decisions.routing.interfaces import HeldSlot
from rosemaryward.decisions.routing.request_keys import (
    ROLLBACK_ERROR_CODES,
    insert_request_key,
)
from rosemaryward.decisions.routing.transactions import (
    OpenTransaction,
    TransactionTable,
)

__all__ = ["PinnedTransactions"]

REPEATED_REQUEST_ERROR_CODE = 1062  # ER_DUP_ENTRY
HELD_SLOTS_RETRY_AFTER_S = 0.05


class PinnedTransactions:
    """Runs the transactions of entry proxies at one instance.

    Parameters
    ----------
    access : EndpointAccess
    """

    __slots__ = ("access", "table")

    def __init__(self, access: EndpointAccess) -> None:
        self.access = access
        self.table = TransactionTable()

    def __len__(self) -> int:
        return len(self.table)

    async def run(self, sender: str, message: Execute) -> StatementResult:
        """Run a statement of a transaction; the first one opens it.

        Raises
        ------
        NotRunError
            If the transaction is not open any more.
        """
        deadline = anyio.current_time() + message.deadline_s
        transaction = self.table.get(sender, message.transaction)
        if transaction is None:
            if not message.begins_transaction:
                raise NotRunError("the transaction was rolled back")
            transaction = await self._begin(sender, message)
        async with transaction.lock:
            self._require_open(transaction)
            transaction.has_written |= message.is_write
            transaction.used_at = anyio.current_time()
            return await self._run_on_connection(transaction, message, deadline)

    async def end(self, sender: str, message: EndTransaction) -> StatementResult:
        """Commit or roll back a transaction."""
        transaction = self.table.get(sender, message.transaction)
        if transaction is None:
            raise NotRunError("the transaction was rolled back")
        async with transaction.lock:
            if message.commit:
                return await self._commit(transaction, message.deadline_s)
            await self.roll_back(transaction)
            return StatementResult()

    async def roll_back(self, transaction: OpenTransaction) -> None:
        """Roll back a transaction and release its connection and slot."""
        if self.table.remove(transaction):
            await self._release(transaction)

    def _require_open(self, transaction: OpenTransaction) -> None:
        registered = self.table.get(transaction.sender, transaction.name)
        if registered is not transaction:
            raise NotRunError("the transaction was rolled back")

    async def _begin(self, sender: str, message: Execute) -> OpenTransaction:
        access = self.access
        access.check_new_work()
        term = access.writable_term()
        connection = await access.connections.take(CONNECTION_WAIT_S)
        try:
            await connection.execute("BEGIN", CONNECTION_WAIT_S)
            if message.request_key:
                await _reject_repeat(connection, message)
        except BaseException as error:
            with anyio.CancelScope(shield=True):
                await access.connections.give_back(connection, used_by_transaction=True)
            if isinstance(error, OutcomeUnknownError):
                raise NotRunError(f"the transaction did not begin: {error}") from error
            raise
        transaction = OpenTransaction(
            sender=sender,
            name=message.transaction,
            connection=connection,
            term=term,
            used_at=anyio.current_time(),
            lock=anyio.Lock(),
        )
        self.table.add(transaction)
        return transaction

    async def _run_on_connection(
        self, transaction: OpenTransaction, message: Execute, deadline: float
    ) -> StatementResult:
        if transaction.slot is not None:
            done = await self._execute(transaction, message, deadline)
        elif message.is_write:
            transaction.slot = await self._acquire_slot(message)
            done = await self._execute(transaction, message, deadline)
        else:
            async with self.access.slot(message):
                done = await self._execute(transaction, message, deadline)
        if not self.access.holds_read_lease():
            # The answer may miss writes that a newer primary has acknowledged.
            await self.roll_back(transaction)
            raise NotRunError("the transaction was rolled back: no majority")
        return done

    async def _acquire_slot(self, message: Execute) -> HeldSlot:
        """Acquire a slot until the transaction ends; one stays for other statements."""
        if self.table.held_slots() >= max(1, self.access.admission.slots - 1):
            raise OverloadError(
                "open transactions hold all slots available to transactions",
                HELD_SLOTS_RETRY_AFTER_S,
            )
        slot = await self.access.slot(message).__aenter__()
        slot.samples_latency = False
        return slot

    async def _execute(
        self, transaction: OpenTransaction, message: Execute, deadline: float
    ) -> StatementResult:
        timeout_s = max(0.0, deadline - anyio.current_time())
        try:
            return await transaction.connection.execute(message.sql, timeout_s)
        except (NotRunError, OutcomeUnknownError) as error:
            # The instance ended the transaction or the connection is lost. A further
            # statement would run outside the transaction.
            await self.roll_back(transaction)
            reason = f"the transaction was rolled back: {error}"
            raise NotRunError(reason) from error
        except StatementError as error:
            if error.code in ROLLBACK_ERROR_CODES:
                await self.roll_back(transaction)
            raise

    async def _commit(
        self, transaction: OpenTransaction, deadline_s: float
    ) -> StatementResult:
        self._require_open(transaction)
        deadline = anyio.current_time() + deadline_s
        if not transaction.has_written:
            await self.roll_back(transaction)
            return StatementResult()
        if self.access.writable_term() != transaction.term:
            await self.roll_back(transaction)
            raise NotRunError("the transaction was rolled back: the primary changed")
        self.table.remove(transaction)
        try:
            done = await transaction.connection.execute("COMMIT", deadline_s)
        except StatementError as error:
            if error.code in ROLLBACK_ERROR_CODES:
                raise
            raise OutcomeUnknownError(f"commit failed: {error}") from error
        except NotRunError as error:
            raise NotRunError(f"the transaction was rolled back: {error}") from error
        finally:
            await self._release(transaction)
        return await self.access.confirm_write(done, transaction.term, deadline)

    async def _release(self, transaction: OpenTransaction) -> None:
        """Reset the connection, then free the slot."""
        with anyio.CancelScope(shield=True):
            await self.access.connections.give_back(
                transaction.connection, used_by_transaction=True
            )
        if transaction.slot is not None:
            transaction.slot.release(completed=False)
            transaction.slot = None


async def _reject_repeat(connection: StatementConnection, message: Execute) -> None:
    """Raise `StatementError` if the transaction's request key is recorded already."""
    recorded_answer = await insert_request_key(
        connection, message.request_key, message.deadline_s
    )
    if recorded_answer is not None:
        raise StatementError(
            REPEATED_REQUEST_ERROR_CODE,
            f"request key {message.request_key!r} has already been committed",
        )
