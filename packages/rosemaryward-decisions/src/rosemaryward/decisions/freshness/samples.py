"""Timed samples of a primary's log position."""

import bisect

from rosemaryward.decisions.types import LogPosition

__all__ = ["PositionSamples"]

MIN_SAMPLE_SPACING_S = 0.05  # closer samples are of no use to reads
# Replicas are more likely to have applied the older positions.
SHARED_SAMPLE_AGES_S = (1.2, 0.6, 0.0)
SAMPLE_RETENTION_S = 30.0  # the largest staleness bound that samples can serve


class PositionSamples:
    """Samples of the log position of one group's primary, ordered by time.

    A sample ``(sent_at, position)`` states that `position` includes every commit
    that was acknowledged before `sent_at`, a boot time in seconds.

    Attributes
    ----------
    samples : list of tuple of float and LogPosition
        Samples of at most `SAMPLE_RETENTION_S`, the oldest first.
    newest : LogPosition
        Newest position that was recorded.
    """

    __slots__ = ("newest", "samples")

    def __init__(self) -> None:
        self.samples: list[tuple[float, LogPosition]] = []
        self.newest = LogPosition()

    def record(self, sent_at: float, position: LogPosition) -> None:
        """Add the position in an answer of the primary.

        Positions of an earlier term than the newest one are ignored.

        Parameters
        ----------
        sent_at : float
            Boot time at which the request was sent, in seconds.
        position : LogPosition
            Position in the answer.
        """
        if position.term < self.newest.term:
            return
        self.newest = max(self.newest, position)
        samples = self.samples
        # Samples from a relay may be older than some of this proxy's own.
        index = bisect.bisect(samples, sent_at, key=_sent_at)
        if index and sent_at < samples[index - 1][0] + MIN_SAMPLE_SPACING_S:
            return
        samples.insert(index, (sent_at, position))
        expired = bisect.bisect(
            samples, samples[-1][0] - SAMPLE_RETENTION_S, key=_sent_at
        )
        del samples[:expired]

    def required_position(self, acknowledged_until: float) -> LogPosition | None:
        """Return a position that includes all commits acknowledged before a time.

        Parameters
        ----------
        acknowledged_until : float
            Boot time in seconds.

        Returns
        -------
        LogPosition or None
            Position of the oldest sample that is recent enough, which is the least
            that a replica must have applied; None if there is no such sample.
        """
        sample = self._oldest_since(acknowledged_until)
        return None if sample is None else sample[1]

    def samples_to_share(self, now: float) -> list[tuple[float, LogPosition]]:
        """Return samples of several ages for other proxies.

        Parameters
        ----------
        now : float
            Boot time in seconds.

        Returns
        -------
        list of tuple of float and LogPosition
            At most one sample for each of `SHARED_SAMPLE_AGES_S`.
        """
        shared: list[tuple[float, LogPosition]] = []
        for age_s in SHARED_SAMPLE_AGES_S:
            sample = self._oldest_since(now - age_s)
            if sample is not None and sample not in shared:
                shared.append(sample)
        return shared

    def _oldest_since(
        self, acknowledged_until: float
    ) -> tuple[float, LogPosition] | None:
        """Return the oldest sample that was sent at or after a boot time."""
        index = bisect.bisect_left(self.samples, acknowledged_until, key=_sent_at)
        return self.samples[index] if index < len(self.samples) else None


def _sent_at(sample: tuple[float, LogPosition]) -> float:
    return sample[0]
