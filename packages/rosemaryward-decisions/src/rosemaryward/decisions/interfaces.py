"""Interfaces that adapters implement for this package.

The composition root passes the adapters to this package; tests pass fakes.
"""

from collections.abc import AsyncIterator, Awaitable, Callable
from enum import StrEnum
from typing import Annotated, Protocol

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
    """Status that an instance reports about itself.

    Parameters
    ----------
    term : int
        Highest term that the instance has accepted.
    role : InstanceRole
        ``FENCED`` after `InstanceControl.raise_term` until the instance is opened
        for writes or follows a primary.
    received : LogPosition
        Last entry in the instance's log.
    applied : LogPosition
        Last entry that is visible to reads at the instance.
    leaving : bool
        Whether the platform is going to remove the instance.
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
        """Return the status of the instance within `timeout_s` seconds.

        Parameters
        ----------
        wait_for : LogPosition, optional
            Position until whose receipt the instance holds the request.
        timeout_s : float
            Longest time in seconds for which the instance holds the request.

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
            New term, higher than `expected`.
        proposer : str
            Identifies the caller, so that a retry after a lost answer succeeds.

        Returns
        -------
        bool
            False if the instance has a term other than `expected`.
        """

    async def open_writes(self, term: int) -> bool:
        """Make the instance the primary of `term`.

        Returns
        -------
        bool
            False if the instance has another term.
        """

    async def follow(self, term: int, host: str, port: int) -> bool:
        """Make the instance a replica of the primary of `term`.

        The instance adopts `term` and discards log entries that the primary does not
        have.

        Parameters
        ----------
        term : int
        host : str
            Address of the primary.
        port : int
            Port of the primary.

        Returns
        -------
        bool
            False if the instance has a higher term.
        """

    async def aclose(self) -> None:
        """Close the connection."""


class StatementConnection(Protocol):
    """Connection to an instance that runs one statement at a time."""

    async def execute(self, sql: str, timeout_s: float) -> StatementResult:
        """Run one statement.

        Parameters
        ----------
        sql : str
        timeout_s : float
            Longest time in seconds for the statement.

        Raises
        ------
        StatementError
            If the instance reports an SQL error.
        NotRunError
            If the instance refused the statement before it ran.
        OutcomeUnknownError
            If the connection was lost or `timeout_s` passed after the statement was
            sent. The connection is no longer usable.
        """

    async def reset(self) -> None:
        """Roll back the transaction and clear session state before reuse."""

    async def aclose(self) -> None:
        """Close the connection."""


class VersionedValue(msgspec.Struct, frozen=True):
    """Value in the store with the version for compare-and-swap."""

    key: str
    value: bytes
    version: int


class Store(Protocol):
    """The platform's key-value service.

    Every method raises `StoreError` if the service does not answer in time.
    """

    async def get(self, key: str) -> VersionedValue | None:
        """Return the value of `key`, or None if there is none."""

    async def list(self, prefix: str) -> list[VersionedValue]:
        """Return all values whose keys start with `prefix`."""

    async def compare_and_swap(self, key: str, value: bytes, version: int) -> int:
        """Replace the value if it has the expected version.

        After a lost answer, the value is read back to find out whether it was written.

        Parameters
        ----------
        key : str
        value : bytes
            New value.
        version : int
            Expected version, 0 if the key must not exist.

        Returns
        -------
        int
            Version of the new value.

        Raises
        ------
        ConflictError
            If the stored value has another version.
        """

    def watch(self, key: str) -> AsyncIterator[VersionedValue]:
        """Yield the value of `key` after every change until the watch fails."""


Port = Annotated[int, msgspec.Meta(ge=0, le=65_535)]


class ListedHost(msgspec.Struct, frozen=True):
    """Host in the platform's host list, which may be minutes old."""

    host_id: str
    host: str
    statement_port: Port
    gossip_port: Port
    region: str
    failure_domain: str
    leaving: bool = False


class HostList(Protocol):
    """The platform's list of the system's hosts, which is updated with a delay."""

    async def fetch(self) -> list[ListedHost]:
        """Return the list; raise `StoreError` if it cannot be read."""


StatementHandler = Callable[[str, StatementRequest], Awaitable[StatementReply]]
"""Handles a request from the proxy with the given host id."""


class StatementChannel(Protocol):
    """Statement requests to other proxies, multiplexed on one connection per proxy."""

    async def request(
        self, target: Member, message: StatementRequest, timeout_s: float
    ) -> StatementReply:
        """Send a request and return its reply.

        Parameters
        ----------
        target : Member
            Proxy that receives the request.
        message : StatementRequest
        timeout_s : float
            Longest wait for the reply in seconds.

        Raises
        ------
        NotRunError
            If the request was certainly not delivered.
        OutcomeUnknownError
            If the connection was lost or the timeout passed before the reply.
        """


GossipHandler = Callable[[GossipRequest], Awaitable[GossipReply]]
"""Handles a gossip request."""


class GossipChannel(Protocol):
    """Gossip requests to other proxies."""

    async def request(
        self, target: Member, message: GossipRequest, timeout_s: float
    ) -> GossipReply:
        """Send a request and return its reply.

        Parameters
        ----------
        target : Member
            Proxy that receives the request.
        message : GossipRequest
        timeout_s : float
            Longest wait for the reply in seconds.

        Raises
        ------
        PeerError
            If no reply arrives in time.
        """
