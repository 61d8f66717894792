"""Confirmation of the primaries' records, by the store or through other members."""

from collections.abc import Callable, Iterable

import anyio
import structlog

from rosemaryward.decisions.clock import boot_time_s
from rosemaryward.decisions.errors import PeerError
from rosemaryward.decisions.leadership.members import (
    ConfirmationReply,
    ConfirmationRequest,
    MemberRecord,
    PeerChannel,
)
from rosemaryward.decisions.leadership.records import CONFIRMATION_S, Leadership

__all__ = ["Confirmation"]

RELAY_INTERVAL_S = 0.5
RELAY_AFTER_S = 2.0  # age of a confirmation before other members are asked
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

    Attributes
    ----------
    changing : int
        Changes of a primary that this process has begun and not yet seen settled.
    """

    def __init__(
        self,
        incarnation: str,
        leadership: Leadership,
        peers: PeerChannel,
        clock: Callable[[], float] = boot_time_s,
    ) -> None:
        self.incarnation = incarnation
        self.leadership = leadership
        self.peers = peers
        self.clock = clock
        self.changing = 0
        self.read_at = float("-inf")
        self.members: list[MemberRecord] = []

    def note_read(self, sent_at: float, members: Iterable[MemberRecord]) -> None:
        """Take over a read of all records and members that the store answered.

        Parameters
        ----------
        sent_at : float
            Boot time in seconds.
        members : iterable of MemberRecord
            Members whose registration and lease the read showed.
        """
        living = list(members)
        if not self._lists(living, self.incarnation):
            return
        self.read_at = sent_at
        self.members = living
        self.leadership.confirm(sent_at)

    def reply(self, request: ConfirmationRequest) -> ConfirmationReply:
        """Return what the store last confirmed to this process."""
        leadership = self.leadership
        records = {
            group: (record, leadership.revisions[group])
            for group, record in leadership.records.items()
        }
        return ConfirmationReply(
            age_s=self.clock() - self.read_at,
            registered=self._lists(self.members, request.incarnation),
            changing=self.changing > 0,
            records=records,
        )

    async def run(self) -> None:
        """Ask other members whenever the store has not answered for a while."""
        relayed = False
        while True:
            await anyio.sleep(RELAY_INTERVAL_S)
            now = self.clock()
            if now - self.read_at < RELAY_AFTER_S or not self.members:
                relayed = False
                continue
            source = await self.ask_members()
            if bool(source) != relayed:
                relayed = bool(source)
                log.warning(
                    "records confirmed by members" if source else "records unconfirmed",
                    source=source,
                    read_age_s=round(now - self.read_at, 3),
                )

    async def ask_members(self) -> str:
        """Confirm the records through other members.

        Returns
        -------
        str
            Which kind of answer confirmed them, empty if none did.
        """
        asked_at = self.clock()
        others = [m for m in self.members if m.incarnation != self.incarnation]
        replies: list[ConfirmationReply] = []

        async def ask(member: MemberRecord) -> None:
            request = ConfirmationRequest(self.incarnation)
            try:
                replies.append(await self.peers.confirmation(member, request))
            except PeerError as error:
                log.debug(
                    "confirmation unanswered", member=member.name, error=str(error)
                )

        async with anyio.create_task_group() as tasks:
            for member in others:
                tasks.start_soon(ask, member)
        for reply in replies:
            for group, (record, revision) in reply.records.items():
                self.leadership.observe(group, record, revision)
        ages = [reply.age_s for reply in replies if reply.registered]
        if ages and min(ages) < CONFIRMATION_S:
            self.leadership.confirm(asked_at - min(ages))
            return "a member that the store answers"
        # A member whose read does not show this process may already count it as absent.
        registered = sum(reply.registered for reply in replies)
        everyone = registered == len(others) and bool(others)
        changing = self.changing > 0 or any(reply.changing for reply in replies)
        short = asked_at < self.read_at + OUTAGE_LIMIT_S
        if everyone and short and not changing:
            self.leadership.confirm(asked_at)
            return "all members, none of which the store answers"
        return ""

    def _lists(self, members: Iterable[MemberRecord], incarnation: str) -> bool:
        return any(member.incarnation == incarnation for member in members)
