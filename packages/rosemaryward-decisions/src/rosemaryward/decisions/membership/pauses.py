"""Detection of pauses of the process."""

from collections.abc import Callable

from rosemaryward.decisions.membership.settings import MembershipSettings

__all__ = ["PauseDetector"]


class PauseDetector:
    """Detects a paused process or a blocked event loop from gaps between ticks.

    The probe task ticks at least once per probe interval. A gap longer than the
    interval plus the tolerance counts as a pause.

    Parameters
    ----------
    settings : MembershipSettings
    on_pause : callable
        Called with the length of each pause in seconds.
    """

    __slots__ = ("_last_tick", "on_pause", "pause_count", "settings")

    def __init__(
        self, settings: MembershipSettings, on_pause: Callable[[float], None]
    ) -> None:
        self.settings = settings
        self.on_pause = on_pause
        self.pause_count = 0
        self._last_tick: float | None = None

    def tick(self, now: float) -> None:
        """Record that the process runs at `now`, in seconds of the event loop."""
        last, self._last_tick = self._last_tick, now
        limit_s = self.settings.probe_interval_s + self.settings.pause_tolerance_s
        if last is not None and now - last > limit_s:
            self.pause_count += 1
            self.on_pause(now - last)
