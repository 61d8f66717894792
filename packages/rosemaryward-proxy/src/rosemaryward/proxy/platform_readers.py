"""Readers of the store that this proxy follows, also before it knows the members."""

import functools
from collections.abc import Awaitable, Callable

import anyio
import msgspec
import structlog

from rosemaryward.decisions.clock import boot_time_s
from rosemaryward.decisions.decoding import decode_json
from rosemaryward.decisions.errors import ConflictError, PeerError, StoreError
from rosemaryward.decisions.leadership.failover_lock import FailoverLock
from rosemaryward.decisions.leadership.members import MemberDirectory, MemberRecord
from rosemaryward.decisions.leadership.readers import (
    ReaderList,
    readers_of_fleet,
    readers_to_follow,
)
from rosemaryward.decisions.mirror import (
    ChangesReply,
    ChangesRequest,
    LeaseStore,
    Reader,
    StoredValue,
)
from rosemaryward.decisions.types import Place
from rosemaryward.peers.members import MemberClient
from rosemaryward.proxy.platform_keys import READERS_KEY

__all__ = ["ReaderDirectory"]

PUBLISH_INTERVAL_S = 2.0
# All processes of a fleet that restarts begin at the same time, readers included.
READER_START_WAIT_S = 1.0
READER_RETRY_PAUSE_S = 0.05
FIRST_LISTING_TIMEOUT_S = 3.0  # a reader that has lost its power does not answer

log = structlog.get_logger(__name__)


class ReaderDirectory:
    """Finds the readers to follow, and publishes those of the whole fleet.

    Parameters
    ----------
    name : str
        Name of this proxy.
    place : Place
        Region and failure domain of this proxy.
    store : LeaseStore
        Store with the published list.
    members : MemberDirectory
        Members of the fleet.
    peers : MemberClient
        Requests to other members.
    lock : FailoverLock
        Its holder publishes the list.
    refresh_members : callable
        Reads all members from the store.

    Attributes
    ----------
    published : ReaderList or None
        List in the store, None if there is none or it is not known.
    revision : int
        Store revision of the list, 0 for none.
    """

    def __init__(
        self,
        name: str,
        place: Place,
        store: LeaseStore,
        members: MemberDirectory,
        peers: MemberClient,
        lock: FailoverLock,
        refresh_members: Callable[[], Awaitable[None]],
    ) -> None:
        self.name = name
        self.place = place
        self.store = store
        self.members = members
        self.peers = peers
        self.lock = lock
        self.refresh_members = refresh_members
        self.published: ReaderList | None = None
        self.revision = 0

    async def readers(self) -> list[Reader]:
        """Return the proxies to follow, none if this one reads the store.

        Raises
        ------
        StoreError
            If no member is known and the store does not answer.
        """
        if not self.members.members:
            published = await self._read_published()
            if published is not None:
                return self._published_readers(published)
            await self.refresh_members()
        readers = readers_to_follow(self.members, self.name, self.place.failure_domain)
        return [
            Reader(reader.name, functools.partial(self.peers.request_changes, reader))
            for reader in readers
        ]

    def observe(self, name: str, stored: StoredValue) -> None:
        """Apply the list as written to the store."""
        self.published = decode_json(stored.value, ReaderList)
        self.revision = stored.revision

    def observe_removal(self, name: str) -> None:
        """Apply the removal of the list."""
        self.published = None
        self.revision = 0

    def observe_unreadable(self, name: str, stored: StoredValue) -> None:
        """Apply a list that cannot be used, which the next one replaces."""
        self.published = None
        self.revision = stored.revision

    async def publish(self) -> None:
        """Publish the readers while holding the failover lock, until cancelled.

        A list is published once it has been the same in two checks, so that a restart
        of many members does not cause a series of writes.
        """
        previous: ReaderList | None = None
        while True:
            await anyio.sleep(PUBLISH_INTERVAL_S)
            current = readers_of_fleet(self.members) if self.lock.is_held() else None
            if current is None or current == self.published or current != previous:
                previous = current
                continue
            value = msgspec.json.encode(current)
            try:
                revision = await self.store.write(READERS_KEY, value, self.revision)
            except (ConflictError, StoreError) as error:
                log.info("list of readers not published", error=str(error))
                continue
            self.published, self.revision = current, revision
            log.info("readers published", readers=len(current.readers))

    async def _read_published(self) -> ReaderList | None:
        """Return the list in the store, None if it has none that can be decoded."""
        listing = await self.store.list(READERS_KEY)
        for stored in listing.values:
            if stored.key != READERS_KEY:
                continue
            try:
                self.observe(READERS_KEY, stored)
            except msgspec.DecodeError as error:
                log.warning("list of readers cannot be decoded", error=str(error))
        return self.published

    def _published_readers(self, published: ReaderList) -> list[Reader]:
        """Return the readers of this failure domain, none for one of the readers."""
        if published.includes(self.name):
            return []
        return [
            Reader(
                reader.name,
                functools.partial(
                    self._request_first_changes,
                    MemberRecord(reader.name, reader.address, incarnation=""),
                ),
            )
            for reader in published.in_domain(self.place.failure_domain)
        ]

    async def _request_first_changes(
        self, reader: MemberRecord, request: ChangesRequest
    ) -> ChangesReply:
        """Request changes from a reader that may still be starting.

        Raises
        ------
        PeerError
            If the reader gives no reply in time.
        """
        give_up_at = boot_time_s() + READER_START_WAIT_S
        while True:
            try:
                with anyio.fail_after(FIRST_LISTING_TIMEOUT_S):
                    return await self.peers.request_changes(reader, request)
            except TimeoutError:
                raise PeerError(
                    f"{reader.name}: no reply within {FIRST_LISTING_TIMEOUT_S} s"
                ) from None
            except PeerError:
                if boot_time_s() >= give_up_at:
                    raise
            await anyio.sleep(READER_RETRY_PAUSE_S)
