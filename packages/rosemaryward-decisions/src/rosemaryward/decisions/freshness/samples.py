"""Positions of a primary's log with the time by which they are complete."""

from collections import deque

from rosemaryward.decisions.types import LogPosition

__all__ = ["PositionSamples"]

SPACING_S = 0.05  # samples closer than this add nothing that a reader could use
KEPT_S = 30.0  # longest staleness bound that samples can serve


class PositionSamples:
    """Samples of one group's primary, in the order in which they were taken.

    A sample ``(sent_at, position)`` says that `position` includes every commit
    that was acknowledged before `sent_at`.
    """

    __slots__ = ("newest", "samples")

    def __init__(self) -> None:
        self.samples: deque[tuple[float, LogPosition]] = deque()
        self.newest = LogPosition()

    def record(self, sent_at: float, position: LogPosition) -> None:
        """Add the position in an answer of the primary.

        Parameters
        ----------
        sent_at : float
            Boot time at which the request was sent, in seconds.
        position : LogPosition
        """
        if position.term < self.newest.term:
            return
        self.newest = max(self.newest, position)
        samples = self.samples
        if samples and sent_at < samples[-1][0] + SPACING_S:
            return
        samples.append((sent_at, position))
        while samples[0][0] < sent_at - KEPT_S:
            samples.popleft()

    def required(self, complete_until: float) -> LogPosition | None:
        """Return a position that includes all commits acknowledged until a time.

        Parameters
        ----------
        complete_until : float
            Boot time in seconds.

        Returns
        -------
        LogPosition or None
            The position of the oldest sample that is young enough, since that
            is the least that a replica must have; None if there is no sample.
        """
        for sent_at, position in self.samples:
            if sent_at >= complete_until:
                return position
        return None
