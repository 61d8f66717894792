"""Distributed lock whose holder is the only proxy that changes primaries.

The key in the store, the log events and the pages for operators call it the duty.
"""

from collections.abc import Awaitable, Callable

import anyio
import msgspec
import structlog
from anyio.lowlevel import checkpoint

from rosemaryward.decisions.clock import boot_time_s
from rosemaryward.decisions.decoding import decode_json
from rosemaryward.decisions.errors import ConflictError, StoreError
from rosemaryward.decisions.mirror import (
    ConditionalWrite,
    LeaseLostError,
    LeaseStore,
    StoredValue,
)

__all__ = ["FailoverLock", "LockRecord"]

LEASE_TTL_S = 2.0
LEASE_RENEWAL_INTERVAL_S = 0.6
LEASE_MARGIN_S = 0.4  # the holder stops this long before its lease expires
ACQUIRE_POLL_INTERVAL_S = 0.25
NEW_PROCESS_WAIT_S = 10.0
MAX_RELEASE_REQUEST_DELAY_S = 1.0  # others do not acquire the lock soon
# Watches of the lock's key by its prefix must not include the last acquisition.
LAST_ACQUISITION_PREFIX = "last-"
UNKNOWN_HOLDER = ""

log = structlog.get_logger(__name__)


async def _return_false() -> bool:
    return False


class LockRecord(msgspec.Struct, frozen=True):
    """Holder of the failover lock, as stored.

    Parameters
    ----------
    holder : str
        Name of the proxy, empty after it released the lock.
    incarnation : str
        Process that wrote the record.
    """

    holder: str
    incarnation: str


class FailoverLock:
    """Failover lock as seen by one proxy, which may hold it.

    The fencing token is the store revision of the write that acquired the lock. It
    grows with every change of the holder and is never reused.

    The store may remove the record before its lease expires. Each acquisition therefore
    also writes a copy without a lease, and is rejected by the store unless this proxy
    has seen the copy that the last one wrote. A proxy that has missed the last
    acquisition learns of its holder from the copy.

    Parameters
    ----------
    store : LeaseStore
        Store that holds the lock's record.
    key : str
        Key of the record.
    name : str
        Name of this proxy.
    incarnation : str
        Identifies this process among those of the same name.
    acquire_delay_s : callable
        Returns the seconds to leave a free lock to other proxies.
    first_start : bool
        Whether the whole fleet starts for the first time.
    request_release : callable
        Asks the named member to stop acting under a token; returns True if it has.
    clock : callable, optional
        Boot time in seconds.

    Attributes
    ----------
    holder : str
        Name of this proxy, as written in its records.
    record : LockRecord or None
        Record in the store as last observed, None if there is none.
    revision : int
        Store revision of `record`, 0 if there is none.
    last_acquisition_key : str
        Key of the copy of the record that the last acquisition wrote.
    last_acquisition : int
        Store revision of that copy as last observed, 0 if there is none.
    token : int
        Fencing token of this process, 0 if it must not act.
    last_holder : str
        Holder of the newest record that was removed, or that was not seen.
    last_holder_token : int
        Fencing token of that record.
    last_holder_released : bool
        Whether that holder answered that it no longer acts under its token.
    registered_at : float
        Boot time at which this process was first registered as a member.
    free_since : float
        Boot time of the last change of the record.
    lease_id : int
        Lease that the record is bound to.
    renewed_at : float
        Boot time at which the last successful renewal of the lease was sent.
    restored_at : float
        Boot time at which the last restore of the store was seen.
    leaving : bool
        Whether this process has released the lock and does not acquire it again.
    wait_until_stopped : callable
        Waits until nothing runs that this process has begun under the lock.
    introduce : callable
        Makes a new process known to the members. Returns whether none can confirm the
        primaries without asking it; it then need not wait before it acquires the lock.
    """

    def __init__(
        self,
        store: LeaseStore,
        key: str,
        name: str,
        incarnation: str,
        acquire_delay_s: Callable[[], float],
        first_start: bool,
        request_release: Callable[[str, int], Awaitable[bool]],
        clock: Callable[[], float] = boot_time_s,
    ) -> None:
        self.store = store
        self.key = key
        self.last_acquisition_key = LAST_ACQUISITION_PREFIX + key
        self.last_acquisition = 0
        self.holder = name
        self.incarnation = incarnation
        self.acquire_delay_s = acquire_delay_s
        self.first_start = first_start
        self.request_release = request_release
        self.last_holder = ""
        self.last_holder_released = False
        self.clock = clock
        self.record: LockRecord | None = None
        self.revision = 0
        self.token = 0
        self.last_holder_token = 0
        self.registered_at = float("inf")
        self.free_since = clock()
        self.lease_id = 0
        self.renewed_at = float("-inf")
        self.restored_at = float("-inf")
        self.leaving = False
        self.wait_until_stopped: Callable[[], Awaitable[object]] = checkpoint
        self.introduce: Callable[[], Awaitable[bool]] = _return_false

    def mark_registered(self) -> None:
        """Record that other members can know of this process from now on."""
        self.registered_at = min(self.registered_at, self.clock())

    def observe(self, record: LockRecord, revision: int) -> None:
        """Apply the record in the store, unless a newer one is known."""
        if revision <= self.revision:
            return
        self.record = record
        self.revision = revision
        self.free_since = self.clock()
        log.info("duty observed", holder=record.holder, token=revision)

    def observe_removal(self, revision: int = 0) -> None:
        """Apply the removal of the record: its lease expired or was revoked.

        Parameters
        ----------
        revision : int
            Store revision of a value that cannot be used, which the next acquisition
            replaces, 0 if there is none.
        """
        holder = UNKNOWN_HOLDER if self.record is None else self.record.holder
        log.info("duty key removed", holder=holder, token=self.revision)
        self._record_last_holder(holder, self.revision)
        self.record = None
        self.revision = revision
        self.free_since = self.clock()

    def observe_last_acquisition(self, record: LockRecord, revision: int) -> None:
        """Apply the copy of the record that the last acquisition wrote."""
        if revision <= self.last_acquisition:
            return
        self.last_acquisition = revision
        if revision > max(self.revision, self.last_holder_token):
            # The record itself may have been removed before this proxy saw it.
            log.info("duty acquisition observed", holder=record.holder, token=revision)
            self._record_last_holder(record.holder, revision)
            self.free_since = self.clock()

    def observe_last_acquisition_removal(self, revision: int = 0) -> None:
        """Apply the loss of that copy, for example by a restore of the store.

        Parameters
        ----------
        revision : int
            Store revision of a value that cannot be used, 0 if there is none.
        """
        self.last_acquisition = revision

    def _record_last_holder(self, holder: str, token: int) -> None:
        """Record who may act without a record, unless a later holder is known."""
        if token <= self.last_holder_token:
            return
        self.last_holder = holder
        self.last_holder_token = token
        self.last_holder_released = False

    def observe_restore(self) -> None:
        """Give up the lock, because the store may have lost its record."""
        log.info("duty ends with the restored store", token=self.token)
        self.token = 0
        self.restored_at = self.clock()

    def is_held(self) -> bool:
        """Return whether this process certainly holds the lock."""
        record = self.record
        return (
            record is not None
            and record.incarnation == self.incarnation
            and self.revision == self.token
            and self.clock() < self.renewed_at + LEASE_TTL_S - LEASE_MARGIN_S
        )

    async def run(self) -> None:
        """Acquire the lock when it is free and renew its lease while it is held."""
        while True:
            pause_s = ACQUIRE_POLL_INTERVAL_S
            try:
                if self._is_own_record() and self.token == self.revision:
                    await self._renew()
                    pause_s = LEASE_RENEWAL_INTERVAL_S
                else:
                    if not self._may_acquire():
                        await self._request_release()
                    if self._may_acquire() and await self._is_known():
                        await self._acquire()
            except StoreError as error:
                log.info("store call for the duty failed", error=str(error))
            await anyio.sleep(pause_s)

    async def release(self) -> None:
        """Release the lock for good, so that another proxy can acquire it at once.

        Another proxy may act as soon as the lock is free, so this one stops before.
        """
        self.leaving = True
        if not self.is_held():
            return
        self.token = 0
        await self.wait_until_stopped()
        value = msgspec.json.encode(LockRecord("", self.incarnation))
        try:
            await self.store.write(self.key, value, self.revision)
            log.info("duty given back")
        except StoreError as error:
            log.info("duty not given back: store call failed", error=str(error))

    def invalidate_token(self, token: int) -> None:
        """Stop acting under a fencing token, at another member's request."""
        if self.token == token:
            log.info("duty released at another member's request", token=token)
            self.token = 0

    async def _request_release(self) -> None:
        """Ask the last holder to stop, so that its lease need not be waited out."""
        if self.record is not None or self.last_holder_released or not self.last_holder:
            return
        if self.acquire_delay_s() > MAX_RELEASE_REQUEST_DELAY_S:
            return
        token = self.last_holder_token
        released = await self.request_release(self.last_holder, token)
        if token == self.last_holder_token:
            self.last_holder_released = released

    def _is_own_record(self) -> bool:
        """Return whether this process wrote the record."""
        record = self.record
        return record is not None and record.incarnation == self.incarnation

    def _may_acquire(self) -> bool:
        """Return whether the lock is free and this process may acquire it now."""
        if self.leaving:
            return False
        # A holder whose record a restored store has lost may act for a lease's time.
        if self.clock() < self.restored_at + LEASE_TTL_S:
            return False
        record = self.record
        waited_s = self.clock() - self.free_since
        if record is not None and record.holder == self.holder:
            return True  # written by an earlier process of this proxy
        if record is None:
            # The store may have revoked the key while its holder still acts.
            holder_wait_s = 0.0 if self.last_holder_released else LEASE_TTL_S
            return waited_s >= holder_wait_s + self.acquire_delay_s()
        return not record.holder and waited_s >= self.acquire_delay_s()

    async def _is_known(self) -> bool:
        """Return whether every member that is cut off knows of this process.

        During a store outage, members confirm the primaries among themselves and rely
        on no process unknown to them changing a primary.
        """
        is_successor = self.record is not None and self.record.holder == self.holder
        if self.first_start or is_successor:
            return True
        if self.clock() >= self.registered_at + NEW_PROCESS_WAIT_S:
            return True
        if self.registered_at > self.clock() or not await self.introduce():
            return False
        log.info("new process is known to the members", age_s=self._age_s())
        return self._may_acquire()

    def _age_s(self) -> float:
        """Return the time since this process was registered, in seconds."""
        return round(self.clock() - self.registered_at, 3)

    async def _renew(self) -> None:
        """Renew the lease; the lock is lost if the lease has expired."""
        sent_at = self.clock()
        try:
            await self.store.renew_lease(self.lease_id)
        except LeaseLostError:
            log.warning("duty lease lost", token=self.token)
            self.renewed_at = float("-inf")
            self.lease_id = 0
            return
        self.renewed_at = sent_at

    async def _acquire(self) -> None:
        """Grant a lease and write the record, unless another proxy has done so."""
        # Use the revisions at which the lock was found free: a record observed during
        # the lease call must not be overwritten.
        expected, last_acquisition = self.revision, self.last_acquisition
        sent_at = self.clock()
        lease_id = await self.store.grant_lease(LEASE_TTL_S)
        record = LockRecord(self.holder, self.incarnation)
        value = msgspec.json.encode(record)
        writes = [
            ConditionalWrite(self.key, value, expected, lease_id),
            ConditionalWrite(self.last_acquisition_key, value, last_acquisition),
        ]
        try:
            revision = await self.store.write_all(writes)
        except ConflictError:
            log.info("duty taken by another proxy first")
            self.free_since = self.clock()
            await self._read_records()
            return
        self.lease_id = lease_id
        self.token = revision
        self.renewed_at = sent_at
        self.last_acquisition = max(self.last_acquisition, revision)
        self.observe(record, revision)
        log.info("duty taken", token=revision)

    async def _read_records(self) -> None:
        """Read the record and its copy, of which a watch may have missed changes."""
        # A record that is missing after its copy was read has been removed since.
        copy = await self._read(self.last_acquisition_key)
        stored = await self._read(self.key)
        record = None if stored is None else _decode_record(stored)
        if stored is not None and record is not None:
            self.observe(record, stored.revision)
        elif self.record is not None or stored is not None:
            self.observe_removal(0 if stored is None else stored.revision)
        if copy is None:
            self.observe_last_acquisition_removal()
        else:
            copied = _decode_record(copy) or LockRecord(UNKNOWN_HOLDER, "")
            self.observe_last_acquisition(copied, copy.revision)
        self.free_since = self.clock()

    async def _read(self, key: str) -> StoredValue | None:
        """Return the value of a key, None if there is none; raises `StoreError`."""
        listing = await self.store.list(key)
        return next((stored for stored in listing.values if stored.key == key), None)


def _decode_record(stored: StoredValue) -> LockRecord | None:
    """Return a record, None if its value cannot be decoded."""
    try:
        return decode_json(stored.value, LockRecord)
    except msgspec.DecodeError as error:
        log.warning("store value cannot be decoded", key=stored.key, error=str(error))
        return None
