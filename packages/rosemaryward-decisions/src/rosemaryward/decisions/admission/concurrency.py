"""Adaptive limit on the statements that run at once at an endpoint."""

from math import sqrt

from rosemaryward.decisions.types import Rank

__all__ = ["ConcurrencyLimit"]

REFERENCE_SAMPLES = 16  # statements that set the first reference latency of a rank
REFERENCE_WEIGHT = 1 / 4096  # of one later statement in the reference latency
MAX_RELATIVE_LATENCY = 8.0  # larger samples are cut to this value
MIN_WINDOW_SAMPLES = 30
MAX_WINDOW_SAMPLES = 400
DECISION_STANDARD_ERRORS = 2.5  # distance from the threshold that decides a trial
LATENCY_RISE_RATIO = 1.3  # latency over the baseline that starts a trial at once
BASELINE_WEIGHT = 0.1  # of one window in the baseline latency
MIN_TRIAL_TIMEOUT_S = 2.0  # the timeout is longer if statements are long
TRIAL_TIMEOUT_STATEMENTS = 200  # mean service times in the timeout of a trial
INITIAL_DECREASE_INTERVAL_S = 15.0  # between trials of a lower limit
INITIAL_INCREASE_INTERVAL_S = 2.0  # between trials of a higher limit
MAX_DECREASE_INTERVAL_S = 120.0
MAX_INCREASE_INTERVAL_S = 8.0
INTERVAL_BACKOFF_FACTOR = 3.0  # growth of the interval after a rejected trial


class LatencyWindow:
    """Mean and variance of the relative latencies at one limit."""

    __slots__ = ("count", "mean", "squared_deviations", "started_at")

    def __init__(self, started_at: float) -> None:
        self.started_at = started_at
        self.count = 0
        self.mean = 0.0
        self.squared_deviations = 0.0

    def add(self, sample: float) -> None:
        """Include a sample."""
        self.count += 1
        change = sample - self.mean
        self.mean += change / self.count
        self.squared_deviations += change * (sample - self.mean)

    def relative_error(self) -> float:
        """Return the standard error of the mean divided by the mean."""
        return sqrt(self.squared_deviations / (self.count - 1) / self.count) / self.mean


class ConcurrencyLimit:
    """Adapts the limit to its measured effect on the throughput.

    Parameters
    ----------
    maximum : int
        Largest limit, the declared number of slots.

    Notes
    -----
    A statement that started with all slots in use gives a sample of the latency,
    relative to the reference latency of its rank. A lower limit is tried when
    the latency rises and at long intervals. It is accepted if the throughput,
    the limit divided by the latency, hardly falls, because the endpoint then
    queued the statements itself. A higher limit is tried at short intervals and
    accepted if the throughput grows. Both thresholds lie half way between no
    effect and the full effect of the change. A trial ends as soon as its result
    is statistically clear.
    """

    __slots__ = (
        "baseline_latency",
        "decrease_interval_s",
        "increase_interval_s",
        "limit",
        "limit_changed_at",
        "maximum",
        "mean_service_s",
        "next_decrease_at",
        "next_increase_at",
        "reference_counts",
        "reference_latencies_s",
        "settled_limit",
        "settled_window",
        "window",
    )

    def __init__(self, maximum: int) -> None:
        self.set_maximum(maximum)
        self.reference_latencies_s = [0.0 for _ in Rank]
        self.reference_counts = [0 for _ in Rank]
        self.mean_service_s = 0.0

    def set_maximum(self, maximum: int) -> None:
        """Set a new maximum and restart from it."""
        self.maximum = maximum
        self.limit = self.settled_limit = maximum
        self.limit_changed_at = 0.0
        self.settled_window: LatencyWindow | None = None
        self.baseline_latency = 0.0
        self.window = LatencyWindow(0.0)
        self.decrease_interval_s = INITIAL_DECREASE_INTERVAL_S
        self.increase_interval_s = INITIAL_INCREASE_INTERVAL_S
        self.next_decrease_at = self.next_increase_at = 0.0

    def record(
        self, rank: Rank, service_s: float, running: int, started_at: float, now: float
    ) -> None:
        """Include a completed statement and change the limit if that is due.

        Parameters
        ----------
        rank : Rank
        service_s : float
            Time in seconds from start to end.
        running : int
            Statements that ran when it had started, including itself.
        started_at, now : float
            Event-loop times in seconds.
        """
        self._end_overdue_trial(now)
        sample = self._relative_latency(rank, service_s)
        if not sample or running != self.limit or started_at < self.limit_changed_at:
            return
        self.mean_service_s += (service_s - self.mean_service_s) / REFERENCE_SAMPLES
        self.window.add(sample)
        if self.window.count < MIN_WINDOW_SAMPLES:
            return
        if self.limit != self.settled_limit:
            self._evaluate_trial(now)
        elif self.window.count >= MAX_WINDOW_SAMPLES or self._is_window_precise():
            self._end_window(now)

    def _relative_latency(self, rank: Rank, service_s: float) -> float:
        """Return the latency over the rank's reference, 0 while that is unknown."""
        count = self.reference_counts[rank]
        if count < REFERENCE_SAMPLES:
            self.reference_counts[rank] = count + 1
            self.reference_latencies_s[rank] += (
                service_s - self.reference_latencies_s[rank]
            ) / (count + 1)
            return 0.0
        reference_s = self.reference_latencies_s[rank]
        if self.limit == self.settled_limit:
            self.reference_latencies_s[rank] = (
                reference_s + (service_s - reference_s) * REFERENCE_WEIGHT
            )
        return (
            min(service_s / reference_s, MAX_RELATIVE_LATENCY)
            if reference_s > 0.0
            else 0.0
        )

    def _is_window_precise(self) -> bool:
        return self.window.relative_error() < 0.025

    def _end_window(self, now: float) -> None:
        """Take the window as the latency at the settled limit; start a due trial."""
        window = self.window
        in_time = now - window.started_at <= self._trial_timeout_s()
        rise = window.mean / self.baseline_latency if self.baseline_latency else 1.0
        self.settled_window = window
        self.window = LatencyWindow(now)
        if rise > LATENCY_RISE_RATIO and self.limit > 1:
            estimate = min(self.limit - 1, int(self.limit / rise + 0.5))
            self._set_limit(max(1, estimate), now)
            return
        self.baseline_latency = self.baseline_latency or window.mean
        self.baseline_latency += (window.mean - self.baseline_latency) * BASELINE_WEIGHT
        if self.limit < self.maximum and now >= self.next_increase_at:
            self._set_limit(self.limit + 1, now)
        elif in_time and self.limit > 1 and now >= self.next_decrease_at:
            self._set_limit(self.limit - 1, now)

    def _evaluate_trial(self, now: float) -> None:
        """End the trial if its effect on the throughput is clear."""
        settled, trial = self.settled_window, self.window
        if settled is None:
            return
        full_gain = self.limit / self.settled_limit
        gain = full_gain * settled.mean / trial.mean
        error = gain * sqrt(settled.relative_error() ** 2 + trial.relative_error() ** 2)
        threshold = (1.0 + full_gain) / 2.0
        is_clear = abs(gain - threshold) > DECISION_STANDARD_ERRORS * error
        if is_clear or trial.count >= MAX_WINDOW_SAMPLES:
            self._end_trial(gain > threshold, now)

    def _end_trial(self, accepted: bool, now: float) -> None:
        """Accept the limit on trial or return to the settled one."""
        is_decrease = self.limit < self.settled_limit
        if self.settled_window is not None:
            self.baseline_latency = (
                self.window.mean if accepted else self.settled_window.mean
            )
        if accepted:
            self.settled_limit = self.limit
            self.settled_window = self.window
            self.window = LatencyWindow(now)
            self._schedule_after_acceptance(is_decrease, now)
            return
        self._set_limit(self.settled_limit, now)
        if is_decrease:
            self.next_decrease_at = now + self.decrease_interval_s
            self.decrease_interval_s = min(
                self.decrease_interval_s * INTERVAL_BACKOFF_FACTOR,
                MAX_DECREASE_INTERVAL_S,
            )
        else:
            self.next_increase_at = now + self.increase_interval_s
            self.increase_interval_s = min(
                self.increase_interval_s * INTERVAL_BACKOFF_FACTOR,
                MAX_INCREASE_INTERVAL_S,
            )

    def _schedule_after_acceptance(self, is_decrease: bool, now: float) -> None:
        self.decrease_interval_s = INITIAL_DECREASE_INTERVAL_S
        self.increase_interval_s = INITIAL_INCREASE_INTERVAL_S
        # The next trial in the same direction may follow at once. One in the other
        # direction is delayed, so the limit does not oscillate around a threshold.
        self.next_decrease_at = (
            now if is_decrease else now + INITIAL_DECREASE_INTERVAL_S
        )
        self.next_increase_at = (
            now + INITIAL_INCREASE_INTERVAL_S if is_decrease else now
        )

    def _end_overdue_trial(self, now: float) -> None:
        """Settle at the higher limit if the trial had too few samples in time."""
        if self.limit == self.settled_limit:
            return
        if now - self.limit_changed_at > self._trial_timeout_s():
            self._end_trial(self.limit > self.settled_limit, now)

    def _trial_timeout_s(self) -> float:
        return max(MIN_TRIAL_TIMEOUT_S, TRIAL_TIMEOUT_STATEMENTS * self.mean_service_s)

    def _set_limit(self, limit: int, now: float) -> None:
        self.limit = limit
        self.limit_changed_at = now
        self.window = LatencyWindow(now)
