"""Endpoints that may hold acknowledged commits, as recorded in the store.

The registration of an endpoint that fails expires, and the processes that knew of it
may end, but its log may still be the only one with a commit besides that of the
primary. The replica set of a group therefore outlives both. An endpoint leaves the set
only after the others have received everything that was committed until then.
"""

from collections.abc import Iterable, Mapping

import msgspec
import structlog

from rosemaryward.decisions.gateway.environment import Endpoint
from rosemaryward.decisions.leadership.writer import RecordWriter
from rosemaryward.decisions.types import LogPosition

__all__ = [
    "ReplicaSetRecord",
    "ReplicaSets",
    "count_uncertain",
    "merge_endpoints",
]

log = structlog.get_logger(__name__)


class ReplicaSetRecord(msgspec.Struct, frozen=True):
    """Endpoints of one group that may hold acknowledged commits.

    Parameters
    ----------
    endpoints : dict of str to str
        Address of each endpoint, by id. An endpoint that starts again at its address
        has the log of the one before it, under its id or another one.
    """

    endpoints: dict[str, str]


class ReplicaSets:
    """Replica sets of all groups, as last read from the store.

    Parameters
    ----------
    writer : RecordWriter
        Writes the replica sets.

    Attributes
    ----------
    records : dict of str to ReplicaSetRecord
        Newest known replica set of each group.
    revisions : dict of str to int
        Store revision of each of them, 0 for none.
    """

    def __init__(self, writer: RecordWriter[ReplicaSetRecord]) -> None:
        self.writer = writer
        self.records: dict[str, ReplicaSetRecord] = {}
        self.revisions: dict[str, int] = {}

    def observe(self, group: str, record: ReplicaSetRecord, revision: int) -> None:
        """Apply a replica set, unless a newer one is known."""
        if revision <= self.revisions.get(group, 0):
            return
        self.records[group] = record
        self.revisions[group] = revision
        log.info(
            "replica set observed",
            group=group,
            endpoints=sorted(record.endpoints),
            revision=revision,
        )

    def observe_removal(self, group: str, revision: int = 0) -> None:
        """Record that the store has lost a replica set; the known one is kept.

        Parameters
        ----------
        group : str
            Group of the replica set.
        revision : int
            Store revision of a value that cannot be used, 0 if there is none.
        """
        self.revisions[group] = revision

    def endpoints(self, group: str) -> dict[str, str]:
        """Return the address of each endpoint in a group's replica set, by id."""
        record = self.records.get(group)
        return {} if record is None else record.endpoints

    async def replace(self, group: str, endpoints: Mapping[str, str]) -> None:
        """Write a group's replica set; raises `ConflictError` or `StoreError`."""
        record = ReplicaSetRecord(dict(endpoints))
        revision = await self.writer.write(group, record, self.revisions.get(group, 0))
        self.observe(group, record, revision)


def merge_endpoints(
    recorded: Mapping[str, str], registered: Iterable[Endpoint]
) -> dict[str, str]:
    """Return a replica set that includes the registered endpoints.

    Parameters
    ----------
    recorded : mapping of str to str
        Replica set so far.
    registered : iterable of Endpoint
        Endpoints of the group. One at the address of a recorded endpoint replaces it.

    Returns
    -------
    dict of str to str
        Address of each endpoint, by id.
    """
    addresses = {endpoint.id: endpoint.address for endpoint in registered}
    taken = set(addresses.values())
    kept = {
        endpoint_id: address
        for endpoint_id, address in recorded.items()
        if endpoint_id not in addresses and address not in taken
    }
    return kept | addresses


def count_uncertain(
    candidate: LogPosition,
    endpoints: Mapping[str, str],
    answered: Mapping[str, LogPosition],
) -> int:
    """Return how many logs of a replica set may hold commits that a candidate lacks.

    An acknowledged commit is in the log of the primary and of as many replicas as the
    group requires. A candidate lacks none if fewer logs than that are uncertain.

    Parameters
    ----------
    candidate : LogPosition
        Newest position that the candidate has received.
    endpoints : mapping of str to str
        Address of each endpoint of the replica set, by id.
    answered : mapping of str to LogPosition
        Newest position of each endpoint that has answered, by id.
    """
    at_address = {
        endpoints[endpoint_id]: position
        for endpoint_id, position in answered.items()
        if endpoint_id in endpoints
    }
    positions = {
        endpoint_id: answered.get(endpoint_id, at_address.get(address))
        for endpoint_id, address in endpoints.items()
    }
    # Two endpoints at one address are two starts of the same one.
    uncertain = {
        endpoints[endpoint_id]
        for endpoint_id, position in positions.items()
        if position is None or position > candidate
    }
    return len(uncertain)
