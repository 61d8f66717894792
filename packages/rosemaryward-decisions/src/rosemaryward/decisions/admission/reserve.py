"""Slots reserved so that urgent statements start without a wait."""

from rosemaryward.decisions.admission.settings import AdmissionSettings
from rosemaryward.decisions.types import Rank

__all__ = ["UrgentReserve"]

SERVICE_QUANTILE = 0.99
SERVICE_QUANTILE_STEP = 0.05  # relative change of the estimate per statement


class UrgentReserve:
    """Number of slots that statements of other ranks must leave free.

    Parameters
    ----------
    settings : AdmissionSettings

    Notes
    -----
    `level` is the adaptive size of the reserve in slots. It rises when an urgent
    statement is late because of other ranks, and falls by a smaller step
    otherwise. It converges to the level at which the share `late_share_target`
    of urgent statements is late.
    """

    __slots__ = ("last_urgent_arrival_at", "level", "service_p99_s", "settings")

    def __init__(self, settings: AdmissionSettings) -> None:
        self.settings = settings
        self.level = float(settings.minimum_reserve_slots)
        self.service_p99_s = 0.0
        self.last_urgent_arrival_at = float("-inf")

    def record(
        self,
        latency_s: float,
        service_s: float,
        delayed: bool,
        slots: int,
        deadline_s: float,
    ) -> None:
        """Adjust the level after a completed urgent statement.

        Parameters
        ----------
        latency_s : float
            Time in seconds since the statement's arrival.
        service_s : float
            Time in seconds since the statement's start.
        delayed : bool
            Whether it waited in the queue and statements of other ranks ran when it
            started.
        slots : int
            Maximum level.
        deadline_s : float
            Time in seconds from the statement's arrival to its deadline.
        """
        settings = self.settings
        if not self.service_p99_s:
            self.service_p99_s = service_s
        late = delayed and latency_s > self._late_after_s(deadline_s)
        step = (late - settings.late_share_target) * settings.reserve_step_slots
        minimum = float(settings.minimum_reserve_slots)
        self.level = max(minimum, min(self.level + step, float(slots)))
        above = service_s > self.service_p99_s
        self.service_p99_s *= 1.0 + SERVICE_QUANTILE_STEP * (
            above - (1.0 - SERVICE_QUANTILE)
        )

    def _late_after_s(self, deadline_s: float) -> float:
        """Return the latency in seconds above which a delayed statement is late."""
        settings = self.settings
        if settings.late_deadline_share is not None:
            return settings.late_deadline_share * deadline_s
        return settings.late_latency_ratio * self.service_p99_s

    def reserved_slots(
        self, rank: Rank, limit: int, now: float, longest_service_s: float
    ) -> int:
        """Return how many slots a statement of the rank must leave free.

        Parameters
        ----------
        rank : Rank
        limit : int
            Statements that may run at once.
        now : float
            Event-loop time in seconds.
        longest_service_s : float
            Larger of the mean service times of the other ranks in seconds.
        """
        settings = self.settings
        if rank is Rank.URGENT or limit < 2:
            return 0
        if now - self.last_urgent_arrival_at > settings.reserve_hold_s:
            return 0
        if longest_service_s <= settings.short_service_ratio * self.service_p99_s:
            return 0
        level = round(self.level)
        if rank is Rank.BULK:
            return min(level, limit)
        return max(settings.minimum_reserve_slots, level - 1)
