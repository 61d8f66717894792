"""Replicated log of a database group, as stored by one instance."""

from typing import NamedTuple

import msgspec

from rosemaryward.decisions.types import LogPosition

__all__ = ["Statement", "LogEntry", "Log"]


class Statement(msgspec.Struct, frozen=True, array_like=True):
    """A write in SQLite's dialect with the values that make its replay deterministic.

    Parameters
    ----------
    sql : str
    time_s : float
        Unix time in seconds that `NOW()` returns.
    first_id : int
        First AUTO_INCREMENT value that the write generated, 0 if none.
    """

    sql: str
    time_s: float
    first_id: int = 0


class LogEntry(msgspec.Struct, frozen=True, array_like=True):
    """One committed transaction; the first entry of a term has no statements."""

    term: int
    index: int
    statements: tuple[Statement, ...] = ()

    @property
    def position(self) -> LogPosition:
        """Term and index of the entry."""
        return LogPosition(self.term, self.index)


class ReceivedEntry(NamedTuple):
    """A log entry and the event loop's time in seconds when it was received."""

    entry: LogEntry
    received_at: float


class Log:
    """Log entries with consecutive indexes from 1."""

    __slots__ = ("received",)

    def __init__(self) -> None:
        self.received: list[ReceivedEntry] = []

    @property
    def last(self) -> LogPosition:
        """Position of the last entry."""
        return self.position_at(len(self.received))

    def position_at(self, index: int) -> LogPosition:
        """Return the position of the entry at `index`; index 0 precedes the first."""
        return self.received[index - 1].entry.position if index else LogPosition()

    def append(self, entry: LogEntry, now: float) -> None:
        """Append the next entry, received at the event loop's time `now`.

        Raises
        ------
        ValueError
            If the entry does not have the next index.
        """
        if entry.index != len(self.received) + 1:
            raise ValueError(
                f"log index: expected {len(self.received) + 1}, got {entry.index}"
            )
        self.received.append(ReceivedEntry(entry, now))

    def truncate(self, index: int) -> None:
        """Discard all entries after `index`."""
        del self.received[index:]

    def contains(self, position: LogPosition) -> bool:
        """Return whether the log has an entry with this term and index."""
        known = position.index <= len(self.received)
        return known and self.position_at(position.index) == position

    def last_common(self, position: LogPosition) -> int:
        """Return the highest index at which a replica at `position` may match.

        Logs that share a position share all entries before it, so the replica
        repeats the request from the returned index until the positions match.
        """
        index = min(position.index, len(self.received))
        while index and self.position_at(index).term > position.term:
            index -= 1
        return index

    def entries_after(self, index: int, limit: int) -> list[LogEntry]:
        """Return at most `limit` entries after `index`."""
        return [item.entry for item in self.received[index : index + limit]]
