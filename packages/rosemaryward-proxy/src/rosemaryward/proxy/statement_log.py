"""Log lines and metrics of single statements."""

import structlog

from rosemaryward.decisions.gateway.environment import Route
from rosemaryward.decisions.gateway.outcomes import NOT_RUN, Failure, Reply
from rosemaryward.decisions.gateway.statements import Statement
from rosemaryward.operators.bounded_logs import RequestBudget
from rosemaryward.operators.metrics import ProxyMetrics

__all__ = ["StatementLog"]

UNKNOWN = frozenset({Failure.IN_DOUBT, Failure.TIMED_OUT})

log = structlog.get_logger(__name__)


class StatementLog:
    """Counts every statement and logs decisions within a budget.

    Parameters
    ----------
    metrics : ProxyMetrics
    """

    def __init__(self, metrics: ProxyMetrics) -> None:
        self.metrics = metrics
        self.budget = RequestBudget()

    def attempt_failed(
        self, statement: Statement, route: Route, endpoint: str, reason: str
    ) -> None:
        """Note that an endpoint did not serve a statement."""
        left_out = self.budget.take()
        if left_out is None:
            return
        log.info(
            "attempt failed",
            request=statement.request_id,
            database=route.database,
            endpoint=endpoint,
            reason=reason,
            left_out=left_out,
        )

    def answered(
        self,
        statement: Statement,
        route: Route,
        endpoint: str,
        reply: Reply,
        took_s: float,
    ) -> None:
        """Note what a caller was told."""
        outcome = self._outcome(reply.failure)
        self.metrics.record_outcome(route.database, route.rank, outcome)
        self.metrics.record_statement(route.database, route.rank, 0.0, took_s)
        if reply.failure is None and took_s <= route.target_latency_s:
            return
        left_out = self.budget.take()
        if left_out is None:
            return
        log.info(
            "statement answered",
            request=statement.request_id,
            kind=statement.kind.name,
            database=route.database,
            group=route.group,
            endpoint=endpoint,
            outcome=outcome,
            failure=reply.failure and reply.failure.name,
            reason=reply.reason,
            took_s=round(took_s, 4),
            left_out=left_out,
        )

    def _outcome(self, failure: Failure | None) -> str:
        if failure is None:
            return "done"
        if failure in NOT_RUN or failure is Failure.ROLLED_BACK:
            return "not_run"
        return "unknown" if failure in UNKNOWN else "failed"
