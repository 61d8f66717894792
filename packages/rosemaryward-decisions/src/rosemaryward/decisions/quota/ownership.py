"""Share of the tenants' rates that this host owns."""

from collections.abc import Callable

from rosemaryward.decisions.clock import boot_time_s
from rosemaryward.decisions.leadership.members import MemberDirectory
from rosemaryward.decisions.quota.shares import DONATION_TTL_S

__all__ = ["OwnShare"]

# Age of the mirror up to which every host that donates is counted: a new host waits
# for longer than this age and the end of a donation together.
CURRENT_MIRROR_S = 4.0
JOIN_DELAY_S = CURRENT_MIRROR_S + DONATION_TTL_S + 0.5
# In the first start of the fleet all hosts are in touch and read the store at once.
FIRST_START_DELAY_S = 1.0
# A host whose mirror is older may have been removed from the registrations.
MAX_MIRROR_AGE_S = 20.0
# With an older mirror hosts may have joined unseen. The reduced share keeps the sum
# within the overage of 0.1 while the fleet grows by up to 0.4.
REDUCED_SHARE = 0.8
# A removed host may donate until its mirror is too old and its donation has ended.
REMOVED_RETENTION_S = MAX_MIRROR_AGE_S + DONATION_TTL_S + 3.0


class OwnShare:
    """Fraction of every tenant's rate that this host may donate.

    Parameters
    ----------
    name : str
        Name of this host.
    incarnation : str
        Identifier of this process.
    members : MemberDirectory
        Registered hosts.
    mirror_age_s : callable
        Returns for how many seconds changes of `members` may be missing.
    clock : callable, optional
        Boot time in seconds.
    first_start : bool, optional
        Whether the whole fleet starts for the first time.

    Attributes
    ----------
    leaving : bool
        Whether the process is about to stop, so donates nothing more.
    was_registered : bool or None
        Whether the name was registered before this process, None if not yet known.
    registered_at : float
        Time at which the registration of this process was first seen.
    """

    def __init__(
        self,
        name: str,
        incarnation: str,
        members: MemberDirectory,
        mirror_age_s: Callable[[], float],
        clock: Callable[[], float] = boot_time_s,
        first_start: bool = False,
    ) -> None:
        self.name = name
        self.incarnation = incarnation
        self.members = members
        self.mirror_age_s = mirror_age_s
        self.clock = clock
        self.first_start = first_start
        self.leaving = False
        self.was_registered: bool | None = None
        self.registered_at: float | None = None
        self.seen: set[str] = set()
        self.removed_at: dict[str, float] = {}
        self.seen_version = -1

    def observe_start(self) -> None:
        """Record whether the name is registered, before this process registers."""
        self.was_registered = self.name in self.members.members

    def fraction(self, now: float) -> float:
        """Return the fraction that this host may donate now."""
        member = self.members.members.get(self.name)
        if member is None or member.incarnation != self.incarnation or self.leaving:
            return 0.0
        if self.registered_at is None:
            self.registered_at = now
        age_s = self.mirror_age_s()
        if age_s > MAX_MIRROR_AGE_S or now < self.registered_at + self._delay_s():
            return 0.0
        share = 1.0 / self.count_hosts(now)
        return share if age_s <= CURRENT_MIRROR_S else share * REDUCED_SHARE

    def count_hosts(self, now: float) -> int:
        """Return the number of hosts that are or were recently registered."""
        if self.seen_version != self.members.version:
            self.seen_version = self.members.version
            present = set(self.members.members)
            for name in self.seen - present:
                self.removed_at[name] = now
            for name in present & self.removed_at.keys():
                del self.removed_at[name]
            self.seen = present
        if self.removed_at:
            limit = now - REMOVED_RETENTION_S
            self.removed_at = {n: t for n, t in self.removed_at.items() if t > limit}
        return max(len(self.seen) + len(self.removed_at), 1)

    def _delay_s(self) -> float:
        """Return the seconds until all other hosts count this one."""
        if self.was_registered:
            return 0.0
        return FIRST_START_DELAY_S if self.first_start else JOIN_DELAY_S
