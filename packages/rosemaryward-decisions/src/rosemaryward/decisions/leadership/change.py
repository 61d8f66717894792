"""Change of a group's primary, step by step."""

from collections.abc import Awaitable, Callable
from typing import Protocol

import anyio
import msgspec
import structlog

from rosemaryward.decisions.clock import boot_time_s
from rosemaryward.decisions.errors import EndpointError, PeerError, RosemarywardError
from rosemaryward.decisions.gateway.directory import EndpointDirectory
from rosemaryward.decisions.leadership.confirmation import Confirmation
from rosemaryward.decisions.leadership.control import (
    EndpointControl,
    EndpointStatus,
    Promoter,
)
from rosemaryward.decisions.leadership.members import (
    FenceRequest,
    MemberDirectory,
    MemberRecord,
    PeerChannel,
    RecordNotice,
)
from rosemaryward.decisions.leadership.records import (
    CONFIRMATION_VALIDITY_S,
    GroupRecord,
    Leadership,
)
from rosemaryward.decisions.types import LogPosition

__all__ = [
    "ChangeAbandonedError",
    "FailoverContext",
    "LockState",
    "PrimaryChange",
    "RecordWriter",
]

CONFIRMATION_MARGIN_S = 0.2  # drift of the clocks over one confirmation
FENCE_RETRY_S = 0.1
POSITION_RETRY_S = 0.1
CATCH_UP_S = 0.3  # a demoted primary's last entries are still on their way
LEAD_POLL_S = 0.03
LEAD_TIMEOUT_S = 6.0
PROMOTE_RETRY_S = 0.1

log = structlog.get_logger(__name__)


class ChangeAbandonedError(RosemarywardError):
    """A change cannot go on; the record stays in the phase changing."""


class LockState(Protocol):
    """Right of this proxy to change primaries."""

    holder: str
    token: int

    def is_held(self) -> bool:
        """Return whether the right certainly still holds."""


class RecordWriter(Protocol):
    """Writes group records under a condition."""

    async def write(self, group: str, record: GroupRecord, expected: int) -> int:
        """Return the new revision; raises `ConflictError` and `StoreError`."""


class FailoverContext(msgspec.Struct, frozen=True, kw_only=True):
    """What the supervision and the change of primaries work with.

    Parameters
    ----------
    lock : LockState
    directory : EndpointDirectory
    leadership : Leadership
    members : MemberDirectory
    peers : PeerChannel
    control : EndpointControl
    promoter : Promoter
    writer : RecordWriter
    confirmation : Confirmation
        Told that a change may have been announced.
    refresh_members : callable
        Reads the members from the store; raises `StoreError`.
    """

    lock: LockState
    directory: EndpointDirectory
    leadership: Leadership
    members: MemberDirectory
    peers: PeerChannel
    control: EndpointControl
    promoter: Promoter
    writer: RecordWriter
    confirmation: Confirmation
    refresh_members: Callable[[], Awaitable[None]]


class _Survey(msgspec.Struct, frozen=True):
    """Positions of the replicas that answered, and those that did not."""

    replicas: dict[str, EndpointStatus]
    silent: list[str]


class PrimaryChange:
    """Replaces the primary of one group.

    Parameters
    ----------
    group : str
    context : FailoverContext
    clock : callable, optional
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
        self.everyone_answered = False
        self.revision = 0
        self.old_primary_silent = False

    async def run(self, reason: str, old_primary_silent: bool = False) -> None:
        """Change the primary and publish the new one.

        Parameters
        ----------
        reason : str
        old_primary_silent : bool
            Whether to wait for no answer of the old primary.

        Raises
        ------
        ChangeAbandonedError
            If the duty is lost or no replica can be promoted safely.
        StoreError
        """
        self.old_primary_silent = old_primary_silent
        self.context.confirmation.changes_in_progress += 1
        try:
            await self._run(reason)
        finally:
            self.context.confirmation.changes_in_progress -= 1

    async def _run(self, reason: str) -> None:
        started_at = self.clock()
        record = await self._announce(reason)
        announced_at = self.clock()
        await self._fence(record, announced_at)
        fenced_at = self.clock()
        primary = await self._find_leader(record) or await self._promote_best(record)
        await self._publish(record, primary)
        log.info(
            "primary changed",
            group=self.group,
            old=record.primary,
            new=primary,
            epoch=record.epoch,
            reason=reason,
            fence_s=round(fenced_at - started_at, 3),
            total_s=round(self.clock() - started_at, 3),
        )

    async def _announce(self, reason: str) -> GroupRecord:
        """Set the record to changing, or take over a change that was begun."""
        known = self.context.leadership.records[self.group]
        known_revision = self.context.leadership.revisions[self.group]
        record = GroupRecord(
            epoch=known.epoch + 1,
            primary=known.primary,
            serving=False,
            holder=self.context.lock.holder,
        )
        self._check_duty()
        log.info(
            "primary change begins",
            group=self.group,
            old=known.primary,
            epoch=record.epoch,
            reason=reason,
            token=self.context.lock.token,
        )
        self.revision = await self.context.writer.write(
            self.group, record, known_revision
        )
        self.context.leadership.observe(self.group, record, self.revision)
        return record

    async def _fence(self, record: GroupRecord, announced_at: float) -> None:
        """Wait until no member uses the old primary any more."""
        request = FenceRequest(self.group, record.epoch)
        lapsed_at = announced_at + CONFIRMATION_VALIDITY_S + CONFIRMATION_MARGIN_S
        fenced: set[str] = set()
        # A member that is not listed after the announcement has read it.
        await self.context.refresh_members()
        while self.clock() < lapsed_at:
            waiting = self._unfenced(fenced)
            async with anyio.create_task_group() as tasks:
                for member in waiting:
                    tasks.start_soon(self._fence_member, member, request, fenced)
            self._check_duty()
            if not self._unfenced(fenced):
                self.everyone_answered = True
                return
            await anyio.sleep(FENCE_RETRY_S)
        log.warning(
            "members not fenced",
            group=self.group,
            epoch=record.epoch,
            members=[member.name for member in self._unfenced(fenced)],
            waited_s=CONFIRMATION_VALIDITY_S + CONFIRMATION_MARGIN_S,
        )

    def _unfenced(self, fenced: set[str]) -> list[MemberRecord]:
        return [
            member
            for member in self.context.members.members_to_fence()
            if member.incarnation not in fenced
        ]

    async def _fence_member(
        self, member: MemberRecord, request: FenceRequest, fenced: set[str]
    ) -> None:
        try:
            reply = await self.context.peers.fence(member, request)
        except PeerError as error:
            log.info("fence unanswered", member=member.name, error=str(error))
            return
        # A new process under the old address has no confirmation of the old one.
        fenced.update((reply.incarnation, member.incarnation))
        self.acknowledged = max(self.acknowledged, reply.acknowledged)

    async def _find_leader(self, record: GroupRecord) -> str | None:
        """Return an endpoint that a change which broke off has made the primary."""
        survey = await self._ask(self._others(record), self.context.control.status)
        for endpoint_id, status in survey.replicas.items():
            if status.is_primary:
                return endpoint_id
        return None

    async def _promote_best(self, record: GroupRecord) -> str:
        started_at = self.clock()
        while True:
            self._check_duty()
            survey = await self._stop_commits(record)
            best = self._choose(survey)
            if best is not None and await self._promote(best):
                return best
            if self.clock() - started_at > CONFIRMATION_VALIDITY_S:
                raise ChangeAbandonedError(f"{self.group}: no safe candidate")
            await anyio.sleep(POSITION_RETRY_S)

    async def _stop_commits(self, record: GroupRecord) -> _Survey:
        """Make sure that the old primary confirms nothing more; read positions."""
        others = self._others(record)
        survey = await self._ask(others, self.context.control.status)
        newest = max(
            (self._newest_term(s) for s in survey.replicas.values()), default=0
        )
        term = newest + 1
        if self.old_primary_silent:
            # Without replicas that receive, it confirms nothing, reachable or not.
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(self._demote, record.primary, term)
                survey = await self._hold(others, term)
                tasks.cancel_scope.cancel()
            return survey
        demoted = await self._demote(record.primary, term)
        if demoted is None:
            self.old_primary_silent = True
            return await self._hold(others, term)
        give_up_at = self.clock() + CATCH_UP_S
        while self.clock() < give_up_at:
            best = max((s.received for s in survey.replicas.values()), default=None)
            if best is not None and best >= demoted.received:
                break
            await anyio.sleep(LEAD_POLL_S)
            survey = await self._ask(others, self.context.control.status)
        return survey

    async def _hold(self, endpoint_ids: list[str], term: int) -> _Survey:
        return await self._ask(
            endpoint_ids, lambda e: self.context.control.hold(e, term)
        )

    async def _demote(self, endpoint_id: str, term: int) -> EndpointStatus | None:
        if endpoint_id not in self.context.directory.endpoints:
            return None
        try:
            return await self.context.control.demote(endpoint_id, term)
        except EndpointError as error:
            log.info("old primary unreachable", endpoint=endpoint_id, error=str(error))
            return None

    def _choose(self, survey: _Survey) -> str | None:
        """Return the replica to promote, None if none is known to be complete."""
        candidates = {
            endpoint_id: status
            for endpoint_id, status in survey.replicas.items()
            if not self.context.directory.endpoints[endpoint_id].leaving
        }
        if not candidates:
            return None
        newest = max(status.received for status in survey.replicas.values())
        best = max(candidates, key=lambda e: candidates[e].received)
        received = candidates[best].received
        complete = received >= newest and not survey.silent
        covers = self.everyone_answered and received >= self.acknowledged
        log.info(
            "candidate",
            group=self.group,
            endpoint=best,
            received=received.to_token(),
            newest=newest.to_token(),
            acknowledged=self.acknowledged.to_token(),
            silent=survey.silent,
            chosen=complete or covers,
        )
        return best if complete or covers else None

    async def _promote(self, endpoint_id: str) -> bool:
        """Promote and wait until the endpoint leads; False if it cannot."""
        give_up_at = self.clock() + LEAD_TIMEOUT_S
        accepted = False
        while self.clock() < give_up_at:
            self._check_duty()
            try:
                if not accepted:
                    accepted = await self.context.promoter.promote(
                        self.group,
                        endpoint_id,
                        self.context.lock.holder,
                        self.context.lock.token,
                    )
                    log.info(
                        "promotion called",
                        group=self.group,
                        endpoint=endpoint_id,
                        token=self.context.lock.token,
                        accepted=accepted,
                    )
                    if not accepted:
                        return False
                if (await self.context.control.status(endpoint_id)).is_primary:
                    return True
                await anyio.sleep(LEAD_POLL_S)
            except RosemarywardError as error:
                log.info("promotion pending", group=self.group, error=str(error))
                await anyio.sleep(PROMOTE_RETRY_S)
        return False

    async def _publish(self, record: GroupRecord, primary: str) -> None:
        self._check_duty()
        serving = GroupRecord(
            epoch=record.epoch,
            primary=primary,
            serving=True,
            holder=self.context.lock.holder,
        )
        revision = await self.context.writer.write(self.group, serving, self.revision)
        self.context.leadership.observe(self.group, serving, revision)
        others = [e for e in self._endpoints() if e != primary]
        notice = RecordNotice(self.group, serving, revision)
        async with anyio.create_task_group() as tasks:
            for member in self.context.members.live_members():
                if member.name != self.context.lock.holder:
                    tasks.start_soon(self._tell, member, notice)
            await self._ask(others, self.context.control.release)

    async def _tell(self, member: MemberRecord, notice: RecordNotice) -> None:
        try:
            await self.context.peers.send_record(member, notice)
        except PeerError as error:
            # Its watch of the store tells it later.
            log.info("record notice unanswered", member=member.name, error=str(error))

    def _endpoints(self) -> list[str]:
        return [endpoint.id for endpoint in self.context.directory.in_group(self.group)]

    def _others(self, record: GroupRecord) -> list[str]:
        return [e for e in self._endpoints() if e != record.primary]

    async def _ask(  # type: ignore[no-untyped-def]
        self, endpoint_ids: list[str], question
    ) -> _Survey:
        """Ask endpoints in parallel; those without an answer are silent."""
        replicas: dict[str, EndpointStatus] = {}
        silent: list[str] = []

        async def ask(endpoint_id: str) -> None:
            try:
                replicas[endpoint_id] = await question(endpoint_id)
            except EndpointError as error:
                log.info("endpoint silent", endpoint=endpoint_id, error=str(error))
                silent.append(endpoint_id)

        async with anyio.create_task_group() as tasks:
            for endpoint_id in endpoint_ids:
                tasks.start_soon(ask, endpoint_id)
        return _Survey(replicas, silent)

    def _newest_term(self, status: EndpointStatus) -> int:
        return max(status.term, status.held_term, status.received.term)

    def _check_duty(self) -> None:
        if not self.context.lock.is_held():
            raise ChangeAbandonedError(f"{self.group}: the duty is no longer held")
