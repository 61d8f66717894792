"""Replica of the configuration document, fed by neighbours and by the store."""

from collections.abc import Callable
from contextlib import AsyncExitStack
from random import Random
from types import TracebackType
from typing import Self

import anyio
import msgspec

from rosemaryward.decisions.document.stored import (
    StoredDocument,
    decode_stored,
    document_key,
)
from rosemaryward.decisions.errors import DocumentError, PeerError, StoreError
from rosemaryward.decisions.interfaces import Store
from rosemaryward.decisions.membership.announcers import Announcers
from rosemaryward.decisions.membership.delta import DocumentHistory, apply_delta
from rosemaryward.decisions.membership.rendezvous import (
    rank_members,
    spread_over_regions,
)
from rosemaryward.decisions.membership.service import MembershipService
from rosemaryward.decisions.messages import Member

__all__ = ["ConfigurationReplica", "ConfigurationSettings"]


class ConfigurationSettings(msgspec.Struct, frozen=True, kw_only=True):
    """Limits of the configuration replica.

    Parameters
    ----------
    watchers : int
        Members that watch the store.
    poll_min_s : float
        Shortest time between two reads of the store by another member.
    poll_per_member_s : float
        Time between two such reads over the whole fleet, so that the store's
        load does not grow with the fleet.
    pull_timeout_s : float
        Longest wait for a document from another proxy.
    hedge_s : float
        Time after which a slow pull is repeated from another source.
    pull_attempts : int
        Pulls of one document at once.
    remote_delay_s : float
        Time for which a document is awaited from the own region before it is
        fetched over the link between regions.
    retry_min_s, retry_max_s : float
        Backoff after the store or a watch failed.
    refusal_s : float
        Time after which a refused version may be fetched again.
    """

    watchers: int = 3
    poll_min_s: float = 30.0
    poll_per_member_s: float = 10.0
    pull_timeout_s: float = 3.0
    hedge_s: float = 0.3
    pull_attempts: int = 6
    remote_delay_s: float = 0.4
    retry_min_s: float = 0.25
    retry_max_s: float = 5.0
    refusal_s: float = 30.0


def accept_all(stored: StoredDocument) -> None:
    """Accept every document that has the right form."""


class ConfigurationReplica:
    """Holds the newest document that this proxy has seen; never an older one.

    Parameters
    ----------
    environment : str
    host_id : str
        This proxy.
    store : Store
    service : MembershipService
        Spreads the version and fetches documents from other proxies.
    random : random.Random
    validate : callable, optional
        Raises `DocumentError` for a document that must not come into force.
    settings : ConfigurationSettings, optional

    Notes
    -----
    Documents compare by the version in the document itself, which survives a
    rebuilt store. A few members, at least one in each region, watch the store;
    they push the version to some members, which fetch the document and push in
    turn. The rest of the fleet reads the store only at the start, when no
    neighbour has a document, and then rarely.
    """

    def __init__(
        self,
        environment: str,
        host_id: str,
        store: Store,
        service: MembershipService,
        random: Random,
        validate: Callable[[StoredDocument], None] = accept_all,
        settings: ConfigurationSettings | None = None,
    ) -> None:
        self.environment = environment
        self.host_id = host_id
        self.store = store
        self.service = service
        self.random = random
        self.validate = validate
        self.settings = settings or ConfigurationSettings()
        self.current: StoredDocument | None = None
        self.version = 0
        self.data = b""
        self.refused = 0
        self.stale = 0
        self.pulls = 0
        self.bad_deltas = 0
        self.store_failures = 0
        self.store_reachable = True
        self._ready = anyio.Event()
        self._noticed = anyio.Event()
        self._moved = anyio.Event()
        self._history = DocumentHistory()
        self._announcers = Announcers(service.local.place.region)
        self._refused_version = 0
        self._refused_at = 0.0
        self._callbacks: list[Callable[[StoredDocument], None]] = []
        self._stack = AsyncExitStack()

    async def __aenter__(self) -> Self:
        self.service.attach_configuration(self)
        self.service.subscribe(lambda member: self._moved.set())
        tasks = await self._stack.enter_async_context(anyio.create_task_group())
        self._stack.callback(tasks.cancel_scope.cancel)
        for run in (self._load, self._fetch, self._follow_store):
            tasks.start_soon(run)
        return self

    async def __aexit__(
        self,
        kind: type[BaseException] | None,
        error: BaseException | None,
        trace: TracebackType | None,
    ) -> None:
        await self._stack.__aexit__(kind, error, trace)

    def subscribe(self, callback: Callable[[StoredDocument], None]) -> None:
        """Call `callback` with every newer document."""
        self._callbacks.append(callback)

    async def wait(self) -> StoredDocument:
        """Return the document in force as soon as there is one."""
        await self._ready.wait()
        assert self.current is not None
        return self.current

    def offer(self, data: bytes) -> bool:
        """Put a stored document into force if it is newer and valid.

        Parameters
        ----------
        data : bytes
            Stored form.

        Returns
        -------
        bool
            Whether it is in force now.
        """
        try:
            stored = decode_stored(data)
            if stored.version <= self.version:
                self.stale += stored.version < self.version
                return False
            self._check(stored)
        except (DocumentError, msgspec.DecodeError, UnicodeDecodeError):
            self.refused += 1
            return False
        self.current, self.version, self.data = stored, stored.version, data
        self._history.add(stored.version, data)
        self._announcers.keep_above(self.version)
        self._ready.set()
        self.service.trigger_push()
        for callback in self._callbacks:
            callback(stored)
        return True

    def notice(self, source: Member, version: int) -> None:
        """Learn that another proxy has a document of `version`."""
        if version <= self.version or self._refuses(version):
            return
        self._announcers.add(source, version)
        self._noticed.set()

    def is_watcher(self) -> bool:
        """Return whether this member is one of those that watch the store."""
        ranked = rank_members(
            document_key(self.environment), self.service.live_members()
        )
        chosen = spread_over_regions(ranked, self.settings.watchers)
        return any(member.host_id == self.host_id for member in chosen)

    # Tasks

    async def _load(self) -> None:
        """Get a first document from neighbours, or else from the store."""
        pause = self.settings.retry_min_s
        await self.service.wait_joined()
        while not self.version:
            await self._ask_neighbours()
            if not self.version:
                await self._read_store()
            if not self.version:
                await anyio.sleep(pause * (0.5 + self.random.random()))
                pause = min(2 * pause, self.settings.retry_max_s)

    async def _ask_neighbours(self) -> None:
        for neighbour in self.service.neighbours():
            await self._pull(neighbour)
            if self.version:
                return

    async def _fetch(self) -> None:
        """Fetch newer documents that other members announce."""
        while True:
            await self._noticed.wait()
            self._noticed = anyio.Event()
            while self._announcers:
                if self._announcers.near() is None:
                    with anyio.move_on_after(self.settings.remote_delay_s):
                        await self._noticed.wait()
                        self._noticed = anyio.Event()
                await self._pull_hedged()

    async def _pull_hedged(self) -> None:
        """Pull from one source, and from others while none has delivered."""
        source = self._announcers.best()
        if source is None:
            return
        async with anyio.create_task_group() as tasks:
            for _ in range(self.settings.pull_attempts):
                failed = anyio.Event()
                tasks.start_soon(self._attempt, source, tasks.cancel_scope, failed)
                with anyio.move_on_after(self.settings.hedge_s):
                    await failed.wait()
                source = self._announcers.best(excluded=source) or source

    async def _attempt(
        self, source: Member, scope: anyio.CancelScope, failed: anyio.Event
    ) -> None:
        if await self._pull(source):
            scope.cancel()
        else:
            self._announcers.remove(source.host_id)
            failed.set()

    async def _pull(self, source: Member) -> bool:
        """Fetch and offer the document of one proxy; return whether it is newer."""
        self.pulls += 1
        base_version, base = self.version, self.data
        timeout_s = self.settings.pull_timeout_s
        try:
            reply = await self.service.pull_document(source, base_version, timeout_s)
            data: bytes | None = reply.document
            if reply.base_version:
                fits = reply.base_version == base_version
                data = apply_delta(base, reply.document) if fits else None
            if data is None:
                self.bad_deltas += 1
                reply = await self.service.pull_document(source, 0, timeout_s)
                data = reply.document
        except PeerError:
            return False
        return bool(data) and self.offer(data)

    def delta(self, base_version: int) -> bytes | None:
        """Return the difference to `base_version`, None if it is not known."""
        return self._history.delta(base_version)

    async def _follow_store(self) -> None:
        """Watch the store as one of the watchers, or else read it rarely."""
        await self.service.wait_joined()
        while True:
            self._moved = anyio.Event()
            if self.is_watcher():
                await self._watch_while_chosen()
            else:
                await self._rest_then_read()

    async def _watch_while_chosen(self) -> None:
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(self._watch)
            while self.is_watcher():
                await self._moved.wait()
                await anyio.sleep(self.settings.retry_min_s)
                self._moved = anyio.Event()
            tasks.cancel_scope.cancel()

    async def _watch(self) -> None:
        pause = self.settings.retry_min_s
        while True:
            try:
                async for value in self.store.watch(document_key(self.environment)):
                    self.store_reachable = True
                    pause = self.settings.retry_min_s
                    self.offer(value.value)
            except StoreError:
                self.store_failures += 1
                self.store_reachable = False
            await anyio.sleep(pause * (0.5 + self.random.random()))
            pause = min(2 * pause, self.settings.retry_max_s)

    async def _rest_then_read(self) -> None:
        settings = self.settings
        fleet = len(self.service.live_members())
        rest = max(settings.poll_min_s, settings.poll_per_member_s * fleet)
        until = anyio.current_time() + rest * (0.5 + self.random.random())
        while anyio.current_time() < until:
            with anyio.move_on_after(until - anyio.current_time()):
                await self._moved.wait()
            await anyio.sleep(settings.retry_min_s)
            if self.is_watcher():
                return
            self._moved = anyio.Event()
        await self._read_store()

    async def _read_store(self) -> None:
        try:
            found = await self.store.get(document_key(self.environment))
        except StoreError:
            self.store_failures += 1
            self.store_reachable = False
            return
        self.store_reachable = True
        if found is not None:
            self.offer(found.value)

    # Helpers

    def _check(self, stored: StoredDocument) -> None:
        try:
            if stored.document.environment != self.environment:
                found = stored.document.environment
                raise DocumentError(
                    "environment", f"expected {self.environment!r}, got {found!r}"
                )
            self.validate(stored)
        except DocumentError:
            self._refused_version = stored.version
            self._refused_at = anyio.current_time()
            self._announcers.keep_above(stored.version)
            raise

    def _refuses(self, version: int) -> bool:
        recent = anyio.current_time() - self._refused_at < self.settings.refusal_s
        return recent and version <= self._refused_version
