"""Which members of a large fleet read the store for the others.

The store's rates grow more slowly than the fleet. In each failure domain a few members
read the agreed records at a fixed interval, and the others ask one of these.
"""

from collections.abc import Iterable

from rosemaryward.decisions.hashing import stable_hash
from rosemaryward.decisions.leadership.members import MemberDirectory, MemberRecord

__all__ = ["all_members_read_store", "readers_in_domain", "readers_to_follow"]

READERS_PER_DOMAIN = 2
SMALL_FLEET = 12  # members; so many may read the store themselves


def all_members_read_store(living: Iterable[MemberRecord]) -> bool:
    """Return whether the fleet is so small that all of its members read the store."""
    return sum(1 for _ in living) <= SMALL_FLEET


def readers_in_domain(
    living: Iterable[MemberRecord], domain: str
) -> list[MemberRecord]:
    """Return the members that read the store for a failure domain.

    Parameters
    ----------
    living : iterable of MemberRecord
    domain : str
    """
    near = [member for member in living if member.place.failure_domain == domain]
    near.sort(key=lambda member: (-member.capacity, stable_hash(member.name)))
    return near[:READERS_PER_DOMAIN]


def readers_to_follow(
    members: MemberDirectory, name: str, domain: str
) -> list[MemberRecord]:
    """Return the members that a proxy may follow, empty if it reads the store.

    Registered members count while none of the domain is seen living, since a fleet
    that starts again has no living ones at first.

    Parameters
    ----------
    members : MemberDirectory
    name : str
        The proxy that asks; half of the proxies prefer each reader.
    domain : str
        Its failure domain.
    """
    registered = list(members.members.values())
    if all_members_read_store(registered):
        return []
    readers = readers_in_domain(members.live_members(), domain) or readers_in_domain(
        registered, domain
    )
    if any(reader.name == name for reader in readers):
        return []
    return readers[::-1] if stable_hash(name) % 2 else readers
