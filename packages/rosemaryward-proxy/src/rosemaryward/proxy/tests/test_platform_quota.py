import contextlib

import anyio
import pytest

from rosemaryward.decisions.errors import OverloadError, PeerError
from rosemaryward.decisions.gateway.directory import EndpointDirectory
from rosemaryward.decisions.gateway.environment import Environment
from rosemaryward.decisions.leadership.members import MemberDirectory, MemberRecord
from rosemaryward.decisions.leadership.records import Leadership
from rosemaryward.decisions.quota import LendRequest, ShareDonation
from rosemaryward.decisions.relays.service import RelayService
from rosemaryward.decisions.tenants import Tenant, TenantDirectory
from rosemaryward.decisions.types import Place
from rosemaryward.operators.metrics import ProxyMetrics
from rosemaryward.peers.relays import RelayServer
from rosemaryward.platform.settings import HostSettings
from rosemaryward.proxy.platform_quota import PlatformQuota, tenant_rates
from rosemaryward.proxy.tests.test_platform_tenants import free_ports

START_TIMEOUT_S = 5.0


def tenant(name, rate_per_s, burst=5.0):
    return Tenant(name=name, rate_per_s=rate_per_s, burst=burst)


def environment(tenants):
    """Return a configuration, without tenants if they are None."""
    return Environment(
        version=3,
        routes={},
        groups={},
        transaction_idle_s=3.0,
        tenants=None if tenants is None else TenantDirectory((t, []) for t in tenants),
    )


class LoadedMirror:
    def __init__(self):
        self.loaded = anyio.Event()
        self.loaded.set()

    def age_s(self):
        return 0.0


class Proxy:
    """Quota wiring of one process, with a relay server on loopback."""

    def __init__(self, name, port, members, tenants):
        self.record = MemberRecord(
            name, "x:1", f"{name}.1", f"127.0.0.1:{port}", Place("r", name), 100.0
        )
        settings = HostSettings(
            name=name,
            place=self.record.place,
            regions={},
            caller_address="",
            readiness_address="",
            peer_address="",
            metrics_address="",
            relay_address=self.record.relay_address,
            cores=1.0,
            link_mbps=1.0,
            store_address="",
            promotion_address="",
            grace_s=1.0,
            first_start=False,
        )
        self.environment = environment(tenants)
        service = RelayService(
            EndpointDirectory(None), Leadership(), lambda group: None
        )
        self.quota = PlatformQuota(
            settings,
            self.record,
            members,
            LoadedMirror(),
            lambda: self.environment,
            service,
        )
        self.server = RelayServer(self.record.relay_address, service)


def make_proxies(*tenants):
    members = MemberDirectory()
    ports = free_ports(2)
    proxies = [Proxy(f"p{i}", ports[i], members, tenants) for i in range(2)]
    for revision, proxy in enumerate(proxies, 1):
        members.observe(proxy.record, revision)
        members.mark_alive(proxy.record.name)
    return proxies


async def wait_for_shares(proxies):
    """Wait until each proxy has got a slice of each share."""
    while any(  # noqa: ASYNC110 - the ledger has no event
        proxy.quota.allocator.shares.total < 0.99 / len(proxies) for proxy in proxies
    ):
        await anyio.sleep(0.02)


async def test_proxies_exchange_shares_and_tokens():
    """Guards against wiring that loses the messages between proxies."""
    proxies = make_proxies(tenant("acme", 100.0, 50.0))
    async with anyio.create_task_group() as tasks:
        for proxy in proxies:
            tasks.start_soon(proxy.server.run)
        await anyio.sleep(0.05)
        for proxy in proxies:
            tasks.start_soon(proxy.quota.run)
        with anyio.fail_after(START_TIMEOUT_S):
            await wait_for_shares(proxies)
        await anyio.sleep(0.3)
        for _ in range(12):
            await proxies[0].quota.quota.admit("acme")
        for _ in range(500):
            with contextlib.suppress(OverloadError):
                await proxies[0].quota.quota.admit("acme")
        with pytest.raises(OverloadError):
            await proxies[0].quota.quota.admit("acme")
        metrics = ProxyMetrics("p0")
        proxies[0].quota.export_metrics(metrics)
        text = metrics.render()[0].decode()
        tasks.cancel_scope.cancel()
    assert proxies[1].quota.allocator.counts["lent"] > 0
    assert 'rosemaryward_quota_events_total{event="admitted",host="p0"}' in text
    assert "acme" not in text


async def test_without_limited_tenants_nothing_is_sent():
    """Guards against messages in deployments without tenants."""
    proxies = make_proxies(tenant("acme", None))
    with anyio.move_on_after(0.5):
        async with anyio.create_task_group() as tasks:
            for proxy in proxies:
                tasks.start_soon(proxy.quota.run)
    assert proxies[0].quota.donor.counts["sent"] == 0
    assert not proxies[0].quota.client.connections


async def test_unreachable_allocator_is_a_peer_error():
    """Guards against an error that ends the donor's task."""
    proxies = make_proxies(tenant("acme", 1.0))
    channel = proxies[0].quota.donor.channel
    async with anyio.create_task_group() as tasks:
        tasks.start_soon(proxies[0].quota.client.run)
        await anyio.lowlevel.checkpoint()
        with pytest.raises(PeerError):
            await channel.borrow(proxies[1].record, LendRequest("acme", 1))
        tasks.cancel_scope.cancel()


def test_leaving_proxy_returns_donations():
    """Guards against a share that a stopping process keeps."""
    proxy = make_proxies(tenant("acme", 1.0))[0]
    message = ShareDonation("p1", "p1.1", "p0.1", "p0", 1, 0.25, 1e12, False)
    assert not proxy.quota.allocator.donate(message).released
    proxy.quota.leave()
    assert proxy.quota.allocator.donate(message).released


def test_only_tenants_with_a_rate_have_a_limit():
    """Guards against a limit for tenants without a rate."""
    rates = tenant_rates(environment([tenant("a", 2.0), tenant("b", None)]))
    assert list(rates) == ["a"]
    assert tenant_rates(environment(None)) == {}
