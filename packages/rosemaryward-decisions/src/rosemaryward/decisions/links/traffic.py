"""Byte counts of the traffic on the link between regions."""

from enum import StrEnum

import msgspec

from rosemaryward.decisions.types import Rank

__all__ = ["LinkDirection", "LinkPurpose", "TrafficCounter", "TrafficKey"]


class LinkDirection(StrEnum):
    """Direction of traffic from the point of view of this proxy."""

    SENT = "sent"
    RECEIVED = "received"


class LinkPurpose(StrEnum):
    """Purpose for which bytes are sent."""

    MEMBERSHIP = "membership"
    MONITORING = "monitoring"
    CONFIGURATION = "configuration"
    STATEMENT = "statement"
    RESULT = "result"


class TrafficKey(msgspec.Struct, frozen=True):
    """Key of one counter.

    Parameters
    ----------
    direction : LinkDirection
    rank : Rank or None
        None for control traffic.
    purpose : LinkPurpose
    """

    direction: LinkDirection
    rank: Rank | None
    purpose: LinkPurpose


class TrafficCounter:
    """Counts bytes on the link by direction, rank and purpose."""

    __slots__ = ("totals",)

    def __init__(self) -> None:
        self.totals: dict[TrafficKey, int] = {}

    def add(
        self,
        direction: LinkDirection,
        rank: Rank | None,
        purpose: LinkPurpose,
        size: int,
    ) -> None:
        """Add `size` bytes to a counter."""
        key = TrafficKey(direction, rank, purpose)
        self.totals[key] = self.totals.get(key, 0) + size
