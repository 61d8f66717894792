"""In-memory mirror of the platform's store."""

from rosemaryward.decisions.mirror.follower import (
    STORE_SOURCE,
    ChangeHistory,
    ChangesReply,
    ChangesRequest,
    FollowerSource,
    MirrorSource,
    NotLoadedError,
    Reader,
)
from rosemaryward.decisions.mirror.mirror import StoreMirror, Subscriber
from rosemaryward.decisions.mirror.reader_failures import ReaderFailures
from rosemaryward.decisions.mirror.rejected_values import RejectedValues
from rosemaryward.decisions.mirror.store import (
    MAX_GENERATION,
    MAX_NUMBER,
    Changes,
    ConditionalWrite,
    HistoryLostError,
    LeasedKey,
    LeaseLostError,
    LeaseStore,
    Listing,
    StoredValue,
    StoreRead,
    generation_of,
    make_revision,
    number_of,
)
from rosemaryward.decisions.mirror.store_retry import StoreRetry
from rosemaryward.decisions.mirror.timing import READER_MAX_READ_AGE_S, StoreTiming

__all__ = [
    "MAX_GENERATION",
    "MAX_NUMBER",
    "READER_MAX_READ_AGE_S",
    "STORE_SOURCE",
    "ChangeHistory",
    "Changes",
    "ChangesReply",
    "ChangesRequest",
    "ConditionalWrite",
    "FollowerSource",
    "HistoryLostError",
    "LeaseLostError",
    "LeaseStore",
    "LeasedKey",
    "Listing",
    "MirrorSource",
    "NotLoadedError",
    "Reader",
    "ReaderFailures",
    "RejectedValues",
    "StoreMirror",
    "StoreRead",
    "StoreRetry",
    "StoreTiming",
    "StoredValue",
    "Subscriber",
    "generation_of",
    "make_revision",
    "number_of",
]
