"""Which proxy owns which endpoint, and the hand-over between owners."""

from collections.abc import Callable, Iterable
from contextlib import AsyncExitStack
from types import TracebackType
from typing import Self

import anyio.lowlevel

from rosemaryward.decisions.document.schema import DatabaseSection, Document
from rosemaryward.decisions.hashing import stable_hash
from rosemaryward.decisions.membership.rendezvous import (
    MemberPool,
    match_owners,
    nearness,
    rendezvous_score,
)
from rosemaryward.decisions.membership.service import MembershipService
from rosemaryward.decisions.messages import Member
from rosemaryward.decisions.types import EndpointId

__all__ = ["OwnershipMap", "OwnershipTracker"]

SETTLE_S = 0.01  # changes that arrive together are evaluated together
CHECK_INTERVAL_S = 0.05
CHUNK = 50  # databases between two yields to the event loop


class OwnershipMap:
    """Owners of all endpoints, kept up to date with little work per change.

    A member that is gone concerns the databases that it owned a part of. A new
    member concerns those in which it comes before a present owner.
    """

    def __init__(self) -> None:
        self.members: dict[str, Member] = {}
        self.databases: dict[str, DatabaseSection] = {}
        self._owners: dict[str, dict[str, str]] = {}
        self._pool = MemberPool(())

    def owners(self, database: str) -> dict[str, str]:
        """Return the host id of the owner of each instance of a database."""
        if database not in self._owners and database in self.databases:
            instances = self.databases[database].instances
            self._owners[database] = match_owners(database, instances, self._pool)
        return self._owners.get(database, {})

    def set_databases(self, databases: dict[str, DatabaseSection]) -> None:
        """Replace the databases; owners of unchanged ones stay."""
        for database in list(self._owners):
            old, new = self.databases[database], databases.get(database)
            if new is None or old.instances != new.instances:
                del self._owners[database]
        self.databases = databases

    def set_members(self, members: Iterable[Member]) -> None:
        """Replace the live members."""
        fresh = {member.host_id: member for member in members}
        gone, new = set(), []
        for host_id, member in self.members.items():
            if host_id not in fresh or _moved(member, fresh[host_id]):
                gone.add(host_id)
        for host_id, member in fresh.items():
            if host_id in gone or host_id not in self.members:
                new.append(member)
        self.members = fresh
        if not gone and not new:
            return
        self._pool = MemberPool(fresh.values())
        for database, owners in list(self._owners.items()):
            if self._concerned(database, owners, gone, new):
                del self._owners[database]

    def _concerned(
        self, database: str, owners: dict[str, str], gone: set[str], new: list[Member]
    ) -> bool:
        instances = self.databases[database].instances
        if gone and not gone.isdisjoint(owners.values()):
            return True
        if len(set(owners.values())) < len(instances):
            return True
        for instance, host_id in owners.items() if new else ():
            section = instances[instance]
            key_hash = stable_hash(database, instance)
            owner = self.members[host_id]
            standing = (
                nearness(section, owner.place),
                rendezvous_score(key_hash, owner),
            )
            for member in new:
                near = nearness(section, member.place)
                if near < standing[0]:
                    continue
                if (near, rendezvous_score(key_hash, member)) >= standing:
                    return True
        return False


class OwnershipTracker:
    """Tells which endpoints this proxy owns and when that changes.

    Parameters
    ----------
    service : MembershipService
    on_gain, on_loss : callable
        Called with each endpoint that this proxy comes to own or stops owning.

    Notes
    -----
    A process that was paused gives up all endpoints when it resumes and takes
    back those it still owns once it has exchanged gossip again. Until then
    `is_owner` is false, since the other members may have declared it dead.
    """

    def __init__(
        self,
        service: MembershipService,
        on_gain: Callable[[EndpointId], None],
        on_loss: Callable[[EndpointId], None],
    ) -> None:
        self.service = service
        self.on_gain = on_gain
        self.on_loss = on_loss
        self.gains = 0
        self.losses = 0
        self._map = OwnershipMap()
        self._owned: set[EndpointId] = set()
        self._changed = anyio.Event()
        self._resuming = False
        self._fresh_members = False
        self._stack = AsyncExitStack()

    async def __aenter__(self) -> Self:
        self.service.subscribe(lambda member: self._mark_members())
        self.service.subscribe_resumed(self._resume)
        tasks = await self._stack.enter_async_context(anyio.create_task_group())
        self._stack.callback(tasks.cancel_scope.cancel)
        tasks.start_soon(self._run)
        return self

    async def __aexit__(
        self,
        kind: type[BaseException] | None,
        error: BaseException | None,
        trace: TracebackType | None,
    ) -> None:
        await self._stack.__aexit__(kind, error, trace)

    def set_document(self, document: Document) -> None:
        """Use the databases of a newer document."""
        self._map.set_databases(document.databases)
        self._changed.set()

    def owner_of(self, endpoint: EndpointId) -> Member | None:
        """Return the member that owns an endpoint, None if there is none."""
        host_id = self.owners(endpoint.database).get(endpoint.instance, "")
        return self._map.members.get(host_id)

    def owners(self, database: str) -> dict[str, str]:
        """Return the host id of the owner of each instance of a database."""
        self._refresh_members()
        return self._map.owners(database)

    def owned(self) -> frozenset[EndpointId]:
        """Return the endpoints that this proxy has been told to own."""
        return frozenset(self._owned)

    def is_owner(self, endpoint: EndpointId) -> bool:
        """Return whether this proxy may serve an endpoint now."""
        return endpoint in self._owned and not self.out_of_touch()

    def out_of_touch(self) -> bool:
        """Return whether the others may have taken this proxy's endpoints."""
        if self.service.alone():
            return False
        return self.service.silent_for() > self.service.settings.death_time_s

    async def _run(self) -> None:
        await self.service.wait_joined()
        self._mark_members()
        while True:
            await self._changed.wait()
            await anyio.sleep(SETTLE_S)
            self._changed = anyio.Event()
            while self._resuming and self.out_of_touch():
                await self.service.wait_exchange(CHECK_INTERVAL_S)
            self._resuming = False
            await self._evaluate()

    async def _evaluate(self) -> None:
        own = self.service.local.host_id
        owned = set()
        for count, database in enumerate(list(self._map.databases), 1):
            for instance, host_id in self.owners(database).items():
                if host_id == own:
                    owned.add(EndpointId(database, instance))
            if count % CHUNK == 0:
                await anyio.lowlevel.checkpoint()
        if self._changed.is_set() or self._resuming:
            return  # the members changed meanwhile; the next round decides
        self._move_to(owned)

    def _move_to(self, owned: set[EndpointId]) -> None:
        lost, gained = sorted(self._owned - owned), sorted(owned - self._owned)
        self._owned = owned
        self.losses += len(lost)
        self.gains += len(gained)
        for endpoint in lost:
            self.on_loss(endpoint)
        for endpoint in gained:
            self.on_gain(endpoint)

    def _resume(self, gap_s: float) -> None:
        if self.out_of_touch():
            self._resuming = True
            self._move_to(set())
        self._changed.set()

    def _mark_members(self) -> None:
        self._fresh_members = True
        self._changed.set()

    def _refresh_members(self) -> None:
        if self._fresh_members:
            self._fresh_members = False
            self._map.set_members(self.service.state.table.live())


def _moved(old: Member, new: Member) -> bool:
    """Return whether the member's scores or nearness changed."""
    return old.place != new.place or old.weight != new.weight
