"""Confirmation of the primaries' records, by the store or through other members."""

from collections.abc import Callable, Iterable

import anyio
import structlog

from rosemaryward.decisions.clock import boot_time_s
from rosemaryward.decisions.errors import PeerError
from rosemaryward.decisions.leadership.members import (
    ConfirmationReply,
    ConfirmationRequest,
    MemberDirectory,
    MemberRecord,
    PeerChannel,
)
from rosemaryward.decisions.leadership.readers import (
    all_members_read_store,
    readers_in_domain,
)
from rosemaryward.decisions.leadership.records import (
    CONFIRMATION_VALIDITY_S,
    Leadership,
)

__all__ = ["Confirmation"]

RELAY_INTERVAL_S = 0.5
READ_AGE_LIMIT_S = 2.5  # of a reader's last read; one that is older has failed
RELAY_AFTER_S = 2.0  # age of a confirmation before other members are asked
WATCH_PAUSE_S = 0.3  # members are told a new primary's record without the store
OUTAGE_LIMIT_S = 10.0  # shorter than a new process takes to gain the duty

log = structlog.get_logger(__name__)


class Confirmation:
    """Keeps the records confirmed while the store cannot be reached.

    A member that the store answers passes its confirmation on. If the store answers
    no member, nobody can announce a change: every registered member then says that it
    has announced none, which confirms the records as of the time of the question.

    Parameters
    ----------
    incarnation : str
        This process.
    leadership : Leadership
    peers : PeerChannel
    clock : callable, optional
    directory : MemberDirectory, optional
        Tells who reads the store for whom in a large fleet.
    on_request : callable, optional
        Called with the incarnation of each process that asks.

    Attributes
    ----------
    changes_in_progress : int
        Changes of a primary that this process has begun and not yet seen settled.
    """

    def __init__(
        self,
        incarnation: str,
        leadership: Leadership,
        peers: PeerChannel,
        clock: Callable[[], float] = boot_time_s,
        directory: MemberDirectory | None = None,
        on_request: Callable[[str], None] | None = None,
    ) -> None:
        self.on_request = on_request
        self.directory = directory or MemberDirectory(clock)
        self.incarnation = incarnation
        self.leadership = leadership
        self.peers = peers
        self.clock = clock
        self.changes_in_progress = 0
        self.read_at = float("-inf")
        self.members: list[MemberRecord] = []
        self.revision = 0

    def record_read(
        self, sent_at: float, members: Iterable[MemberRecord], revision: int = 0
    ) -> None:
        """Take over a read of all records and members that the store answered.

        Parameters
        ----------
        sent_at : float
            Boot time in seconds.
        members : iterable of MemberRecord
            Members whose registration and lease the read showed.
        revision : int
            Revision of the store at the read.
        """
        living = list(members)
        if not self._lists(living, self.incarnation):
            return
        self.read_at = sent_at
        self.members = living
        self.revision = revision
        self.leadership.confirm(sent_at)

    def reply(self, request: ConfirmationRequest) -> ConfirmationReply:
        """Return what the store last confirmed to this process."""
        leadership = self.leadership
        registered = self._lists(self.members, request.incarnation)
        if self.on_request is not None:
            self.on_request(request.incarnation)
        records = {
            group: (record, leadership.revisions[group])
            for group, record in leadership.records.items()
        }
        return ConfirmationReply(
            age_s=self.clock() - self.read_at,
            registered=registered,
            changing=self.changes_in_progress > 0,
            records=records,
            revision=self.revision,
        )

    async def confirm_through_reader(self) -> int:
        """Confirm the records through a member that reads the store for this one.

        Returns
        -------
        int
            Revision of the store that the member read, 0 if this process has to read
            the store itself.
        """
        for reader in self._readers():
            asked_at = self.clock()
            try:
                reply = await self.peers.request_confirmation(
                    reader, ConfirmationRequest(self.incarnation)
                )
            except PeerError as error:
                log.info("reader unreachable", member=reader.name, error=str(error))
                continue
            if not reply.registered or reply.age_s > READ_AGE_LIMIT_S:
                continue
            self._observe(reply)
            self.leadership.confirm(asked_at - reply.age_s)
            return reply.revision
        return 0

    def watch_pause_s(self) -> float:
        """Return for how long to collect changes between two watches of the store.

        Every change ends the watches of the whole fleet, and each costs a call.
        """
        small = all_members_read_store(self.directory.live_members())
        return 0.0 if small else WATCH_PAUSE_S

    def _readers(self) -> list[MemberRecord]:
        """Return the members that read the store for this one, empty if none does."""
        living = self.directory.live_members()
        own = [member for member in living if member.incarnation == self.incarnation]
        if not own or all_members_read_store(living):
            return []
        readers = readers_in_domain(living, own[0].place.failure_domain)
        return [] if own[0] in readers else readers

    def _observe(self, reply: ConfirmationReply) -> None:
        for group, (record, revision) in reply.records.items():
            self.leadership.observe(group, record, revision)

    async def run(self) -> None:
        """Ask other members whenever the store has not answered for a while."""
        relayed = False
        while True:
            await anyio.sleep(RELAY_INTERVAL_S)
            now = self.clock()
            if not self.members or self._is_recent(now):
                relayed = False
                continue
            source = await self.confirm_through_members()
            if bool(source) != relayed:
                relayed = bool(source)
                log.warning(
                    "records confirmed by members" if source else "records unconfirmed",
                    source=source,
                    read_age_s=round(now - self.read_at, 3),
                )

    async def confirm_through_members(self) -> str:
        """Confirm the records through other members.

        Returns
        -------
        str
            Which kind of answer confirmed them, empty if none did.
        """
        asked_at = self.clock()
        others = self._others()
        replies: list[ConfirmationReply] = []

        async def ask(member: MemberRecord) -> None:
            request = ConfirmationRequest(self.incarnation)
            try:
                replies.append(await self.peers.request_confirmation(member, request))
            except PeerError as error:
                log.debug(
                    "confirmation unanswered", member=member.name, error=str(error)
                )

        async with anyio.create_task_group() as tasks:
            for member in others:
                tasks.start_soon(ask, member)
        for reply in replies:
            self._observe(reply)
        ages = [reply.age_s for reply in replies if reply.registered]
        if ages and min(ages) < CONFIRMATION_VALIDITY_S:
            self.leadership.confirm(asked_at - min(ages))
            return "a member that the store answers"
        # A member whose read does not show this process may already count it as absent.
        registered = sum(reply.registered for reply in replies)
        everyone = registered == len(others) == len(self.members) - 1 > 0
        changing = self.changes_in_progress > 0 or any(
            reply.changing for reply in replies
        )
        short = asked_at < self.read_at + OUTAGE_LIMIT_S
        if everyone and short and not changing:
            self.leadership.confirm(asked_at)
            return "all members, none of which the store answers"
        return ""

    def _is_recent(self, now: float) -> bool:
        """Return whether the store, or a reader of it, has answered lately."""
        if self._readers():
            limit_s = READ_AGE_LIMIT_S + RELAY_AFTER_S
            return now - self.leadership.confirmed_at < limit_s
        return now - self.read_at < RELAY_AFTER_S

    def _others(self) -> list[MemberRecord]:
        """Return the members to ask: all, or the readers of a large fleet."""
        members = self.members
        living = self.directory.live_members()
        if not all_members_read_store(living):
            domains = {member.place.failure_domain for member in living}
            members = [
                m for domain in domains for m in readers_in_domain(living, domain)
            ]
        return [m for m in members if m.incarnation != self.incarnation]

    def _lists(self, members: Iterable[MemberRecord], incarnation: str) -> bool:
        return any(member.incarnation == incarnation for member in members)
