"""Order in which the replicas of a database are tried for a read."""

from collections.abc import Iterable, Mapping

import anyio

from rosemaryward.decisions.document.schema import InstanceSection
from rosemaryward.decisions.types import EndpointId, Place

__all__ = ["ReplicaSelector"]

SMOOTHING = 0.2  # weight of the newest latency
FAILURE_PENALTY_S = 0.5
REGION_COST_S = 0.016  # round trip between regions
DOMAIN_COST_S = 0.003  # round trip between failure domains


class _Observed:
    __slots__ = ("avoid_until", "latency_s")

    def __init__(self) -> None:
        self.latency_s = 0.0
        self.avoid_until = 0.0


class ReplicaSelector:
    """Ranks instances by place, observed latency and recent refusals.

    Parameters
    ----------
    place : Place
        Place of this proxy.
    """

    def __init__(self, place: Place) -> None:
        self.place = place
        self.observed: dict[EndpointId, _Observed] = {}

    def order_replicas(
        self, database: str, instances: Mapping[str, InstanceSection], primary: str
    ) -> list[EndpointId]:
        """Return the replicas, best first; those refused lately come last."""
        now = anyio.current_time()
        names = [n for n, i in instances.items() if n != primary and not i.leaving]
        endpoints = [EndpointId(database, name) for name in names]
        return sorted(
            endpoints, key=lambda e: self._cost(e, instances[e.instance], now)
        )

    def record_answer(self, endpoint: EndpointId, latency_s: float) -> None:
        """Update the smoothed latency of an endpoint."""
        observed = self._of(endpoint)
        observed.latency_s += SMOOTHING * (latency_s - observed.latency_s)

    def record_refusal(
        self, endpoint: EndpointId, for_s: float = FAILURE_PENALTY_S
    ) -> None:
        """Prefer other endpoints for a while."""
        self._of(endpoint).avoid_until = anyio.current_time() + for_s

    def forget(self, known: Iterable[EndpointId]) -> None:
        """Drop observations of endpoints that are not in the document any more."""
        kept = set(known)
        self.observed = {e: o for e, o in self.observed.items() if e in kept}

    def _cost(
        self, endpoint: EndpointId, section: InstanceSection, now: float
    ) -> tuple[bool, float]:
        observed = self._of(endpoint)
        cost = observed.latency_s
        if section.region != self.place.region:
            cost += REGION_COST_S
        elif section.failure_domain != self.place.failure_domain:
            cost += DOMAIN_COST_S
        return observed.avoid_until > now, cost

    def _of(self, endpoint: EndpointId) -> _Observed:
        observed = self.observed.get(endpoint)
        if observed is None:
            observed = self.observed[endpoint] = _Observed()
        return observed
