"""Objects that failure detection and changes of primary share."""

from collections.abc import Awaitable, Callable
from typing import Protocol

import msgspec

from rosemaryward.decisions.freshness import PositionSamples
from rosemaryward.decisions.gateway.directory import EndpointDirectory
from rosemaryward.decisions.leadership.confirmation import Confirmation
from rosemaryward.decisions.leadership.control import EndpointControl, Promoter
from rosemaryward.decisions.leadership.fence_reports import FenceReports
from rosemaryward.decisions.leadership.members import MemberDirectory, PeerChannel
from rosemaryward.decisions.leadership.records import GroupRecord, Leadership
from rosemaryward.decisions.leadership.replica_sets import ReplicaSets
from rosemaryward.decisions.leadership.writer import RecordWriter

__all__ = ["FailoverContext", "LockState"]


class LockState(Protocol):
    """State of the failover lock at this proxy.

    Attributes
    ----------
    holder : str
        Name of this proxy.
    token : int
        Fencing token.
    """

    holder: str
    token: int

    def is_held(self) -> bool:
        """Return whether this process certainly holds the lock."""


class FailoverContext(msgspec.Struct, frozen=True, kw_only=True):
    """Objects that failure detection and changes of primary use.

    Parameters
    ----------
    lock : LockState
        Failover lock, needed for every step of a change.
    directory : EndpointDirectory
        Registered endpoints.
    leadership : Leadership
        Primary records known to this proxy.
    members : MemberDirectory
        Members to fence.
    peers : PeerChannel
        Requests to other members.
    control : EndpointControl
        Control of the endpoints.
    promoter : Promoter
        Promotion call of the platform.
    writer : RecordWriter
        Writes group records to the store.
    confirmation : Confirmation
        Counts the changes in progress.
    refresh_members : callable
        Reads the members from the store; raises `StoreError`.
    group_samples : callable
        Returns the position samples of a group's primary.
    fence_reports : FenceReports
        Fence replies of members that this one does not reach.
    replica_sets : ReplicaSets
        Endpoints that may hold acknowledged commits, by group.
    sync_replicas : callable
        Returns how many replicas must receive a commit of a group before it is
        acknowledged.
    """

    lock: LockState
    directory: EndpointDirectory
    leadership: Leadership
    members: MemberDirectory
    peers: PeerChannel
    control: EndpointControl
    promoter: Promoter
    writer: RecordWriter[GroupRecord]
    confirmation: Confirmation
    refresh_members: Callable[[], Awaitable[None]]
    group_samples: Callable[[str], PositionSamples]
    fence_reports: FenceReports
    replica_sets: ReplicaSets
    sync_replicas: Callable[[str], int]

    def tolerated_logs(self, group: str) -> int:
        """Return how many logs of a group may be lost without an acknowledged commit.

        Without synchronous replicas, the loss of the primary's log is accepted.
        """
        return max(self.sync_replicas(group), 1)
