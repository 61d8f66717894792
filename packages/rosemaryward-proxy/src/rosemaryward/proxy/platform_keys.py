"""Keys of the proxies in the platform's store, and access to their values."""

from collections.abc import Callable

import msgspec

from rosemaryward.decisions.mirror import LeaseStore, RejectedValues, StoredValue

__all__ = [
    "FENCE_PREFIX",
    "FLEET_PREFIX",
    "LIVENESS_PREFIX",
    "FAILOVER_LOCK_KEY",
    "GROUP_PREFIX",
    "MEMBER_PREFIX",
    "READERS_KEY",
    "REPLICA_SET_PREFIX",
    "RecordSubscriber",
    "StoreRecordWriter",
]

FLEET_PREFIX = "rosemaryward/"  # read at a fixed interval, so it must stay small
MEMBER_PREFIX = FLEET_PREFIX + "members/"
LIVENESS_PREFIX = FLEET_PREFIX + "alive/"
GROUP_PREFIX = FLEET_PREFIX + "groups/"
REPLICA_SET_PREFIX = FLEET_PREFIX + "replica-sets/"
FENCE_PREFIX = "rosemaryward-fences/"
FAILOVER_LOCK_KEY = "rosemaryward-duty"
READERS_KEY = "rosemaryward-readers"


class RecordSubscriber:
    """Passes changes under one key prefix to callbacks.

    Another writer may leave any value under any key. An error that one value causes is
    recorded here, since it would otherwise end the mirror of the whole store.

    Parameters
    ----------
    prefix : str
        Key prefix, removed from the keys that the callbacks get. Without a slash at
        its end it is the only key.
    on_written : callable
        Called with the key and the value; decodes the value.
    on_removed : callable
        Called with the key.
    on_rejected : callable, optional
        Called with the key and a value that cannot be used; by default such a value
        is passed on as the removal of its key.
    rejected : RejectedValues, optional
        Records the values that cannot be used.
    """

    def __init__(
        self,
        prefix: str,
        on_written: Callable[[str, StoredValue], None],
        on_removed: Callable[[str], None],
        on_rejected: Callable[[str, StoredValue], None] | None = None,
        rejected: RejectedValues | None = None,
    ) -> None:
        self.prefix = prefix
        self.on_written = on_written
        self.on_removed = on_removed
        self.on_rejected = on_rejected or self._pass_on_as_removed
        self.rejected = rejected or RejectedValues()

    def apply_write(self, stored: StoredValue) -> None:
        """Pass on a value, or record that it cannot be used."""
        if not self._has_key(stored.key):
            return
        name = stored.key.removeprefix(self.prefix)
        try:
            self.on_written(name, stored)
        except Exception as error:
            self.rejected.record(self.prefix, stored.key, stored.revision, error)
            self._contain(stored.key, lambda: self.on_rejected(name, stored))

    def apply_removal(self, key: str) -> None:
        """Pass on the removal of a key."""
        if self._has_key(key):
            name = key.removeprefix(self.prefix)
            self._contain(key, lambda: self.on_removed(name))

    def _has_key(self, key: str) -> bool:
        """Return whether a key with the prefix belongs to this subscriber."""
        return self.prefix.endswith("/") or key == self.prefix

    def _contain(self, key: str, callback: Callable[[], None]) -> None:
        """Run a callback and record its error."""
        try:
            callback()
        except Exception as error:
            self.rejected.record(self.prefix, key, 0, error)

    def _pass_on_as_removed(self, name: str, stored: StoredValue) -> None:
        self.on_removed(name)


class StoreRecordWriter:
    """Writes one record for each group to the store.

    Parameters
    ----------
    store : LeaseStore
        Client of the platform's store.
    prefix : str
        Prefix of the keys; the name of the group follows.
    """

    def __init__(self, store: LeaseStore, prefix: str) -> None:
        self.store = store
        self.prefix = prefix

    async def write(self, group: str, record: msgspec.Struct, expected: int) -> int:
        """Write a record if its key has the expected revision.

        Parameters
        ----------
        group : str
            Name of the replication group.
        record : msgspec.Struct
            New value.
        expected : int
            Revision that the key must have, 0 if it must not exist.

        Returns
        -------
        int
            New revision.

        Raises
        ------
        ConflictError
            If the key has another revision.
        StoreError
            If the store does not answer.
        """
        value = msgspec.json.encode(record)
        return await self.store.write(self.prefix + group, value, expected)
