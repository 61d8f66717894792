"""Signs of life for members that the store turns away.

A member that cannot reach the store loses its lease, and with it the key that shows it
as living. Another member that the store answers then keeps the key under its own lease,
for as long as the first one asks it for confirmations. Changes of a primary thus wait
for both, and the confirmations that are passed on stay true.
"""

from collections.abc import Callable

import anyio
import structlog

from rosemaryward.decisions.clock import boot_time_s
from rosemaryward.decisions.errors import ConflictError, StoreError
from rosemaryward.decisions.hashing import stable_hash
from rosemaryward.decisions.leadership.members import MemberDirectory
from rosemaryward.decisions.mirror import LeaseStore

__all__ = ["LivenessDelegate"]

CHECK_INTERVAL_S = 0.1
TURN_S = 0.15  # between two members that may become the sponsor
ASKED_WITHIN_S = 2.5  # a member asks twice a second

log = structlog.get_logger(__name__)


class LivenessDelegate:
    """Keeps the keys of members that ask this one and are not seen as living.

    Parameters
    ----------
    name : str
        This member.
    members : MemberDirectory
    store : LeaseStore
    prefix : str
        Of the keys that show a member as living.
    lease : callable
        Returns this member's lease, 0 if it has none.
    on_sponsored : callable
        Called after a key was written.
    clock : callable, optional

    Attributes
    ----------
    asked : dict of str to float
        Boot time at which each member that was not listed first asked.
    seen : dict of str to float
        Boot time at which it last asked.
    held : dict of str to int
        Revision of each key that this member keeps.
    """

    def __init__(
        self,
        name: str,
        members: MemberDirectory,
        store: LeaseStore,
        prefix: str,
        lease: Callable[[], int],
        on_sponsored: Callable[[], None],
        clock: Callable[[], float] = boot_time_s,
    ) -> None:
        self.name = name
        self.members = members
        self.store = store
        self.prefix = prefix
        self.lease = lease
        self.on_sponsored = on_sponsored
        self.clock = clock
        self.asked: dict[str, float] = {}
        self.seen: dict[str, float] = {}
        self.held: dict[str, int] = {}

    def record_request(self, incarnation: str) -> None:
        """Note that a process asked for a confirmation."""
        for member in self.members.members.values():
            if member.incarnation != incarnation:
                continue
            if member.name not in self.members.alive:
                self.asked.setdefault(member.name, self.clock())
            if member.name in self.asked:
                self.seen[member.name] = self.clock()

    async def run(self) -> None:
        """Write and remove keys until cancelled."""
        while True:
            await anyio.sleep(CHECK_INTERVAL_S)
            for name in list(self.asked):
                try:
                    await self.check(name)
                except ConflictError:
                    # It has registered again, or another member was first.
                    self._forget(name)
                except StoreError as error:
                    log.info("sponsoring unanswered", member=name, error=str(error))

    async def check(self, name: str) -> None:
        """Write or remove the key of one member; raises `StoreError`."""
        now = self.clock()
        if now - self.seen[name] > ASKED_WITHIN_S:
            await self._release(name)
        elif name not in self.held and now >= self.asked[name] + self._turn_s(name):
            await self._sponsor(name)

    def _turn_s(self, name: str) -> float:
        """Return how long other members may come first."""
        order = sorted(
            (member.name for member in self.members.live_members()),
            key=lambda other: stable_hash(name, other),
        )
        return order.index(self.name) * TURN_S if self.name in order else 0.0

    async def _sponsor(self, name: str) -> None:
        member = self.members.members.get(name)
        lease = self.lease()
        if member is None or name in self.members.alive:
            self._forget(name)
            return
        if not lease:
            return
        value = member.incarnation.encode()
        key = self.prefix + name
        self.held[name] = await self.store.write(key, value, 0, lease)
        log.info(
            "member sponsored",
            member=name,
            incarnation=member.incarnation,
            revision=self.held[name],
        )
        self.on_sponsored()

    async def _release(self, name: str) -> None:
        revision = self.held.get(name)
        if revision is not None:
            await self.store.delete(self.prefix + name, revision)
            log.info("member no longer sponsored", member=name)
        self._forget(name)

    def _forget(self, name: str) -> None:
        self.asked.pop(name, None)
        self.seen.pop(name, None)
        self.held.pop(name, None)
