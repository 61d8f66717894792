"""Evidence that a replica is fresh enough for a read."""

from rosemaryward.decisions.freshness.samples import PositionSamples

__all__ = ["PositionSamples"]
