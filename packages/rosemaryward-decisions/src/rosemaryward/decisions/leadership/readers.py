"""Selection of the readers, the members of a large fleet that read the store.

The store's request rate grows more slowly than the fleet. In each failure domain, a few
readers read the agreed records at a fixed interval, and the other members ask them.
"""

from collections.abc import Iterable

from rosemaryward.decisions.hashing import stable_hash
from rosemaryward.decisions.leadership.members import MemberDirectory, MemberRecord

__all__ = ["all_members_read_store", "readers_in_domain", "readers_to_follow"]

READERS_PER_DOMAIN = 2
SMALL_FLEET_MAX_MEMBERS = 12  # up to this size, every member reads the store


def all_members_read_store(members: Iterable[MemberRecord]) -> bool:
    """Return whether the fleet is small enough for every member to read the store."""
    return sum(1 for _ in members) <= SMALL_FLEET_MAX_MEMBERS


def readers_in_domain(
    members: Iterable[MemberRecord], domain: str
) -> list[MemberRecord]:
    """Return the readers of a failure domain, those with the most capacity.

    Parameters
    ----------
    members : iterable of MemberRecord
        Members to choose from.
    domain : str
        Failure domain.
    """
    candidates = [member for member in members if member.place.failure_domain == domain]
    candidates.sort(key=lambda member: (-member.capacity, stable_hash(member.name)))
    return candidates[:READERS_PER_DOMAIN]


def readers_to_follow(
    members: MemberDirectory, name: str, domain: str
) -> list[MemberRecord]:
    """Return the readers that a proxy may follow, empty if it reads the store.

    Registered members are candidates while the domain has no live one, since a fleet
    that restarts has no live members at first.

    Parameters
    ----------
    members : MemberDirectory
        Registered and live members.
    name : str
        Name of the proxy; half of the proxies prefer each reader.
    domain : str
        Failure domain of the proxy.
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
