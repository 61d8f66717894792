"""Registered endpoints, with a connection pool for each."""

import time
from collections.abc import Callable

import structlog

from rosemaryward.decisions.admission import TenantWeights
from rosemaryward.decisions.clock import boot_time_s
from rosemaryward.decisions.gateway.connections import (
    WARMUP_CAUSES,
    Connector,
    EndpointPool,
)
from rosemaryward.decisions.gateway.environment import Endpoint
from rosemaryward.decisions.types import Place

__all__ = ["RELAY_IDLE_CONNECTION_LIMIT_S", "EndpointDirectory", "distance"]

# Registrations that expired during an outage of the store are back within 2 s.
REGISTRATION_GRACE_S = 2.5
# Idle connections count towards the connection limit that all proxies share.
IDLE_CONNECTION_LIMIT_S = 3.0
# A relay keeps the connections of many tenants. Opening one takes a slot of the
# endpoint for 12 ms, so it is not repeated for each statement of a small tenant.
RELAY_IDLE_CONNECTION_LIMIT_S = 20.0

# A server whose registration first appears later than this after its start has been
# running. The bound allows for clocks of servers and proxies that differ by seconds.
RECENT_START_S = 10.0

# An endpoint that leaves gets no new statement after this time, even if no other one
# has replaced it. Bounds count from when the endpoint reported it, which is earlier.
LEAVING_USE_LIMIT_S = 5.0

MS_PER_SECOND = 1000

SAME_DOMAIN_DISTANCE = 0
SAME_REGION_DISTANCE = 1
OTHER_REGION_DISTANCE = 2

log = structlog.get_logger(__name__)


def distance(one: Place, other: Place) -> int:
    """Return the distance of two places.

    Parameters
    ----------
    one, other : Place
        Places to compare.

    Returns
    -------
    int
        0 within a failure domain, 1 within a region and 2 between regions.
    """
    if one == other:
        return SAME_DOMAIN_DISTANCE
    return SAME_REGION_DISTANCE if one.region == other.region else OTHER_REGION_DISTANCE


class EndpointDirectory:
    """Registered endpoints with their connection pools, by endpoint id.

    Parameters
    ----------
    connector : Connector
        Opens the connections of the pools.
    clock : callable, optional
        Returns the boot time in seconds.
    connection_cap : callable, optional
        Returns how many connections to an endpoint of a group callers' statements
        may use, None for no cap.
    keeps_idle : callable, optional
        Returns whether idle connections to an endpoint are kept as at a relay.
    unix_clock : callable, optional
        Returns the Unix time in seconds.

    Attributes
    ----------
    endpoints : dict of str to Endpoint
        Endpoints by id, including those whose registration was removed recently.
    unregistered_since : dict of str to float
        Boot time at which an endpoint's registration was removed, in seconds.
    leaving_since : dict of str to float
        Boot time at which an endpoint was first seen to leave, in seconds.
    refused : set of str
        Endpoints that get no new statements because they have been leaving for long.
    pools : dict of str to EndpointPool
        Pools for direct connections.
    outdated_at : float
        Boot time at which registrations were last known to be out of date.
    listed : bool
        Whether the registrations that existed at the start of this process are known.
    warmups : dict of str to int
        Number of warm-ups so far by cause, of endpoints that are gone as well.
    weights : callable or None
        Weights of tenants in the admission queues, None for equal shares.
    paces_recovery : bool
        Whether the work at servers that have started or recovered is limited.
    """

    def __init__(
        self,
        connector: Connector,
        clock: Callable[[], float] = boot_time_s,
        connection_cap: Callable[[str], int | None] | None = None,
        keeps_idle: Callable[[Endpoint], bool] = lambda endpoint: False,
        unix_clock: Callable[[], float] = time.time,
    ) -> None:
        self.unix_clock = unix_clock
        self.listed = False
        self.warmups = dict.fromkeys(WARMUP_CAUSES, 0)
        self.connection_cap = connection_cap
        self.keeps_idle = keeps_idle
        self.connector = connector
        self.clock = clock
        self.endpoints: dict[str, Endpoint] = {}
        self.unregistered_since: dict[str, float] = {}
        self.leaving_since: dict[str, float] = {}
        self.refused: set[str] = set()
        self.pools: dict[str, EndpointPool] = {}
        self.outdated_at = float("-inf")
        self.weights: TenantWeights | None = None
        self.paces_recovery = True

    def set_weights(self, weights: TenantWeights | None) -> None:
        """Set the weights of tenants for the queues of all endpoints.

        Parameters
        ----------
        weights : callable or None
            Returns the weight of a tenant, None if it is not known; None for equal
            shares.
        """
        self.weights = weights
        for pool in self.pools.values():
            pool.queue.set_weights(weights)

    def set_pace(self, paces_recovery: bool) -> None:
        """Set whether to limit the work at servers that have started or recovered."""
        self.paces_recovery = paces_recovery
        for pool in self.pools.values():
            pool.paces_recovery = paces_recovery

    def mark_outdated(self) -> None:
        """Record that registrations may have changed unseen, as in a store outage."""
        self.outdated_at = self.clock()

    def mark_listed(self) -> None:
        """Record that endpoints which appear from now on may have just started."""
        self.listed = True

    def may_lack_endpoints(self) -> bool:
        """Return whether a running endpoint may not be registered yet."""
        return self.clock() < self.outdated_at + REGISTRATION_GRACE_S

    def observe(self, endpoint: Endpoint) -> None:
        """Add an endpoint or apply its changed registration."""
        self.unregistered_since.pop(endpoint.id, None)
        known = self.endpoints.get(endpoint.id)
        if known == endpoint:
            return
        self.endpoints[endpoint.id] = endpoint
        self._record_leaving(endpoint)
        log.info(
            "endpoint observed",
            endpoint=endpoint.id,
            group=endpoint.group,
            address=endpoint.address,
            domain=endpoint.place.failure_domain,
            leaving=endpoint.leaving,
            claims_primary=endpoint.claims_primary,
            started_at=endpoint.started_at,
        )
        pool = self.pools.get(endpoint.id)
        moved = known is not None and known.address != endpoint.address
        if pool is None or moved:
            if pool is not None:
                pool.close()
            self.pools[endpoint.id] = EndpointPool(
                endpoint,
                self.connector,
                self.clock,
                self.connection_cap,
                weights=self.weights,
                warmup_counts=self.warmups,
            )
            self.pools[endpoint.id].paces_recovery = self.paces_recovery
        else:
            pool.update(endpoint)
        if self._has_started(known, endpoint):
            self.pools[endpoint.id].begin_warmup("started")

    def _has_started(self, known: Endpoint | None, endpoint: Endpoint) -> bool:
        """Return whether a registration shows a server that has just started.

        Those known when this process starts run already, and so does one that
        appears again, or in a newer listing, with an old start time.
        """
        if known is not None:
            return 0 < known.started_at < endpoint.started_at
        if not self.listed:
            return False
        recent_ms = (self.unix_clock() - RECENT_START_S) * MS_PER_SECOND
        return not endpoint.started_at or endpoint.started_at > recent_ms

    def _record_leaving(self, endpoint: Endpoint) -> None:
        """Record since when an endpoint leaves; one that started again does not."""
        if endpoint.leaving:
            self.leaving_since.setdefault(endpoint.id, self.clock())
        else:
            self.leaving_since.pop(endpoint.id, None)
            self.refused.discard(endpoint.id)

    def accepts_statements(self, endpoint_id: str) -> bool:
        """Return whether an endpoint may get new statements.

        One that has been leaving for `LEAVING_USE_LIMIT_S` may not, whether or not
        another one has replaced it.
        """
        since = self.leaving_since.get(endpoint_id)
        if since is None or self.clock() - since < LEAVING_USE_LIMIT_S:
            return True
        if endpoint_id not in self.refused:
            self.refused.add(endpoint_id)
            log.warning(
                "leaving endpoint gets no new statements",
                endpoint=endpoint_id,
                leaving_s=round(self.clock() - since, 3),
            )
        return False

    def mark_unregistered(self, endpoint_id: str) -> None:
        """Record that the registration of an endpoint was removed."""
        if endpoint_id in self.endpoints and endpoint_id not in self.unregistered_since:
            self.unregistered_since[endpoint_id] = self.clock()
            log.warning("endpoint registration removed", endpoint=endpoint_id)

    def remove_expired(self) -> None:
        """Remove endpoints that stay unregistered and close long idle connections."""
        now = self.clock()
        for endpoint_id, since in list(self.unregistered_since.items()):
            if now - since >= REGISTRATION_GRACE_S:
                log.warning(
                    "endpoint gone", endpoint=endpoint_id, missing_s=now - since
                )
                del self.unregistered_since[endpoint_id]
                del self.endpoints[endpoint_id]
                self.leaving_since.pop(endpoint_id, None)
                self.refused.discard(endpoint_id)
                self.pools.pop(endpoint_id).close()
        for pool in self.pools.values():
            keeps = self.keeps_idle(pool.endpoint)
            pool.discard_idle(
                RELAY_IDLE_CONNECTION_LIMIT_S if keeps else IDLE_CONNECTION_LIMIT_S
            )

    def warming_count(self) -> int:
        """Return how many endpoints have a limit on work after a start."""
        return sum(pool.queue.warmup.active for pool in self.pools.values())

    def in_group(self, group: str) -> list[Endpoint]:
        """Return the endpoints of a group."""
        return [e for e in self.endpoints.values() if e.group == group]
