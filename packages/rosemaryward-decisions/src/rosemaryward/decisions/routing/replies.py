"""Conversion between errors of the owner path and replies to entry proxies."""

from collections.abc import Mapping

from rosemaryward.decisions.errors import (
    NotPrimaryError,
    NotRunError,
    OutcomeUnknownError,
    OverloadError,
    ReplicaBehindError,
    RosemarywardError,
    StatementError,
)
from rosemaryward.decisions.messages import (
    NotRun,
    OutcomeUnknown,
    StatementFailed,
    StatementReply,
    StatementResult,
)
from rosemaryward.decisions.types import Rank

__all__ = [
    "REASON_BEHIND",
    "REASON_NOT_OWNER",
    "REASON_NOT_PRIMARY",
    "REASON_NOT_RUN",
    "REASON_OVERLOAD",
    "raise_for_reply",
    "to_overload",
    "to_reply",
]

REASON_BEHIND = "behind"
REASON_NOT_OWNER = "not-owner"
REASON_NOT_PRIMARY = "not-primary"
REASON_NOT_RUN = "not-run"
REASON_OVERLOAD = "overload"


def to_reply(error: RosemarywardError) -> StatementReply:
    """Convert an error of the owner path to a reply.

    An error that does not guarantee "not run" becomes an unknown outcome.
    """
    match error:
        case StatementError():
            return StatementFailed(error.code, error.message)
        case NotPrimaryError():
            return NotRun(REASON_NOT_PRIMARY, error.reason, primary=error.primary)
        case ReplicaBehindError():
            return NotRun(REASON_BEHIND, error.reason)
        case NotRunError():
            return NotRun(
                REASON_NOT_RUN, error.reason, retry_after_s=error.retry_after_s
            )
    return OutcomeUnknown(str(error))


def to_overload(
    error: OverloadError, estimated_waits_s: Mapping[Rank, float]
) -> NotRun:
    """Return the refusal of an overloaded endpoint.

    Parameters
    ----------
    error : OverloadError
    estimated_waits_s : Mapping of Rank to float
        Estimated wait in seconds of a new statement by rank.
    """
    return NotRun(
        REASON_OVERLOAD,
        error.reason,
        retry_after_s=error.retry_after_s,
        estimated_waits_s={
            int(rank): wait_s for rank, wait_s in estimated_waits_s.items()
        },
    )


def raise_for_reply(reply: StatementReply) -> StatementResult:
    """Return the answer, or raise the error that the reply carries."""
    match reply:
        case StatementResult():
            return reply
        case StatementFailed(code=code, message=message):
            raise StatementError(code, message)
        case OutcomeUnknown(detail=detail):
            raise OutcomeUnknownError(detail)
        case NotRun():
            raise _to_error(reply)
    raise OutcomeUnknownError(
        f"expected a reply to a statement, got {type(reply).__name__}"
    )


def _to_error(reply: NotRun) -> NotRunError:
    if reply.reason == REASON_NOT_PRIMARY:
        return NotPrimaryError(reply.detail, reply.primary)
    if reply.reason == REASON_OVERLOAD:
        error = OverloadError(reply.detail, reply.retry_after_s)
        error.estimated_waits_s = reply.estimated_waits_s
        return error
    return NotRunError(reply.detail, reply.retry_after_s)
