"""Copy of the platform's store that a proxy keeps in memory."""

from rosemaryward.decisions.mirror.following import (
    ChangeHistory,
    ChangesReply,
    ChangesRequest,
    FollowingSource,
    MirrorSource,
    NotLoadedError,
)
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
    "ChangeHistory",
    "Changes",
    "ChangesReply",
    "ChangesRequest",
    "FollowingSource",
    "HistoryLostError",
    "LeaseLostError",
    "LeaseStore",
    "Listing",
    "Mark",
    "MirrorSource",
    "NotLoadedError",
    "StoreMirror",
    "StoredValue",
    "Subscriber",
]
