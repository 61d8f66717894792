"""Limit on the work in progress at an endpoint that has just started or recovered."""

from collections.abc import Callable

from rosemaryward.decisions.types import Rank

__all__ = ["WarmupLimit"]

INITIAL_LIMIT = 1
MIN_STEP_SAMPLES = 8  # fewer give false steps back, as service times vary by half
MIN_LATE_SAMPLES = 3  # at the timeout of a step
STEP_TIMEOUT_S = 0.25  # of a step that the demand does not fill
FILLED_STEP_TIMEOUT_S = 0.6  # of others; slots of up to 16 are reached within 3 s
UNANSWERED_TIMEOUT_S = 1.0  # of a step in which work runs and nothing is answered
MIN_HOLD_S = 0.25  # at the limit before a step that brought nothing
MAX_HOLD_S = 1.0
MAX_DURATION_S = 10.0  # bounds the cost of a wrong measurement


class ServiceTimes:
    """Mean service times of the ranks during one step."""

    __slots__ = ("counts", "means_s")

    def __init__(self) -> None:
        self.counts = [0 for _ in Rank]
        self.means_s = [0.0 for _ in Rank]

    def add(self, rank: Rank, service_s: float) -> None:
        """Include a statement."""
        self.counts[rank] += 1
        self.means_s[rank] += (service_s - self.means_s[rank]) / self.counts[rank]

    @property
    def count(self) -> int:
        """Number of statements of all ranks."""
        return sum(self.counts)

    def relative_to(self, other: "ServiceTimes") -> float | None:
        """Return the mean ratio to another step, None if they share no rank."""
        weight = 0
        total = 0.0
        for rank in Rank:
            if self.counts[rank] and other.means_s[rank] > 0.0:
                weight += self.counts[rank]
                total += self.counts[rank] * self.means_s[rank] / other.means_s[rank]
        return total / weight if weight else None


class WarmupLimit:
    """Raises the limit of a started or recovered endpoint by how it answers.

    Attributes
    ----------
    active : bool
        Whether the limit applies.
    limit : int
        Statements that may run at once.
    is_halved : bool
        Whether the present step began with a halved limit.
    steps_back : int
        Raised limits of this warm-up that brought no throughput.
    ended : callable or None
        Called with the duration in seconds when a warm-up ends.

    Notes
    -----
    The limit doubles with each step. A step is kept if the throughput, the limit
    divided by the service time, grows by at least half of what the raised limit
    could bring. Otherwise the limit returns to the one before, and after a pause
    it grows by one per step. A latency by itself decides nothing: that of an
    endpoint that is cold is high at any limit. A step that the demand does not
    fill is kept after a short time. The warm-up ends at the full number of slots.
    """

    __slots__ = (
        "active",
        "began_at",
        "ended",
        "hold_s",
        "hold_until",
        "increment",
        "is_halved",
        "limit",
        "settled",
        "settled_limit",
        "slots",
        "step_answers",
        "step_started_at",
        "steps_back",
        "times",
    )

    def __init__(self, slots: int) -> None:
        self.slots = slots
        self.active = False
        self.limit = slots
        self.ended: Callable[[float], None] | None = None
        self.steps_back = 0
        self.is_halved = False

    def begin(self) -> None:
        """Start a warm-up; the time counts from the next `advance`."""
        if self.slots <= INITIAL_LIMIT:
            return
        self.active = True
        self.limit = self.settled_limit = INITIAL_LIMIT
        self.settled: ServiceTimes | None = None
        self.steps_back = 0
        self.increment = 0  # 0 while the limit doubles
        self.hold_s = MIN_HOLD_S
        self.hold_until = 0.0
        self.began_at = self.step_started_at = -1.0
        self._restart_step(-1.0)

    def set_slots(self, slots: int) -> None:
        """Change the number of slots at which the warm-up ends."""
        self.slots = slots
        if not self.active or self.limit >= slots:
            self.active = False
            self.limit = slots

    def record(
        self, rank: Rank, service_s: float, running: int, started_at: float
    ) -> None:
        """Include a completed statement in the present step.

        Parameters
        ----------
        rank : Rank
        service_s : float
            Time in seconds from start to end, 0 if it is no sample of the latency.
        running : int
            Statements that ran when it had started, including itself.
        started_at : float
            Event-loop time in seconds.
        """
        if started_at < self.step_started_at:
            return
        self.step_answers += 1
        if service_s and running >= self.limit:
            self.times.add(rank, service_s)

    def record_overload(self, now: float) -> None:
        """Halve the limit after the endpoint refused work because it is busy.

        Further refusals in the step that begins here are ignored, because they are
        answers to work that was sent at the limit before.

        Parameters
        ----------
        now : float
            Event-loop time in seconds.
        """
        if not self.active or self.is_halved:
            return
        self.settled_limit = max(INITIAL_LIMIT, self.limit // 2)
        self.settled = None
        self.increment = 1
        self.steps_back += 1
        self.limit = self.settled_limit
        self.hold_until = now + self.hold_s
        self._restart_step(now)
        self.is_halved = True

    def advance(self, now: float, running: int) -> None:
        """End the step if that is due.

        Parameters
        ----------
        now : float
            Event-loop time in seconds.
        running : int
            Statements that run.
        """
        if not self.active:
            return
        if self.began_at < 0.0:
            self.began_at = now
            self._restart_step(now)
            return
        if now - self.began_at >= MAX_DURATION_S:
            self._end(now)
            return
        if self.times.count >= max(MIN_STEP_SAMPLES, self.limit):
            self._evaluate_step(now)
            return
        if now - self.step_started_at < self._step_timeout_s(running):
            return
        if self.times.count >= MIN_LATE_SAMPLES:
            self._evaluate_step(now)
        elif now >= self.hold_until:
            self._accept_step(now)

    def _step_timeout_s(self, running: int) -> float:
        if self.times.count:
            return FILLED_STEP_TIMEOUT_S
        is_answered = self.step_answers or not running
        return STEP_TIMEOUT_S if is_answered else UNANSWERED_TIMEOUT_S

    def _evaluate_step(self, now: float) -> None:
        """Keep the limit if its throughput is higher than that of the one before."""
        if self.limit == self.settled_limit:
            if now >= self.hold_until:
                self._accept_step(now)
            return
        ratio = self.times.relative_to(self.settled) if self.settled else None
        full_gain = self.limit / self.settled_limit
        if ratio is None or full_gain / ratio >= (1.0 + full_gain) / 2.0:
            self._accept_step(now)
            return
        self.limit = self.settled_limit
        self.steps_back += 1
        self.increment = 1
        self.hold_until = now + self.hold_s
        self.hold_s = min(self.hold_s * 2.0, MAX_HOLD_S)
        self._restart_step(now)

    def _accept_step(self, now: float) -> None:
        """Settle at the present limit and try the next one."""
        self.settled_limit = self.limit
        self.settled = self.times
        if self.limit >= self.slots:
            self._end(now)
            return
        self.limit = min(self.limit + (self.increment or self.limit), self.slots)
        self._restart_step(now)

    def _restart_step(self, now: float) -> None:
        self.step_started_at = now
        self.is_halved = False
        self.step_answers = 0
        self.times = ServiceTimes()

    def _end(self, now: float) -> None:
        self.active = False
        self.limit = self.slots
        if self.ended is not None:
            self.ended(now - self.began_at)
