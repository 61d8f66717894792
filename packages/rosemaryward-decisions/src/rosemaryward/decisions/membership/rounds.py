"""Order in which a proxy probes the other members, and their latest answers."""

from rosemaryward.decisions.membership.state import GossipState
from rosemaryward.decisions.messages import Member, MemberState

__all__ = ["ProbeRounds"]

_NEVER = float("-inf")


class ProbeRounds:
    """Round-robin probing of the members, in a new random order each round.

    Parameters
    ----------
    state : GossipState

    Notes
    -----
    A member that sent a message within the last probe interval is skipped, so that
    a silent member is probed sooner. In a large cluster that is rare.
    """

    __slots__ = ("_last_answered", "_order", "state")

    def __init__(self, state: GossipState) -> None:
        self.state = state
        self._order: list[str] = []
        self._last_answered: dict[str, float] = {}
        state.on_change.append(self._member_changed)

    def next_target(self, now: float) -> Member | None:
        """Return the next member to probe at `now`, None if there is none."""
        for _ in range(2):
            while self._order:
                member = self.state.table.get(self._order.pop())
                if (
                    member
                    and self._is_probed(member)
                    and self._needs_probe(member, now)
                ):
                    return member
            self._order = [m.host_id for m in self.state.table.present()]
            self.state.random.shuffle(self._order)
        return None

    def note_answer(self, host_id: str, sent_at: float) -> None:
        """Record that a member answered a probe sent at `sent_at`."""
        self._last_answered[host_id] = max(
            sent_at, self._last_answered.get(host_id, sent_at)
        )

    def answered(self, host_id: str, sent_at: float) -> bool:
        """Return whether a member answered a probe sent at `sent_at` or later."""
        return self._last_answered.get(host_id, _NEVER) >= sent_at

    def _is_probed(self, member: Member) -> bool:
        own = self.state.local.host_id
        return member.state != MemberState.DEAD and member.host_id != own

    def _needs_probe(self, member: Member, now: float) -> bool:
        heard_at = self.state.last_heard.get(member.host_id)
        if heard_at is None or member.host_id in self.state.suspicions:
            return True
        return now - heard_at >= self.state.settings.probe_interval_s

    def _member_changed(self, member: Member) -> None:
        """Insert a new member at a random position of the current round."""
        if member.state == MemberState.DEAD:
            self._last_answered.pop(member.host_id, None)
        elif member.host_id not in self._last_answered and self._is_probed(member):
            self._last_answered[member.host_id] = _NEVER
            position = self.state.random.randint(0, len(self._order))
            self._order.insert(position, member.host_id)
