"""Names of the statements that are prepared on one connection to an endpoint."""

from collections import OrderedDict
from hashlib import blake2b

import msgspec

from rosemaryward.decisions.gateway.statements import PreparedStatement

__all__ = ["MAX_PREPARED_BYTES", "MAX_PREPARED_STATEMENTS", "PreparedNames"]

MAX_PREPARED_STATEMENTS = 512
MAX_PREPARED_BYTES = 2 << 20
"""Twice the longest message, so that every shape can be prepared."""
DIGEST_BYTES = 16
_ACCESS_MARK = {False: b"r", True: b"w"}


class _Entry(msgspec.Struct, frozen=True):
    """Prepared statement with the bytes of its shape."""

    name: str
    size: int


class PreparedNames:
    """Names under which a connection has prepared its most recently used statements.

    A name is one word that says nothing about the statement, because a shape may
    contain blanks. It is never used for a second statement. Statements are kept as
    digests, since the shapes on all connections would take much memory.

    Parameters
    ----------
    max_statements : int, optional
        Statements that are prepared at the same time.
    max_bytes : int, optional
        Bytes of their shapes together; a longer shape is prepared alone.

    Attributes
    ----------
    size : int
        Bytes of the shapes of all prepared statements.
    """

    __slots__ = ("_entries", "_last_number", "max_bytes", "max_statements", "size")

    def __init__(
        self,
        max_statements: int = MAX_PREPARED_STATEMENTS,
        max_bytes: int = MAX_PREPARED_BYTES,
    ) -> None:
        self.max_statements = max_statements
        self.max_bytes = max_bytes
        self.size = 0
        self._entries: OrderedDict[bytes, _Entry] = OrderedDict()
        self._last_number = 0

    def __len__(self) -> int:
        return len(self._entries)

    def find(self, prepared: PreparedStatement) -> str | None:
        """Return the name of a prepared statement, or None if it has none."""
        key = _digest(prepared)
        entry = self._entries.get(key)
        if entry is None:
            return None
        self._entries.move_to_end(key)
        return entry.name

    def next_name(self) -> str:
        """Return a name that has not been used on the connection."""
        self._last_number += 1
        return f"s{self._last_number}"

    def add(self, name: str, prepared: PreparedStatement) -> None:
        """Record that the endpoint has prepared a statement."""
        entry = _Entry(name, len(prepared.shape))
        self._entries[_digest(prepared)] = entry
        self.size += entry.size

    def evict_for(self, prepared: PreparedStatement) -> str | None:
        """Remove the least recently used statement if another one has no room.

        Returns
        -------
        str or None
            Name to deallocate at the endpoint, None if there is room.
        """
        has_room = (
            len(self._entries) < self.max_statements
            and self.size + len(prepared.shape) <= self.max_bytes
        )
        if has_room or not self._entries:
            return None
        _, entry = self._entries.popitem(last=False)
        self.size -= entry.size
        return entry.name

    def clear(self) -> None:
        """Forget all statements, which the endpoint has forgotten too."""
        self._entries.clear()
        self.size = 0


def _digest(prepared: PreparedStatement) -> bytes:
    data = _ACCESS_MARK[prepared.writes] + prepared.shape.encode()
    return blake2b(data, digest_size=DIGEST_BYTES).digest()
