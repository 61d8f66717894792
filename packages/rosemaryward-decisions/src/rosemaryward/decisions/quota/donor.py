"""Donations of this host's share to the allocators.

Each slice of the share is in one place at any time. The donor keeps every donation
that may still be in force as a commitment, and gives away no more than its share less
the commitments.
"""

import itertools
from collections.abc import Callable

import anyio
import structlog
from anyio.abc import TaskGroup

from rosemaryward.decisions.clock import boot_time_s
from rosemaryward.decisions.errors import PeerError
from rosemaryward.decisions.leadership.members import MemberRecord
from rosemaryward.decisions.quota.allocator import Allocator
from rosemaryward.decisions.quota.channel import QuotaChannel
from rosemaryward.decisions.quota.messages import DonationReply, ShareDonation
from rosemaryward.decisions.quota.ownership import OwnShare
from rosemaryward.decisions.quota.placement import AllocatorPlacement
from rosemaryward.decisions.quota.shares import DONATION_TTL_S

__all__ = ["ShareDonor"]

RENEWAL_INTERVAL_S = 0.7
PLAN_INTERVAL_S = 0.1
MIN_STEP_INTERVAL_S = 0.01  # bounds the messages if every reply makes another due
REPLY_TIMEOUT_S = 0.5
# Two clocks that run apart by 0.1 during one donation differ by far more than the
# clocks of working hosts do.
CLOCK_DRIFT_MARGIN_S = 0.1
AVOIDANCE_S = 2.0  # of an allocator that did not answer
LEAVING_AVOIDANCE_S = 10.0  # longer than the grace period of a stopping process
CONTACT_VALIDITY_S = 2.5  # of the allocator's clock in its last reply
ROUNDING = 1e-9

log = structlog.get_logger(__name__)


class _Commitment:
    """Donation that may still be in force at an allocator."""

    __slots__ = ("ends_at", "fraction", "incarnation", "sequence")

    def __init__(self, message: ShareDonation, ends_at: float) -> None:
        self.incarnation = message.allocator
        self.sequence = message.sequence
        self.fraction = message.fraction
        self.ends_at = ends_at


class _Contact:
    """Last reply of an allocator."""

    __slots__ = ("clock", "received_at", "uptime_s")

    def __init__(self, reply: DonationReply, received_at: float) -> None:
        self.clock = reply.clock
        self.uptime_s = reply.uptime_s
        self.received_at = received_at


class _Slice:
    """Part of the share for the allocator of one failure domain."""

    __slots__ = (
        "commitments",
        "domain",
        "holder",
        "in_flight",
        "next_at",
        "predecessor_ended",
        "sent_fraction",
        "was_given",
    )

    def __init__(self, domain: str) -> None:
        self.domain = domain
        self.holder: MemberRecord | None = None
        self.commitments: list[_Commitment] = []
        self.in_flight = False
        self.next_at = float("-inf")
        self.sent_fraction = 0.0
        self.predecessor_ended = False
        self.was_given = False

    def committed(self, except_at: str = "") -> float:
        """Return the fraction that may be in force, except at one allocator."""
        largest: dict[str, float] = {}
        for commitment in self.commitments:
            known = largest.get(commitment.incarnation, 0.0)
            largest[commitment.incarnation] = max(known, commitment.fraction)
        largest.pop(except_at, None)
        return sum(largest.values())

    def end_commitments(self, incarnation: str, before: int | None = None) -> None:
        """Drop the donations to an allocator, all or those before a sequence."""
        self.commitments = [
            commitment
            for commitment in self.commitments
            if commitment.incarnation != incarnation
            or (before is not None and commitment.sequence >= before)
        ]


class PlannedDonation:
    """Message to send for one slice."""

    __slots__ = ("member", "message", "slice")

    def __init__(
        self, part: _Slice, member: MemberRecord, message: ShareDonation
    ) -> None:
        self.slice = part
        self.member = member
        self.message = message


class ShareDonor:
    """Donates this host's share, one slice for each failure domain.

    Parameters
    ----------
    own : MemberRecord
        Registration of this process.
    share : OwnShare
        Fraction that this host may donate.
    placement : AllocatorPlacement
        Allocators of each slice.
    channel : QuotaChannel
        Messages to the allocators.
    local : Allocator
        Allocator of this process. It also gets the slices that no other allocator
        answers for.
    clock : callable, optional
        Boot time in seconds.

    Attributes
    ----------
    slices : dict of str to _Slice
        Slices by failure domain.
    contacts : dict of str to _Contact
        Last reply of each allocator, by incarnation.
    avoid_until : dict of str to float
        Time until which an allocator gets no donation, by incarnation.
    counts : dict of str to int
        Messages sent and failed.
    """

    def __init__(
        self,
        own: MemberRecord,
        share: OwnShare,
        placement: AllocatorPlacement,
        channel: QuotaChannel,
        local: Allocator,
        clock: Callable[[], float] = boot_time_s,
    ) -> None:
        self.own = own
        self.share = share
        self.placement = placement
        self.channel = channel
        self.local = local
        self.clock = clock
        self.started_at = clock()
        self.slices: dict[str, _Slice] = {}
        self.contacts: dict[str, _Contact] = {}
        self.avoid_until: dict[str, float] = {}
        self.sequences = itertools.count(1)
        self.replied = anyio.Event()
        self.counts = {"sent": 0, "failed": 0}

    async def run(self) -> None:
        """Donate until cancelled."""
        for part in self.slices.values():
            part.in_flight = False
        async with anyio.create_task_group() as tasks:
            while True:
                self.step(tasks)
                await self.wait()

    async def wait(self) -> None:
        """Wait until the next step, which a reply may make due earlier."""
        await anyio.sleep(MIN_STEP_INTERVAL_S)
        with anyio.move_on_after(PLAN_INTERVAL_S):
            await self.replied.wait()
        self.replied = anyio.Event()

    def step(self, tasks: TaskGroup) -> None:
        """Start to send the messages that are due."""
        for planned in self.plan(self.clock()):
            if planned.member.incarnation == self.own.incarnation:
                self.record_reply(planned, self.local.donate(planned.message))
            else:
                tasks.start_soon(self._send, planned)

    def allocators(self) -> list[MemberRecord]:
        """Return the other hosts' allocators that have answered recently."""
        now = self.clock()
        found: dict[str, MemberRecord] = {}
        for domain in self.placement.domains():
            member = self._target(domain, now)
            contact = self.contacts.get(member.incarnation)
            if member.incarnation != self.own.incarnation and contact is not None:
                found[member.incarnation] = member
        return list(found.values())

    def avoid(self, member: MemberRecord, duration_s: float = AVOIDANCE_S) -> None:
        """Give nothing to an allocator for a while."""
        now = self.clock()
        self.avoid_until = {i: t for i, t in self.avoid_until.items() if t > now}
        self.avoid_until[member.incarnation] = now + duration_s
        self.contacts.pop(member.incarnation, None)

    def avoid_leaving(self, member: MemberRecord) -> None:
        """Give nothing more to an allocator whose process is about to stop."""
        self.avoid(member, LEAVING_AVOIDANCE_S)
        self.replied.set()

    # Planning

    def plan(self, now: float) -> list[PlannedDonation]:
        """Return the messages to send now, at most one for each slice."""
        domains = self.placement.domains()
        for domain in domains:
            if domain not in self.slices:
                self.slices[domain] = _Slice(domain)
        self.contacts = {
            incarnation: contact
            for incarnation, contact in self.contacts.items()
            if now - contact.received_at < CONTACT_VALIDITY_S
        }
        share = self.share.fraction(now)
        present = set(domains)
        planned = []
        for part in list(self.slices.values()):
            self._drop_ended(part, now)
            wanted = share / len(domains) if part.domain in present else 0.0
            if not part.in_flight:
                message = self._next_message(part, wanted, share, now)
                if message is not None:
                    part.in_flight = True
                    planned.append(message)
            if part.domain not in present and not part.commitments:
                del self.slices[part.domain]
        return planned

    def _next_message(
        self, part: _Slice, wanted: float, share: float, now: float
    ) -> PlannedDonation | None:
        target = self._target(part.domain, now)
        if wanted <= 0:
            return self._release(part, now) or self._greet(part, target, now)
        if part.holder is not None and part.holder.incarnation != target.incarnation:
            if not self._is_in_contact(target, now):
                return self._greet(part, target, now) or self._renew(
                    part, wanted, share, now
                )
            if part.committed():
                # Without an answer the slice stays unused until the donation ends.
                return self._release(part, now)
            part.holder = None
        if part.holder is None:
            if not self._is_in_contact(target, now):
                return self._greet(part, target, now)
            if part.commitments or not self._may_start(part, target, now):
                return None
            part.holder = target
            part.next_at = now
        if not self._is_in_contact(target, now):
            return self._greet(part, target, now)
        return self._renew(part, wanted, share, now)

    def _target(self, domain: str, now: float) -> MemberRecord:
        """Return the preferred allocator of a slice that is not avoided."""
        for member in self.placement.candidates(domain):
            if member.incarnation == self.own.incarnation:
                return member
            if self.avoid_until.get(member.incarnation, now) <= now:
                return member
        return self.own

    def _is_in_contact(self, member: MemberRecord, now: float) -> bool:
        return (
            member.incarnation == self.own.incarnation
            or member.incarnation in self.contacts
        )

    def _may_start(self, part: _Slice, target: MemberRecord, now: float) -> bool:
        """Return whether no donation of an earlier process of this host is in force.

        The earlier process ended before this one started. Its donation has ended, or
        was made to the same allocator, or to a process that ended as well: an
        allocator that is as young as this process has just taken the role over.
        """
        lifetime_s = DONATION_TTL_S + CLOCK_DRIFT_MARGIN_S
        if now >= self.started_at + lifetime_s or part.was_given:
            return True
        if not self.share.was_registered or part.predecessor_ended:
            return True
        if target.incarnation == self.own.incarnation:
            return True
        return self.contacts[target.incarnation].uptime_s < lifetime_s

    def _greet(
        self, part: _Slice, target: MemberRecord, now: float
    ) -> PlannedDonation | None:
        """Return a message that asks an allocator for its clock, if that is due."""
        contact = self.contacts.get(target.incarnation)
        if target.incarnation == self.own.incarnation:
            return None
        if contact is not None and now - contact.received_at < RENEWAL_INTERVAL_S:
            return None
        return self._message(part, target, 0.0, now)

    def _release(self, part: _Slice, now: float) -> PlannedDonation | None:
        """Return a message that ends the donation to the holder, if there is one."""
        holder = part.holder
        if holder is None or not part.commitments or now < part.next_at:
            return None
        if self.avoid_until.get(holder.incarnation, now) > now:
            return None
        part.next_at = now + PLAN_INTERVAL_S
        return self._message(part, holder, 0.0, now)

    def _renew(
        self, part: _Slice, wanted: float, share: float, now: float
    ) -> PlannedDonation | None:
        """Return a donation to the holder, if one is due or the fraction changed."""
        holder = part.holder
        if holder is None or not self._is_in_contact(holder, now):
            return None
        elsewhere = part.committed(except_at=holder.incarnation) + sum(
            other.committed() for other in self.slices.values() if other is not part
        )
        fraction = max(min(wanted, share - elsewhere), 0.0)
        if fraction <= ROUNDING:
            # The commitments that take up the share end, or are replaced, soon.
            return None
        changed = abs(fraction - part.sent_fraction) > ROUNDING
        if now < part.next_at and not changed:
            return None
        return self._message(part, holder, fraction, now)

    def _message(
        self, part: _Slice, member: MemberRecord, fraction: float, now: float
    ) -> PlannedDonation:
        """Return a message, after committing its fraction."""
        until = 0.0
        if fraction:
            until = self._clock_of(member, now) + DONATION_TTL_S
        message = ShareDonation(
            self.own.name,
            self.own.incarnation,
            member.incarnation,
            part.domain,
            next(self.sequences),
            fraction,
            until,
            bool(fraction) and not part.was_given,
        )
        if fraction:
            ends_at = now + DONATION_TTL_S + CLOCK_DRIFT_MARGIN_S
            part.commitments.append(_Commitment(message, ends_at))
            part.was_given = True
            part.sent_fraction = fraction
            part.next_at = now + RENEWAL_INTERVAL_S
        return PlannedDonation(part, member, message)

    def _clock_of(self, member: MemberRecord, now: float) -> float:
        """Return a lower bound of an allocator's clock."""
        if member.incarnation == self.own.incarnation:
            return now
        contact = self.contacts[member.incarnation]
        return contact.clock + now - contact.received_at

    def _drop_ended(self, part: _Slice, now: float) -> None:
        """Drop the donations that have ended, or whose allocator's process has."""
        part.commitments = [c for c in part.commitments if c.ends_at > now]
        holder = part.holder
        if holder is None:
            return
        present = self.placement.members.members.get(holder.name)
        if present is not None and present.incarnation != holder.incarnation:
            # A new process of a name is registered only after the earlier one ended.
            part.end_commitments(holder.incarnation)
            part.holder = None

    # Replies

    async def _send(self, planned: PlannedDonation) -> None:
        self.counts["sent"] += 1
        reply: DonationReply | None = None
        try:
            with anyio.move_on_after(REPLY_TIMEOUT_S):
                reply = await self.channel.donate(planned.member, planned.message)
        except PeerError as error:
            log.debug(
                "quota allocator unreachable",
                allocator=planned.member.name,
                error=str(error),
            )
        if reply is None or not reply.accepted:
            self.record_failure(planned)
        else:
            self.record_reply(planned, reply)

    def record_reply(self, planned: PlannedDonation, reply: DonationReply) -> None:
        """Apply the reply of an allocator."""
        part, message = planned.slice, planned.message
        part.in_flight = False
        now = self.clock()
        part.end_commitments(message.allocator, before=message.sequence)
        part.predecessor_ended = part.predecessor_ended or reply.held
        if planned.member.incarnation != self.own.incarnation:
            self.contacts[message.allocator] = _Contact(reply, now)
        if reply.released:
            part.end_commitments(message.allocator)
            self.avoid_leaving(planned.member)
        if not message.fraction or reply.released:
            # Answered at once by the next step, which needs no pause.
            self.replied.set()

    def record_failure(self, planned: PlannedDonation) -> None:
        """Use the next allocator after one has not answered."""
        planned.slice.in_flight = False
        self.counts["failed"] += 1
        part = planned.slice
        if part.commitments and part.holder is planned.member:
            log.info(
                "quota donation ended early",
                allocator=planned.member.name,
                domain=part.domain,
                configuration=self.local.version(),
            )
        self.avoid(planned.member)
        self.replied.set()
