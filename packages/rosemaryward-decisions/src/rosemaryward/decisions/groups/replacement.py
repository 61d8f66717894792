"""Replacement of a failed, leaving or missing primary."""

from __future__ import annotations

from random import Random
from typing import TYPE_CHECKING

import anyio

from rosemaryward.decisions.groups.agreement import FailureAgreement
from rosemaryward.decisions.groups.election import PromotionAttempt
from rosemaryward.decisions.groups.majority import is_primary
from rosemaryward.decisions.messages import PrimaryRecord
from rosemaryward.decisions.types import EndpointId

if TYPE_CHECKING:
    from rosemaryward.decisions.groups.supervisor import GroupSupervisor

__all__ = ["PrimaryReplacement"]

# Poll interval of the other instances while the primary does not answer, so that this
# process learns of a newer term before it proposes one.
SUSPICION_POLL_INTERVAL_S = 0.03
REFRESH_TIMEOUT_S = 0.1  # for reachable instances to report a newer term
CATCH_UP_TIMEOUT_S = 1.0  # for a replica to receive the log of a leaving primary
MAX_BACKOFF_DOUBLINGS = 3


class PrimaryReplacement:
    """Starts a promotion when the primary has failed, leaves or is missing.

    Parameters
    ----------
    group : GroupSupervisor
    agreement : FailureAgreement
    random : random.Random
        Source of proposer identifiers and backoff jitter.

    Attributes
    ----------
    proposer_index : int
        Position of this process in the order of proposers, from 0. Proposers with a
        higher index wait longer.
    promotions, failed_promotions, false_suspicions : int
        Number of completed promotions, of failed attempts and of suspicions of a
        primary that answered again.
    """

    __slots__ = (
        "_failures",
        "_handover_since",
        "_missing_primary",
        "_next_attempt_at",
        "_split_term",
        "_suspected_record",
        "agreement",
        "failed_promotions",
        "false_suspicions",
        "group",
        "promotions",
        "proposer_index",
        "random",
    )

    def __init__(
        self, group: GroupSupervisor, agreement: FailureAgreement, random: Random
    ) -> None:
        self.group = group
        self.agreement = agreement
        self.random = random
        self.proposer_index = 0
        self.promotions = 0
        self.failed_promotions = 0
        self.false_suspicions = 0
        self._failures = 0
        self._split_term = -1  # term that no proposer is expected to have won
        self._next_attempt_at = 0.0
        self._missing_primary: tuple[object, float] | None = None
        self._handover_since: float | None = None
        self._suspected_record: PrimaryRecord | None = None

    async def replace_if_due(self) -> None:
        """Replace the primary if that is due, or return without a long wait."""
        self._count_false_suspicion()
        if anyio.current_time() < self._next_attempt_at or not self._reaches_majority():
            return
        record = self.group.primary
        term = max(self.group.view.highest_term(), record.term if record else 0)
        if record is None or record.term < term or self._has_stepped_down(record):
            await self._handle_missing_primary(term)
            return
        self._missing_primary = None
        if self.group.is_leaving(record.instance):
            await self._handle_leaving_primary(record)
        else:
            self._handover_since = None
            await self._handle_suspected_primary(record)

    def _reaches_majority(self) -> bool:
        now = anyio.current_time()
        reachable = sum(
            monitor.status is not None and not monitor.detector.is_unresponsive(now)
            for monitor in self.group.monitors.values()
        )
        return reachable >= self.group.view.majority

    def _has_stepped_down(self, record: PrimaryRecord) -> bool:
        """Return whether the recorded primary is no longer primary in its term."""
        monitor = self.group.monitors.get(record.instance)
        if monitor is None:
            return True
        status = monitor.status
        return (
            status is not None
            and status.term == record.term
            and not is_primary(status, record.term)
        )

    def _proposer_delay_s(self) -> float:
        return self.proposer_index * self.group.settings.proposer_stagger_s

    async def _handle_suspected_primary(self, record: PrimaryRecord) -> None:
        monitor = self.group.monitors[record.instance]
        now = anyio.current_time()
        if not monitor.detector.is_unresponsive(now):
            return
        if monitor.detector.is_suspected(now):
            self._suspected_record = record
        agreed_since = await self.agreement.agreed_since(monitor.endpoint)
        if agreed_since is None:
            return
        for other in self.group.monitors.values():
            other.refresh_if_older(SUSPICION_POLL_INTERVAL_S)
        now = anyio.current_time()
        since = monitor.detector.suspected_since(now)
        if since is None:
            return
        # All owners agree at about the same time, so delays count from the agreement.
        required_s = self._proposer_delay_s() + self.agreement.required_duration_s()
        if now - max(since, agreed_since) >= required_s:
            await self._promote(record.term, suspect=record.instance)

    async def _handle_leaving_primary(self, record: PrimaryRecord) -> None:
        """Replace a leaving primary once a replica has received its log."""
        group = self.group
        primary = group.monitors[record.instance]
        now = anyio.current_time()
        if primary.detector.is_unresponsive(now):
            await self._handle_suspected_primary(record)
            return
        candidates = [n for n in group.monitors if self._can_take_over(n)]
        if not candidates:
            return
        if self._handover_since is None:
            self._handover_since = now
        waited_s = now - self._handover_since - self._proposer_delay_s()
        statuses = [group.status_of(name) for name in candidates]
        best = max((s.received for s in statuses if s), default=None)
        status = primary.status
        caught_up = status is not None and best is not None and best >= status.received
        if waited_s >= 0 and (caught_up or waited_s > CATCH_UP_TIMEOUT_S):
            await self._promote(record.term)
            self._handover_since = None

    def _can_take_over(self, name: str) -> bool:
        monitor = self.group.monitors[name]
        now = anyio.current_time()
        return not (
            self.group.is_leaving(name)
            or monitor.status is None
            or monitor.detector.is_unresponsive(now)
        )

    async def _handle_missing_primary(self, term: int) -> None:
        """Supersede a term in which no instance was opened for writes."""
        now = anyio.current_time()
        seen = (term, self._apply_progress(term))
        if self._missing_primary is None or self._missing_primary[0] != seen:
            self._missing_primary = (seen, now)
        waited_s = now - self._missing_primary[1] - self._proposer_delay_s()
        if (
            waited_s < self.group.settings.no_primary_timeout_s
            and term != self._split_term
        ):
            return
        for name, monitor in self.group.monitors.items():
            unreachable = monitor.status is None or monitor.detector.is_unresponsive(
                now
            )
            endpoint = EndpointId(self.group.database, name)
            if unreachable and await self.agreement.agreed_since(endpoint) is None:
                return
        await self._promote(term, previous=self._preferred_instance())

    def _preferred_instance(self) -> str:
        """Return the last primary if it can remain the primary, or an empty string."""
        record = self.group.primary
        if record is None or record.instance not in self.group.monitors:
            return ""
        return "" if self.group.is_leaving(record.instance) else record.instance

    def _apply_progress(self, term: int) -> object:
        """Return a value that changes while the chosen instance applies its log."""
        statuses = [m.status for m in self.group.monitors.values()]
        fenced = [s for s in statuses if s and s.term == term]
        best = max(fenced, key=lambda s: s.received, default=None)
        return best.applied if best else None

    async def _promote(
        self, term: int, *, previous: str = "", suspect: str = ""
    ) -> None:
        """Run one promotion attempt in the next term unless a newer term is known."""
        group = self.group
        await self._refresh()
        if group.view.highest_term() > term:
            return
        attempt = PromotionAttempt(
            group.monitors,
            group.instances,
            group.place,
            term + 1,
            # The random part prevents a restarted process from reusing a term that
            # its previous run proposed.
            f"{group.host_id}-{self.random.getrandbits(48):012x}",
            group.settings,
            previous=previous,
            suspect=suspect,
        )
        instance = await attempt.run()
        if instance is None:
            self._split_term = attempt.term if attempt.is_split_vote() else -1
            self._back_off()
            return
        self.promotions += 1
        self._failures = 0
        self._suspected_record = None
        group.announce_primary(PrimaryRecord(group.database, attempt.term, instance))

    async def _refresh(self) -> None:
        now = anyio.current_time()
        with anyio.move_on_after(REFRESH_TIMEOUT_S):
            async with anyio.create_task_group() as tasks:
                for monitor in self.group.monitors.values():
                    recent = monitor.is_fresh(2 * SUSPICION_POLL_INTERVAL_S)
                    if not recent and not monitor.detector.is_unresponsive(now):
                        tasks.start_soon(monitor.fresh_status)

    def _back_off(self) -> None:
        self.failed_promotions += 1
        mean_s = self.group.settings.backoff_s * 2 ** min(
            self._failures, MAX_BACKOFF_DOUBLINGS
        )
        self._failures += 1
        self._next_attempt_at = (
            anyio.current_time() + self.random.uniform(0.3, 1.7) * mean_s
        )

    def _count_false_suspicion(self) -> None:
        record = self._suspected_record
        if record is None:
            return
        if record != self.group.primary:
            self._suspected_record = None
        elif not self.group.monitors[record.instance].detector.failures:
            self.false_suspicions += 1
            self._suspected_record = None
