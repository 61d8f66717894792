"""Replies of an owner and what they stand for at the entry."""

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
    """Return the reply that stands for an error of the owner path.

    Every error that is not known to mean "not run" becomes an unknown outcome.
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


def to_overload(error: OverloadError, waits: Mapping[Rank, float]) -> NotRun:
    """Return the refusal of an overloaded endpoint with its waits by rank."""
    return NotRun(
        REASON_OVERLOAD,
        error.reason,
        retry_after_s=error.retry_after_s,
        estimated_waits_s={int(rank): wait_s for rank, wait_s in waits.items()},
    )


def raise_for_reply(reply: StatementReply) -> StatementResult:
    """Return an answer, or raise the error that the reply stands for."""
    match reply:
        case StatementResult():
            return reply
        case StatementFailed(code=code, message=message):
            raise StatementError(code, message)
        case OutcomeUnknown(detail=detail):
            raise OutcomeUnknownError(detail)
        case NotRun():
            raise _to_error(reply)
    raise OutcomeUnknownError(f"unexpected reply {type(reply).__name__}")


def _to_error(reply: NotRun) -> NotRunError:
    if reply.reason == REASON_NOT_PRIMARY:
        return NotPrimaryError(reply.detail, reply.primary)
    if reply.reason == REASON_OVERLOAD:
        error = OverloadError(reply.detail, reply.retry_after_s)
        error.estimated_waits_s = reply.estimated_waits_s
        return error
    return NotRunError(reply.detail, reply.retry_after_s)
