"""In-memory mirror of the platform's store."""

from rosemaryward.decisions.mirror.follower import (
    ChangeHistory,
    ChangesReply,
    ChangesRequest,
    FollowerSource,
    MirrorSource,
    NotLoadedError,
    Reader,
)
from rosemaryward.decisions.mirror.mirror import StoreMirror, Subscriber
from rosemaryward.decisions.mirror.store import (
    Changes,
    HistoryLostError,
    LeasedKey,
    LeaseLostError,
    LeaseStore,
    Listing,
    StoredValue,
)

__all__ = [
    "ChangeHistory",
    "Changes",
    "ChangesReply",
    "ChangesRequest",
    "FollowerSource",
    "HistoryLostError",
    "LeaseLostError",
    "LeaseStore",
    "LeasedKey",
    "Listing",
    "MirrorSource",
    "NotLoadedError",
    "Reader",
    "StoreMirror",
    "StoredValue",
    "Subscriber",
]
