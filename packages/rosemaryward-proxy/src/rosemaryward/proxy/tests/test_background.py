import anyio
import pytest

from rosemaryward.proxy import background
from rosemaryward.proxy.background import run_with_restarts


@pytest.mark.parametrize(
    "error",
    [
        pytest.param(ValueError("unexpected"), id="error"),
        pytest.param(ExceptionGroup("of a task", [KeyError("a")]), id="group"),
    ],
)
async def test_task_runs_again_after_an_unexpected_error(monkeypatch, error):
    """Guards against one unexpected error that ends the whole process."""
    monkeypatch.setattr(background, "RESTART_PAUSE_S", 0.0)
    runs = []

    async def fail_once():
        runs.append(len(runs))
        if len(runs) == 1:
            raise error

    await run_with_restarts(fail_once)
    assert runs == [0, 1]


async def test_task_can_be_cancelled():
    """Guards against a task that runs again while the process stops."""
    with anyio.move_on_after(0.01) as scope:
        await run_with_restarts(anyio.sleep_forever)
    assert scope.cancelled_caught
