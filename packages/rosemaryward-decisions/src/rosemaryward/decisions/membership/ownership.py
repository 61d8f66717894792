"""Ownership of endpoints and its transfer between proxies."""

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
    proximity,
    rendezvous_score,
)
from rosemaryward.decisions.membership.service import MembershipService
from rosemaryward.decisions.messages import Member
from rosemaryward.decisions.types import EndpointId

__all__ = ["OwnershipMap", "OwnershipTracker"]

SETTLE_DELAY_S = 0.01  # collects changes that arrive together into one evaluation
EXCHANGE_CHECK_INTERVAL_S = 0.05
DATABASES_PER_YIELD = 50  # evaluated before the task yields to the event loop


class OwnershipMap:
    """Owners of all endpoints, updated incrementally.

    A removed member affects the databases in which it owned an instance. An added
    member affects those in which it takes precedence over a current owner.
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
        """Replace the databases and keep the owners of unchanged ones."""
        for database in list(self._owners):
            old, new = self.databases[database], databases.get(database)
            if new is None or old.instances != new.instances:
                del self._owners[database]
        self.databases = databases

    def set_members(self, members: Iterable[Member]) -> None:
        """Replace the live members."""
        current = {member.host_id: member for member in members}
        removed, added = set(), []
        for host_id, member in self.members.items():
            if host_id not in current or _placement_changed(member, current[host_id]):
                removed.add(host_id)
        for host_id, member in current.items():
            if host_id in removed or host_id not in self.members:
                added.append(member)
        self.members = current
        if not removed and not added:
            return
        self._pool = MemberPool(current.values())
        for database, owners in list(self._owners.items()):
            if self._is_affected(database, owners, removed, added):
                del self._owners[database]

    def _is_affected(
        self,
        database: str,
        owners: dict[str, str],
        removed: set[str],
        added: list[Member],
    ) -> bool:
        """Return whether a change of members may change a database's owners."""
        instances = self.databases[database].instances
        if removed and not removed.isdisjoint(owners.values()):
            return True
        if len(set(owners.values())) < len(instances):
            return True
        for instance, host_id in owners.items() if added else ():
            section = instances[instance]
            key_hash = stable_hash(database, instance)
            owner = self.members[host_id]
            owner_precedence = (
                proximity(section, owner.place),
                rendezvous_score(key_hash, owner),
            )
            for member in added:
                level = proximity(section, member.place)
                if level < owner_precedence[0]:
                    continue
                if (level, rendezvous_score(key_hash, member)) >= owner_precedence:
                    return True
        return False


class OwnershipTracker:
    """Tracks which endpoints this proxy owns and reports changes.

    Parameters
    ----------
    service : MembershipService
    on_gain, on_loss : callable
        Called with each endpoint that this proxy starts or stops owning.

    Notes
    -----
    A process that resumes after a pause gives up all endpoints if the other members
    may have declared it dead. It takes back those that it still owns after another
    gossip exchange; until then `is_owner` is false.
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
        self._awaiting_exchange = False
        self._members_outdated = False
        self._stack = AsyncExitStack()

    async def __aenter__(self) -> Self:
        self.service.subscribe(lambda member: self._mark_members_outdated())
        self.service.subscribe_resumed(self._on_resumed)
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
        """Use the databases of a newer configuration document."""
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
        """Return the endpoints reported with `on_gain` and not yet with `on_loss`."""
        return frozenset(self._owned)

    def is_owner(self, endpoint: EndpointId) -> bool:
        """Return whether this proxy may serve an endpoint now."""
        return endpoint in self._owned and not self.may_be_declared_dead()

    def may_be_declared_dead(self) -> bool:
        """Return whether other members may have taken over this proxy's endpoints."""
        if self.service.is_alone():
            return False
        return (
            self.service.seconds_since_exchange()
            > self.service.settings.min_death_delay_s
        )

    async def _run(self) -> None:
        await self.service.wait_joined()
        self._mark_members_outdated()
        while True:
            await self._changed.wait()
            await anyio.sleep(SETTLE_DELAY_S)
            self._changed = anyio.Event()
            while self._awaiting_exchange and self.may_be_declared_dead():
                await self.service.wait_exchange(EXCHANGE_CHECK_INTERVAL_S)
            self._awaiting_exchange = False
            await self._evaluate()

    async def _evaluate(self) -> None:
        own_id = self.service.local.host_id
        owned = set()
        for count, database in enumerate(list(self._map.databases), 1):
            for instance, host_id in self.owners(database).items():
                if host_id == own_id:
                    owned.add(EndpointId(database, instance))
            if count % DATABASES_PER_YIELD == 0:
                await anyio.lowlevel.checkpoint()
        if self._changed.is_set() or self._awaiting_exchange:
            return  # the members changed meanwhile; the next evaluation covers that
        self._set_owned(owned)

    def _set_owned(self, owned: set[EndpointId]) -> None:
        lost, gained = sorted(self._owned - owned), sorted(owned - self._owned)
        self._owned = owned
        self.losses += len(lost)
        self.gains += len(gained)
        for endpoint in lost:
            self.on_loss(endpoint)
        for endpoint in gained:
            self.on_gain(endpoint)

    def _on_resumed(self, gap_s: float) -> None:
        if self.may_be_declared_dead():
            self._awaiting_exchange = True
            self._set_owned(set())
        self._changed.set()

    def _mark_members_outdated(self) -> None:
        self._members_outdated = True
        self._changed.set()

    def _refresh_members(self) -> None:
        if self._members_outdated:
            self._members_outdated = False
            self._map.set_members(self.service.state.table.live())


def _placement_changed(old: Member, new: Member) -> bool:
    """Return whether a member's place or weight changed."""
    return old.place != new.place or old.weight != new.weight
