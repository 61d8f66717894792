"""Gossip state of one proxy, without input or output."""

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

CONFLICT_REFUTATION_INTERVAL_S = 1.0


class Suspicion:
    """Active suspicion that one incarnation of a member is dead.

    Parameters
    ----------
    incarnation : int
    deadline : float
        Time of the event loop at which the member may be declared dead.
    """

    __slots__ = ("deadline", "incarnation")

    def __init__(self, incarnation: int, deadline: float) -> None:
        self.incarnation = incarnation
        self.deadline = deadline


class GossipState:
    """Member table, primary records, suspicions and the updates to send.

    Parameters
    ----------
    local : Member
        Entry of this proxy.
    settings : MembershipSettings
    random : random.Random

    Attributes
    ----------
    last_heard : dict of str to float
        Time of the last message from each member, by host id.
    on_change : list of callable
        Called with each changed entry of the member table.
    on_suspect : list of callable
        Called with each suspected member and whether this proxy's own probe
        started the suspicion.
    push_requested : anyio.Event
    unpushed_changes : int
        Changed entries that no push has carried yet.
    refutations, conflicts, deaths, suspicions_started : int
        Counters.
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
        self.last_heard: dict[str, float] = {}
        self.config_version: Callable[[], int] = lambda: 0
        self.on_change: list[Callable[[Member], None]] = []
        self.on_suspect: list[Callable[[Member, bool], None]] = []
        self.push_requested = anyio.Event()
        self.unpushed_changes = 0
        self.refutations = 0
        self.conflicts = 0
        self.deaths = 0
        self.suspicions_started = 0
        self._next_conflict_at = float("-inf")
        self._member_updates = UpdateQueue(settings)
        self._primary_updates = UpdateQueue(settings)
        self.primaries.subscribe(self._primary_changed)
        self.table.merge(local, 0.0)

    # Updates from other members

    def apply(self, update: Member, now: float) -> None:
        """Apply an update that another member relayed.

        Notes
        -----
        A relayed death counts as a suspicion if this proxy does not suspect the
        member yet or has received a message from it recently. Otherwise the first
        contact after a partition would remove every member of both sides at once.
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
        """Apply the entry of itself that a member sent in a message just received."""
        if sender.host_id == self.local.host_id:
            return
        self.last_heard[sender.host_id] = now
        self._merge(sender, now)
        suspicion = self.suspicions.get(sender.host_id)
        known = self.table.get(sender.host_id)
        if suspicion and known and known.state != MemberState.SUSPECT:
            del self.suspicions[sender.host_id]

    def suspect(self, member: Member, silent_since: float, now: float) -> None:
        """Suspect a member that has not answered a probe sent at `silent_since`."""
        known = self.table.get(member.host_id)
        if known is None or known.incarnation != member.incarnation:
            return
        if known.state == MemberState.DEAD or known.host_id in self.suspicions:
            return
        deadline = silent_since + self.settings.suspicion_timeout_s
        self.suspicions[known.host_id] = Suspicion(known.incarnation, deadline)
        self._merge(replace(known, state=MemberState.SUSPECT), now)
        self._notify_suspicion(known, by_own_probe=True)

    def mark_leaving(self, host_id: str, now: float) -> None:
        """Mark a live member as leaving because the platform lists it so."""
        known = self.table.get(host_id)
        if known is not None and known.state <= MemberState.SUSPECT:
            self._merge(replace(known, state=MemberState.LEAVING), now)

    def declare_deaths(self, now: float) -> None:
        """Declare the members dead whose suspicion has expired.

        A member that sends messages during the suspicion answers slowly or does not
        know of the suspicion yet; its timeout counts from its last message.
        """
        never = float("-inf")
        heard_before = now - self.settings.suspicion_timeout_s
        expired = [
            host_id
            for host_id, suspicion in self.suspicions.items()
            if suspicion.deadline <= now
            and self.last_heard.get(host_id, never) <= heard_before
        ]
        for host_id in expired:
            suspicion = self.suspicions.pop(host_id)
            known = self.table.get(host_id)
            if known and known.incarnation == suspicion.incarnation:
                self.deaths += 1
                self._merge(replace(known, state=MemberState.DEAD), now)

    def postpone_suspicions(self, now: float) -> None:
        """Restart the timeout of all suspicions after a pause of this process."""
        for suspicion in self.suspicions.values():
            suspicion.deadline = now + self.settings.suspicion_timeout_s

    def remove_expired(self, now: float) -> None:
        """Remove members that have been dead for the retention time."""
        for member in self.table.remove_expired(now):
            self.last_heard.pop(member.host_id, None)

    # This proxy's own entry

    def set_own_state(self, state: MemberState, raise_incarnation: bool) -> None:
        """Change this proxy's own state and push it."""
        incarnation = self.local.incarnation + (1 if raise_incarnation else 0)
        self._set_local(replace(self.local, state=state, incarnation=incarnation))

    def refute(self, incarnation: int) -> None:
        """Raise the own incarnation above `incarnation` and push it."""
        self.refutations += 1
        self._set_local(replace(self.local, incarnation=incarnation + 1))

    # Messages

    def probe(self, target: Member) -> Probe:
        """Return a probe for `target` with the updates that it may lack."""
        return Probe(
            self.local,
            self.digest(),
            self._select_updates(self.table.newer_than([_as_alive(target)])),
            self._select_primary_records(),
        )

    def answer_probe(self, message: Probe, now: float) -> ProbeAck:
        """Apply a probe and return the answer."""
        self.apply_all(message.updates, now)
        self.apply_sender(message.sender, now)
        self.apply_primaries(message)
        return ProbeAck(
            self.local,
            self.digest(),
            self._select_updates(self.table.newer_than([message.sender])),
            self._select_primary_records(),
        )

    def answer_probe_request(self, message: IndirectProbe, reached: bool) -> ProbeAck:
        """Return the answer to a request for an indirect probe."""
        updates = self.table.newer_than([message.sender])
        return ProbeAck(
            self.local,
            self.digest(),
            self._select_updates(updates),
            (),
            reached=reached,
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

    # Selection of peers

    def live_peers(self) -> list[Member]:
        """Return the other alive members or, if there are none, the suspected ones."""
        own = self.local.host_id
        others = [m for m in self.table.live() if m.host_id != own]
        alive = [m for m in others if m.state == MemberState.ALIVE]
        return alive or others

    def sample_peers(self, count: int, excluded: str = "") -> list[Member]:
        """Return up to `count` random live members other than `excluded`."""
        others = [m for m in self.live_peers() if m.host_id != excluded]
        return self.random.sample(others, min(count, len(others)))

    def sample_nearby_peers(self, count: int) -> list[Member]:
        """Return up to `count` random live members, mostly from this proxy's region.

        The last one is drawn from all regions. Traffic between regions is slow and
        billed, and one member elsewhere is enough to pass updates on there.
        """
        region = self.local.place.region
        others = self.live_peers()
        near = [m for m in others if m.place.region == region]
        chosen = self.random.sample(near, min(count - 1, len(near)))
        chosen_ids = {m.host_id for m in chosen}
        rest = [m for m in others if m.host_id not in chosen_ids]
        return chosen + self.random.sample(rest, min(count - len(chosen), len(rest)))

    def trigger_push(self) -> None:
        """Wake the task that pushes updates."""
        self.push_requested.set()

    def _apply_own(self, update: Member, now: float) -> None:
        """Refute a wrong state of this proxy and adopt a mark as leaving.

        An entry from another process with the same host id is refuted at a limited
        rate, because both processes would otherwise raise the incarnation forever.
        """
        if _precedence(update) <= _precedence(self.local):
            return
        reported_failed = update.state in (MemberState.SUSPECT, MemberState.DEAD)
        if reported_failed:
            self.refute(update.incarnation)
        elif update.incarnation == self.local.incarnation:
            self._set_local(replace(self.local, state=MemberState.LEAVING))
        elif now >= self._next_conflict_at:
            self.conflicts += 1
            self._next_conflict_at = now + CONFLICT_REFUTATION_INTERVAL_S
            self.refute(update.incarnation)

    def _set_local(self, local: Member) -> None:
        self.local = local
        self._merge(local, 0.0)

    def _doubts_death(self, update: Member, now: float) -> bool:
        """Return whether to treat a relayed death as a suspicion."""
        known = self.table.get(update.host_id)
        if known is None or known.state not in (MemberState.ALIVE, MemberState.SUSPECT):
            return False
        if known.incarnation > update.incarnation:
            return False
        heard_at = self.last_heard.get(update.host_id)
        if heard_at is not None and now - heard_at < self.settings.suspicion_timeout_s:
            return True
        return known.state == MemberState.ALIVE

    def _merge(self, update: Member, now: float) -> None:
        known = self.table.get(update.host_id)
        if not self.table.merge(update, now):
            return
        self._member_updates.add(update.host_id, len(self.table))
        self.unpushed_changes += 1
        self._track_suspicion(update, known, now)
        for callback in self.on_change:
            callback(update)
        self.trigger_push()

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
            deadline = now + self.settings.suspicion_timeout_s
            self.suspicions[update.host_id] = Suspicion(update.incarnation, deadline)
            self._notify_suspicion(update, by_own_probe=False)

    def _notify_suspicion(self, member: Member, by_own_probe: bool) -> None:
        self.suspicions_started += 1
        for callback in self.on_suspect:
            callback(member, by_own_probe)

    def _primary_changed(self, record: PrimaryRecord) -> None:
        self._primary_updates.add(record.database, len(self.table))
        self.unpushed_changes += 1
        self.trigger_push()

    def _select_updates(self, first: list[Member]) -> tuple[Member, ...]:
        limit = self.settings.updates_per_message
        chosen = {member.host_id: member for member in first}
        for host_id in self._member_updates.take(limit - len(chosen)):
            member = self.table.get(host_id)
            if member is not None:
                chosen[host_id] = member
        return tuple(chosen.values())

    def _select_primary_records(self) -> tuple[PrimaryRecord, ...]:
        keys = self._primary_updates.take(self.settings.updates_per_message)
        found = (self.primaries.get(key) for key in keys)
        return tuple(record for record in found if record is not None)


def _precedence(member: Member) -> tuple[int, int]:
    return (member.incarnation, member.state)


def _as_alive(member: Member) -> Member:
    """Return the entry as the member itself has it before it learns of a suspicion."""
    return replace(member, state=MemberState.ALIVE)
