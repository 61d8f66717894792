"""Admission queue in front of one instance."""

from collections.abc import Mapping

import anyio
from anyio import current_time

from rosemaryward.decisions.admission.account import RankAccount
from rosemaryward.decisions.admission.concurrency import ConcurrencyLimit
from rosemaryward.decisions.admission.grant import GrantState, SlotGrant
from rosemaryward.decisions.admission.reserve import UrgentReserve
from rosemaryward.decisions.admission.sections import RankSection
from rosemaryward.decisions.admission.settings import AdmissionSettings
from rosemaryward.decisions.admission.waiting import RankQueue
from rosemaryward.decisions.errors import OverloadError
from rosemaryward.decisions.types import Rank

__all__ = ["AdmissionQueue"]

CLOCK_STEP_S = 1e-5  # a timer may fire early by the resolution of the clock


class AdmissionQueue:
    """Admit statements to the slots of one instance, urgent work first.

    Parameters
    ----------
    slots : int
        Statements that the instance runs at once.
    ranks : Mapping of Rank to RankSection
        Floors and queue limits; a missing rank gets the defaults.
    settings : AdmissionSettings, optional

    Notes
    -----
    The queue has no task of its own. Tasks that wait for a slot also watch
    their deadlines, and one of them offers a slot that is kept free for urgent
    work again when another rank is owed one.

    Examples
    --------
    >>> async with queue.slot(Rank.URGENT, "depot-7", "bookings", 2.0):
    ...     await connection.execute(sql, 2.0)
    """

    __slots__ = (
        "accounts",
        "closed",
        "concurrency",
        "limit",
        "poller",
        "queued",
        "rank_queues",
        "ranks",
        "reserve",
        "reviewed",
        "running",
        "settings",
        "slots",
        "updated_at",
    )

    def __init__(
        self,
        slots: int,
        ranks: Mapping[Rank, RankSection],
        settings: AdmissionSettings | None = None,
    ) -> None:
        self.slots = slots
        self.limit = slots
        self.concurrency = ConcurrencyLimit(slots)
        self.settings = settings or AdmissionSettings()
        self.ranks = tuple(ranks.get(rank, RankSection()) for rank in Rank)
        self.rank_queues = tuple(RankQueue() for _ in Rank)
        self.accounts = tuple(
            RankAccount(0.0 if rank is Rank.URGENT else section.floor, self.settings)
            for rank, section in zip(Rank, self.ranks, strict=True)
        )
        self.running = 0
        self.queued = 0
        self.closed = False
        self.updated_at = -1.0  # before the first event
        self.reserve = UrgentReserve(self.settings)
        self.reviewed = 0
        self.poller: SlotGrant | None = None

    def slot(
        self, rank: Rank, caller: str, tenant: str, deadline_s: float
    ) -> SlotGrant:
        """Return a context manager that holds a slot.

        Parameters
        ----------
        rank : Rank
        caller, tenant : str
            Served round robin within the rank.
        deadline_s : float
            Time from now after which the answer is useless.

        Returns
        -------
        SlotGrant
            Entering it raises `OverloadError` if the statement is refused, at
            once or while it is queued.
        """
        return SlotGrant(self, rank, caller, tenant, deadline_s)

    def waits(self) -> dict[Rank, float]:
        """Return the estimated wait in seconds of a new statement by rank."""
        self._advance(current_time())
        return {
            rank: self._wait_s(rank, self.rank_queues[rank].length) for rank in Rank
        }

    def set_slots(self, slots: int) -> None:
        """Change the declared slots; statements that run already finish."""
        self._advance(current_time())
        self.slots = slots
        self.limit = slots
        self.concurrency.set_declared(slots)
        self._dispatch()

    def close(self) -> None:
        """Refuse everything that is queued and everything that arrives."""
        self.closed = True
        for queue in self.rank_queues:
            while queue.length:
                self._refuse(queue.first(), "the admission queue closes", 0.0)

    def arrive(self, grant: SlotGrant) -> None:
        """Grant a slot, queue the request or raise `OverloadError`."""
        if self.closed:
            raise OverloadError("the admission queue is closed")
        now = current_time()
        self._advance(now)
        grant.arrived_at = now
        rank = grant.rank
        if rank is Rank.URGENT:
            self.reserve.last_arrival = now
        startable = self.limit - self.running > self._reserve(rank)
        if startable and not self.queued:
            self._start(grant, by_floor=False)
            return
        self._enqueue(grant, startable)
        self._dispatch()
        self._drop_late(rank)
        if grant.state is GrantState.REFUSED:
            raise grant.error or OverloadError("refused")

    async def wait(self, grant: SlotGrant) -> None:
        """Wait until a queued request is granted; raises `OverloadError`."""
        try:
            while grant.state is GrantState.QUEUED:
                await self._wait_for_event(grant)
        except BaseException:
            self._abandon(grant)
            raise
        if grant.error is not None:
            raise grant.error

    def leave(self, grant: SlotGrant, completed: bool) -> None:
        """Take the slot back and give it to the next request."""
        now = current_time()
        self._advance(now)
        grant.state = GrantState.DONE
        account = self.accounts[grant.rank]
        if grant.by_floor:
            account.floor_running -= 1
        else:
            account.spare_running -= 1
        self.running -= 1
        if completed:
            self._record(grant, now)
        if self.queued:
            self._dispatch()
            self.reviewed = (self.reviewed + 1) % len(Rank)
            self._drop_late(Rank(self.reviewed))

    def _record(self, grant: SlotGrant, now: float) -> None:
        """Learn from a statement that ran to its end."""
        service_s = now - grant.started_at
        rank = grant.rank
        self.accounts[rank].record_service(service_s)
        if rank is Rank.URGENT:
            delayed = grant.beside_others and grant.waited_s > 0.0
            latency_s = now - grant.arrived_at
            self.reserve.record(latency_s, service_s, delayed, self.slots)
        if self.settings.adaptive and grant.samples_latency:
            running, started_at = grant.running_at_start, grant.started_at
            self.concurrency.record(rank, service_s, running, started_at, now)
            self.limit = self.concurrency.limit

    def _advance(self, now: float) -> None:
        elapsed_s = now - self.updated_at
        if elapsed_s <= 0.0:
            return
        if self.updated_at < 0.0:
            elapsed_s = 0.0
        self.updated_at = now
        limit = self.limit
        for account, queue in zip(self.accounts, self.rank_queues, strict=True):
            account.advance(elapsed_s, limit, queue.length > 0)

    def _enqueue(self, grant: SlotGrant, startable: bool) -> None:
        rank = grant.rank
        queue = self.rank_queues[rank]
        service_s = self.accounts[rank].service_s
        # Half of the deadline at most: a rank whose statements have become slow
        # must still be able to start one, or its service time is never updated.
        service_s = min(service_s, grant.deadline_s * 0.5)
        grant.latest_start = grant.arrived_at + grant.deadline_s - service_s
        caller = queue.find(grant.tenant, grant.caller)
        own = len(caller.requests) if caller else 0
        if not startable or queue.length:
            wait_s = self._wait_s(rank, queue.ahead(grant.tenant, grant.caller, own))
            if caller is not None:
                # Lighter callers that arrive later overtake a heavy one, which
                # shows in the time between its turns but not in the queue.
                wait_s = max(wait_s, own * caller.turn_s)
            wait_s *= self.settings.wait_margin
            excess_s = wait_s + service_s - grant.deadline_s
            if excess_s > 0.0:
                raise self._overload("the wait passes the deadline", excess_s)
        if queue.length >= self.ranks[rank].queue_limit:
            self._displace(queue, own)
        grant.state = GrantState.QUEUED
        queue.push(grant)
        self.queued += 1

    def _displace(self, queue: RankQueue, own: int) -> None:
        heaviest = queue.heaviest_newest()
        if heaviest is None or queue.sizes.largest <= own + 1:
            raise self._overload("the queue is full", 0.0)
        self._refuse(heaviest, "displaced by a caller with fewer statements", 0.0)

    def _overload(self, reason: str, excess_s: float) -> OverloadError:
        retry_s = max(excess_s, self.settings.minimum_retry_s)
        return OverloadError(reason, min(retry_s, self.settings.maximum_retry_s))

    def _refuse(self, grant: SlotGrant, reason: str, excess_s: float) -> None:
        self._withdraw(grant)
        grant.state = GrantState.REFUSED
        grant.error = self._overload(reason, excess_s)
        grant.wake()

    def _withdraw(self, grant: SlotGrant) -> None:
        self.rank_queues[grant.rank].remove(grant)
        self.queued -= 1
        if self.poller is grant:
            self.poller = None

    def _abandon(self, grant: SlotGrant) -> None:
        self._advance(current_time())
        if grant.state is GrantState.QUEUED:
            self._withdraw(grant)
            grant.state = GrantState.DONE
            self._dispatch()
        elif grant.state is GrantState.GRANTED:
            self.leave(grant, completed=False)

    def _start(self, grant: SlotGrant, by_floor: bool) -> None:
        account = self.accounts[grant.rank]
        if by_floor:
            account.floor_running += 1
        else:
            account.spare_running += 1
        self.running += 1
        grant.by_floor = by_floor
        grant.running_at_start = self.running
        grant.beside_others = self.running > account.running
        grant.started_at = self.updated_at
        grant.state = GrantState.GRANTED
        grant.wake()

    def _dispatch(self) -> None:
        """Start queued requests as long as one may start."""
        while self.queued and self.running < self.limit:
            choice = self._choose()
            if choice is None:
                self._appoint_poller()
                return
            rank, by_floor = choice
            queue = self.rank_queues[rank]
            if queue.first().latest_start < self.updated_at:
                self._refuse(queue.first(), "the deadline cannot be met", 0.0)
                continue
            grant = queue.pop(self.updated_at)
            self.queued -= 1
            if self.poller is grant:
                self.poller = None
            self._start(grant, by_floor)

    def _choose(self) -> tuple[Rank, bool] | None:
        """Return the rank that gets a free slot and whether its floor pays."""
        settings = self.settings
        urgent = self.rank_queues[Rank.URGENT].length > 0
        rank = Rank.NORMAL if self.rank_queues[Rank.NORMAL].length else Rank.BULK
        if not urgent and self.limit - self.running > self._reserve(rank):
            owed = self._most_owed(0.0)
            return (owed, True) if owed is not None else (rank, False)
        slack_s = settings.floor_slack * settings.floor_window_s * self.limit
        owed = self._most_owed(slack_s)
        if owed is not None:
            return owed, True
        return (Rank.URGENT, False) if urgent else None

    def _most_owed(self, least_s: float) -> Rank | None:
        """Return the queued rank with the largest credit of at least `least_s`."""
        best: Rank | None = None
        best_owed = least_s
        for rank in (Rank.NORMAL, Rank.BULK):
            account = self.accounts[rank]
            if account.floor and self.rank_queues[rank].length:
                owed = account.owed()
                if owed >= best_owed:
                    best, best_owed = rank, owed
        return best

    def _reserve(self, rank: Rank) -> int:
        """Return the slots that a statement of the rank has to leave free."""
        if rank is Rank.URGENT:
            return 0
        normal, bulk = self.accounts[Rank.NORMAL], self.accounts[Rank.BULK]
        longest_s = max(normal.service_s, bulk.service_s)
        return self.reserve.slots(rank, self.limit, self.updated_at, longest_s)

    def _wait_s(self, rank: Rank, ahead: float) -> float:
        """Estimate the wait of a statement with `ahead` others of its rank first."""
        if self.running < self.limit and not self.queued:
            return 0.0
        accounts = self.accounts
        account = accounts[rank]
        own_s = ahead * account.service_s
        higher_s = residual_s = 0.0
        # A trial of another limit ends before the queue is worked off.
        limit = self.concurrency.settled_limit
        slots = limit - self._reserve(rank) + 0.0
        for other in Rank:
            queued = self.rank_queues[other].length
            if other < rank:
                higher_s += queued * accounts[other].service_s
                slots -= accounts[other].used
            elif other > rank and queued:
                slots -= accounts[other].floor * limit
            residual_s += accounts[other].running * accounts[other].service_s
        wait_s = (higher_s + own_s) / slots if slots > 0.0 else float("inf")
        rate = account.floor * limit
        if rate:
            wait_s = min(wait_s, (own_s + max(0.0, -account.credit)) / rate)
        return wait_s + residual_s / max(self.running, 1) / limit

    def _drop_late(self, rank: Rank) -> None:
        """Refuse the newest request of the heaviest caller if it must be late."""
        queue = self.rank_queues[rank]
        newest = queue.heaviest_newest()
        if newest is None:
            return
        ahead = queue.ahead(newest.tenant, newest.caller, queue.sizes.largest - 1)
        wait_s = self._wait_s(rank, ahead) / self.settings.wait_margin
        late_s = self.updated_at + wait_s - newest.latest_start
        if late_s > 0.0:
            self._refuse(newest, "the deadline cannot be met", late_s)
            if self.poller is None:
                self._dispatch()

    def _appoint_poller(self) -> None:
        if self.poller is None:
            queue = next(queue for queue in self.rank_queues if queue.length)
            self.poller = queue.first()
            self.poller.wake()

    async def _wait_for_event(self, grant: SlotGrant) -> None:
        grant.event = anyio.Event()
        until = grant.latest_start
        if self.poller is grant:
            until = min(until, current_time() + self.settings.poll_s)
        with anyio.CancelScope(deadline=until):
            await grant.event.wait()
        if grant.state is not GrantState.QUEUED:
            return
        now = current_time()
        self._advance(now)
        if now >= grant.latest_start - CLOCK_STEP_S:
            self._refuse(grant, "the deadline cannot be met", 0.0)
        self._dispatch()
