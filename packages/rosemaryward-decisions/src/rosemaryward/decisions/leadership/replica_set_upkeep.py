"""Upkeep of a group's replica set by the holder of the failover lock."""

from collections.abc import Callable

import structlog

from rosemaryward.decisions.clock import boot_time_s
from rosemaryward.decisions.errors import EndpointError
from rosemaryward.decisions.leadership.context import FailoverContext
from rosemaryward.decisions.leadership.replica_sets import merge_endpoints

__all__ = ["ReplicaSetUpkeep"]

# An endpoint that failed returns with its log, and may confirm commits before its
# registration is seen.
REMOVAL_DELAY_S = 15.0
REMOVAL_CHECK_INTERVAL_S = 1.0

log = structlog.get_logger(__name__)


class ReplicaSetUpkeep:
    """Adds endpoints to a group's replica set, and removes those that are gone.

    Parameters
    ----------
    group : str
        Group of the replica set.
    context : FailoverContext
        Objects that the upkeep uses.
    clock : callable, optional
        Boot time in seconds.

    Attributes
    ----------
    missing_since : dict of str to float
        Boot time at which an endpoint of the set was first seen to be unregistered.
    left : set of str
        Endpoints that were seen to leave as planned, so that they do not return.
    checked_at : float
        Boot time of the last check whether missing endpoints can be removed.
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
        self.missing_since: dict[str, float] = {}
        self.left: set[str] = set()
        self.checked_at = float("-inf")

    async def add_registered(self) -> None:
        """Add the registered endpoints; raises `ConflictError` or `StoreError`."""
        recorded = self.context.replica_sets.endpoints(self.group)
        registered = self.context.directory.in_group(self.group)
        merged = merge_endpoints(recorded, registered)
        if merged != recorded:
            await self.context.replica_sets.replace(self.group, merged)

    async def update(self, primary: str) -> None:
        """Add and remove endpoints as needed.

        Parameters
        ----------
        primary : str
            Id of the group's primary.

        Raises
        ------
        ConflictError
            If another proxy has changed the replica set.
        StoreError
            If the store does not answer.
        """
        await self.add_registered()
        removable = self._find_missing()
        now = self.clock()
        if not removable or now - self.checked_at < REMOVAL_CHECK_INTERVAL_S:
            return
        self.checked_at = now
        if not await self._is_log_elsewhere(primary):
            return
        recorded = self.context.replica_sets.endpoints(self.group)
        # One that only the store has lost still confirms commits.
        removable = {
            e
            for e in removable & recorded.keys()
            if not await self.context.control.answers(self.group, e, recorded[e])
        }
        if not removable:
            return
        kept = {e: address for e, address in recorded.items() if e not in removable}
        await self.context.replica_sets.replace(self.group, kept)
        log.info(
            "endpoints removed from the replica set",
            group=self.group,
            endpoints=sorted(removable),
            missing_s=round(now - min(self.missing_since[e] for e in removable), 1),
        )

    def _find_missing(self) -> set[str]:
        """Return the endpoints of the set that are gone and may be removed."""
        now = self.clock()
        registered = {e.id: e for e in self.context.directory.in_group(self.group)}
        recorded = self.context.replica_sets.endpoints(self.group)
        self.left = {e for e in self.left if e in recorded} | {
            endpoint.id for endpoint in registered.values() if endpoint.leaving
        }
        self.missing_since = {
            e: self.missing_since.get(e, now) for e in recorded if e not in registered
        }
        return {
            endpoint_id
            for endpoint_id, since in self.missing_since.items()
            if endpoint_id in self.left or now - since >= REMOVAL_DELAY_S
        }

    async def _is_log_elsewhere(self, primary: str) -> bool:
        """Return whether enough registered endpoints have the whole log.

        These are the primary and as many replicas as a commit requires.
        """
        control = self.context.control
        try:
            status = await control.status(primary)
        except EndpointError:
            return False
        if not status.is_primary:
            return False
        replicas = 0
        for endpoint in self.context.directory.in_group(self.group):
            if endpoint.id == primary or endpoint.leaving:
                continue
            try:
                received = (await control.status(endpoint.id)).received
            except EndpointError:
                continue
            replicas += received >= status.received
        return replicas >= self.context.tolerated_logs(self.group)
