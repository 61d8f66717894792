"""One attempt to promote an instance in a new term."""

from collections.abc import Mapping

import anyio

from rosemaryward.decisions.document.schema import InstanceSection
from rosemaryward.decisions.errors import EndpointError
from rosemaryward.decisions.groups.monitor import InstanceMonitor
from rosemaryward.decisions.groups.settings import GroupSettings
from rosemaryward.decisions.interfaces import InstanceStatus
from rosemaryward.decisions.types import Place

__all__ = ["PromotionAttempt", "distance"]

POLL_INTERVAL_S = 0.02


def distance(place: Place, section: InstanceSection) -> int:
    """Return 0 in the same failure domain, 1 in the same region, 2 elsewhere."""
    if section.region != place.region:
        return 2
    return int(section.failure_domain != place.failure_domain)


class PromotionAttempt:
    """Raises the term on a majority and opens the instance with the longest log.

    An attempt opens at most one instance, and only after a majority accepted the
    term from its proposer, so a term has at most one primary. Instances refuse
    every step once they have a higher term, so an attempt that continues after a
    pause does no harm.

    Parameters
    ----------
    monitors : mapping of str to InstanceMonitor
    instances : mapping of str to InstanceSection
    place : Place
        Place to which the primary should be close.
    term : int
        New term, higher than any known term.
    proposer : str
        Identifier that is unique to this attempt.
    settings : GroupSettings
    previous : str
        Instance preferred among those with equal logs, empty for none.
    suspect : str
        Instance avoided among those with equal logs, empty for none.

    Attributes
    ----------
    accepted : set of str
        Instances that accepted the term from this attempt.
    refused : set of str
        Instances that already have the term or a higher one.
    fenced : dict of str to InstanceStatus
        Status after the fencing of each instance that has the term.
    """

    __slots__ = (
        "_changed",
        "accepted",
        "fenced",
        "instances",
        "majority",
        "monitors",
        "place",
        "previous",
        "proposer",
        "refused",
        "settings",
        "suspect",
        "term",
    )

    def __init__(
        self,
        monitors: Mapping[str, InstanceMonitor],
        instances: Mapping[str, InstanceSection],
        place: Place,
        term: int,
        proposer: str,
        settings: GroupSettings,
        *,
        previous: str = "",
        suspect: str = "",
    ) -> None:
        self.monitors = monitors
        self.instances = instances
        self.place = place
        self.term = term
        self.proposer = proposer
        self.settings = settings
        self.previous = previous
        self.suspect = suspect
        self.majority = len(monitors) // 2 + 1
        self.accepted: set[str] = set()
        self.refused: set[str] = set()
        self.fenced: dict[str, InstanceStatus] = {}

    async def run(self) -> str | None:
        """Return the instance that was opened for writes, or None on failure."""
        if not await self._fence_majority():
            return None
        chosen = self.choose_instance()
        if not await self._wait_applied(chosen):
            return None
        return chosen if await self._open(chosen) else None

    def choose_instance(self) -> str:
        """Return the best instance that holds every acknowledged write.

        These are the instances whose log is at least as long as the logs of a
        majority of all instances. Preferred are instances that do not leave, then
        the longest log, then the closest place.
        """
        received = sorted(status.received for status in self.fenced.values())
        required = received[self.majority - 1]
        return min(
            (name for name in self.fenced if self.fenced[name].received >= required),
            key=self._preference,
        )

    def _preference(self, name: str) -> tuple[bool, int, int, int, int, int, str]:
        status, section = self.fenced[name], self.instances[name]
        return (
            status.leaving or section.leaving,
            -status.received.term,
            -status.received.index,
            (name == self.suspect) - (name == self.previous),
            status.received.index - status.applied.index,
            distance(self.place, section),
            name,
        )

    async def _fence_majority(self) -> bool:
        """Raise the term on all instances and wait until older read leases expire."""
        self._changed = anyio.Event()
        won_at = None
        async with anyio.create_task_group() as tasks:
            for name in self.monitors:
                tasks.start_soon(self._fence, name)
            with anyio.move_on_after(self.settings.term_raise_timeout_s):
                while self._is_undecided():
                    await self._changed.wait()
            if len(self.accepted) >= self.majority:
                won_at = anyio.current_time()
                await anyio.sleep(self.settings.lease_s)
                with anyio.move_on_after(self.settings.term_raise_timeout_s):
                    while len(self.fenced) < self.majority:
                        await self._changed.wait()
            tasks.cancel_scope.cancel()
        return won_at is not None and len(self.fenced) >= self.majority

    def _is_undecided(self) -> bool:
        """Return whether a majority is neither reached nor out of reach."""
        attainable = self.accepted | (self._reachable() - self.refused)
        return len(self.accepted) < self.majority <= len(attainable)

    def _reachable(self) -> set[str]:
        now = anyio.current_time()
        return {
            name
            for name, monitor in self.monitors.items()
            if not monitor.detector.is_unresponsive(now)
        }

    def is_split_vote(self) -> bool:
        """Return whether no other proposer can be expected to win the lost term."""
        return len(self._reachable() - self.accepted) < self.majority

    def _notify(self) -> None:
        self._changed.set()
        self._changed = anyio.Event()

    async def _fence(self, name: str) -> None:
        monitor = self.monitors[name]
        status = monitor.status or await monitor.fresh_status()
        while status.term < self.term:
            try:
                if await self._raise_term(monitor, status.term):
                    self.accepted.add(name)
                    self._notify()
                    break
            except EndpointError:
                await anyio.sleep(POLL_INTERVAL_S)
                continue  # a retry succeeds if only the answer was lost
            status = await monitor.fresh_status()
        else:
            self.refused.add(name)
            self._notify()
            return
        status = await monitor.fresh_status()
        if status.term == self.term:
            self.fenced[name] = status
            self._notify()

    async def _raise_term(self, monitor: InstanceMonitor, expected: int) -> bool:
        return await monitor.command(
            lambda control: control.raise_term(expected, self.term, self.proposer)
        )

    async def _wait_applied(self, name: str) -> bool:
        """Wait until the instance has applied everything that it has received."""
        status = self.fenced[name]
        with anyio.move_on_after(self.settings.apply_timeout_s):
            while status.applied < status.received:
                await anyio.sleep(POLL_INTERVAL_S)
                status = await self.monitors[name].fresh_status()
                if status.term != self.term:
                    return False
            return True
        return False

    async def _open(self, name: str) -> bool:
        """Open the instance for writes and retry after a lost answer."""
        with anyio.move_on_after(self.settings.open_timeout_s):
            while True:
                try:
                    return await self.monitors[name].command(
                        lambda control: control.open_writes(self.term)
                    )
                except EndpointError:
                    await anyio.sleep(POLL_INTERVAL_S)
        return False
