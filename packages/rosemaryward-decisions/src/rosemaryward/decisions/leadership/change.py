"""Change of a group's primary: announce, fence, promote, publish."""

import math
from collections.abc import Callable

import anyio
import msgspec
import structlog

from rosemaryward.decisions.clock import boot_time_s
from rosemaryward.decisions.errors import (
    EndpointError,
    PeerError,
    RosemarywardError,
)
from rosemaryward.decisions.leadership.candidates import (
    CandidateSelector,
    EndpointStatuses,
)
from rosemaryward.decisions.leadership.context import FailoverContext
from rosemaryward.decisions.leadership.control import EndpointStatus
from rosemaryward.decisions.leadership.fencing import MemberFence
from rosemaryward.decisions.leadership.members import (
    FenceRequest,
    MemberRecord,
    RecordNotice,
)
from rosemaryward.decisions.leadership.records import (
    CONFIRMATION_VALIDITY_S,
    UNVERIFIED_READ_S,
    VERIFICATION_VALIDITY_S,
    GroupRecord,
)
from rosemaryward.decisions.types import LogPosition

__all__ = [
    "ChangeAbandonedError",
    "PrimaryChange",
]

CONFIRMATION_MARGIN_S = 0.2  # clock drift between hosts during one confirmation
PROMPT_FENCE_S = 0.5  # most members answer by then
POSITION_RETRY_S = 0.1
CATCH_UP_TIMEOUT_S = 0.3  # for entries of a demoted primary that are in transit
STATUS_POLL_INTERVAL_S = 0.03
PROMOTION_TIMEOUT_S = 6.0
PROMOTION_RETRY_S = 0.1
ENDPOINT_REPLY_TIMEOUT_S = 1.0  # a busy endpoint turns single status calls away
RECORD_LOST = "record lost with the restored store"

log = structlog.get_logger(__name__)


class ChangeAbandonedError(RosemarywardError):
    """A change of primary cannot continue; its record keeps `serving` false."""


class _Promoted(msgspec.Struct, frozen=True):
    """Endpoint that leads a new term."""

    endpoint_id: str
    term: int


class _Demotion(msgspec.Struct, frozen=True):
    """Demotion that the old primary has confirmed.

    Parameters
    ----------
    at : float
        Boot time of the answer, in seconds.
    started_at : int
        Start of the endpoint's process; one that starts again may lead again.
    """

    at: float
    started_at: int


class PrimaryChange:
    """One change of the primary of a group.

    Parameters
    ----------
    group : str
        Group whose primary is replaced.
    context : FailoverContext
        Objects that the change uses.
    clock : callable, optional
        Boot time in seconds.

    Attributes
    ----------
    acknowledged : LogPosition
        Newest position of an acknowledged write, as reported by fenced members.
    committed : LogPosition
        Position that an acknowledged write has at least, as reported likewise.
    all_members_fenced : bool
        Whether every member that may use primaries has answered the fence.
    revision : int
        Store revision of the record that announced the change.
    old_primary_silent : bool
        Whether the old primary is assumed not to answer.
    demotion : _Demotion or None
        Demotion of the old primary before all members were fenced.
    candidates : CandidateSelector
        Selects the endpoint to promote.
    pending : PendingPromotions
        Promotion calls that may still take effect.
    """

    def __init__(
        self,
        group: str,
        context: FailoverContext,
        clock: Callable[[], float] = boot_time_s,
    ) -> None:
        self.group = group
        self.context = context
        self.clock = clock
        self.acknowledged = LogPosition()
        self.committed = LogPosition()
        self.all_members_fenced = False
        self.revision = 0
        self.old_primary_silent = False
        self.demotion: _Demotion | None = None
        self.candidates = CandidateSelector(group, context)
        self.pending = context.leadership.pending_promotions

    async def run(self, reason: str, old_primary_silent: bool = False) -> None:
        """Replace the primary and publish the new one.

        Parameters
        ----------
        reason : str
            Reason of the change, for the log.
        old_primary_silent : bool
            Whether not to wait for an answer of the old primary.

        Raises
        ------
        ChangeAbandonedError
            If the failover lock is lost or no replica can be promoted safely.
        ConflictError
            If another proxy has changed the record.
        StoreError
            If the store does not answer.
        """
        self.old_primary_silent = old_primary_silent
        with self.context.confirmation.track_change():
            await self._run(reason)

    async def _run(self, reason: str) -> None:
        started_at = self.clock()
        record = await self._announce(reason)
        announced_at = self.clock()
        primary = await self._fence_members(record, announced_at)
        fenced_at = self.clock()
        if primary is None:
            primary = await self._find_promoted(record)
        if primary is None:
            primary = await self._promote_best(record)
        await self._publish(record, primary)
        log.info(
            "primary changed",
            group=self.group,
            old=record.primary,
            new=primary.endpoint_id,
            epoch=record.epoch,
            term=primary.term,
            old_term=record.term,
            reason=reason,
            fence_s=round(fenced_at - started_at, 3),
            total_s=round(self.clock() - started_at, 3),
        )

    async def _announce(self, reason: str) -> GroupRecord:
        """Announce a change of primary, or take over an interrupted one."""
        known = self.context.leadership.records[self.group]
        known_revision = self.context.leadership.revisions[self.group]
        if not known.serving and known.holder != self.context.lock.holder:
            self.pending.take_over(self.group, known.pending)
        record = GroupRecord(
            epoch=self.context.leadership.next_epoch(self.group),
            primary=known.primary,
            serving=False,
            holder=self.context.lock.holder,
            term=known.term,
            pending=tuple(self.pending.endpoints(self.group)),
        )
        self._check_lock()
        log.info(
            "primary change begins",
            group=self.group,
            old=known.primary,
            epoch=record.epoch,
            reason=reason,
            pending=record.pending,
            token=self.context.lock.token,
        )
        self.revision = await self.context.writer.write(
            self.group, record, known_revision
        )
        self.context.leadership.observe(self.group, record, self.revision)
        return record

    async def _fence_members(
        self, record: GroupRecord, announced_at: float
    ) -> _Promoted | None:
        """Wait until no member can use the old primary any more.

        Returns
        -------
        _Promoted or None
            Endpoint that was promoted meanwhile, because some members do not answer.
        """
        all_known = self.context.members.are_all_known()
        # A member that registers after this read has seen the announcement.
        await self.context.refresh_members()
        fence = MemberFence(
            FenceRequest(self.group, record.epoch),
            self.context.members,
            self.context.peers,
            self.context.fence_reports,
            self.context.lock.is_held,
            self.clock,
        )
        promoted = None
        if not await fence.run(announced_at + PROMPT_FENCE_S):
            promoted = await self._continue_fence(
                record, fence, announced_at, may_promote=all_known
            )
        self._check_lock()
        self.acknowledged = fence.acknowledged
        self.committed = fence.committed
        self.all_members_fenced = all_known and fence.is_complete()
        if not self.all_members_fenced:
            log.warning(
                "members not fenced",
                group=self.group,
                epoch=record.epoch,
                members=[member.name for member in fence.unfenced()],
                waited_s=round(self.clock() - announced_at, 3),
                promoted=None if promoted is None else promoted.endpoint_id,
            )
        return promoted

    async def _continue_fence(
        self,
        record: GroupRecord,
        fence: MemberFence,
        announced_at: float,
        may_promote: bool,
    ) -> _Promoted | None:
        """Go on with the fence, and promote an endpoint meanwhile if that is safe."""
        promoted: _Promoted | None = None
        failure: RosemarywardError | None = None
        until = announced_at + CONFIRMATION_VALIDITY_S + CONFIRMATION_MARGIN_S
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(fence.run, until)
            try:
                if may_promote:
                    promoted = await self._promote_during_fence(record, fence)
                if promoted is not None:
                    await self._wait_until_unread(record, promoted, fence, announced_at)
            except RosemarywardError as error:
                failure = error
            if promoted is not None or failure is not None:
                tasks.cancel_scope.cancel()
        if failure is not None:
            raise failure
        return promoted

    async def _promote_during_fence(
        self, record: GroupRecord, fence: MemberFence
    ) -> _Promoted | None:
        """Promote an endpoint that has all that the demoted primary can acknowledge.

        Members that do not answer may still send writes to the old primary, and have
        them acknowledged, until it is demoted.

        Returns
        -------
        _Promoted or None
            None if the change has to wait until all members are fenced.
        """
        if self.old_primary_silent or not self.context.sync_replicas(self.group):
            return None
        promoted = await self._find_promoted(record)
        if promoted is not None:
            await self._demote_early(record.primary, promoted.term)
            return promoted
        if self.pending.endpoints(self.group):
            return None
        statuses = await self._query_endpoints(
            self._other_ids(record), self.context.control.status
        )
        term = self._next_term(statuses, record)
        demoted = await self._demote_early(record.primary, term)
        if demoted is None:
            return None
        await self._wait_for_entries(record, demoted)
        # One that returns as a primary after a crash gets no commits confirmed.
        statuses = await self._hold_replicas(self._other_ids(record), term)
        complete = self.candidates.complete_replicas(record.primary, demoted, statuses)
        statuses.answered[record.primary] = demoted
        best = self.candidates.choose(statuses, complete, None, fence.committed)
        if best is None:
            return None
        new_term = await self._promote(best, record)
        return None if new_term is None else _Promoted(best, new_term)

    async def _demote_early(self, endpoint_id: str, term: int) -> EndpointStatus | None:
        """Demote the old primary; return its status, None if it may still lead."""
        self.demotion = None
        demoted = await self._demote(endpoint_id, term)
        endpoint = self.context.directory.endpoints.get(endpoint_id)
        if demoted is None or demoted.is_primary or endpoint is None:
            return None
        self.demotion = _Demotion(self.clock(), endpoint.started_at)
        return demoted

    async def _wait_until_unread(
        self,
        record: GroupRecord,
        promoted: _Promoted,
        fence: MemberFence,
        announced_at: float,
    ) -> None:
        """Wait until members that have not been fenced read the old primary no more.

        They verify that it leads once their confirmation is `UNVERIFIED_READ_S` old,
        so the wait is short if it has been demoted.
        """
        until = announced_at + CONFIRMATION_VALIDITY_S + CONFIRMATION_MARGIN_S
        while not fence.is_complete() and self.clock() < until:
            self._check_lock()
            unread_at = self._unread_at(fence, announced_at)
            is_due = unread_at <= self.clock()
            if is_due and await self._stays_demoted(record.primary, promoted.term):
                return
            wait_s = max(unread_at - self.clock(), STATUS_POLL_INTERVAL_S)
            await anyio.sleep(min(wait_s, POSITION_RETRY_S))

    def _unread_at(self, fence: MemberFence, announced_at: float) -> float:
        """Return when no member without a fence reads the old primary any more."""
        may_trust_longer = not all(m.verifies_reads for m in fence.unfenced())
        if self.demotion is None or may_trust_longer:
            return math.inf
        trusted_until = announced_at + UNVERIFIED_READ_S
        verified_until = self.demotion.at + VERIFICATION_VALIDITY_S
        return max(trusted_until, verified_until) + CONFIRMATION_MARGIN_S

    async def _stays_demoted(self, endpoint_id: str, term: int) -> bool:
        """Return whether the old primary is the process that was demoted."""
        earlier = self.demotion
        if await self._demote_early(endpoint_id, term) is None:
            return False
        assert earlier is not None
        assert self.demotion is not None
        if self.demotion.started_at != earlier.started_at:
            return False
        self.demotion = earlier
        return True

    async def _find_promoted(self, record: GroupRecord) -> _Promoted | None:
        """Return an endpoint that an interrupted change has already promoted.

        It leads the newest term, which is later than that of the last primary that
        served. A primary that was replaced earlier also reports itself as primary.
        """
        statuses = await self._query_endpoints(
            self._other_ids(record), self.context.control.status
        )
        newest_term = max((s.term for s in statuses.answered.values()), default=0)
        for endpoint_id, status in statuses.answered.items():
            if not status.is_primary:
                continue
            is_promoted = 0 < record.term < status.term == newest_term
            may_be_replaced = self.pending.others(self.group, endpoint_id)
            log.info(
                "primary found",
                group=self.group,
                endpoint=endpoint_id,
                term=status.term,
                last_term=record.term,
                newest_term=newest_term,
                pending=may_be_replaced,
                adopted=is_promoted and not may_be_replaced,
            )
            if is_promoted and not may_be_replaced:
                self.pending.resolve(self.group, endpoint_id)
                return _Promoted(endpoint_id, status.term)
        return None

    async def _promote_best(self, record: GroupRecord) -> _Promoted:
        """Promote an endpoint that has all acknowledged writes.

        Raises
        ------
        ChangeAbandonedError
            If there is none in time.
        """
        started_at = self.clock()
        while True:
            self._check_lock()
            best = await self._find_candidate(record)
            if best is not None:
                promoted = await self._promote_or_wait(best, record)
                if promoted is not None:
                    return promoted
            if self.clock() - started_at > CONFIRMATION_VALIDITY_S:
                raise ChangeAbandonedError(
                    f"{self.group}: expected a replica that is known to have every "
                    f"acknowledged write, found none in {CONFIRMATION_VALIDITY_S} s"
                )
            await anyio.sleep(POSITION_RETRY_S)

    async def _promote_or_wait(
        self, endpoint_id: str, record: GroupRecord
    ) -> _Promoted | None:
        """Promote an endpoint, unless an earlier call may promote another one."""
        others = self.pending.others(self.group, endpoint_id)
        if others:
            log.info(
                "promotion waits for earlier calls",
                group=self.group,
                endpoint=endpoint_id,
                pending=others,
            )
            return await self._find_promoted(record)
        term = await self._promote(endpoint_id, record)
        return None if term is None else _Promoted(endpoint_id, term)

    async def _find_candidate(self, record: GroupRecord) -> str | None:
        """Return the endpoint to promote, the old primary only if no other can be."""
        statuses = await self._stop_commits(record)
        best = self._choose(statuses, record)
        if best is not None or not self._is_registered(record.primary):
            return best
        if record.primary not in statuses.answered:
            old = await self._query_endpoints(
                [record.primary], self.context.control.status
            )
            statuses = EndpointStatuses(
                statuses.answered | old.answered, statuses.silent + old.silent
            )
        if record.primary not in statuses.answered:
            return None
        return self._choose(statuses, record, old_primary=True)

    def _choose(
        self, statuses: EndpointStatuses, record: GroupRecord, old_primary: bool = False
    ) -> str | None:
        """Return the old primary, or another endpoint, if it has all commits."""
        pending = self.pending.endpoints(self.group)
        # A pending call prevents the promotion of others, so its endpoint goes first.
        eligible = sorted(
            (e for e in statuses.answered if (e == record.primary) is old_primary),
            key=lambda e: e not in pending,
        )
        reported = self.acknowledged if self.all_members_fenced else None
        return self.candidates.choose(statuses, eligible, reported, self.committed)

    async def _stop_commits(self, record: GroupRecord) -> EndpointStatuses:
        """Ensure that the old primary confirms no more commits; read the statuses."""
        replica_ids = self._other_ids(record)
        statuses = await self._query_endpoints(replica_ids, self.context.control.status)
        term = self._next_term(statuses, record)
        await self._demote_replaced(statuses, record, term)
        if self.old_primary_silent:
            # Without receiving replicas it cannot confirm commits, reachable or not.
            return await self._hold_replicas(replica_ids, term)
        demoted = await self._demote(record.primary, term)
        if demoted is None:
            self.old_primary_silent = True
            return await self._hold_replicas(replica_ids, term)
        # Entries that were confirmed before the demotion are in these statuses.
        statuses = await self._wait_for_entries(record, demoted)
        statuses.answered[record.primary] = demoted
        return statuses

    async def _wait_for_entries(
        self, record: GroupRecord, demoted: EndpointStatus
    ) -> EndpointStatuses:
        """Return the replicas' statuses, after a short wait for the primary's log."""
        deadline = self.clock() + CATCH_UP_TIMEOUT_S
        while True:
            statuses = await self._query_endpoints(
                self._other_ids(record), self.context.control.status
            )
            best = max((s.received for s in statuses.answered.values()), default=None)
            caught_up = best is not None and best >= demoted.received
            if caught_up or self.clock() >= deadline:
                return statuses
            await anyio.sleep(STATUS_POLL_INTERVAL_S)

    def _next_term(self, statuses: EndpointStatuses, record: GroupRecord) -> int:
        """Return a term above those of the group's endpoints."""
        terms = [self._newest_term(status) for status in statuses.answered.values()]
        return max([record.term, *terms]) + 1

    async def _demote_replaced(
        self, statuses: EndpointStatuses, record: GroupRecord, term: int
    ) -> None:
        """Demote primaries of earlier terms, which are not the promoted one."""
        newest = max([record.term, *(s.term for s in statuses.answered.values())])
        replaced = [
            endpoint_id
            for endpoint_id, status in statuses.answered.items()
            if status.is_primary and status.term < newest
        ]
        await self._query_endpoints(
            replaced, lambda e: self.context.control.demote(e, term)
        )

    async def _hold_replicas(
        self, endpoint_ids: list[str], term: int
    ) -> EndpointStatuses:
        """Pause the replication of endpoints for a term; primaries only answer."""
        return await self._query_endpoints(
            endpoint_ids, lambda e: self.context.control.hold(e, term)
        )

    async def _demote(self, endpoint_id: str, term: int) -> EndpointStatus | None:
        """Demote the old primary; return its status, None if it does not answer."""
        if endpoint_id not in self.context.directory.endpoints:
            return None
        try:
            return await self.context.control.demote(endpoint_id, term)
        except EndpointError as error:
            log.info(
                "demotion of the old primary failed",
                endpoint=endpoint_id,
                error=str(error),
            )
            return None

    async def _promote(self, endpoint_id: str, record: GroupRecord) -> int | None:
        """Promote an endpoint and wait; return its term, None if it did not lead."""
        await self._announce_promotion(endpoint_id, record)
        decided_at = self.clock()
        deadline = decided_at + PROMOTION_TIMEOUT_S
        accepted = False
        while self.clock() < deadline:
            self._check_lock()
            try:
                if not accepted:
                    accepted = await self._call_promotion(endpoint_id, decided_at)
                    if not accepted:
                        self.pending.resolve(self.group, endpoint_id)
                        return None
                status = await self.context.control.status(endpoint_id)
                # One that was replaced earlier leads its own term until then.
                if status.is_primary and status.term >= record.term:
                    self.pending.resolve(self.group, endpoint_id)
                    return status.term
                await anyio.sleep(STATUS_POLL_INTERVAL_S)
            except RosemarywardError as error:
                log.info(
                    "promotion attempt failed; retrying",
                    group=self.group,
                    endpoint=endpoint_id,
                    token=self.context.lock.token,
                    error=str(error),
                )
                await anyio.sleep(PROMOTION_RETRY_S)
        log.warning(
            "promoted endpoint does not lead",
            group=self.group,
            endpoint=endpoint_id,
            accepted=accepted,
            waited_s=round(self.clock() - decided_at, 3),
        )
        return None

    async def _announce_promotion(self, endpoint_id: str, record: GroupRecord) -> None:
        """Name an endpoint in the record before its promotion is called."""
        if endpoint_id in self.context.leadership.records[self.group].pending:
            return
        pending = self.pending.endpoints(self.group)
        announced = msgspec.structs.replace(record, pending=(*pending, endpoint_id))
        self.revision = await self.context.writer.write(
            self.group, announced, self.revision
        )
        self.context.leadership.observe(self.group, announced, self.revision)

    async def _call_promotion(self, endpoint_id: str, decided_at: float) -> bool:
        """Call the promotion; return whether it was accepted, raise `StoreError`."""
        token = self.context.lock.token
        sent_at = self.clock()
        log.info(
            "promotion call sent",
            group=self.group,
            endpoint=endpoint_id,
            token=token,
            decided_s=round(sent_at - decided_at, 3),
        )
        with self.pending.track_call(self.group, endpoint_id):
            accepted = await self.context.promoter.promote(
                self.group, endpoint_id, self.context.lock.holder, token
            )
        log.info(
            "promotion called",
            group=self.group,
            endpoint=endpoint_id,
            token=token,
            accepted=accepted,
            took_s=round(self.clock() - sent_at, 3),
        )
        return accepted

    async def _publish(self, record: GroupRecord, primary: _Promoted) -> None:
        """Write the record of the new primary and send it to the members."""
        self._check_lock()
        serving = GroupRecord(
            epoch=record.epoch,
            primary=primary.endpoint_id,
            serving=True,
            holder=self.context.lock.holder,
            term=primary.term,
            pending=tuple(self.pending.endpoints(self.group)),
        )
        others = [e for e in self._endpoint_ids() if e != primary.endpoint_id]
        revision = await self.context.writer.write(self.group, serving, self.revision)
        self.context.leadership.observe(self.group, serving, revision)
        notice = RecordNotice(self.group, serving, revision)
        async with anyio.create_task_group() as tasks:
            for member in self.context.members.live_members():
                if member.name != self.context.lock.holder:
                    tasks.start_soon(self._send_record, member, notice)
            await self._query_endpoints(
                others, lambda e: self._follow_primary(e, primary.term)
            )

    async def _follow_primary(self, endpoint_id: str, term: int) -> EndpointStatus:
        """Resume replication at an endpoint, which is no primary of an earlier term."""
        status = await self.context.control.release(endpoint_id)
        if status.is_primary and status.term < term:
            status = await self.context.control.demote(endpoint_id, term)
            log.info(
                "replaced primary demoted",
                group=self.group,
                endpoint=endpoint_id,
                term=status.term,
                newest_term=term,
            )
        return status

    async def restore_record(self) -> None:
        """Write the newest record of a group to a store that was restored.

        The primary is changed instead, or a change completed, unless the endpoints
        show that no later change has promoted another one.

        Raises
        ------
        ChangeAbandonedError
            If the failover lock is lost or no replica can be promoted safely.
        ConflictError
            If another proxy has changed the record.
        StoreError
            If the store does not answer.
        """
        with self.context.confirmation.track_change():
            await self._restore_record()

    async def _restore_record(self) -> None:
        leadership = self.context.leadership
        all_answered = await self.context.confirmation.collect_records()
        known = leadership.records[self.group]
        if not known.serving or not await self._is_still_primary(
            known.primary, all_answered
        ):
            await self._run(RECORD_LOST)
            return
        self.revision = leadership.revisions[self.group]
        epoch = leadership.next_epoch(self.group)
        await self._publish(
            msgspec.structs.replace(known, epoch=epoch),
            _Promoted(known.primary, known.term),
        )
        log.info(
            "primary record restored",
            group=self.group,
            primary=known.primary,
            epoch=epoch,
            known_epoch=known.epoch,
            all_members_answered=all_answered,
        )

    async def _is_still_primary(self, primary: str, all_answered: bool) -> bool:
        """Return whether no other endpoint can have been promoted after a primary.

        Parameters
        ----------
        primary : str
            Id of the endpoint.
        all_answered : bool
            Whether every process that may know of a later change has answered.
        """
        deadline = self.clock() + ENDPOINT_REPLY_TIMEOUT_S
        while True:
            statuses = await self._query_endpoints(
                self._endpoint_ids(), self.context.control.status
            )
            claims = {e: status.is_primary for e, status in statuses.answered.items()}
            others_claim = any(claims[e] for e in claims if e != primary)
            if others_claim or not claims.get(primary, True):
                return False
            if primary in claims and (all_answered or not statuses.silent):
                return True
            if self.clock() >= deadline:
                return False
            await anyio.sleep(POSITION_RETRY_S)

    async def _send_record(self, member: MemberRecord, notice: RecordNotice) -> None:
        try:
            await self.context.peers.send_record(member, notice)
        except PeerError as error:
            # Its watch of the store delivers the record later.
            log.info(
                "record notice to a member failed",
                member=member.name,
                error=str(error),
            )

    def _endpoint_ids(self) -> list[str]:
        return [endpoint.id for endpoint in self.context.directory.in_group(self.group)]

    def _other_ids(self, record: GroupRecord) -> list[str]:
        return [e for e in self._endpoint_ids() if e != record.primary]

    def _is_registered(self, endpoint_id: str) -> bool:
        return endpoint_id in self.context.directory.endpoints

    async def _query_endpoints(  # type: ignore[no-untyped-def]
        self, endpoint_ids: list[str], query
    ) -> EndpointStatuses:
        """Send a query to endpoints in parallel; silent ones are listed as such."""
        answered: dict[str, EndpointStatus] = {}
        silent: list[str] = []

        async def query_endpoint(endpoint_id: str) -> None:
            try:
                answered[endpoint_id] = await query(endpoint_id)
            except EndpointError as error:
                log.info(
                    "query of an endpoint failed",
                    endpoint=endpoint_id,
                    error=str(error),
                )
                silent.append(endpoint_id)

        async with anyio.create_task_group() as tasks:
            for endpoint_id in endpoint_ids:
                tasks.start_soon(query_endpoint, endpoint_id)
        return EndpointStatuses(answered, silent)

    def _newest_term(self, status: EndpointStatus) -> int:
        """Return the newest term that an endpoint reports."""
        return max(status.term, status.held_term, status.received.term)

    def _check_lock(self) -> None:
        """Raise `ChangeAbandonedError` unless this process holds the lock."""
        if not self.context.lock.is_held():
            raise ChangeAbandonedError(
                f"{self.group}: the failover lock is no longer held"
            )
