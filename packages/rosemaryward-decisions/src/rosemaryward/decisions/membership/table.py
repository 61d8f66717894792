"""Member table and the rules that merge updates into it."""

import math
from collections.abc import Iterable

from rosemaryward.decisions.hashing import stable_hash
from rosemaryward.decisions.messages import Member, MemberState

__all__ = ["MemberTable"]

MAX_INCARNATION = 1 << 62
MAX_NAME_CHARS = 255


class MemberTable:
    """All members that a proxy knows.

    The higher incarnation wins, and within one incarnation the higher state.
    The result therefore does not depend on the order of updates.

    Parameters
    ----------
    retention_s : float
        Time in seconds for which a dead member is kept.
    max_members : int
        Limit beyond which new members are rejected, so that invalid updates
        cannot exhaust the memory.

    Attributes
    ----------
    rejected : int
        Updates that were invalid or beyond the limit.
    digest : int
        Hash over all members that are not dead.
    """

    __slots__ = (
        "_dead_since",
        "_live",
        "_members",
        "digest",
        "max_members",
        "rejected",
        "retention_s",
    )

    def __init__(self, retention_s: float = 7200.0, max_members: int = 10_000) -> None:
        self.retention_s = retention_s
        self.max_members = max_members
        self.rejected = 0
        self.digest = 0
        self._members: dict[str, Member] = {}
        self._dead_since: dict[str, float] = {}
        self._live: tuple[Member, ...] | None = None

    def __len__(self) -> int:
        return len(self._members)

    def __contains__(self, host_id: str) -> bool:
        return host_id in self._members

    def get(self, host_id: str) -> Member | None:
        """Return a member, None if it is not known."""
        return self._members.get(host_id)

    def members(self) -> list[Member]:
        """Return all members, including the dead ones."""
        return list(self._members.values())

    def live(self) -> tuple[Member, ...]:
        """Return the alive and the suspected members."""
        if self._live is None:
            self._live = tuple(
                m for m in self._members.values() if m.state <= MemberState.SUSPECT
            )
        return self._live

    def present(self) -> list[Member]:
        """Return the members that are not dead; leaving members still answer."""
        return [m for m in self._members.values() if m.state != MemberState.DEAD]

    def dead(self) -> list[Member]:
        """Return the dead members that have not expired."""
        return [self._members[host_id] for host_id in self._dead_since]

    def merge(self, update: Member, now: float) -> bool:
        """Apply an update and return whether the table changed.

        Parameters
        ----------
        update : Member
        now : float
            Time of the event loop in seconds.
        """
        known = self._members.get(update.host_id)
        if not self._acceptable(update, known):
            self.rejected += 1
            return False
        if known is None:
            if update.state == MemberState.DEAD:
                return False  # otherwise peers would send back expired entries
        elif _precedence(update) <= _precedence(known):
            return False
        else:
            self.digest ^= _digest(known)
        self._members[update.host_id] = update
        self._live = None
        self.digest ^= _digest(update)
        if update.state == MemberState.DEAD:
            self._dead_since[update.host_id] = now
        else:
            self._dead_since.pop(update.host_id, None)
        return True

    def remove_expired(self, now: float) -> list[Member]:
        """Remove and return the members that have been dead for `retention_s`."""
        expired = [
            host_id
            for host_id, since in self._dead_since.items()
            if now - since >= self.retention_s
        ]
        for host_id in expired:
            del self._dead_since[host_id]
        return [self._members.pop(host_id) for host_id in expired]

    def newer_than(self, others: Iterable[Member]) -> list[Member]:
        """Return the own entries that take precedence over those in `others`."""
        newer = []
        for other in others:
            known = self._members.get(other.host_id)
            if known is not None and _precedence(known) > _precedence(other):
                newer.append(known)
        return newer

    def _acceptable(self, update: Member, known: Member | None) -> bool:
        if not (math.isfinite(update.weight) and update.weight > 0):
            return False
        if not (update.host_id and 0 <= update.incarnation < MAX_INCARNATION):
            return False
        if max(len(update.host_id), len(update.host)) > MAX_NAME_CHARS:
            return False
        return known is not None or len(self._members) < self.max_members


def _precedence(member: Member) -> tuple[int, int]:
    return (member.incarnation, member.state)


def _digest(member: Member) -> int:
    """Return the member's part of the table's digest, 0 for a dead member.

    A suspicion ends within a second and dead members expire at different times on
    each proxy, so the digest covers neither.
    """
    if member.state == MemberState.DEAD:
        return 0
    leaving = member.state == MemberState.LEAVING
    return stable_hash(member.host_id, str(member.incarnation), str(leaving))
