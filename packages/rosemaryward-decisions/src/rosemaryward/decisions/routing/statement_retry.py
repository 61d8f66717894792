"""Retry policy of the entry path."""

from collections.abc import Awaitable, Callable

import anyio

from rosemaryward.decisions.errors import (
    NotPrimaryError,
    NotRunError,
    OutcomeUnknownError,
    OverloadError,
)
from rosemaryward.decisions.retries import Backoff, RetryBudget

__all__ = ["StatementRetry"]

MAX_PRIMARY_WAIT_S = 0.5
"""Wait for a change of the primary before a write is retried."""


class StatementRetry:
    """Decides if and when a failed statement is retried.

    Parameters
    ----------
    budget : RetryBudget
        Shared by all statements of a database.
    backoff : Backoff
        Delays of this statement.
    deadline : float
        Event-loop time in seconds after which no retry starts.
    primary_changed : callable
        Waits for the next change of the database's primary.
    """

    __slots__ = ("backoff", "budget", "deadline", "primary_changed", "unknown_error")

    def __init__(
        self,
        budget: RetryBudget,
        backoff: Backoff,
        deadline: float,
        primary_changed: Callable[[], Awaitable[None]],
    ) -> None:
        self.budget = budget
        self.backoff = backoff
        self.deadline = deadline
        self.primary_changed = primary_changed
        self.unknown_error: OutcomeUnknownError | None = None

    async def wait(self, error: Exception) -> None:
        """Wait before a retry, or raise an error if none is permitted.

        `OverloadError` is raised at once: a retry would add to the load, and the
        caller can decide what to do instead. If any earlier attempt may have run,
        its `OutcomeUnknownError` is raised in place of `error`.
        """
        if isinstance(error, OutcomeUnknownError):
            self.unknown_error = error
        if isinstance(error, OverloadError):
            raise self.unknown_error or error
        delay_s = self.backoff.next_delay_s()
        if isinstance(error, NotRunError):
            delay_s += error.retry_after_s
        left_s = self.deadline - anyio.current_time()
        if delay_s >= left_s or not self.budget.try_spend():
            # An earlier attempt may have run, so a later refusal is not the outcome.
            raise self.unknown_error or error
        if isinstance(error, NotPrimaryError):
            # Polling during a promotion would use up the budget of all statements.
            with anyio.move_on_after(min(MAX_PRIMARY_WAIT_S, left_s - delay_s)):
                await self.primary_changed()
        await anyio.sleep(delay_s)
