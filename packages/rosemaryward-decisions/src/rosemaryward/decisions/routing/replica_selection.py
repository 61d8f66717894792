"""Order in which a read tries the replicas of a database."""

from collections.abc import Iterable, Mapping

import anyio

from rosemaryward.decisions.document.schema import InstanceSection
from rosemaryward.decisions.types import EndpointId, Place

__all__ = ["ReplicaSelector"]

LATENCY_WEIGHT = 0.2  # of the newest latency in the moving average
FAILURE_PENALTY_S = 0.5  # for which a replica comes last after a failure
REGION_ROUND_TRIP_S = 0.016  # added for a replica in another region
DOMAIN_ROUND_TRIP_S = 0.003  # added for one in another failure domain


class _EndpointHistory:
    """Mean latency of one endpoint and the end of its last failure penalty."""

    __slots__ = ("avoid_until", "mean_latency_s")

    def __init__(self) -> None:
        self.mean_latency_s = 0.0
        self.avoid_until = 0.0


class ReplicaSelector:
    """Orders replicas by place, measured latency and recent failures.

    Parameters
    ----------
    place : Place
        Place of this proxy.
    """

    def __init__(self, place: Place) -> None:
        self.place = place
        self.histories: dict[EndpointId, _EndpointHistory] = {}

    def order_replicas(
        self, database: str, instances: Mapping[str, InstanceSection], primary: str
    ) -> list[EndpointId]:
        """Return the replicas in the order to try; those that failed lately come last.

        Parameters
        ----------
        database : str
        instances : Mapping of str to InstanceSection
            Instances of the database; leaving ones are skipped.
        primary : str
            Instance to skip, empty if unknown.
        """
        now = anyio.current_time()
        names = [n for n, i in instances.items() if n != primary and not i.leaving]
        endpoints = [EndpointId(database, name) for name in names]
        return sorted(
            endpoints, key=lambda e: self._sort_key(e, instances[e.instance], now)
        )

    def record_answer(self, endpoint: EndpointId, latency_s: float) -> None:
        """Update the mean latency of an endpoint, in seconds."""
        history = self._history(endpoint)
        history.mean_latency_s += LATENCY_WEIGHT * (latency_s - history.mean_latency_s)

    def record_failure(
        self, endpoint: EndpointId, penalty_s: float = FAILURE_PENALTY_S
    ) -> None:
        """Try other endpoints first for `penalty_s` seconds."""
        self._history(endpoint).avoid_until = anyio.current_time() + penalty_s

    def retain(self, endpoints: Iterable[EndpointId]) -> None:
        """Remove the history of all endpoints but the given ones."""
        retained = set(endpoints)
        self.histories = {e: h for e, h in self.histories.items() if e in retained}

    def _sort_key(
        self, endpoint: EndpointId, section: InstanceSection, now: float
    ) -> tuple[bool, float]:
        history = self._history(endpoint)
        cost_s = history.mean_latency_s
        if section.region != self.place.region:
            cost_s += REGION_ROUND_TRIP_S
        elif section.failure_domain != self.place.failure_domain:
            cost_s += DOMAIN_ROUND_TRIP_S
        return history.avoid_until > now, cost_s

    def _history(self, endpoint: EndpointId) -> _EndpointHistory:
        history = self.histories.get(endpoint)
        if history is None:
            history = self.histories[endpoint] = _EndpointHistory()
        return history
