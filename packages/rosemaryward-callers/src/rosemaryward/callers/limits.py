"""Limits on callers that differ from those of the platform's protocol."""

import msgspec

from rosemaryward.decisions.clients import DEFAULT_LIMITS, ClientLimits, ProcessLimits

__all__ = ["DEFAULT_CALLER_LIMITS", "mysql_limits"]

LOGIN_S = 10.0  # the default of MySQL servers
MESSAGE_S = 30.0  # 16 MiB at 5 Mbit/s
ANSWER_S = 60.0  # the default of MySQL servers


def mysql_limits(limits: ProcessLimits) -> ClientLimits:
    """Return the limits on callers with the times that MySQL clients expect."""
    return msgspec.structs.replace(
        limits.callers, startup_s=LOGIN_S, message_s=MESSAGE_S, answer_s=ANSWER_S
    )


DEFAULT_CALLER_LIMITS = mysql_limits(DEFAULT_LIMITS)
