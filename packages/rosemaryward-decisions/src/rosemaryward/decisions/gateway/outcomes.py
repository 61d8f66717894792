"""Outcomes of statements: answers of endpoints and replies to callers."""

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
    "RelayRefusedError",
    "RelayUnavailableError",
    "Reply",
    "UNRUNNABLE",
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
    UNKNOWN_KEY = auto()


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
"""Failures by which an endpoint reports that the statement did not run."""


UNRUNNABLE = frozenset({Failure.MALFORMED, Failure.TOO_LARGE})
"""Failures for which no other endpoint would run the statement either."""


class ConnectionState(Enum):
    """State of a connection between two statements."""

    IDLE = auto()
    TRANSACTION = auto()
    FAILED_TRANSACTION = auto()


class Answer(msgspec.Struct, frozen=True, array_like=True):
    """Complete answer of an endpoint to one statement.

    Parameters
    ----------
    rows : list of str
        Result rows.
    signature : str
        The endpoint's proof that it ran the statement, empty after a failure.
    state : ConnectionState
        State of the connection after the statement.
    position : LogPosition, optional
        Newest entry in the endpoint's log.
    failure : Failure, optional
        Why there is no result; None after success.
    reason : str
        Details of the failure.
    samples : list of tuple of float and LogPosition
        Positions of the primary's log that a relay has seen. Each includes every
        commit that was acknowledged before the given time, in seconds since the
        statement was sent to the relay.
    load : float
        Load of the endpoint's slots at the relay, as of `AdmissionQueue.mean_load`.
    """

    rows: list[str]
    signature: str
    state: ConnectionState
    position: LogPosition | None = None
    failure: Failure | None = None
    reason: str = ""
    samples: list[tuple[float, LogPosition]] = []
    load: float = 0.0


class Reply(msgspec.Struct, frozen=True):
    """Reply to a caller's statement.

    Parameters
    ----------
    state : ConnectionState
        State of the session after the statement.
    rows : list of str
        Result rows.
    signature : str
        Signature of the endpoint, empty if the proxy replied alone.
    failure : Failure, optional
        Why there is no result; None after success.
    reason : str
        Details of the failure.
    """

    state: ConnectionState
    rows: list[str] = []
    signature: str = ""
    failure: Failure | None = None
    reason: str = ""


class ConnectError(EndpointError):
    """The statement was not sent to the endpoint, so it certainly did not run.

    Parameters
    ----------
    failure : Failure
        Kind of failure.
    reason : str
        Details of the failure.
    """

    def __init__(self, failure: Failure, reason: str) -> None:
        super().__init__(reason)
        self.failure = failure
        self.reason = reason


class UnansweredError(EndpointError):
    """A statement was sent and no complete answer arrived."""


class RelayUnavailableError(ConnectError):
    """The relay cannot be reached; the endpoint itself may be available."""


class RelayRefusedError(ConnectError):
    """The relay refused the statement, which then did not run.

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

    def __init__(
        self, failure: Failure, reason: str, load: float = 0.0, answers: bool = True
    ) -> None:
        super().__init__(failure, reason)
        self.load = load
        self.answers = answers
