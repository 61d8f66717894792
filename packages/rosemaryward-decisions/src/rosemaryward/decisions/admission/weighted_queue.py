"""Queue of one rank, shared between tenants in proportion to their weights."""

from collections import OrderedDict
from heapq import heapify, heappop, heappush
from itertools import count
from math import isfinite

from rosemaryward.decisions.admission.grant import SlotGrant
from rosemaryward.decisions.admission.rank_queue import (
    TURN_INTERVAL_WEIGHT,
    CallerQueue,
    SizeIndex,
)
from rosemaryward.decisions.admission.request_queue import TenantWeights

__all__ = ["WeightedRankQueue"]

# Requests by which a tenant may be ahead of its share before others go first. A tenant
# within its rate sends a few requests close together; 8 covers the bursts of random
# arrivals at 0.6 of the rate.
BURST_REQUESTS = 8
MIN_WEIGHT = 0.001  # avoids a division by 0
MIN_SHARE = 0.005  # of the queued weights; a tenant of weight 0 is served as well
MIN_PART_OF_EQUAL_SHARE = 0.5  # bounds what many tenants of weight 0 get together
FORGET_AFTER_S = 10.0  # without a tenant above its share, past use counts no more
MIN_STALE_ENTRIES = 32  # before a heap is rebuilt without them


class TenantBacklog:
    """Queued requests of one tenant with its weight and virtual time.

    Parameters
    ----------
    name : str
    own_weight : float
        Weight of the tenant before it is raised to the smallest share.
    weight : float
    virtual_time : float
        Start of the tenant's next request as if it always had its exact share.

    Attributes
    ----------
    in_burst : int
        Queued requests within `BURST_REQUESTS` of the tenant's share.
    turn_key, size_key : int
        Keys of the valid entries in the heaps, 0 if there is none.
    """

    __slots__ = (
        "callers",
        "in_burst",
        "last_turn_at",
        "length",
        "mean_turn_interval_s",
        "name",
        "own_weight",
        "size_key",
        "sizes",
        "turn_key",
        "virtual_time",
        "weight",
    )

    def __init__(
        self, name: str, own_weight: float, weight: float, virtual_time: float
    ) -> None:
        self.name = name
        self.own_weight = own_weight
        self.weight = weight
        self.virtual_time = virtual_time
        self.callers: OrderedDict[str, CallerQueue] = OrderedDict()
        self.sizes = SizeIndex()
        self.length = 0
        self.in_burst = 0
        self.last_turn_at = 0.0
        self.mean_turn_interval_s = 0.0
        self.turn_key = self.size_key = 0

    def turn_at(self, position: int) -> float:
        """Return the virtual time at which the request at a position is due."""
        return self.virtual_time + (position - BURST_REQUESTS) / self.weight

    def position_of_new(self, caller: str) -> int:
        """Return how many requests of the tenant are served before a new one."""
        found = self.callers.get(caller)
        own = len(found.requests) if found else 0
        others = len(self.callers) - (found is not None)
        return min(self.length, own + others * (own + 1))

    def record_turn(self, now: float) -> None:
        """Advance the virtual time and the mean interval for a started request."""
        self.virtual_time += 1.0 / self.weight
        if self.last_turn_at:
            interval_s = now - self.last_turn_at
            self.mean_turn_interval_s += (
                interval_s - self.mean_turn_interval_s
            ) * TURN_INTERVAL_WEIGHT
        self.last_turn_at = now


class WeightedRankQueue:
    """Requests of one rank, in the order of their tenants' virtual times.

    Parameters
    ----------
    weights : callable
        Returns the weight of a tenant, None if it is not known. Such a tenant
        counts as the mean of the queued ones.

    Notes
    -----
    Start-time fair queueing: a request that starts advances its tenant's virtual
    time by one over the weight, and the tenant with the earliest next start is
    served. A tenant that was idle begins at the present virtual time, so one
    within its share does not wait for those above theirs. Past use also counts
    after the queue was empty: at a load just below the capacity it is empty again
    and again, and a tenant above its share would always go by its burst.
    An operation takes constant time but for heaps of the queued tenants.
    """

    __slots__ = (
        "advanced_at",
        "by_size",
        "by_turn",
        "in_burst",
        "keys",
        "length",
        "own_weight_sum",
        "prune_at",
        "tenants",
        "virtual_time",
        "virtual_times",
        "weight_sum",
        "weights",
    )

    def __init__(self, weights: TenantWeights) -> None:
        self.weights = weights
        self.tenants: dict[str, TenantBacklog] = {}
        self.keys = count(1)
        self.length = 0
        self.in_burst = 0
        self.weight_sum = 0.0
        self.own_weight_sum = 0.0
        self.virtual_time = 0.0
        self.virtual_times: dict[str, float] = {}
        self.advanced_at = 0.0
        self.prune_at = MIN_STALE_ENTRIES
        self.by_turn: list[tuple[float, int, TenantBacklog]] = []
        self.by_size: list[tuple[float, int, TenantBacklog]] = []

    @property
    def shared_length(self) -> int:
        """Number of requests that a tenant with none of its own has to wait for."""
        return self.in_burst

    def weight_of(self, tenant: str) -> float:
        """Return the weight of a tenant, which is above 0."""
        return self._raise_weight(self._own_weight_of(tenant))

    def _own_weight_of(self, tenant: str) -> float:
        weight = self.weights(tenant)
        if weight is None or not isfinite(weight):
            return self.own_weight_sum / len(self.tenants) if self.tenants else 1.0
        return max(weight, 0.0)

    def _raise_weight(self, own_weight: float) -> float:
        """Return a weight of at least the smallest share.

        The share refers to the weights before they are raised. Otherwise the tenants
        of weight 0 would raise one another.
        """
        equal_share = 1.0 / max(len(self.tenants), 1)
        share = min(MIN_SHARE, MIN_PART_OF_EQUAL_SHARE * equal_share)
        return max(own_weight, share * self.own_weight_sum, MIN_WEIGHT)

    def share_of(self, tenant: str) -> float:
        """Return the share of a tenant among the queued ones, including itself."""
        backlog = self.tenants.get(tenant)
        if backlog is not None:
            return backlog.weight / self.weight_sum
        weight = self.weight_of(tenant)
        return weight / (self.weight_sum + weight)

    def find_caller(self, tenant: str, caller: str) -> CallerQueue | None:
        """Return the queue of a caller, or None if it has no requests."""
        backlog = self.tenants.get(tenant)
        return backlog.callers.get(caller) if backlog else None

    def requests_ahead(self, tenant: str, caller: str) -> float:
        """Return how many requests are served before a new one of the caller."""
        backlog = self.tenants.get(tenant) or self._new_backlog(tenant)
        return self._requests_ahead_at(backlog, backlog.position_of_new(caller))

    def requests_ahead_of_newest(self) -> float:
        """Return `requests_ahead` of the request that is refused first."""
        largest = self._largest_tenant()
        return self._requests_ahead_at(largest, largest.length - 1) if largest else 0.0

    def _requests_ahead_at(self, backlog: TenantBacklog, in_tenant: int) -> float:
        """Return the requests ahead of the one at a position in its tenant.

        Those are the requests of other tenants within their bursts, and what the
        others are entitled to until the request is due.
        """
        until = max(0.0, backlog.turn_at(in_tenant) - self.virtual_time)
        others = float(self.in_burst - backlog.in_burst)
        others += until * (self.weight_sum - backlog.weight)
        return in_tenant + min(max(others, 0.0), self.length - backlog.length)

    def turn_wait_s(self, tenant: str, caller: str) -> float:
        """Return the wait of a new request by the measured intervals of turns."""
        backlog = self.tenants.get(tenant)
        if backlog is None:
            return 0.0
        found = backlog.callers.get(caller)
        wait_s = len(found.requests) * found.mean_turn_interval_s if found else 0.0
        position = backlog.position_of_new(caller)
        return max(wait_s, position * backlog.mean_turn_interval_s)

    def may_displace(self, request: SlotGrant) -> bool:
        """Return whether a new request may take the place of a queued one."""
        largest = self._largest_tenant()
        if largest is None:
            return False
        if largest.name == request.tenant:
            found = largest.callers.get(request.caller)
            own = len(found.requests) if found else 0
            return largest.sizes.largest_size > own + 1
        backlog = self.tenants.get(request.tenant) or self._new_backlog(request.tenant)
        return largest.turn_at(largest.length) > backlog.turn_at(backlog.length + 1)

    def push(self, request: SlotGrant) -> None:
        """Append a request to its caller's queue."""
        if not self.length and request.arrived_at - self.advanced_at > FORGET_AFTER_S:
            self.virtual_times.clear()
            self.advanced_at = request.arrived_at
        backlog = self.tenants.get(request.tenant)
        if backlog is None:
            backlog = self._new_backlog(request.tenant)
            self.tenants[request.tenant] = backlog
            self.weight_sum += backlog.weight
            self.own_weight_sum += backlog.own_weight
            self._schedule_turn(backlog)
        caller = backlog.callers.get(request.caller)
        if caller is None:
            caller = backlog.callers[request.caller] = CallerQueue()
        caller.requests[request] = None
        size = len(caller.requests)
        backlog.sizes.resize(caller, size - 1, size, is_latest=True)
        if backlog.turn_at(backlog.length) <= self.virtual_time:
            backlog.in_burst += 1
            self.in_burst += 1
        backlog.length += 1
        self.length += 1
        self._index_size(backlog)

    def _new_backlog(self, tenant: str) -> TenantBacklog:
        past = self.virtual_times.get(tenant, self.virtual_time)
        start = max(self.virtual_time, past)
        own_weight = self._own_weight_of(tenant)
        return TenantBacklog(tenant, own_weight, self._raise_weight(own_weight), start)

    def pop(self, now: float) -> SlotGrant:
        """Remove and return the next request in turn."""
        backlog = self._next_tenant()
        name, caller = next(iter(backlog.callers.items()))
        request = next(iter(caller.requests))
        turn_at = self.by_turn[0][0]
        if turn_at > self.virtual_time:
            self.virtual_time = turn_at
            self.advanced_at = now
        self._update_weight(backlog)
        backlog.callers.move_to_end(name)
        backlog.record_turn(now)
        caller.record_turn(now)
        self.remove(request, is_latest=True)
        if backlog.length:
            heappop(self.by_turn)
            self._schedule_turn(backlog)
            self._index_size(backlog)
        return request

    def _update_weight(self, backlog: TenantBacklog) -> None:
        """Apply a changed weight from the tenant's next request on."""
        own_weight = self._own_weight_of(backlog.name)
        self.own_weight_sum += own_weight - backlog.own_weight
        backlog.own_weight = own_weight
        weight = self._raise_weight(own_weight)
        self.weight_sum += weight - backlog.weight
        backlog.weight = weight

    def remove(self, request: SlotGrant, is_latest: bool = False) -> None:
        """Remove a queued request; see `SizeIndex.resize` for `is_latest`."""
        backlog = self.tenants[request.tenant]
        caller = backlog.callers[request.caller]
        del caller.requests[request]
        size = len(caller.requests)
        backlog.sizes.resize(caller, size + 1, size, is_latest)
        backlog.length -= 1
        self.length -= 1
        if backlog.in_burst and (is_latest or backlog.in_burst > backlog.length):
            backlog.in_burst -= 1
            self.in_burst -= 1
        if not size:
            del backlog.callers[request.caller]
        if not backlog.length:
            self._remove_tenant(backlog)
        elif not is_latest:
            self._index_size(backlog)

    def _remove_tenant(self, backlog: TenantBacklog) -> None:
        del self.tenants[backlog.name]
        self.weight_sum -= backlog.weight
        self.own_weight_sum -= backlog.own_weight
        if not self.tenants:
            self.weight_sum = self.own_weight_sum = 0.0
        backlog.turn_key = backlog.size_key = 0
        self.virtual_times[backlog.name] = backlog.virtual_time
        if len(self.virtual_times) > self.prune_at:
            self._prune()

    def _prune(self) -> None:
        """Forget tenants that have used no more than their shares."""
        self.virtual_times = {
            tenant: time
            for tenant, time in self.virtual_times.items()
            if time > self.virtual_time
        }
        self.prune_at = 2 * len(self.virtual_times) + MIN_STALE_ENTRIES

    def peek(self) -> SlotGrant:
        """Return the request that `pop` would return."""
        backlog = self._next_tenant()
        return next(iter(next(iter(backlog.callers.values())).requests))

    def newest_of_largest_caller(self) -> SlotGrant | None:
        """Return the newest request of the tenant furthest above its share."""
        largest = self._largest_tenant()
        caller = largest.sizes.largest_caller() if largest else None
        return next(reversed(caller.requests)) if caller else None

    def _schedule_turn(self, backlog: TenantBacklog) -> None:
        """Enter the tenant's next turn; at equal times the earlier entry is first."""
        backlog.turn_key = next(self.keys)
        turn_at = max(self.virtual_time, backlog.turn_at(0))
        heappush(self.by_turn, (turn_at, backlog.turn_key, backlog))
        if len(self.by_turn) > 2 * len(self.tenants) + MIN_STALE_ENTRIES:
            self.by_turn = [e for e in self.by_turn if e[1] == e[2].turn_key]
            heapify(self.by_turn)

    def _index_size(self, backlog: TenantBacklog) -> None:
        """Enter the virtual time at which the tenant's last request is due."""
        backlog.size_key = next(self.keys)
        end = backlog.turn_at(backlog.length)
        heappush(self.by_size, (-end, backlog.size_key, backlog))
        if len(self.by_size) > 2 * len(self.tenants) + MIN_STALE_ENTRIES:
            self.by_size = [e for e in self.by_size if e[1] == e[2].size_key]
            heapify(self.by_size)

    def _next_tenant(self) -> TenantBacklog:
        heap = self.by_turn
        while heap[0][1] != heap[0][2].turn_key:
            heappop(heap)
        return heap[0][2]

    def _largest_tenant(self) -> TenantBacklog | None:
        heap = self.by_size
        while heap and heap[0][1] != heap[0][2].size_key:
            heappop(heap)
        return heap[0][2] if heap else None
