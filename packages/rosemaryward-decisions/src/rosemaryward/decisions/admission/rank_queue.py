"""Queue of one rank, served round robin between tenants and their callers."""

from collections import OrderedDict

from rosemaryward.decisions.admission.grant import SlotGrant

__all__ = ["CallerQueue", "RankQueue", "SizeIndex", "TURN_INTERVAL_WEIGHT"]

TURN_INTERVAL_WEIGHT = 0.25  # of the last interval in the mean interval of turns


class CallerQueue:
    """Queued requests of one caller, oldest first, and the interval of its turns."""

    __slots__ = ("last_turn_at", "mean_turn_interval_s", "requests")

    def __init__(self) -> None:
        self.last_turn_at = 0.0
        self.mean_turn_interval_s = 0.0
        self.requests: OrderedDict[SlotGrant, None] = OrderedDict()

    def record_turn(self, now: float) -> None:
        """Record that one of the requests starts."""
        if self.last_turn_at:
            interval_s = now - self.last_turn_at
            self.mean_turn_interval_s += (
                interval_s - self.mean_turn_interval_s
            ) * TURN_INTERVAL_WEIGHT
        self.last_turn_at = now


class TenantQueue:
    """Callers of one tenant in the order of their next turn."""

    __slots__ = ("callers", "length")

    def __init__(self) -> None:
        self.callers: OrderedDict[str, CallerQueue] = OrderedDict()
        self.length = 0


class SizeIndex:
    """Callers by the number of their queued requests."""

    __slots__ = ("callers_by_size", "largest_size")

    def __init__(self) -> None:
        self.callers_by_size: dict[int, OrderedDict[CallerQueue, None]] = {}
        self.largest_size = 0

    def resize(
        self, caller: CallerQueue, old_size: int, new_size: int, is_latest: bool
    ) -> None:
        """Record that the caller's number of requests changed by one.

        Parameters
        ----------
        caller : CallerQueue
        old_size, new_size : int
            Queued requests before and after the change.
        is_latest : bool
            Whether the change makes the caller's newest request the last in turn.
        """
        callers_by_size = self.callers_by_size
        if old_size:
            callers = callers_by_size[old_size]
            del callers[caller]
            if not callers:
                del callers_by_size[old_size]
        if new_size:
            callers = callers_by_size.setdefault(new_size, OrderedDict())
            callers[caller] = None
            if not is_latest:
                callers.move_to_end(caller, last=False)
        if new_size > self.largest_size or (
            old_size == self.largest_size and old_size not in callers_by_size
        ):
            self.largest_size = new_size

    def largest_caller(self) -> CallerQueue | None:
        """Return the caller that reached the largest size last.

        The caller has just queued a request or just had its turn. Its newest request
        therefore has the longest remaining wait of all and, under overload, the
        shortest wait so far.
        """
        return (
            next(reversed(self.callers_by_size[self.largest_size]))
            if self.largest_size
            else None
        )


class RankQueue:
    """Requests of one rank.

    Every operation takes constant time, so the cost per statement under overload
    does not depend on the length of the queue.
    """

    __slots__ = ("length", "sizes", "tenants")

    def __init__(self) -> None:
        self.length = 0
        self.tenants: OrderedDict[str, TenantQueue] = OrderedDict()
        self.sizes = SizeIndex()

    def find_caller(self, tenant: str, caller: str) -> CallerQueue | None:
        """Return the queue of a caller, or None if it has no requests."""
        tenant_queue = self.tenants.get(tenant)
        return tenant_queue.callers.get(caller) if tenant_queue else None

    def requests_ahead(self, tenant: str, caller: str) -> float:
        """Return how many requests are served before a new one of the caller.

        Returns
        -------
        float
            Mean of the number ahead now and the number ahead if the other callers,
            who have fewer requests, send as many as this one.
        """
        found = self.find_caller(tenant, caller)
        return self._requests_ahead_of(
            tenant, caller, len(found.requests) if found else 0
        )

    def _requests_ahead_of(self, tenant: str, caller: str, own: int) -> float:
        """Return the requests ahead of the one behind `own` of its caller."""
        tenant_queue = self.tenants.get(tenant)
        if tenant_queue is None:
            return min(self.length, len(self.tenants))
        others = len(tenant_queue.callers) - (caller in tenant_queue.callers)
        in_tenant = own + others * (own + 1)
        refilled = in_tenant + (len(self.tenants) - 1) * (in_tenant + 1)
        in_tenant = min(tenant_queue.length, in_tenant)
        queued = min(self.length, in_tenant + (len(self.tenants) - 1) * (in_tenant + 1))
        return 0.5 * (queued + min(refilled, 2 * queued)) if own else queued

    @property
    def shared_length(self) -> int:
        """Number of requests that a tenant with none of its own has to wait for."""
        return self.length

    def requests_ahead_of_newest(self) -> float:
        """Return `requests_ahead` of the request that is refused first."""
        newest = self.newest_of_largest_caller()
        if newest is None:
            return 0.0
        own = self.sizes.largest_size - 1
        return self._requests_ahead_of(newest.tenant, newest.caller, own)

    def share_of(self, tenant: str) -> float | None:
        """Return None, since shares without weights depend on who is queued."""
        return None

    def turn_wait_s(self, tenant: str, caller: str) -> float:
        """Return the wait of a new request by the measured interval of turns.

        Callers with fewer requests that arrive later are served before it. The
        interval of its caller's turns reflects that, the queue's length does not.
        """
        found = self.find_caller(tenant, caller)
        return len(found.requests) * found.mean_turn_interval_s if found else 0.0

    def may_displace(self, request: SlotGrant) -> bool:
        """Return whether a new request may take the place of a queued one."""
        found = self.find_caller(request.tenant, request.caller)
        own = len(found.requests) if found else 0
        return self.sizes.largest_size > own + 1

    def push(self, request: SlotGrant) -> None:
        """Append a request to its caller's queue."""
        tenant_queue = self.tenants.get(request.tenant)
        if tenant_queue is None:
            tenant_queue = self.tenants[request.tenant] = TenantQueue()
        caller_queue = tenant_queue.callers.get(request.caller)
        if caller_queue is None:
            caller_queue = tenant_queue.callers[request.caller] = CallerQueue()
        caller_queue.requests[request] = None
        size = len(caller_queue.requests)
        self.sizes.resize(caller_queue, size - 1, size, is_latest=True)
        tenant_queue.length += 1
        self.length += 1

    def pop(self, now: float) -> SlotGrant:
        """Remove and return the next request in turn."""
        tenant, tenant_queue = next(iter(self.tenants.items()))
        caller, caller_queue = next(iter(tenant_queue.callers.items()))
        request = next(iter(caller_queue.requests))
        self.tenants.move_to_end(tenant)
        tenant_queue.callers.move_to_end(caller)
        caller_queue.record_turn(now)
        self.remove(request, is_latest=True)
        return request

    def remove(self, request: SlotGrant, is_latest: bool = False) -> None:
        """Remove a queued request; see `SizeIndex.resize` for `is_latest`."""
        tenant_queue = self.tenants[request.tenant]
        caller_queue = tenant_queue.callers[request.caller]
        del caller_queue.requests[request]
        size = len(caller_queue.requests)
        self.sizes.resize(caller_queue, size + 1, size, is_latest)
        tenant_queue.length -= 1
        self.length -= 1
        if not size:
            del tenant_queue.callers[request.caller]
        if not tenant_queue.length:
            del self.tenants[request.tenant]

    def peek(self) -> SlotGrant:
        """Return the request that `pop` would return."""
        tenant_queue = next(iter(self.tenants.values()))
        return next(iter(next(iter(tenant_queue.callers.values())).requests))

    def newest_of_largest_caller(self) -> SlotGrant | None:
        """Return the newest request of the caller with the most requests."""
        caller = self.sizes.largest_caller()
        return next(reversed(caller.requests)) if caller else None
