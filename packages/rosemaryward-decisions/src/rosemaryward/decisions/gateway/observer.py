"""Interface through which the gateway reports the outcomes of statements."""

from typing import Protocol

from rosemaryward.decisions.gateway.environment import Route
from rosemaryward.decisions.gateway.outcomes import ConnectionState, Reply
from rosemaryward.decisions.gateway.session_context import SessionContext
from rosemaryward.decisions.gateway.statements import Statement

__all__ = ["StatementObserver"]


class StatementObserver(Protocol):
    """Receives the outcomes of statements; its methods must not block."""

    def attempt_failed(
        self, statement: Statement, route: Route, endpoint: str, reason: str
    ) -> None:
        """Record that an attempt to run a statement at an endpoint failed."""

    def answered(
        self,
        statement: Statement,
        route: Route,
        endpoint: str,
        session: SessionContext,
        reply: Reply,
        took_s: float,
    ) -> None:
        """Record the reply to a caller's statement.

        Parameters
        ----------
        statement : Statement
            Statement of the caller.
        route : Route
            Route that applied to it.
        endpoint : str
            Endpoint that ran it, empty if the proxy replied alone.
        session : SessionContext
            Session of the caller, with the last choice of an endpoint and the tenant.
        reply : Reply
            Reply that was sent.
        took_s : float
            Time from receiving the statement to sending the reply, in seconds.
        """

    def closed_by_proxy(
        self, database: str, state: ConnectionState, reason: str
    ) -> None:
        """Record that a caller did not disconnect when its session ended.

        Parameters
        ----------
        database : str
            Database of the session.
        state : ConnectionState
            State of the session.
        reason : str
            Why the session ended.
        """
