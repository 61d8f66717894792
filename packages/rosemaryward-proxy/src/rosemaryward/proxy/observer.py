"""Recording of statements and failovers in the metrics."""

import anyio

from rosemaryward.operators.metrics import ProxyMetrics

__all__ = ["MetricsObserver"]


class MetricsObserver:
    """Implements `StatementObserver` and measures failover gaps.

    Parameters
    ----------
    metrics : ProxyMetrics
        Metrics registry of this process.

    Attributes
    ----------
    failed_at : dict of str to float
        Start of the failover gap in progress by database, in event-loop seconds.
    """

    def __init__(self, metrics: ProxyMetrics) -> None:
        self.metrics = metrics
        self.record_statement = metrics.record_statement
        self.record_outcome = metrics.record_outcome
        self.record_read = metrics.record_read
        self.failed_at: dict[str, float] = {}

    def record_primary_replaced(self, database: str, last_contact_at: float) -> None:
        """Start a failover gap at the last contact with the replaced primary."""
        self.failed_at[database] = last_contact_at

    def record_confirmed_write(self, database: str) -> None:
        """End the failover gap of the database, if any, at an acknowledged write."""
        failed_at = self.failed_at.pop(database, None)
        if failed_at is not None:
            self.metrics.record_failover_gap(anyio.current_time() - failed_at)
