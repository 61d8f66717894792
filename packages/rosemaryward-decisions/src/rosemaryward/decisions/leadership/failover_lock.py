"""The duty to change primaries, held by one proxy at a time."""

from collections.abc import Awaitable, Callable

import anyio
import msgspec
import structlog

from rosemaryward.decisions.clock import boot_time_s
from rosemaryward.decisions.errors import ConflictError, StoreError
from rosemaryward.decisions.mirror import LeaseLostError, LeaseStore

__all__ = ["FailoverLock", "LockRecord"]

LEASE_S = 2.0
RENEWAL_S = 0.6
MARGIN_S = 0.4  # of the lease, left unused by the holder
POLL_S = 0.25
NEWCOMER_WAIT_S = 10.0

log = structlog.get_logger(__name__)


class LockRecord(msgspec.Struct, frozen=True):
    """Holder of the duty.

    Parameters
    ----------
    holder : str
        Name of the proxy, empty after it gave the duty back.
    incarnation : str
    """

    holder: str
    incarnation: str


class FailoverLock:
    """Part of this proxy in holding the duty.

    The fencing token is the store's revision of the write that took the duty: it
    grows with every change of the holder and is never used twice.

    Parameters
    ----------
    store : LeaseStore
    key : str
        Key of the record.
    name, incarnation : str
    patience_s : float
        Time that this proxy leaves to others before it takes a free duty.
    first_start : bool
        Whether the whole fleet starts for the first time.
    ask_release : callable
        Asks the member of a name to stop acting under a token; True if it has.
    clock : callable, optional
    """

    def __init__(
        self,
        store: LeaseStore,
        key: str,
        name: str,
        incarnation: str,
        patience_s: float,
        first_start: bool,
        ask_release: Callable[[str, int], Awaitable[bool]],
        clock: Callable[[], float] = boot_time_s,
    ) -> None:
        self.store = store
        self.key = key
        self.holder = name
        self.incarnation = incarnation
        self.patience_s = patience_s
        self.first_start = first_start
        self.ask_release = ask_release
        self.last_holder = ""
        self.released = False
        self.clock = clock
        self.record: LockRecord | None = None
        self.revision = 0
        self.token = 0
        self.last_token = 0
        self.registered_at = float("inf")
        self.free_since = clock()
        self.lease_id = 0
        self.renewed_at = float("-inf")

    def mark_registered(self) -> None:
        """Note that other members can know of this process from now on."""
        self.registered_at = min(self.registered_at, self.clock())

    def observe(self, record: LockRecord, revision: int) -> None:
        """Take over the record as written in the store."""
        if revision <= self.revision:
            return
        self.record = record
        self.revision = revision
        self.free_since = self.clock()
        log.info("duty observed", holder=record.holder, token=revision)

    def observe_removal(self) -> None:
        """Note that the record's lease ended or was taken back."""
        self.last_holder = "" if self.record is None else self.record.holder
        log.info("duty key removed", holder=self.last_holder, token=self.revision)
        self.last_token = self.revision
        self.released = False
        self.record = None
        self.revision = 0
        self.free_since = self.clock()

    def is_held(self) -> bool:
        """Return whether this process certainly holds the duty."""
        record = self.record
        return (
            record is not None
            and record.incarnation == self.incarnation
            and self.revision == self.token
            and self.clock() < self.renewed_at + LEASE_S - MARGIN_S
        )

    async def run(self) -> None:
        """Take the duty when it is free and renew it while it is held."""
        while True:
            pause_s = POLL_S
            try:
                if self._is_mine() and self.token == self.revision:
                    await self._renew()
                    pause_s = RENEWAL_S
                else:
                    await self._ask_last_holder()
                    if self._is_free():
                        await self._take()
            except ConflictError:
                log.info("duty taken by another proxy")
                self.free_since = self.clock()
            except StoreError as error:
                log.info("duty call unanswered", error=str(error))
            await anyio.sleep(pause_s)

    async def release(self) -> None:
        """Let another proxy take the duty at once."""
        if not self.is_held():
            return
        self.token = 0
        value = msgspec.json.encode(LockRecord("", self.incarnation))
        try:
            await self.store.write(self.key, value, self.revision)
            log.info("duty given back")
        except StoreError as error:
            log.info("duty not given back", error=str(error))

    def invalidate_token(self, token: int) -> None:
        """Stop acting under a token, at another member's request."""
        if self.token == token:
            log.info("duty released", token=token)
            self.token = 0

    async def _ask_last_holder(self) -> None:
        """Find out whether the last holder has stopped, rather than wait for it."""
        if self.record is not None or self.released or not self.last_holder:
            return
        token = self.last_token
        released = await self.ask_release(self.last_holder, token)
        if token == self.last_token:
            self.released = released

    def _is_mine(self) -> bool:
        record = self.record
        return record is not None and record.incarnation == self.incarnation

    def _is_free(self) -> bool:
        record = self.record
        waited_s = self.clock() - self.free_since
        if record is not None and record.holder == self.holder:
            return True  # an earlier process of this proxy
        # Members that outlive an outage of the store rely on no newcomer changing a
        # primary meanwhile.
        newcomer = self.clock() < self.registered_at + NEWCOMER_WAIT_S
        if newcomer and not self.first_start:
            return False
        if record is None:
            # The key may have been taken back while its holder still acts.
            lease_s = 0.0 if self.released else LEASE_S
            return waited_s >= lease_s + self.patience_s
        return not record.holder and waited_s >= self.patience_s

    async def _renew(self) -> None:
        sent_at = self.clock()
        try:
            await self.store.renew_lease(self.lease_id)
        except LeaseLostError:
            log.warning("duty lease lost", token=self.token)
            self.renewed_at = float("-inf")
            self.lease_id = 0
            return
        self.renewed_at = sent_at

    async def _take(self) -> None:
        # The condition is what made the duty free, not what is known after the call.
        free_revision = self.revision
        sent_at = self.clock()
        lease_id = await self.store.grant_lease(LEASE_S)
        record = LockRecord(self.holder, self.incarnation)
        value = msgspec.json.encode(record)
        revision = await self.store.write(self.key, value, free_revision, lease_id)
        self.lease_id = lease_id
        self.token = revision
        self.renewed_at = sent_at
        self.observe(record, revision)
        log.info("duty taken", token=revision)
