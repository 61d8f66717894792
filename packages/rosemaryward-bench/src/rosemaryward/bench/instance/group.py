"""Term, role and log of one instance in its database group."""

import asyncio
import time
from collections.abc import Callable, Iterable

import anyio
import msgspec

from rosemaryward.bench.instance.database import Database, Result
from rosemaryward.bench.instance.errors import not_run
from rosemaryward.bench.instance.log import Log, LogEntry, Statement
from rosemaryward.decisions.interfaces import InstanceRole, InstanceStatus
from rosemaryward.decisions.types import LogPosition

__all__ = ["Counters", "Group"]

MAX_APPLIED_ENTRIES = 200  # applied without yielding to other tasks


class Counters(msgspec.Struct):
    """Operations of an instance; reads within a transaction are not counted."""

    reads_as_primary: int = 0
    reads_as_replica: int = 0
    commits: int = 0


class Group:
    """State of one instance in its group, as the control statements see it.

    All methods that change state run on one event loop without awaiting, so a commit
    and a change of the term never interleave.

    Parameters
    ----------
    database : Database
    term : int
        Term at the start.
    role : InstanceRole
        Role at the start.
    lag_s : float
        Delay in seconds between receiving and applying an entry at a replica.
    """

    def __init__(
        self, database: Database, term: int, role: InstanceRole, lag_s: float
    ) -> None:
        self.database = database
        self.term = term
        self.role = role
        self.lag_s = lag_s
        self.leaving = False
        self.proposer = ""
        self.primary: tuple[str, int] | None = None
        self.log = Log()
        self.applied = LogPosition()
        self.counters = Counters()
        self.changed = asyncio.Event()
        if role is InstanceRole.PRIMARY:
            self.append(())

    def status(self) -> InstanceStatus:
        """Return what ``SHOW GROUP STATUS`` reports."""
        return InstanceStatus(
            self.term, self.role, self.log.last, self.applied, self.leaving
        )

    def notify(self) -> None:
        """Wake all tasks that wait for a change of the state."""
        self.changed.set()
        self.changed = asyncio.Event()

    async def wait_until(self, condition: Callable[[], bool], timeout_s: float) -> None:
        """Return when `condition` holds or `timeout_s` seconds have passed."""
        with anyio.move_on_after(timeout_s):
            while not condition():
                await self.changed.wait()

    def require_primary(self) -> None:
        """Raise an error unless the instance is the primary."""
        if self.role is not InstanceRole.PRIMARY:
            raise not_run(f"the instance is {self.role.value} in term {self.term}")

    def count_read(self) -> None:
        """Count a read outside a transaction."""
        if self.role is InstanceRole.REPLICA:
            self.counters.reads_as_replica += 1
        else:
            self.counters.reads_as_primary += 1

    def write_now(self, sql: str) -> Result:
        """Run a write, commit it as its own transaction and append it to the log."""
        self.require_primary()
        result, executed = self.database.write_now(sql, self.wall_time())
        self.append(item.statement for item in executed)
        return result

    def append(self, statements: Iterable[Statement]) -> LogPosition:
        """Append a transaction that the primary has committed to the log."""
        entry = LogEntry(self.term, self.log.last.index + 1, tuple(statements))
        self.log.append(entry, anyio.current_time() if entry.statements else 0.0)
        self.applied = entry.position
        self.counters.commits += 1
        self.notify()
        return entry.position

    def raise_term(self, expected: int, new: int, proposer: str) -> bool:
        """Fence the instance in term `new` if its term is `expected`.

        A repeated request of the same proposer succeeds again.
        """
        if self.term == new and self.proposer == proposer:
            return True
        if self.term != expected or new <= expected:
            return False
        self.change_role(new, InstanceRole.FENCED, None)
        self.proposer = proposer
        return True

    def open_writes(self, term: int) -> bool:
        """Become the primary of `term`."""
        if self.term != term:
            return False
        if self.role is InstanceRole.PRIMARY:
            return True
        if self.role is not InstanceRole.FENCED:
            return False
        self.apply_until(self.log.last.index)
        self.role = InstanceRole.PRIMARY
        self.append(())
        return True

    def follow(self, term: int, host: str, port: int) -> bool:
        """Become a replica of the primary of `term`."""
        if term < self.term:
            return False
        if term == self.term and self.role is InstanceRole.PRIMARY:
            return False
        self.change_role(term, InstanceRole.REPLICA, (host, port))
        return True

    def change_role(
        self, term: int, role: InstanceRole, primary: tuple[str, int] | None
    ) -> None:
        """Set term and role; open transactions of an earlier term cannot commit."""
        if term != self.term:
            self.proposer = ""
        self.term, self.role, self.primary = term, role, primary
        self.notify()

    def receive(self, entries: Iterable[LogEntry]) -> None:
        """Append entries that this replica has pulled from its primary."""
        now = anyio.current_time()
        for entry in entries:
            self.log.append(entry, now)
        self.notify()

    def discard_after(self, index: int) -> None:
        """Remove the entries after `index`, which the primary does not have.

        If one of them has been applied, the database is rebuilt from the log.
        """
        self.log.truncate(index)
        if self.applied.index > index:
            self.database.reset()
            self.applied = LogPosition()
            self.apply_until(index)
        self.notify()

    def apply_until(self, index: int) -> None:
        """Apply all entries up to `index`."""
        for item in self.log.received[self.applied.index : index]:
            self.database.apply(item.entry)
            self.applied = item.entry.position

    async def run_applier(self) -> None:
        """Apply received entries once their apply lag has passed, until cancelled."""
        while True:
            delay_s = self.next_delay_s()
            if delay_s > 0:
                changed = self.changed
                with anyio.move_on_after(delay_s):
                    await changed.wait()
                continue
            last = min(self.applied.index + MAX_APPLIED_ENTRIES, self.due_index())
            self.apply_until(last)
            self.notify()
            await asyncio.sleep(0)

    def next_delay_s(self) -> float:
        """Return the seconds until the next entry is due, infinity if there is none."""
        if self.applied.index >= self.log.last.index:
            return float("inf")
        received_at = self.log.received[self.applied.index].received_at
        return received_at + self.lag_s - anyio.current_time()

    def due_index(self) -> int:
        """Return the index of the last entry whose apply lag has passed."""
        due = anyio.current_time() - self.lag_s
        index = self.applied.index
        while (
            index < self.log.last.index and self.log.received[index].received_at <= due
        ):
            index += 1
        return index

    def wall_time(self) -> float:
        """Return the Unix time in seconds that a statement sees as the current time."""
        return time.time()
