"""Interface through which the gateway reports what became of statements."""

from typing import Protocol

from rosemaryward.decisions.gateway.environment import Route
from rosemaryward.decisions.gateway.outcomes import Reply
from rosemaryward.decisions.gateway.statements import Statement
from rosemaryward.decisions.gateway.targets import Target

__all__ = ["StatementObserver"]


class StatementObserver(Protocol):
    """Counts and logs outcomes; never blocks."""

    def attempt_failed(
        self, statement: Statement, route: Route, endpoint: str, reason: str
    ) -> None:
        """Note that an endpoint did not serve a statement."""

    def answered(
        self,
        statement: Statement,
        route: Route,
        endpoint: str,
        target: Target | None,
        reply: Reply,
        took_s: float,
    ) -> None:
        """Note what a caller was told."""
