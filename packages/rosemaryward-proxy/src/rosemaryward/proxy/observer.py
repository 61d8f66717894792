"""Observation of statements and failovers for the metrics."""

import anyio

from rosemaryward.operators.metrics import ProxyMetrics

__all__ = ["NodeObserver"]


class NodeObserver:
    """Implements `StatementObserver` and measures failover gaps.

    Parameters
    ----------
    metrics : ProxyMetrics
    """

    def __init__(self, metrics: ProxyMetrics) -> None:
        self.metrics = metrics
        self.record_statement = metrics.record_statement
        self.record_outcome = metrics.record_outcome
        self.record_read = metrics.record_read
        self.lost_at: dict[str, float] = {}

    def note_replaced(self, database: str, last_heard_at: float) -> None:
        """Start a gap at the last sign of life of the replaced primary."""
        self.lost_at[database] = last_heard_at

    def record_confirmed_write(self, database: str) -> None:
        """End the database's gap with an acknowledged write."""
        lost_at = self.lost_at.pop(database, None)
        if lost_at is not None:
            self.metrics.record_failover_gap(anyio.current_time() - lost_at)
