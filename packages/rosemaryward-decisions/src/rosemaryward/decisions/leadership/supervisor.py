"""Failure detection for primaries by the holder of the failover lock."""

import contextlib
import itertools
from collections.abc import Callable

import anyio
import structlog

from rosemaryward.decisions.clock import boot_time_s
from rosemaryward.decisions.errors import EndpointError, PeerError, RosemarywardError
from rosemaryward.decisions.leadership.change import PrimaryChange
from rosemaryward.decisions.leadership.context import FailoverContext
from rosemaryward.decisions.leadership.members import MemberRecord, ReachabilityRequest
from rosemaryward.decisions.leadership.records import GroupRecord
from rosemaryward.decisions.leadership.replica_set_upkeep import ReplicaSetUpkeep
from rosemaryward.decisions.leadership.replication_resume import ReplicationResume
from rosemaryward.decisions.types import LogPosition

__all__ = ["PrimarySupervisor"]

CHECK_INTERVAL_S = 0.25
PROBE_AFTER_SILENCE_S = 0.5  # since the last answer to a statement
ASK_MEMBERS_DELAY_S = 0.15  # lets this proxy's own probe answer first
REPLACE_AFTER_SILENCE_S = 0.8  # since the last answer to a statement
REPLACE_AFTER_STALL_S = 0.7
STALL_MIN_WRITE_AGE_S = 0.4  # of the oldest write without an answer
STALL_CHECK_INTERVAL_S = 0.25
ROLE_CHECK_INTERVAL_S = 0.5

MAX_PROBING_MEMBERS = 11  # probes use slots of an endpoint that may only be busy
MIN_ANSWERED_SHARE = 0.25  # of the asked members; others may have ended as well

PRIMARY_SILENT = "primary silent"

log = structlog.get_logger(__name__)


class PrimarySupervisor:
    """Monitors the primary of one group and replaces it when it fails.

    Parameters
    ----------
    group : str
        Group to monitor.
    context : FailoverContext
        Objects that the monitoring and the change of primary use.
    clock : callable, optional
        Boot time in seconds.

    Attributes
    ----------
    tracked_epoch : int
        Epoch of the newest record seen, 0 before the first one.
    primary_since : float
        Boot time at which that record was first seen.
    stalled_since : float or None
        Boot time since which no replica has received an entry that it lacked, None
        if the replicas receive the primary's log.
    stalled_position : LogPosition
        Newest log position that a replica had received at that time.
    stall_checked_at : float
        Boot time of the last comparison of log positions.
    role_checked_at : float
        Boot time of the last check of a primary that is registered as a replica.
    replica_set : ReplicaSetUpkeep
        Keeps the group's replica set up to date.
    replication : ReplicationResume
        Resumes replicas that a change of primary has left paused.
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
        self.tracked_epoch = 0
        self.primary_since = 0.0
        self.stalled_since: float | None = None
        self.stalled_position = LogPosition()
        self.stall_checked_at = 0.0
        self.role_checked_at = 0.0
        self.replica_set = ReplicaSetUpkeep(group, context, clock)
        self.replication = ReplicationResume(group, context, clock)

    async def run(self) -> None:
        """Check the primary at a fixed interval while the failover lock is held."""
        while True:
            self._track_primary()
            if self.context.lock.is_held():
                try:
                    await self.check()
                except RosemarywardError as error:
                    log.warning(
                        "primary check or change failed",
                        group=self.group,
                        error=str(error),
                    )
            await anyio.sleep(CHECK_INTERVAL_S)

    async def check(self) -> None:
        """Replace the primary if there is a reason; record the first one."""
        record = self.context.leadership.records.get(self.group)
        if record is None:
            await self._record_first_primary()
            return
        if not self.context.leadership.is_established(self.group):
            await PrimaryChange(self.group, self.context, self.clock).restore_record()
            return
        reason = await self._replacement_reason(record)
        if reason and self.context.lock.is_held():
            change = PrimaryChange(self.group, self.context, self.clock)
            await change.run(reason, reason == PRIMARY_SILENT)
        else:
            await self.replication.update(record)
            await self.replica_set.update(record.primary)

    def _track_primary(self) -> None:
        """Update the time at which the current epoch was first seen."""
        record = self.context.leadership.records.get(self.group)
        if record is not None and record.epoch != self.tracked_epoch:
            self.tracked_epoch = record.epoch
            self.primary_since = self.clock()
            self.stalled_since = None

    async def _record_first_primary(self) -> None:
        """Record the first primary of a group, if exactly one endpoint leads it."""
        claimants = [
            e.id
            for e in self.context.directory.in_group(self.group)
            if e.claims_primary
        ]
        terms: dict[str, int] = {}
        for endpoint_id in claimants:
            try:
                status = await self.context.control.status(endpoint_id)
            except EndpointError as error:
                log.info(
                    "claim of a first primary not confirmed",
                    group=self.group,
                    endpoint=endpoint_id,
                    error=str(error),
                )
                continue
            if status.is_primary:
                terms[endpoint_id] = status.term
        newest_term = max(terms.values(), default=0)
        leaders = [e for e, term in terms.items() if term == newest_term]
        if len(leaders) != 1:
            log.info(
                "first primary unknown",
                group=self.group,
                claimants=claimants,
                terms=terms,
            )
            return
        await self.replica_set.add_registered()
        record = GroupRecord(
            epoch=self.context.leadership.next_epoch(self.group),
            primary=leaders[0],
            serving=True,
            holder=self.context.lock.holder,
            term=newest_term,
        )
        revision = await self.context.writer.write(self.group, record, 0)
        self.context.leadership.observe(self.group, record, revision)

    async def _replacement_reason(self, record: GroupRecord) -> str:
        """Return the reason to replace the primary, empty if there is none."""
        if not record.serving:
            return "unfinished change"
        endpoint = self.context.directory.endpoints.get(record.primary)
        if endpoint is None:
            return "primary gone"
        if endpoint.leaving:
            return "primary leaving"
        if not endpoint.claims_primary and await self._is_replica(record.primary):
            return "primary has become a replica"
        if await self._is_silent(record.primary):
            return PRIMARY_SILENT
        if await self._is_stalled(record.primary):
            return "primary cut off from its replicas"
        return ""

    async def _is_replica(self, endpoint_id: str) -> bool:
        """Return whether an endpoint reports that it is a replica.

        Its registration may be older than its promotion, so its status decides.
        """
        now = self.clock()
        if now - self.role_checked_at < ROLE_CHECK_INTERVAL_S:
            return False
        self.role_checked_at = now
        try:
            status = await self.context.control.status(endpoint_id)
        except EndpointError:
            return False
        return not status.is_primary

    async def _is_silent(self, endpoint_id: str) -> bool:
        """Return whether an endpoint answers neither this proxy nor most members."""
        pool = self.context.directory.pools[endpoint_id]
        known_since = max(pool.last_answer_at, self.primary_since)
        if self.clock() - known_since < PROBE_AFTER_SILENCE_S:
            return False
        unreachable = False
        failed = anyio.Event()

        async def ask_members() -> None:
            nonlocal unreachable
            with anyio.move_on_after(ASK_MEMBERS_DELAY_S):
                await failed.wait()
            unreachable = await self._is_unreachable_for_most(endpoint_id)

        async with anyio.create_task_group() as tasks:
            tasks.start_soon(ask_members)
            sent_at = self.clock()
            try:
                status = await self.context.control.status(endpoint_id)
                if status.is_primary and self._is_usable_primary(endpoint_id):
                    samples = self.context.group_samples(self.group)
                    samples.record(sent_at, status.received)
                tasks.cancel_scope.cancel()
            except EndpointError as error:
                log.info("primary probe failed", endpoint=endpoint_id, error=str(error))
                failed.set()
        silent_s = self.clock() - max(pool.last_answer_at, self.primary_since)
        return unreachable and silent_s >= REPLACE_AFTER_SILENCE_S

    def _is_usable_primary(self, endpoint_id: str) -> bool:
        """Return whether no other endpoint can have acknowledged newer commits."""
        record = self.context.leadership.primary(self.group)
        return record is not None and record.primary == endpoint_id

    async def _is_unreachable_for_most(self, endpoint_id: str) -> bool:
        """Return whether fewer than half of the members reach an endpoint.

        Too few answers tell more about this proxy's own links than about the endpoint.
        """
        asked = self._probing_members()
        answers: dict[str, bool] = {self.context.lock.holder: False}

        async def ask(member: MemberRecord) -> None:
            try:
                answers[member.name] = await self.context.peers.probe_endpoint(
                    member, ReachabilityRequest(endpoint_id)
                )
            except PeerError as error:
                log.info(
                    "probe request to a member failed",
                    member=member.name,
                    error=str(error),
                )

        async with anyio.create_task_group() as tasks:
            for member in asked:
                tasks.start_soon(ask, member)
        reached = sum(answers.values())
        log.info(
            "primary suspected",
            endpoint=endpoint_id,
            reached=reached,
            answered=len(answers),
            asked=len(asked) + 1,
        )
        enough = len(answers) - 1 >= len(asked) * MIN_ANSWERED_SHARE
        return enough and reached * 2 < len(answers)

    def _probing_members(self) -> list[MemberRecord]:
        """Return the members to ask for a probe, spread over the failure domains."""
        by_domain: dict[str, list[MemberRecord]] = {}
        for member in self.context.members.live_members():
            if member.name != self.context.lock.holder:
                by_domain.setdefault(member.place.failure_domain, []).append(member)
        turns = itertools.zip_longest(*by_domain.values())
        in_turn = [member for turn in turns for member in turn if member is not None]
        return in_turn[:MAX_PROBING_MEMBERS]

    async def _is_stalled(self, endpoint_id: str) -> bool:
        """Return whether the primary's log grows while no replica receives entries."""
        now = self.clock()
        waiting_s = self.context.leadership.oldest_write_age_s(self.group)
        if (
            waiting_s < STALL_MIN_WRITE_AGE_S
            or now - self.stall_checked_at < STALL_CHECK_INTERVAL_S
        ):
            return False
        self.stall_checked_at = now
        received: list[LogPosition] = []
        try:
            primary_position = (await self.context.control.status(endpoint_id)).received
        except EndpointError:
            self.stalled_since = None
            return False
        for endpoint in self.context.directory.in_group(self.group):
            if endpoint.id != endpoint_id:
                with contextlib.suppress(EndpointError):  # treated as receiving nothing
                    received.append(
                        (await self.context.control.status(endpoint.id)).received
                    )
        if not received:
            return False
        newest_received = max(received)
        if newest_received >= primary_position:
            self.stalled_since = None
            return False
        if self.stalled_since is None or newest_received > self.stalled_position:
            self.stalled_since = now
            self.stalled_position = newest_received
        return now - self.stalled_since >= REPLACE_AFTER_STALL_S
