from random import Random

import anyio
import pytest
from anyio import current_time

from rosemaryward.decisions.errors import (
    NotRunError,
    OutcomeUnknownError,
    RosemarywardError,
)
from rosemaryward.decisions.retries import Backoff, RetryBudget, retry_not_run

pytestmark = pytest.mark.looptime


class FailingOperation:
    """Operation that raises the given errors in turn, then succeeds."""

    def __init__(self, *errors: RosemarywardError) -> None:
        self.errors = list(errors)
        self.attempted_at: list[float] = []

    async def __call__(self) -> str:
        self.attempted_at.append(current_time())
        if self.errors:
            raise self.errors.pop(0)
        return "done"


def make_backoff(seed: int = 1) -> Backoff:
    return Backoff(Random(seed), 0.05, 2.0, 1.0)


async def test_retry_waits_for_the_retry_time() -> None:
    """Guards against retries before the owner can admit them."""
    operation = FailingOperation(NotRunError("full", 0.5), NotRunError("full", 0.2))
    budget = RetryBudget(0.1, 10.0)
    started_at = current_time()
    result = await retry_not_run(operation, budget, make_backoff(), started_at + 5.0)
    assert result == "done"
    assert operation.attempted_at[1] - started_at >= 0.5
    assert operation.attempted_at[2] - operation.attempted_at[1] >= 0.2


@pytest.mark.parametrize(
    ("error", "tokens", "deadline_s", "attempts"),
    [
        (OutcomeUnknownError("lost"), 10.0, 5.0, 1),
        (NotRunError("full", 0.0), 0.0, 5.0, 1),
        (NotRunError("full", 6.0), 10.0, 5.0, 1),
        (NotRunError("full", 0.0), 10.0, 5.0, 2),
    ],
    ids=["unknown outcome", "no budget", "past the deadline", "retried"],
)
async def test_retries_only_what_did_not_run(
    error: RosemarywardError, tokens: float, deadline_s: float, attempts: int
) -> None:
    """Guards against a write that runs twice, and against futile retries."""
    operation = FailingOperation(error)
    budget = RetryBudget(0.1, tokens)
    deadline = current_time() + deadline_s
    outcome: object = None
    try:
        outcome = await retry_not_run(operation, budget, make_backoff(), deadline)
    except RosemarywardError as raised:
        outcome = raised
    assert outcome == ("done" if attempts == 2 else error)
    assert len(operation.attempted_at) == attempts
    assert current_time() <= deadline


async def test_budget_limits_retries_to_its_ratio() -> None:
    """Guards against retries that multiply the load on an endpoint that refuses all."""
    budget = RetryBudget(0.1, 5.0)
    operations = [FailingOperation(*[NotRunError("down")] * 50) for _ in range(200)]
    for operation in operations:
        with pytest.raises(NotRunError):
            await retry_not_run(operation, budget, make_backoff(), current_time() + 9)
    retries = sum(len(operation.attempted_at) - 1 for operation in operations)
    assert retries <= 5 + 200 * 0.1


async def test_callers_refused_by_one_event_spread_out() -> None:
    """Guards against a retry storm after one promotion refused all callers."""
    operations = [FailingOperation(NotRunError("no primary", 0.5)) for _ in range(100)]
    random = Random(7)
    deadline = current_time() + 5.0
    async with anyio.create_task_group() as tasks:
        for operation in operations:
            backoff = Backoff(random, 0.2, 2.0, 1.0)
            budget = RetryBudget(1.0, 1.0)
            tasks.start_soon(retry_not_run, operation, budget, backoff, deadline)
    retried_at = sorted(operation.attempted_at[1] for operation in operations)
    busiest = max(
        sum(start <= other < start + 0.02 for other in retried_at)
        for start in retried_at
    )
    assert busiest <= 30
    assert retried_at[-1] - retried_at[0] >= 0.15
