"""Decides when the primary must be replaced, and by whom."""

from __future__ import annotations

from random import Random
from typing import TYPE_CHECKING

import anyio

from rosemaryward.decisions.groups.agreement import Opinions
from rosemaryward.decisions.groups.election import PromotionAttempt
from rosemaryward.decisions.groups.majority import is_primary
from rosemaryward.decisions.messages import PrimaryRecord
from rosemaryward.decisions.types import EndpointId

if TYPE_CHECKING:
    from rosemaryward.decisions.groups.supervisor import GroupSupervisor

__all__ = ["Replacement"]

# While the primary is silent, the others are polled this often, so that a newer
# term is known before this process proposes one.
HURRIED_INTERVAL_S = 0.03
REFRESH_S = 0.1  # time for the reachable instances to report a newer term
CATCH_UP_S = 1.0  # time for a replica to reach a leaving primary
MOST_DOUBLINGS = 3


class Replacement:
    """Replaces a failed, leaving or missing primary.

    Parameters
    ----------
    group : GroupSupervisor
    opinions : Opinions
    random : random.Random

    Attributes
    ----------
    proposer_index : int
        Place of this process among the proposers; later ones wait longer.
    promotions, failed_promotions, false_suspicions : int
    """

    __slots__ = (
        "_failures",
        "_leaderless",
        "_not_before",
        "_orderly_since",
        "_split_term",
        "_was_suspected",
        "failed_promotions",
        "false_suspicions",
        "group",
        "opinions",
        "promotions",
        "proposer_index",
        "random",
    )

    def __init__(
        self, group: GroupSupervisor, opinions: Opinions, random: Random
    ) -> None:
        self.group = group
        self.opinions = opinions
        self.random = random
        self.proposer_index = 0
        self.promotions = 0
        self.failed_promotions = 0
        self.false_suspicions = 0
        self._failures = 0
        self._split_term = -1  # term that no proposer can have won
        self._not_before = 0.0
        self._leaderless: tuple[object, float] | None = None
        self._orderly_since: float | None = None
        self._was_suspected: PrimaryRecord | None = None

    async def consider(self) -> None:
        """Replace the primary if that is due; return soon otherwise."""
        self._count_false_suspicion()
        if anyio.current_time() < self._not_before or not self._hears_majority():
            return
        record = self.group.primary
        term = max(self.group.view.highest_term(), record.term if record else 0)
        if record is None or record.term < term or self._is_deposed(record):
            await self._consider_leaderless(term)
            return
        self._leaderless = None
        if self._is_leaving(record.instance):
            await self._consider_leaving(record)
        else:
            self._orderly_since = None
            await self._consider_suspect(record)

    def _hears_majority(self) -> bool:
        now = anyio.current_time()
        heard = sum(
            monitor.status is not None and not monitor.detector.is_silent(now)
            for monitor in self.group.monitors.values()
        )
        return heard >= self.group.view.majority

    def _is_deposed(self, record: PrimaryRecord) -> bool:
        """Return whether the recorded primary denies being one in its own term."""
        monitor = self.group.monitors.get(record.instance)
        if monitor is None:
            return True
        status = monitor.status
        return (
            status is not None
            and status.term == record.term
            and not is_primary(status, record.term)
        )

    def _is_leaving(self, instance: str) -> bool:
        status = self.group.status_of(instance)
        section = self.group.instances[instance]
        return section.leaving or (status is not None and status.leaving)

    def _delay_s(self) -> float:
        return self.proposer_index * self.group.settings.proposer_step_s

    async def _consider_suspect(self, record: PrimaryRecord) -> None:
        monitor = self.group.monitors[record.instance]
        now = anyio.current_time()
        if not monitor.detector.is_silent(now):
            return
        if monitor.detector.is_suspected(now):
            self._was_suspected = record
        agreed_since = await self.opinions.agreed_since(monitor.endpoint)
        if agreed_since is None:
            return
        for other in self.group.monitors.values():
            other.hurry(HURRIED_INTERVAL_S)
        now = anyio.current_time()
        since = monitor.detector.suspected_since(now)
        if since is None:
            return
        # All owners agree at about the same time, so the delay counts from then.
        patience_s = self._delay_s() + self.opinions.patience_s()
        if now - max(since, agreed_since) >= patience_s:
            await self._promote(record.term, suspect=record.instance)

    async def _consider_leaving(self, record: PrimaryRecord) -> None:
        """Replace a leaving primary once a replica has caught up with it."""
        group = self.group
        primary = group.monitors[record.instance]
        now = anyio.current_time()
        if primary.detector.is_silent(now):
            await self._consider_suspect(record)
            return
        stays = [n for n in group.monitors if self._can_take_over(n)]
        if not stays:
            return
        if self._orderly_since is None:
            self._orderly_since = now
        waited_s = now - self._orderly_since - self._delay_s()
        statuses = [group.status_of(name) for name in stays]
        best = max((s.received for s in statuses if s), default=None)
        known = primary.status
        caught_up = known is not None and best is not None and best >= known.received
        if waited_s >= 0 and (caught_up or waited_s > CATCH_UP_S):
            await self._promote(record.term)
            self._orderly_since = None

    def _can_take_over(self, name: str) -> bool:
        monitor = self.group.monitors[name]
        now = anyio.current_time()
        return not (
            self._is_leaving(name)
            or monitor.status is None
            or monitor.detector.is_silent(now)
        )

    async def _consider_leaderless(self, term: int) -> None:
        """Supersede a term whose proposer did not open any instance."""
        now = anyio.current_time()
        seen = (term, self._apply_progress(term))
        if self._leaderless is None or self._leaderless[0] != seen:
            self._leaderless = (seen, now)
        waited_s = now - self._leaderless[1] - self._delay_s()
        if waited_s < self.group.settings.leaderless_s and term != self._split_term:
            return
        for name, monitor in self.group.monitors.items():
            unheard = monitor.status is None or monitor.detector.is_silent(now)
            endpoint = EndpointId(self.group.database, name)
            if unheard and await self.opinions.agreed_since(endpoint) is None:
                return
        await self._promote(term, previous=self._preferred())

    def _preferred(self) -> str:
        """Return the last primary if it may stay the primary, or empty."""
        record = self.group.primary
        if record is None or record.instance not in self.group.monitors:
            return ""
        return "" if self._is_leaving(record.instance) else record.instance

    def _apply_progress(self, term: int) -> object:
        """Return a value that changes while a chosen instance is still applying."""
        statuses = [m.status for m in self.group.monitors.values()]
        fenced = [s for s in statuses if s and s.term == term]
        best = max(fenced, key=lambda s: s.received, default=None)
        return best.applied if best else None

    async def _promote(
        self, term: int, *, previous: str = "", suspect: str = ""
    ) -> None:
        """Run one attempt in the next term unless a newer term shows up first."""
        group = self.group
        await self._refresh()
        if group.view.highest_term() > term:
            return
        attempt = PromotionAttempt(
            group.monitors,
            group.instances,
            group.place,
            term + 1,
            # A restarted process must not take over the term of its predecessor.
            f"{group.host_id}-{self.random.getrandbits(48):012x}",
            group.settings,
            previous=previous,
            suspect=suspect,
        )
        instance = await attempt.run()
        if instance is None:
            self._split_term = attempt.term if attempt.leaves_no_winner() else -1
            self._back_off()
            return
        self.promotions += 1
        self._failures = 0
        self._was_suspected = None
        group.announce(PrimaryRecord(group.database, attempt.term, instance))

    async def _refresh(self) -> None:
        now = anyio.current_time()
        with anyio.move_on_after(REFRESH_S):
            async with anyio.create_task_group() as tasks:
                for monitor in self.group.monitors.values():
                    recent = monitor.is_fresh(2 * HURRIED_INTERVAL_S)
                    if not recent and not monitor.detector.is_silent(now):
                        tasks.start_soon(monitor.fresh)

    def _back_off(self) -> None:
        self.failed_promotions += 1
        mean_s = self.group.settings.backoff_s * 2 ** min(
            self._failures, MOST_DOUBLINGS
        )
        self._failures += 1
        self._not_before = anyio.current_time() + self.random.uniform(0.3, 1.7) * mean_s

    def _count_false_suspicion(self) -> None:
        record = self._was_suspected
        if record is None:
            return
        if record != self.group.primary:
            self._was_suspected = None
        elif not self.group.monitors[record.instance].detector.failures:
            self.false_suspicions += 1
            self._was_suspected = None
