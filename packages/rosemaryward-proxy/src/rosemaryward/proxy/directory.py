"""Lookup of endpoint owners and primaries for statement routing."""

import anyio

from rosemaryward.decisions.membership import OwnershipTracker, PrimaryDirectory
from rosemaryward.decisions.messages import Member, PrimaryRecord
from rosemaryward.decisions.types import EndpointId

__all__ = ["ClusterDirectory"]


class ClusterDirectory:
    """Looks up owners and primaries for `EntryService`.

    Parameters
    ----------
    ownership : OwnershipTracker
        Assignment of endpoints to members.
    primaries : PrimaryDirectory
        Latest known primary record of each database.

    Attributes
    ----------
    primary_change_events : dict of str to anyio.Event
        By database; set and removed at the next change of its primary.
    """

    def __init__(
        self, ownership: OwnershipTracker, primaries: PrimaryDirectory
    ) -> None:
        self.ownership = ownership
        self.primaries = primaries
        self.primary_change_events: dict[str, anyio.Event] = {}
        primaries.subscribe(self._notify_waiters)

    def owner_of(self, endpoint: EndpointId) -> Member | None:
        """Return the member that owns the endpoint, or None if nobody does."""
        return self.ownership.owner_of(endpoint)

    def owners_of(self, database: str) -> list[Member]:
        """Return the distinct members that own an instance of the database."""
        instances = self.ownership.owners(database)
        owners = (self.owner_of(EndpointId(database, name)) for name in instances)
        return list({owner.host_id: owner for owner in owners if owner}.values())

    def primary_of(self, database: str) -> str:
        """Return the instance name of the primary, or an empty string if unknown."""
        record = self.primaries.get(database)
        return record.instance if record is not None else ""

    async def primary_changed(self, database: str) -> None:
        """Wait until the primary of the database changes."""
        await self.primary_change_events.setdefault(database, anyio.Event()).wait()

    def _notify_waiters(self, record: PrimaryRecord) -> None:
        event = self.primary_change_events.pop(record.database, None)
        if event is not None:
            event.set()
