"""Mirror of the store, kept current by one watch and checked by reads.

A watch can be silent while changes are made, and its connection can be silent for
good. A read of the confirmed prefix at a fixed interval shows both: it returns the
store's revision, which the watch must reach soon afterwards.
"""

from collections.abc import Awaitable, Callable, Mapping
from typing import Protocol

import anyio
import structlog

from rosemaryward.decisions.clock import boot_time_s
from rosemaryward.decisions.errors import StoreError
from rosemaryward.decisions.mirror.follower import ChangeHistory, MirrorSource
from rosemaryward.decisions.mirror.store import (
    Changes,
    HistoryLostError,
    Listing,
    StoredValue,
)

__all__ = ["StoreMirror", "Subscriber"]

EVERYTHING = ""
WATCH_WAIT_S = 20.0
CONFIRM_INTERVAL_S = 1.5
CATCH_UP_S = 0.5  # a watch that is further behind has missed changes
RETRY_PAUSE_S = 0.25

log = structlog.get_logger(__name__)


class Subscriber(Protocol):
    """Receives the changes of one prefix, in the order of their revisions per key."""

    def apply_write(self, stored: StoredValue) -> None:
        """Take over a value."""

    def apply_removal(self, key: str) -> None:
        """Forget a value."""


class StoreMirror:
    """Copy of the store's revisions that feeds subscribers.

    Parameters
    ----------
    store : MirrorSource
        Answers the reads that confirm.
    subscribers : mapping of str to Subscriber
        By prefix.
    confirmed_prefix : str
        Read at a fixed interval.
    on_confirmed : callable
        Called with the boot time at which an answered read was sent, and with the
        values that it returned.
    confirm_through_reader : callable, optional
        Lets another process confirm the prefix; returns the revision that it read,
        0 if this process has to read.
    watch_pause_s : callable, optional
        Returns the pause in seconds after each watch that returned changes.
    source : MirrorSource, optional
        Tells everything but the reads that confirm; the store by default.
    clock : callable, optional

    Attributes
    ----------
    revision : int
        Revision up to which all changes are known.
    loaded : anyio.Event
        Set after the first complete listing.
    """

    def __init__(
        self,
        store: MirrorSource,
        subscribers: Mapping[str, Subscriber],
        confirmed_prefix: str,
        on_confirmed: Callable[[float, Listing], None],
        confirm_through_reader: Callable[[], Awaitable[int]] | None = None,
        watch_pause_s: Callable[[], float] = float,
        source: MirrorSource | None = None,
        clock: Callable[[], float] = boot_time_s,
    ) -> None:
        self.confirm_through_reader = confirm_through_reader or _read_oneself
        self.watch_pause_s = watch_pause_s
        self.store = store
        self.source = source or store
        self.history = ChangeHistory()
        self.behind = 0
        self.reload_next = True
        self.subscribers = subscribers
        self.confirmed_prefix = confirmed_prefix
        self.on_confirmed = on_confirmed
        self.clock = clock
        self.revision = 0
        self.revisions: dict[str, int] = {}
        self.removals: dict[str, int] = {}
        self.loaded = anyio.Event()
        self.reachable = True
        self.confirm_requested = anyio.Event()
        self.watch_scope: anyio.CancelScope | None = None

    async def run(self) -> None:
        """Follow the store until cancelled."""
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(self._follow)
            tasks.start_soon(self._confirm)

    async def reload(self) -> None:
        """Read everything; raises `StoreError`."""
        listing = await self.source.list(EVERYTHING)
        present = {stored.key for stored in listing.values}
        for stored in listing.values:
            self._written(stored)
        for key, revision in list(self.revisions.items()):
            # A key written after the listing began is not known to be removed.
            if key not in present and revision <= listing.revision:
                self._removed(key, listing.revision)
        self._advance(listing.revision)
        self.loaded.set()

    def confirm_now(self) -> None:
        """Read the confirmed prefix now rather than at the next interval."""
        self.confirm_requested.set()

    async def _follow(self) -> None:
        lost = True
        while True:
            with anyio.CancelScope() as self.watch_scope:
                try:
                    if lost:
                        await self.reload()
                        self._note_reachable(True, "")
                        lost = False
                    changes = await self.source.watch(
                        EVERYTHING, self.revision, WATCH_WAIT_S
                    )
                    self._apply(changes)
                    await anyio.sleep(self.watch_pause_s())
                except HistoryLostError:
                    log.info("store history lost", revision=self.revision)
                    lost = True
                except StoreError as error:
                    self._note_reachable(False, str(error))
                    await anyio.sleep(RETRY_PAUSE_S)
            if self.watch_scope.cancelled_caught:
                lost = self.reload_next

    async def _confirm(self) -> None:
        await self.loaded.wait()
        read_next = True  # the first read shows whether this process is registered
        while True:
            sent_at = self.clock()
            revision = 0 if read_next else await self.confirm_through_reader()
            if not revision:
                try:
                    revision = await self._read_confirmed()
                except StoreError as error:
                    self._note_reachable(False, str(error))
                    await anyio.sleep(RETRY_PAUSE_S)
                    continue
            read_next = await self._asked_within(CATCH_UP_S)
            if read_next:
                continue
            self._check_watch(revision)
            pause_s = sent_at + CONFIRM_INTERVAL_S - self.clock()
            read_next = await self._asked_within(pause_s)

    async def _read_confirmed(self) -> int:
        """Read the confirmed prefix; return the revision; raises `StoreError`."""
        sent_at = self.clock()
        listing = await self.store.list(self.confirmed_prefix)
        for stored in listing.values:
            self._written(stored)
        self.on_confirmed(sent_at, listing)
        self._note_reachable(True, "")
        return listing.revision

    async def _asked_within(self, wait_s: float) -> bool:
        """Wait; return early and True if a confirmation is asked for meanwhile."""
        with anyio.move_on_after(max(wait_s, 0.0)):
            await self.confirm_requested.wait()
        asked = self.confirm_requested.is_set()
        if asked:
            self.confirm_requested = anyio.Event()
        return asked

    def _check_watch(self, revision: int) -> None:
        if self.revision >= revision or self.watch_scope is None:
            self.behind = 0
            return
        self.behind += 1
        # All values of a large fleet's store choke a narrow link, so a new watch comes
        # first; a small fleet reads at once what a silent watch kept back.
        self.reload_next = not self.watch_pause_s() or self.behind > 1
        log.warning(
            "watch behind the store",
            watch_revision=self.revision,
            store_revision=revision,
        )
        self.watch_scope.cancel()

    def _apply(self, changes: Changes) -> None:
        for stored in changes.written:
            self._written(stored)
        for key, revision in changes.removed:
            self._removed(key, revision)
        self._advance(changes.revision)

    def _advance(self, revision: int) -> None:
        self.revision = max(self.revision, revision)
        self.history.advance(self.revision)

    def _written(self, stored: StoredValue) -> None:
        known = max(self.revisions.get(stored.key, 0), self.removals.get(stored.key, 0))
        if stored.revision <= known:
            return
        self.revisions[stored.key] = stored.revision
        self.removals.pop(stored.key, None)
        self.history.record_write(stored)
        for prefix, subscriber in self.subscribers.items():
            if stored.key.startswith(prefix):
                subscriber.apply_write(stored)

    def _removed(self, key: str, revision: int) -> None:
        if revision < self.revisions.get(key, 0) or key not in self.revisions:
            return
        del self.revisions[key]
        self.removals[key] = revision
        self.history.record_removal(key, revision)
        for prefix, subscriber in self.subscribers.items():
            if key.startswith(prefix):
                subscriber.apply_removal(key)

    def _note_reachable(self, reachable: bool, reason: str) -> None:
        if reachable == self.reachable:
            return
        self.reachable = reachable
        if reachable:
            log.info("store regained", revision=self.revision)
        else:
            log.warning("store lost", reason=reason, revision=self.revision)


async def _read_oneself() -> int:
    return 0
