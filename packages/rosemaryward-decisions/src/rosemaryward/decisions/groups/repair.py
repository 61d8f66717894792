"""Repair of replicas that do not follow the current primary."""

from collections.abc import Mapping

import anyio

from rosemaryward.decisions.document.schema import InstanceSection
from rosemaryward.decisions.errors import EndpointError
from rosemaryward.decisions.groups.monitor import InstanceMonitor
from rosemaryward.decisions.interfaces import InstanceRole, InstanceStatus
from rosemaryward.decisions.messages import PrimaryRecord
from rosemaryward.decisions.types import LogPosition

__all__ = ["ReplicaRepair"]

REPAIR_RETRY_S = 0.3
# A replica that is behind and receives nothing for this time is told again to follow
# the primary, because the primary's address may have changed.
REPLICATION_STALL_S = 3.0


class ReplicaRepair:
    """Raises the term of outdated instances and makes them follow the primary.

    Parameters
    ----------
    monitors : mapping of str to InstanceMonitor
    proposer : str
        Identifies this process in `InstanceControl.raise_term`.

    Attributes
    ----------
    repairs : int
        Number of instances made to follow the primary.
    """

    __slots__ = ("_attempted_at", "_progress", "monitors", "proposer", "repairs")

    def __init__(self, monitors: Mapping[str, InstanceMonitor], proposer: str) -> None:
        self.monitors = monitors
        self.proposer = proposer
        self.repairs = 0
        self._attempted_at: dict[str, tuple[int, float]] = {}
        self._progress: dict[str, tuple[LogPosition | None, float]] = {}

    async def run(
        self, record: PrimaryRecord, instances: Mapping[str, InstanceSection]
    ) -> None:
        """Repair all instances that need it concurrently.

        Parameters
        ----------
        record : PrimaryRecord
            Current primary.
        instances : mapping of str to InstanceSection
            Addresses of the group's instances.
        """
        section = instances.get(record.instance)
        if section is None or record.instance not in self.monitors:
            return
        self._record_progress(record)
        due = [name for name in self.monitors if self._is_due(name, record)]
        if not due:
            return
        async with anyio.create_task_group() as tasks:
            for name in due:
                tasks.start_soon(self._repair, name, record.term, section)

    def _is_due(self, name: str, record: PrimaryRecord) -> bool:
        monitor = self.monitors[name]
        now = anyio.current_time()
        if name == record.instance or monitor.detector.failures:
            return False
        if not (needs_repair(monitor.status, record.term) or self._is_stalled(name)):
            return False
        term, attempted_at = self._attempted_at.get(name, (0, 0.0))
        if term == record.term and now - attempted_at < REPAIR_RETRY_S:
            return False
        self._attempted_at[name] = (record.term, now)
        return True

    def _record_progress(self, record: PrimaryRecord) -> None:
        """Record when each replica last was up to date or received an entry."""
        now = anyio.current_time()
        source = self.monitors[record.instance].status
        for name, monitor in self.monitors.items():
            status = monitor.status
            if status is None or source is None:
                continue
            seen, _ = self._progress.get(name, (None, now))
            if seen != status.received or status.received >= source.received:
                self._progress[name] = (status.received, now)

    def _is_stalled(self, name: str) -> bool:
        now = anyio.current_time()
        _, since = self._progress.get(name, (None, now))
        return now - since > REPLICATION_STALL_S

    async def _repair(self, name: str, term: int, section: InstanceSection) -> None:
        monitor = self.monitors[name]
        status = monitor.status
        assert status is not None
        expected = status.term
        try:
            if expected < term and not await monitor.command(
                lambda control: control.raise_term(expected, term, self.proposer)
            ):
                return
            if await monitor.command(
                lambda control: control.follow(term, section.host, section.port)
            ):
                self.repairs += 1
                self._progress.pop(name, None)
        except EndpointError:
            return


def needs_repair(status: InstanceStatus | None, term: int) -> bool:
    """Return whether a non-primary instance must be told to follow the primary.

    Parameters
    ----------
    status : InstanceStatus or None
        Last status of the instance, None if it is unknown.
    term : int
        Term of the primary.
    """
    if status is None or status.term > term:
        return False
    return status.term < term or status.role is not InstanceRole.REPLICA
