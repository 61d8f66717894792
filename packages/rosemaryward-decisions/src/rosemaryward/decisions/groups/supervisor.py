"""Supervision of a database group by an owner of one of its instances."""

from collections.abc import Callable, Collection, Mapping, Sequence
from contextlib import AsyncExitStack
from math import inf
from random import Random
from types import TracebackType
from typing import Self

import anyio

from rosemaryward.decisions.document.schema import InstanceSection
from rosemaryward.decisions.errors import (
    NotRunError,
    OutcomeUnknownError,
    ReplicaBehindError,
)
from rosemaryward.decisions.groups.agreement import FailureAgreement, ReachabilityClient
from rosemaryward.decisions.groups.confirmation import WriteConfirmations
from rosemaryward.decisions.groups.majority import MajorityView, is_primary
from rosemaryward.decisions.groups.monitor import InstanceMonitor
from rosemaryward.decisions.groups.repair import ReplicaRepair
from rosemaryward.decisions.groups.replacement import PrimaryReplacement
from rosemaryward.decisions.groups.settings import GroupSettings
from rosemaryward.decisions.groups.staleness import PositionHistory
from rosemaryward.decisions.interfaces import (
    InstanceControl,
    InstanceRole,
    InstanceStatus,
)
from rosemaryward.decisions.messages import PrimaryRecord, ReachabilityReply
from rosemaryward.decisions.types import EndpointId, LogPosition, Place

__all__ = ["GroupSupervisor"]

TICK_INTERVAL_S = 0.05
FAST_TICK_INTERVAL_S = 0.01  # while requests to any instance fail
# A tick that is late by more than this means that the event loop was stalled.
EVENT_LOOP_STALL_S = 0.15
APPLY_POLL_INTERVAL_S = 0.005
APPLY_WAIT_SMOOTHING = 0.1  # weight of the latest wait in the moving average
FIRST_POLL_FRACTION = 0.8  # of the expected wait, before the first request


class GroupSupervisor:
    """Monitors all instances of a database and keeps one of them open for writes.

    Parameters
    ----------
    database : str
    host_id : str
        Identifies this process to instances and other proposers.
    place : Place
        Region and failure domain of this process.
    instances : mapping of str to InstanceSection
        All instances of the group by name. The attribute may be replaced to change
        addresses or `leaving` flags, but not the names.
    control_factory : callable
        Returns a new control connection for an endpoint.
    reachability_client : ReachabilityClient
    on_primary : callable
        Called with each new record that comes from an instance or from a promotion
        by this process, but not with those from `observe_primary`.
    random : random.Random
        Source of proposer identifiers and backoff jitter.
    settings : GroupSettings

    Attributes
    ----------
    monitors : dict of str to InstanceMonitor
    owned_instances : collection of str or None
        Instances that this process owns, None before `set_owned_instances`.
    view : MajorityView
    promotions, failed_promotions, false_suspicions : int
        Number of completed promotions, of failed attempts and of false suspicions. A
        suspicion is false if the suspected primary answers again while it is still
        the primary.
    """

    __slots__ = (
        "_confirmations",
        "_expected_apply_s",
        "_history",
        "_leaving_since",
        "_primary",
        "_repair",
        "_replacement",
        "_stack",
        "database",
        "host_id",
        "instances",
        "monitors",
        "on_primary",
        "owned_instances",
        "place",
        "settings",
        "view",
    )

    def __init__(  # noqa: PLR0913 - one argument per collaborator
        self,
        database: str,
        host_id: str,
        place: Place,
        instances: Mapping[str, InstanceSection],
        control_factory: Callable[[EndpointId], InstanceControl],
        reachability_client: ReachabilityClient,
        on_primary: Callable[[PrimaryRecord], None],
        random: Random,
        settings: GroupSettings,
    ) -> None:
        self.database = database
        self.host_id = host_id
        self.place = place
        self.instances = instances
        self.on_primary = on_primary
        self.settings = settings
        self.owned_instances: Collection[str] | None = None
        self.monitors = {
            name: InstanceMonitor(
                EndpointId(database, name),
                control_factory(EndpointId(database, name)),
                settings.primary_interval_s,
                settings,
                self._on_answer,
            )
            for name in instances
        }
        self.view = MajorityView(self.monitors, settings.lease_s)
        self._primary: PrimaryRecord | None = None
        self._expected_apply_s = 0.0
        self._confirmations = WriteConfirmations(self.view)
        self._history = PositionHistory()
        self._leaving_since: dict[str, float] = {}
        self._repair = ReplicaRepair(self.monitors, f"{host_id}-repair")
        self._replacement = PrimaryReplacement(
            self, FailureAgreement(reachability_client, place), random
        )
        self._stack = AsyncExitStack()

    async def __aenter__(self) -> Self:
        for monitor in self.monitors.values():
            await self._stack.enter_async_context(monitor)
        tasks = await self._stack.enter_async_context(anyio.create_task_group())
        self._stack.callback(tasks.cancel_scope.cancel)
        tasks.start_soon(self._run)
        return self

    async def __aexit__(
        self,
        exc_type: type[BaseException] | None,
        exc: BaseException | None,
        traceback: TracebackType | None,
    ) -> bool | None:
        return await self._stack.__aexit__(exc_type, exc, traceback)

    @property
    def primary(self) -> PrimaryRecord | None:
        """Primary of the highest term known to this process."""
        return self._primary

    @property
    def promotions(self) -> int:
        """Number of promotions that this process completed."""
        return self._replacement.promotions

    @property
    def failed_promotions(self) -> int:
        """Number of attempts that were refused, superseded or timed out."""
        return self._replacement.failed_promotions

    @property
    def false_suspicions(self) -> int:
        """Number of suspicions of a primary that answered again in its term."""
        return self._replacement.false_suspicions

    @property
    def repairs(self) -> int:
        """Number of times that this process made an instance follow the primary."""
        return self._repair.repairs

    def observe_primary(self, record: PrimaryRecord) -> None:
        """Adopt a primary record from gossip if its term is higher than known."""
        current = self._primary
        if current is None or record.term > current.term:
            self._primary = record
            self._set_intervals()

    def set_proposer_index(self, proposer_index: int) -> None:
        """Set the position of this process in the order of proposers, from 0."""
        self._replacement.proposer_index = proposer_index

    def set_owned_instances(self, instances: Collection[str]) -> None:
        """Set the instances that this process owns.

        An owner of the primary polls at the shorter interval. Until the first call,
        all instances count as owned.
        """
        self.owned_instances = frozenset(instances)
        self._set_intervals()

    def set_owner_places(self, places: Sequence[Place]) -> None:
        """Set the places of the group's owners, as the member table lists them."""
        self._replacement.agreement.owners = tuple(places)

    def status_of(self, instance: str) -> InstanceStatus | None:
        """Return the last status of an instance, or None if there is none yet."""
        return self.monitors[instance].status

    def leaving_s(self, instance: str) -> float:
        """Return for how many seconds an instance is known to leave, 0 if it stays."""
        since = self._leaving_since.get(instance)
        return 0.0 if since is None else anyio.current_time() - since

    def is_leaving(self, instance: str) -> bool:
        """Return whether an instance leaves, by the document or its own status."""
        status = self.status_of(instance)
        section = self.instances[instance]
        return section.leaving or (status is not None and status.leaving)

    def _track_leaving(self, instance: str) -> None:
        """Update since when an instance is known to leave."""
        if not self.is_leaving(instance):
            self._leaving_since.pop(instance, None)
        elif instance not in self._leaving_since:
            self._leaving_since[instance] = anyio.current_time()

    def reachability(self, endpoint: EndpointId) -> ReachabilityReply:
        """Answer another owner's question whether this process reaches an instance."""
        monitor = self.monitors.get(endpoint.instance)
        if monitor is None or endpoint.database != self.database:
            return ReachabilityReply(False, False, self.place)
        unresponsive = monitor.detector.is_unresponsive(anyio.current_time())
        # A monitor that has just started does not know whether it reaches the instance.
        monitored = unresponsive or monitor.status is not None
        return ReachabilityReply(monitored, monitored and not unresponsive, self.place)

    def holds_read_lease(self, instance: str) -> bool:
        """Return whether reads at `instance` see all acknowledged writes.

        The instance reports itself as the primary, and a majority of the group
        reported the same term in answers to requests sent within the lease.
        """
        return self.view.holds_lease(instance)

    async def confirm_write(
        self, instance: str, term: int, deadline_s: float
    ) -> LogPosition:
        """Wait until a majority has received a write executed before the call.

        Parameters
        ----------
        instance : str
            Where the write was executed.
        term : int
            Term in which the instance was the primary before the write.
        deadline_s : float
            Longest wait in seconds.

        Returns
        -------
        LogPosition
            A position at or past the write.

        Raises
        ------
        OutcomeUnknownError
            If the instance was replaced or the deadline passed.
        """
        try:
            with anyio.fail_after(deadline_s):
                return await self._confirmations.confirm(instance, term)
        except TimeoutError:
            raise OutcomeUnknownError(
                f"{self.database}/{instance}: no majority confirmed the write within "
                f"{deadline_s:g} s"
            ) from None

    async def read_index(self, instance: str, deadline_s: float) -> LogPosition:
        """Return a position at or past every write acknowledged before the call.

        Parameters
        ----------
        instance : str
            Instance that must be the primary.
        deadline_s : float
            Longest wait in seconds.

        Raises
        ------
        NotRunError
            If the instance is not the primary or does not answer in time, or if no
            majority reports its term.
        """
        monitor = self.monitors[instance]
        with anyio.move_on_after(deadline_s):
            status = await monitor.fresh_status()
            if status.role is not InstanceRole.PRIMARY:
                raise NotRunError(f"{self.database}/{instance} is not the primary")
            with anyio.move_on_after(self.settings.lease_s):
                while not self._is_leased(instance, status.term):
                    await self._renew_lease()
            if self._is_leased(instance, status.term):
                return status.received
        raise NotRunError(
            f"{self.database}/{instance}: the read lease was not renewed in time"
        )

    async def wait_applied(
        self, instance: str, minimum: LogPosition, timeout_s: float
    ) -> InstanceStatus:
        """Wait until the instance has applied the log up to `minimum`.

        Parameters
        ----------
        instance : str
        minimum : LogPosition
        timeout_s : float
            Longest wait in seconds.

        Raises
        ------
        ReplicaBehindError
            If the timeout passed first.
        """
        monitor = self.monitors[instance]
        if not _has_applied(monitor.status, minimum):
            with anyio.move_on_after(timeout_s):
                await self._poll_applied(monitor, minimum)
        status = monitor.status
        if status is None or status.applied < minimum:
            applied = status.applied if status else LogPosition()
            raise ReplicaBehindError(
                f"{self.database}/{instance} has applied {applied.to_token()}, "
                f"expected at least {minimum.to_token()}",
                applied,
            )
        return status

    async def _poll_applied(
        self, monitor: InstanceMonitor, minimum: LogPosition
    ) -> None:
        """Request the status until `minimum` is applied.

        The first request is sent when most of the expected wait has passed. Polling
        at a fixed short interval from the start took four requests for each read.
        """
        started = anyio.current_time()
        await anyio.sleep(FIRST_POLL_FRACTION * self._expected_apply_s)
        while not _has_applied(monitor.status, minimum):
            await monitor.fresh_status()
            if not _has_applied(monitor.status, minimum):
                await anyio.sleep(APPLY_POLL_INTERVAL_S)
        waited_s = anyio.current_time() - started
        self._expected_apply_s += APPLY_WAIT_SMOOTHING * (
            waited_s - self._expected_apply_s
        )

    def staleness_s(self, instance: str) -> float:
        """Return the age of an instance's data in seconds, or infinity if unknown."""
        status = self.monitors[instance].status
        if status is None:
            return inf
        return self._history.age_s(status.applied, anyio.current_time())

    def announce_primary(self, record: PrimaryRecord) -> None:
        """Adopt a primary record of a higher term and pass it to `on_primary`."""
        current = self._primary
        if current is None or record.term > current.term:
            self.observe_primary(record)
            self.on_primary(record)

    def _is_leased(self, instance: str, term: int) -> bool:
        status = self.monitors[instance].status
        return is_primary(status, term) and self.view.holds_lease(instance)

    async def _renew_lease(self) -> None:
        """Request the status of instances without a fresh one until one answers."""
        async with anyio.create_task_group() as tasks:

            async def ask(monitor: InstanceMonitor) -> None:
                await monitor.fresh_status()
                tasks.cancel_scope.cancel()

            for monitor in self.monitors.values():
                if not monitor.is_fresh(self.settings.lease_s):
                    tasks.start_soon(ask, monitor)

    def _set_intervals(self) -> None:
        settings, record = self.settings, self._primary
        is_owner = (
            self.owned_instances is None
            or record is None
            or record.instance in self.owned_instances
        )
        interval_s = settings.primary_interval_s if is_owner else settings.interval_s
        for monitor in self.monitors.values():
            monitor.interval_s = interval_s

    def _on_answer(self, monitor: InstanceMonitor) -> None:
        status, name = monitor.status, monitor.endpoint.instance
        self._track_leaving(name)
        if status is not None and status.role is InstanceRole.PRIMARY:
            self.announce_primary(PrimaryRecord(self.database, status.term, name))
            if self.view.holds_lease(name):
                self._history.add(monitor.status_requested_at, status.received)
        self._confirmations.update()

    async def _run(self) -> None:
        while True:
            if await self._tick():
                for monitor in self.monitors.values():
                    monitor.detector.reset(anyio.current_time())
                continue
            record = self._primary
            if record is not None and record.term >= self.view.highest_term():
                await self._repair.run(record, self.instances)
            await self._replacement.replace_if_due()

    async def _tick(self) -> bool:
        """Sleep for a tick and return whether the event loop was stalled meanwhile."""
        busy = any(m.detector.failures for m in self.monitors.values())
        tick_s = FAST_TICK_INTERVAL_S if busy else TICK_INTERVAL_S
        due_at = anyio.current_time() + tick_s
        await anyio.sleep(tick_s)
        return anyio.current_time() - due_at > EVENT_LOOP_STALL_S


def _has_applied(status: InstanceStatus | None, minimum: LogPosition) -> bool:
    return status is not None and status.applied >= minimum
