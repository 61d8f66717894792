"""The other owners' opinion on whether an instance is reachable."""

from collections.abc import Sequence
from math import inf
from typing import Protocol

import anyio

from rosemaryward.decisions.messages import ReachabilityReply
from rosemaryward.decisions.types import EndpointId, Place

__all__ = ["ReachabilityClient", "Opinions"]

ASK_INTERVAL_S = 0.05
LONG_ASK_INTERVAL_S = 0.5  # once the others have disagreed for a while
PATIENCE_S = 2.0
VALIDITY_S = 0.3  # longer than the last request before a suspicion lacks an answer
ASK_TIMEOUT_S = 0.5
SINGLE_DOMAIN_S = 2.0


class ReachabilityClient(Protocol):
    """Asks the other owners of a database's instances."""

    async def query(self, endpoint: EndpointId) -> list[ReachabilityReply]:
        """Return the answers that arrive in time; missing ones are absent.

        A short timeout, about 0.15 s, keeps a failed owner from delaying a
        promotion.
        """


class Opinions:
    """Asks whether others agree that an instance has failed.

    Parameters
    ----------
    reachability_client : ReachabilityClient
    place : Place
        Where this process runs.
    """

    __slots__ = (
        "_agreed_at",
        "_asked_at",
        "_endpoint",
        "_first_asked_at",
        "_since",
        "owners",
        "place",
        "reachability_client",
    )

    def __init__(self, reachability_client: ReachabilityClient, place: Place) -> None:
        self.reachability_client = reachability_client
        self.place = place
        self.owners: Sequence[Place] = ()
        self._endpoint: EndpointId | None = None
        self._asked_at = -inf
        self._first_asked_at = -inf
        self._agreed_at: float | None = None
        self._since = 0.0

    async def agreed_since(self, endpoint: EndpointId) -> float | None:
        """Return the time since which the others agree, or None if they do not."""
        now = anyio.current_time()
        if endpoint != self._endpoint or now - self._asked_at > PATIENCE_S:
            self._endpoint = endpoint
            self._agreed_at = None
            self._first_asked_at = now
            self._asked_at = -inf
        disagreed_s = now - self._first_asked_at if self._agreed_at is None else 0.0
        interval_s = ASK_INTERVAL_S
        if disagreed_s > PATIENCE_S:
            interval_s = LONG_ASK_INTERVAL_S
        if now - self._asked_at >= interval_s:
            self._asked_at = now
            await self._update(endpoint)
        agreed_at = self._agreed_at
        if agreed_at is None or anyio.current_time() - agreed_at > VALIDITY_S:
            return None
        return self._since

    async def _update(self, endpoint: EndpointId) -> None:
        asked_at, agreed_at = self._asked_at, self._agreed_at
        if not await self._ask(endpoint):
            self._agreed_at = None
            return
        if agreed_at is None or asked_at - agreed_at > VALIDITY_S:
            self._since = anyio.current_time()
        self._agreed_at = asked_at

    async def _ask(self, endpoint: EndpointId) -> bool:
        replies: list[ReachabilityReply] = []
        with anyio.move_on_after(ASK_TIMEOUT_S):
            replies = await self.reachability_client.query(endpoint)
        return self.is_agreement([reply for reply in replies if reply.monitored])

    def is_agreement(self, replies: Sequence[ReachabilityReply]) -> bool:
        """Return whether at least two owners, and all that answer, lack answers.

        If the owners run in several failure domains, two of those that lack
        answers must not share one, because a fault of the network inside a
        failure domain looks the same to all owners there.
        """
        if not replies or any(reply.reached for reply in replies):
            return False
        witnesses = {reply.place for reply in replies} | {self.place}
        return len(witnesses) > 1 or len(witnesses | set(self.owners)) == 1

    def patience_s(self) -> float:
        """Return how long an agreement must last before it is acted on.

        Owners that see members of their own failure domain only may be the ones
        that are cut off. When the cut heals, they hear the other instances one by
        one, and the primary perhaps last.
        """
        places = {self.place, *self.owners}
        return SINGLE_DOMAIN_S if self.owners and len(places) == 1 else 0.0
