"""What one proxy knows and has to tell, without any input or output."""

from collections.abc import Callable, Iterable
from random import Random

import anyio
from msgspec.structs import replace

from rosemaryward.decisions.membership.primaries import PrimaryDirectory
from rosemaryward.decisions.membership.settings import MembershipSettings
from rosemaryward.decisions.membership.table import MemberTable
from rosemaryward.decisions.membership.updates import UpdateQueue
from rosemaryward.decisions.messages import (
    Digest,
    IndirectProbe,
    Member,
    MemberState,
    PrimaryRecord,
    Probe,
    ProbeAck,
    Pull,
    PullReply,
)

__all__ = ["GossipState", "Suspicion"]

CONFLICT_INTERVAL_S = 1.0


class Suspicion:
    """A running suspicion of one incarnation of a member."""

    __slots__ = ("deadline", "incarnation")

    def __init__(self, incarnation: int, deadline: float) -> None:
        self.incarnation = incarnation
        self.deadline = deadline


class GossipState:
    """Member table, primaries, suspicions and the updates still to be sent.

    Parameters
    ----------
    local : Member
        This proxy.
    settings : MembershipSettings
    random : random.Random
    """

    def __init__(
        self, local: Member, settings: MembershipSettings, random: Random
    ) -> None:
        self.local = local
        self.settings = settings
        self.random = random
        self.table = MemberTable(settings.retention_s, settings.max_members)
        self.primaries = PrimaryDirectory()
        self.suspicions: dict[str, Suspicion] = {}
        self.heard: dict[str, float] = {}
        self.config_version: Callable[[], int] = lambda: 0
        self.on_change: list[Callable[[Member], None]] = []
        self.on_suspect: list[Callable[[Member, bool], None]] = []
        self.news = anyio.Event()
        self.unsent = 0
        self.refutations = 0
        self.conflicts = 0
        self.deaths = 0
        self.suspected = 0
        self._next_conflict = float("-inf")
        self._member_updates = UpdateQueue(settings)
        self._primary_updates = UpdateQueue(settings)
        self.primaries.subscribe(self._primary_changed)
        self.table.merge(local, 0.0)

    # Applying what others say

    def apply(self, update: Member, now: float) -> None:
        """Apply an update that another member passed on.

        Notes
        -----
        Hearsay of a death counts as a suspicion while this proxy has no suspicion
        of its own or has just heard of the member. Otherwise the first contact
        after a partition would remove every member of both sides at once.
        """
        if update.host_id == self.local.host_id:
            self._apply_own(update, now)
            return
        if update.state == MemberState.DEAD and self._doubts_death(update, now):
            update = replace(update, state=MemberState.SUSPECT)
        self._merge(update, now)

    def apply_all(self, updates: Iterable[Member], now: float) -> None:
        """Apply several updates."""
        for update in updates:
            self.apply(update, now)

    def apply_sender(self, sender: Member, now: float) -> None:
        """Apply what a member says of itself, in a message that just arrived."""
        if sender.host_id == self.local.host_id:
            return
        self.heard[sender.host_id] = now
        self._merge(sender, now)
        suspicion = self.suspicions.get(sender.host_id)
        known = self.table.get(sender.host_id)
        if suspicion and known and known.state != MemberState.SUSPECT:
            del self.suspicions[sender.host_id]

    def suspect(self, member: Member, silent_since: float, now: float) -> None:
        """Suspect a member that has not answered since `silent_since`."""
        known = self.table.get(member.host_id)
        if known is None or known.incarnation != member.incarnation:
            return
        if known.state == MemberState.DEAD or known.host_id in self.suspicions:
            return
        deadline = silent_since + self.settings.suspicion_s
        self.suspicions[known.host_id] = Suspicion(known.incarnation, deadline)
        self._merge(replace(known, state=MemberState.SUSPECT), now)
        self._announce_suspicion(known, own=True)

    def mark_leaving(self, host_id: str, now: float) -> None:
        """Mark a live member as leaving on behalf of the platform."""
        known = self.table.get(host_id)
        if known is not None and known.state <= MemberState.SUSPECT:
            self._merge(replace(known, state=MemberState.LEAVING), now)

    def bury(self, now: float) -> None:
        """Declare the members dead whose suspicion has run out.

        A member that is heard while the suspicion lasts answers slowly or has not
        learnt of the suspicion yet; its time counts from the last message.
        """
        never = float("-inf")
        latest_sign = now - self.settings.suspicion_s
        due = [
            host_id
            for host_id, suspicion in self.suspicions.items()
            if suspicion.deadline <= now
            and self.heard.get(host_id, never) <= latest_sign
        ]
        for host_id in due:
            suspicion = self.suspicions.pop(host_id)
            known = self.table.get(host_id)
            if known and known.incarnation == suspicion.incarnation:
                self.deaths += 1
                self._merge(replace(known, state=MemberState.DEAD), now)

    def postpone_suspicions(self, now: float) -> None:
        """Give all suspected members the full time again, after a pause."""
        for suspicion in self.suspicions.values():
            suspicion.deadline = now + self.settings.suspicion_s

    def forget(self, now: float) -> None:
        """Drop members that have been dead for long."""
        for member in self.table.forget(now):
            self.heard.pop(member.host_id, None)

    # This proxy's own entry

    def set_own_state(self, state: MemberState, raise_incarnation: bool) -> None:
        """Change this proxy's own state and tell the others."""
        incarnation = self.local.incarnation + (1 if raise_incarnation else 0)
        self._set_local(replace(self.local, state=state, incarnation=incarnation))

    def refute(self, incarnation: int) -> None:
        """Take an incarnation above `incarnation` and tell the others."""
        self.refutations += 1
        self._set_local(replace(self.local, incarnation=incarnation + 1))

    # Messages

    def probe(self, target: Member) -> Probe:
        """Return a probe for `target`, with what it may not know."""
        return Probe(
            self.local,
            self.digest(),
            self._updates(self.table.newer_than([_as_alive(target)])),
            self._primary_records(),
        )

    def answer_probe(self, message: Probe, now: float) -> ProbeAck:
        """Apply a probe and return the answer."""
        self.apply_all(message.updates, now)
        self.apply_sender(message.sender, now)
        self.apply_primaries(message)
        return ProbeAck(
            self.local,
            self.digest(),
            self._updates(self.table.newer_than([message.sender])),
            self._primary_records(),
        )

    def answer_probe_request(self, message: IndirectProbe, reached: bool) -> ProbeAck:
        """Return the answer to a request for an indirect probe."""
        extra = self.table.newer_than([message.sender])
        return ProbeAck(
            self.local, self.digest(), self._updates(extra), (), reached=reached
        )

    def answer_pull(self, message: Pull) -> PullReply:
        """Return the members and primaries that a pull asks for."""
        return PullReply(
            members=tuple(self.table.members()) if message.want_members else (),
            primaries=(
                tuple(self.primaries.records()) if message.want_primaries else ()
            ),
        )

    def apply_ack(self, message: ProbeAck, now: float) -> None:
        """Apply the answer to a probe."""
        self.apply_all(message.updates, now)
        self.apply_sender(message.sender, now)
        self.apply_primaries(message)

    def apply_primaries(self, message: Probe | ProbeAck | PullReply) -> None:
        """Apply the primary records of a message."""
        for record in message.primaries:
            self.primaries.merge(record)

    def digest(self) -> Digest:
        """Return the summary that every probe and answer carries."""
        return Digest(self.config_version(), self.primaries.digest, self.table.digest)

    # Choices

    def others(self) -> list[Member]:
        """Return the alive members without this proxy, or else the suspected ones."""
        own = self.local.host_id
        others = [m for m in self.table.live() if m.host_id != own]
        alive = [m for m in others if m.state == MemberState.ALIVE]
        return alive or others

    def sample(self, count: int, excluded: str = "") -> list[Member]:
        """Return up to `count` random live members."""
        others = [m for m in self.others() if m.host_id != excluded]
        return self.random.sample(others, min(count, len(others)))

    def sample_near(self, count: int) -> list[Member]:
        """Return up to `count` random live members, all but one of the own region.

        Traffic between regions is slow and billed; one member elsewhere is enough
        to carry news across.
        """
        region = self.local.place.region
        others = self.others()
        near = [m for m in others if m.place.region == region]
        chosen = self.random.sample(near, min(count - 1, len(near)))
        taken = {m.host_id for m in chosen}
        rest = [m for m in others if m.host_id not in taken]
        return chosen + self.random.sample(rest, min(count - len(chosen), len(rest)))

    def announce(self) -> None:
        """Wake the task that pushes news."""
        self.news.set()

    def _apply_own(self, update: Member, now: float) -> None:
        """Refute what others believe of this proxy and what is not true.

        An entry that another process with the same host id spreads is answered
        at a low rate, because both sides would outbid each other for ever.
        """
        if _precedence(update) <= _precedence(self.local):
            return
        accused = update.state in (MemberState.SUSPECT, MemberState.DEAD)
        if accused:
            self.refute(update.incarnation)
        elif update.incarnation == self.local.incarnation:
            self._set_local(replace(self.local, state=MemberState.LEAVING))
        elif now >= self._next_conflict:
            self.conflicts += 1
            self._next_conflict = now + CONFLICT_INTERVAL_S
            self.refute(update.incarnation)

    def _set_local(self, local: Member) -> None:
        self.local = local
        self._merge(local, 0.0)

    def _doubts_death(self, update: Member, now: float) -> bool:
        known = self.table.get(update.host_id)
        if known is None or known.state not in (MemberState.ALIVE, MemberState.SUSPECT):
            return False
        if known.incarnation > update.incarnation:
            return False
        heard = self.heard.get(update.host_id)
        if heard is not None and now - heard < self.settings.suspicion_s:
            return True
        return known.state == MemberState.ALIVE

    def _merge(self, update: Member, now: float) -> None:
        known = self.table.get(update.host_id)
        if not self.table.merge(update, now):
            return
        self._member_updates.add(update.host_id, len(self.table))
        self.unsent += 1
        self._track_suspicion(update, known, now)
        for callback in self.on_change:
            callback(update)
        self.announce()

    def _track_suspicion(
        self, update: Member, known: Member | None, now: float
    ) -> None:
        if update.state != MemberState.SUSPECT:
            suspicion = self.suspicions.get(update.host_id)
            newer = suspicion and suspicion.incarnation < update.incarnation
            if newer or update.state == MemberState.DEAD:
                self.suspicions.pop(update.host_id, None)
            return
        if update.host_id == self.local.host_id:
            return
        if update.host_id not in self.suspicions or (
            known and known.incarnation < update.incarnation
        ):
            deadline = now + self.settings.suspicion_s
            self.suspicions[update.host_id] = Suspicion(update.incarnation, deadline)
            self._announce_suspicion(update, own=False)

    def _announce_suspicion(self, member: Member, own: bool) -> None:
        self.suspected += 1
        for callback in self.on_suspect:
            callback(member, own)

    def _primary_changed(self, record: PrimaryRecord) -> None:
        self._primary_updates.add(record.database, len(self.table))
        self.unsent += 1
        self.announce()

    def _updates(self, first: list[Member]) -> tuple[Member, ...]:
        limit = self.settings.updates_per_message
        chosen = {member.host_id: member for member in first}
        for host_id in self._member_updates.take(limit - len(chosen)):
            member = self.table.get(host_id)
            if member is not None:
                chosen[host_id] = member
        return tuple(chosen.values())

    def _primary_records(self) -> tuple[PrimaryRecord, ...]:
        keys = self._primary_updates.take(self.settings.updates_per_message)
        found = (self.primaries.get(key) for key in keys)
        return tuple(record for record in found if record is not None)


def _precedence(member: Member) -> tuple[int, int]:
    return (member.incarnation, member.state)


def _as_alive(member: Member) -> Member:
    """Return the member as it would describe itself without news."""
    return replace(member, state=MemberState.ALIVE)
