"""Mirrors that follow a reader, which is another proxy, instead of the store.

In a large fleet, a few readers in each failure domain watch the store. A change then
crosses the link between regions once for each reader, however many proxies follow it.

A reader may lose the store, stop or fall behind while its followers wait for it. It
ends their waits when its last read of the store is too old, and a follower leaves a
reader that gives no reply or that left it behind what another one has read.
"""

import math
from collections import deque
from collections.abc import Awaitable, Callable
from typing import Annotated, Protocol

import anyio
import msgspec
import structlog

from rosemaryward.decisions.clock import boot_time_s
from rosemaryward.decisions.errors import PeerError
from rosemaryward.decisions.mirror.reader_failures import ReaderFailures
from rosemaryward.decisions.mirror.store import (
    Changes,
    HistoryLostError,
    Listing,
    StoredValue,
    generation_of,
)
from rosemaryward.decisions.mirror.timing import READER_MAX_READ_AGE_S
from rosemaryward.decisions.types import Count

__all__ = [
    "ChangeHistory",
    "ChangesReply",
    "ChangesRequest",
    "FollowerSource",
    "MirrorSource",
    "NotLoadedError",
    "Reader",
]

HISTORY_MAX_CHANGES = 4000
WATCH_WAIT_LIMIT_S = 5.0  # longest wait for changes that a follower requests
READER_LOAD_WAIT_S = 3.0  # lets a reader that starts at the same time load
FIRST_READ_POLL_S = 0.25
STORE_SOURCE = "store"  # named in log lines where a reader could be

log = structlog.get_logger(__name__)


class NotLoadedError(PeerError):
    """The mirror that received the request has not loaded the store yet."""


class ChangesRequest(msgspec.Struct, frozen=True, tag="changes"):
    """Request for the changes of the store after a revision.

    Parameters
    ----------
    after : int
        Store revision up to which all changes are known, 0 for none.
    wait_s : float
        Longest wait for a change, in seconds.
    """

    after: Count
    wait_s: Annotated[float, msgspec.Meta(ge=0.0, le=WATCH_WAIT_LIMIT_S)]


class ChangesReply(msgspec.Struct, frozen=True, tag="changed"):
    """Changes of the store that the answering proxy knows.

    Parameters
    ----------
    written : list of StoredValue
        Written values, or all values if `complete`.
    removed : list of tuple of str and int
        Key and store revision of each removal.
    revision : int
        Store revision up to which the reply includes all changes.
    complete : bool
        Whether `written` has all values, because some changes are no longer known.
    age_s : float
        Seconds since the answering proxy sent its last read that the store answered.
    """

    written: list[StoredValue]
    removed: list[tuple[str, Count]]
    revision: Count
    complete: bool
    age_s: float


class ChangeHistory:
    """Values and recent changes of a mirror, for proxies that follow it.

    Attributes
    ----------
    values : dict of str to StoredValue
        Present values by key.
    changes : deque of tuple of int and str
        Store revision and key of each recent change, oldest first.
    revision : int
        Store revision up to which all changes are known, 0 before the first listing.
    complete_after : int
        Store revision after which `changes` has all changes.
    advanced : anyio.Event
        Set, then replaced, whenever `revision` grows.
    max_read_age_s : float
        Age of the last read of the store above which followers are told to leave, in
        seconds.
    """

    def __init__(self) -> None:
        self.values: dict[str, StoredValue] = {}
        self.changes: deque[tuple[int, str]] = deque()
        self.revision = 0
        self.complete_after = 0
        self.advanced = anyio.Event()
        self.max_read_age_s = READER_MAX_READ_AGE_S

    def record_write(self, stored: StoredValue) -> None:
        """Record a written value."""
        self.values[stored.key] = stored
        self._append(stored.revision, stored.key)

    def record_removal(self, key: str, revision: int) -> None:
        """Record the removal of a key."""
        self.values.pop(key, None)
        self._append(revision, key)

    def advance(self, revision: int) -> None:
        """Record that all changes up to a revision are known."""
        if revision <= self.revision:
            return
        if not self.revision or generation_of(revision) != generation_of(self.revision):
            # Followers may know keys that a restored store has lost.
            self.complete_after = revision
            self.changes = deque(c for c in self.changes if c[0] > revision)
        self.revision = revision
        self.advanced.set()
        self.advanced = anyio.Event()

    def _append(self, revision: int, key: str) -> None:
        """Add a change and drop the oldest one beyond the limit."""
        self.changes.append((revision, key))
        if len(self.changes) > HISTORY_MAX_CHANGES:
            self.complete_after = max(self.complete_after, self.changes.popleft()[0])

    async def answer(
        self, request: ChangesRequest, read_age_s: Callable[[], float]
    ) -> ChangesReply:
        """Wait for changes after the requested revision and return them.

        Parameters
        ----------
        request : ChangesRequest
            Revision and longest wait.
        read_age_s : callable
            Returns the seconds since the last read that the store answered, infinity
            before the first one. The wait ends when the read is too old.

        Raises
        ------
        NotLoadedError
            If the mirror has not loaded the store in time.
        """
        with anyio.move_on_after(request.wait_s):
            while self.revision <= request.after or math.isinf(read_age_s()):
                age_s = read_age_s()
                left_s = self.max_read_age_s - age_s
                if math.isinf(age_s):
                    left_s = FIRST_READ_POLL_S
                elif left_s < 0.0:
                    break
                with anyio.move_on_after(left_s):
                    await self.advanced.wait()
        age_s = read_age_s()
        if not self.revision:
            raise NotLoadedError("expected a loaded mirror, got one at revision 0")
        if request.after < self.complete_after:
            written = list(self.values.values())
            return ChangesReply(written, [], self.revision, True, age_s)
        changed = {
            key: revision for revision, key in self.changes if revision > request.after
        }
        written = [self.values[key] for key in changed if key in self.values]
        removed = [
            (key, revision)
            for key, revision in changed.items()
            if key not in self.values
        ]
        return ChangesReply(written, removed, self.revision, False, age_s)


class MirrorSource(Protocol):
    """Source of a mirror; every method raises `StoreError` without an answer."""

    async def list(self, prefix: str) -> Listing:
        """Return all values whose keys start with `prefix`."""

    async def watch(self, prefix: str, after: int, wait_s: float) -> Changes:
        """Return changes after a revision; raises `HistoryLostError`."""


class Reader:
    """Proxy that reads the store and passes its changes on.

    Parameters
    ----------
    name : str
        Name of the proxy.
    request_changes : callable
        Requests changes from it; raises `PeerError` without a reply.
    """

    __slots__ = ("name", "request_changes")

    def __init__(
        self,
        name: str,
        request_changes: Callable[[ChangesRequest], Awaitable[ChangesReply]],
    ) -> None:
        self.name = name
        self.request_changes = request_changes


class FollowerSource:
    """Source that asks a reader, and the store if no reader can answer.

    Parameters
    ----------
    store : MirrorSource
        Source to use without a reader.
    readers : callable
        Returns the readers in the order in which to ask them, none if this process
        reads the store.
    failures : ReaderFailures, optional
        Readers that are not asked, because they failed recently.
    clock : callable, optional
        Boot time in seconds.

    Attributes
    ----------
    selected : str
        Name of the reader asked last, `STORE_SOURCE` for the store, empty at first.
    request_scope : anyio.CancelScope or None
        Scope that cancels the running request to that reader.
    max_read_age_s : float
        Age of a reader's last read above which it is not followed, in seconds.
    """

    def __init__(
        self,
        store: MirrorSource,
        readers: Callable[[], Awaitable[list[Reader]]],
        failures: ReaderFailures | None = None,
        clock: Callable[[], float] = boot_time_s,
    ) -> None:
        self.store = store
        self.readers = readers
        self.failures = failures or ReaderFailures(clock)
        self.failures.listeners.append(self._leave)
        self.clock = clock
        self.selected = ""
        self.request_scope: anyio.CancelScope | None = None
        self.max_read_age_s = READER_MAX_READ_AGE_S

    async def list(self, prefix: str) -> Listing:
        """Return all values whose keys start with `prefix`."""
        reply = await self._request_changes(ChangesRequest(0, READER_LOAD_WAIT_S))
        if reply is None:
            sent_at = self.clock()
            listing = await self.store.list(prefix)
            return msgspec.structs.replace(listing, sent_at=sent_at)
        values = [value for value in reply.written if value.key.startswith(prefix)]
        return Listing(values, reply.revision)

    async def watch(self, prefix: str, after: int, wait_s: float) -> Changes:
        """Return changes after a revision; raises `HistoryLostError`."""
        reply = await self._request_changes(
            ChangesRequest(after, min(wait_s, WATCH_WAIT_LIMIT_S))
        )
        if reply is None:
            return await self.store.watch(
                prefix, after, min(wait_s, WATCH_WAIT_LIMIT_S)
            )
        if reply.complete:
            raise HistoryLostError(
                f"expected all changes after revision {after}, got all values from "
                "a reader that no longer has them"
            )
        return Changes(reply.written, reply.removed, max(reply.revision, after))

    async def _request_changes(self, request: ChangesRequest) -> ChangesReply | None:
        """Return the reply of the first reader that can reach the store, or None."""
        for reader in await self.readers():
            if self.failures.is_avoided(reader.name):
                continue
            self._select(reader.name, request)
            reply = await self._ask(reader, request)
            if reply is None:
                continue
            if reply.age_s <= self.max_read_age_s:
                return reply
            log.info(
                "reader lost the store",
                reader=reader.name,
                read_age_s=round(reply.age_s, 3),
                revision=reply.revision,
            )
        self._select(STORE_SOURCE, request)
        return None

    async def _ask(
        self, reader: Reader, request: ChangesRequest
    ) -> ChangesReply | None:
        """Return a reader's reply, None if it failed before its reply."""
        asked_at = self.clock()
        try:
            with anyio.CancelScope() as self.request_scope:
                return await reader.request_changes(request)
        except PeerError as error:
            log.info("reader did not answer", reader=reader.name, error=str(error))
            self.failures.record(reader.name, "no reply")
        except anyio.get_cancelled_exc_class():
            # Only a watch that is behind the store is cancelled before its end.
            log.info(
                "reader abandoned",
                reader=reader.name,
                after=request.after,
                waited_s=round(self.clock() - asked_at, 3),
            )
            self.failures.record(reader.name, "this proxy is behind the store")
            raise
        finally:
            self.request_scope = None
        return None

    def _leave(self, name: str) -> None:
        """Stop waiting for a reader that failed for another request."""
        if name == self.selected and self.request_scope is not None:
            self.request_scope.cancel()

    def _select(self, name: str, request: ChangesRequest) -> None:
        """Record the source of the next changes; log when it differs."""
        if name == self.selected:
            return
        log.info(
            "change source selected",
            source=name,
            previous=self.selected,
            after=request.after,
        )
        self.selected = name
