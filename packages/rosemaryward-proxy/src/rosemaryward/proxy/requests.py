"""Requests to the owners of endpoints, in this process or in other proxies."""

from collections.abc import Callable

import anyio

from rosemaryward.decisions.errors import NotRunError, OutcomeUnknownError
from rosemaryward.decisions.interfaces import StatementChannel, StatementHandler
from rosemaryward.decisions.messages import (
    Member,
    ReachabilityReply,
    ReachabilityRequest,
    StatementReply,
    StatementRequest,
)
from rosemaryward.decisions.types import EndpointId

__all__ = ["ReachabilityQuerier", "OwnerRequester"]

REACHABILITY_TIMEOUT_S = 0.15  # bounds the delay of a promotion by a failed owner


class OwnerRequester:
    """Sends requests to members; implements `Requester`.

    Parameters
    ----------
    host_id : str
        Name of this proxy; requests to itself do not use the channel.
    channel : StatementChannel
        Sends requests to other proxies.
    handler : StatementHandler
        Handles requests for endpoints owned by this proxy.
    """

    __slots__ = ("channel", "handler", "host_id")

    def __init__(
        self, host_id: str, channel: StatementChannel, handler: StatementHandler
    ) -> None:
        self.host_id = host_id
        self.channel = channel
        self.handler = handler

    async def request(
        self, target: Member, message: StatementRequest, timeout_s: float
    ) -> StatementReply:
        """Send a request to a member and return its reply."""
        if target.host_id == self.host_id:
            return await self.handler(self.host_id, message)
        return await self.channel.request(target, message, timeout_s)


class ReachabilityQuerier:
    """Asks the other owners of a database whether they reach an endpoint.

    Parameters
    ----------
    host_id : str
        Name of this proxy.
    channel : StatementChannel
        Sends requests to other proxies.
    owners : callable
        Returns the members that own an instance of a database.
    """

    __slots__ = ("channel", "host_id", "owners")

    def __init__(
        self,
        host_id: str,
        channel: StatementChannel,
        owners: Callable[[str], list[Member]],
    ) -> None:
        self.host_id = host_id
        self.channel = channel
        self.owners = owners

    async def query(self, endpoint: EndpointId) -> list[ReachabilityReply]:
        """Return the replies that arrive within `REACHABILITY_TIMEOUT_S`."""
        replies: list[ReachabilityReply] = []
        async with anyio.create_task_group() as group:
            for member in self.owners(endpoint.database):
                if member.host_id == self.host_id:
                    continue  # this proxy's own view must not count as a second one
                group.start_soon(self._query_member, member, endpoint, replies)
        return replies

    async def _query_member(
        self, member: Member, endpoint: EndpointId, replies: list[ReachabilityReply]
    ) -> None:
        try:
            reply = await self.channel.request(
                member, ReachabilityRequest(endpoint), REACHABILITY_TIMEOUT_S
            )
        except (NotRunError, OutcomeUnknownError):
            return
        if isinstance(reply, ReachabilityReply):
            replies.append(reply)
