"""Local replica of the configuration document, updated from peers and the store."""

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
    select_across_regions,
)
from rosemaryward.decisions.membership.service import MembershipService
from rosemaryward.decisions.messages import Member

__all__ = ["ConfigurationReplica", "ConfigurationSettings"]


class ConfigurationSettings(msgspec.Struct, frozen=True, kw_only=True):
    """Settings of the configuration replica; times are in seconds.

    Parameters
    ----------
    watcher_count : int
        Number of members that watch the store.
    poll_min_s : float
        Shortest time between two store reads by a member that is not a watcher.
    poll_per_member_s : float
        Average time between two such reads in the whole cluster, so that the load
        on the store does not grow with the cluster.
    pull_timeout_s : float
        Longest wait for a document from another proxy.
    hedge_delay_s : float
        Time after which another source is tried as well if a pull is slow.
    max_concurrent_pulls : int
        Limit of concurrent pulls of one document.
    remote_delay_s : float
        Longest wait for an announcement from this proxy's region before a document
        is fetched over the link between regions.
    retry_min_s, retry_max_s : float
        Bounds of the exponential backoff after a failed read or watch.
    rejection_retry_s : float
        Time after which a rejected version may be fetched again.
    """

    watcher_count: int = 3
    poll_min_s: float = 30.0
    poll_per_member_s: float = 10.0
    pull_timeout_s: float = 3.0
    hedge_delay_s: float = 0.3
    max_concurrent_pulls: int = 6
    remote_delay_s: float = 0.4
    retry_min_s: float = 0.25
    retry_max_s: float = 5.0
    rejection_retry_s: float = 30.0


def accept_all(stored: StoredDocument) -> None:
    """Accept every document that can be decoded."""


class ConfigurationReplica:
    """Holds the newest valid document seen and never returns to an older one.

    Parameters
    ----------
    environment : str
    host_id : str
        Id of this proxy.
    store : Store
    service : MembershipService
        Announces the version and fetches documents from other proxies.
    random : random.Random
    validate : callable, optional
        Raises `DocumentError` for a document that must not be applied.
    settings : ConfigurationSettings, optional

    Notes
    -----
    Documents are compared by the version that they contain, which is preserved
    when the store is rebuilt. A few members, at least one in each region, watch the
    store and push the version to some members, which fetch the document and push
    the version in turn. The other members read the store only at the start, if no
    neighbour has a document, and then at long intervals.
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
        self.rejected = 0
        self.stale_documents = 0
        self.pulls = 0
        self.mismatched_deltas = 0
        self.store_failures = 0
        self.store_reachable = True
        self._ready = anyio.Event()
        self._announced = anyio.Event()
        self._members_changed = anyio.Event()
        self._history = DocumentHistory()
        self._announcers = Announcers(service.local.place.region)
        self._rejected_version = 0
        self._rejected_at = 0.0
        self._callbacks: list[Callable[[StoredDocument], None]] = []
        self._stack = AsyncExitStack()

    async def __aenter__(self) -> Self:
        self.service.attach_configuration(self)
        self.service.subscribe(lambda member: self._members_changed.set())
        tasks = await self._stack.enter_async_context(anyio.create_task_group())
        self._stack.callback(tasks.cancel_scope.cancel)
        for run in (
            self._load_first_document,
            self._fetch_announced,
            self._follow_store,
        ):
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
        """Call `callback` with each document that is applied."""
        self._callbacks.append(callback)

    async def wait(self) -> StoredDocument:
        """Wait for a first document and return the current one."""
        await self._ready.wait()
        assert self.current is not None
        return self.current

    def offer(self, data: bytes) -> bool:
        """Apply a stored document if it is newer and valid.

        Parameters
        ----------
        data : bytes
            Encoded stored form.

        Returns
        -------
        bool
            Whether the document was applied.
        """
        try:
            stored = decode_stored(data)
            if stored.version <= self.version:
                self.stale_documents += stored.version < self.version
                return False
            self._validate(stored)
        except (DocumentError, msgspec.DecodeError, UnicodeDecodeError):
            self.rejected += 1
            return False
        self.current, self.version, self.data = stored, stored.version, data
        self._history.add(stored.version, data)
        self._announcers.remove_up_to(self.version)
        self._ready.set()
        self.service.trigger_push()
        for callback in self._callbacks:
            callback(stored)
        return True

    def note_announcement(self, source: Member, version: int) -> None:
        """Record that another proxy has the document with `version`."""
        if version <= self.version or self._recently_rejected(version):
            return
        self._announcers.add(source, version)
        self._announced.set()

    def is_watcher(self) -> bool:
        """Return whether this member is one of the watchers of the store."""
        ranked = rank_members(
            document_key(self.environment), self.service.live_members()
        )
        chosen = select_across_regions(ranked, self.settings.watcher_count)
        return any(member.host_id == self.host_id for member in chosen)

    # Tasks

    async def _load_first_document(self) -> None:
        """Obtain a first document from neighbours or, failing that, from the store."""
        backoff_s = self.settings.retry_min_s
        await self.service.wait_joined()
        while not self.version:
            await self._pull_from_neighbours()
            if not self.version:
                await self._read_store()
            if not self.version:
                await anyio.sleep(backoff_s * (0.5 + self.random.random()))
                backoff_s = min(2 * backoff_s, self.settings.retry_max_s)

    async def _pull_from_neighbours(self) -> None:
        for neighbour in self.service.neighbours():
            await self._pull(neighbour)
            if self.version:
                return

    async def _fetch_announced(self) -> None:
        """Fetch newer documents as other members announce them."""
        while True:
            await self._announced.wait()
            self._announced = anyio.Event()
            while self._announcers:
                if self._announcers.latest_local() is None:
                    with anyio.move_on_after(self.settings.remote_delay_s):
                        await self._announced.wait()
                        self._announced = anyio.Event()
                await self._pull_hedged()

    async def _pull_hedged(self) -> None:
        """Pull from one source, and from further ones until a pull succeeds."""
        source = self._announcers.preferred()
        if source is None:
            return
        async with anyio.create_task_group() as tasks:
            for _ in range(self.settings.max_concurrent_pulls):
                failed = anyio.Event()
                tasks.start_soon(self._try_source, source, tasks.cancel_scope, failed)
                with anyio.move_on_after(self.settings.hedge_delay_s):
                    await failed.wait()
                source = self._announcers.preferred(excluded=source) or source

    async def _try_source(
        self, source: Member, scope: anyio.CancelScope, failed: anyio.Event
    ) -> None:
        if await self._pull(source):
            scope.cancel()
        else:
            self._announcers.remove(source.host_id)
            failed.set()

    async def _pull(self, source: Member) -> bool:
        """Fetch the document of one proxy and return whether it was applied."""
        self.pulls += 1
        base_version, base = self.version, self.data
        timeout_s = self.settings.pull_timeout_s
        try:
            reply = await self.service.pull_document(source, base_version, timeout_s)
            data: bytes | None = reply.document
            if reply.base_version:
                same_base = reply.base_version == base_version
                data = apply_delta(base, reply.document) if same_base else None
            if data is None:
                self.mismatched_deltas += 1
                reply = await self.service.pull_document(source, 0, timeout_s)
                data = reply.document
        except PeerError:
            return False
        return bool(data) and self.offer(data)

    def delta(self, base_version: int) -> bytes | None:
        """Return the encoded delta from `base_version`, None if there is none."""
        return self._history.delta(base_version)

    async def _follow_store(self) -> None:
        """Watch the store while this member is a watcher, else poll it."""
        await self.service.wait_joined()
        while True:
            self._members_changed = anyio.Event()
            if self.is_watcher():
                await self._watch_while_watcher()
            else:
                await self._sleep_then_read()

    async def _watch_while_watcher(self) -> None:
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(self._watch)
            while self.is_watcher():
                await self._members_changed.wait()
                await anyio.sleep(self.settings.retry_min_s)
                self._members_changed = anyio.Event()
            tasks.cancel_scope.cancel()

    async def _watch(self) -> None:
        backoff_s = self.settings.retry_min_s
        while True:
            try:
                async for value in self.store.watch(document_key(self.environment)):
                    self.store_reachable = True
                    backoff_s = self.settings.retry_min_s
                    self.offer(value.value)
            except StoreError:
                self.store_failures += 1
                self.store_reachable = False
            await anyio.sleep(backoff_s * (0.5 + self.random.random()))
            backoff_s = min(2 * backoff_s, self.settings.retry_max_s)

    async def _sleep_then_read(self) -> None:
        settings = self.settings
        member_count = len(self.service.live_members())
        interval_s = max(settings.poll_min_s, settings.poll_per_member_s * member_count)
        next_read = anyio.current_time() + interval_s * (0.5 + self.random.random())
        while anyio.current_time() < next_read:
            with anyio.move_on_after(next_read - anyio.current_time()):
                await self._members_changed.wait()
            await anyio.sleep(settings.retry_min_s)
            if self.is_watcher():
                return
            self._members_changed = anyio.Event()
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

    def _validate(self, stored: StoredDocument) -> None:
        try:
            if stored.document.environment != self.environment:
                found = stored.document.environment
                raise DocumentError(
                    "environment", f"expected {self.environment!r}, got {found!r}"
                )
            self.validate(stored)
        except DocumentError:
            self._rejected_version = stored.version
            self._rejected_at = anyio.current_time()
            self._announcers.remove_up_to(stored.version)
            raise

    def _recently_rejected(self, version: int) -> bool:
        recent = (
            anyio.current_time() - self._rejected_at < self.settings.rejection_retry_s
        )
        return recent and version <= self._rejected_version
