"""Admission queue in front of one instance."""

from collections.abc import Mapping

import anyio
from anyio import current_time

from rosemaryward.decisions.admission.account import RankAccount
from rosemaryward.decisions.admission.concurrency import ConcurrencyLimit
from rosemaryward.decisions.admission.grant import GrantState, SlotGrant
from rosemaryward.decisions.admission.rank_queue import RankQueue
from rosemaryward.decisions.admission.request_queue import RequestQueue, TenantWeights
from rosemaryward.decisions.admission.reserve import UrgentReserve
from rosemaryward.decisions.admission.returns import ReturnSchedule
from rosemaryward.decisions.admission.sections import RankSection
from rosemaryward.decisions.admission.settings import AdmissionSettings
from rosemaryward.decisions.admission.warmup import WarmupLimit
from rosemaryward.decisions.admission.weighted_queue import WeightedRankQueue
from rosemaryward.decisions.errors import OverloadError
from rosemaryward.decisions.types import Rank

__all__ = ["AdmissionQueue"]

CLOCK_RESOLUTION_S = 1e-5  # a timer may fire early by the resolution of the clock


class AdmissionQueue:
    """Admits statements to the slots of one instance, urgent ones first.

    Parameters
    ----------
    slots : int
        Statements that the instance runs at once.
    ranks : Mapping of Rank to RankSection
        Floors and queue limits; a missing rank gets the defaults.
    settings : AdmissionSettings, optional
    weights : callable, optional
        Returns the weight of a tenant, None if it is not known. Without it, all
        tenants have equal shares.

    Notes
    -----
    The queue has no task of its own. Tasks that wait for a slot also watch their
    deadlines. One of them, the poller, offers a slot reserved for urgent statements
    again, because another rank may have become entitled to it. It also raises the
    limit of a warm-up that is due without an answer.

    Examples
    --------
    >>> async with queue.slot(Rank.URGENT, "depot-7", "bookings", 2.0):
    ...     await connection.execute(sql, 2.0)
    """

    __slots__ = (
        "accounts",
        "closed",
        "concurrency",
        "last_checked_rank",
        "limit",
        "poller",
        "queued",
        "rank_queues",
        "ranks",
        "reserve",
        "returns",
        "running",
        "settings",
        "slots",
        "updated_at",
        "warmup",
        "weights",
    )

    def __init__(
        self,
        slots: int,
        ranks: Mapping[Rank, RankSection],
        settings: AdmissionSettings | None = None,
        weights: TenantWeights | None = None,
    ) -> None:
        self.slots = slots
        self.limit = slots
        self.concurrency = ConcurrencyLimit(slots)
        self.warmup = WarmupLimit(slots)
        self.settings = settings or AdmissionSettings()
        self.ranks = tuple(ranks.get(rank, RankSection()) for rank in Rank)
        self.weights = weights
        self.rank_queues = tuple(_create_rank_queue(weights) for _ in Rank)
        self.returns = ReturnSchedule(self.settings.maximum_spread_s)
        self.accounts = tuple(
            RankAccount(0.0 if rank is Rank.URGENT else section.floor, self.settings)
            for rank, section in zip(Rank, self.ranks, strict=True)
        )
        self.running = 0
        self.queued = 0
        self.closed = False
        self.updated_at = -1.0  # before the first event
        self.reserve = UrgentReserve(self.settings)
        self.last_checked_rank = 0
        self.poller: SlotGrant | None = None

    def slot(
        self, rank: Rank, caller: str, tenant: str, deadline_s: float
    ) -> SlotGrant:
        """Return a context manager that holds a slot.

        Parameters
        ----------
        rank : Rank
        caller, tenant : str
            Tenants of a rank are served in proportion to their weights, round robin
            without weights, and the callers of a tenant round robin.
        deadline_s : float
            Time in seconds from now to the statement's deadline.

        Returns
        -------
        SlotGrant
            Entering it raises `OverloadError` if the statement is refused, on
            arrival or while it is queued.
        """
        return SlotGrant(self, rank, caller, tenant, deadline_s)

    def estimated_waits_s(self) -> dict[Rank, float]:
        """Return the estimated wait in seconds of a new statement by rank."""
        self._update_accounts(current_time())
        return {
            rank: self._estimated_wait_s(rank, self.rank_queues[rank].shared_length)
            for rank in Rank
        }

    @property
    def load(self) -> float:
        """Running and queued requests per slot at present."""
        return (self.running + self.queued) / self.limit

    @property
    def is_full(self) -> bool:
        """Whether a new request has to wait."""
        return self.running >= self.limit

    def mean_load(self) -> float:
        """Return the mean share of the slots in use, and the queued requests per slot.

        Returns
        -------
        float
            Sum of both; 1 or more if new requests have to wait.
        """
        self._update_accounts(current_time())
        used = sum(account.mean_slots_used for account in self.accounts)
        if self.warmup.active:
            # The mean lags behind the limit, and others would send too much.
            used = max(used, self.running)
        return (used + self.queued) / self.limit

    def set_slots(self, slots: int) -> None:
        """Change the declared slots; running statements are not interrupted."""
        self._update_accounts(current_time())
        self.slots = slots
        self.concurrency.set_maximum(slots)
        self.warmup.set_slots(slots)
        self._update_limit()
        self._dispatch()

    def begin_warmup(self) -> None:
        """Limit the work in progress, as the endpoint has started or recovered.

        The limit rises by how the endpoint answers, see `WarmupLimit`. Running
        statements are not interrupted, and no request is refused because of it.
        """
        self.warmup.begin()
        self._update_limit()

    def record_overload(self) -> None:
        """Halve the limit of a warm-up after the endpoint refused work as busy."""
        self.warmup.record_overload(current_time())
        self._update_limit()

    def _update_limit(self) -> None:
        """Set the limit to the lower one of the measured and the warm-up's."""
        self.limit = self._limit_without_warmup()
        if self.warmup.active:
            self.limit = min(self.limit, self.warmup.limit)

    def _may_start_late(self) -> bool:
        """Return whether only a warm-up holds back a request that is late."""
        return self.warmup.active and self.running < self._limit_without_warmup()

    def _limit_without_warmup(self) -> int:
        return self.concurrency.limit if self.settings.adaptive else self.slots

    def _advance_warmup(self) -> None:
        if self.warmup.active:
            self.warmup.advance(self.updated_at, self.running)
            self._update_limit()

    def set_weights(self, weights: TenantWeights | None) -> None:
        """Change whether and how tenants are weighted; queued requests stay queued."""
        if weights == self.weights:
            return
        self.weights = weights
        queues = self.rank_queues
        self.rank_queues = tuple(_create_rank_queue(weights) for _ in Rank)
        for old, new in zip(queues, self.rank_queues, strict=True):
            while old.length:
                new.push(old.pop(current_time()))

    def close(self) -> None:
        """Refuse all queued and all later requests."""
        self.closed = True
        for queue in self.rank_queues:
            while queue.length:
                self._refuse(queue.peek(), "the admission queue was closed", 0.0)

    def request(self, grant: SlotGrant) -> None:
        """Grant a slot, queue the request or raise `OverloadError`."""
        if self.closed:
            raise OverloadError("the admission queue is closed")
        now = current_time()
        self._update_accounts(now)
        self._advance_warmup()
        grant.arrived_at = now
        rank = grant.rank
        if rank is Rank.URGENT:
            self.reserve.last_urgent_arrival_at = now
        has_free_slot = self.limit - self.running > self._reserved_slots(rank)
        if has_free_slot and not self.queued:
            self._start(grant, charged_to_floor=False)
            return
        self._enqueue(grant, has_free_slot)
        self._dispatch()
        self._refuse_late(rank)
        if grant.state is GrantState.REFUSED:
            raise grant.error or OverloadError("the admission queue refused a request")

    async def wait(self, grant: SlotGrant) -> None:
        """Wait until a queued request is granted; raises `OverloadError`."""
        try:
            while grant.state is GrantState.QUEUED:
                await self._wait_for_event(grant)
        except BaseException:
            self._cancel(grant)
            raise
        if grant.error is not None:
            raise grant.error

    def release(self, grant: SlotGrant, completed: bool) -> None:
        """Free the slot and give it to the next request.

        Parameters
        ----------
        grant : SlotGrant
        completed : bool
            Whether the time held counts as the statement's service time.
        """
        now = current_time()
        self._update_accounts(now)
        grant.state = GrantState.DONE
        account = self.accounts[grant.rank]
        if grant.charged_to_floor:
            account.floor_running -= 1
        else:
            account.spare_running -= 1
        self.running -= 1
        if completed:
            self._record_completed(grant, now)
        self._advance_warmup()
        if self.queued:
            self._dispatch()
            self.last_checked_rank = (self.last_checked_rank + 1) % len(Rank)
            self._refuse_late(Rank(self.last_checked_rank))

    def _record_completed(self, grant: SlotGrant, now: float) -> None:
        """Update the estimates with the times of a completed statement."""
        service_s = now - grant.started_at
        rank = grant.rank
        self.accounts[rank].record_service(service_s)
        if rank is Rank.URGENT:
            delayed = grant.other_ranks_at_start and grant.waited_s > 0.0
            latency_s = now - grant.arrived_at
            self.reserve.record(
                latency_s, service_s, delayed, self.slots, grant.deadline_s
            )
        running, started_at = grant.running_at_start, grant.started_at
        if self.warmup.active:
            sample_s = service_s if grant.samples_latency else 0.0
            self.warmup.record(rank, sample_s, running, started_at)
        if self.settings.adaptive and grant.samples_latency:
            self.concurrency.record(rank, service_s, running, started_at, now)
            self._update_limit()

    def _update_accounts(self, now: float) -> None:
        elapsed_s = now - self.updated_at
        if elapsed_s <= 0.0:
            return
        if self.updated_at < 0.0:
            elapsed_s = 0.0
        self.updated_at = now
        limit = self.limit
        for account, queue in zip(self.accounts, self.rank_queues, strict=True):
            account.advance(elapsed_s, limit, queue.length > 0)

    def _enqueue(self, grant: SlotGrant, has_free_slot: bool) -> None:
        rank = grant.rank
        queue = self.rank_queues[rank]
        service_s = self.accounts[rank].mean_service_s
        # At most half of the deadline: a rank whose statements have become slow must
        # still be able to start one, or its mean service time is never updated.
        service_s = min(service_s, grant.deadline_s * 0.5)
        grant.latest_start_at = grant.arrived_at + grant.deadline_s - service_s
        if not has_free_slot or queue.length:
            ahead = queue.requests_ahead(grant.tenant, grant.caller)
            wait_s = self._estimated_wait_s(rank, ahead)
            if not self.warmup.active:
                # Turns during a warm-up are rarer than they will be.
                turn_wait_s = queue.turn_wait_s(grant.tenant, grant.caller)
                wait_s = max(wait_s, turn_wait_s)
            wait_s *= self.settings.wait_margin_factor
            excess_s = wait_s + service_s - grant.deadline_s
            if excess_s > 0.0:
                raise self._overload_error(
                    grant, "the estimated wait exceeds the deadline", excess_s
                )
        if queue.length >= self.ranks[rank].queue_limit:
            self._displace(queue, grant)
        grant.state = GrantState.QUEUED
        queue.push(grant)
        self.queued += 1

    def _displace(self, queue: RequestQueue, arriving: SlotGrant) -> None:
        """Refuse a request of the largest caller to make room for a smaller one."""
        newest = queue.newest_of_largest_caller()
        if newest is None or not queue.may_displace(arriving):
            raise self._overload_error(arriving, "the queue is full", 0.0)
        self._refuse(newest, "displaced by a caller with fewer statements", 0.0)

    def _overload_error(
        self, grant: SlotGrant, reason: str, excess_s: float
    ) -> OverloadError:
        settings = self.settings
        retry_s = max(excess_s, settings.minimum_retry_s)
        share = self.rank_queues[grant.rank].share_of(grant.tenant)
        if share is None:
            return OverloadError(reason, min(retry_s, settings.maximum_retry_s))
        interval_s = self.accounts[grant.rank].mean_service_s / self.limit / share
        retry_s = self.returns.reserve_s(
            grant.tenant, self.updated_at, retry_s, interval_s
        )
        return OverloadError(f"{reason}, retry in {retry_s:.2f} s", retry_s)

    def _refuse(self, grant: SlotGrant, reason: str, excess_s: float) -> None:
        self._remove_queued(grant)
        grant.state = GrantState.REFUSED
        grant.error = self._overload_error(grant, reason, excess_s)
        grant.wake()

    def _remove_queued(self, grant: SlotGrant) -> None:
        self.rank_queues[grant.rank].remove(grant)
        self.queued -= 1
        if self.poller is grant:
            self.poller = None

    def _cancel(self, grant: SlotGrant) -> None:
        """Remove a cancelled request, or free the slot if it was just granted."""
        self._update_accounts(current_time())
        if grant.state is GrantState.QUEUED:
            self._remove_queued(grant)
            grant.state = GrantState.DONE
            self._dispatch()
        elif grant.state is GrantState.GRANTED:
            self.release(grant, completed=False)

    def _start(self, grant: SlotGrant, charged_to_floor: bool) -> None:
        account = self.accounts[grant.rank]
        if charged_to_floor:
            account.floor_running += 1
        else:
            account.spare_running += 1
        self.running += 1
        grant.charged_to_floor = charged_to_floor
        grant.running_at_start = self.running
        grant.other_ranks_at_start = self.running > account.running
        grant.started_at = self.updated_at
        grant.state = GrantState.GRANTED
        grant.wake()

    def _dispatch(self) -> None:
        """Start queued requests while slots are available to them."""
        self._advance_warmup()
        while self.queued and self.running < self.limit:
            choice = self._choose_rank()
            if choice is None:
                self._select_poller()
                return
            rank, charged_to_floor = choice
            queue = self.rank_queues[rank]
            is_late = queue.peek().latest_start_at < self.updated_at
            if is_late and not self._may_start_late():
                self._refuse(queue.peek(), "the deadline cannot be met", 0.0)
                continue
            grant = queue.pop(self.updated_at)
            self.queued -= 1
            if self.poller is grant:
                self.poller = None
            self._start(grant, charged_to_floor)
        if self.queued and self.warmup.active:
            self._select_poller()

    def _choose_rank(self) -> tuple[Rank, bool] | None:
        """Return the rank that gets a free slot and whether its floor is charged."""
        settings = self.settings
        has_urgent = self.rank_queues[Rank.URGENT].length > 0
        rank = Rank.NORMAL if self.rank_queues[Rank.NORMAL].length else Rank.BULK
        if not has_urgent and self.limit - self.running > self._reserved_slots(rank):
            entitled = self._entitled_rank(0.0)
            return (entitled, True) if entitled is not None else (rank, False)
        slack_s = settings.floor_slack_share * settings.floor_window_s * self.limit
        entitled = self._entitled_rank(slack_s)
        if entitled is not None:
            return entitled, True
        return (Rank.URGENT, False) if has_urgent else None

    def _entitled_rank(self, minimum_s: float) -> Rank | None:
        """Return the queued rank with the largest credit of at least `minimum_s`."""
        best: Rank | None = None
        best_credit_s = minimum_s
        for rank in (Rank.NORMAL, Rank.BULK):
            account = self.accounts[rank]
            if account.floor and self.rank_queues[rank].length:
                credit_s = account.available_credit_s()
                if credit_s >= best_credit_s:
                    best, best_credit_s = rank, credit_s
        return best

    def _reserved_slots(self, rank: Rank) -> int:
        """Return how many slots a statement of the rank must leave free."""
        if rank is Rank.URGENT:
            return 0
        normal, bulk = self.accounts[Rank.NORMAL], self.accounts[Rank.BULK]
        longest_s = max(normal.mean_service_s, bulk.mean_service_s)
        return self.reserve.reserved_slots(rank, self.limit, self.updated_at, longest_s)

    def _estimated_wait_s(self, rank: Rank, ahead: float) -> float:
        """Return the estimated wait in seconds behind `ahead` requests of the rank."""
        if self.running < self.limit and not self.queued:
            return 0.0
        accounts = self.accounts
        account = accounts[rank]
        own_s = ahead * account.mean_service_s
        higher_s = residual_s = 0.0
        # A trial of another limit ends before the queue is empty.
        limit = self.concurrency.settled_limit
        slots = limit - self._reserved_slots(rank) + 0.0
        for other in Rank:
            queued = self.rank_queues[other].length
            if other < rank:
                higher_s += queued * accounts[other].mean_service_s
                slots -= accounts[other].mean_slots_used
            elif other > rank and queued:
                slots -= accounts[other].floor * limit
            residual_s += accounts[other].running * accounts[other].mean_service_s
        wait_s = (higher_s + own_s) / slots if slots > 0.0 else float("inf")
        rate = account.floor * limit
        if rate:
            wait_s = min(wait_s, (own_s + max(0.0, -account.credit_s)) / rate)
        return wait_s + residual_s / max(self.running, 1) / limit

    def _refuse_late(self, rank: Rank) -> None:
        """Refuse the largest caller's newest request if it would miss its deadline."""
        queue = self.rank_queues[rank]
        newest = queue.newest_of_largest_caller()
        if newest is None:
            return
        ahead = queue.requests_ahead_of_newest()
        wait_s = self._estimated_wait_s(rank, ahead) / self.settings.wait_margin_factor
        late_s = self.updated_at + wait_s - newest.latest_start_at
        if late_s > 0.0:
            self._refuse(newest, "the deadline cannot be met", late_s)
            if self.poller is None:
                self._dispatch()

    def _select_poller(self) -> None:
        if self.poller is None:
            queue = next(queue for queue in self.rank_queues if queue.length)
            self.poller = queue.peek()
            self.poller.wake()

    async def _wait_for_event(self, grant: SlotGrant) -> None:
        grant.event = anyio.Event()
        until = grant.latest_start_at
        if self.poller is grant:
            until = min(until, current_time() + self.settings.reserve_poll_interval_s)
        with anyio.CancelScope(deadline=until):
            await grant.event.wait()
        if grant.state is not GrantState.QUEUED:
            return
        now = current_time()
        self._update_accounts(now)
        if now >= grant.latest_start_at - CLOCK_RESOLUTION_S:
            if self._may_start_late():
                self._remove_queued(grant)
                self._start(grant, charged_to_floor=False)
                return
            self._refuse(grant, "the deadline cannot be met", 0.0)
        self._dispatch()


def _create_rank_queue(weights: TenantWeights | None) -> RequestQueue:
    return RankQueue() if weights is None else WeightedRankQueue(weights)
