import anyio
import pytest

from rosemaryward.decisions.document.schema import (
    DatabaseSection,
    Document,
    InstanceSection,
)
from rosemaryward.decisions.membership import OwnershipTracker
from rosemaryward.decisions.membership.tests.cluster import DOMAINS, Cluster, Network
from rosemaryward.decisions.types import EndpointId

pytestmark = pytest.mark.looptime(noop_cycles=0)

INSTANCES = {
    f"i{n}": InstanceSection(
        host="10.1.0.1",
        port=1,
        region=place.region,
        failure_domain=place.failure_domain,
    )
    for n, place in enumerate(DOMAINS)
}
SECTION = DatabaseSection(tenant="t", instances=INSTANCES, slots=1, connections=1)
DOCUMENT = Document(
    environment="trial",
    regions={},
    databases={f"d{n}": SECTION for n in range(4)},
    tenants={},
)
ENDPOINTS = {EndpointId(d, i) for d in DOCUMENT.databases for i in INSTANCES}


class OwnershipCluster(Cluster):
    """Cluster whose members track ownership."""

    def __init__(self, network=None):
        super().__init__(network)
        self.trackers = {}
        self.held = {}

    async def enter(self, number, service, stack):
        held = self.held[number] = set()
        tracker = OwnershipTracker(service, held.add, held.remove)
        self.trackers[number] = tracker
        tracker.set_document(DOCUMENT)
        await stack.enter_async_context(tracker)

    def owners(self, endpoint):
        return [
            number
            for number in self.services
            if self.trackers[number].is_owner(endpoint)
        ]

    def each_owned_once(self):
        return all(len(self.owners(endpoint)) == 1 for endpoint in ENDPOINTS)


async def test_every_endpoint_has_one_owner_that_all_agree_on():
    """Guards against statements sent to a proxy that does not own the endpoint."""
    async with OwnershipCluster() as cluster:
        await cluster.start_all(6)
        assert cluster.each_owned_once()
        for endpoint in ENDPOINTS:
            found = {t.owner_of(endpoint).host_id for t in cluster.trackers.values()}
            assert found == {f"p{cluster.owners(endpoint)[0]}"}


@pytest.mark.parametrize("seed", range(5))
async def test_takeover_after_a_death(seed):
    """Guards against endpoints without an owner two seconds after a member died."""
    async with OwnershipCluster(Network(seed, loss=0.02)) as cluster:
        await cluster.start_all(6, settle_s=5 + seed / 10)
        victim = cluster.owners(EndpointId("d0", "i1"))[0]
        cluster.kill(victim)
        await cluster.until(cluster.each_owned_once, 2.0)


async def test_leaving_proxy_hands_over():
    """Guards against a hand-over that waits until the leaving proxy is dead."""
    async with OwnershipCluster() as cluster:
        await cluster.start_all(6)
        leaver = cluster.owners(EndpointId("d0", "i0"))[0]
        await cluster.services[leaver].leave()
        await cluster.until(
            lambda: not cluster.held[leaver] and cluster.each_owned_once(), 0.5
        )


async def test_resumed_proxy_serves_nothing_before_gossip():
    """Guards against two proxies that both serve an endpoint after a pause."""
    async with OwnershipCluster() as cluster:
        await cluster.start_all(6)
        paused = cluster.owners(EndpointId("d0", "i0"))[0]
        tracker, service = cluster.trackers[paused], cluster.services[paused]
        cluster.network.frozen.add(service.local.host)
        service.state.on_suspect.clear()  # a paused process would not react
        for _ in range(100):
            await anyio.sleep(0.01)
            owned = [tracker.is_owner(e) for e in ENDPOINTS]
            if service.seconds_since_exchange() > 0.75:
                assert not any(owned)
        service.state.suspicions.clear()
        before = set(cluster.held[paused])
        service._handle_pause(1.0)
        assert before
        assert cluster.held[paused] == set()
        await anyio.sleep(0.02)
        assert cluster.held[paused] == set()
        cluster.network.frozen.clear()
        await cluster.until(lambda: cluster.held[paused] == before, 2.0)
        assert cluster.each_owned_once()


async def test_lost_probes_keep_ownership():
    """Guards against an owner that stops serving because one probe was lost."""
    async with OwnershipCluster(Network(loss=0.1)) as cluster:
        await cluster.start_all(6)
        for _ in range(600):
            await anyio.sleep(0.1)
            assert cluster.each_owned_once()


async def test_single_proxy_owns_everything():
    """Guards against a single proxy that waits for gossip forever."""
    async with OwnershipCluster() as cluster:
        await cluster.start_all(1, settle_s=5)
        assert cluster.held[0] == ENDPOINTS
        assert all(cluster.trackers[0].is_owner(e) for e in ENDPOINTS)
