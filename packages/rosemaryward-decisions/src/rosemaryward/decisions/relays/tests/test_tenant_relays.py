"""Statements of tenants through a relay."""

import msgspec
import pytest

from rosemaryward.decisions.gateway.statements import AdmissionParameters
from rosemaryward.decisions.gateway.tests.fakes import FakeClock
from rosemaryward.decisions.gateway.tests.test_tenant_sessions import (
    KEY,
    FakeLimiter,
    TenantHarness,
)
from rosemaryward.decisions.relays.selection import RelaySelector
from rosemaryward.decisions.relays.tests.fakes import (
    RelayedGatewayHarness,
    members_of,
    relay_member,
)


class RelayedTenantHarness(RelayedGatewayHarness, TenantHarness):
    """Proxy with tenants that reaches its endpoints through a relay."""

    def __init__(self, tenants=None, limiter=None, **arguments):
        super().__init__(**arguments)
        self.limiter = limiter
        if tenants is not None:
            self.set_tenants(tenants)


async def test_relay_opens_connections_for_the_tenant():
    """Guards against a relay that runs a statement on another tenant's connection."""
    harness = RelayedTenantHarness(tenants={"acme": KEY, "other": "key-2"})
    for key in (KEY, "key-2", KEY):
        await harness.serve_steps("WRITE k v", "BEGIN", "READ k", "COMMIT", key=key)
    connections = harness.relay.primary.connections
    assert [connection.tenant for connection in connections] == ["acme", "other"]


async def test_relay_evicts_connections_at_its_cap():
    """Guards against a relay that exceeds the limit, or refuses its fourth tenant."""
    keys = {f"t{n}": f"key-{n}" for n in range(4)}
    harness = RelayedTenantHarness(tenants=keys)
    pool = harness.relay.pool(harness.relay.primary)
    pool.connection_cap = lambda group: 2
    for name in ("t0", "t1", "t2", "t1", "t3"):
        replies = await harness.serve_steps(
            "WRITE k v", "BEGIN", "COMMIT", key=keys[name]
        )
        assert [reply.failure for reply in replies] == [None] * 3
    assert harness.relay.primary.events == [
        ("opened", "t0"),
        ("opened", "t1"),
        ("closed", "t0"),
        ("opened", "t2"),
        ("closed", "t2"),
        ("opened", "t3"),
    ]


async def test_relay_gets_the_tenant_and_no_key():
    """Guards against a key in a message to another host."""
    harness = RelayedTenantHarness()
    _, session = harness.session(
        "WRITE k v", "BEGIN", "READ k", "COMMIT", access=harness.access()
    )
    session.operations.caller = session.context.caller = KEY
    await session.run()
    (link,) = harness.link_provider.links
    assert len(link.sent) == 4
    for message in link.sent:
        assert message.admission.tenant == "acme"
        assert KEY.encode() not in msgspec.msgpack.encode(message)


async def test_admission_queues_share_slots_between_tenants(monkeypatch):
    """Guards against a queue that takes all tenants of a database for one."""
    harness = RelayedTenantHarness()
    shares = []
    for pool in (harness.pools.pool("i-1"), harness.relay.pool(harness.relay.primary)):
        slot = pool.queue.slot

        def record(rank, caller, tenant, deadline_s, slot=slot):
            shares.append(tenant)
            return slot(rank, caller, tenant, deadline_s)

        pool.queue = RecordingQueue(pool.queue, record)
    await harness.serve_steps("READ k")
    assert shares == ["acme", "acme"]


class RecordingQueue:
    """Admission queue whose `slot` is replaced."""

    def __init__(self, queue, slot):
        self.queue = queue
        self.slot = slot

    def __getattr__(self, name):
        return getattr(self.queue, name)


async def test_operation_that_the_relay_refuses_is_refunded():
    """Guards against tokens lost while the endpoint behind a relay does not answer."""
    limiter = FakeLimiter()
    harness = RelayedTenantHarness(limiter=limiter, timeout_s=0.1)
    harness.service.leaving = True
    clock = harness.clock

    def running_clock():
        clock.now += 0.01
        return clock.now

    harness.executor.clock = running_clock
    (reply,) = await harness.serve_steps("WRITE k v")
    assert reply.failure is not None
    assert limiter.refunded == ["acme"]


async def test_operation_whose_relay_is_lost_is_not_refunded():
    """Guards against a refund for an operation that may have run."""
    limiter = FakeLimiter()
    harness = RelayedTenantHarness(limiter=limiter)
    link = await harness.link_provider.link(None)
    link.lose_reply = True
    (reply,) = await harness.serve_steps("WRITE k v")
    assert reply.failure is not None
    assert limiter.refunded == []


def test_parameters_of_a_proxy_without_tenants_are_understood():
    """Guards against a fleet that cannot be upgraded host by host."""
    old = msgspec.msgpack.encode([1, "caller", "db", 0.5, 3])
    decoded = msgspec.msgpack.decode(old, type=AdmissionParameters)
    assert decoded == AdmissionParameters(1, "caller", "db", 0.5, 3)
    assert decoded.share == "db"
    new = AdmissionParameters(1, "caller", "db", 0.5, 3, "acme")
    assert msgspec.msgpack.decode(msgspec.msgpack.encode(new))[:5] == [
        1, "caller", "db", 0.5, 3,
    ]  # fmt: skip
    assert new.share == "acme"


@pytest.mark.parametrize(
    ("hosts", "pools", "limit", "scarce"),
    [
        pytest.param(2, 1, 6, False, id="no-tenants"),
        pytest.param(2, 1, 5, True, id="no-tenants-scarce"),
        pytest.param(2, 12, 70, True, id="small-fleet"),
        pytest.param(1, 83, 70, True, id="one-host"),
        pytest.param(2, 12, 72, False, id="enough"),
        pytest.param(81, 83, 70, True, id="large-fleet"),
    ],
)
def test_relays_are_used_when_tenants_want_too_many_connections(
    hosts, pools, limit, scarce
):
    """Guards against hosts that take one another's connections in a small fleet."""
    clock = FakeClock()
    members = members_of(*[relay_member(f"p{n}") for n in range(hosts)], clock=clock)
    selector = RelaySelector(
        "p0", members, lambda group: limit, clock, pools_per_proxy=lambda: pools
    )
    assert selector.connections_are_scarce("g") is scarce
    assert (selector.connection_cap("g") is not None) is scarce


async def test_own_queue_before_a_relay_has_the_weights_of_tenants():
    """Guards against equal shares where all callers of a tenant are at one host."""
    harness = RelayedTenantHarness(tenants={"acme": KEY})
    weights = {"acme": 7.0}.get
    harness.directory.set_weights(weights)
    pool = harness.pools.pool("i-1")
    assert pool.relayed
    assert pool.queue.weights is weights
