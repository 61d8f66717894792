"""Copy of the platform's store that a proxy keeps in memory."""

from rosemaryward.decisions.mirror.mirror import StoreMirror, Subscriber
from rosemaryward.decisions.mirror.store import (
    Changes,
    HistoryLostError,
    LeaseLostError,
    LeaseStore,
    Listing,
    Mark,
    StoredValue,
)

__all__ = [
    "Changes",
    "HistoryLostError",
    "LeaseLostError",
    "LeaseStore",
    "Listing",
    "Mark",
    "StoreMirror",
    "StoredValue",
    "Subscriber",
]
