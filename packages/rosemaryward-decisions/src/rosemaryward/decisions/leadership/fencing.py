"""Fence of one announced change of primary at all members."""

from collections.abc import Callable

import anyio
import structlog

from rosemaryward.decisions.clock import boot_time_s
from rosemaryward.decisions.errors import PeerError, StoreError
from rosemaryward.decisions.leadership.fence_reports import FenceReports
from rosemaryward.decisions.leadership.members import (
    FenceReply,
    FenceRequest,
    MemberDirectory,
    MemberRecord,
    PeerChannel,
)
from rosemaryward.decisions.types import LogPosition

__all__ = ["MemberFence"]

FENCE_RETRY_S = 0.1
REPORT_POLL_INTERVAL_S = 0.25

log = structlog.get_logger(__name__)


class MemberFence:
    """Makes all members stop using a primary.

    Parameters
    ----------
    request : FenceRequest
        Fence to put in place.
    members : MemberDirectory
        Members that may use the primary.
    peers : PeerChannel
        Requests to the members.
    reports : FenceReports
        Replies of members that this one does not reach.
    is_active : callable
        Returns whether this process may still change the primary.
    clock : callable, optional
        Boot time in seconds.

    Attributes
    ----------
    acknowledged : LogPosition
        Newest position of an acknowledged write, as reported by fenced members.
    committed : LogPosition
        Newest position that an acknowledged write has at least, reported likewise.
    fenced : set of str
        Incarnations of the processes that have stopped.
    asking : set of str
        Incarnations of the processes that a request is on its way to.
    confirmed : anyio.Event
        Set, then replaced, whenever a process has stopped.
    """

    def __init__(
        self,
        request: FenceRequest,
        members: MemberDirectory,
        peers: PeerChannel,
        reports: FenceReports,
        is_active: Callable[[], bool],
        clock: Callable[[], float] = boot_time_s,
    ) -> None:
        self.request = request
        self.members = members
        self.peers = peers
        self.reports = reports
        self.is_active = is_active
        self.clock = clock
        self.acknowledged = LogPosition()
        self.committed = LogPosition()
        self.fenced: set[str] = set()
        self.asking: set[str] = set()
        self.confirmed = anyio.Event()

    async def run(self, until: float) -> bool:
        """Wait until every member has stopped.

        Parameters
        ----------
        until : float
            Boot time in seconds at which to end the wait.

        Returns
        -------
        bool
            Whether every member has answered.
        """
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(self._request_fences)
            tasks.start_soon(self._read_reports)
            while self.clock() < until and self.is_active() and not self.is_complete():
                with anyio.move_on_after(FENCE_RETRY_S):
                    await self.confirmed.wait()
            tasks.cancel_scope.cancel()
        return self.is_complete()

    def is_complete(self) -> bool:
        """Return whether no member can use the primary any more."""
        return not self.unfenced() and self.members.are_all_known()

    def unfenced(self) -> list[MemberRecord]:
        """Return the members that have not stopped."""
        return [
            member
            for member in self.members.members_to_fence()
            if member.incarnation not in self.fenced
        ]

    async def _request_fences(self) -> None:
        """Ask the members that have not stopped, until cancelled.

        A request to one that does not answer delays no further request to the others.
        """
        async with anyio.create_task_group() as tasks:
            while True:
                for member in self.unfenced():
                    if member.incarnation not in self.asking:
                        self.asking.add(member.incarnation)
                        tasks.start_soon(self._fence_member, member)
                await anyio.sleep(FENCE_RETRY_S)

    async def _fence_member(self, member: MemberRecord) -> None:
        """Fence a member and record its reply if it answers."""
        try:
            reply = await self.peers.fence(member, self.request)
        except PeerError as error:
            log.info(
                "fence request to a member failed",
                member=member.name,
                error=str(error),
            )
            return
        finally:
            self.asking.discard(member.incarnation)
        # A new process at the old address has none of its predecessor's confirmations,
        # and does not know what its predecessor has seen acknowledged.
        if reply.incarnation != member.incarnation:
            self.members.observe_end()
        self.fenced.add(member.incarnation)
        self._record(reply)

    async def _read_reports(self) -> None:
        """Read the replies that reach this process through the store."""
        while True:
            await anyio.sleep(REPORT_POLL_INTERVAL_S)
            try:
                replies = await self.reports.read(self.request)
            except StoreError as error:
                log.info("fence reports cannot be read", error=str(error))
                continue
            for reply in replies:
                self._record(reply)

    def _record(self, reply: FenceReply) -> None:
        self.fenced.add(reply.incarnation)
        self.acknowledged = max(self.acknowledged, reply.acknowledged)
        self.committed = max(self.committed, reply.committed)
        self.confirmed.set()
        self.confirmed = anyio.Event()
