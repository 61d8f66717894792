"""Audit log of an environment in the store.

The log is a ring buffer of `ENTRIES_KEPT` keys, since the store cannot delete by age.
The key with sequence 0 contains the newest sequence number. That number is a hint
only and may be too low; a writer that finds a newer entry continues after it.
"""

from collections.abc import Callable
from datetime import UTC, datetime

import msgspec

from rosemaryward.decisions.decoding import decode_json
from rosemaryward.decisions.document.stored import audit_key
from rosemaryward.decisions.errors import ConflictError, StoreError
from rosemaryward.decisions.interfaces import Store, VersionedValue

__all__ = ["ENTRIES_KEPT", "AuditEntry", "AuditLog", "utc_now"]

ENTRIES_KEPT = 1000
APPEND_ATTEMPTS = 20
HINT_SEQUENCE = 0


class AuditEntry(msgspec.Struct, frozen=True, kw_only=True):
    """A change or command of an operator.

    Parameters
    ----------
    sequence : int
        Number of the entry, counted from 1 without reuse.
    at : str
        Time of the entry, ISO 8601 in UTC.
    actor : str
        Name of the operator's token.
    action : str
        Such as ``config.apply`` or ``drain``.
    detail : str
    """

    sequence: int
    at: str
    actor: str
    action: str
    detail: str = ""


def utc_now() -> str:
    """Return the current time as ISO 8601 in UTC."""
    return datetime.now(UTC).isoformat(timespec="milliseconds")


class AuditLog:
    """Appends entries to the log and reads them.

    Parameters
    ----------
    store : Store
    environment : str
    now : callable
        Returns the time of a new entry.
    """

    __slots__ = ("environment", "now", "store")

    def __init__(
        self, store: Store, environment: str, now: Callable[[], str] = utc_now
    ) -> None:
        self.store = store
        self.environment = environment
        self.now = now

    def entry_key(self, sequence: int) -> str:
        """Return the key of an entry, one of `ENTRIES_KEPT` used in rotation."""
        return audit_key(self.environment, 1 + (sequence - 1) % ENTRIES_KEPT)

    async def append(self, actor: str, action: str, detail: str = "") -> AuditEntry:
        """Append an entry.

        Raises
        ------
        StoreError
            If the store did not confirm the entry.
        """
        for find_newest in (self._hinted_sequence, self._newest_sequence):
            sequence = await find_newest()
            for _ in range(APPEND_ATTEMPTS):
                sequence += 1
                entry = AuditEntry(
                    sequence=sequence,
                    at=self.now(),
                    actor=actor,
                    action=action,
                    detail=detail,
                )
                if await self._put(entry):
                    await self._update_hint(sequence)
                    return entry
        raise StoreError(
            f"audit log: no free sequence after {2 * APPEND_ATTEMPTS} attempts"
        )

    async def entries(self, limit: int = 100) -> list[AuditEntry]:
        """Return up to `limit` entries, newest first."""
        prefix = audit_key(self.environment, 0).rpartition("/")[0] + "/"
        hint_key = audit_key(self.environment, HINT_SEQUENCE)
        decoded = [
            _decode(value)
            for value in await self.store.list(prefix)
            if value.key != hint_key
        ]
        found = [entry for entry in decoded if entry is not None]
        found.sort(key=lambda entry: entry.sequence, reverse=True)
        return found[: min(limit, ENTRIES_KEPT)]

    async def _hinted_sequence(self) -> int:
        value = await self.store.get(audit_key(self.environment, HINT_SEQUENCE))
        return 0 if value is None else _decode_hint(value)

    async def _newest_sequence(self) -> int:
        """Return the newest sequence among all entries, for a hint that is too low."""
        newest = await self.entries(limit=1)
        return newest[0].sequence if newest else 0

    async def _put(self, entry: AuditEntry) -> bool:
        """Write an entry; return False if its key has a newer or equal one."""
        key = self.entry_key(entry.sequence)
        present = await self.store.get(key)
        found = None if present is None else _decode(present)
        if found is not None and found.sequence >= entry.sequence:
            return False
        version = 0 if present is None else present.version
        try:
            await self.store.compare_and_swap(key, msgspec.json.encode(entry), version)
        except ConflictError:
            return False
        return True

    async def _update_hint(self, sequence: int) -> None:
        key = audit_key(self.environment, HINT_SEQUENCE)
        present = await self.store.get(key)
        if present is not None and _decode_hint(present) >= sequence:
            return
        version = 0 if present is None else present.version
        try:
            await self.store.compare_and_swap(key, str(sequence).encode(), version)
        except ConflictError:
            return  # another writer has updated the hint


def _decode(value: VersionedValue) -> AuditEntry | None:
    """Return an entry, None if it cannot be decoded."""
    try:
        return decode_json(value.value, AuditEntry)
    except msgspec.DecodeError:
        return None


def _decode_hint(value: VersionedValue) -> int:
    """Return the hinted sequence, 0 if it cannot be decoded."""
    try:
        return decode_json(value.value, int)
    except msgspec.DecodeError:
        return 0
