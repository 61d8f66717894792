"""Registration of this proxy as a member of the fleet."""

import anyio
import msgspec
import structlog

from rosemaryward.decisions.clock import boot_time_s
from rosemaryward.decisions.errors import ConflictError, StoreError
from rosemaryward.decisions.leadership.confirmation import Confirmation
from rosemaryward.decisions.leadership.failover_lock import FailoverLock
from rosemaryward.decisions.leadership.members import (
    MemberDirectory,
    MemberRecord,
    decode_member,
)
from rosemaryward.decisions.mirror import (
    LeasedKey,
    LeaseLostError,
    LeaseStore,
    Listing,
    StoredValue,
    StoreMirror,
    StoreRetry,
)
from rosemaryward.proxy.platform_keys import LIVENESS_PREFIX, MEMBER_PREFIX

__all__ = ["MemberRegistration"]

LIVENESS_LEASE_S = 3.0
LIVENESS_RENEWAL_INTERVAL_S = 1.0
RETRY_PAUSE_S = 0.3
ABSENT_MEMBER_RETENTION_S = 60.0
ABSENT_MEMBER_CHECK_INTERVAL_S = 5.0

log = structlog.get_logger(__name__)


class MemberRegistration:
    """Keeps this proxy registered in the store and reads the other registrations.

    Parameters
    ----------
    record : MemberRecord
        Registration of this process.
    store : LeaseStore
        Client of the platform's store.
    members : MemberDirectory
        Receives the registrations of all members.
    failover_lock : FailoverLock
        Told when this process is registered; its holder removes absent members.
    confirmation : Confirmation
        Receives each read of the store that shows the living members.
    retry : StoreRetry, optional
        Waits of calls that the store did not answer.

    Attributes
    ----------
    lease : int
        Lease bound to the liveness key of this process, 0 for none.
    initial_lease : int
        Lease granted while the mirror loads and not yet bound to a key, 0 for none.
    removed : bool
        Whether the registration is being removed for good.
    """

    def __init__(
        self,
        record: MemberRecord,
        store: LeaseStore,
        members: MemberDirectory,
        failover_lock: FailoverLock,
        confirmation: Confirmation,
        retry: StoreRetry | None = None,
    ) -> None:
        self.record = record
        self.store = store
        self.members = members
        self.failover_lock = failover_lock
        self.confirmation = confirmation
        self.lease = 0
        self.initial_lease = 0
        self.removed = False
        self.retry = retry or StoreRetry()

    def observe(self, name: str, stored: StoredValue) -> None:
        """Pass the registration of a member to the directory."""
        self.members.observe(decode_member(name, stored.value), stored.revision)

    def observe_unreadable(self, name: str, stored: StoredValue) -> None:
        """Apply a registration that cannot be used."""
        self.members.observe_unreadable(name, stored.revision)

    def record_store_read(self, sent_at: float, listing: Listing) -> None:
        """Pass the living members in a read of the store to the confirmation.

        Parameters
        ----------
        sent_at : float
            Boot time in seconds at which the read was sent.
        listing : Listing
            Values under the prefix of the proxies' keys.
        """
        members = []
        alive = {
            stored.key.removeprefix(LIVENESS_PREFIX): stored.value
            for stored in listing.values
            if stored.key.startswith(LIVENESS_PREFIX)
        }
        for stored in listing.values:
            if not stored.key.startswith(MEMBER_PREFIX):
                continue
            try:
                name = stored.key.removeprefix(MEMBER_PREFIX)
                record = decode_member(name, stored.value)
            except msgspec.DecodeError:
                continue  # recorded when the mirror applied it
            if alive.get(record.name) == record.incarnation.encode():
                members.append(record)
        self.confirmation.record_read(sent_at, members, listing.revision)

    async def run(self, mirror: StoreMirror) -> None:
        """Keep this proxy registered and its lease renewed until it is removed."""
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(self._grant_initial_lease)
            await mirror.loaded.wait()
        while not self.removed:
            pause_s = LIVENESS_RENEWAL_INTERVAL_S
            sent_at = boot_time_s()
            try:
                await self._renew(mirror)
                self.retry.record_answer(sent_at)
            except LeaseLostError:
                if self.removed:
                    break
                log.warning("liveness lease lost", lease=self.lease)
                self.lease = 0
                pause_s = RETRY_PAUSE_S
            except ConflictError as error:
                log.info("registration conflict", error=str(error))
                pause_s = RETRY_PAUSE_S
            except StoreError as error:
                log.info("registration failed", error=str(error))
                await self.retry.wait(sent_at)
                continue
            await anyio.sleep(pause_s)

    async def _renew(self, mirror: StoreMirror) -> None:
        """Renew the lease, or register with a new lease if there is none.

        Raises
        ------
        LeaseLostError
            If the lease has expired.
        ConflictError
            If another process has changed the registration.
        StoreError
            If the store does not answer.
        """
        record, name = self.record, self.record.name
        is_registered = self.members.members.get(name) == record
        if self.lease and is_registered and name not in self.members.unreadable:
            await self.store.renew_lease(self.lease)
            return
        lease = self.initial_lease or await self.store.grant_lease(LIVENESS_LEASE_S)
        self.initial_lease = 0
        revision = await self.store.register(
            MEMBER_PREFIX + name,
            msgspec.json.encode(record),
            self.members.revisions.get(name, 0),
            LeasedKey(LIVENESS_PREFIX + name, record.incarnation.encode(), lease),
        )
        self.members.observe(record, revision)
        self.failover_lock.mark_registered()
        self.lease = lease
        mirror.confirm_now()

    async def _grant_initial_lease(self) -> None:
        """Request a lease while the mirror loads, to shorten a restart."""
        try:
            self.initial_lease = await self.store.grant_lease(LIVENESS_LEASE_S)
        except StoreError as error:
            log.info("initial lease not granted", error=str(error))

    async def remove(self) -> None:
        """Remove the registration; the failover lock must have been released before."""
        self.removed = True
        name = self.record.name
        try:
            await self.store.delete(
                MEMBER_PREFIX + name, self.members.revisions.get(name, 0)
            )
            if self.lease:
                await self.store.revoke_lease(self.lease)
        except StoreError as error:
            log.info("registration not removed", error=str(error))

    async def remove_absent_members(self) -> None:
        """Remove registrations of long-absent members while holding the lock."""
        while True:
            await anyio.sleep(ABSENT_MEMBER_CHECK_INTERVAL_S)
            if not self.failover_lock.is_held():
                continue
            for name, since in list(self.members.absent_since.items()):
                if boot_time_s() - since < ABSENT_MEMBER_RETENTION_S:
                    continue
                revision = self.members.revisions[name]
                try:
                    await self.store.delete(MEMBER_PREFIX + name, revision)
                except StoreError as error:
                    log.info("absent member not removed", member=name, error=str(error))
