"""Interfaces of other packages that the entry and owner paths use."""

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
    """Slot held by a statement, or by a transaction also between its statements."""

    samples_latency: bool
    started_at: float

    @property
    def waited_s(self) -> float:
        """Time in seconds spent in the queue."""

    def release(self, completed: bool) -> None:
        """Free the slot; `completed` tells if the time held is a service time."""


class Admission(Protocol):
    """Admission queue of one endpoint."""

    slots: int
    queued: int

    def slot(
        self, rank: Rank, caller: str, tenant: str, deadline_s: float
    ) -> AbstractAsyncContextManager[HeldSlot]:
        """Return a context manager that holds a slot; raises `OverloadError`."""

    def estimated_waits_s(self) -> dict[Rank, float]:
        """Return the estimated wait in seconds of a new statement by rank."""


class ConnectionSource(Protocol):
    """Pool of statement connections to one endpoint."""

    async def take(self, timeout_s: float) -> StatementConnection:
        """Acquire a connection; raises `NotRunError` if none is free in time."""

    async def give_back(
        self, connection: Any, used_by_transaction: bool = False
    ) -> None:
        """Release a connection, reset if a transaction used it."""


class Group(Protocol):
    """State of one database group, the instances of a database."""

    @property
    def primary(self) -> PrimaryRecord | None:
        """Newest known primary, None if none is known."""

    def status_of(self, instance: str) -> InstanceStatus | None:
        """Return the last status of an instance, None if there is none."""

    def leaving_s(self, instance: str) -> float:
        """Return for how many seconds an instance is known to leave, 0 if it stays."""

    def holds_read_lease(self, instance: str) -> bool:
        """Return whether a majority confirmed the instance's term recently."""

    async def confirm_write(
        self, instance: str, term: int, deadline_s: float
    ) -> LogPosition:
        """Wait until a majority has received all writes of the instance.

        Raises
        ------
        OutcomeUnknownError
            If the instance is not the primary of `term` any more or the time passed.
        """

    async def read_index(self, instance: str, deadline_s: float) -> LogPosition:
        """Return a position at or after every write acknowledged before the call."""

    async def wait_applied(
        self, instance: str, minimum: LogPosition, timeout_s: float
    ) -> InstanceStatus:
        """Wait until the instance applied a position; raises `ReplicaBehindError`."""

    def staleness_s(self, instance: str) -> float:
        """Return the staleness of the instance's data in seconds."""

    def reachability(self, endpoint: EndpointId) -> ReachabilityReply:
        """Return whether the endpoint answers this proxy."""


class Directory(Protocol):
    """Owners of endpoints and primaries of databases."""

    def owner_of(self, endpoint: EndpointId) -> Member | None:
        """Return the member that owns the endpoint, None if unknown."""

    def primary_of(self, database: str) -> str:
        """Return the name of the primary instance, empty if unknown."""

    async def primary_changed(self, database: str) -> None:
        """Wait for the next change of the database's primary."""


class Requester(Protocol):
    """Sends requests to members; those to this proxy are handled locally."""

    async def request(
        self, target: Member, message: StatementRequest, timeout_s: float
    ) -> StatementReply:
        """Return the reply; raises `NotRunError` or `OutcomeUnknownError`."""
