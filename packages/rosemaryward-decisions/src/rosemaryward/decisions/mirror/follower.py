"""Mirrors that follow another proxy instead of the store.

In a large fleet a few readers of each failure domain watch the store. A change then
crosses the link between regions once for each reader, however many proxies follow.
"""

from collections import deque
from collections.abc import Awaitable, Callable
from typing import Protocol

import anyio
import msgspec
import structlog

from rosemaryward.decisions.errors import PeerError
from rosemaryward.decisions.mirror.store import (
    Changes,
    HistoryLostError,
    Listing,
    StoredValue,
)

__all__ = [
    "ChangeHistory",
    "ChangesReply",
    "ChangesRequest",
    "FollowerSource",
    "MirrorSource",
    "NotLoadedError",
]

EVENT_LIMIT = 4000
FEED_WAIT_S = 5.0  # so long does a reader keep a request without changes
LOAD_WAIT_S = 3.0  # for a reader that starts at the same time
READ_AGE_LIMIT_S = 4.0  # a reader whose last read is older has lost the store

log = structlog.get_logger(__name__)


class NotLoadedError(PeerError):
    """The mirror that is asked knows nothing yet."""


class ChangesRequest(msgspec.Struct, frozen=True, tag="changes"):
    """Tell what changed in the store.

    Parameters
    ----------
    after : int
        Store revision up to which all changes are known, 0 for none.
    wait_s : float
        Longest wait for a change.
    """

    after: int
    wait_s: float


class ChangesReply(msgspec.Struct, frozen=True, tag="changed"):
    """What changed, as far as the answering proxy knows.

    Parameters
    ----------
    written : list of StoredValue
    removed : list of tuple of str and int
        Key and revision of each removal.
    revision : int
        Store revision up to which the answer is complete.
    complete : bool
        Whether `written` has all values, because not all changes are known.
    age_s : float
        Time since the answering proxy sent its last read of the store that was
        answered.
    """

    written: list[StoredValue]
    removed: list[tuple[str, int]]
    revision: int
    complete: bool
    age_s: float


class ChangeHistory:
    """Values of a mirror and its last changes, for proxies that follow it.

    Attributes
    ----------
    values : dict of str to StoredValue
    revision : int
        Revision up to which all changes are known, 0 before the first listing.
    covered_from : int
        Revision after which all changes are kept.
    """

    def __init__(self) -> None:
        self.values: dict[str, StoredValue] = {}
        self.events: deque[tuple[int, str]] = deque()
        self.revision = 0
        self.covered_from = 0
        self.advanced = anyio.Event()

    def record_write(self, stored: StoredValue) -> None:
        """Note a written value."""
        self.values[stored.key] = stored
        self._append(stored.revision, stored.key)

    def record_removal(self, key: str, revision: int) -> None:
        """Note a removal."""
        self.values.pop(key, None)
        self._append(revision, key)

    def advance(self, revision: int) -> None:
        """Note that all changes up to a revision are known."""
        if revision <= self.revision:
            return
        if not self.revision:
            self.covered_from = revision
        self.revision = revision
        self.advanced.set()
        self.advanced = anyio.Event()

    def _append(self, revision: int, key: str) -> None:
        self.events.append((revision, key))
        if len(self.events) > EVENT_LIMIT:
            self.covered_from = max(self.covered_from, self.events.popleft()[0])

    async def answer(self, request: ChangesRequest, age_s: float) -> ChangesReply:
        """Return the changes after a revision; raises `NotLoadedError`."""
        with anyio.move_on_after(request.wait_s):
            while self.revision <= request.after:
                await self.advanced.wait()
        if not self.revision:
            raise NotLoadedError("nothing is known of the store yet")
        if request.after < self.covered_from:
            written = list(self.values.values())
            return ChangesReply(written, [], self.revision, True, age_s)
        changed = {key: at for at, key in self.events if at > request.after}
        written = [self.values[key] for key in changed if key in self.values]
        removed = [(key, at) for key, at in changed.items() if key not in self.values]
        return ChangesReply(written, removed, self.revision, False, age_s)


class MirrorSource(Protocol):
    """Where a mirror reads; every method raises `StoreError` without an answer."""

    async def list(self, prefix: str) -> Listing:
        """Return all values whose keys start with `prefix`."""

    async def watch(self, prefix: str, after: int, wait_s: float) -> Changes:
        """Return changes after a revision; raises `HistoryLostError`."""


class FollowerSource:
    """The store, or one of its readers where there are any.

    Parameters
    ----------
    store : MirrorSource
    readers : callable
        Returns a function for each reader that asks it for changes and raises
        `PeerError`; none if this process reads the store.
    """

    def __init__(
        self,
        store: MirrorSource,
        readers: Callable[
            [], Awaitable[list[Callable[[ChangesRequest], Awaitable[ChangesReply]]]]
        ],
    ) -> None:
        self.store = store
        self.readers = readers

    async def list(self, prefix: str) -> Listing:
        """Return all values whose keys start with `prefix`."""
        reply = await self._ask(ChangesRequest(0, LOAD_WAIT_S))
        if reply is None:
            return await self.store.list(prefix)
        values = [value for value in reply.written if value.key.startswith(prefix)]
        return Listing(values, reply.revision)

    async def watch(self, prefix: str, after: int, wait_s: float) -> Changes:
        """Return changes after a revision; raises `HistoryLostError`."""
        reply = await self._ask(ChangesRequest(after, min(wait_s, FEED_WAIT_S)))
        if reply is None:
            return await self.store.watch(prefix, after, min(wait_s, FEED_WAIT_S))
        if reply.complete:
            raise HistoryLostError(f"the reader knows no changes after {after}")
        return Changes(reply.written, reply.removed, max(reply.revision, after))

    async def _ask(self, request: ChangesRequest) -> ChangesReply | None:
        """Return the answer of the first reader that is in touch with the store."""
        for ask in await self.readers():
            try:
                reply = await ask(request)
            except PeerError as error:
                log.info("reader did not answer", error=str(error))
                continue
            if reply.age_s <= READ_AGE_LIMIT_S:
                return reply
        return None
