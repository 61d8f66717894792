"""Keys of the proxies in the platform's store, and access to their values."""

from collections.abc import Callable

import msgspec
import structlog

from rosemaryward.decisions.errors import DocumentError
from rosemaryward.decisions.mirror import LeaseStore, StoredValue

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

log = structlog.get_logger(__name__)


class RecordSubscriber:
    """Passes changes under one key prefix to callbacks.

    Parameters
    ----------
    prefix : str
        Key prefix, removed from the keys that the callbacks get.
    on_written : callable
        Called with the key and the value; decodes the value.
    on_removed : callable
        Called with the key.
    """

    def __init__(
        self,
        prefix: str,
        on_written: Callable[[str, StoredValue], None],
        on_removed: Callable[[str], None],
    ) -> None:
        self.prefix = prefix
        self.on_written = on_written
        self.on_removed = on_removed

    def apply_write(self, stored: StoredValue) -> None:
        """Pass on a value; log one that cannot be decoded and treat it as removed."""
        name = stored.key.removeprefix(self.prefix)
        try:
            self.on_written(name, stored)
        except (DocumentError, msgspec.DecodeError) as error:
            log.warning(
                "store value cannot be decoded",
                key=stored.key,
                revision=stored.revision,
                error=str(error),
            )
            self.on_removed(name)

    def apply_removal(self, key: str) -> None:
        """Pass on the removal of a key."""
        self.on_removed(key.removeprefix(self.prefix))


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
