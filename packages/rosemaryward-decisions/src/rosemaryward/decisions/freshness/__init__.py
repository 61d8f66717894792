"""Log positions that prove a replica fresh enough for a read."""

from rosemaryward.decisions.freshness.samples import PositionSamples

__all__ = ["PositionSamples"]
