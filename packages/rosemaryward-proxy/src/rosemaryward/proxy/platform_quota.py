"""Rate limits of tenants on the users' platform: wiring of `decisions.quota`."""

from collections.abc import Callable, Mapping
from typing import TypeVar

import anyio
import structlog

from rosemaryward.decisions.errors import OutcomeUnknownError, PeerError
from rosemaryward.decisions.gateway.environment import Environment
from rosemaryward.decisions.leadership.members import MemberDirectory, MemberRecord
from rosemaryward.decisions.mirror import StoreMirror
from rosemaryward.decisions.quota import (
    Allocator,
    AllocatorPlacement,
    DonationReply,
    LendReply,
    LendRequest,
    OwnShare,
    QuotaBounds,
    ShareDonation,
    ShareDonor,
    TenantQuota,
    TenantRate,
)
from rosemaryward.decisions.relays.connections import RelayLinkProvider
from rosemaryward.decisions.relays.messages import RelayReply
from rosemaryward.decisions.relays.service import RelayService
from rosemaryward.operators.metrics import ProxyMetrics
from rosemaryward.peers.relays import RelayClient
from rosemaryward.platform.settings import HostSettings
from rosemaryward.proxy.background import run_with_restarts

__all__ = ["PlatformQuota", "RelayQuotaChannel", "tenant_rates"]

START_CHECK_INTERVAL_S = 0.1

ReplyT = TypeVar("ReplyT", DonationReply, LendReply)

log = structlog.get_logger(__name__)


def tenant_rates(environment: Environment) -> Mapping[str, TenantRate]:
    """Return the limits of the tenants that have a rate."""
    if environment.tenants is None:
        return {}
    return {
        tenant.name: TenantRate(tenant.rate_per_s, tenant.burst)
        for tenant in environment.tenants.tenants.values()
        if tenant.rate_per_s is not None
    }


class RelayQuotaChannel:
    """Sends the messages to allocators over connections between proxies.

    Parameters
    ----------
    link_provider : RelayLinkProvider
        Connections to the other proxies.
    """

    def __init__(self, link_provider: RelayLinkProvider) -> None:
        self.link_provider = link_provider

    async def donate(
        self, member: MemberRecord, message: ShareDonation
    ) -> DonationReply:
        """Send a donation; raises `PeerError` without a reply."""
        return await self._exchange(member, message, DonationReply)

    async def borrow(self, member: MemberRecord, message: LendRequest) -> LendReply:
        """Ask for tokens; raises `PeerError` without a reply."""
        return await self._exchange(member, message, LendReply)

    async def _exchange(
        self,
        member: MemberRecord,
        message: ShareDonation | LendRequest,
        expected: type[ReplyT],
    ) -> ReplyT:
        link = await self.link_provider.link(member)
        try:
            reply: RelayReply = await link.request(message)
        except OutcomeUnknownError as error:
            raise PeerError(f"{member.name}: {error}") from error
        if isinstance(reply, expected):
            return reply
        raise PeerError(f"{member.name}: unexpected reply {type(reply).__name__}")


class _LostAllocators:
    """Reports lost connections; implements `RelayAvoidance`.

    The connections for quota messages are separate from those for statements, so
    that their loss does not exclude a proxy from relaying.
    """

    def __init__(
        self,
        members: MemberDirectory,
        on_lost: Callable[[MemberRecord, bool], None],
    ) -> None:
        self.members = members
        self.on_lost = on_lost

    def avoid(self, member: MemberRecord, reason: str, leaving: bool = False) -> None:
        """Donate to another allocator while this one is lost or leaving."""
        self.on_lost(member, leaving)

    def readmit(self, member: MemberRecord) -> None:
        """Do nothing: the donor itself asks the allocator again."""

    def is_live(self, member: MemberRecord) -> bool:
        """Return whether a process is still a live member."""
        return member in self.members.live_members()


class PlatformQuota:
    """Keeps the rate limits of the tenants of one proxy process.

    Parameters
    ----------
    settings : HostSettings
        Settings at the start of the process.
    record : MemberRecord
        Registration of this process.
    members : MemberDirectory
        Members of the fleet.
    mirror : StoreMirror
        Tells how recent `members` is.
    environment : callable
        Returns the configuration in force.
    relay_service : RelayService
        Passes the messages of other proxies to the allocator.

    Attributes
    ----------
    quota : TenantQuota
        Admits the operations of the tenants.
    """

    def __init__(
        self,
        settings: HostSettings,
        record: MemberRecord,
        members: MemberDirectory,
        mirror: StoreMirror,
        environment: Callable[[], Environment],
        relay_service: RelayService,
    ) -> None:
        self.mirror = mirror
        self.environment = environment
        self.rates: Mapping[str, TenantRate] = {}
        self.rates_of: Environment | None = None
        bounds = QuotaBounds(
            settings.bounds.quota_window_s,
            settings.bounds.quota_overage,
            settings.bounds.quota_slack,
        )
        self.allocator = Allocator(
            record.incarnation,
            self.limits,
            bounds,
            version=lambda: environment().version,
        )
        self.share = OwnShare(
            record.name,
            record.incarnation,
            members,
            mirror.age_s,
            first_start=settings.first_start,
        )
        self.client = RelayClient(
            record.name, _LostAllocators(members, self._handle_loss)
        )
        channel = RelayQuotaChannel(self.client)
        self.donor = ShareDonor(
            record, self.share, AllocatorPlacement(members), channel, self.allocator
        )
        self.quota = TenantQuota(
            record, self.limits, self.donor, channel, self.allocator
        )
        relay_service.allocator = self.allocator

    def limits(self) -> Mapping[str, TenantRate]:
        """Return the rate limits in force by tenant."""
        environment = self.environment()
        if environment is not self.rates_of:
            self.rates = tenant_rates(environment)
            self.rates_of = environment
        return self.rates

    async def run(self) -> None:
        """Keep the limits until cancelled, from the first tenant with a rate on."""
        await self.mirror.loaded.wait()
        if self.share.was_registered is None:
            self.share.observe_start()
        # The configuration is replaced as a whole and has no event of its own.
        while not self.limits():  # noqa: ASYNC110
            await anyio.sleep(START_CHECK_INTERVAL_S)
        log.info(
            "tenant rate limits in force",
            tenants=len(self.limits()),
            configuration=self.environment().version,
        )
        async with anyio.create_task_group() as tasks:
            for task in (self.client.run, self.donor.run, self.quota.run):
                tasks.start_soon(run_with_restarts, task)

    def _handle_loss(self, member: MemberRecord, leaving: bool) -> None:
        if leaving:
            self.donor.avoid_leaving(member)
        else:
            self.donor.avoid(member)

    def leave(self) -> None:
        """Return the donations to this process and make no more."""
        self.allocator.leaving = True
        self.share.leaving = True

    def export_metrics(self, metrics: ProxyMetrics) -> None:
        """Set the metrics, which have no label with the name of a tenant."""
        if not self.limits():
            return
        counts = {
            **self.quota.counts,
            "donations_sent": self.donor.counts["sent"],
            "donations_failed": self.donor.counts["failed"],
            "donations_received": self.allocator.counts["donations"],
            "requests_received": self.allocator.counts["requests"],
            "tokens_lent": self.allocator.counts["lent"],
        }
        metrics.set_quota(counts, self.allocator.shares.total)
