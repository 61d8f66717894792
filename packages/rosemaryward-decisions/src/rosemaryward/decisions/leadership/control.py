"""What a change of primary asks of the endpoints and of the platform."""

from typing import Protocol

import msgspec

from rosemaryward.decisions.types import LogPosition

__all__ = ["EndpointControl", "EndpointStatus", "Promoter"]


class EndpointStatus(msgspec.Struct, frozen=True):
    """State of an endpoint as it reports it.

    Parameters
    ----------
    is_primary : bool
        Whether it sees itself as the primary.
    term : int
    received : LogPosition
        Newest entry that it has received.
    held_term : int
        Term for which it receives nothing, 0 if it receives.
    lag_s : float
        Delay between receiving and applying.
    connections : int
        Connections of all callers.
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
        """Stop a replica from receiving, so that it confirms no more commits."""

    async def release(self, endpoint_id: str) -> EndpointStatus:
        """Let a replica receive again."""

    async def demote(self, endpoint_id: str, term: int) -> EndpointStatus:
        """Make a primary of a lower term a replica."""


class Promoter(Protocol):
    """The platform's promotion call."""

    async def promote(
        self, group: str, endpoint_id: str, holder: str, token: int
    ) -> bool:
        """Ask for an endpoint to lead; idempotent for the same endpoint.

        Returns
        -------
        bool
            False if the platform says that the endpoint cannot lead.

        Raises
        ------
        StoreError
            If no answer came.
        """
