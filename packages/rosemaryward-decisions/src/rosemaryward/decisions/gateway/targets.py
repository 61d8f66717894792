"""Selection of the endpoint that runs a statement."""

import random
from collections.abc import Callable

import msgspec

from rosemaryward.decisions.clock import boot_time_s
from rosemaryward.decisions.freshness import PositionSamples
from rosemaryward.decisions.gateway.connections import EndpointPool
from rosemaryward.decisions.gateway.directory import (
    SAME_DOMAIN_DISTANCE,
    EndpointDirectory,
    distance,
)
from rosemaryward.decisions.gateway.environment import ReadPolicy, Route
from rosemaryward.decisions.gateway.outcomes import Answer, Failure
from rosemaryward.decisions.leadership.records import GroupRecord, Leadership
from rosemaryward.decisions.types import LogPosition, Place

__all__ = ["Target", "TargetSelector"]

STALENESS_MARGIN_S = 0.02  # the clock is read separately for samples and reads
FIRST_LAG_PAUSE_S = 0.1
MAX_LAG_PAUSE_S = 0.8  # each try of a replica that still lags costs a round trip

# Between these loads, a growing share of the reads moves on to the next endpoint.
FIRST_SPILL_LOAD = 0.6
FULL_SPILL_LOAD = 1.0
PRIMARY_LOAD_HANDICAP = 0.2  # keeps slots of a primary for writes


class Target(msgspec.Struct, frozen=True):
    """Endpoint selected for a statement.

    Parameters
    ----------
    pool : EndpointPool
        Connection pool of the endpoint.
    record : GroupRecord, optional
        Record that makes the endpoint the primary; None for a replica.
    min_position : LogPosition, optional
        Position that a replica must have applied; None for the primary.
    """

    pool: EndpointPool
    record: GroupRecord | None = None
    min_position: LogPosition | None = None


class TargetSelector:
    """Selects endpoints by route, freshness and distance.

    Parameters
    ----------
    directory : EndpointDirectory
        Registered endpoints.
    leadership : Leadership
        Records of the groups' primaries.
    place : Place
        Region and failure domain of this proxy.
    clock : callable, optional
        Returns the boot time in seconds.
    find_pool : callable, optional
        Returns the pool through which statements reach an endpoint, None if it is
        not registered.
    draw : callable, optional
        Returns a random number from 0 to 1.

    Attributes
    ----------
    samples : dict of str to PositionSamples
        Samples of the primary's log, by group.
    lag_avoid_until : dict of str to float
        Boot time until which a lagging replica is not selected, in seconds.
    lag_pause_s : dict of str to float
        Length of the next pause of a lagging replica.
    """

    def __init__(
        self,
        directory: EndpointDirectory,
        leadership: Leadership,
        place: Place,
        clock: Callable[[], float] = boot_time_s,
        find_pool: Callable[[str], EndpointPool | None] | None = None,
        draw: Callable[[], float] = random.random,
    ) -> None:
        self.draw = draw
        self.find_pool = find_pool or directory.pools.get
        self.directory = directory
        self.leadership = leadership
        self.place = place
        self.clock = clock
        self.samples: dict[str, PositionSamples] = {}
        self.lag_avoid_until: dict[str, float] = {}
        self.lag_pause_s: dict[str, float] = {}

    def select_primary(self, group: str) -> Target | None:
        """Return the group's primary, or None if it may not be used now."""
        record = self.leadership.primary(group)
        if record is None:
            return None
        pool = self.find_pool(record.primary)
        if pool is None or pool.suspect:
            return None
        if not self.directory.accepts_statements(record.primary):
            return None
        return Target(pool, record)

    def is_refused(self, group: str) -> bool:
        """Return whether the primary has left for too long and none replaces it yet."""
        record = self.leadership.primary(group)
        if record is None:
            return False
        return not self.directory.accepts_statements(record.primary)

    def select_read(
        self,
        route: Route,
        received_at: float,
        session_position: LogPosition,
        tried: set[str],
    ) -> Target | None:
        """Return a target for a read.

        Parameters
        ----------
        route : Route
            Route that applies to the read.
        received_at : float
            Boot time at which the read, or its transaction, was received, in seconds.
        session_position : LogPosition
            Newest commit of the session.
        tried : set of str
            Endpoints to exclude.

        Returns
        -------
        Target or None
            None if no endpoint is known to be fresh enough.
        """
        primary = self.select_primary(route.group)
        if primary is not None and primary.pool.endpoint.id in tried:
            primary = None
        if route.policy is ReadPolicy.PRIMARY:
            return primary
        if primary is not None and self._is_near_and_free(primary.pool):
            return primary
        required = self._required_position(route, received_at, session_position)
        replica = None
        if required is not None:
            replica = self._select_replica(route.group, tried)
        if replica is None or self._is_overloaded_beside(replica, primary):
            return primary
        return Target(replica, None, required)

    def record_answer(self, target: Target, sent_at: float, answer: Answer) -> None:
        """Update the endpoint's health, lag and position samples from an answer.

        Parameters
        ----------
        target : Target
            Target that answered.
        sent_at : float
            Boot time at which the statement was sent, in seconds.
        answer : Answer
            Answer of the endpoint.
        """
        pool = target.pool
        pool.record_answer(answer)
        self._record_lag(pool.endpoint.id, answer.failure is Failure.BEHIND)
        group = pool.endpoint.group
        if answer.position is None or target.record is None:
            return
        if answer.failure is Failure.NOT_PRIMARY:
            return
        # The log of a replaced primary lacks what the new one has acknowledged.
        if self.leadership.primary(group) != target.record:
            return
        # A relay shares only positions of a primary that it may read itself.
        may_read = self.leadership.may_read(
            group, pool.endpoint.id, target.record.epoch
        )
        if not answer.samples and not may_read:
            return
        samples = self.group_samples(group)
        for since_sent_s, position in answer.samples or [(0.0, answer.position)]:
            samples.record(sent_at + since_sent_s, position)

    def _record_lag(self, endpoint: str, behind: bool) -> None:
        """Avoid a lagging replica, for twice as long each consecutive time."""
        if not behind:
            self.lag_pause_s.pop(endpoint, None)
            return
        pause_s = min(
            self.lag_pause_s.get(endpoint, FIRST_LAG_PAUSE_S), MAX_LAG_PAUSE_S
        )
        self.lag_pause_s[endpoint] = pause_s * 2.0
        self.lag_avoid_until[endpoint] = self.clock() + pause_s

    def group_samples(self, group: str) -> PositionSamples:
        """Return the position samples of a group's primary."""
        return self.samples.setdefault(group, PositionSamples())

    def _is_near_and_free(self, pool: EndpointPool) -> bool:
        """Return whether a primary of this failure domain has slots for reads."""
        if distance(pool.endpoint.place, self.place) != SAME_DOMAIN_DISTANCE:
            return False
        return not self._spills(pool, pool.load + PRIMARY_LOAD_HANDICAP)

    def _spills(self, pool: EndpointPool, load: float) -> bool:
        """Return whether a read goes to another endpoint because of the load."""
        if pool.queue.is_full:
            return True
        excess = load - FIRST_SPILL_LOAD
        return excess > self.draw() * (FULL_SPILL_LOAD - FIRST_SPILL_LOAD)

    def _is_overloaded_beside(
        self, replica: EndpointPool, primary: Target | None
    ) -> bool:
        """Return whether a read is served sooner by the primary than by a replica."""
        if primary is None or replica.load < FULL_SPILL_LOAD:
            return False
        return primary.pool.load + PRIMARY_LOAD_HANDICAP < replica.load

    def _required_position(
        self, route: Route, received_at: float, session_position: LogPosition
    ) -> LogPosition | None:
        """Return the position that a replica must have applied for a read.

        None means that no sample is recent enough.
        """
        samples = self.group_samples(route.group)
        oldest = received_at - route.max_staleness_s + STALENESS_MARGIN_S
        required = samples.required_position(oldest)
        if required is None:
            return None
        # A promotion may have discarded entries of an earlier term. Every position
        # of the new term includes every commit acknowledged in earlier terms.
        if required.term < samples.newest.term:
            required = samples.newest
        if route.policy is ReadPolicy.BOUNDED_STALENESS:
            return required
        if session_position.term < required.term:
            return required
        return max(required, session_position)

    def _select_replica(self, group: str, tried: set[str]) -> EndpointPool | None:
        """Return the pool of a usable replica: the nearest one with free slots.

        If all are loaded, it is the one with the lowest load.
        """
        now = self.clock()
        record = self.leadership.records.get(group)
        candidates: list[tuple[bool, float, int, str]] = []
        for endpoint in self.directory.in_group(group):
            if endpoint.leaving or endpoint.id in tried:
                continue
            if endpoint.id in self.directory.unregistered_since:
                continue
            if record is not None and endpoint.id == record.primary:
                continue
            pool = self.find_pool(endpoint.id)
            if pool is None or pool.suspect:
                continue
            if self.lag_avoid_until.get(endpoint.id, now) > now:
                continue
            load = pool.load
            spills = self._spills(pool, load)
            away = distance(endpoint.place, self.place)
            candidates.append((spills, load if spills else 0.0, away, endpoint.id))
        if not candidates:
            return None
        return self.find_pool(min(candidates)[3])
