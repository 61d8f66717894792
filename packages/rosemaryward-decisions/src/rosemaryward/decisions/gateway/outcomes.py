"""Outcomes of statements, as endpoints report them and as callers are told."""

from enum import Enum, auto

import msgspec

from rosemaryward.decisions.errors import EndpointError
from rosemaryward.decisions.types import LogPosition

__all__ = [
    "NOT_RUN",
    "Answer",
    "ConnectError",
    "ConnectionState",
    "Failure",
    "RelayLostError",
    "RelayUnavailableError",
    "Reply",
    "UnansweredError",
]


class Failure(Enum):
    """Why a statement has no result."""

    BUSY = auto()
    BEHIND = auto()
    NOT_PRIMARY = auto()
    WRONG_ENDPOINT = auto()
    CONNECTION_LIMIT = auto()
    UNKNOWN_STATEMENT = auto()
    ROLLED_BACK = auto()
    FAILED = auto()
    TIMED_OUT = auto()
    IN_DOUBT = auto()
    UNKNOWN_DATABASE = auto()
    MALFORMED = auto()
    TOO_LARGE = auto()


NOT_RUN = frozenset(
    {
        Failure.BUSY,
        Failure.BEHIND,
        Failure.NOT_PRIMARY,
        Failure.WRONG_ENDPOINT,
        Failure.CONNECTION_LIMIT,
        Failure.UNKNOWN_STATEMENT,
    }
)
"""Failures with which an endpoint says that the statement did not run."""


class ConnectionState(Enum):
    """State of a connection between two statements."""

    IDLE = auto()
    TRANSACTION = auto()
    FAILED_TRANSACTION = auto()


class Answer(msgspec.Struct, frozen=True, array_like=True):
    """Complete answer of an endpoint.

    Parameters
    ----------
    rows : list of str
    signature : str
        The endpoint's proof that it ran the statement, empty after a failure.
    state : ConnectionState
    position : LogPosition, optional
        Newest entry in the endpoint's log.
    failure : Failure, optional
    reason : str
    samples : list of tuple of float and LogPosition
        Positions of the primary's log that a relay has seen, each with the time by
        which it is complete, in seconds since the statement was sent to the relay.
    """

    rows: list[str]
    signature: str
    state: ConnectionState
    position: LogPosition | None = None
    failure: Failure | None = None
    reason: str = ""
    samples: list[tuple[float, LogPosition]] = []


class Reply(msgspec.Struct, frozen=True):
    """What a caller is told.

    Parameters
    ----------
    state : ConnectionState
        State of the session after the statement.
    rows : list of str
    signature : str
        Signature of the endpoint, empty for a statement answered by the proxy.
    failure : Failure, optional
    reason : str
    """

    state: ConnectionState
    rows: list[str] = []
    signature: str = ""
    failure: Failure | None = None
    reason: str = ""


class ConnectError(EndpointError):
    """No connection was made, so nothing was sent.

    Parameters
    ----------
    failure : Failure
    reason : str
    """

    def __init__(self, failure: Failure, reason: str) -> None:
        super().__init__(reason)
        self.failure = failure
        self.reason = reason


class UnansweredError(EndpointError):
    """A statement was sent and no complete answer came."""


class RelayUnavailableError(ConnectError):
    """The relay cannot be reached, which says nothing of the endpoint."""


class RelayLostError(UnansweredError):
    """The relay was lost with the statement, which says nothing of the endpoint."""
