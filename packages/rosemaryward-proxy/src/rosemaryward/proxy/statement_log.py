"""Log lines and metrics for individual statements."""

from collections.abc import Callable

import structlog

from rosemaryward.decisions.gateway.environment import Route
from rosemaryward.decisions.gateway.outcomes import (
    NOT_RUN,
    ConnectionState,
    Failure,
    Reply,
)
from rosemaryward.decisions.gateway.session_context import SessionContext
from rosemaryward.decisions.gateway.statements import Statement
from rosemaryward.decisions.leadership.records import Leadership
from rosemaryward.operators.bounded_logs import LogRateLimiter
from rosemaryward.operators.metrics import ProxyMetrics

__all__ = ["StatementLog"]

REFUSALS = NOT_RUN | {Failure.ROLLED_BACK, Failure.UNKNOWN_KEY}
UNKNOWN_OUTCOMES = frozenset({Failure.IN_DOUBT, Failure.TIMED_OUT})
SUCCESS_LINES_PER_S = 5.0
SUCCESS_BURST_LINES = 20.0

log = structlog.get_logger(__name__)


class StatementLog:
    """Counts every statement and writes a rate-limited log line for it.

    Statements served in time have a smaller rate limit of their own, so that they
    do not displace the lines about failures.

    Parameters
    ----------
    metrics : ProxyMetrics
        Metrics registry of this process.
    leadership : Leadership
        Group records, logged with each statement.
    configuration_version : callable
        Returns the version of the configuration in force.
    """

    def __init__(
        self,
        metrics: ProxyMetrics,
        leadership: Leadership,
        configuration_version: Callable[[], int],
    ) -> None:
        self.metrics = metrics
        self.leadership = leadership
        self.configuration_version = configuration_version
        self.failure_budget = LogRateLimiter()
        self.success_budget = LogRateLimiter(SUCCESS_LINES_PER_S, SUCCESS_BURST_LINES)

    def attempt_failed(
        self, statement: Statement, route: Route, endpoint: str, reason: str
    ) -> None:
        """Log that an attempt to run a statement at an endpoint failed."""
        left_out = self.failure_budget.take()
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
        session: SessionContext,
        reply: Reply,
        took_s: float,
    ) -> None:
        """Record and log a reply with the state that determined the routing."""
        outcome = self._outcome(reply.failure)
        self.metrics.record_outcome(route.database, route.rank, outcome)
        self.metrics.record_statement(route.database, route.rank, 0.0, took_s)
        in_time = reply.failure is None and took_s <= route.target_latency_s
        if in_time and not endpoint:
            return  # answered by the proxy itself
        left_out = (self.success_budget if in_time else self.failure_budget).take()
        if left_out is None:
            return
        record = self.leadership.records.get(route.group)
        target = session.target
        min_position = None if target is None else target.min_position
        owner = (
            {"tenant": session.tenant, "key": session.caller} if session.tenant else {}
        )
        log.info(
            "statement answered",
            request=statement.request_id,
            kind=statement.kind.name,
            database=route.database,
            group=route.group,
            endpoint=endpoint,
            since=min_position and min_position.to_token(),
            epoch=record and record.epoch,
            serving=record and record.serving,
            confirmed_for_s=round(self.leadership.confirmation_left_s(), 2),
            configuration=self.configuration_version(),
            outcome=outcome,
            failure=reply.failure and reply.failure.name,
            state=reply.state.name,
            reason=reply.reason,
            took_s=round(took_s, 4),
            left_out=left_out,
            **owner,
        )

    def closed_by_proxy(
        self, database: str, state: ConnectionState, reason: str
    ) -> None:
        """Log that a caller did not disconnect when its session ended."""
        left_out = self.failure_budget.take()
        if left_out is None:
            return
        log.info(
            "caller did not disconnect",
            database=database,
            state=state.name,
            reason=reason,
            left_out=left_out,
        )

    def _outcome(self, failure: Failure | None) -> str:
        if failure is None:
            return "done"
        if failure in REFUSALS:
            return "not_run"
        return "unknown" if failure in UNKNOWN_OUTCOMES else "failed"
