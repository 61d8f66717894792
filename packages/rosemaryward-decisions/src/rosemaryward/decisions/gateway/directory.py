"""Endpoints that registered themselves, with a pool for each."""

from collections.abc import Callable

import structlog

from rosemaryward.decisions.clock import boot_time_s
from rosemaryward.decisions.gateway.connections import Connector, EndpointPool
from rosemaryward.decisions.gateway.environment import Endpoint
from rosemaryward.decisions.types import Place

__all__ = ["EndpointDirectory", "distance"]

REGISTRATION_GRACE_S = 2.5  # entries that lapsed with the store are back within 2 s
IDLE_LIMIT_S = 3.0  # idle connections count towards the limit of all proxies

SAME_DOMAIN = 0
SAME_REGION = 1
OTHER_REGION = 2

log = structlog.get_logger(__name__)


def distance(one: Place, other: Place) -> int:
    """Return 0 within a failure domain, 1 within a region and 2 otherwise."""
    if one == other:
        return SAME_DOMAIN
    return SAME_REGION if one.region == other.region else OTHER_REGION


class EndpointDirectory:
    """Endpoints by identity and by group.

    Parameters
    ----------
    connector : Connector
    clock : callable, optional
    connection_cap : callable, optional
        Returns how many connections to an endpoint of a group callers' statements
        may use, None for no cap.

    Attributes
    ----------
    endpoints : dict of str to Endpoint
    missing_since : dict of str to float
        When the registration of an endpoint was removed.
    pools : dict of str to EndpointPool
    """

    def __init__(
        self,
        connector: Connector,
        clock: Callable[[], float] = boot_time_s,
        connection_cap: Callable[[str], int | None] | None = None,
    ) -> None:
        self.connection_cap = connection_cap
        self.connector = connector
        self.clock = clock
        self.endpoints: dict[str, Endpoint] = {}
        self.missing_since: dict[str, float] = {}
        self.pools: dict[str, EndpointPool] = {}

    def observe(self, endpoint: Endpoint) -> None:
        """Add or update an endpoint."""
        self.missing_since.pop(endpoint.id, None)
        known = self.endpoints.get(endpoint.id)
        if known == endpoint:
            return
        self.endpoints[endpoint.id] = endpoint
        log.info(
            "endpoint observed",
            endpoint=endpoint.id,
            group=endpoint.group,
            address=endpoint.address,
            domain=endpoint.place.failure_domain,
            leaving=endpoint.leaving,
            claims_primary=endpoint.claims_primary,
        )
        pool = self.pools.get(endpoint.id)
        moved = known is not None and known.address != endpoint.address
        if pool is None or moved:
            if pool is not None:
                pool.close()
            self.pools[endpoint.id] = EndpointPool(
                endpoint, self.connector, self.clock, self.connection_cap
            )
        else:
            pool.update(endpoint)

    def mark_unregistered(self, endpoint_id: str) -> None:
        """Note that the registration of an endpoint was removed."""
        if endpoint_id in self.endpoints and endpoint_id not in self.missing_since:
            self.missing_since[endpoint_id] = self.clock()
            log.warning("endpoint registration removed", endpoint=endpoint_id)

    def remove_expired(self) -> None:
        """Forget endpoints that stayed away, and close connections long idle."""
        now = self.clock()
        for endpoint_id, since in list(self.missing_since.items()):
            if now - since >= REGISTRATION_GRACE_S:
                log.warning(
                    "endpoint gone", endpoint=endpoint_id, missing_s=now - since
                )
                del self.missing_since[endpoint_id]
                del self.endpoints[endpoint_id]
                self.pools.pop(endpoint_id).close()
        for pool in self.pools.values():
            pool.discard_idle(IDLE_LIMIT_S)

    def in_group(self, group: str) -> list[Endpoint]:
        """Return the endpoints of a group."""
        return [e for e in self.endpoints.values() if e.group == group]
