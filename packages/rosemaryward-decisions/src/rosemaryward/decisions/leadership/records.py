"""Primary records of the groups, and how long a proxy may rely on them."""

import contextlib
from collections.abc import Callable, Iterator

import anyio
import msgspec
import structlog

from rosemaryward.decisions.clock import boot_time_s
from rosemaryward.decisions.leadership.pending_promotions import PendingPromotions
from rosemaryward.decisions.mirror.store import generation_of
from rosemaryward.decisions.types import Count, LogPosition

__all__ = [
    "CONFIRMATION_VALIDITY_S",
    "UNVERIFIED_READ_S",
    "VERIFICATION_VALIDITY_S",
    "GroupRecord",
    "Leadership",
    "first_epoch",
]

# A change of primary waits this long for a member that it cannot reach.
CONFIRMATION_VALIDITY_S = 6.0
# A primary is read without further checks only for this long after a confirmation, so
# that a change of primary need not wait for the rest of the confirmation's validity.
UNVERIFIED_READ_S = 1.8
VERIFICATION_VALIDITY_S = 0.5  # after a request that only a primary has accepted
WRITE_DRAIN_TIMEOUT_S = 0.15
EPOCH_BITS = 20  # changes of one group's primary within a generation of the store

log = structlog.get_logger(__name__)


def first_epoch(generation: int) -> int:
    """Return the epoch above all epochs of earlier generations of the store."""
    return generation << EPOCH_BITS


class GroupRecord(msgspec.Struct, frozen=True, kw_only=True):
    """Primary of a group as agreed in the store.

    Parameters
    ----------
    epoch : int
        Incremented by every change of primary.
    primary : str
        Id of the primary endpoint, during a change that of the previous one.
    serving : bool
        False while the primary is being changed.
    holder : str
        Name of the proxy that wrote the record.
    term : int
        Term of the last primary that served, 0 if unknown. An endpoint that leads a
        later term was promoted after it.
    pending : tuple of str
        Endpoints for which a promotion was called and may still take effect.
    """

    epoch: Count
    primary: str
    serving: bool
    holder: str
    term: Count = 0
    pending: tuple[str, ...] = ()


class Leadership:
    """Primary records known to a proxy, and until when they are confirmed.

    A store that is restored from a copy may hold older records. A read of it confirms
    only records whose epoch belongs to its generation, which the holder of the
    failover lock writes after it has asked the members for the newest ones.

    Parameters
    ----------
    clock : callable, optional
        Boot time in seconds.

    Attributes
    ----------
    records : dict of str to GroupRecord
        Newest known record of each group.
    revisions : dict of str to int
        Revision of each group's record in the store, 0 for none, for conditional
        writes.
    generation : int
        Newest known generation of the store.
    confirmed_at : float
        Boot time as of which records were last confirmed.
    confirmations : dict of int to float
        The same for the records of each generation.
    verified_at : dict of str to float
        Boot time at which the request was sent whose answer last showed an endpoint
        to lead its group, by endpoint.
    fence_epochs : dict of str to int
        Epoch of each group below which its primary must not be used.
    closed_epochs : dict of str to int
        Epoch of each group below which acknowledgements of writes are rejected.
    running_writes : dict of str to dict
        Boot time at which each running write of each group was sent.
    acknowledged : dict of str to LogPosition
        Newest log position of an acknowledged write of each group, at most that of
        the primary's newest entry when it answered.
    committed : dict of str to LogPosition
        Log position that an acknowledged write of each group has at least.
    pending_promotions : PendingPromotions
        Promotion calls that may still take effect.
    changing_since : dict of str to float
        Boot time at which a running change of primary was first seen, by group.
    write_ended : anyio.Event
        Set, then replaced, whenever a running write ends.
    change_listeners : list of callable
        Called with the group after its record or fence has changed.
    """

    __slots__ = (
        "acknowledged",
        "change_listeners",
        "changing_since",
        "clock",
        "closed_epochs",
        "committed",
        "confirmations",
        "confirmed_at",
        "fence_epochs",
        "generation",
        "pending_promotions",
        "records",
        "revisions",
        "running_writes",
        "verified_at",
        "write_ended",
    )

    def __init__(self, clock: Callable[[], float] = boot_time_s) -> None:
        self.clock = clock
        self.records: dict[str, GroupRecord] = {}
        self.revisions: dict[str, int] = {}
        self.fence_epochs: dict[str, int] = {}
        self.closed_epochs: dict[str, int] = {}
        self.pending_promotions = PendingPromotions(clock)
        self.changing_since: dict[str, float] = {}
        self.running_writes: dict[str, dict[object, float]] = {}
        self.write_ended = anyio.Event()
        self.acknowledged: dict[str, LogPosition] = {}
        self.committed: dict[str, LogPosition] = {}
        self.generation = 0
        self.confirmed_at = float("-inf")
        self.confirmations: dict[int, float] = {}
        self.verified_at: dict[str, float] = {}
        self.change_listeners: list[Callable[[str], None]] = []

    def observe(self, group: str, record: GroupRecord, revision: int) -> None:
        """Apply a record, unless a newer one is known."""
        generation = generation_of(revision)
        self.generation = max(self.generation, generation)
        # A write that expects a revision of an earlier generation always conflicts.
        is_in_store = generation == self.generation
        known_revision = self.revisions.get(group, 0)
        is_latest_write = is_in_store and revision > known_revision
        is_restored = generation > generation_of(known_revision)
        self.revisions.setdefault(group, 0)
        if is_latest_write:
            self.revisions[group] = revision
        known = self.records.get(group)
        is_update = (
            known is not None and is_latest_write and _order(record) == _order(known)
        )
        if known is not None and _order(record) <= _order(known) and not is_update:
            if is_latest_write and _order(record) < _order(known):
                log.warning(
                    "older primary record in the store",
                    group=group,
                    epoch=record.epoch,
                    known_epoch=known.epoch,
                    revision=revision,
                )
            return
        if record.serving:
            self.closed_epochs[group] = max(
                self.closed_epochs.get(group, 0), record.epoch
            )
        self.records[group] = record
        self.pending_promotions.observe(group, record.pending, is_restored)
        self._track_change(group)
        log.info(
            "primary record observed",
            group=group,
            primary=record.primary,
            epoch=record.epoch,
            serving=record.serving,
            holder=record.holder,
            pending=record.pending,
            revision=revision,
        )
        for notify in self.change_listeners:
            notify(group)

    def observe_removal(self, group: str, revision: int = 0) -> None:
        """Record that the store has no record of a group; the known one is kept.

        Parameters
        ----------
        group : str
            Group of the record.
        revision : int
            Store revision of a value that cannot be used, 0 if there is none.
        """
        self.revisions[group] = revision

    def observe_restore(self, generation: int) -> None:
        """Record that the store was restored and may hold older records."""
        self.generation = max(self.generation, generation)

    def is_established(self, group: str) -> bool:
        """Return whether a group's record was written in the present generation."""
        return self.records[group].epoch >= first_epoch(self.generation)

    def next_epoch(self, group: str) -> int:
        """Return the epoch of the next record of a group."""
        record = self.records.get(group)
        known = 0 if record is None else record.epoch
        return max(known, first_epoch(self.generation)) + 1

    def confirm(self, sent_at: float, generation: int = 0) -> None:
        """Confirm the records of a generation.

        Parameters
        ----------
        sent_at : float
            Boot time at which the confirming read was sent, in seconds.
        generation : int
            Generation of the store that answered the read.
        """
        self.generation = max(self.generation, generation)
        self.confirmed_at = max(self.confirmed_at, sent_at)
        known = self.confirmations.get(generation, float("-inf"))
        self.confirmations[generation] = max(known, sent_at)

    def fence(self, group: str, epoch: int) -> None:
        """Stop using a group's primaries of epochs before `epoch`."""
        if epoch <= self.fence_epochs.get(group, 0):
            return
        self.fence_epochs[group] = epoch
        self._track_change(group)
        log.info("primary fenced", group=group, epoch=epoch)
        for notify in self.change_listeners:
            notify(group)

    async def fence_and_drain(self, group: str, epoch: int) -> LogPosition:
        """Fence a primary and wait, at most for a fixed time, for its running writes.

        Returns
        -------
        LogPosition
            Newest position of an acknowledged write. Writes that were sent before
            the fence and are answered later have an unknown outcome.
        """
        self.fence(group, epoch)
        with anyio.move_on_after(WRITE_DRAIN_TIMEOUT_S):
            while self.running_writes.get(group):
                await self.write_ended.wait()
        self.closed_epochs[group] = max(self.closed_epochs.get(group, 0), epoch)
        return self.acknowledged.get(group, LogPosition())

    @contextlib.contextmanager
    def track_write(self, group: str) -> Iterator[None]:
        """Track a write at a group's primary for as long as the context is open."""
        running = self.running_writes.setdefault(group, {})
        write_id = object()
        running[write_id] = self.clock()
        try:
            yield
        finally:
            del running[write_id]
            self.write_ended.set()
            self.write_ended = anyio.Event()

    def oldest_write_age_s(self, group: str) -> float:
        """Return the age in seconds of the oldest running write, 0 if none runs."""
        running = self.running_writes.get(group)
        return self.clock() - min(running.values()) if running else 0.0

    def acknowledge(
        self,
        group: str,
        epoch: int,
        position: LogPosition | None,
        position_before: LogPosition | None = None,
    ) -> bool:
        """Record an acknowledged write.

        Parameters
        ----------
        group : str
            Group of the write.
        epoch : int
            Epoch of the primary that answered.
        position : LogPosition or None
            Position of the primary's newest entry when it answered.
        position_before : LogPosition, optional
            A position that the primary's log had before the write was sent.

        Returns
        -------
        bool
            False if the primary was replaced in the meantime, or may have been, so
            that the new primary's log may lack the write.
        """
        closed_epoch = self.closed_epochs.get(group, 0)
        if epoch < closed_epoch or not self._is_confirmed(epoch):
            log.info(
                "acknowledgement rejected",
                group=group,
                epoch=epoch,
                closed_epoch=closed_epoch,
                confirmed_for_s=round(self.confirmation_left_s(), 3),
            )
            return False
        if position is not None:
            known = self.acknowledged.get(group, LogPosition())
            self.acknowledged[group] = max(known, position)
            self._record_commit(group, position, position_before)
        return True

    def _record_commit(
        self, group: str, position: LogPosition, position_before: LogPosition | None
    ) -> None:
        """Record the least position that an acknowledged write can have."""
        if position_before is None:
            return
        is_same_term = position_before.term == position.term
        index = position_before.index + 1 if is_same_term else 0
        least = LogPosition(position.term, index)
        known = self.committed.get(group, LogPosition())
        self.committed[group] = max(known, least)

    def committed_position(self, group: str) -> LogPosition:
        """Return a position that an acknowledged write of a group has at least."""
        return self.committed.get(group, LogPosition())

    def change_age_s(self, group: str) -> float | None:
        """Return for how many seconds a change of primary runs, None without one."""
        since = self.changing_since.get(group)
        return None if since is None else self.clock() - since

    def _track_change(self, group: str) -> None:
        """Update the time at which a running change of primary was first seen."""
        record = self.records.get(group)
        if record is None:
            return
        if record.serving and record.epoch >= self.fence_epochs.get(group, 0):
            self.changing_since.pop(group, None)
        else:
            self.changing_since.setdefault(group, self.clock())

    def confirmation_left_s(self) -> float:
        """Return the seconds until the confirmation expires, negative afterwards."""
        return self.confirmed_at + CONFIRMATION_VALIDITY_S - self.clock()

    def is_confirmed(self) -> bool:
        """Return whether no change unknown to this proxy can have taken effect."""
        return self.confirmation_left_s() > 0.0

    def primary(self, group: str) -> GroupRecord | None:
        """Return the record of a group whose primary may be used now, or None."""
        record = self.records.get(group)
        if record is None or not record.serving or not self._is_confirmed(record.epoch):
            return None
        if record.epoch < self.fence_epochs.get(group, 0):
            return None
        return record

    def may_read(self, group: str, endpoint: str, epoch: int) -> bool:
        """Return whether no commit can be missing from a primary's log.

        A primary that has been replaced refuses writes, but not reads.

        Parameters
        ----------
        group : str
            Group of the primary.
        endpoint : str
            Id of the primary.
        epoch : int
            Epoch of the record that makes the endpoint the primary.
        """
        now = self.clock()
        record = self.primary(group)
        is_current = record is not None and (record.primary, record.epoch) == (
            endpoint,
            epoch,
        )
        if is_current and now < self._confirmed_at(epoch) + UNVERIFIED_READ_S:
            return True
        verified_at = self.verified_at.get(endpoint, float("-inf"))
        return now < verified_at + VERIFICATION_VALIDITY_S

    def record_verification(self, endpoint: str, sent_at: float) -> None:
        """Record that an endpoint has shown that it leads its group.

        Parameters
        ----------
        endpoint : str
            Id of the endpoint.
        sent_at : float
            Boot time at which the request was sent whose answer shows it, in seconds:
            one for its status, or one that only a primary accepts.
        """
        oldest = self.clock() - VERIFICATION_VALIDITY_S
        self.verified_at = {e: at for e, at in self.verified_at.items() if at > oldest}
        known = self.verified_at.get(endpoint, float("-inf"))
        self.verified_at[endpoint] = max(known, sent_at)

    def _confirmed_at(self, epoch: int) -> float:
        """Return as of when a read of an epoch's own generation confirms its record."""
        return self.confirmations.get(epoch >> EPOCH_BITS, float("-inf"))

    def _is_confirmed(self, epoch: int) -> bool:
        """Return whether a read of an epoch's own generation confirms its record."""
        return self.clock() < self._confirmed_at(epoch) + CONFIRMATION_VALIDITY_S


def _order(record: GroupRecord) -> tuple[int, bool]:
    """Return the position of a record among those of its group."""
    return record.epoch, record.serving
