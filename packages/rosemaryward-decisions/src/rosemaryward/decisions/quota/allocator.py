"""Allocator, which lends tokens from the shares that hosts have donated to it."""

from collections.abc import Callable, Mapping

import structlog

from rosemaryward.decisions.clock import boot_time_s
from rosemaryward.decisions.quota.bucket import MAX_RETRY_S, TokenBucket
from rosemaryward.decisions.quota.limits import QuotaBounds, TenantRate
from rosemaryward.decisions.quota.messages import (
    DonationReply,
    LendReply,
    LendRequest,
    ShareDonation,
)
from rosemaryward.decisions.quota.shares import ShareLedger

__all__ = ["Allocator"]

UNKNOWN_TENANT_RETRY_S = 0.2  # the configuration is passed on within about a second
RETAINED_BUCKETS = 100  # of tenants that the configuration no longer has

log = structlog.get_logger(__name__)


class Allocator:
    """Token buckets of all tenants, filled by the donations to this process.

    Parameters
    ----------
    incarnation : str
        Identifier of this process.
    limits : callable
        Returns the rate limits in force by tenant.
    bounds : QuotaBounds
        Bound that the limits keep.
    clock : callable, optional
        Boot time in seconds.
    version : callable, optional
        Returns the version of the configuration, for the log.

    Attributes
    ----------
    shares : ShareLedger
        Donations in force.
    buckets : dict of str to TokenBucket
        Buckets by tenant.
    leaving : bool
        Whether the process is about to stop, so returns every donation.
    counts : dict of str to int
        Donations, requests and lent tokens since the start.
    """

    def __init__(
        self,
        incarnation: str,
        limits: Callable[[], Mapping[str, TenantRate]],
        bounds: QuotaBounds,
        clock: Callable[[], float] = boot_time_s,
        version: Callable[[], int] = lambda: 0,
    ) -> None:
        self.incarnation = incarnation
        self.limits = limits
        self.bounds = bounds
        self.clock = clock
        self.version = version
        self.started_at = clock()
        self.shares = ShareLedger(self.started_at)
        self.buckets: dict[str, TokenBucket] = {}
        self.leaving = False
        self.has_role = False
        self.counts = {"donations": 0, "requests": 0, "lent": 0}

    def handle(self, message: ShareDonation | LendRequest) -> DonationReply | LendReply:
        """Return the reply to a message of another host."""
        if isinstance(message, ShareDonation):
            return self.donate(message)
        return self.lend(message)

    def donate(self, message: ShareDonation) -> DonationReply:
        """Apply a donation and return the state after it."""
        now = self._advance()
        self.counts["donations"] += 1
        uptime_s = now - self.started_at
        if message.allocator != self.incarnation:
            return DonationReply(False, now, uptime_s)
        held = self.shares.is_held(message)
        if self.leaving:
            message = ShareDonation(
                message.donor,
                message.incarnation,
                message.allocator,
                message.domain,
                message.sequence,
            )
        if self.shares.has_fallen and message.fraction > 0:
            self._settle_all()
        self.shares.apply(message, now)
        self._note_role()
        return DonationReply(True, now, uptime_s, held, released=self.leaving)

    def lend(self, request: LendRequest) -> LendReply:
        """Return tokens of a tenant, as far as there are any."""
        now = self._advance()
        self.counts["requests"] += 1
        rate = self.limits().get(request.tenant)
        if self.leaving:
            return LendReply(0, MAX_RETRY_S)
        if rate is None:  # this host may not have the newest configuration yet
            return LendReply(0, UNKNOWN_TENANT_RETRY_S)
        bucket = self._bucket(request.tenant)
        bucket.settle(rate, self.shares, self.bounds)
        taken = bucket.take(request.tokens)
        self.counts["lent"] += taken
        if taken == request.tokens:
            return LendReply(taken)
        fill_per_s = rate.rate_per_s * self.bounds.fill_factor() * self.shares.total
        return LendReply(taken, bucket.retry_after_s(fill_per_s, now))

    def _bucket(self, tenant: str) -> TokenBucket:
        bucket = self.buckets.get(tenant)
        if bucket is None:
            bucket = self.buckets[tenant] = TokenBucket()
        return bucket

    def _advance(self) -> float:
        now = self.clock()
        self.shares.advance(now)
        self._note_role()
        return now

    def _note_role(self) -> None:
        """Log when the first donation comes into force or the last one ends."""
        if self.has_role == (self.shares.total > 0):
            return
        self.has_role = not self.has_role
        log.info(
            "quota allocator role taken"
            if self.has_role
            else "quota allocator role given up",
            donations=len(self.shares.donations),
            configuration=self.version(),
        )

    def _settle_all(self) -> None:
        """Limit all buckets to the depth at the present fraction."""
        limits = self.limits()
        if len(self.buckets) > len(limits) + RETAINED_BUCKETS:
            self.buckets = {n: b for n, b in self.buckets.items() if n in limits}
        for tenant, rate in limits.items():
            self._bucket(tenant).settle(rate, self.shares, self.bounds)
        self.shares.has_fallen = False
