"""Prometheus metrics of one proxy.

Every label has a bounded set of values: tenants beyond `TENANT_LIMIT` share the value
``other``, and the values of the other labels are checked against fixed sets.

aioprometheus encodes the labels of a series at every access. On the statement path
the series are therefore kept here, and their counts are copied to the registry when
the metrics are rendered.
"""

from collections.abc import Iterable, Mapping, Sequence

from aioprometheus import Counter, Gauge, Histogram, Registry
from aioprometheus.histogram import Histogram as Observations
from aioprometheus.renderer import render

from rosemaryward.decisions.clients import ClientTable
from rosemaryward.decisions.links import TrafficKey

__all__ = ["OUTCOMES", "TENANT_LIMIT", "ProxyMetrics"]

TENANT_LIMIT = 200
LARGEST_TENANTS = 20  # with a series of their own
OTHER_LABEL = "other"
OUTCOMES = ("done", "not_run", "unknown", "failed")
RANKS = ("urgent", "normal", "bulk")

TIME_BUCKETS_S = (
    0.001,
    0.002,
    0.005,
    0.01,
    0.02,
    0.05,
    0.1,
    0.2,
    0.5,
    1.0,
    2.0,
    5.0,
    float("inf"),
)
GAP_BUCKETS_S = (0.5, 1.0, 1.2, 1.5, 2.0, 3.0, 5.0, 10.0, 30.0, float("inf"))


def _bounded_label(value: str, accepted: Sequence[str]) -> str:
    return value if value in accepted else OTHER_LABEL


def _escape_label(value: str) -> str:
    """Return a label value in the exposition format, which the library does not."""
    return value.replace("\\", r"\\").replace('"', r"\"").replace("\n", r"\n")


def _rank_label(rank: int) -> str:
    return RANKS[rank] if 0 <= rank < len(RANKS) else OTHER_LABEL


class _Series:
    """Histograms and outcome counts of one tenant and rank."""

    __slots__ = ("labels", "outcomes", "queue_time", "service_time")

    def __init__(self, tenant: str, rank: str) -> None:
        self.labels = {"tenant": _escape_label(tenant), "rank": rank}
        self.queue_time = Observations(*TIME_BUCKETS_S)
        self.service_time = Observations(*TIME_BUCKETS_S)
        self.outcomes: dict[str, int] = {}


class ProxyMetrics:
    """Counters, gauges and histograms of one proxy.

    Parameters
    ----------
    host_id : str
        Value of the label ``host`` of every metric; no label if empty.

    Attributes
    ----------
    registry : aioprometheus.Registry
    """

    def __init__(self, host_id: str = "") -> None:
        self.registry = Registry()
        self.labels = {"host": _escape_label(host_id)} if host_id else {}
        self.tenants: set[str] = set()
        self._series: dict[tuple[str, int], _Series] = {}
        self._reads: dict[tuple[str, bool], int] = {}
        self._create_statement_metrics()
        self._create_state_metrics()

    def _counter(self, name: str, text: str) -> Counter:
        return Counter(f"rosemaryward_{name}", text, self.labels, self.registry)

    def _gauge(self, name: str, text: str) -> Gauge:
        return Gauge(f"rosemaryward_{name}", text, self.labels, self.registry)

    def _histogram(self, name: str, text: str, buckets: Sequence[float]) -> Histogram:
        return Histogram(
            f"rosemaryward_{name}", text, self.labels, self.registry, buckets
        )

    def _create_statement_metrics(self) -> None:
        self.queue_time = self._histogram(
            "queue_seconds", "Wait for a slot by tenant and rank", TIME_BUCKETS_S
        )
        self.service_time = self._histogram(
            "service_seconds", "Time at the endpoint by tenant and rank", TIME_BUCKETS_S
        )
        self.outcomes = self._counter(
            "statements_total", "Statements by tenant, rank and outcome"
        )
        self.reads = self._counter(
            "reads_total", "Reads by tenant and the role that served them"
        )

    def _create_state_metrics(self) -> None:
        self.tenant_operations = self._counter(
            "tenant_operations_total", "Operations that began, by tenant"
        )
        self.tenant_refusals = self._counter(
            "tenant_refusals_total", "Refused callers and operations, by cause"
        )
        self.failover_gap = self._histogram(
            "failover_gap_seconds",
            "From the loss of a primary to the first acknowledged write",
            GAP_BUCKETS_S,
        )
        self.link_bytes = self._counter(
            "region_link_bytes_total",
            "Bytes between regions by direction, rank and purpose",
        )
        self.ownership_changes = self._counter(
            "ownership_changes_total", "Endpoints gained and given up"
        )
        self.term_changes = self._counter(
            "term_changes_total", "Changes of a database's primary or term"
        )
        self.rejected_values = self._counter(
            "store_values_rejected_total", "Values of the store that cannot be used"
        )
        self.relayed = self._counter(
            "relayed_requests_total", "Requests of other proxies by outcome"
        )
        self.quota_events = self._counter(
            "quota_events_total",
            "Operations under tenants' rate limits and messages about them, by event",
        )
        self.quota_share = self._gauge(
            "quota_share_in_force",
            "Fraction of the tenants' rates that this proxy lends to all proxies",
        )
        self.configuration_version = self._gauge(
            "configuration_version", "Version of the document in force"
        )
        self.configuration_age = self._gauge(
            "configuration_age_seconds", "Time since the document was applied"
        )
        self.caller_connections = self._gauge(
            "caller_connections", "Open connections of callers"
        )
        self.client_limits = self._counter(
            "client_limit_total", "Refused and closed connections by address and cause"
        )
        self.client_connections = self._gauge(
            "client_connections", "Open connections by address"
        )
        self.client_held_bytes = self._gauge(
            "client_held_bytes", "Bytes of long messages and answers by address"
        )
        self.warmups = self._counter(
            "endpoint_warmups_total", "Limited starts and recoveries by cause"
        )
        self.warming_endpoints = self._gauge(
            "warming_endpoints", "Endpoints whose work is limited after a start"
        )
        self.gossip_bytes = self._counter(
            "gossip_bytes_total", "Gossip bytes by direction"
        )

    def set_tenants(self, names: Iterable[str]) -> None:
        """Add tenants with a label of their own, up to `TENANT_LIMIT`.

        Tenants keep their label, so a change of the document neither resets a counter
        nor raises the number of labels past the limit.
        """
        for name in names:
            if len(self.tenants) < TENANT_LIMIT:
                self.tenants.add(name)

    def _find_series(self, tenant: str, rank: int) -> _Series:
        label = tenant if tenant in self.tenants else OTHER_LABEL
        number = rank if 0 <= rank < len(RANKS) else len(RANKS)
        series = self._series.get((label, number))
        if series is None:
            series = self._series[label, number] = _Series(label, _rank_label(rank))
        return series

    def record_statement(
        self, tenant: str, rank: int, queue_s: float, service_s: float
    ) -> None:
        """Record a statement's times in seconds; called by the endpoint's owner."""
        series = self._find_series(tenant, rank)
        if not series.queue_time.observations:
            self.queue_time.set_value(series.labels, series.queue_time)
            self.service_time.set_value(series.labels, series.service_time)
        series.queue_time.observe(queue_s)
        series.service_time.observe(service_s)

    def record_outcome(self, tenant: str, rank: int, outcome: str) -> None:
        """Count a statement by outcome; called by its entry proxy.

        Parameters
        ----------
        tenant : str
        rank : int
            Value of `Rank`.
        outcome : str
            One of `OUTCOMES`.
        """
        counts = self._find_series(tenant, rank).outcomes
        label = _bounded_label(outcome, OUTCOMES)
        counts[label] = counts.get(label, 0) + 1

    def record_read(self, tenant: str, from_replica: bool) -> None:
        """Count a completed read; called by its entry proxy."""
        key = (tenant if tenant in self.tenants else OTHER_LABEL, from_replica)
        self._reads[key] = self._reads.get(key, 0) + 1

    def record_failover_gap(self, gap_s: float) -> None:
        """Record the seconds without acknowledged writes around a promotion."""
        self.failover_gap.observe({}, gap_s)

    def set_link_bytes(self, key: TrafficKey, size: int) -> None:
        """Set the bytes sent or received so far on the link between regions."""
        rank = "control" if key.rank is None else _rank_label(key.rank)
        labels = {
            "direction": key.direction.value,
            "rank": rank,
            "purpose": key.purpose.value,
        }
        self.link_bytes.set(labels, size)

    def record_ownership_change(self, gained: bool) -> None:
        """Count an endpoint whose ownership the proxy gained or gave up."""
        self.ownership_changes.inc({"change": "gained" if gained else "given_up"})

    def record_term_change(self) -> None:
        """Count a change of a database's primary or term."""
        self.term_changes.inc({})

    def set_gossip_bytes(self, bytes_in: int, bytes_out: int) -> None:
        """Set the gossip bytes received and sent so far."""
        self.gossip_bytes.set({"direction": "in"}, bytes_in)
        self.gossip_bytes.set({"direction": "out"}, bytes_out)

    def set_configuration(self, version: int, age_s: float) -> None:
        """Set the version in force and the seconds since it was applied."""
        self.configuration_version.set({}, version)
        self.configuration_age.set({}, age_s)

    def set_relayed_requests(self, outcomes: Mapping[str, int]) -> None:
        """Set the number of relayed requests by outcome."""
        for outcome, count in outcomes.items():
            self.relayed.set({"outcome": outcome}, count)

    def set_rejected_values(self, counts: Mapping[str, int]) -> None:
        """Set the number of values that cannot be used, by the prefix of their keys."""
        for prefix, count in counts.items():
            self.rejected_values.set({"prefix": prefix}, count)

    def set_tenant_operations(self, counts: Mapping[str, int]) -> None:
        """Set the number of operations by tenant.

        The tenants with the most operations have a series each, the others share one.
        A tenant that leaves the largest ones loses its series.
        """
        by_count = sorted(counts, key=lambda name: (-counts[name], name))
        shown = {name: counts[name] for name in by_count[:LARGEST_TENANTS]}
        rest = sum(counts[name] for name in by_count[LARGEST_TENANTS:])
        shown[OTHER_LABEL] = shown.get(OTHER_LABEL, 0) + rest
        self.tenant_operations.values.clear()
        for name, count in shown.items():
            self.tenant_operations.set({"tenant": _escape_label(name)}, count)

    def set_tenant_refusals(self, counts: Mapping[str, int]) -> None:
        """Set the number of refused callers and operations of tenants, by cause."""
        for cause, count in counts.items():
            self.tenant_refusals.set({"cause": cause}, count)

    def set_quota(self, counts: Mapping[str, int], share: float) -> None:
        """Set the counts of quota events so far, and the share that is lent here."""
        for event, count in counts.items():
            self.quota_events.set({"event": event}, count)
        self.quota_share.set({}, share)

    def set_warmups(self, counts: Mapping[str, int], warming: int) -> None:
        """Set the warm-ups of endpoints so far by cause, and those in progress."""
        for cause, count in counts.items():
            self.warmups.set({"cause": cause}, count)
        self.warming_endpoints.set({}, warming)

    def set_caller_connections(self, count: int) -> None:
        """Set the number of open caller connections."""
        self.caller_connections.set({}, count)

    def set_clients(self, address: str, clients: ClientTable) -> None:
        """Set the connections at an address, their memory and the limits reached."""
        labels = {"address": address}
        self.client_connections.set(labels, len(clients.clients))
        self.client_held_bytes.set(labels, clients.held_bytes)
        for cause, count in clients.counts.items():
            self.client_limits.set(labels | {"cause": cause}, count)

    def render(self, accept: Sequence[str] = ()) -> tuple[bytes, dict[str, str]]:
        """Return the metrics in the exposition format and the response headers.

        Parameters
        ----------
        accept : sequence of str
            Values of the request's ``Accept`` header.
        """
        self._export_counts()
        return render(self.registry, list(accept))

    def _export_counts(self) -> None:
        """Copy the statement and read counts to the registry."""
        for series in self._series.values():
            for outcome, count in series.outcomes.items():
                self.outcomes.set(series.labels | {"outcome": outcome}, count)
        for (tenant, from_replica), count in self._reads.items():
            role = "replica" if from_replica else "primary"
            self.reads.set({"tenant": _escape_label(tenant), "role": role}, count)
