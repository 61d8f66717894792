"""Connections of tenants in the pool of one endpoint."""

import itertools

import anyio
import pytest

from rosemaryward.decisions.gateway.connections import EndpointPool
from rosemaryward.decisions.gateway.directory import EndpointDirectory
from rosemaryward.decisions.gateway.outcomes import ConnectError, Failure
from rosemaryward.decisions.gateway.tests.fakes import (
    FakeClock,
    FakeConnector,
    FakeInstance,
    make_endpoint,
)


class PoolHarness:
    """Pool of one instance with a cap on connections."""

    def __init__(self, cap=None):
        self.clock = FakeClock()
        self.instance = FakeInstance("i-1", leads=True)
        self.connector = FakeConnector([self.instance])
        self.pool = EndpointPool(
            make_endpoint("i-1"), self.connector, self.clock, lambda group: cap
        )

    async def use(self, tenant):
        """Use and return a connection; return it."""
        self.clock.now += 0.001
        async with self.pool.connection(0.1, tenant=tenant) as pooled:
            return pooled

    def idle(self):
        return [pooled.tenant for pooled in self.pool.idle_connections]


async def test_connections_are_not_shared_between_tenants():
    """Guards against a statement on a connection opened for another tenant."""
    harness = PoolHarness()
    used = [await harness.use(tenant) for tenant in ("a", "b", "a", "", "b", "")]
    assert [pooled.tenant for pooled in used] == ["a", "b", "a", "", "b", ""]
    assert used[0] is used[2]
    assert used[1] is used[4]
    assert used[3] is used[5]
    assert harness.instance.events == [("opened", "a"), ("opened", "b"), ("opened", "")]


async def test_least_recently_used_connection_is_closed_at_the_cap():
    """Guards against an opening that the endpoint refuses, and against thrashing."""
    harness = PoolHarness(cap=3)
    for tenant in ("a", "b", "c", "a", "d"):
        await harness.use(tenant)
    assert harness.instance.events[3:] == [("closed", "b"), ("opened", "d")]
    assert harness.idle() == ["c", "a", "d"]
    assert harness.pool.open_count == 3
    assert harness.pool.opening_count == 0


async def test_connection_in_use_is_not_evicted():
    """Guards against closing the connection of a running statement."""
    harness = PoolHarness(cap=1)
    async with harness.pool.connection(0.1, tenant="a") as held:
        harness.pool.clock = itertools.count(200.0, 0.1).__next__
        with pytest.raises(ConnectError) as refused:
            await harness.pool.acquire(0.01, tenant="b")
        assert refused.value.failure is Failure.CONNECTION_LIMIT
        assert not held.connection.closed


async def test_released_connection_makes_room_for_a_waiting_tenant():
    """Guards against a tenant that waits although an idle connection can be closed."""
    harness = PoolHarness(cap=1)
    held = await harness.pool.acquire(0.1, tenant="a")
    acquired = []

    async def acquire():
        acquired.append(await harness.pool.acquire(0.1, tenant="b"))

    async with anyio.create_task_group() as tasks:
        tasks.start_soon(acquire)
        await anyio.wait_all_tasks_blocked()
        harness.pool.release(held)
    assert [pooled.tenant for pooled in acquired] == ["b"]
    assert harness.instance.events[-2:] == [("closed", "a"), ("opened", "b")]


async def test_tenants_that_arrive_together_stay_within_the_cap():
    """Guards against more connections than the cap while several are being opened."""
    harness = PoolHarness(cap=4)
    for tenant in "abcd":
        await harness.use(tenant)
    open_now, most = 0, 0
    async with anyio.create_task_group() as tasks:
        for tenant in "efgh":
            tasks.start_soon(harness.use, tenant)
    for event, _ in harness.instance.events:
        open_now += 1 if event == "opened" else -1
        most = max(most, open_now)
    assert most == 4
    assert sorted(harness.idle()) == ["e", "f", "g", "h"]


async def test_burst_without_idle_connections_stays_within_the_cap():
    """Guards against counting only the connections that are already open."""
    harness = PoolHarness(cap=2)
    connect = harness.connector.connect
    opening, most = 0, 0

    async def connect_slowly(endpoint, tenant=""):
        nonlocal opening, most
        opening += 1
        most = max(most, opening)
        await anyio.sleep(0.01)
        return await connect(endpoint, tenant)

    harness.connector.connect = connect_slowly

    async def acquire(tenant):
        with anyio.move_on_after(0.05):
            await harness.pool.acquire(0.1, tenant=tenant)

    async with anyio.create_task_group() as tasks:
        for tenant in "abcd":
            tasks.start_soon(acquire, tenant)
    assert most == 2


async def test_limit_of_the_endpoint_evicts_one_connection():
    """Guards against refusals while this proxy holds idle connections of others."""
    harness = PoolHarness()
    await harness.use("a")
    await harness.use("b")
    connect = harness.connector.connect
    refusals = [ConnectError(Failure.CONNECTION_LIMIT, "full")]

    async def connect_at_limit(endpoint, tenant=""):
        if refusals:
            raise refusals.pop()
        return await connect(endpoint, tenant)

    harness.connector.connect = connect_at_limit
    assert (await harness.use("c")).tenant == "c"
    assert harness.idle() == ["b", "c"]


@pytest.mark.parametrize(
    ("is_relay", "idle_s", "kept"),
    [
        pytest.param(True, 19.0, ["a"], id="relay"),
        pytest.param(True, 20.0, [], id="relay-after-20-s"),
        pytest.param(False, 2.9, ["a"], id="other"),
        pytest.param(False, 3.0, [], id="other-after-3-s"),
    ],
)
async def test_idle_connections_are_kept_longer_at_the_relay(is_relay, idle_s, kept):
    """Guards against reopening for each statement, and keeping any elsewhere."""
    clock = FakeClock()
    connector = FakeConnector([FakeInstance("i-1", leads=True)])
    directory = EndpointDirectory(connector, clock, keeps_idle=lambda e: is_relay)
    directory.observe(make_endpoint("i-1"))
    pool = directory.pools["i-1"]
    async with pool.connection(0.1, tenant="a"):
        pass
    clock.now += idle_s
    directory.remove_expired()
    assert [pooled.tenant for pooled in pool.idle_connections] == kept


@pytest.mark.parametrize(
    ("wait_s", "suspect"),
    [
        pytest.param(0.01, False, id="little-time-left"),
        pytest.param(0.6, True, id="silent-endpoint"),
    ],
)
async def test_opening_that_times_out(wait_s, suspect):
    """Guards against avoiding an endpoint because a request had little time left."""
    harness = PoolHarness()

    async def connect(endpoint, tenant=""):
        harness.clock.now += wait_s
        raise TimeoutError

    harness.connector.connect = connect
    with pytest.raises(ConnectError):
        await harness.pool.acquire(wait_s, tenant="a")
    assert harness.pool.suspect is suspect


async def test_place_that_becomes_free_is_used_at_once():
    """Guards against refusals for want of a connection that nobody holds any more."""
    harness = PoolHarness(cap=1)
    held = await harness.pool.acquire(0.1, tenant="a")

    async def break_connection():
        held.broken = True
        harness.pool.release(held)

    async with anyio.create_task_group() as tasks:
        tasks.start_soon(break_connection)
        async with harness.pool.connection(0.1, tenant="b") as pooled:
            assert pooled.tenant == "b"
