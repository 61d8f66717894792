"""Readers that failed recently, which their followers do not ask meanwhile."""

from collections.abc import Callable

import structlog

from rosemaryward.decisions.clock import boot_time_s

__all__ = ["ReaderFailures"]

AVOIDANCE_S = 10.0  # each new try may cost a follower the check of one watch

log = structlog.get_logger(__name__)


class ReaderFailures:
    """Readers that gave no reply, or left this proxy behind the store.

    Parameters
    ----------
    clock : callable, optional
        Boot time in seconds.

    Attributes
    ----------
    avoided_until : dict of str to float
        Boot time until which each failed reader is not asked.
    listeners : list of callable
        Called with the name of each reader that fails.
    """

    def __init__(self, clock: Callable[[], float] = boot_time_s) -> None:
        self.clock = clock
        self.avoided_until: dict[str, float] = {}
        self.listeners: list[Callable[[str], None]] = []

    def record(self, name: str, reason: str) -> None:
        """Record that a reader failed."""
        log.info("reader avoided", reader=name, reason=reason, seconds=AVOIDANCE_S)
        self.avoided_until[name] = self.clock() + AVOIDANCE_S
        for notify in self.listeners:
            notify(name)

    def is_avoided(self, name: str) -> bool:
        """Return whether a reader failed recently."""
        until = self.avoided_until.get(name)
        if until is None:
            return False
        if self.clock() < until:
            return True
        del self.avoided_until[name]
        return False
