"""Confirmation of the primary records by the store or through other members."""

import contextlib
from collections.abc import Callable, Iterable, Iterator

import anyio
import structlog

from rosemaryward.decisions.clock import boot_time_s
from rosemaryward.decisions.errors import PeerError
from rosemaryward.decisions.leadership.members import (
    CLOCK_DRIFT_MARGIN_S,
    ConfirmationReply,
    ConfirmationRequest,
    IntroductionRequest,
    MemberDirectory,
    MemberRecord,
    PeerChannel,
)
from rosemaryward.decisions.leadership.readers import (
    all_members_read_store,
    readers_in_domain,
    readers_to_follow,
)
from rosemaryward.decisions.leadership.records import (
    CONFIRMATION_VALIDITY_S,
    Leadership,
)
from rosemaryward.decisions.mirror import (
    READER_MAX_READ_AGE_S,
    ReaderFailures,
    StoreRead,
    generation_of,
)

__all__ = ["Confirmation"]

CHECK_INTERVAL_S = 0.5
ASK_MEMBERS_AFTER_S = 2.0  # age of the last confirmation
WATCH_PAUSE_S = 0.3  # a new primary's record is sent to the members directly
# Shorter than a new process takes to acquire the failover lock.
MAX_BRIDGED_OUTAGE_S = 10.0
# A reader that is asked by a process it does not know reads the store again, unless it
# has just done so. All processes that start within this time share the read.
MIN_READ_INTERVAL_S = 0.1
# Share of the members that need not answer a new process; one need not in any fleet.
MAX_UNREACHED_SHARE = 0.25
INTRODUCTION_RETRY_S = 0.1
INTRODUCTION_TIMEOUT_S = 2.0  # members that have registered since are asked thereafter
REGISTRATION_POLL_S = 0.1
REGISTRATION_WAIT_S = 1.0  # longer than a reader takes to read the store twice

log = structlog.get_logger(__name__)


class Confirmation:
    """Keeps the primary records confirmed, also while the store is unreachable.

    A member that can reach the store passes its confirmation on. If no member can, no
    change can be announced: if every registered member answers that it has announced
    none, the records are confirmed as of the time of the request. The members name
    processes that the asking one does not know, and these are asked as well.

    Parameters
    ----------
    incarnation : str
        Incarnation of this process.
    leadership : Leadership
        Primary records to confirm.
    peers : PeerChannel
        Requests to other members.
    clock : callable, optional
        Boot time in seconds.
    directory : MemberDirectory, optional
        Live members, which determine the readers of a large fleet.
    on_request : callable, optional
        Called with the incarnation of each process that requests a confirmation.
    reader_failures : ReaderFailures, optional
        Readers that are not asked, because they failed recently.
    read_store_soon : callable, optional
        Requests a read of the store, because a process asks that the last one did
        not show.

    Attributes
    ----------
    changes_in_progress : int
        Number of changes of primary that this process is running.
    change_ended : anyio.Event
        Set, then replaced, whenever one of them ends.
    read_at : float
        Boot time at which the last read that confirmed the records was sent.
    members : list of MemberRecord
        Live members according to that read.
    revision : int
        Store revision of that read.
    relayed_at : float
        Boot time of the newest read that another member has passed on.
    introduced : dict of str to tuple of MemberRecord and float
        New processes that have introduced themselves, by incarnation, with the boot
        time of their request.
    leaving : bool
        Whether this process is about to remove its registration.
    max_read_age_s : float
        Age of a reader's last read above which it confirms nothing, in seconds.
    """

    def __init__(
        self,
        incarnation: str,
        leadership: Leadership,
        peers: PeerChannel,
        clock: Callable[[], float] = boot_time_s,
        directory: MemberDirectory | None = None,
        on_request: Callable[[str], None] | None = None,
        reader_failures: ReaderFailures | None = None,
        read_store_soon: Callable[[], None] | None = None,
    ) -> None:
        self.read_store_soon = read_store_soon
        self.reader_failures = reader_failures or ReaderFailures(clock)
        self.on_request = on_request
        self.directory = directory or MemberDirectory(clock)
        self.incarnation = incarnation
        self.leadership = leadership
        self.peers = peers
        self.clock = clock
        self.changes_in_progress = 0
        self.change_ended = anyio.Event()
        self.read_at = float("-inf")
        self.members: list[MemberRecord] = []
        self.revision = 0
        self.relayed_at = float("-inf")
        self.introduced: dict[str, tuple[MemberRecord, float]] = {}
        self.leaving = False
        self.max_read_age_s = READER_MAX_READ_AGE_S

    def record_read(
        self, sent_at: float, members: Iterable[MemberRecord], revision: int = 0
    ) -> None:
        """Confirm the records by a read of the store, if it shows this process.

        Parameters
        ----------
        sent_at : float
            Boot time at which the read was sent, in seconds.
        members : iterable of MemberRecord
            Members whose registration and liveness key the read showed.
        revision : int
            Store revision of the read.
        """
        live = list(members)
        if not self._contains(live, self.incarnation):
            return
        self.read_at = sent_at
        self.members = live
        self.revision = revision
        self.leadership.confirm(sent_at, generation_of(revision))

    async def collect_records(self) -> bool:
        """Ask all members for their records, to find those that the store has lost.

        Returns
        -------
        bool
            Whether every process that may have used a primary has answered.
        """
        others = [
            member
            for member in self.directory.members_to_fence()
            if member.incarnation != self.incarnation
        ]
        replies = await self._ask(others)
        for reply in replies:
            self._observe_records(reply)
        answered = {reply.incarnation for reply in replies}
        return all(member.incarnation in answered for member in others)

    def observe_introduction(self, member: MemberRecord) -> None:
        """Take account of a new process that may soon change primaries."""
        if member.incarnation not in self.introduced:
            log.info("new process introduced", member=member.name)
        self.introduced[member.incarnation] = (member, self.clock())

    async def introduce(self) -> bool:
        """Make this new process known to the members before it changes primaries.

        A member that is cut off from the store confirms the records if all processes
        that it knows answer. At least one of them, if it can answer at all, has been
        told of this process and names it, unless they are all among the unreached.

        Returns
        -------
        bool
            Whether no member can confirm the records without asking this process.
        """
        own = self._own_registration()
        is_confirmed = self.leadership.confirmed_at > float("-inf")
        if own is None or not is_confirmed or not self.directory.are_all_known():
            return False
        registered = {*self.members, *self.directory.members.values()}
        others = [m for m in registered if m.incarnation != self.incarnation]
        max_unreached = max(1, int(len(registered) * MAX_UNREACHED_SHARE))
        unreached = {member.incarnation: member.name for member in others}

        async def introduce_to(member: MemberRecord) -> None:
            while member.incarnation in unreached:
                try:
                    await self.peers.introduce(member, IntroductionRequest(own))
                except PeerError as error:
                    log.debug(
                        "introduction to a member failed",
                        member=member.name,
                        error=str(error),
                    )
                    await anyio.sleep(INTRODUCTION_RETRY_S)
                    continue
                del unreached[member.incarnation]
            answered.set()

        answered = anyio.Event()
        async with anyio.create_task_group() as tasks:
            for member in others:
                tasks.start_soon(introduce_to, member)
            with anyio.move_on_after(INTRODUCTION_TIMEOUT_S):
                while len(unreached) > max_unreached:
                    await answered.wait()
                    answered = anyio.Event()
            tasks.cancel_scope.cancel()
        log.info(
            "introduced to members",
            asked=len(others),
            unreached=sorted(unreached.values()),
            accepted=len(unreached) <= max_unreached,
        )
        return len(unreached) <= max_unreached

    def _own_registration(self) -> MemberRecord | None:
        """Return the registration of this process, None without one."""
        for member in self.directory.members.values():
            if member.incarnation == self.incarnation:
                return member
        return None

    def _introduced_members(self) -> list[MemberRecord]:
        """Return the new processes that a member may lack in its last read."""
        oldest = self.clock() - MAX_BRIDGED_OUTAGE_S - CLOCK_DRIFT_MARGIN_S
        self.introduced = {
            incarnation: (member, introduced_at)
            for incarnation, (member, introduced_at) in self.introduced.items()
            if introduced_at > oldest
        }
        return [member for member, _ in self.introduced.values()]

    def reply(self, request: ConfirmationRequest) -> ConfirmationReply:
        """Return what the store last confirmed to this process."""
        leadership = self.leadership
        registered = (
            self._contains(self.members, request.incarnation) and not self.leaving
        )
        if self.on_request is not None:
            self.on_request(request.incarnation)
        if not registered and not self._is_absent(request.incarnation):
            self._request_read()
        records = {
            group: (record, leadership.revisions[group])
            for group, record in leadership.records.items()
        }
        return ConfirmationReply(
            age_s=self.clock() - self.read_at,
            registered=registered,
            changing=self._may_miss_change() or self._asks_no_new_process(request),
            records=records,
            revision=self.revision,
            incarnation=self.incarnation,
            not_asked=self._members_not_asked(request),
        )

    def _asks_no_new_process(self, request: ConfirmationRequest) -> bool:
        """Return whether an earlier build asks, which does not ask those named."""
        return not request.asked and bool(self._introduced_members())

    def _members_not_asked(
        self, request: ConfirmationRequest
    ) -> tuple[MemberRecord, ...]:
        """Return the known processes that a request for all replies does not name."""
        if not request.asked:
            return ()
        known = {m.incarnation: m for m in [*self.members, *self._introduced_members()]}
        unasked = known.keys() - {request.incarnation, *request.asked}
        return tuple(known[incarnation] for incarnation in unasked)

    def _is_absent(self, incarnation: str) -> bool:
        """Return whether a process is known to have lost its liveness key."""
        return any(
            member.incarnation == incarnation and name not in self.directory.alive
            for name, member in self.directory.members.items()
        )

    def _request_read(self) -> None:
        """Request a read of the store, unless one was sent just now."""
        is_due = self.clock() - self.read_at >= MIN_READ_INTERVAL_S
        if is_due and self.read_store_soon is not None:
            self.read_store_soon()

    @contextlib.contextmanager
    def track_change(self) -> Iterator[None]:
        """Count a change of primary for as long as the context is open."""
        self.changes_in_progress += 1
        try:
            yield
        finally:
            self.changes_in_progress -= 1
            self.change_ended.set()
            self.change_ended = anyio.Event()

    async def wait_for_changes(self) -> None:
        """Wait until this process runs no change of primary."""
        while self.changes_in_progress:
            await self.change_ended.wait()

    def _may_miss_change(self) -> bool:
        """Return whether a change may have begun since the last read of the store."""
        is_restored = generation_of(self.revision) < self.leadership.generation
        return self.changes_in_progress > 0 or is_restored

    async def confirm_registration(self) -> StoreRead | None:
        """Confirm the records through a reader that first has to see this process.

        Returns
        -------
        StoreRead or None
            Read of the reader, None if this process has to read the store itself.
        """
        give_up_at = self.clock() + REGISTRATION_WAIT_S
        while self.clock() < give_up_at:
            readers = self._readers_after_registration()
            if all(self.reader_failures.is_avoided(reader.name) for reader in readers):
                return None
            read = await self._confirm_through(readers)
            if read is not None:
                return read
            await anyio.sleep(REGISTRATION_POLL_S)
        return None

    async def confirm_through_reader(self) -> StoreRead | None:
        """Confirm the records through a reader of this process's failure domain.

        Returns
        -------
        StoreRead or None
            Read of the reader, None if this process has to read the store itself.
        """
        return await self._confirm_through(self._readers())

    async def _confirm_through(
        self, readers: Iterable[MemberRecord]
    ) -> StoreRead | None:
        """Confirm the records through the first reader whose read is recent."""
        for reader in readers:
            if self.reader_failures.is_avoided(reader.name):
                continue
            asked_at = self.clock()
            try:
                reply = await self.peers.request_confirmation(
                    reader, ConfirmationRequest(self.incarnation)
                )
            except PeerError as error:
                log.info("reader unreachable", member=reader.name, error=str(error))
                self.reader_failures.record(reader.name, "no reply")
                continue
            if not reply.registered or reply.age_s > self.max_read_age_s:
                continue
            self._observe_records(reply)
            read_at = asked_at - reply.age_s
            self.relayed_at = max(self.relayed_at, read_at)
            self.leadership.confirm(read_at, generation_of(reply.revision))
            return StoreRead(reply.revision, read_at)
        return None

    def watch_pause_s(self) -> float:
        """Return the seconds to collect changes between two watches of the store.

        Each change ends the watches of the whole fleet, and each watch costs a call,
        so a large fleet pauses.
        """
        is_small = all_members_read_store(self.directory.live_members())
        return 0.0 if is_small else WATCH_PAUSE_S

    def _readers_after_registration(self) -> list[MemberRecord]:
        """Return the readers to ask before this process is seen as a live member."""
        for member in self.directory.members.values():
            if member.incarnation == self.incarnation:
                domain = member.place.failure_domain
                return readers_to_follow(self.directory, member.name, domain)
        return []

    def _readers(self) -> list[MemberRecord]:
        """Return the readers that this process asks, empty if it reads itself.

        The one that it follows comes last, so that a read of the other one shows
        whether it is behind.
        """
        live = self.directory.live_members()
        own = [member for member in live if member.incarnation == self.incarnation]
        if not own or all_members_read_store(live):
            return []
        readers = readers_to_follow(
            self.directory, own[0].name, own[0].place.failure_domain
        )
        return readers[::-1]

    def _observe_records(self, reply: ConfirmationReply) -> None:
        """Apply the records of a reply."""
        for group, (record, revision) in reply.records.items():
            self.leadership.observe(group, record, revision)

    async def run(self) -> None:
        """Ask other members whenever the last confirmation is too old."""
        confirmed_by_members = False
        while True:
            await anyio.sleep(CHECK_INTERVAL_S)
            now = self.clock()
            was_confirmed = self.members or self.relayed_at > float("-inf")
            if not was_confirmed or self._is_recently_confirmed(now):
                confirmed_by_members = False
                continue
            source = await self.confirm_through_members()
            if bool(source) != confirmed_by_members:
                confirmed_by_members = bool(source)
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
            Kind of replies that confirmed them, empty if none did.
        """
        asked_at = self.clock()
        asked = self._members_to_ask()
        replies = await self._ask(asked)
        confirming = [
            reply
            for reply in replies
            if reply.registered and reply.age_s < CONFIRMATION_VALIDITY_S
        ]
        for reply in replies:
            self._observe_records(reply)
        for reply in confirming:
            generation = generation_of(reply.revision)
            self.relayed_at = max(self.relayed_at, asked_at - reply.age_s)
            self.leadership.confirm(asked_at - reply.age_s, generation)
        if confirming:
            return "a member that the store answers"
        within_outage_limit = asked_at < self.read_at + MAX_BRIDGED_OUTAGE_S
        if not within_outage_limit or not self._may_be_confirmed_by_all():
            return ""
        if await self._all_report_no_change(asked, replies):
            self.leadership.confirm(asked_at, generation_of(self.revision))
            return "all members, none of which the store answers"
        return ""

    def _may_be_confirmed_by_all(self) -> bool:
        """Return whether every member reads the store, so can answer for itself."""
        registered = self.directory.members.values()
        return all_members_read_store(registered) and all_members_read_store(
            self.members
        )

    async def _all_report_no_change(
        self, asked: list[MemberRecord], replies: list[ConfirmationReply]
    ) -> bool:
        """Return whether all processes answer that they have announced no change.

        Parameters
        ----------
        asked : list of MemberRecord
            Processes that were asked, and that are asked further on; extended.
        replies : list of ConfirmationReply
            Their replies; extended.
        """
        newly_named = self._newly_named(asked, replies)
        while newly_named:
            asked += newly_named
            further = await self._ask(newly_named)
            for reply in further:
                self._observe_records(reply)
            replies += further
            newly_named = self._newly_named(asked, replies)
        # A member whose last read lacks this process may already treat it as absent.
        generation = generation_of(self.revision)
        registered = sum(
            reply.registered and generation_of(reply.revision) == generation
            for reply in replies
        )
        changing = self._may_miss_change() or any(reply.changing for reply in replies)
        return registered == len(asked) > 0 and not changing

    def _newly_named(
        self, asked: list[MemberRecord], replies: list[ConfirmationReply]
    ) -> list[MemberRecord]:
        """Return the processes named in replies that were not asked yet."""
        named = {m.incarnation: m for reply in replies for m in reply.not_asked}
        known = {self.incarnation, *(member.incarnation for member in asked)}
        return [named[incarnation] for incarnation in named.keys() - known]

    async def _ask(self, members: Iterable[MemberRecord]) -> list[ConfirmationReply]:
        """Return the replies of those members that answer."""
        replies: list[ConfirmationReply] = []
        members = list(members)
        asked = tuple(member.incarnation for member in members)

        async def ask(member: MemberRecord) -> None:
            request = ConfirmationRequest(self.incarnation, asked)
            try:
                replies.append(await self.peers.request_confirmation(member, request))
            except PeerError as error:
                log.debug(
                    "confirmation request to a member failed",
                    member=member.name,
                    error=str(error),
                )

        async with anyio.create_task_group() as tasks:
            for member in members:
                tasks.start_soon(ask, member)
        return replies

    def _is_recently_confirmed(self, now: float) -> bool:
        """Return whether the store, or a reader, has confirmed the records recently."""
        if self._readers():
            limit_s = self.max_read_age_s + ASK_MEMBERS_AFTER_S
            return now - self.leadership.confirmed_at < limit_s
        return now - self.read_at < ASK_MEMBERS_AFTER_S

    def _members_to_ask(self) -> list[MemberRecord]:
        """Return the other members to ask: all, or the readers of a large fleet."""
        known = {m.incarnation: m for m in [*self.members, *self._introduced_members()]}
        members = list(known.values())
        live = self.directory.live_members()
        if not all_members_read_store(live):
            domains = {member.place.failure_domain for member in live}
            members = [m for domain in domains for m in readers_in_domain(live, domain)]
        return [m for m in members if m.incarnation != self.incarnation]

    def _contains(self, members: Iterable[MemberRecord], incarnation: str) -> bool:
        """Return whether a process is among the members."""
        return any(member.incarnation == incarnation for member in members)
