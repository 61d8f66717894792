"""Choice of the endpoint that runs a statement."""

from collections.abc import Callable

import msgspec

from rosemaryward.decisions.clock import boot_time_s
from rosemaryward.decisions.freshness import PositionSamples
from rosemaryward.decisions.gateway.connections import EndpointPool
from rosemaryward.decisions.gateway.directory import (
    SAME_DOMAIN,
    EndpointDirectory,
    distance,
)
from rosemaryward.decisions.gateway.environment import ReadPolicy, Route
from rosemaryward.decisions.gateway.outcomes import Answer, Failure
from rosemaryward.decisions.leadership.records import GroupRecord, Leadership
from rosemaryward.decisions.types import LogPosition, Place

__all__ = ["Target", "TargetSelector"]

STALENESS_MARGIN_S = 0.02  # clocks of the sample and of the read are read apart
BEHIND_PAUSE_S = 0.1
BEHIND_LIMIT_S = 0.8  # a replica that stays behind costs a round trip each time


class Target(msgspec.Struct, frozen=True):
    """Endpoint chosen for a statement.

    Parameters
    ----------
    pool : EndpointPool
    record : GroupRecord, optional
        Record that makes the endpoint the primary; None for a replica.
    min_position : LogPosition, optional
        Position that a replica must have.
    """

    pool: EndpointPool
    record: GroupRecord | None = None
    min_position: LogPosition | None = None


class TargetSelector:
    """Chooses endpoints by route, freshness and distance.

    Parameters
    ----------
    directory : EndpointDirectory
    leadership : Leadership
    place : Place
        Where this proxy runs.
    clock : callable, optional
    find_pool : callable, optional
        Returns the pool through which statements reach an endpoint.
    """

    def __init__(
        self,
        directory: EndpointDirectory,
        leadership: Leadership,
        place: Place,
        clock: Callable[[], float] = boot_time_s,
        find_pool: Callable[[str], EndpointPool | None] | None = None,
    ) -> None:
        self.find_pool = find_pool or directory.pools.get
        self.directory = directory
        self.leadership = leadership
        self.place = place
        self.clock = clock
        self.samples: dict[str, PositionSamples] = {}
        self.behind_until: dict[str, float] = {}
        self.behind_s: dict[str, float] = {}

    def primary(self, group: str) -> Target | None:
        """Return the primary, or None if none may be used now."""
        record = self.leadership.primary(group)
        if record is None:
            return None
        pool = self.find_pool(record.primary)
        if pool is None or pool.suspect:
            return None
        return Target(pool, record)

    def read(
        self,
        route: Route,
        received_at: float,
        session_position: LogPosition,
        tried: set[str],
    ) -> Target | None:
        """Return where a read may run.

        Parameters
        ----------
        route : Route
        received_at : float
            Boot time at which the read, or its transaction, was received.
        session_position : LogPosition
            Newest commit of the session.
        tried : set of str
            Endpoints that could not run it.

        Returns
        -------
        Target or None
            None if no endpoint is known to be fresh enough.
        """
        primary = self.primary(route.group)
        if primary is not None and primary.pool.endpoint.id in tried:
            primary = None
        if route.policy is ReadPolicy.PRIMARY:
            return primary
        if primary is not None and self._prefers(primary.pool):
            return primary
        required = self._required(route, received_at, session_position)
        if required is not None:
            replica = self._replica(route.group, tried)
            if replica is not None:
                return Target(replica, None, required)
        return primary

    def record_answer(self, target: Target, sent_at: float, answer: Answer) -> None:
        """Learn from an answer: the endpoint lives, its position, its lag."""
        pool = target.pool
        pool.note_answer(answer)
        self._note_behind(pool.endpoint.id, answer.failure is Failure.BEHIND)
        group = pool.endpoint.group
        if answer.position is None or target.record is None:
            return
        if answer.failure is Failure.NOT_PRIMARY:
            return
        samples = self.group_samples(group)
        for since_sent_s, position in answer.samples or [(0.0, answer.position)]:
            samples.record(sent_at + since_sent_s, position)

    def _note_behind(self, endpoint: str, behind: bool) -> None:
        """Avoid a replica that is behind, for longer each time in succession."""
        if not behind:
            self.behind_s.pop(endpoint, None)
            return
        pause_s = min(self.behind_s.get(endpoint, BEHIND_PAUSE_S), BEHIND_LIMIT_S)
        self.behind_s[endpoint] = pause_s * 2.0
        self.behind_until[endpoint] = self.clock() + pause_s

    def group_samples(self, group: str) -> PositionSamples:
        """Return the samples of a group's primary."""
        return self.samples.setdefault(group, PositionSamples())

    def _prefers(self, pool: EndpointPool) -> bool:
        """Return whether the primary is near and has a free slot."""
        if distance(pool.endpoint.place, self.place) != SAME_DOMAIN:
            return False
        return pool.queue.running < pool.queue.limit

    def _required(
        self, route: Route, received_at: float, session_position: LogPosition
    ) -> LogPosition | None:
        samples = self.group_samples(route.group)
        oldest = received_at - route.max_staleness_s + STALENESS_MARGIN_S
        required = samples.required(oldest)
        if required is None:
            return None
        # Entries of an earlier term may have been discarded by the promotion; what
        # was acknowledged is part of every position of the new term.
        if required.term < samples.newest.term:
            required = samples.newest
        if route.policy is ReadPolicy.BOUNDED_STALENESS:
            return required
        if session_position.term < required.term:
            return required
        return max(required, session_position)

    def _replica(self, group: str, tried: set[str]) -> EndpointPool | None:
        now = self.clock()
        record = self.leadership.records.get(group)
        candidates = []
        for endpoint in self.directory.in_group(group):
            if endpoint.leaving or endpoint.id in tried:
                continue
            if endpoint.id in self.directory.missing_since:
                continue
            if record is not None and endpoint.id == record.primary:
                continue
            pool = self.find_pool(endpoint.id)
            if pool is None or pool.suspect:
                continue
            if self.behind_until.get(endpoint.id, now) > now:
                continue
            busy = pool.queue.running >= pool.queue.limit
            candidates.append((busy, distance(endpoint.place, self.place), endpoint.id))
        if not candidates:
            return None
        return self.find_pool(min(candidates)[2])
