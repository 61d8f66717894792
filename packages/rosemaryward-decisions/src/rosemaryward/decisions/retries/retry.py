"""Retry loop for operations that certainly did not run."""

from collections.abc import Awaitable, Callable
from typing import TypeVar

import anyio

from rosemaryward.decisions.errors import NotRunError
from rosemaryward.decisions.retries.backoff import Backoff
from rosemaryward.decisions.retries.budget import RetryBudget

__all__ = ["retry_not_run"]

Result = TypeVar("Result")


async def retry_not_run(
    operation: Callable[[], Awaitable[Result]],
    budget: RetryBudget,
    backoff: Backoff,
    deadline: float,
) -> Result:
    """Run an operation and retry it while it fails with `NotRunError`.

    Parameters
    ----------
    operation : callable
        Starts a new attempt at each call.
    budget : RetryBudget
        Budget shared by all operations on the same target.
    backoff : Backoff
        Delays of this operation.
    deadline : float
        Event-loop time in seconds after which no retry starts.

    Returns
    -------
    object
        Result of the first attempt that ran.

    Raises
    ------
    NotRunError
        The last refusal, if the deadline or the budget permits no other attempt.

    Notes
    -----
    The jitter is added to the `retry_after_s` of a refusal. Callers refused
    because of one event, such as a promotion, received the same time and must not
    retry all at once.
    """
    budget.record_first_attempt()
    while True:
        try:
            return await operation()
        except NotRunError as error:
            delay_s = error.retry_after_s + backoff.next_delay_s()
            if anyio.current_time() + delay_s >= deadline or not budget.try_spend():
                raise
        await anyio.sleep(delay_s)
