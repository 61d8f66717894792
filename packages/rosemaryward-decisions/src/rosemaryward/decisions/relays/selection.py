"""Choice of the proxy that relays the statements of an endpoint.

Every proxy computes the choice from the members that it sees. Two proxies may differ
for a moment; both relays then connect to the endpoint, which its limit allows for.
"""

from collections.abc import Callable

import structlog

from rosemaryward.decisions.clock import boot_time_s
from rosemaryward.decisions.gateway.directory import distance
from rosemaryward.decisions.gateway.environment import Endpoint
from rosemaryward.decisions.hashing import stable_hash
from rosemaryward.decisions.leadership.members import MemberDirectory, MemberRecord

__all__ = ["RelaySelector", "relay_capacity"]

DIRECT_CONNECTIONS = 3  # per proxy; with fewer, a burst runs into the limit
LARGE_SHARE = 0.5  # of the largest capacity within a failure domain
RESERVED_SHARE = 0.125  # of the connections, for control and for a second relay
RESERVED_LEAST = 2
AVOID_S = 2.0
LEAVING_S = 10.0  # longer than the grace period of a process that stops

STATEMENT_CPU_S = 0.001  # at the relay, for one statement and its answer
STATEMENT_SIZE = 2000  # bytes of a statement and its answer, on the link once each way
BITS_PER_BYTE = 8

log = structlog.get_logger(__name__)


def relay_capacity(cores: float, link_mbps: float) -> float:
    """Return how many statements per second a host can relay.

    Parameters
    ----------
    cores : float
        Processor time per second that its process may use, in seconds.
    link_mbps : float
        Bandwidth of its link, each way.
    """
    bytes_per_s = link_mbps * 1e6 / BITS_PER_BYTE
    return min(cores / STATEMENT_CPU_S, bytes_per_s / STATEMENT_SIZE)


class RelaySelector:
    """Chooses relays by distance to the endpoint, capacity and rendezvous hash.

    Parameters
    ----------
    own_name : str
    members : MemberDirectory
    connection_limit : callable
        Returns how many connections an endpoint of a group accepts from the whole
        fleet, or None if that is unknown.
    clock : callable, optional

    Attributes
    ----------
    avoid_until : dict of str to float
        Boot time until which a process is not used as a relay, by incarnation.
    """

    def __init__(
        self,
        own_name: str,
        members: MemberDirectory,
        connection_limit: Callable[[str], int | None],
        clock: Callable[[], float] = boot_time_s,
    ) -> None:
        self.own_name = own_name
        self.members = members
        self.connection_limit = connection_limit
        self.clock = clock
        self.avoid_until: dict[str, float] = {}
        self.ranked: dict[str, list[MemberRecord]] = {}
        self.ranked_version = -1

    def is_scarce(self, group: str) -> bool:
        """Return whether the proxies outnumber the connections of an endpoint."""
        limit = self.connection_limit(group)
        return limit is not None and limit < DIRECT_CONNECTIONS * len(
            self.members.alive
        )

    def connection_cap(self, group: str) -> int | None:
        """Return how many connections statements may use, None for no cap."""
        limit = self.connection_limit(group)
        if limit is None or not self.is_scarce(group):
            return None
        return limit - max(RESERVED_LEAST, round(limit * RESERVED_SHARE))

    def relay(self, endpoint: Endpoint) -> MemberRecord | None:
        """Return the relay of an endpoint, None to connect to it directly."""
        if not self.is_scarce(endpoint.group):
            return None
        now = self.clock()
        for member in self._rank(endpoint):
            if self.avoid_until.get(member.incarnation, now) <= now:
                return None if member.name == self.own_name else member
        return None

    def avoid(self, member: MemberRecord, reason: str, leaving: bool = False) -> None:
        """Use another relay for a while.

        Parameters
        ----------
        member : MemberRecord
        reason : str
        leaving : bool
            Whether the process stops.
        """
        now = self.clock()
        until = now + (LEAVING_S if leaving else AVOID_S)
        if self.avoid_until.get(member.incarnation, now) <= now:
            log.info("relay avoided", relay=member.name, reason=reason)
        self.avoid_until = {
            incarnation: at for incarnation, at in self.avoid_until.items() if at > now
        }
        self.avoid_until[member.incarnation] = until

    def _rank(self, endpoint: Endpoint) -> list[MemberRecord]:
        """Return the living members, the preferred relay first."""
        if self.ranked_version != self.members.version:
            self.ranked_version = self.members.version
            self.ranked = {}
        ranked = self.ranked.get(endpoint.id)
        if ranked is None:
            ranked = self.ranked[endpoint.id] = self._order(endpoint)
        return ranked

    def _order(self, endpoint: Endpoint) -> list[MemberRecord]:
        living = [
            member for member in self.members.live_members() if member.relay_address
        ]
        largest: dict[str, float] = {}
        for member in living:
            domain = member.place.failure_domain
            largest[domain] = max(largest.get(domain, 0.0), member.capacity)

        def preference(member: MemberRecord) -> tuple[int, bool, int]:
            enough = largest[member.place.failure_domain] * LARGE_SHARE
            return (
                distance(member.place, endpoint.place),
                member.capacity < enough,
                stable_hash(endpoint.id, member.name),
            )

        return sorted(living, key=preference)
