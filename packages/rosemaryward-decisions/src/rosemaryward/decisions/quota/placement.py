"""Choice of the allocator to which a host donates each slice of its share."""

from collections.abc import Iterable

from rosemaryward.decisions.hashing import stable_hash
from rosemaryward.decisions.leadership.members import MemberDirectory, MemberRecord

__all__ = ["AllocatorPlacement"]

SUFFICIENT_CAPACITY_SHARE = 0.5  # of the largest capacity within a failure domain
# Members of one domain that are tried; with more, the loss of a domain would delay
# the use of the allocators of other domains.
CANDIDATES_PER_DOMAIN = 2
_HASH_PURPOSE = "quota"


class AllocatorPlacement:
    """Allocators of each failure domain, in order of preference.

    Parameters
    ----------
    members : MemberDirectory
        Members of the fleet.
    """

    def __init__(self, members: MemberDirectory) -> None:
        self.members = members
        self.version = -1
        self._domains: list[str] = []
        self._candidates: dict[str, list[MemberRecord]] = {}

    def domains(self) -> list[str]:
        """Return the failure domains of the registered hosts; each gets one slice."""
        self._update()
        return self._domains

    def candidates(self, domain: str) -> list[MemberRecord]:
        """Return the allocators for a domain's slice, in order of preference.

        They are the first live members of the domain, and then those of the others.
        """
        self._update()
        return self._candidates.get(domain, [])

    def _update(self) -> None:
        if self.version == self.members.version:
            return
        self.version = self.members.version
        self._domains = sorted(
            {m.place.failure_domain for m in self.members.members.values()}
        )
        live = [m for m in self.members.live_members() if m.relay_address]
        preferred = {domain: _rank(domain, live) for domain in self._domains}
        self._candidates = {
            domain: preferred[domain]
            + [
                member
                for other in sorted(
                    self._domains, key=lambda other: stable_hash(domain, other)
                )
                if other != domain
                for member in preferred[other]
            ]
            for domain in self._domains
        }


def _rank(domain: str, live: Iterable[MemberRecord]) -> list[MemberRecord]:
    """Return the preferred members of a domain, of those with enough capacity first."""
    members = [m for m in live if m.place.failure_domain == domain]
    enough = SUFFICIENT_CAPACITY_SHARE * max((m.capacity for m in members), default=0.0)

    def preference(member: MemberRecord) -> tuple[bool, int]:
        return member.capacity < enough, stable_hash(_HASH_PURPOSE, domain, member.name)

    return sorted(members, key=preference)[:CANDIDATES_PER_DOMAIN]
