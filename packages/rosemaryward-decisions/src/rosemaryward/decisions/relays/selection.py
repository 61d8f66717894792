"""Selection of the proxy that relays the statements of an endpoint.

Every proxy computes the selection from its own view of the members. Two proxies may
disagree for a short time, and both relays then connect to the endpoint. Some of its
connections are reserved for this case.
"""

from collections.abc import Callable

import structlog

from rosemaryward.decisions.clock import boot_time_s
from rosemaryward.decisions.gateway.directory import distance
from rosemaryward.decisions.gateway.environment import Endpoint
from rosemaryward.decisions.hashing import stable_hash
from rosemaryward.decisions.leadership.members import MemberDirectory, MemberRecord

__all__ = ["RelaySelector", "relay_capacity"]

DIRECT_CONNECTIONS_PER_PROXY = 3  # with fewer, a burst reaches the limit
SUFFICIENT_CAPACITY_SHARE = 0.5  # of the largest capacity within a failure domain
RESERVED_CONNECTIONS_SHARE = 0.125  # of the limit, for control and a second relay
MIN_RESERVED_CONNECTIONS = 2
AVOIDANCE_S = 2.0
LEAVING_AVOIDANCE_S = 10.0  # longer than the grace period of a stopping process

CPU_S_PER_STATEMENT = 0.001  # at the relay, for a statement and its answer
BYTES_PER_STATEMENT = 2000  # with its answer; crosses the link once each way
BITS_PER_BYTE = 8

log = structlog.get_logger(__name__)


def relay_capacity(cores: float, link_mbps: float) -> float:
    """Return how many statements per second a host can relay.

    Parameters
    ----------
    cores : float
        Processor time that its process may use, in seconds per second.
    link_mbps : float
        Bandwidth of its link in each direction, in Mbit/s.

    Returns
    -------
    float
        Statements per second.
    """
    bytes_per_s = link_mbps * 1e6 / BITS_PER_BYTE
    return min(cores / CPU_S_PER_STATEMENT, bytes_per_s / BYTES_PER_STATEMENT)


class RelaySelector:
    """Selects relays by distance to the endpoint, capacity and rendezvous hash.

    Parameters
    ----------
    own_name : str
        Name of this proxy.
    members : MemberDirectory
        Members of the fleet.
    connection_limit : callable
        Returns how many connections an endpoint of a group accepts from all proxies
        together, or None if that is unknown.
    clock : callable, optional
        Returns the boot time in seconds.
    pools_per_proxy : callable, optional
        Returns how many separate pools a proxy has for an endpoint: one for each
        tenant, as connections are not shared between tenants.

    Attributes
    ----------
    avoid_until : dict of str to float
        Boot time until which a process is not used as a relay, in seconds, by
        incarnation.
    leaving : set of str
        Incarnations of the processes that have announced their end.
    ranked : dict of str to list of MemberRecord
        Members in order of preference, by endpoint id.
    ranked_version : int
        Version of the members that `ranked` was computed from.
    """

    def __init__(
        self,
        own_name: str,
        members: MemberDirectory,
        connection_limit: Callable[[str], int | None],
        clock: Callable[[], float] = boot_time_s,
        pools_per_proxy: Callable[[], int] = lambda: 1,
    ) -> None:
        self.pools_per_proxy = pools_per_proxy
        self.own_name = own_name
        self.members = members
        self.connection_limit = connection_limit
        self.clock = clock
        self.avoid_until: dict[str, float] = {}
        self.leaving: set[str] = set()
        self.ranked: dict[str, list[MemberRecord]] = {}
        self.ranked_version = -1

    def connections_are_scarce(self, group: str) -> bool:
        """Return whether an endpoint accepts too few connections for all proxies."""
        limit = self.connection_limit(group)
        pools = len(self.members.alive) * self.pools_per_proxy()
        return limit is not None and limit < DIRECT_CONNECTIONS_PER_PROXY * pools

    def connection_cap(self, group: str) -> int | None:
        """Return how many connections callers' statements may use, None for no cap."""
        limit = self.connection_limit(group)
        if limit is None or not self.connections_are_scarce(group):
            return None
        return limit - max(
            MIN_RESERVED_CONNECTIONS, round(limit * RESERVED_CONNECTIONS_SHARE)
        )

    def select_relay(self, endpoint: Endpoint) -> MemberRecord | None:
        """Return the relay of an endpoint, or None to connect to it directly."""
        if not self.connections_are_scarce(endpoint.group):
            return None
        now = self.clock()
        for member in self._ranked_members(endpoint):
            if self.avoid_until.get(member.incarnation, now) <= now:
                return None if member.name == self.own_name else member
        return None

    def is_relay(self, endpoint: Endpoint) -> bool:
        """Return whether this proxy runs the statements of all others there."""
        if not self.connections_are_scarce(endpoint.group):
            return False
        return self.select_relay(endpoint) is None

    def avoid(self, member: MemberRecord, reason: str, leaving: bool = False) -> None:
        """Exclude a member from relaying for a limited time.

        Parameters
        ----------
        member : MemberRecord
            Member to exclude.
        reason : str
            Reason for the log.
        leaving : bool
            Whether its process is about to stop.
        """
        now = self.clock()
        if leaving:
            self.leaving.add(member.incarnation)
        is_leaving = member.incarnation in self.leaving
        until = now + (LEAVING_AVOIDANCE_S if is_leaving else AVOIDANCE_S)
        if self.avoid_until.get(member.incarnation, now) <= now:
            log.info("relay avoided", relay=member.name, reason=reason)
        self.avoid_until = {
            incarnation: at for incarnation, at in self.avoid_until.items() if at > now
        }
        self.leaving &= self.avoid_until.keys() | {member.incarnation}
        self.avoid_until[member.incarnation] = until

    def readmit(self, member: MemberRecord) -> None:
        """End the avoidance of a member that was reached again, unless it leaves."""
        if member.incarnation in self.leaving:
            return
        if self.avoid_until.pop(member.incarnation, None) is not None:
            log.info("relay readmitted", relay=member.name)

    def is_live(self, member: MemberRecord) -> bool:
        """Return whether a process is still a live member."""
        return member in self.members.live_members()

    def _ranked_members(self, endpoint: Endpoint) -> list[MemberRecord]:
        """Return the alive members in order of preference, from the cache if valid."""
        if self.ranked_version != self.members.version:
            self.ranked_version = self.members.version
            self.ranked = {}
        ranked = self.ranked.get(endpoint.id)
        if ranked is None:
            ranked = self.ranked[endpoint.id] = self._rank_members(endpoint)
        return ranked

    def _rank_members(self, endpoint: Endpoint) -> list[MemberRecord]:
        """Return the alive members in order of preference as the endpoint's relay."""
        alive = [
            member for member in self.members.live_members() if member.relay_address
        ]
        largest: dict[str, float] = {}
        for member in alive:
            domain = member.place.failure_domain
            largest[domain] = max(largest.get(domain, 0.0), member.capacity)

        def preference(member: MemberRecord) -> tuple[int, bool, int]:
            enough = largest[member.place.failure_domain] * SUFFICIENT_CAPACITY_SHARE
            return (
                distance(member.place, endpoint.place),
                member.capacity < enough,
                stable_hash(endpoint.id, member.name),
            )

        return sorted(alive, key=preference)
