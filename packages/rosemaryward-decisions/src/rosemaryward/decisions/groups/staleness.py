"""Age of the data at a replica."""

from bisect import bisect_right
from math import inf

from rosemaryward.decisions.types import LogPosition

__all__ = ["PositionHistory"]

SAMPLE_SPACING_S = 0.05  # the age of a replica is overestimated by at most this time
HISTORY_RETENTION_S = 120.0  # the age of older data is unknown


class PositionHistory:
    """Samples of the position of the primary's log over time.

    Only positions sampled under a read lease may be added. The log of a replaced
    primary does not grow, so its position would make its replicas look up to date.
    """

    __slots__ = ("_positions", "_times")

    def __init__(self) -> None:
        self._times: list[float] = []
        self._positions: list[LogPosition] = []

    def add(self, time: float, position: LogPosition) -> None:
        """Add a sample.

        Parameters
        ----------
        time : float
            Event-loop time in seconds.
        position : LogPosition
            The log ended at or before this position at `time`.
        """
        if self._positions and position < self._positions[-1]:
            return
        if self._positions and position == self._positions[-1]:
            self._times[-1] = max(time, self._times[-1])
            return
        if self._times and time < self._times[-1] + SAMPLE_SPACING_S:
            return
        self._times.append(time)
        self._positions.append(position)
        if self._times[0] < time - HISTORY_RETENTION_S:
            first_kept = bisect_right(self._times, time - HISTORY_RETENTION_S / 2)
            del self._times[:first_kept], self._positions[:first_kept]

    def age_s(self, applied: LogPosition, now: float) -> float:
        """Return the age of the data in seconds, or infinity if it is unknown.

        Parameters
        ----------
        applied : LogPosition
            Position that the replica has applied.
        now : float
            Event-loop time in seconds.
        """
        index = bisect_right(self._positions, applied) - 1
        return now - self._times[index] if index >= 0 else inf
