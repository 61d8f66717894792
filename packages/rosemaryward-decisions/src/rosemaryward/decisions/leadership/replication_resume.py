"""Resumption of replication at replicas that a change of primary has paused."""

from collections.abc import Callable

import anyio
import structlog

from rosemaryward.decisions.clock import boot_time_s
from rosemaryward.decisions.errors import EndpointError
from rosemaryward.decisions.leadership.context import FailoverContext
from rosemaryward.decisions.leadership.records import GroupRecord

__all__ = ["ReplicationResume"]

RETRY_INTERVAL_S = 1.0
ANSWER_WAIT_S = 0.2  # the primary is not checked meanwhile
# A pause that was sent during a change may take effect after the change has ended.
LATE_PAUSE_S = 10.0

log = structlog.get_logger(__name__)


class ReplicationResume:
    """Resumes replicas that did not answer when a change resumed replication.

    Each replica is asked for its status once after a change and once more after
    `LATE_PAUSE_S`, and repeatedly only while it is paused or does not answer.

    Parameters
    ----------
    group : str
        Group of the replicas.
    context : FailoverContext
        Objects that the resumption uses.
    clock : callable, optional
        Boot time in seconds.

    Attributes
    ----------
    epoch : int
        Epoch of the record to which the other attributes belong.
    began_at : float
        Boot time at which that record was first seen.
    due_at : dict of str to float
        Boot time of the next status request to each replica, infinity for none.
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
        self.epoch = 0
        self.began_at = 0.0
        self.due_at: dict[str, float] = {}

    async def update(self, record: GroupRecord) -> None:
        """Resume the paused replicas of a group whose primary serves.

        Must not run beside a change of the group's primary.

        Parameters
        ----------
        record : GroupRecord
            Newest known record of the group.
        """
        if not self._may_resume(record):
            return
        now = self.clock()
        if record.epoch != self.epoch:
            self.epoch = record.epoch
            self.began_at = now
            self.due_at = {}
        async with anyio.create_task_group() as tasks:
            tasks.cancel_scope.deadline = anyio.current_time() + ANSWER_WAIT_S
            for endpoint in self.context.directory.in_group(self.group):
                is_due = self.due_at.get(endpoint.id, now) <= now
                if endpoint.id != record.primary and is_due:
                    tasks.start_soon(self._check_replica, endpoint.id, record)

    async def _check_replica(self, endpoint_id: str, record: GroupRecord) -> None:
        """Resume a replica if it is paused, and set when it is due again."""
        asked_at = self.clock()
        self.due_at[endpoint_id] = asked_at + RETRY_INTERVAL_S
        try:
            status = await self.context.control.status(endpoint_id)
            if status.held_term:
                await self._resume(endpoint_id, status.held_term, record)
                return
        except EndpointError as error:
            log.info(
                "paused replication not ruled out",
                group=self.group,
                endpoint=endpoint_id,
                error=str(error),
            )
            return
        settled_at = self.began_at + LATE_PAUSE_S
        is_settled = asked_at >= settled_at
        self.due_at[endpoint_id] = float("inf") if is_settled else settled_at

    async def _resume(
        self, endpoint_id: str, held_term: int, record: GroupRecord
    ) -> None:
        # The lock may have been lost, or a change begun, while the status was awaited.
        if not self._may_resume(record):
            return
        status = await self.context.control.release(endpoint_id)
        log.info(
            "paused replica resumed",
            group=self.group,
            endpoint=endpoint_id,
            held_term=held_term,
            held_term_now=status.held_term,
        )

    def _may_resume(self, record: GroupRecord) -> bool:
        """Return whether this process holds the lock and no change is announced."""
        known = self.context.leadership.records.get(self.group)
        return (
            self.context.lock.is_held()
            and record.serving
            and known is not None
            and known.epoch == record.epoch
            and known.serving
        )
