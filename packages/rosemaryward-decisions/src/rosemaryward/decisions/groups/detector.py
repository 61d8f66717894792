"""Failure detector that adapts to the latency and the loss rate of a link."""

from collections import deque
from collections.abc import Collection
from itertools import islice
from math import ceil, log

from rosemaryward.decisions.groups.settings import GroupSettings

__all__ = ["FailureDetector"]

# The loss rate is the higher one of two windows. The short window detects a link that
# has just become lossy, the long one a link that loses an answer only occasionally.
LOSS_WINDOW_REQUESTS = 64
RECENT_WINDOW_REQUESTS = 16
# Accepted probability that lost answers alone cause a suspicion.
FALSE_SUSPICION_PROBABILITY = 1e-4
# A timer that is late by more than this means that the event loop was stalled.
EVENT_LOOP_STALL_S = 0.15


class FailureDetector:
    """Decides from answered and failed requests whether an instance is suspected.

    The instance is suspected once it has not answered for
    `GroupSettings.suspect_after_s` and more consecutive requests have failed than
    loss on the link explains. The last of these requests has a longer timeout, so
    that an instance whose latency has just risen can still answer it.

    Parameters
    ----------
    settings : GroupSettings

    Attributes
    ----------
    failures : int
        Consecutive failed requests since the last answer.
    suspected_runs : int
        Runs of failed requests that led to a suspicion and ended with an answer.
    round_trip_s : float
        Smoothed round-trip time in seconds, 0 before the first measurement.
    variation_s : float
        Smoothed deviation of the round-trip time in seconds.
    """

    __slots__ = (
        "_answered_at",
        "_history",
        "_suspected_at",
        "failures",
        "round_trip_s",
        "settings",
        "suspected_runs",
        "variation_s",
    )

    def __init__(self, settings: GroupSettings) -> None:
        self.settings = settings
        self.failures = 0
        self.suspected_runs = 0
        self.round_trip_s = 0.0
        self.variation_s = 0.0
        self._history: deque[bool] = deque(maxlen=LOSS_WINDOW_REQUESTS)
        self._answered_at: float | None = None
        self._suspected_at: float | None = None

    def record_answer(self, now: float, round_trip_s: float | None) -> None:
        """Record an answer.

        Parameters
        ----------
        now : float
            Event-loop time of the answer in seconds.
        round_trip_s : float or None
            Round-trip time in seconds, None if the instance held the request.
        """
        if self._suspected_at is None:
            self._history.extend([False] * min(self.failures, LOSS_WINDOW_REQUESTS))
        else:
            self.suspected_runs += 1
        self._history.append(True)
        self.reset(now)
        if round_trip_s is not None:
            self._update_round_trip(round_trip_s)

    def record_failure(self, sent_at: float, due_at: float, now: float) -> None:
        """Record a failed request.

        Parameters
        ----------
        sent_at, due_at, now : float
            Event-loop times in seconds of the request, of its timeout and of the
            failure. A failure noticed long after the timeout does not count: this
            process was paused, and the answer may have arrived but not been read.
        """
        if now - due_at > EVENT_LOOP_STALL_S:
            self.reset(now)
            return
        if self._answered_at is None:
            self._answered_at = sent_at
        self.failures += 1

    def reset(self, now: float) -> None:
        """Clear the failures and count the time without answers from `now`."""
        self.failures = 0
        self._answered_at = now
        self._suspected_at = None

    def required_failures(self) -> int:
        """Return the number of consecutive failures that loss does not explain."""
        recent = list(islice(reversed(self._history), RECENT_WINDOW_REQUESTS))
        loss = max(_estimate_loss(self._history, 0.5), _estimate_loss(recent, 0.1))
        required = ceil(log(FALSE_SUSPICION_PROBABILITY) / log(min(loss, 0.5)))
        settings = self.settings
        least = settings.min_failures if all(recent) else settings.min_lossy_failures
        return min(max(required, least), settings.max_failures)

    def expected_answer_s(self) -> float:
        """Return the time in seconds within which an answer normally arrives."""
        usual = 0.05 + 2 * self.round_trip_s + 4 * self.variation_s
        return max(usual, self.settings.min_timeout_s)

    def timeout_s(self) -> float:
        """Return the timeout of the next request in seconds."""
        settings = self.settings
        usual = self.expected_answer_s()
        if self.failures < self.required_failures() - 1:
            return usual
        return max(settings.final_timeout_s, 1.5 * usual)

    def is_unresponsive(self, now: float) -> bool:
        """Return whether at most one more failure leads to a suspicion."""
        return (
            self._answered_at is not None
            and now - self._answered_at >= self.settings.suspect_after_s
            and self.failures >= self.required_failures() - 1
        )

    def is_suspected(self, now: float) -> bool:
        """Return whether the instance is suspected to have failed."""
        return self.suspected_since(now) is not None

    def suspected_since(self, now: float) -> float | None:
        """Return the event-loop time at which the suspicion began, or None."""
        if (
            self._suspected_at is None
            and self.is_unresponsive(now)
            and self.failures >= self.required_failures()
        ):
            self._suspected_at = now
        return self._suspected_at

    def _update_round_trip(self, round_trip_s: float) -> None:
        # Smoothing factors of RFC 6298.
        if not self.round_trip_s:
            self.round_trip_s = round_trip_s
            self.variation_s = round_trip_s / 2
            return
        error = abs(round_trip_s - self.round_trip_s)
        self.variation_s += (error - self.variation_s) / 4
        self.round_trip_s += (round_trip_s - self.round_trip_s) / 8


def _estimate_loss(answered: Collection[bool], prior: float) -> float:
    return (sum(not answer for answer in answered) + prior) / (len(answered) + 1.0)
