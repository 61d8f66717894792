"""Members of the fleet as registered in the store, and requests between them."""

from collections.abc import Callable
from typing import Protocol

import msgspec
import structlog

from rosemaryward.decisions.clock import boot_time_s
from rosemaryward.decisions.leadership.records import CONFIRMATION_S
from rosemaryward.decisions.types import LogPosition

__all__ = [
    "FenceReply",
    "FenceRequest",
    "MemberDirectory",
    "MemberRecord",
    "PeerChannel",
    "ReachReply",
    "ReachRequest",
]

log = structlog.get_logger(__name__)


class MemberRecord(msgspec.Struct, frozen=True):
    """A running proxy.

    Parameters
    ----------
    name : str
    address : str
        ``host:port`` for requests of other members.
    incarnation : str
        Differs between two processes of the same name.
    """

    name: str
    address: str
    incarnation: str


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


class ReachRequest(msgspec.Struct, frozen=True, tag="reach"):
    """Report whether an endpoint answers."""

    endpoint: str


class ReachReply(msgspec.Struct, frozen=True, tag="reached"):
    """Whether the endpoint answered the member."""

    answered: bool


class PeerChannel(Protocol):
    """Requests to other members; every method raises `PeerError`."""

    async def fence(self, member: MemberRecord, request: FenceRequest) -> FenceReply:
        """Ask a member to stop using a primary."""

    async def reaches(self, member: MemberRecord, request: ReachRequest) -> bool:
        """Ask a member whether an endpoint answers."""


class MemberDirectory:
    """Members known now or a short while ago.

    A member whose key vanished may still rely on a confirmation, because the platform
    can take keys back without the member knowing. It counts until no confirmation
    that it can have is left.

    Parameters
    ----------
    clock : callable, optional
    """

    def __init__(self, clock: Callable[[], float] = boot_time_s) -> None:
        self.clock = clock
        self.members: dict[str, MemberRecord] = {}
        self.vanished: dict[str, tuple[MemberRecord, float]] = {}
        self.started_at = clock()

    def observe(self, member: MemberRecord) -> None:
        """Add a member; a new process of the same name replaces the old one."""
        if self.members.get(member.name) == member:
            return
        log.info("member observed", member=member.name, address=member.address)
        self.members[member.name] = member
        self.vanished.pop(member.name, None)

    def lose(self, name: str) -> None:
        """Note that a member's key was removed."""
        member = self.members.pop(name, None)
        if member is not None:
            log.info("member key removed", member=name)
            self.vanished[name] = (member, self.clock())

    def may_use_primaries(self) -> list[MemberRecord]:
        """Return the members that may hold a confirmation."""
        limit = self.clock() - CONFIRMATION_S
        for name, (_, since) in list(self.vanished.items()):
            if since <= limit:
                del self.vanished[name]
        return [*self.members.values(), *(m for m, _ in self.vanished.values())]

    @property
    def complete(self) -> bool:
        """Whether no member can be unknown that still holds a confirmation."""
        return self.clock() >= self.started_at + CONFIRMATION_S
