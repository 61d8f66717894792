"""Mirror of the store, updated by one watch and checked by reads.

A watch can miss changes for a while, and its connection can stall forever. A read of
the confirmed prefix at a fixed interval detects both: it returns the store's revision,
which the watch must reach soon afterwards.
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
    StoreRead,
    generation_of,
)
from rosemaryward.decisions.mirror.store_retry import MIN_PAUSE_S, StoreRetry
from rosemaryward.decisions.mirror.timing import StoreTiming

__all__ = ["StoreMirror", "Subscriber"]

ALL_KEYS_PREFIX = ""
WATCH_WAIT_S = 20.0
REGISTRATION_WAIT_S = 0.5  # a read before this process is registered confirms nothing

log = structlog.get_logger(__name__)


class Subscriber(Protocol):
    """Consumer of the changes under one prefix, ordered by revision for each key."""

    def apply_write(self, stored: StoredValue) -> None:
        """Apply a written value."""

    def apply_removal(self, key: str) -> None:
        """Apply the removal of a key."""


class StoreMirror:
    """Mirror of the store that passes its changes to subscribers.

    Parameters
    ----------
    store : MirrorSource
        Source of the reads of the confirmed prefix.
    subscribers : mapping of str to Subscriber
        Subscribers by the prefix of their keys.
    confirmed_prefix : str
        Prefix that is read at a fixed interval.
    on_confirmed : callable
        Called after each of these reads with the boot time at which it was sent, and
        with the values that it returned.
    confirm_through_reader : callable, optional
        Confirms the prefix through another process; returns its read of the store,
        None if this process has to read the store.
    watch_pause_s : callable, optional
        Returns the pause in seconds after each watch that returned changes.
    source : MirrorSource, optional
        Source of full listings and watches; the store by default.
    clock : callable, optional
        Boot time in seconds.

    Attributes
    ----------
    confirm_registration : callable
        Like `confirm_through_reader`, for a process that has just registered and that
        the other process may not have seen yet.
    generation : int
        Generation of the newest read of the store, -1 before the first one.
    restore_listeners : list of callable
        Called with the new generation when a read shows that the store was restored,
        before the values of that read are applied.
    revision : int
        Store revision up to which all changes are known.
    revisions : dict of str to int
        Store revision of the last write of each present key.
    removals : dict of str to int
        Store revision at which each removed key was known to be removed.
    history : ChangeHistory
        Values and recent changes, for proxies that follow this one.
    loaded : anyio.Event
        Set after the first complete listing.
    reachable : bool
        Whether the last list or watch call was answered.
    current_at : float
        Boot time of the newest read of the store whose revision this mirror has
        reached: it has all changes that the store acknowledged before.
    last_read : StoreRead or None
        Last read that confirmed the prefix.
    progressed : anyio.Event
        Set, then replaced, whenever `revision` or `current_at` may have grown.
    checks_behind : int
        Number of successive checks that found the watch behind the store.
    reload_next : bool
        Whether a cancelled watch is followed by a full listing.
    confirm_requested : anyio.Event
        Set to read the confirmed prefix at once.
    watch_scope : anyio.CancelScope or None
        Scope that cancels the running watch.
    retry : StoreRetry
        Waits of calls that the store did not answer.
    timing : StoreTiming
        Intervals of the reads and checks.
    watches_store : callable
        Returns whether the running watch is one of the store, not of a reader.
    is_watching : bool
        Whether a watch is running.
    """

    def __init__(
        self,
        store: MirrorSource,
        subscribers: Mapping[str, Subscriber],
        confirmed_prefix: str,
        on_confirmed: Callable[[float, Listing], None],
        confirm_through_reader: Callable[[], Awaitable[StoreRead | None]] | None = None,
        watch_pause_s: Callable[[], float] = float,
        source: MirrorSource | None = None,
        clock: Callable[[], float] = boot_time_s,
    ) -> None:
        self.confirm_registration: Callable[[], Awaitable[StoreRead | None]] = (
            _no_reader
        )
        self.restore_listeners: list[Callable[[int], None]] = []
        self.generation = -1
        self.confirm_through_reader = confirm_through_reader or _no_reader
        self.watch_pause_s = watch_pause_s
        self.store = store
        self.source = source or store
        self.history = ChangeHistory()
        self.current_at = float("-inf")
        self.last_read: StoreRead | None = None
        self.progressed = anyio.Event()
        self.checks_behind = 0
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
        self.retry = StoreRetry(clock=clock)
        self.timing = StoreTiming()
        self.watches_store: Callable[[], bool] = lambda: True
        self.is_watching = False

    async def run(self) -> None:
        """Watch and check the store until cancelled."""
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(self._follow_changes)
            tasks.start_soon(self._confirm)

    async def reload(self) -> None:
        """List all keys and apply the differences; raises `StoreError`.

        A listing by the store is a read like that of the confirmed prefix: changes
        that were acknowledged before it was sent are at most at its revision, and all
        of them are applied. The listing of a reader is not, as its mirror may be
        behind the reads that the reader has made since.
        """
        asked_at = self.clock()
        listing = await self.source.list(ALL_KEYS_PREFIX)
        self._observe_generation(listing.revision)
        present = {stored.key for stored in listing.values}
        for stored in listing.values:
            self._apply_write(stored)
        for key, revision in list(self.revisions.items()):
            # A key written after the first page may be missing without being removed.
            if key not in present and revision <= listing.revision:
                self._apply_removal(key, listing.revision)
        self._advance(listing.revision)
        sent_at = asked_at if self.source is self.store else listing.sent_at
        if sent_at is not None:
            self._compare(StoreRead(listing.revision, sent_at))
        self.loaded.set()

    async def refresh(self, prefix: str) -> Listing:
        """Read a prefix from the store and apply its values; raises `StoreError`.

        Removals are left to the watch and to full listings.
        """
        listing = await self.store.list(prefix)
        self._observe_generation(listing.revision)
        for stored in listing.values:
            self._apply_write(stored)
        return listing

    def age_s(self) -> float:
        """Return for how many seconds changes may be missing, infinity at first."""
        return self.clock() - self.current_at

    def confirm_now(self) -> None:
        """Confirm the prefix now, not only at the next interval."""
        self.confirm_requested.set()

    async def _follow_changes(self) -> None:
        """Apply the changes of successive watches; reload after missed changes."""
        needs_reload = True
        while True:
            reloads = needs_reload
            sent_at = self.clock()
            with anyio.CancelScope() as self.watch_scope:
                try:
                    if needs_reload:
                        await self.reload()
                        self._set_reachable(True, "")
                        needs_reload = False
                        sent_at = self.clock()
                    self._apply(await self._watch())
                    await anyio.sleep(self.watch_pause_s())
                except HistoryLostError:
                    log.info("store history lost", revision=self.revision)
                    needs_reload = True
                    if reloads:
                        await anyio.sleep(MIN_PAUSE_S)
                except StoreError as error:
                    self._set_reachable(False, str(error))
                    await self.retry.wait(sent_at)
            if self.watch_scope.cancelled_caught:
                needs_reload = self.reload_next

    async def _watch(self) -> Changes:
        """Return the next changes; raises `StoreError`."""
        self.is_watching = True
        try:
            return await self.source.watch(ALL_KEYS_PREFIX, self.revision, WATCH_WAIT_S)
        finally:
            self.is_watching = False

    def replace_watch(self) -> None:
        """Begin a new watch: one from before an outage may never return anything."""
        if self.is_watching and self.watch_scope is not None and self.watches_store():
            log.info("watch replaced", revision=self.revision)
            self.reload_next = False
            self.watch_scope.cancel()

    async def _confirm(self) -> None:
        """Confirm the prefix and check the watch at a fixed interval."""
        await self.loaded.wait()
        # The first read shows whether this process is registered.
        await self._confirm_requested_within(REGISTRATION_WAIT_S)
        requested = True
        while True:
            began_at = self.clock()
            if requested:
                read = await self.confirm_registration()
            else:
                read = await self.confirm_through_reader()
            if read is None:
                try:
                    read = await self._read_confirmed()
                except StoreError as error:
                    self._set_reachable(False, str(error))
                    await self.retry.wait(began_at)
                    continue
            self.last_read = read
            self._compare(read)
            requested = await self._confirm_requested_within(
                self.timing.watch_catch_up_s
            )
            if requested:
                continue
            self._check_watch(read)
            pause_s = began_at + self.timing.confirm_interval_s - self.clock()
            requested = await self._confirm_requested_within(pause_s)

    async def _read_confirmed(self) -> StoreRead:
        """Read the confirmed prefix; raises `StoreError`."""
        sent_at = self.clock()
        listing = await self.refresh(self.confirmed_prefix)
        self.on_confirmed(sent_at, listing)
        self._set_reachable(True, "")
        self.retry.record_answer(sent_at)
        return StoreRead(listing.revision, sent_at)

    async def _confirm_requested_within(self, wait_s: float) -> bool:
        """Wait `wait_s` seconds; return True as soon as a confirmation is requested."""
        with anyio.move_on_after(max(wait_s, 0.0)):
            await self.confirm_requested.wait()
        requested = self.confirm_requested.is_set()
        if requested:
            self.confirm_requested = anyio.Event()
        return requested

    def _compare(self, read: StoreRead) -> bool:
        """Return whether this mirror has reached the revision of a read."""
        if self.revision < read.revision:
            return False
        self.current_at = max(self.current_at, read.sent_at)
        self._notify_progress()
        return True

    def _notify_progress(self) -> None:
        """Wake those who wait for `progressed`."""
        self.progressed.set()
        self.progressed = anyio.Event()

    def _check_watch(self, read: StoreRead) -> None:
        """Cancel the watch if it has not reached the revision of a read."""
        if self._compare(read) or self.watch_scope is None:
            self.checks_behind = 0
            return
        self.checks_behind += 1
        # A full listing of a large fleet's store congests a narrow link, so a new watch
        # is tried first. A small fleet lists at once what the watch has missed.
        tries_watch = self.watch_pause_s() and self.timing.allows_second_watch
        self.reload_next = not tries_watch or self.checks_behind > 1
        log.warning(
            "watch behind the store",
            watch_revision=self.revision,
            store_revision=read.revision,
        )
        self.watch_scope.cancel()

    def _apply(self, changes: Changes) -> None:
        """Apply the changes of a watch."""
        for stored in changes.written:
            self._apply_write(stored)
        for key, revision in changes.removed:
            self._apply_removal(key, revision)
        self._advance(changes.revision)

    def _observe_generation(self, revision: int) -> None:
        """Report a restore of the store that a read's revision shows."""
        generation = generation_of(revision)
        if generation <= self.generation:
            return
        if self.generation >= 0:
            for notify in self.restore_listeners:
                notify(generation)
        self.generation = generation

    def _advance(self, revision: int) -> None:
        """Record that all changes up to a revision are known."""
        self.revision = max(self.revision, revision)
        self.history.advance(self.revision)
        if self.last_read is None or not self._compare(self.last_read):
            self._notify_progress()

    def _apply_write(self, stored: StoredValue) -> None:
        """Apply a written value, unless a newer change of its key is known."""
        known = max(self.revisions.get(stored.key, 0), self.removals.get(stored.key, 0))
        if stored.revision <= known:
            return
        self.revisions[stored.key] = stored.revision
        self.removals.pop(stored.key, None)
        self.history.record_write(stored)
        for prefix, subscriber in self.subscribers.items():
            if stored.key.startswith(prefix):
                subscriber.apply_write(stored)

    def _apply_removal(self, key: str, revision: int) -> None:
        """Apply the removal of a key, unless a newer write is known."""
        if revision < self.revisions.get(key, 0) or key not in self.revisions:
            return
        del self.revisions[key]
        self.removals[key] = revision
        self.history.record_removal(key, revision)
        for prefix, subscriber in self.subscribers.items():
            if key.startswith(prefix):
                subscriber.apply_removal(key)

    def _set_reachable(self, reachable: bool, reason: str) -> None:
        """Record whether a call was answered; log when this changes."""
        if reachable == self.reachable:
            return
        self.reachable = reachable
        if reachable:
            log.info("store regained", revision=self.revision)
        else:
            log.warning("store lost", reason=reason, revision=self.revision)


async def _no_reader() -> StoreRead | None:
    """Return that this process has to read the store."""
    return None
