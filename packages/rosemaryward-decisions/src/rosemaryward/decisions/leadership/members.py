"""Members of the fleet as registered in the store, and requests between them.

A member's registration outlives its process, so that a change of primary knows every
proxy that may still rely on a confirmation. A second key, bound to a lease, shows that
the process is live. A read without this key confirms nothing to its member, so a member
whose key has been absent for the validity of a confirmation relies on none.
"""

from collections.abc import Callable
from typing import Annotated, Protocol

import msgspec
import structlog

from rosemaryward.decisions.clock import boot_time_s
from rosemaryward.decisions.decoding import decode_json
from rosemaryward.decisions.leadership.records import (
    CONFIRMATION_VALIDITY_S,
    GroupRecord,
)
from rosemaryward.decisions.types import Count, LogPosition, Place

__all__ = [
    "ConfirmationReply",
    "ConfirmationRequest",
    "FenceReply",
    "FenceRequest",
    "IntroductionReply",
    "IntroductionRequest",
    "MemberDirectory",
    "MemberRecord",
    "PeerChannel",
    "ReachabilityReply",
    "ReachabilityRequest",
    "RecordAck",
    "RecordNotice",
    "ReleaseReply",
    "ReleaseRequest",
    "decode_member",
]

CLOCK_DRIFT_MARGIN_S = 0.2  # clock drift between hosts during one confirmation

Seconds = Annotated[float, msgspec.Meta(ge=0.0)]

log = structlog.get_logger(__name__)


class MemberRecord(msgspec.Struct, frozen=True):
    """Registration of a proxy that may use primaries.

    Parameters
    ----------
    name : str
        Name of the proxy.
    address : str
        ``host:port`` for requests from other members.
    incarnation : str
        Identifies the process among those of the same name.
    relay_address : str
        ``host:port`` for statements that it relays, empty if it relays none.
    place : Place
        Region and failure domain of the proxy.
    capacity : float
        Statements per second that its processor and link can relay.
    verifies_reads : bool
        Whether it reads a primary without further checks for `UNVERIFIED_READ_S`
        only; earlier builds do so as long as a confirmation is valid.
    """

    name: str
    address: str
    incarnation: str
    relay_address: str = ""
    place: Place = Place("", "")
    capacity: float = 0.0
    verifies_reads: bool = False


def decode_member(name: str, value: bytes) -> MemberRecord:
    """Decode the registration of a member.

    Parameters
    ----------
    name : str
        Name in the key of the registration.
    value : bytes
        JSON value.

    Raises
    ------
    msgspec.DecodeError
        If the value is no registration of this member.
    """
    member = decode_json(value, MemberRecord)
    if member.name != name:
        raise msgspec.ValidationError(
            f"expected the registration of {name[:100]!r}, got {member.name[:100]!r}"
        )
    return member


class FenceRequest(msgspec.Struct, frozen=True, tag="fence"):
    """Request to stop using the primaries of a group of earlier epochs.

    Parameters
    ----------
    group : str
        Group whose primary is being changed.
    epoch : int
        Lowest epoch whose primary may be used.
    """

    group: str
    epoch: Count


class FenceReply(msgspec.Struct, frozen=True, tag="fenced"):
    """Reply that the fence is in place.

    Parameters
    ----------
    incarnation : str
        Process that answered.
    acknowledged : LogPosition
        Newest log position of a write that the member saw acknowledged, at most.
    committed : LogPosition
        Log position that a write that the member saw acknowledged has at least.
    """

    incarnation: str
    acknowledged: LogPosition
    committed: LogPosition = LogPosition()


class ReachabilityRequest(msgspec.Struct, frozen=True, tag="reach"):
    """Request to probe an endpoint.

    Parameters
    ----------
    endpoint : str
        Id of the endpoint.
    """

    endpoint: str


class ReachabilityReply(msgspec.Struct, frozen=True, tag="reached"):
    """Result of a probe of an endpoint.

    Parameters
    ----------
    answered : bool
        Whether the endpoint answered the member.
    """

    answered: bool


class ConfirmationRequest(msgspec.Struct, frozen=True, tag="confirm"):
    """Request for what the store last confirmed to a member.

    Parameters
    ----------
    incarnation : str
        Process that asks.
    asked : tuple of str
        Incarnations of all processes that it asks, empty if it needs only one reply.
    """

    incarnation: str
    asked: tuple[str, ...] = ()


class ConfirmationReply(msgspec.Struct, frozen=True, tag="confirmed"):
    """What the store last confirmed to a member.

    Parameters
    ----------
    age_s : float
        Seconds since the member sent its last read that the store answered.
    registered : bool
        Whether that read showed the asking process as a live member.
    changing : bool
        Whether a change of primary that the member knows of, or a restore of the
        store, may have followed.
    records : dict of str to tuple of GroupRecord and int
        Record of each group with its store revision.
    revision : int
        Store revision of that read.
    incarnation : str
        Process that answered.
    not_asked : tuple of MemberRecord
        Processes known to the member that the request does not name as asked.
    """

    age_s: Seconds
    registered: bool
    changing: bool
    records: dict[str, tuple[GroupRecord, Count]]
    revision: Count = 0
    incarnation: str = ""
    not_asked: tuple[MemberRecord, ...] = ()


class IntroductionRequest(msgspec.Struct, frozen=True, tag="introduce"):
    """Request to take account of a new process that may soon change primaries.

    Parameters
    ----------
    member : MemberRecord
        Registration of the new process.
    """

    member: MemberRecord


class IntroductionReply(msgspec.Struct, frozen=True, tag="introduced"):
    """Reply that the member takes account of the new process.

    Parameters
    ----------
    incarnation : str
        Process that answered.
    """

    incarnation: str


class ReleaseRequest(msgspec.Struct, frozen=True, tag="release"):
    """Request to stop acting as holder of a failover lock that left the store.

    Parameters
    ----------
    token : int
        Fencing token under which the lock was held.
    """

    token: Count


class ReleaseReply(msgspec.Struct, frozen=True, tag="released"):
    """Reply that the member starts nothing more under the fencing token.

    Parameters
    ----------
    stopped : bool
        Whether the changes that it had started have ended as well.
    """

    stopped: bool


class RecordNotice(msgspec.Struct, frozen=True, tag="record"):
    """Notice of a group's record that the store has accepted.

    Parameters
    ----------
    group : str
        Group of the record.
    record : GroupRecord
        Record as written to the store.
    revision : int
        Store revision of the record.
    """

    group: str
    record: GroupRecord
    revision: Count


class RecordAck(msgspec.Struct, frozen=True, tag="noted"):
    """Reply that the member has applied the record."""


class PeerChannel(Protocol):
    """Requests to other members; each raises `PeerError` without an answer."""

    async def fence(self, member: MemberRecord, request: FenceRequest) -> FenceReply:
        """Ask a member to stop using the primaries of earlier epochs."""

    async def send_record(self, member: MemberRecord, notice: RecordNotice) -> None:
        """Send a record to a member, before its watch of the store delivers it."""

    async def probe_endpoint(
        self, member: MemberRecord, request: ReachabilityRequest
    ) -> bool:
        """Return whether an endpoint answers a member."""

    async def release_lock(self, member: MemberRecord, request: ReleaseRequest) -> bool:
        """Ask the last holder of the failover lock to stop; return whether it has."""

    async def request_confirmation(
        self, member: MemberRecord, request: ConfirmationRequest
    ) -> ConfirmationReply:
        """Return what the store last confirmed to a member."""

    async def introduce(
        self, member: MemberRecord, request: IntroductionRequest
    ) -> IntroductionReply:
        """Make a new process known to a member."""


class MemberDirectory:
    """Registered members, and which of them are live.

    Parameters
    ----------
    clock : callable, optional
        Boot time in seconds.
    known_since : float, optional
        Boot time before which processes may have ended unseen, in seconds.

    Attributes
    ----------
    members : dict of str to MemberRecord
        Registered members by name.
    revisions : dict of str to int
        Store revision of each registration.
    alive : set of str
        Names of the live members, whose liveness key is in the store.
    absent_since : dict of str to float
        Boot time at which a registered member was first seen without its key.
    observed_at : dict of str to float
        Boot time at which the present process of each member was first seen.
    version : int
        Incremented whenever the live members may have changed.
    restored_at : float
        Boot time at which the last restore of the store was seen.
    known_before_restore : list of MemberRecord
        Members at that time, whose registrations the store may have lost.
    last_left_at : float
        Boot time at which the last process was seen to have left or been replaced.
    unreadable : set of str
        Names of the members whose registration cannot be used.
    """

    def __init__(
        self,
        clock: Callable[[], float] = boot_time_s,
        known_since: float = float("-inf"),
    ) -> None:
        self.clock = clock
        self.last_left_at = known_since
        self.members: dict[str, MemberRecord] = {}
        self.revisions: dict[str, int] = {}
        self.alive: set[str] = set()
        self.absent_since: dict[str, float] = {}
        self.observed_at: dict[str, float] = {}
        self.version = 0
        self.restored_at = float("-inf")
        self.known_before_restore: list[MemberRecord] = []
        self.unreadable: set[str] = set()

    def observe_restore(self) -> None:
        """Keep the members, which may rely on a confirmation from before a restore."""
        self.restored_at = self.clock()
        self.known_before_restore = list(self.members.values())

    def are_all_known(self) -> bool:
        """Return whether no member unknown to this one can rely on a confirmation.

        A restored store may have lost the registration of a member that this one had
        not seen.
        """
        limit = self.clock() - CONFIRMATION_VALIDITY_S - CLOCK_DRIFT_MARGIN_S
        return self.restored_at <= limit

    def observe(self, member: MemberRecord, revision: int) -> None:
        """Apply a registration; a new process replaces the old one of the same name."""
        if revision <= self.revisions.get(member.name, 0):
            return
        log.info(
            "member observed",
            member=member.name,
            address=member.address,
            incarnation=member.incarnation,
            revision=revision,
        )
        known = self.members.get(member.name)
        if known is not None and known.incarnation != member.incarnation:
            self.last_left_at = self.clock()
        if known is None or known.incarnation != member.incarnation:
            self.observed_at[member.name] = self.clock()
        self.members[member.name] = member
        self.revisions[member.name] = revision
        self.unreadable.discard(member.name)
        self.version += 1
        if member.name not in self.alive:
            # The liveness key follows; without it, the process may not use primaries.
            self.absent_since[member.name] = self.clock()

    def remove(self, name: str) -> None:
        """Apply the removal of a registration."""
        if self.members.pop(name, None) is not None:
            log.info("member left", member=name)
            self.last_left_at = self.clock()
        self.version += 1
        self.revisions.pop(name, None)
        self.unreadable.discard(name)
        self.absent_since.pop(name, None)
        self.observed_at.pop(name, None)

    def observe_unreadable(self, name: str, revision: int) -> None:
        """Apply a registration that cannot be used, in the place of any known one.

        The process that it stood for reads no registration of its own any more, so its
        confirmation expires like that of a member without its liveness key.
        """
        self.revisions[name] = revision
        self.unreadable.add(name)
        self.mark_absent(name)

    def observe_end(self) -> None:
        """Record that a process has ended that is still registered."""
        self.last_left_at = self.clock()

    def mark_alive(self, name: str) -> None:
        """Record that the liveness key of a member is in the store."""
        if name not in self.alive:
            self.version += 1
        self.alive.add(name)
        self.absent_since.pop(name, None)

    def mark_absent(self, name: str) -> None:
        """Record that the liveness key of a member has left the store."""
        self.alive.discard(name)
        self.version += 1
        if name in self.members:
            log.info("member absent", member=name)
            self.absent_since.setdefault(name, self.clock())

    def last_end_at(self) -> float:
        """Return when the last process that needs no fence may have used a primary.

        Returns
        -------
        float
            Boot time in seconds, negative infinity if there was no such process.
        """
        validity_s = CONFIRMATION_VALIDITY_S + CLOCK_DRIFT_MARGIN_S
        expired = [
            since + validity_s
            for since in (self.restored_at, *self.absent_since.values())
            if since + validity_s <= self.clock()
        ]
        return max([self.last_left_at, *expired])

    def members_to_fence(self) -> list[MemberRecord]:
        """Return the members that may rely on a confirmation, so need a fence."""
        limit = self.clock() - CONFIRMATION_VALIDITY_S - CLOCK_DRIFT_MARGIN_S
        registered = [
            member
            for name, member in self.members.items()
            if self.absent_since.get(name, self.clock()) > limit
        ]
        if self.are_all_known():
            return registered
        incarnations = {member.incarnation for member in registered}
        return registered + [
            member
            for member in self.known_before_restore
            if member.incarnation not in incarnations
        ]

    def live_members(self) -> list[MemberRecord]:
        """Return the members whose liveness key is in the store."""
        return [m for name, m in self.members.items() if name in self.alive]
