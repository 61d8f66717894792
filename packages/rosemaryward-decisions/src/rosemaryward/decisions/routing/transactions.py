"""Open transactions at an endpoint, each on its own connection."""

import anyio
import msgspec

from rosemaryward.decisions.interfaces import StatementConnection
from rosemaryward.decisions.routing.interfaces import HeldSlot

__all__ = ["OpenTransaction", "TransactionTable"]


class OpenTransaction(msgspec.Struct):
    """Open transaction of an entry proxy.

    Parameters
    ----------
    sender : str
        Host id of the entry proxy.
    name : str
        Name that is unique for the sender.
    connection : StatementConnection
    term : int
        Term in which the transaction began; it may only commit in this term.
    used_at : float
        Event-loop time in seconds of the last statement.
    lock : anyio.Lock
        Serializes the statements of the transaction.
    has_written : bool
        Whether a statement of the transaction was a write.
    slot : HeldSlot, optional
        Held from the first write to the end. A transaction that holds locks must
        not queue for a slot behind statements that wait for these locks.
    """

    sender: str
    name: str
    connection: StatementConnection
    term: int
    used_at: float
    lock: anyio.Lock
    has_written: bool = False
    slot: HeldSlot | None = None


class TransactionTable:
    """Transactions by entry proxy and name."""

    __slots__ = ("transactions",)

    def __init__(self) -> None:
        self.transactions: dict[tuple[str, str], OpenTransaction] = {}

    def __len__(self) -> int:
        return len(self.transactions)

    def add(self, transaction: OpenTransaction) -> None:
        """Add an open transaction."""
        self.transactions[transaction.sender, transaction.name] = transaction

    def get(self, sender: str, name: str) -> OpenTransaction | None:
        """Return an open transaction, None if there is none of that name."""
        return self.transactions.get((sender, name))

    def remove(self, transaction: OpenTransaction) -> bool:
        """Remove a transaction; return False if it was not in the table."""
        key = (transaction.sender, transaction.name)
        return self.transactions.pop(key, None) is not None

    def held_slots(self) -> int:
        """Return the number of slots that transactions hold."""
        return sum(t.slot is not None for t in self.transactions.values())

    def of_sender(self, sender: str) -> list[OpenTransaction]:
        """Return all transactions of one entry proxy."""
        return [t for t in self.transactions.values() if t.sender == sender]

    def idle_since(self, time: float) -> list[OpenTransaction]:
        """Return transactions without a statement since `time`, an event-loop time."""
        return [t for t in self.transactions.values() if t.used_at < time]
