"""Positions of a primary's log with the time by which they are complete."""

import bisect

from rosemaryward.decisions.types import LogPosition

__all__ = ["PositionSamples"]

SPACING_S = 0.05  # samples closer than this add nothing that a reader could use
SPREAD_AGES_S = (1.2, 0.6, 0.0)  # replicas most likely have the older positions
KEPT_S = 30.0  # longest staleness bound that samples can serve


class PositionSamples:
    """Samples of one group's primary, in the order in which they were taken.

    A sample ``(sent_at, position)`` says that `position` includes every commit
    that was acknowledged before `sent_at`.
    """

    __slots__ = ("newest", "samples")

    def __init__(self) -> None:
        self.samples: list[tuple[float, LogPosition]] = []
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
        # A relay passes on samples that are older than some of the proxy's own.
        place = bisect.bisect(samples, sent_at, key=_sent_at)
        if place and sent_at < samples[place - 1][0] + SPACING_S:
            return
        samples.insert(place, (sent_at, position))
        expired = bisect.bisect(samples, samples[-1][0] - KEPT_S, key=_sent_at)
        del samples[:expired]

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
        sample = self._first(complete_until)
        return None if sample is None else sample[1]

    def spread(self, now: float) -> list[tuple[float, LogPosition]]:
        """Return a few samples that other proxies can use for some time.

        Parameters
        ----------
        now : float
            Boot time in seconds.

        Returns
        -------
        list of tuple of float and LogPosition
        """
        chosen: list[tuple[float, LogPosition]] = []
        for age_s in SPREAD_AGES_S:
            sample = self._first(now - age_s)
            if sample is not None and sample not in chosen:
                chosen.append(sample)
        return chosen

    def _first(self, complete_until: float) -> tuple[float, LogPosition] | None:
        place = bisect.bisect_left(self.samples, complete_until, key=_sent_at)
        return self.samples[place] if place < len(self.samples) else None


def _sent_at(sample: tuple[float, LogPosition]) -> float:
    return sample[0]
