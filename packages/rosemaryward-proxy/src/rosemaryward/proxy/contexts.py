"""Context managers that are entered and exited while the process runs."""

from collections.abc import Hashable
from contextlib import AbstractAsyncContextManager
from typing import Any

import anyio
from anyio.abc import TaskGroup

__all__ = ["ContextRunner"]


class ContextRunner:
    """Runs each context manager in its own task.

    A context manager that owns a task group must be entered and exited in the same
    task, so the code that decides to stop it cannot exit it directly.

    Parameters
    ----------
    task_group : TaskGroup
        Runs the tasks.

    Attributes
    ----------
    stop_events : dict of hashable to anyio.Event
        By key; setting the event exits the context manager.
    """

    __slots__ = ("stop_events", "task_group")

    def __init__(self, task_group: TaskGroup) -> None:
        self.task_group = task_group
        self.stop_events: dict[Hashable, anyio.Event] = {}

    def start(self, key: Hashable, context: AbstractAsyncContextManager[Any]) -> None:
        """Enter a context manager in a new task."""
        stop = self.stop_events[key] = anyio.Event()
        self.task_group.start_soon(self._run_until_stopped, context, stop)

    def stop(self, key: Hashable) -> None:
        """Exit the context manager started under `key`, if there is one."""
        stop = self.stop_events.pop(key, None)
        if stop is not None:
            stop.set()

    async def _run_until_stopped(
        self, context: AbstractAsyncContextManager[Any], stop: anyio.Event
    ) -> None:
        async with context:
            await stop.wait()
