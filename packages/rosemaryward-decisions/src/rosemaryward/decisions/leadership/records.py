"""Records of primaries, and how long a proxy may rely on them."""

import contextlib
from collections.abc import Callable, Iterator

import anyio
import msgspec
import structlog

from rosemaryward.decisions.clock import boot_time_s
from rosemaryward.decisions.types import LogPosition

__all__ = ["CONFIRMATION_VALIDITY_S", "GroupRecord", "Leadership"]

# A change waits as long for a member that cannot be reached.
CONFIRMATION_VALIDITY_S = 6.0
DRAIN_WRITES_S = 0.15

log = structlog.get_logger(__name__)


class GroupRecord(msgspec.Struct, frozen=True, kw_only=True):
    """Primary of a group as agreed in the store.

    Parameters
    ----------
    epoch : int
        Raised by every change.
    primary : str
        Endpoint that leads or, while changing, the one that led.
    serving : bool
        False while the primary is being changed.
    holder : str
        Proxy that wrote the record.
    """

    epoch: int
    primary: str
    serving: bool
    holder: str


class Leadership:
    """A proxy's knowledge of the primaries, with its age.

    Parameters
    ----------
    clock : callable, optional
        Boot time in seconds.

    Attributes
    ----------
    records : dict of str to GroupRecord
        Newest record of each group.
    revisions : dict of str to int
        Store revision of each record, for a change under a condition.
    confirmed_at : float
        When the read was sent that last confirmed the records.
    fence_epochs : dict of str to int
        Epoch below which a group's primary must not be used.
    closed_epochs : dict of str to int
        Epoch below which answers to writes are no longer believed.
    running_writes : dict of str to dict
        When each write that runs at a group's primary was sent.
    acknowledged : dict of str to LogPosition
        Newest position of an acknowledged write of each group.
    """

    __slots__ = (
        "acknowledged",
        "change_listeners",
        "changing_since",
        "clock",
        "closed_epochs",
        "confirmed_at",
        "fence_epochs",
        "records",
        "revisions",
        "running_writes",
        "write_ended",
    )

    def __init__(self, clock: Callable[[], float] = boot_time_s) -> None:
        self.clock = clock
        self.records: dict[str, GroupRecord] = {}
        self.revisions: dict[str, int] = {}
        self.fence_epochs: dict[str, int] = {}
        self.closed_epochs: dict[str, int] = {}
        self.changing_since: dict[str, float] = {}
        self.running_writes: dict[str, dict[object, float]] = {}
        self.write_ended = anyio.Event()
        self.acknowledged: dict[str, LogPosition] = {}
        self.confirmed_at = float("-inf")
        self.change_listeners: list[Callable[[str], None]] = []

    def observe(self, group: str, record: GroupRecord, revision: int) -> None:
        """Take over a record, unless a newer one is known."""
        if revision <= self.revisions.get(group, 0):
            return
        if record.serving:
            self.closed_epochs[group] = max(
                self.closed_epochs.get(group, 0), record.epoch
            )
        self.records[group] = record
        self.revisions[group] = revision
        self._note_phase(group)
        log.info(
            "primary record observed",
            group=group,
            primary=record.primary,
            epoch=record.epoch,
            serving=record.serving,
            holder=record.holder,
            revision=revision,
        )
        for notify in self.change_listeners:
            notify(group)

    def confirm(self, sent_at: float) -> None:
        """Note that a read of all records was sent at a time and answered."""
        self.confirmed_at = max(self.confirmed_at, sent_at)

    def fence(self, group: str, epoch: int) -> None:
        """Stop using primaries of earlier epochs."""
        if epoch <= self.fence_epochs.get(group, 0):
            return
        self.fence_epochs[group] = epoch
        self._note_phase(group)
        log.info("primary fenced", group=group, epoch=epoch)
        for notify in self.change_listeners:
            notify(group)

    async def fence_and_drain(self, group: str, epoch: int) -> LogPosition:
        """Fence a primary and wait for a bounded time until its writes are answered.

        Returns
        -------
        LogPosition
            Newest position of an acknowledged write. Later answers of writes that
            were sent before the fence count as unknown.
        """
        self.fence(group, epoch)
        with anyio.move_on_after(DRAIN_WRITES_S):
            while self.running_writes.get(group):
                await self.write_ended.wait()
        self.closed_epochs[group] = max(self.closed_epochs.get(group, 0), epoch)
        return self.acknowledged.get(group, LogPosition())

    @contextlib.contextmanager
    def track_write(self, group: str) -> Iterator[None]:
        """Count a write that runs at a group's primary."""
        running = self.running_writes.setdefault(group, {})
        write = object()
        running[write] = self.clock()
        try:
            yield
        finally:
            del running[write]
            self.write_ended.set()
            self.write_ended = anyio.Event()

    def oldest_write_age_s(self, group: str) -> float:
        """Return for how long the oldest write at a group's primary has run."""
        running = self.running_writes.get(group)
        return self.clock() - min(running.values()) if running else 0.0

    def acknowledge(self, group: str, epoch: int, position: LogPosition | None) -> bool:
        """Note an acknowledged write.

        Returns
        -------
        bool
            False if the primary was replaced meanwhile, so that the write may be
            missing from the new primary's log.
        """
        if epoch < self.closed_epochs.get(group, 0):
            return False
        if position is not None:
            known = self.acknowledged.get(group, LogPosition())
            self.acknowledged[group] = max(known, position)
        return True

    def change_age_s(self, group: str) -> float | None:
        """Return for how long a primary has been changed, None if it is not."""
        since = self.changing_since.get(group)
        return None if since is None else self.clock() - since

    def _note_phase(self, group: str) -> None:
        """Note when a change of primary was first seen."""
        record = self.records.get(group)
        if record is None:
            return
        if record.serving and record.epoch >= self.fence_epochs.get(group, 0):
            self.changing_since.pop(group, None)
        else:
            self.changing_since.setdefault(group, self.clock())

    def confirmation_left_s(self) -> float:
        """Return for how long the records stay confirmed, negative if they are not."""
        return self.confirmed_at + CONFIRMATION_VALIDITY_S - self.clock()

    def is_confirmed(self) -> bool:
        """Return whether no unseen change can have taken effect."""
        return self.confirmation_left_s() > 0.0

    def primary(self, group: str) -> GroupRecord | None:
        """Return the record of a primary that may be used now, or None."""
        record = self.records.get(group)
        if record is None or not record.serving or not self.is_confirmed():
            return None
        if record.epoch < self.fence_epochs.get(group, 0):
            return None
        return record
