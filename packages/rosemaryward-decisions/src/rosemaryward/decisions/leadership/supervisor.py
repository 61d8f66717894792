"""Watches the primaries while this proxy holds the duty to change them."""

import contextlib
import itertools
from collections.abc import Callable

import anyio
import structlog

from rosemaryward.decisions.clock import boot_time_s
from rosemaryward.decisions.errors import EndpointError, PeerError, RosemarywardError
from rosemaryward.decisions.leadership.change import FailoverContext, PrimaryChange
from rosemaryward.decisions.leadership.members import MemberRecord, ReachabilityRequest
from rosemaryward.decisions.leadership.records import GroupRecord
from rosemaryward.decisions.types import LogPosition

__all__ = ["PrimarySupervisor"]

CHECK_INTERVAL_S = 0.25
PROBE_AFTER_S = 0.5  # without an answer to a statement
ASK_AFTER_S = 0.15  # for the own probe to answer first
SUSPECT_AFTER_S = 0.8
STALL_LIMIT_S = 0.7
STALL_SUSPECT_S = 0.4  # age of a write without an answer
STALL_CHECK_S = 0.25

WITNESS_LIMIT = 11  # probes take slots of an endpoint that may merely be busy

SILENT = "primary silent"

log = structlog.get_logger(__name__)


class PrimarySupervisor:
    """Supervises one group.

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
        self.watched = 0
        self.watched_since = 0.0
        self.stalled_since: float | None = None
        self.stalled_at = LogPosition()
        self.checked_at = 0.0

    async def run(self) -> None:
        """Check the primary at a fixed interval until cancelled."""
        while True:
            self._track()
            if self.context.lock.is_held():
                try:
                    await self.check()
                except RosemarywardError as error:
                    log.warning(
                        "supervision failed", group=self.group, error=str(error)
                    )
            await anyio.sleep(CHECK_INTERVAL_S)

    async def check(self) -> None:
        """Replace the primary if it has to be."""
        record = self.context.leadership.records.get(self.group)
        if record is None:
            await self._adopt_first()
            return
        reason = await self._reason(record)
        if reason and self.context.lock.is_held():
            change = PrimaryChange(self.group, self.context, self.clock)
            await change.run(reason, reason == SILENT)

    def _track(self) -> None:
        """Note since when the present primary leads."""
        record = self.context.leadership.records.get(self.group)
        if record is not None and record.epoch != self.watched:
            self.watched = record.epoch
            self.watched_since = self.clock()
            self.stalled_since = None

    async def _adopt_first(self) -> None:
        """Record the primary of a group that has none yet."""
        claims = [
            e for e in self.context.directory.in_group(self.group) if e.claims_primary
        ]
        if len(claims) != 1:
            return
        record = GroupRecord(
            epoch=1, primary=claims[0].id, serving=True, holder=self.context.lock.holder
        )
        revision = await self.context.writer.write(self.group, record, 0)
        self.context.leadership.observe(self.group, record, revision)

    async def _reason(self, record: GroupRecord) -> str:
        """Return why the primary must be replaced, empty if it need not."""
        if not record.serving:
            return "unfinished change"
        endpoint = self.context.directory.endpoints.get(record.primary)
        if endpoint is None:
            return "primary gone"
        if endpoint.leaving:
            return "primary leaving"
        if await self._is_silent(record.primary):
            return SILENT
        if await self._is_stalled(record.primary):
            return "primary cut off from its replicas"
        return ""

    async def _is_silent(self, endpoint_id: str) -> bool:
        """Return whether an endpoint answers neither this proxy nor most members."""
        pool = self.context.directory.pools[endpoint_id]
        known_since = max(pool.last_answer_at, self.watched_since)
        if self.clock() - known_since < PROBE_AFTER_S:
            return False
        lost = False
        failed = anyio.Event()

        async def ask_members() -> None:
            nonlocal lost
            with anyio.move_on_after(ASK_AFTER_S):
                await failed.wait()
            lost = await self._is_lost_to_most(endpoint_id)

        async with anyio.create_task_group() as tasks:
            tasks.start_soon(ask_members)
            try:
                await self.context.control.status(endpoint_id)
                tasks.cancel_scope.cancel()
            except EndpointError as error:
                log.info("primary probe failed", endpoint=endpoint_id, error=str(error))
                failed.set()
        silent_s = self.clock() - max(pool.last_answer_at, self.watched_since)
        return lost and silent_s >= SUSPECT_AFTER_S

    async def _is_lost_to_most(self, endpoint_id: str) -> bool:
        """Return whether less than half of the asked members reach an endpoint."""
        answers: dict[str, bool] = {self.context.lock.holder: False}

        async def ask(member: MemberRecord) -> None:
            try:
                answers[member.name] = await self.context.peers.probe_endpoint(
                    member, ReachabilityRequest(endpoint_id)
                )
            except PeerError as error:
                log.info("member unreachable", member=member.name, error=str(error))

        async with anyio.create_task_group() as tasks:
            for member in self._witnesses():
                tasks.start_soon(ask, member)
        reached = sum(answers.values())
        log.info(
            "primary suspected",
            endpoint=endpoint_id,
            reached=reached,
            asked=len(answers),
        )
        return reached * 2 < len(answers)

    def _witnesses(self) -> list[MemberRecord]:
        """Return a bounded number of other members, spread over failure domains."""
        by_domain: dict[str, list[MemberRecord]] = {}
        for member in self.context.members.live_members():
            if member.name != self.context.lock.holder:
                by_domain.setdefault(member.place.failure_domain, []).append(member)
        turns = itertools.zip_longest(*by_domain.values())
        in_turn = [member for turn in turns for member in turn if member is not None]
        return in_turn[:WITNESS_LIMIT]

    async def _is_stalled(self, endpoint_id: str) -> bool:
        """Return whether the primary's log grows while no replica receives it."""
        now = self.clock()
        waiting_s = self.context.leadership.oldest_write_age_s(self.group)
        if waiting_s < STALL_SUSPECT_S or now - self.checked_at < STALL_CHECK_S:
            return False
        self.checked_at = now
        received: list[LogPosition] = []
        try:
            lead = (await self.context.control.status(endpoint_id)).received
        except EndpointError:
            self.stalled_since = None
            return False
        for endpoint in self.context.directory.in_group(self.group):
            if endpoint.id != endpoint_id:
                with contextlib.suppress(EndpointError):  # counts as receiving nothing
                    received.append(
                        (await self.context.control.status(endpoint.id)).received
                    )
        if not received:
            return False
        best = max(received)
        if best >= lead:
            self.stalled_since = None
            return False
        if self.stalled_since is None or best > self.stalled_at:
            self.stalled_since = now
            self.stalled_at = best
        return now - self.stalled_since >= STALL_LIMIT_S
