"""Fence replies that reach the holder of the failover lock through the store.

A partition may separate the holder from members that the store still answers. Such a
member sees the announcement of a change in the store, fences itself and writes its
reply there. It does the same for members that only it can reach, which are those that
request confirmations from it. The change need not wait until their confirmations
expire.
"""

from collections.abc import Callable
from urllib.parse import quote

import anyio
import msgspec
import structlog

from rosemaryward.decisions.clock import boot_time_s
from rosemaryward.decisions.decoding import decode_json
from rosemaryward.decisions.errors import ConflictError, PeerError, StoreError
from rosemaryward.decisions.leadership.members import (
    FenceReply,
    FenceRequest,
    MemberDirectory,
    MemberRecord,
    PeerChannel,
)
from rosemaryward.decisions.leadership.readers import (
    all_members_read_store,
    readers_to_follow,
)
from rosemaryward.decisions.leadership.records import (
    CONFIRMATION_VALIDITY_S,
    Leadership,
)
from rosemaryward.decisions.mirror import LeaseStore

__all__ = ["FenceReporter", "FenceReports"]

DIRECT_REQUEST_WAIT_S = 0.3  # the holder's request usually arrives sooner
FOLLOWER_WAIT_S = 1.2  # lets the reader of a large fleet report its followers first
WRITE_ATTEMPTS = 3
REPORT_LEASE_S = 15.0  # longer than a change waits for any member

log = structlog.get_logger(__name__)


class FenceReports:
    """Fence replies in the store, by group, epoch and reporting member.

    Parameters
    ----------
    store : LeaseStore
        Store that holds the reports.
    prefix : str
        Prefix of the keys; quoted group, epoch and the member's name follow.
    """

    def __init__(self, store: LeaseStore, prefix: str) -> None:
        self.store = store
        self.prefix = prefix

    async def write(
        self, request: FenceRequest, member: str, replies: list[FenceReply]
    ) -> None:
        """Write the replies that a member has collected.

        Parameters
        ----------
        request : FenceRequest
            Fence that the replies confirm.
        member : str
            Name of the reporting member.
        replies : list of FenceReply
            Its own reply and those of members that it has asked.

        Raises
        ------
        ConflictError
            If the member has already reported.
        StoreError
            If the store does not answer.
        """
        lease_id = await self.store.grant_lease(REPORT_LEASE_S)
        key = f"{self._prefix_of(request)}{member}"
        await self.store.write(key, msgspec.json.encode(replies), 0, lease_id)

    async def read(self, request: FenceRequest) -> list[FenceReply]:
        """Return all reported replies to a fence; raises `StoreError`."""
        listing = await self.store.list(self._prefix_of(request))
        replies: list[FenceReply] = []
        for stored in listing.values:
            try:
                replies += decode_json(stored.value, list[FenceReply])
            except msgspec.DecodeError as error:
                log.warning(
                    "fence report cannot be decoded", key=stored.key, error=str(error)
                )
        return replies

    def _prefix_of(self, request: FenceRequest) -> str:
        return f"{self.prefix}{quote(request.group, safe='')}/{request.epoch}/"


class FenceReporter:
    """Reports the fences of members that the holder of the lock does not reach.

    Parameters
    ----------
    name : str
        Name of this member.
    incarnation : str
        Incarnation of this process.
    leadership : Leadership
        Records and fences of this member.
    members : MemberDirectory
        Members that may have requested confirmations from this one.
    peers : PeerChannel
        Requests to these members.
    reports : FenceReports
        Receives the replies.
    clock : callable, optional
        Boot time in seconds.

    Attributes
    ----------
    asked_at : dict of str to float
        Boot time of the last confirmation request of each process, by incarnation.
    reported_epochs : dict of str to int
        Epoch of the newest announcement seen, by group.
    """

    def __init__(
        self,
        name: str,
        incarnation: str,
        leadership: Leadership,
        members: MemberDirectory,
        peers: PeerChannel,
        reports: FenceReports,
        clock: Callable[[], float] = boot_time_s,
    ) -> None:
        self.name = name
        self.incarnation = incarnation
        self.leadership = leadership
        self.members = members
        self.peers = peers
        self.reports = reports
        self.clock = clock
        self.asked_at: dict[str, float] = {}
        self.reported_epochs: dict[str, int] = {}
        self.changed = anyio.Event()
        leadership.change_listeners.append(self._notify)

    def record_request(self, incarnation: str) -> None:
        """Record that a process requested a confirmation from this member."""
        now = self.clock()
        self.asked_at[incarnation] = now
        oldest = now - CONFIRMATION_VALIDITY_S
        if min(self.asked_at.values()) < oldest:
            self.asked_at = {i: at for i, at in self.asked_at.items() if at >= oldest}

    async def run(self) -> None:
        """Report fences until cancelled."""
        async with anyio.create_task_group() as tasks:
            while True:
                for request in self._new_announcements():
                    tasks.start_soon(self.report, request)
                await self.changed.wait()
                self.changed = anyio.Event()

    def _notify(self, group: str) -> None:
        self.changed.set()

    def _new_announcements(self) -> list[FenceRequest]:
        """Return a request for each change that was announced since the last call."""
        announced = [
            FenceRequest(group, record.epoch)
            for group, record in self.leadership.records.items()
            if not record.serving and record.epoch > self.reported_epochs.get(group, 0)
        ]
        for request in announced:
            self.reported_epochs[request.group] = request.epoch
        return announced

    async def report(self, request: FenceRequest) -> None:
        """Fence a primary and report it, unless the holder requests it directly."""
        own = self.members.members.get(self.name)
        domain = "" if own is None else own.place.failure_domain
        follows = readers_to_follow(self.members, self.name, domain)
        await anyio.sleep(FOLLOWER_WAIT_S if follows else DIRECT_REQUEST_WAIT_S)
        if self._is_fenced(request) or not self._is_changing(request):
            return
        position = await self.leadership.fence_and_drain(request.group, request.epoch)
        committed = self.leadership.committed_position(request.group)
        replies = [FenceReply(self.incarnation, position, committed)]
        async with anyio.create_task_group() as tasks:
            for member in self._members_to_ask():
                tasks.start_soon(self._ask, member, request, replies)
        await self._write(request, replies)

    def _is_fenced(self, request: FenceRequest) -> bool:
        return self.leadership.fence_epochs.get(request.group, 0) >= request.epoch

    def _is_changing(self, request: FenceRequest) -> bool:
        record = self.leadership.records[request.group]
        return record.epoch == request.epoch and not record.serving

    def _members_to_ask(self) -> list[MemberRecord]:
        """Return the members to fence on behalf of the holder.

        A member that lacks the store requests confirmations from all readers of a large
        fleet; only the reader that it would follow reports it.
        """
        asking = [
            member
            for member in self.members.members.values()
            if member.incarnation in self.asked_at
            and member.incarnation != self.incarnation
        ]
        if all_members_read_store(self.members.members.values()):
            return asking
        return [m for m in asking if self._is_followed_by(m)]

    def _is_followed_by(self, member: MemberRecord) -> bool:
        """Return whether this member is the first reader that another one follows."""
        domain = member.place.failure_domain
        readers = readers_to_follow(self.members, member.name, domain)
        return bool(readers) and readers[0].name == self.name

    async def _ask(
        self, member: MemberRecord, request: FenceRequest, replies: list[FenceReply]
    ) -> None:
        """Fence a member and add its reply if it answers."""
        try:
            replies.append(await self.peers.fence(member, request))
        except PeerError as error:
            log.info(
                "fence request to a member failed",
                member=member.name,
                error=str(error),
            )

    async def _write(self, request: FenceRequest, replies: list[FenceReply]) -> None:
        for _ in range(WRITE_ATTEMPTS):
            try:
                await self.reports.write(request, self.name, replies)
            except ConflictError:
                return  # an earlier attempt was written and its answer lost
            except StoreError as error:
                log.info(
                    "fence not reported",
                    group=request.group,
                    epoch=request.epoch,
                    error=str(error),
                )
                continue
            log.info(
                "fence reported",
                group=request.group,
                epoch=request.epoch,
                members=len(replies),
            )
            return
