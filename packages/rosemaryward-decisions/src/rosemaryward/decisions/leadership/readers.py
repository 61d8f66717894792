"""Selection of the readers, the members of a large fleet that read the store.

The store's request rate grows more slowly than the fleet. In each failure domain, a few
readers read the agreed records at a fixed interval, and the other members ask them.
"""

from collections.abc import Iterable

import msgspec

from rosemaryward.decisions.hashing import stable_hash
from rosemaryward.decisions.leadership.members import MemberDirectory, MemberRecord

__all__ = [
    "ReaderAddress",
    "ReaderList",
    "all_members_read_store",
    "readers_in_domain",
    "readers_of_fleet",
    "readers_to_follow",
]

READERS_PER_DOMAIN = 2
SMALL_FLEET_MAX_MEMBERS = 12  # up to this size, every member reads the store


class ReaderAddress(msgspec.Struct, frozen=True):
    """Reader that a proxy which has just started may ask.

    Parameters
    ----------
    name : str
        Name of the proxy.
    address : str
        ``host:port`` for requests from other members.
    domain : str
        Failure domain of the proxy.
    """

    name: str
    address: str
    domain: str


class ReaderList(msgspec.Struct, frozen=True):
    """Readers of a large fleet, as published in the store.

    A proxy that starts finds its readers in this small value. A list of all members
    would cross the link between regions once for each proxy of a fleet that restarts.

    Parameters
    ----------
    readers : tuple of ReaderAddress
        Readers of all failure domains.
    """

    readers: tuple[ReaderAddress, ...]

    def in_domain(self, domain: str) -> list[ReaderAddress]:
        """Return the readers of a failure domain."""
        return [reader for reader in self.readers if reader.domain == domain]

    def includes(self, name: str) -> bool:
        """Return whether a proxy is one of the readers."""
        return any(reader.name == name for reader in self.readers)


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


def readers_of_fleet(members: MemberDirectory) -> ReaderList | None:
    """Return the readers to publish.

    Parameters
    ----------
    members : MemberDirectory
        Registered and live members.

    Returns
    -------
    ReaderList or None
        None for a small fleet, and while a failure domain has no live member.
    """
    registered = list(members.members.values())
    live = members.live_members()
    domains = sorted({member.place.failure_domain for member in registered})
    readers = [readers_in_domain(live, domain) for domain in domains]
    if all_members_read_store(registered) or not all(readers):
        return None
    return ReaderList(
        tuple(
            ReaderAddress(member.name, member.address, member.place.failure_domain)
            for in_domain in readers
            for member in in_domain
        )
    )
