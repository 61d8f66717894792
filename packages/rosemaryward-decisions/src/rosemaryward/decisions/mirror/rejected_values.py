"""Values of the store that cannot be used: counted, and logged within a rate limit."""

from collections import OrderedDict
from collections.abc import Callable

import structlog

from rosemaryward.decisions.clock import boot_time_s

__all__ = ["RejectedValues"]

LOG_LINES_PER_S = 1.0
LOG_BURST_LINES = 20.0
MAX_LOGGED_KEYS = 256  # a value that is read again is not logged again
MAX_LOGGED_TEXT = 200

log = structlog.get_logger(__name__)


class RejectedValues:
    """Counts the values that cannot be used, by the prefix of their keys.

    Parameters
    ----------
    clock : callable, optional
        Boot time in seconds.

    Attributes
    ----------
    counts : dict of str to int
        Number of rejected values so far, by prefix; each revision of a key counts once.
    known : OrderedDict of str to int
        Revision of the newest rejected value of each of the last keys.
    suppressed : int
        Log lines left out since the last one.
    """

    __slots__ = ("clock", "counts", "known", "lines", "suppressed", "updated_at")

    def __init__(self, clock: Callable[[], float] = boot_time_s) -> None:
        self.clock = clock
        self.counts: dict[str, int] = {}
        self.known: OrderedDict[str, int] = OrderedDict()
        self.suppressed = 0
        self.lines = LOG_BURST_LINES
        self.updated_at = clock()

    def record(
        self, prefix: str, key: str, revision: int, error: BaseException
    ) -> None:
        """Record a value that cannot be used.

        Parameters
        ----------
        prefix : str
            Prefix of the key, one of a fixed number.
        key : str
            Key of the value, as far as it is known.
        revision : int
            Store revision of the value, 0 if it is not known.
        error : BaseException
            Why the value cannot be used.
        """
        if self.known.get(key) == revision:
            return
        self.known[key] = revision
        self.known.move_to_end(key)
        if len(self.known) > MAX_LOGGED_KEYS:
            self.known.popitem(last=False)
        self.counts[prefix] = self.counts.get(prefix, 0) + 1
        if not self._take_line():
            self.suppressed += 1
            return
        log.warning(
            "store value cannot be used",
            key=key[:MAX_LOGGED_TEXT],
            revision=revision,
            error=repr(error)[:MAX_LOGGED_TEXT],
            suppressed=self.suppressed,
        )
        self.suppressed = 0

    def _take_line(self) -> bool:
        """Return whether a further log line is within the limit, and count it."""
        now = self.clock()
        earned = (now - self.updated_at) * LOG_LINES_PER_S
        self.lines = min(self.lines + earned, LOG_BURST_LINES)
        self.updated_at = now
        if self.lines < 1.0:
            return False
        self.lines -= 1.0
        return True
