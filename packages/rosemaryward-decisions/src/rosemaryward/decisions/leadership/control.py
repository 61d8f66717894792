"""Interfaces through which a change of primary controls endpoints and platform."""

from typing import Protocol

import msgspec

from rosemaryward.decisions.types import LogPosition

__all__ = ["EndpointControl", "EndpointStatus", "Promoter"]


class EndpointStatus(msgspec.Struct, frozen=True):
    """State that an endpoint reports.

    Parameters
    ----------
    is_primary : bool
        Whether the endpoint considers itself the primary.
    term : int
        Current term of the endpoint.
    received : LogPosition
        Position of the newest log entry that it has received.
    held_term : int
        Term for which its replication is paused, 0 if it receives entries.
    lag_s : float
        Delay between receiving and applying an entry, in seconds.
    connections : int
        Number of its connections, those of all callers.
    """

    is_primary: bool
    term: int
    received: LogPosition
    held_term: int
    lag_s: float
    connections: int


class EndpointControl(Protocol):
    """Control of endpoints; every method raises `EndpointError` without an answer."""

    async def status(self, endpoint_id: str) -> EndpointStatus:
        """Return the endpoint's state."""

    async def hold(self, endpoint_id: str, term: int) -> EndpointStatus:
        """Pause a replica's replication for a term, so that it confirms no commits."""

    async def release(self, endpoint_id: str) -> EndpointStatus:
        """Resume a replica's replication."""

    async def demote(self, endpoint_id: str, term: int) -> EndpointStatus:
        """Turn the endpoint into a replica if it is a primary of a lower term."""

    async def answers(self, group: str, endpoint_id: str, address: str) -> bool:
        """Return whether an endpoint that need not be registered accepts a connection.

        Raises no error: an endpoint without an answer, or another one at the address,
        does not.
        """


class Promoter(Protocol):
    """The platform's promotion call."""

    async def promote(
        self, group: str, endpoint_id: str, holder: str, token: int
    ) -> bool:
        """Ask the platform to promote an endpoint; idempotent for the same one.

        Parameters
        ----------
        group : str
            Group of the endpoint.
        endpoint_id : str
            Endpoint to promote.
        holder : str
            Name of the proxy that holds the failover lock.
        token : int
            Fencing token of the holder.

        Returns
        -------
        bool
            False if the platform answers that the endpoint cannot be promoted.

        Raises
        ------
        StoreError
            If the platform does not answer.
        """
