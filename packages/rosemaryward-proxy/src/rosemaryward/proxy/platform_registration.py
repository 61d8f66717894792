"""Registration of a proxy as a member of the fleet."""

import anyio
import msgspec
import structlog

from rosemaryward.decisions.clock import boot_time_s
from rosemaryward.decisions.errors import ConflictError, StoreError
from rosemaryward.decisions.leadership.confirmation import Confirmation
from rosemaryward.decisions.leadership.failover_lock import FailoverLock
from rosemaryward.decisions.leadership.members import MemberDirectory, MemberRecord
from rosemaryward.decisions.mirror import (
    LeasedKey,
    LeaseLostError,
    LeaseStore,
    Listing,
    StoredValue,
    StoreMirror,
)
from rosemaryward.proxy.platform_keys import (
    AGREED_PREFIX,
    ALIVE_PREFIX,
    MEMBER_PREFIX,
)

__all__ = ["Registration"]

ALIVE_LEASE_S = 3.0
ALIVE_RENEWAL_S = 1.0
RETRY_PAUSE_S = 0.3
FORGET_AFTER_S = 60.0
FORGET_INTERVAL_S = 5.0

log = structlog.get_logger(__name__)


class Registration:
    """Keeps a proxy's registration and lease, and reads those of the others.

    Parameters
    ----------
    record : MemberRecord
        This process.
    store : LeaseStore
    members : MemberDirectory
    duty : FailoverLock
    confirmation : Confirmation

    Attributes
    ----------
    lease : int
        Lease that the key of this process is bound to, 0 for none.
    first_lease : int
        Lease taken while the mirror loads, not bound to a key yet.
    """

    def __init__(
        self,
        record: MemberRecord,
        store: LeaseStore,
        members: MemberDirectory,
        duty: FailoverLock,
        confirmation: Confirmation,
    ) -> None:
        self.record = record
        self.store = store
        self.members = members
        self.duty = duty
        self.confirmation = confirmation
        self.lease = 0
        self.first_lease = 0

    def observe(self, name: str, stored: StoredValue) -> None:
        """Take over the registration of a member."""
        record = msgspec.json.decode(stored.value, type=MemberRecord)
        self.members.observe(record, stored.revision)

    def note_read(self, sent_at: float, listing: Listing) -> None:
        """Confirm the records if the read shows this process as a living member."""
        members = []
        alive = {
            stored.key.removeprefix(ALIVE_PREFIX): stored.value.decode()
            for stored in listing.values
            if stored.key.startswith(ALIVE_PREFIX)
        }
        for stored in listing.values:
            if not stored.key.startswith(MEMBER_PREFIX):
                continue
            try:
                record = msgspec.json.decode(stored.value, type=MemberRecord)
            except msgspec.DecodeError as error:
                log.warning("unreadable member", key=stored.key, error=str(error))
                continue
            if alive.get(record.name) == record.incarnation:
                members.append(record)
        self.confirmation.record_read(sent_at, members, listing.revision)

    async def refresh(self) -> None:
        """Read the members from the store; raises `StoreError`."""
        listing = await self.store.list(AGREED_PREFIX)
        for stored in listing.values:
            if stored.key.startswith(MEMBER_PREFIX):
                self.observe(stored.key, stored)
        for stored in listing.values:
            if stored.key.startswith(ALIVE_PREFIX):
                self.members.mark_alive(stored.key.removeprefix(ALIVE_PREFIX))

    async def run(self, mirror: StoreMirror) -> None:
        """Keep this proxy registered and its lease alive."""
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(self._take_first_lease)
            await mirror.loaded.wait()
        while True:
            pause_s = ALIVE_RENEWAL_S
            try:
                await self._renew(mirror)
            except LeaseLostError:
                log.warning("lease lost", lease=self.lease)
                self.lease = 0
                pause_s = RETRY_PAUSE_S
            except ConflictError as error:
                log.info("registration changed meanwhile", error=str(error))
                pause_s = RETRY_PAUSE_S
            except StoreError as error:
                log.info("registration unanswered", error=str(error))
                pause_s = RETRY_PAUSE_S
            await anyio.sleep(pause_s)

    async def _renew(self, mirror: StoreMirror) -> None:
        """Renew the lease; register and take a lease where there is none.

        Raises
        ------
        StoreError
        """
        record, name = self.record, self.record.name
        if self.lease and self.members.members.get(name) == record:
            await self.store.renew_lease(self.lease)
            return
        lease = self.first_lease or await self.store.grant_lease(ALIVE_LEASE_S)
        self.first_lease = 0
        revision = await self.store.register(
            MEMBER_PREFIX + name,
            msgspec.json.encode(record),
            self.members.revisions.get(name, 0),
            LeasedKey(ALIVE_PREFIX + name, record.incarnation.encode(), lease),
        )
        self.members.observe(record, revision)
        self.duty.mark_registered()
        self.lease = lease
        mirror.confirm_now()

    async def _take_first_lease(self) -> None:
        """Take the lease while the mirror loads, so that a restart serves sooner."""
        try:
            self.first_lease = await self.store.grant_lease(ALIVE_LEASE_S)
        except StoreError as error:
            log.info("no lease yet", error=str(error))

    async def end(self) -> None:
        """Remove the registration; the duty must have been given back."""
        name = self.record.name
        try:
            await self.store.delete(
                MEMBER_PREFIX + name, self.members.revisions.get(name, 0)
            )
            await self.store.revoke_lease(self.lease)
        except StoreError as error:
            log.info("registration not removed", error=str(error))

    async def forget(self) -> None:
        """Remove registrations of members long gone, while holding the duty."""
        while True:
            await anyio.sleep(FORGET_INTERVAL_S)
            if not self.duty.is_held():
                continue
            for name, since in list(self.members.absent_since.items()):
                if boot_time_s() - since < FORGET_AFTER_S:
                    continue
                revision = self.members.revisions[name]
                try:
                    await self.store.delete(MEMBER_PREFIX + name, revision)
                except StoreError as error:
                    log.info("member not forgotten", member=name, error=str(error))
