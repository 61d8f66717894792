"""Errors of the proxy.

`NotRunError` and `OutcomeUnknownError` are raised when a statement fails without an
answer from the endpoint. They differ in whether a retry is safe: a statement that did
not run can be retried.
"""

from collections.abc import Mapping
from types import MappingProxyType

from rosemaryward.decisions.types import LogPosition

__all__ = [
    "RosemarywardError",
    "NotRunError",
    "NotPrimaryError",
    "ReplicaBehindError",
    "OverloadError",
    "OutcomeUnknownError",
    "StatementError",
    "DocumentError",
    "SettingsError",
    "StoreError",
    "ConflictError",
    "PeerError",
    "EndpointError",
]


class RosemarywardError(Exception):
    """Base class of all errors that the project raises."""


class NotRunError(RosemarywardError):
    """The statement certainly did not run, so a retry is safe.

    Parameters
    ----------
    reason : str
        Why the statement did not run.
    retry_after_s : float
        Time in seconds after which a retry may succeed, 0 if unknown.
    """

    def __init__(self, reason: str, retry_after_s: float = 0.0) -> None:
        super().__init__(reason)
        self.reason = reason
        self.retry_after_s = retry_after_s


class NotPrimaryError(NotRunError):
    """The endpoint does not accept writes in the current term.

    Parameters
    ----------
    reason : str
        Why the endpoint refused the statement.
    primary : str
        Name of the instance known as the primary, empty if unknown.
    """

    def __init__(self, reason: str, primary: str = "") -> None:
        super().__init__(reason)
        self.primary = primary


class ReplicaBehindError(NotRunError):
    """The replica has not applied the position that the read requires.

    Parameters
    ----------
    reason : str
        Applied and required position.
    applied : LogPosition
        Position that the replica has applied.
    """

    def __init__(self, reason: str, applied: LogPosition) -> None:
        super().__init__(reason)
        self.applied = applied


class OverloadError(NotRunError):
    """Admission control refused the statement."""

    estimated_waits_s: Mapping[int, float] = MappingProxyType({})
    """Estimated wait in seconds by value of `Rank`, empty if not reported."""


class OutcomeUnknownError(RosemarywardError):
    """The statement may have run; only an idempotent retry is safe."""


class StatementError(RosemarywardError):
    """The endpoint executed the statement and reported an SQL error.

    Parameters
    ----------
    code : int
        MySQL error number.
    message : str
        Message of the endpoint.
    """

    def __init__(self, code: int, message: str) -> None:
        super().__init__(message)
        self.code = code
        self.message = message


class DocumentError(RosemarywardError):
    """The configuration document is not valid.

    Parameters
    ----------
    path : str
        Path of the field in the document, such as ``databases.orders.slots``.
    problem : str
        What was expected and what was found.
    """

    def __init__(self, path: str, problem: str) -> None:
        super().__init__(f"{path}: {problem}")
        self.path = path
        self.problem = problem


class SettingsError(RosemarywardError):
    """A flag, an environment variable or an argument is out of range."""


class StoreError(RosemarywardError):
    """The platform's store did not answer in time or refused a call."""


class ConflictError(StoreError):
    """A compare-and-swap found another version than the caller expected."""


class PeerError(RosemarywardError):
    """Another proxy did not answer."""


class EndpointError(RosemarywardError):
    """An endpoint was not reachable or closed the connection."""
