"""Liveness keys for members that cannot reach the store.

A member that cannot reach the store loses its lease, and with it the key that shows it
as live. A member that can reach the store then writes the key under its own lease, for
as long as the first one requests confirmations from it. A change of primary thus waits
for both, so the confirmations that are passed on remain valid. The log events call the
writing member a sponsor.
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
STORE_RETRY_PAUSE_S = 0.5
TURN_INTERVAL_S = 0.15  # delay of each member behind the one before it
REQUEST_TIMEOUT_S = 2.5  # a cut-off member sends a request twice a second

log = structlog.get_logger(__name__)


class LivenessDelegate:
    """Maintains the liveness keys of members that are not live but send requests.

    Parameters
    ----------
    name : str
        Name of this member.
    members : MemberDirectory
        Registered and live members.
    store : LeaseStore
        Store that holds the keys.
    prefix : str
        Prefix of the liveness keys; the member's name follows.
    lease_id : callable
        Returns the id of this member's lease, 0 if it has none.
    on_key_written : callable
        Called after a key was written.
    clock : callable, optional
        Boot time in seconds.

    Attributes
    ----------
    first_asked_at : dict of str to float
        Boot time of the first request of each member that was not live.
    last_asked_at : dict of str to float
        Boot time of the last request of each of these members.
    key_revisions : dict of str to int
        Store revision of each key that this member has written.
    key_leases : dict of str to int
        Lease of each of these keys, with which the store removes them.
    """

    def __init__(
        self,
        name: str,
        members: MemberDirectory,
        store: LeaseStore,
        prefix: str,
        lease_id: Callable[[], int],
        on_key_written: Callable[[], None],
        clock: Callable[[], float] = boot_time_s,
    ) -> None:
        self.name = name
        self.members = members
        self.store = store
        self.prefix = prefix
        self.lease_id = lease_id
        self.on_key_written = on_key_written
        self.clock = clock
        self.first_asked_at: dict[str, float] = {}
        self.last_asked_at: dict[str, float] = {}
        self.key_revisions: dict[str, int] = {}
        self.key_leases: dict[str, int] = {}

    def record_request(self, incarnation: str) -> None:
        """Record that a process requested a confirmation."""
        for member in self.members.members.values():
            if member.incarnation != incarnation:
                continue
            if member.name not in self.members.alive:
                self.first_asked_at.setdefault(member.name, self.clock())
            if member.name in self.first_asked_at:
                self.last_asked_at[member.name] = self.clock()

    async def run(self) -> None:
        """Write and remove liveness keys until cancelled."""
        while True:
            await anyio.sleep(CHECK_INTERVAL_S)
            for name in list(self.first_asked_at):
                try:
                    await self.check(name)
                except ConflictError:
                    # The member registered again, or another one wrote its key first.
                    self._forget(name)
                except StoreError as error:
                    log.info(
                        "store call for a sponsored member failed",
                        member=name,
                        error=str(error),
                    )
                    await anyio.sleep(STORE_RETRY_PAUSE_S)

    async def check(self, name: str) -> None:
        """Write or remove the key of one member where due; raises `StoreError`."""
        now = self.clock()
        lease_id = self.lease_id()
        if lease_id and self.key_leases.get(name, lease_id) != lease_id:
            self._forget_key(name)
        if now - self.last_asked_at[name] > REQUEST_TIMEOUT_S:
            await self._remove_key(name)
        elif (
            name not in self.key_revisions
            # Members take turns, so that usually only one calls the store.
            and now >= self.first_asked_at[name] + self._delay_s(name)
        ):
            await self._write_key(name)

    def _delay_s(self, name: str) -> float:
        """Return the seconds to leave to the members that come first for a name."""
        order = sorted(
            (member.name for member in self.members.live_members()),
            key=lambda other: stable_hash(name, other),
        )
        return order.index(self.name) * TURN_INTERVAL_S if self.name in order else 0.0

    async def _write_key(self, name: str) -> None:
        """Write a member's liveness key under this member's lease.

        Raises
        ------
        ConflictError
            If the key exists.
        StoreError
        """
        member = self.members.members.get(name)
        lease_id = self.lease_id()
        if member is None or name in self.members.alive:
            self._forget(name)
            return
        if not lease_id:
            return
        value = member.incarnation.encode()
        key = self.prefix + name
        self.key_revisions[name] = await self.store.write(key, value, 0, lease_id)
        self.key_leases[name] = lease_id
        log.info(
            "member sponsored",
            member=name,
            incarnation=member.incarnation,
            revision=self.key_revisions[name],
        )
        self.on_key_written()

    async def _remove_key(self, name: str) -> None:
        """Remove a member's key if this member wrote it; raises `StoreError`."""
        revision = self.key_revisions.get(name)
        if revision is not None:
            await self.store.delete(self.prefix + name, revision)
            log.info("member no longer sponsored", member=name)
        self._forget(name)

    def _forget(self, name: str) -> None:
        """Stop tracking a member."""
        self.first_asked_at.pop(name, None)
        self.last_asked_at.pop(name, None)
        self._forget_key(name)

    def _forget_key(self, name: str) -> None:
        """Stop tracking the key of a member, which went with its lease."""
        self.key_revisions.pop(name, None)
        self.key_leases.pop(name, None)
