"""Background tasks of a proxy, which continue after an unexpected error."""

from collections.abc import Awaitable, Callable

import anyio
import structlog

__all__ = ["run_with_restarts"]

RESTART_PAUSE_S = 1.0

log = structlog.get_logger(__name__)


async def run_with_restarts(task: Callable[[], Awaitable[None]]) -> None:
    """Run a task, and run it again after an unexpected error, until it returns.

    Parameters
    ----------
    task : callable
        Task that keeps its state outside of the call, so that it can run again.
    """
    name = getattr(task, "__qualname__", repr(task))
    while True:
        try:
            await task()
        except Exception as error:  # one failed task must not end the process
            log.error("background task failed", task=name, error=repr(error))
        else:
            return
        await anyio.sleep(RESTART_PAUSE_S)
