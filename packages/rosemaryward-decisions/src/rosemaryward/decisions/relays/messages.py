"""Messages between a proxy and a relay, on one connection per pair.

Requests carry the whole context of their statement, so that a relay keeps nothing of a
session but an open transaction.
"""

import msgspec

from rosemaryward.decisions.gateway.outcomes import Answer, Failure
from rosemaryward.decisions.gateway.statements import (
    AdmissionParameters,
    PreparedStatement,
    Statement,
)
from rosemaryward.decisions.types import LogPosition

__all__ = [
    "Answered",
    "BeginRequest",
    "CloseRequest",
    "LeasedRequest",
    "Leaving",
    "Ping",
    "Pong",
    "Refused",
    "RelayReply",
    "RelayRequest",
    "RollBackRequest",
    "RunRequest",
    "Unanswered",
]


class RunRequest(msgspec.Struct, frozen=True, array_like=True, tag="run"):
    """Run a statement outside of a transaction.

    Parameters
    ----------
    endpoint : str
    statement : Statement
    values : dict of str to str
        Session values.
    prepared : PreparedStatement, optional
        What an `EXECUTE` statement runs.
    min_position : LogPosition, optional
        Position that the endpoint must have applied.
    admission : AdmissionParameters
    """

    endpoint: str
    statement: Statement
    values: dict[str, str]
    prepared: PreparedStatement | None
    min_position: LogPosition | None
    admission: AdmissionParameters


class BeginRequest(msgspec.Struct, frozen=True, array_like=True, tag="begin"):
    """Begin a transaction on a connection that is held until its end.

    Parameters
    ----------
    endpoint : str
    lease : int
        Names the held connection in later requests on this connection.
    read_only : bool
    values : dict of str to str
        Session values.
    min_position : LogPosition, optional
        Position that the endpoint must have applied.
    admission : AdmissionParameters
    """

    endpoint: str
    lease: int
    read_only: bool
    values: dict[str, str]
    min_position: LogPosition | None
    admission: AdmissionParameters


class LeasedRequest(msgspec.Struct, frozen=True, array_like=True, tag="leased"):
    """Run a statement inside a transaction.

    Parameters
    ----------
    lease : int
    statement : Statement
    values : dict of str to str
        Session values.
    prepared : PreparedStatement, optional
        What an `EXECUTE` statement runs.
    admission : AdmissionParameters
    """

    lease: int
    statement: Statement
    values: dict[str, str]
    prepared: PreparedStatement | None
    admission: AdmissionParameters


class RollBackRequest(msgspec.Struct, frozen=True, array_like=True, tag="roll_back"):
    """Roll a transaction back and keep its connection for others."""

    lease: int


class CloseRequest(msgspec.Struct, frozen=True, array_like=True, tag="close"):
    """Close the connection of a transaction; has no reply."""

    lease: int


class Ping(msgspec.Struct, frozen=True, array_like=True, tag="ping"):
    """Show that the relay lives while it works on requests."""


class Answered(msgspec.Struct, frozen=True, array_like=True, tag="answered"):
    """The endpoint's answer."""

    answer: Answer


class Refused(msgspec.Struct, frozen=True, array_like=True, tag="refused"):
    """The endpoint never got the statement."""

    failure: Failure
    reason: str


class Unanswered(msgspec.Struct, frozen=True, array_like=True, tag="unanswered"):
    """The endpoint got the statement and gave no whole answer."""

    reason: str


class Pong(msgspec.Struct, frozen=True, array_like=True, tag="pong"):
    """Reply to a ping."""


class Leaving(msgspec.Struct, frozen=True, array_like=True, tag="leaving"):
    """The relay is about to stop; sent without a request."""


RelayRequest = (
    RunRequest | BeginRequest | LeasedRequest | RollBackRequest | CloseRequest | Ping
)
RelayReply = Answered | Refused | Unanswered | Pong | Leaving
