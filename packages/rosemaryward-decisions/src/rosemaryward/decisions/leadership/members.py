"""Members of the fleet as registered in the store, and requests between them.

A member's registration outlives its process, so that a change of primary knows every
proxy that may still rely on a confirmation. A second key, bound to a lease, tells that
the process lives. A read confirms nothing to a member whose second key it does not
show; a member whose key has been away for one confirmation can thus rely on none.
"""

from collections.abc import Callable
from typing import Protocol

import msgspec
import structlog

from rosemaryward.decisions.clock import boot_time_s
from rosemaryward.decisions.leadership.records import (
    CONFIRMATION_VALIDITY_S,
    GroupRecord,
)
from rosemaryward.decisions.types import LogPosition, Place

__all__ = [
    "ConfirmationReply",
    "ConfirmationRequest",
    "FenceReply",
    "FenceRequest",
    "MemberDirectory",
    "MemberRecord",
    "PeerChannel",
    "ReachabilityReply",
    "ReachabilityRequest",
    "RecordAck",
    "RecordNotice",
    "ReleaseReply",
    "ReleaseRequest",
]

ABSENCE_MARGIN_S = 0.2  # drift of the clocks over one confirmation

log = structlog.get_logger(__name__)


class MemberRecord(msgspec.Struct, frozen=True):
    """A proxy that may use primaries.

    Parameters
    ----------
    name : str
    address : str
        ``host:port`` for requests of other members.
    incarnation : str
        Differs between two processes of the same name.
    relay_address : str
        ``host:port`` for statements that it relays, empty if it relays none.
    place : Place
    capacity : float
        Statements per second that its processor and link can relay.
    """

    name: str
    address: str
    incarnation: str
    relay_address: str = ""
    place: Place = Place("", "")
    capacity: float = 0.0


class FenceRequest(msgspec.Struct, frozen=True, tag="fence"):
    """Stop using primaries of a group of earlier epochs."""

    group: str
    epoch: int


class FenceReply(msgspec.Struct, frozen=True, tag="fenced"):
    """The fence is in place.

    Parameters
    ----------
    incarnation : str
        Process that answered.
    acknowledged : LogPosition
        Newest position of a write that the member saw acknowledged.
    """

    incarnation: str
    acknowledged: LogPosition


class ReachabilityRequest(msgspec.Struct, frozen=True, tag="reach"):
    """Report whether an endpoint answers."""

    endpoint: str


class ReachabilityReply(msgspec.Struct, frozen=True, tag="reached"):
    """Whether the endpoint answered the member."""

    answered: bool


class ConfirmationRequest(msgspec.Struct, frozen=True, tag="confirm"):
    """Report what the store last confirmed to the member."""

    incarnation: str


class ConfirmationReply(msgspec.Struct, frozen=True, tag="confirmed"):
    """What the store last confirmed to a member.

    Parameters
    ----------
    age_s : float
        Time since the member sent the read that the store answered.
    registered : bool
        Whether that read showed the asking process as a member.
    changing : bool
        Whether the member may have announced a change of a primary since.
    records : dict of str to tuple of GroupRecord and int
        Group records with their revisions.
    revision : int
        Revision of the store at that read.
    """

    age_s: float
    registered: bool
    changing: bool
    records: dict[str, tuple[GroupRecord, int]]
    revision: int = 0


class ReleaseRequest(msgspec.Struct, frozen=True, tag="release"):
    """Stop acting under a duty whose key is gone from the store.

    Parameters
    ----------
    token : int
        Token under which the duty was held.
    """

    token: int


class ReleaseReply(msgspec.Struct, frozen=True, tag="released"):
    """The answering member begins nothing under the token any more.

    Parameters
    ----------
    stopped : bool
        Whether what it had begun has ended as well.
    """

    stopped: bool


class RecordNotice(msgspec.Struct, frozen=True, tag="record"):
    """Take over a group's record that the store has accepted.

    Parameters
    ----------
    group : str
    record : GroupRecord
    revision : int
        Store revision of the record.
    """

    group: str
    record: GroupRecord
    revision: int


class RecordAck(msgspec.Struct, frozen=True, tag="noted"):
    """The record is known."""


class PeerChannel(Protocol):
    """Requests to other members; every method raises `PeerError`."""

    async def fence(self, member: MemberRecord, request: FenceRequest) -> FenceReply:
        """Ask a member to stop using a primary."""

    async def send_record(self, member: MemberRecord, notice: RecordNotice) -> None:
        """Tell a member a record before its watch of the store does."""

    async def probe_endpoint(
        self, member: MemberRecord, request: ReachabilityRequest
    ) -> bool:
        """Ask a member whether an endpoint answers."""

    async def release_lock(self, member: MemberRecord, request: ReleaseRequest) -> bool:
        """Ask the last holder of the duty to stop; return whether it has."""

    async def request_confirmation(
        self, member: MemberRecord, request: ConfirmationRequest
    ) -> ConfirmationReply:
        """Ask a member what the store last confirmed to it."""


class MemberDirectory:
    """Registered members and those whose process lives.

    Parameters
    ----------
    clock : callable, optional

    Attributes
    ----------
    members : dict of str to MemberRecord
        By name.
    revisions : dict of str to int
        Store revision of each registration.
    alive : set of str
        Names whose process holds its lease.
    absent_since : dict of str to float
        Boot time at which the lease of a registered member was seen to have ended.
    version : int
        Raised whenever the living members may have changed.
    """

    def __init__(self, clock: Callable[[], float] = boot_time_s) -> None:
        self.clock = clock
        self.members: dict[str, MemberRecord] = {}
        self.revisions: dict[str, int] = {}
        self.alive: set[str] = set()
        self.absent_since: dict[str, float] = {}
        self.version = 0

    def observe(self, member: MemberRecord, revision: int) -> None:
        """Add a member; a new process of the same name replaces the old one."""
        if revision <= self.revisions.get(member.name, 0):
            return
        log.info(
            "member observed",
            member=member.name,
            address=member.address,
            incarnation=member.incarnation,
            revision=revision,
        )
        self.members[member.name] = member
        self.revisions[member.name] = revision
        self.version += 1
        if member.name not in self.alive:
            # Its lease comes next; until then the new process may not use primaries.
            self.absent_since[member.name] = self.clock()

    def remove(self, name: str) -> None:
        """Note that a member ended its registration."""
        if self.members.pop(name, None) is not None:
            log.info("member left", member=name)
        self.version += 1
        self.revisions.pop(name, None)
        self.absent_since.pop(name, None)

    def mark_alive(self, name: str) -> None:
        """Note that the process of a member holds its lease."""
        if name not in self.alive:
            self.version += 1
        self.alive.add(name)
        self.absent_since.pop(name, None)

    def mark_absent(self, name: str) -> None:
        """Note that the lease of a member's process ended or was taken back."""
        self.alive.discard(name)
        self.version += 1
        if name in self.members:
            log.info("member absent", member=name)
            self.absent_since.setdefault(name, self.clock())

    def members_to_fence(self) -> list[MemberRecord]:
        """Return the members that may hold a confirmation."""
        limit = self.clock() - CONFIRMATION_VALIDITY_S - ABSENCE_MARGIN_S
        return [
            member
            for name, member in self.members.items()
            if self.absent_since.get(name, self.clock()) > limit
        ]

    def live_members(self) -> list[MemberRecord]:
        """Return the members whose process holds its lease."""
        return [m for name, m in self.members.items() if name in self.alive]
