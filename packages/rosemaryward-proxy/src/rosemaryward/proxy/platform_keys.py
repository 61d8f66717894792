"""Keys of the proxies in the platform's store, and readers of their values."""

from collections.abc import Callable

import msgspec
import structlog

from rosemaryward.decisions.errors import DocumentError
from rosemaryward.decisions.leadership.records import GroupRecord
from rosemaryward.decisions.mirror import LeaseStore, StoredValue

__all__ = [
    "AGREED_PREFIX",
    "ALIVE_PREFIX",
    "DUTY_KEY",
    "GROUP_PREFIX",
    "MEMBER_PREFIX",
    "GroupRecordWriter",
    "RecordSubscriber",
]

AGREED_PREFIX = "rosemaryward/"  # read at a fixed interval, so it stays small
MEMBER_PREFIX = AGREED_PREFIX + "members/"
ALIVE_PREFIX = AGREED_PREFIX + "alive/"
GROUP_PREFIX = AGREED_PREFIX + "groups/"
DUTY_KEY = "rosemaryward-duty"

log = structlog.get_logger(__name__)


class RecordSubscriber:
    """Hands the decoded values of one prefix to a consumer.

    Parameters
    ----------
    prefix : str
    written, removed : callable
        Called with the key without its prefix; `written` also with the value.
    """

    def __init__(
        self,
        prefix: str,
        written: Callable[[str, StoredValue], None],
        removed: Callable[[str], None],
    ) -> None:
        self.prefix = prefix
        self.on_written = written
        self.on_removed = removed

    def apply_write(self, stored: StoredValue) -> None:
        """Take over a value; one that cannot be read is logged and left out."""
        name = stored.key.removeprefix(self.prefix)
        try:
            self.on_written(name, stored)
        except (DocumentError, msgspec.DecodeError) as error:
            log.warning(
                "unreadable entry",
                key=stored.key,
                revision=stored.revision,
                error=str(error),
            )
            self.on_removed(name)

    def apply_removal(self, key: str) -> None:
        """Forget a value."""
        self.on_removed(key.removeprefix(self.prefix))


class GroupRecordWriter:
    """Writes group records to the store.

    Parameters
    ----------
    store : LeaseStore
    """

    def __init__(self, store: LeaseStore) -> None:
        self.store = store

    async def write(self, group: str, record: GroupRecord, expected: int) -> int:
        """Return the new revision; raises `ConflictError` and `StoreError`."""
        value = msgspec.json.encode(record)
        return await self.store.write(GROUP_PREFIX + group, value, expected)
