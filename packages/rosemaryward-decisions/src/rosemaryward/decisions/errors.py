"""Errors of the proxy.

`NotRunError` and `OutcomeUnknownError` are the two ways in which a statement
can fail without an answer of the endpoint. They differ in what a caller may do
next: a statement that did not run is safe to repeat.
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
    """Root of all errors that the project raises."""


class NotRunError(RosemarywardError):
    """The statement certainly did not run, so a repeat is safe.

    Parameters
    ----------
    reason : str
    retry_after_s : float
        Time after which a repeat has a chance, 0 if unknown.
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
    primary : str
        Instance believed to be the primary, empty if unknown.
    """

    def __init__(self, reason: str, primary: str = "") -> None:
        super().__init__(reason)
        self.primary = primary


class ReplicaBehindError(NotRunError):
    """The replica has not applied the position that the read requires.

    Parameters
    ----------
    reason : str
    applied : LogPosition
    """

    def __init__(self, reason: str, applied: LogPosition) -> None:
        super().__init__(reason)
        self.applied = applied


class OverloadError(NotRunError):
    """Admission control refused the statement."""

    estimated_waits_s: Mapping[int, float] = MappingProxyType({})
    """Estimated wait in seconds by value of `Rank`, if an owner told it."""


class OutcomeUnknownError(RosemarywardError):
    """The statement may have run; only an idempotent repeat is safe."""


class StatementError(RosemarywardError):
    """The endpoint executed the statement and reported an SQL error.

    Parameters
    ----------
    code : int
        MySQL error number.
    message : str
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
        Place of the field in the document, such as ``databases.orders.slots``.
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
    """The platform's store did not answer or refused a call."""


class ConflictError(StoreError):
    """A compare-and-swap found a newer version than the caller expected."""


class PeerError(RosemarywardError):
    """Another proxy did not answer."""


class EndpointError(RosemarywardError):
    """An endpoint could not be reached or closed the connection."""
