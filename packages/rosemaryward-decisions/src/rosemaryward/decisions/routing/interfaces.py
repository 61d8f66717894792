"""Interfaces that the entry and owner paths use of the other decisions."""

from contextlib import AbstractAsyncContextManager
from typing import Any, Protocol

from rosemaryward.decisions.interfaces import InstanceStatus, StatementConnection
from rosemaryward.decisions.messages import (
    Member,
    PrimaryRecord,
    ReachabilityReply,
    StatementReply,
    StatementRequest,
)
from rosemaryward.decisions.types import EndpointId, LogPosition, Rank

__all__ = [
    "Admission",
    "HeldSlot",
    "ConnectionSource",
    "Group",
    "Directory",
    "Requester",
]


class HeldSlot(Protocol):
    """Slot for a statement, or for a transaction between its statements."""

    samples_latency: bool
    started_at: float

    @property
    def waited_s(self) -> float:
        """Time in the queue."""

    def release(self, completed: bool) -> None:
        """Give the slot back."""


class Admission(Protocol):
    """Admission queue of one endpoint."""

    slots: int
    queued: int

    def slot(
        self, rank: Rank, caller: str, tenant: str, deadline_s: float
    ) -> AbstractAsyncContextManager[HeldSlot]:
        """Wait for a slot; raises `OverloadError`."""

    def estimated_waits_s(self) -> dict[Rank, float]:
        """Return the estimated wait by rank."""


class ConnectionSource(Protocol):
    """Pool of statement connections to one endpoint."""

    async def take(self, timeout_s: float) -> StatementConnection:
        """Lend a connection; raises `NotRunError`."""

    async def give_back(
        self, connection: Any, used_by_transaction: bool = False
    ) -> None:
        """Return a connection."""


class Group(Protocol):
    """Supervision of one database's instances."""

    @property
    def primary(self) -> PrimaryRecord | None:
        """Newest known primary."""

    def status_of(self, instance: str) -> InstanceStatus | None:
        """Return the last status of an instance."""

    def holds_read_lease(self, instance: str) -> bool:
        """Tell whether a majority confirmed the instance's term lately."""

    async def confirm_write(
        self, instance: str, term: int, deadline_s: float
    ) -> LogPosition:
        """Wait until a majority has received all that the instance has written."""

    async def read_index(self, instance: str, deadline_s: float) -> LogPosition:
        """Return a position at or past every write acknowledged before the call."""

    async def wait_applied(
        self, instance: str, minimum: LogPosition, timeout_s: float
    ) -> InstanceStatus:
        """Wait until the instance has applied a position; raises `BehindError`."""

    def staleness_s(self, instance: str) -> float:
        """Return the age of the instance's data."""

    def reachability(self, endpoint: EndpointId) -> ReachabilityReply:
        """Tell whether the endpoint answers this proxy."""


class Directory(Protocol):
    """Who owns endpoints and which instances are primaries."""

    def owner_of(self, endpoint: EndpointId) -> Member | None:
        """Return the member that owns the endpoint."""

    def primary_of(self, database: str) -> str:
        """Return the primary's instance, empty if unknown."""

    async def primary_changed(self, database: str) -> None:
        """Wait for the next change of the database's primary."""


class Requester(Protocol):
    """Sends a request to a member, or handles it here if that is this proxy."""

    async def request(
        self, target: Member, message: StatementRequest, timeout_s: float
    ) -> StatementReply:
        """Return the reply; raises `NotRunError` or `OutcomeUnknownError`."""
