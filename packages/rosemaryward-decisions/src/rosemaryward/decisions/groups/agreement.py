"""Agreement with the other owners that an instance has failed."""

from collections.abc import Sequence
from math import inf
from typing import Protocol

import anyio

from rosemaryward.decisions.messages import ReachabilityReply
from rosemaryward.decisions.types import EndpointId, Place

__all__ = ["FailureAgreement", "ReachabilityClient"]

QUERY_INTERVAL_S = 0.05
SLOW_QUERY_INTERVAL_S = 0.5  # after FAST_QUERY_PERIOD_S without agreement
FAST_QUERY_PERIOD_S = 2.0
# Longer than the last request before a suspicion remains unanswered.
AGREEMENT_VALIDITY_S = 0.3
QUERY_TIMEOUT_S = 0.5
SINGLE_DOMAIN_DELAY_S = 2.0


class ReachabilityClient(Protocol):
    """Queries the other owners of a database's instances."""

    async def query(self, endpoint: EndpointId) -> list[ReachabilityReply]:
        """Return the replies that arrive in time, without those that are missing.

        A short timeout, about 0.15 s, keeps a failed owner from delaying a
        promotion.
        """


class FailureAgreement:
    """Tracks whether the other owners agree that an instance has failed.

    Parameters
    ----------
    reachability_client : ReachabilityClient
    place : Place
        Region and failure domain of this process.

    Attributes
    ----------
    owners : sequence of Place
        Places of all owners of the group, empty if not known yet.
    """

    __slots__ = (
        "_agreed_at",
        "_agreed_since",
        "_endpoint",
        "_first_queried_at",
        "_queried_at",
        "owners",
        "place",
        "reachability_client",
    )

    def __init__(self, reachability_client: ReachabilityClient, place: Place) -> None:
        self.reachability_client = reachability_client
        self.place = place
        self.owners: Sequence[Place] = ()
        self._endpoint: EndpointId | None = None
        self._queried_at = -inf
        self._first_queried_at = -inf
        self._agreed_at: float | None = None
        self._agreed_since = 0.0

    async def agreed_since(self, endpoint: EndpointId) -> float | None:
        """Return when the current agreement began, or None if there is none.

        The result is an event-loop time in seconds.
        """
        now = anyio.current_time()
        if endpoint != self._endpoint or now - self._queried_at > FAST_QUERY_PERIOD_S:
            self._endpoint = endpoint
            self._agreed_at = None
            self._first_queried_at = now
            self._queried_at = -inf
        disagreed_s = now - self._first_queried_at if self._agreed_at is None else 0.0
        interval_s = QUERY_INTERVAL_S
        if disagreed_s > FAST_QUERY_PERIOD_S:
            interval_s = SLOW_QUERY_INTERVAL_S
        if now - self._queried_at >= interval_s:
            self._queried_at = now
            await self._update(endpoint)
        agreed_at = self._agreed_at
        if agreed_at is None or anyio.current_time() - agreed_at > AGREEMENT_VALIDITY_S:
            return None
        return self._agreed_since

    async def _update(self, endpoint: EndpointId) -> None:
        queried_at, agreed_at = self._queried_at, self._agreed_at
        if not await self._query(endpoint):
            self._agreed_at = None
            return
        if agreed_at is None or queried_at - agreed_at > AGREEMENT_VALIDITY_S:
            self._agreed_since = anyio.current_time()
        self._agreed_at = queried_at

    async def _query(self, endpoint: EndpointId) -> bool:
        replies: list[ReachabilityReply] = []
        with anyio.move_on_after(QUERY_TIMEOUT_S):
            replies = await self.reachability_client.query(endpoint)
        return self.is_agreement([reply for reply in replies if reply.monitored])

    def is_agreement(self, replies: Sequence[ReachabilityReply]) -> bool:
        """Return whether the replies show that the instance has failed.

        This process and at least one other owner must get no answers from the
        instance, and no owner that replies may reach it. If the owners run in
        several failure domains, those without answers must run in at least two,
        because all owners in a failure domain see the same network fault there.
        """
        if not replies or any(reply.reached for reply in replies):
            return False
        witnesses = {reply.place for reply in replies} | {self.place}
        return len(witnesses) > 1 or len(witnesses | set(self.owners)) == 1

    def required_duration_s(self) -> float:
        """Return for how long an agreement must last before a promotion, in seconds.

        If all known owners run in one failure domain, that domain may itself be cut
        off. When the partition heals, the owners reach the instances one after
        another, and possibly the primary last.
        """
        places = {self.place, *self.owners}
        return SINGLE_DOMAIN_DELAY_S if self.owners and len(places) == 1 else 0.0
