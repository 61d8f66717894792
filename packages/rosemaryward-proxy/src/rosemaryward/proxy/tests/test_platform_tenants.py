"""Tenants at one proxy: start-ups, readiness, metrics, and a run with fakes."""

import contextlib
import random
import socket

import anyio
import httpx
import msgspec
import pytest
from structlog.testing import capture_logs

from rosemaryward.decisions.clock import boot_time_s
from rosemaryward.decisions.gateway.outcomes import Failure
from rosemaryward.platform.configuration import (
    CONFIGURATION_KEY,
    REGISTRATION_PREFIX,
    decode_environment,
)
from rosemaryward.platform.fakes.caller import FakeCaller, ReplyLostError
from rosemaryward.platform.fakes.documents import encode_configuration, encode_settings
from rosemaryward.platform.fakes.group import FakeGroup
from rosemaryward.platform.fakes.store import FakeStore
from rosemaryward.platform.settings import read_settings
from rosemaryward.platform.store import PlatformStore
from rosemaryward.proxy.platform_callers import CONFIGURATION_MAX_AGE_S
from rosemaryward.proxy.platform_node import PlatformNode

GROUP = "orders"
MAX_CONNECTIONS = 10
KEY = "secret-key-of-acme"
OTHER_KEY = "secret-key-of-other"
NEW_KEY = "secret-key-added-later"
SECRETS = (KEY, OTHER_KEY, NEW_KEY, "secret-unknown")
REVOKE_S = 3.0  # longer than the interval between two reads of the store
INFINITY = float("inf")
PORT_RANGE = (10_000, 18_000)


def free_ports(count):
    """Return consecutive free ports.

    They are below the range from which the system takes the ports of outgoing
    connections, one of which could else take a port before it is used.
    """
    while True:
        first = random.randrange(*PORT_RANGE)
        with contextlib.ExitStack() as stack, contextlib.suppress(OSError):
            for port in range(first, first + count):
                stack.enter_context(socket.create_server(("127.0.0.1", port)))
            return list(range(first, first + count))


def make_node(tmp_path, strict=True, revoke_ms=REVOKE_S * 1000, name="host-1"):
    path = tmp_path / f"{name}.json"
    bounds = {"strict_revoke": strict, "revoke_ms": revoke_ms}
    path.write_bytes(encode_settings(name, ("north", "a"), free_ports(5), 1, 1, bounds))
    return PlatformNode(read_settings(path), path)


def configure(version=1, tenants=None, public=("stale",)):
    entries = None
    if tenants is not None:
        entries = [{"name": name, "api_keys": keys} for name, keys in tenants.items()]
    return encode_configuration(
        version, GROUP, MAX_CONNECTIONS, tenants=entries, public=public
    )


def apply(node, **configuration):
    node.environment = decode_environment(configure(**configuration))
    node.callers.configured.set()


def set_age(node, age_s):
    node.mirror.current_at = boot_time_s() - age_s


async def start_up(node, database, caller):
    """Return the failure of a start-up, None if it is accepted."""
    reply = await node.callers.check_key(database, caller, anyio.current_time())
    return None if reply is None else reply.failure


ACME = {"acme": [KEY]}


@pytest.mark.parametrize(
    ("tenants", "age_s", "database", "caller", "failure"),
    [
        pytest.param(ACME, 0.1, "primary", KEY, None, id="known"),
        pytest.param(ACME, 0.1, "primary", "x", Failure.UNKNOWN_KEY, id="unknown"),
        pytest.param(ACME, 0.1, "primary", "", Failure.UNKNOWN_KEY, id="no-key"),
        pytest.param(ACME, 0.1, "stale", "", None, id="public"),
        pytest.param(ACME, 60.0, "stale", "x", None, id="public-without-the-store"),
        pytest.param(ACME, 60.0, "primary", KEY, Failure.BUSY, id="no-proof"),
        pytest.param(ACME, 60.0, "primary", "x", Failure.BUSY, id="may-be-newer"),
        pytest.param({}, 0.1, "primary", KEY, Failure.UNKNOWN_KEY, id="no-tenant"),
        pytest.param(None, 60.0, "primary", "x", None, id="without-tenants"),
    ],
)
async def test_key_is_checked_at_start_up(
    tmp_path, tenants, age_s, database, caller, failure
):
    """Guards against a session, or a final error, that the configuration rules out."""
    node = make_node(tmp_path)
    apply(node, tenants=tenants)
    set_age(node, age_s)
    assert await start_up(node, database, caller) is failure


async def test_start_up_without_a_proof_is_refused_at_once(tmp_path):
    """Guards against callers held by a host that has lost the store."""
    node = make_node(tmp_path)
    apply(node, tenants=ACME)
    set_age(node, 60.0)
    with anyio.fail_after(0.5):
        assert await start_up(node, "primary", KEY) is Failure.BUSY


async def test_host_that_has_lost_the_store_serves_without_strict_revocation(tmp_path):
    """Guards against refusals that nobody asked for."""
    node = make_node(tmp_path, strict=False)
    apply(node, tenants=ACME)
    set_age(node, 60.0)
    assert await start_up(node, "primary", KEY) is None
    assert node.tenants.authorizer.is_ready


@pytest.mark.parametrize(
    ("age_s", "strict"),
    [
        pytest.param(CONFIGURATION_MAX_AGE_S + 0.2, True, id="behind"),
        pytest.param(60.0, False, id="far-behind"),
        pytest.param(INFINITY, True, id="starting"),
    ],
)
async def test_key_of_a_newer_configuration_is_waited_for(tmp_path, age_s, strict):
    """Guards against refusing a key shortly before it is known."""
    node = make_node(tmp_path, strict)
    apply(node, tenants=ACME)
    set_age(node, age_s)
    answers = []

    async def ask():
        answers.append(await start_up(node, "primary", NEW_KEY))

    async with anyio.create_task_group() as tasks:
        tasks.start_soon(ask)
        await anyio.wait_all_tasks_blocked()
        assert answers == []
        apply(node, version=2, tenants={"acme": [KEY, NEW_KEY]})
        set_age(node, 0.1)
        node.mirror._notify_progress()
    assert answers == [None]


async def test_starting_host_waits_for_its_proof(tmp_path):
    """Guards against refusals in the first moment after a start of the fleet."""
    node = make_node(tmp_path)
    apply(node, tenants=ACME)
    answers = []

    async def ask():
        answers.append(await start_up(node, "primary", KEY))

    async with anyio.create_task_group() as tasks:
        tasks.start_soon(ask)
        await anyio.wait_all_tasks_blocked()
        assert answers == []
        set_age(node, 0.0)
        node.mirror._notify_progress()
    assert answers == [None]


async def test_wait_ends_before_callers_give_up(tmp_path):
    """Guards against an answer that arrives after the caller has left."""
    node = make_node(tmp_path)
    apply(node, tenants=ACME)
    set_age(node, 60.0)
    with anyio.fail_after(1.9):
        assert await node.callers.has_route("absent") is None
    began_at = anyio.current_time() - 1.4  # spent on the route
    with anyio.fail_after(0.5):
        reply = await node.callers.check_key("primary", "x", began_at)
    assert reply.failure is Failure.BUSY


@pytest.mark.parametrize(
    ("tenants", "age_s", "ready"),
    [
        pytest.param(ACME, 0.1, True, id="recent"),
        pytest.param(ACME, 60.0, False, id="no-proof"),
        pytest.param(None, 60.0, True, id="without-tenants"),
    ],
)
def test_readiness(tmp_path, tenants, age_s, ready):
    """Guards against callers sent to a host that refuses them."""
    node = make_node(tmp_path)
    apply(node, tenants=tenants)
    set_age(node, age_s)
    node.leadership.confirm(boot_time_s())
    assert node.is_ready() is ready


@pytest.mark.parametrize(
    ("tenants", "public", "pools"),
    [
        pytest.param(None, ("stale",), 1, id="without-tenants"),
        pytest.param({}, (), 1, id="no-tenant"),
        pytest.param(ACME | {"b": []}, (), 2, id="tenants"),
        pytest.param(ACME | {"b": []}, ("stale",), 3, id="tenants-and-public"),
    ],
)
def test_pools_follow_the_configuration(tmp_path, tenants, public, pools):
    """Guards against relays that are not used after tenants were added."""
    node = make_node(tmp_path)
    assert node.relay_selector.pools_per_proxy() == 1
    node.environment = decode_environment(configure(1, tenants, public))
    assert node.relay_selector.pools_per_proxy() == pools


async def test_key_is_not_refused_for_good_before_the_configuration_applies(tmp_path):
    """Guards against ignoring a bound that is shorter than the usual age."""
    path = tmp_path / "host.json"
    bounds = {"config_apply_ms": 1000}
    path.write_bytes(
        encode_settings("host-1", ("north", "a"), free_ports(5), 1, 1, bounds)
    )
    node = PlatformNode(read_settings(path), path)
    apply(node, tenants=ACME)
    set_age(node, 1.2)
    assert await start_up(node, "primary", "x") is Failure.BUSY
    set_age(node, 0.2)
    assert await start_up(node, "primary", "x") is Failure.UNKNOWN_KEY


def test_misplaced_key_is_not_logged(tmp_path):
    """Guards against a key in the line about a database without a route."""
    node = make_node(tmp_path)
    apply(node, tenants=ACME)
    assert KEY not in node.tenants.loggable_database(KEY)
    apply(node, version=2)
    assert node.tenants.loggable_database("db") == "db"


def test_each_invalid_tenant_is_reported_once(tmp_path):
    """Guards against an unexplained refusal, and a line for each key."""
    node = make_node(tmp_path)
    keys = [f"shared-{n}" for n in range(40)]
    apply(node, version=5, tenants={"a": keys, "b": keys, "c": [KEY]})
    with capture_logs() as lines:
        node.tenants.report_problems()
    assert [(line["tenant"], line["count"]) for line in lines] == [("a", 40), ("b", 40)]
    assert {line["configuration"] for line in lines} == {5}
    assert "shared-" not in repr(lines)


def test_metrics_have_a_bounded_number_of_series(tmp_path):
    """Guards against a series for each of many tenants, or a lost count."""
    node = make_node(tmp_path)
    operations = node.tenants.authorizer.operations
    apply(node, tenants=ACME)
    operations.update({f"t{n:03}": n for n in range(200)})
    node.tenants.export_metrics()
    operations["t000"] = 500
    node.tenants.export_metrics()
    text = node.metrics.render()[0].decode()
    values = [
        float(line.split()[-1])
        for line in text.splitlines()
        if line.startswith("rosemaryward_tenant_operations_total{")
    ]
    assert len(values) == 21
    assert sum(values) == sum(operations.values())
    assert 'tenant="t000"' in text
    assert 'cause="no_proof"' in text


def test_metrics_without_tenants_have_no_such_series(tmp_path):
    """Guards against new series for deployments without tenants."""
    node = make_node(tmp_path)
    apply(node)
    node.tenants.export_metrics()
    assert "tenant_operations_total{" not in node.metrics.render()[0].decode()


class Deployment:
    """Proxies with their store and replication group, all in this process."""

    def __init__(self, tmp_path, monkeypatch, hosts=1):
        self.store = FakeStore()
        self.group = FakeGroup(
            GROUP, [("north", "a"), ("north", "b")], MAX_CONNECTIONS, 0.001
        )
        self.nodes = [
            make_node(tmp_path, name=f"host-{number}") for number in range(1, hosts + 1)
        ]
        self.node = self.nodes[0]
        self.version = 0
        app = self.store.create_app(lambda key, value: value)

        async def enter(store):
            store.client = httpx.AsyncClient(transport=httpx.ASGITransport(app))
            return store

        monkeypatch.setattr(PlatformStore, "__aenter__", enter)

    async def run(self, tasks):
        for instance in self.group.instances:
            await instance.run(tasks)
            key = REGISTRATION_PREFIX + instance.name
            self.store.put(key, self.group.encode_registration(instance))
        tasks.start_soon(self.store.expire_leases)
        for node in self.nodes:
            tasks.start_soon(node.run, anyio.Event())
        await until(lambda: all(map(self.is_serving, self.nodes)), 20.0)

    def is_serving(self, node):
        """Return whether a proxy is ready, and knows the primary and all proxies."""
        knows_all = len(node.members.alive) == len(self.nodes)
        return (
            node.is_ready() and knows_all and node.leadership.primary(GROUP) is not None
        )

    def configure(self, **tenants):
        self.version += 1
        value = configure(self.version, tenants)
        self.store.put(CONFIGURATION_KEY, value)

    async def apply(self, **tenants):
        self.configure(**tenants)
        await until(lambda: self.node.environment.version == self.version)

    def caller(self, key, database="primary", node=None):
        host, port = (node or self.node).settings.caller_address.split(":")
        return FakeCaller((host, int(port)), database, key)

    def told(self):
        return [run.who for run in self.group.executed_statements]


async def until(condition, timeout_s=10.0):
    with anyio.fail_after(timeout_s):
        while not condition():  # noqa: ASYNC110
            await anyio.sleep(0.02)


async def test_tenants_end_to_end(tmp_path, monkeypatch):
    """Guards against keys that are not checked, or leak, between all the parts."""
    with capture_logs() as lines:
        deployment = Deployment(tmp_path, monkeypatch)
        deployment.configure(acme=[KEY], other=[OTHER_KEY])
        async with anyio.create_task_group() as tasks:
            await deployment.run(tasks)
            await serve_tenants(deployment)
            await refuse_unknown_and_accept_new_keys(deployment)
            await revoke_in_an_open_transaction(deployment)
            await lose_and_regain_the_store(deployment)
            deployment.node.tenants.export_metrics()
            metrics = deployment.node.metrics.render()[0].decode()
            tasks.cancel_scope.cancel()
    logged = msgspec.json.encode(lines, enc_hook=repr).decode()
    assert not [secret for secret in SECRETS if secret in logged + metrics]
    events = {line["event"] for line in lines}
    assert {"key refused", "revocation proof lost"} <= events
    assert 'tenant="other"' in metrics


async def serve_tenants(deployment):
    for key, tenant in ((KEY, "acme"), (OTHER_KEY, "other"), (KEY, "acme")):
        async with deployment.caller(key) as caller:
            reply = await caller.query("WRITE k v", 2.0)
            assert (reply.code, reply.state) == ("", "I")
            assert deployment.told()[-1] == tenant
    async with deployment.caller("", "stale") as caller:
        reply = await caller.query("READ k", 2.0)
        assert reply.code == ""
        assert deployment.told()[-1] == "host-1"


async def refuse_unknown_and_accept_new_keys(deployment):
    with pytest.raises(ReplyLostError, match="ERROR UNKNOWNKEY"):
        await deployment.caller("secret-unknown").__aenter__()
    await deployment.apply(acme=[KEY, NEW_KEY], other=[OTHER_KEY])
    async with deployment.caller(NEW_KEY) as caller:
        assert (await caller.query("READ k", 2.0)).code == ""


async def revoke_in_an_open_transaction(deployment):
    async with deployment.caller(KEY) as caller:
        await caller.query("BEGIN", 2.0)
        assert (await caller.query("WRITE k revoked", 2.0)).code == ""
        await deployment.apply(acme=[NEW_KEY], other=[OTHER_KEY])
        reply = await caller.query("COMMIT", 2.0)
        assert (reply.code, reply.state) == ("UNKNOWNKEY", "I")
        reply = await caller.query("READ k", 2.0)
        assert (reply.code, reply.state) == ("UNKNOWNKEY", "I")
    async with deployment.caller(NEW_KEY) as caller:
        assert (await caller.query("READ k", 2.0)).rows == ("v",)


async def lose_and_regain_the_store(deployment):
    async with deployment.caller(NEW_KEY) as caller:
        deployment.store.is_unavailable = True
        await until(lambda: not deployment.node.tenants.authorizer.is_ready)
        assert not deployment.node.is_ready()
        reply = await caller.query("READ k", 2.0)
        assert (reply.code, reply.state) == ("BUSY", "I")
        with pytest.raises(ReplyLostError, match="ERROR BUSY not run: "):
            await deployment.caller(NEW_KEY).__aenter__()
        deployment.store.is_unavailable = False
        await until(lambda: deployment.node.tenants.authorizer.is_ready)
        assert (await caller.query("READ k", 2.0)).code == ""


async def test_two_hosts_share_the_connections_of_a_relay(tmp_path, monkeypatch):
    """Guards against hosts of a small fleet that exceed an instance's limit."""
    deployment = Deployment(tmp_path, monkeypatch, hosts=2)
    tenants = {f"tenant-{n}": [f"secret-key-{n}"] for n in range(MAX_CONNECTIONS + 2)}
    deployment.configure(**tenants)
    primary = deployment.group.primary
    most = 0
    codes = []

    async def use(node, tenant):
        nonlocal most
        async with deployment.caller(tenants[tenant][0], node=node) as caller:
            for text in ("WRITE k v", "BEGIN", f"WRITE k {tenant}", "COMMIT"):
                codes.append((await caller.query(text, 2.0)).code)
                most = max(most, len(primary.connections))

    async with anyio.create_task_group() as tasks:
        await deployment.run(tasks)
        for _ in range(2):
            for tenant in tenants:
                async with anyio.create_task_group() as callers:
                    for node in deployment.nodes:
                        callers.start_soon(use, node, tenant)
        pools = [node.directory.pools[primary.name] for node in deployment.nodes]
        evicted = sorted(pool.evicted_count for pool in pools)
        is_relay = [
            node.relay_selector.is_relay(node.directory.endpoints[primary.name])
            for node in deployment.nodes
        ]
        tasks.cancel_scope.cancel()
    assert set(codes) == {""}
    assert sorted(is_relay) == [False, True]
    assert evicted[0] == 0
    assert evicted[1] > 0
    assert most <= MAX_CONNECTIONS
    for run in deployment.group.executed_statements:
        expected = run.text.removeprefix("WRITE k ")
        assert run.who in tenants
        assert expected not in tenants or run.who == expected
