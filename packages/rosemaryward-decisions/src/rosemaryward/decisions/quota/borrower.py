"""Admission of tenants' operations by tokens that allocators lend."""

from collections.abc import Callable, Mapping

import anyio
import structlog
from anyio.abc import TaskGroup

from rosemaryward.decisions.clock import boot_time_s
from rosemaryward.decisions.errors import OverloadError, PeerError
from rosemaryward.decisions.gateway.directory import distance
from rosemaryward.decisions.hashing import stable_hash
from rosemaryward.decisions.leadership.members import MemberRecord
from rosemaryward.decisions.quota.account import TenantAccount
from rosemaryward.decisions.quota.allocator import Allocator
from rosemaryward.decisions.quota.channel import QuotaChannel
from rosemaryward.decisions.quota.donor import ShareDonor
from rosemaryward.decisions.quota.limits import LEND_LIFETIME_S, TenantRate
from rosemaryward.decisions.quota.messages import LendReply, LendRequest

__all__ = ["TenantQuota"]

NO_REPLY_PAUSE_S = 0.5
SCARCITY_S = 1.0  # after an allocator had too few tokens
MIN_RETRY_S = 0.1
NO_ALLOCATOR_RETRY_S = 1.0
MAX_REFUSAL_S = 0.2  # without a look at the allocators, which may have changed
LOG_INTERVAL_S = 1.0
RETAINED_ACCOUNTS = 100  # of tenants that the configuration no longer has

log = structlog.get_logger(__name__)


class TenantQuota:
    """Rate limits of the tenants, counted over all hosts.

    Parameters
    ----------
    own : MemberRecord
        Registration of this process.
    limits : callable
        Returns the rate limits in force by tenant; the others have no limit.
    donor : ShareDonor
        Knows the allocators that answer.
    channel : QuotaChannel
        Messages to the allocators.
    local : Allocator
        Allocator of this process.
    clock : callable, optional
        Boot time in seconds.

    Attributes
    ----------
    accounts : dict of str to TenantAccount
        Lent tokens by tenant.
    counts : dict of str to int
        Operations admitted and refused, refunds and requests to other hosts.
    """

    def __init__(
        self,
        own: MemberRecord,
        limits: Callable[[], Mapping[str, TenantRate]],
        donor: ShareDonor,
        channel: QuotaChannel,
        local: Allocator,
        clock: Callable[[], float] = boot_time_s,
    ) -> None:
        self.own = own
        self.limits = limits
        self.donor = donor
        self.channel = channel
        self.local = local
        self.clock = clock
        self.accounts: dict[str, TenantAccount] = {}
        self.task_group: TaskGroup | None = None
        self.counts = {"admitted": 0, "refused": 0, "refunded": 0, "requests": 0}

    async def run(self) -> None:
        """Ask ahead for tokens until cancelled."""
        try:
            async with anyio.create_task_group() as self.task_group:
                await anyio.sleep_forever()
        finally:
            self.task_group = None

    async def admit(self, tenant: str) -> None:
        """Count an operation of a tenant.

        Raises
        ------
        OverloadError
            If the tenant has used up its rate.
        """
        rate = self.limits().get(tenant)
        if rate is None:
            return
        account = self.accounts.get(tenant)
        if account is None:
            account = self._open_account(tenant)
        now = self.clock()
        account.count_demand(now)
        if not account.take(now):
            await self._admit_with_request(tenant, rate, account)
        elif (
            self.task_group is not None
            and account.is_low(now)
            and not account.lock.locked()
        ):
            self.task_group.start_soon(self._ask_ahead, tenant, account)
        self.counts["admitted"] += 1

    def refund(self, tenant: str) -> None:
        """Give back the token of an operation of which nothing was sent."""
        account = self.accounts.get(tenant)
        if account is not None:
            self.counts["refunded"] += 1
            account.refund(self.clock())

    def _open_account(self, tenant: str) -> TenantAccount:
        limits = self.limits()
        if len(self.accounts) > len(limits) + RETAINED_ACCOUNTS:
            self.accounts = {n: a for n, a in self.accounts.items() if n in limits}
        return self.accounts.setdefault(tenant, TenantAccount())

    async def _admit_with_request(
        self, tenant: str, rate: TenantRate, account: TenantAccount
    ) -> None:
        """Ask for tokens and use one; raises `OverloadError`."""
        if rate.rate_per_s > 0 and account.refuse_until <= self.clock():
            account.waiting += 1
            try:
                async with account.lock:
                    if account.take(self.clock()):
                        return
                    await self._ask(tenant, account)
                    if account.take(self.clock()):
                        return
                    self._note_exhaustion(account)
            finally:
                account.waiting -= 1
        self._refuse(tenant, rate, account)

    def _note_exhaustion(self, account: TenantAccount) -> None:
        """Refuse operations at once until an allocator may be asked again."""
        if account.ask_after:
            first = min(account.ask_after.values())
            account.refuse_until = min(first, self.clock() + MAX_REFUSAL_S)

    def _refuse(self, tenant: str, rate: TenantRate, account: TenantAccount) -> None:
        now = self.clock()
        self.counts["refused"] += 1
        retry_after_s = self._retry_after_s(account, now)
        if now >= account.logged_at + LOG_INTERVAL_S:
            account.logged_at = now
            log.info(
                "tenant over its rate limit",
                tenant=tenant,
                rate_per_s=rate.rate_per_s,
                demand_per_s=round(account.demand_per_s, 1),
                retry_after_s=retry_after_s,
                configuration=self.local.version(),
            )
        raise OverloadError(
            f"rate limit of the tenant exceeded, retry in {retry_after_s} s",
            retry_after_s,
        )

    def _retry_after_s(self, account: TenantAccount, now: float) -> float:
        """Return when an allocator may be asked again, in tenths of a second."""
        waits = [at - now for at in account.ask_after.values() if at > now]
        return round(max(min(waits, default=NO_ALLOCATOR_RETRY_S), MIN_RETRY_S), 1)

    async def _ask_ahead(self, tenant: str, account: TenantAccount) -> None:
        if account.lock.locked():
            return
        async with account.lock:
            if account.is_low(self.clock()):
                await self._ask(tenant, account)

    async def _ask(self, tenant: str, account: TenantAccount) -> None:
        """Ask the allocators in turn until there are enough tokens."""
        now = self.clock()
        account.ask_after = {i: at for i, at in account.ask_after.items() if at > now}
        if self.local.has_role and self.own.incarnation not in account.ask_after:
            request = LendRequest(tenant, account.shortage(now))
            self._record(account, self.own, self.local.lend(request), now)
        for member in self._allocators():
            now = self.clock()
            missing = account.shortage(now)
            if missing <= 0:
                return
            if account.ask_after.get(member.incarnation, now) > now:
                continue
            reply = await self._request(member, LendRequest(tenant, missing))
            self._record(account, member, reply, now)

    def _allocators(self) -> list[MemberRecord]:
        """Return the allocators on other hosts, the nearest first.

        Among equally distant ones the order differs between hosts, so that they do
        not all ask the same first.
        """

        def order(member: MemberRecord) -> tuple[int, int]:
            return (
                distance(self.own.place, member.place),
                stable_hash(self.own.name, member.name),
            )

        return sorted(self.donor.allocators(), key=order)

    async def _request(self, member: MemberRecord, request: LendRequest) -> LendReply:
        """Return the reply, without tokens if it is too late to use them."""
        self.counts["requests"] += 1
        try:
            with anyio.move_on_after(LEND_LIFETIME_S):
                return await self.channel.borrow(member, request)
        except PeerError as error:
            log.debug("quota request failed", allocator=member.name, error=str(error))
        return LendReply(0, NO_REPLY_PAUSE_S)

    def _record(
        self,
        account: TenantAccount,
        member: MemberRecord,
        reply: LendReply,
        sent_at: float,
    ) -> None:
        account.add(reply.tokens, sent_at)
        if reply.retry_after_s > 0:
            now = self.clock()
            account.ask_after[member.incarnation] = now + reply.retry_after_s
            account.scarce_until = now + SCARCITY_S
