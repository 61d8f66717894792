"""Shaping, accounting and compression of traffic between regions."""

from rosemaryward.decisions.links.compression import compress_if_smaller, decompress
from rosemaryward.decisions.links.shaper import LinkShaper
from rosemaryward.decisions.links.traffic import (
    LinkDirection,
    LinkPurpose,
    TrafficCounter,
    TrafficKey,
)

__all__ = [
    "LinkDirection",
    "LinkPurpose",
    "LinkShaper",
    "TrafficCounter",
    "TrafficKey",
    "compress_if_smaller",
    "decompress",
]
