"""Failures of single connections, which do not end the server that accepted them."""

from collections.abc import Callable, Coroutine
from typing import Any, TypeVarTuple

import structlog

from rosemaryward.decisions.clock import boot_time_s

__all__ = ["FailureLog", "contain_failures"]

LOG_INTERVAL_S = 1.0

Arguments = TypeVarTuple("Arguments")

log = structlog.get_logger(__name__)


class FailureLog:
    """Logs failed connections, at most one line a second.

    Attributes
    ----------
    suppressed : int
        Failures since the last line.
    """

    __slots__ = ("logged_at", "suppressed")

    def __init__(self) -> None:
        self.logged_at = float("-inf")
        self.suppressed = 0

    def record(self, event: str, error: BaseException) -> None:
        """Log a failure unless a line was written within the last second."""
        now = boot_time_s()
        if now - self.logged_at < LOG_INTERVAL_S:
            self.suppressed += 1
            return
        log.info(event, error=repr(error), suppressed=self.suppressed)
        self.logged_at = now
        self.suppressed = 0


def contain_failures(
    handler: Callable[[*Arguments], Coroutine[Any, Any, None]],
) -> Callable[[*Arguments], Coroutine[Any, Any, None]]:
    """Return a handler of connections that raises no errors.

    The event loop raises errors of many types for a connection that was reset, also at
    its first use. One of them would end all tasks of the process.
    """
    failures = FailureLog()

    async def handle(*arguments: *Arguments) -> None:
        try:
            await handler(*arguments)
        except Exception as error:
            failures.record("connection failed unexpectedly", error)

    return handle
