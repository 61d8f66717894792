"""Directory of the newest known primary of each database."""

from collections.abc import Callable

from rosemaryward.decisions.hashing import stable_hash
from rosemaryward.decisions.messages import PrimaryRecord

__all__ = ["PrimaryDirectory"]

MAX_DATABASES = 100_000
MAX_NAME_CHARS = 255


class PrimaryDirectory:
    """Primary records by database; the record of the higher term wins.

    Two records of one term cannot both come from a promotion. The record with
    the greater instance name wins in that case, so that all directories agree.
    """

    __slots__ = ("_callbacks", "_records", "digest")

    def __init__(self) -> None:
        self.digest = 0
        self._records: dict[str, PrimaryRecord] = {}
        self._callbacks: list[Callable[[PrimaryRecord], None]] = []

    def __len__(self) -> int:
        return len(self._records)

    def get(self, database: str) -> PrimaryRecord | None:
        """Return the newest record of a database, None if there is none."""
        return self._records.get(database)

    def records(self) -> list[PrimaryRecord]:
        """Return the newest record of every database."""
        return list(self._records.values())

    def subscribe(self, callback: Callable[[PrimaryRecord], None]) -> None:
        """Call `callback` with each record that replaces an older one or is new."""
        self._callbacks.append(callback)

    def merge(self, record: PrimaryRecord) -> bool:
        """Store the record if it is newer; return whether it was stored."""
        known = self._records.get(record.database)
        if max(len(record.database), len(record.instance)) > MAX_NAME_CHARS:
            return False
        if known is None:
            if not record.database or len(self._records) >= MAX_DATABASES:
                return False
        elif (record.term, record.instance) <= (known.term, known.instance):
            return False
        else:
            self.digest ^= _digest(known)
        self._records[record.database] = record
        self.digest ^= _digest(record)
        for callback in self._callbacks:
            callback(record)
        return True


def _digest(record: PrimaryRecord) -> int:
    return stable_hash(record.database, str(record.term), record.instance)
