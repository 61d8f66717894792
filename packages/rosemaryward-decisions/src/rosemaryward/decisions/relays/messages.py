"""Messages between a proxy and a relay, over one connection per pair.

A request carries the whole session context of its statement, so the only session
state that a relay keeps is an open transaction.
"""

import msgspec

from rosemaryward.decisions.gateway.outcomes import Answer, Failure
from rosemaryward.decisions.gateway.statements import (
    AdmissionParameters,
    PreparedStatement,
    Statement,
)
from rosemaryward.decisions.quota.messages import (
    DonationReply,
    LendReply,
    LendRequest,
    ShareDonation,
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
        Id of the endpoint.
    statement : Statement
        Statement to run.
    values : dict of str to str
        Session values.
    prepared : PreparedStatement, optional
        Prepared statement that an `EXECUTE` statement runs.
    min_position : LogPosition, optional
        Position that the endpoint must have applied.
    admission : AdmissionParameters
        Order in the relay's admission queue.
    """

    endpoint: str
    statement: Statement
    values: dict[str, str]
    prepared: PreparedStatement | None
    min_position: LogPosition | None
    admission: AdmissionParameters


class BeginRequest(msgspec.Struct, frozen=True, array_like=True, tag="begin"):
    """Begin a transaction on a connection that is leased until its end.

    Parameters
    ----------
    endpoint : str
        Id of the endpoint.
    lease : int
        Number that identifies the leased connection in later requests.
    read_only : bool
        Whether the transaction only reads.
    values : dict of str to str
        Session values.
    min_position : LogPosition, optional
        Position that the endpoint must have applied.
    admission : AdmissionParameters
        Time limit and epoch of the request.
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
        Number of the transaction's lease.
    statement : Statement
        Statement to run.
    values : dict of str to str
        Session values.
    prepared : PreparedStatement, optional
        Prepared statement that an `EXECUTE` statement runs.
    admission : AdmissionParameters
        Order in the relay's admission queue.
    """

    lease: int
    statement: Statement
    values: dict[str, str]
    prepared: PreparedStatement | None
    admission: AdmissionParameters


class RollBackRequest(msgspec.Struct, frozen=True, array_like=True, tag="roll_back"):
    """Roll back a transaction and keep its connection for reuse.

    Parameters
    ----------
    lease : int
        Number of the transaction's lease.
    """

    lease: int


class CloseRequest(msgspec.Struct, frozen=True, array_like=True, tag="close"):
    """Close the connection of a transaction; has no reply.

    Parameters
    ----------
    lease : int
        Number of the transaction's lease.
    """

    lease: int


class Ping(msgspec.Struct, frozen=True, array_like=True, tag="ping"):
    """Check that the relay is alive while it works on requests."""


class Answered(msgspec.Struct, frozen=True, array_like=True, tag="answered"):
    """The endpoint answered.

    Parameters
    ----------
    answer : Answer
        Answer of the endpoint.
    """

    answer: Answer


class Refused(msgspec.Struct, frozen=True, array_like=True, tag="refused"):
    """The statement was not sent to the endpoint.

    Parameters
    ----------
    failure : Failure
        Kind of failure.
    reason : str
        Details of the failure.
    load : float
        Load of the endpoint's slots, 0 if it is not the reason.
    answers : bool
        Whether the endpoint answers the relay.
    """

    failure: Failure
    reason: str
    load: float = 0.0
    answers: bool = True


class Unanswered(msgspec.Struct, frozen=True, array_like=True, tag="unanswered"):
    """The statement was sent to the endpoint, which gave no complete answer.

    Parameters
    ----------
    reason : str
        Details of the failure.
    """

    reason: str


class Pong(msgspec.Struct, frozen=True, array_like=True, tag="pong"):
    """Reply to a ping."""


class Leaving(msgspec.Struct, frozen=True, array_like=True, tag="leaving"):
    """Notice that the relay is about to stop; not a reply to a request."""


RelayRequest = (
    RunRequest
    | BeginRequest
    | LeasedRequest
    | RollBackRequest
    | CloseRequest
    | Ping
    | ShareDonation
    | LendRequest
)
RelayReply = (
    Answered | Refused | Unanswered | Pong | Leaving | DonationReply | LendReply
)
