"""Interfaces between the decisions and the adapters.

The composition root passes an implementation of each to the decisions; tests
pass small fakes.
"""

from collections.abc import AsyncIterator, Awaitable, Callable
from enum import StrEnum
from typing import Protocol

import msgspec

from rosemaryward.decisions.messages import (
    GossipReply,
    GossipRequest,
    Member,
    StatementReply,
    StatementRequest,
    StatementResult,
)
from rosemaryward.decisions.types import LogPosition

__all__ = [
    "InstanceRole",
    "InstanceStatus",
    "InstanceControl",
    "StatementConnection",
    "VersionedValue",
    "Store",
    "ListedHost",
    "HostList",
    "StatementChannel",
    "StatementHandler",
    "GossipChannel",
    "GossipHandler",
]


class InstanceRole(StrEnum):
    """Role of an instance in its database group."""

    PRIMARY = "primary"
    REPLICA = "replica"
    FENCED = "fenced"


class InstanceStatus(msgspec.Struct, frozen=True):
    """Status that an instance reports of itself.

    Parameters
    ----------
    term : int
        Highest term that the instance has accepted.
    role : InstanceRole
        ``FENCED`` after `InstanceControl.raise_term` until the instance opens
        for writes or follows a primary.
    received : LogPosition
        Last entry in the instance's log.
    applied : LogPosition
        Last entry that reads at the instance can see.
    leaving : bool
        Whether the platform is about to remove the instance.
    """

    term: int
    role: InstanceRole
    received: LogPosition
    applied: LogPosition
    leaving: bool = False


class InstanceControl(Protocol):
    """Control connection to one instance; does not use a statement slot."""

    async def status(
        self, wait_for: LogPosition | None = None, timeout_s: float = 1.0
    ) -> InstanceStatus:
        """Return the status, at the latest after `timeout_s` seconds.

        Parameters
        ----------
        wait_for : LogPosition, optional
            Answer as soon as the instance has received this position.
        timeout_s : float
            Longest wait in seconds.

        Raises
        ------
        EndpointError
            If the instance does not answer.
        """

    async def raise_term(self, expected: int, new: int, proposer: str) -> bool:
        """Raise the term by compare-and-set and stop writes of lower terms.

        Parameters
        ----------
        expected : int
            Term that the instance must have.
        new : int
            Greater term.
        proposer : str
            Identifies the caller, so that a repeat after a lost answer succeeds.

        Returns
        -------
        bool
            False if the instance has another term than `expected`.
        """

    async def open_writes(self, term: int) -> bool:
        """Make the instance the primary of `term`; False if its term differs."""

    async def follow(self, term: int, host: str, port: int) -> bool:
        """Replicate from the primary of `term`; False if the instance's term is higher.

        The instance adopts `term` and discards log entries that the primary
        does not have.
        """

    async def aclose(self) -> None:
        """Close the connection."""


class StatementConnection(Protocol):
    """Connection to an instance that runs one statement at a time."""

    async def execute(self, sql: str, timeout_s: float) -> StatementResult:
        """Run one statement.

        Raises
        ------
        StatementError
            If the instance reports an SQL error.
        NotRunError
            If the instance refused the statement before it ran.
        OutcomeUnknownError
            If the connection broke or `timeout_s` passed after the statement was
            sent. The connection is not usable any more.
        """

    async def reset(self) -> None:
        """Roll back and clear session state before reuse."""

    async def aclose(self) -> None:
        """Close the connection."""


class VersionedValue(msgspec.Struct, frozen=True):
    """A value in the store and the version that compare-and-swap uses."""

    key: str
    value: bytes
    version: int


class Store(Protocol):
    """The platform's key-value service.

    Every method raises `StoreError` if the service does not answer in time.
    """

    async def get(self, key: str) -> VersionedValue | None:
        """Return the value, or None if there is none."""

    async def list(self, prefix: str) -> list[VersionedValue]:
        """Return all values whose keys start with `prefix`."""

    async def compare_and_swap(self, key: str, value: bytes, version: int) -> int:
        """Replace the value if it has `version` (0: must not exist).

        A lost answer is settled by reading the value back.

        Returns
        -------
        int
            The new version.

        Raises
        ------
        ConflictError
            If the version differs.
        """

    def watch(self, key: str) -> AsyncIterator[VersionedValue]:
        """Yield the value at every change until the watch fails."""


class ListedHost(msgspec.Struct, frozen=True):
    """A host in the platform's list, which may be minutes old."""

    host_id: str
    host: str
    statement_port: int
    gossip_port: int
    region: str
    failure_domain: str
    leaving: bool = False


class HostList(Protocol):
    """The platform's lagging list of hosts of this system."""

    async def fetch(self) -> list[ListedHost]:
        """Return the list; raises `StoreError` if it cannot be read."""


StatementHandler = Callable[[str, StatementRequest], Awaitable[StatementReply]]
"""Handles a request of the proxy with the given host id."""


class StatementChannel(Protocol):
    """Requests to other proxies, multiplexed on one connection per proxy."""

    async def request(
        self, target: Member, message: StatementRequest, timeout_s: float
    ) -> StatementReply:
        """Send a request and return its answer.

        Raises
        ------
        NotRunError
            If the request was certainly not delivered.
        OutcomeUnknownError
            If the connection broke or the time passed before the answer.
        """


GossipHandler = Callable[[GossipRequest], Awaitable[GossipReply]]


class GossipChannel(Protocol):
    """Small request-reply messages between proxies."""

    async def request(
        self, target: Member, message: GossipRequest, timeout_s: float
    ) -> GossipReply:
        """Send a message and return the answer; raises `PeerError`."""
