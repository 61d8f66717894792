"""Requests to owners, handled here or sent to another proxy."""

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

__all__ = ["GroupAsker", "OwnerRequester"]

REACHABILITY_TIMEOUT_S = 0.15  # longer, an owner that has failed delays a promotion


class OwnerRequester:
    """Sends requests to members; implements `Requester`.

    Parameters
    ----------
    host_id : str
        Name of this proxy, whose own requests take no channel.
    channel : StatementChannel
    handler : StatementHandler
        Handles requests for endpoints owned here.
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
        """Return the reply of a member."""
        if target.host_id == self.host_id:
            return await self.handler(self.host_id, message)
        return await self.channel.request(target, message, timeout_s)


class GroupAsker:
    """Asks the other owners of a database whether they reach an endpoint.

    Parameters
    ----------
    host_id : str
    channel : StatementChannel
    owners : callable
        Returns the owners of a database.
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
        """Return the answers that arrive in time."""
        replies: list[ReachabilityReply] = []
        async with anyio.create_task_group() as group:
            for member in self.owners(endpoint.database):
                if member.host_id == self.host_id:
                    continue  # the own opinion must not count as another's
                group.start_soon(self._ask_one, member, endpoint, replies)
        return replies

    async def _ask_one(
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
