import anyio
import httpx
import pytest

from rosemaryward.decisions.clock import boot_time_s
from rosemaryward.decisions.gateway.environment import Environment
from rosemaryward.decisions.tenants import Tenant, TenantDirectory
from rosemaryward.platform.configuration import REGISTRATION_PREFIX
from rosemaryward.platform.fakes.documents import (
    encode_registration,
    encode_settings,
)
from rosemaryward.platform.fakes.store import FakeStore
from rosemaryward.platform.settings import read_settings
from rosemaryward.proxy.platform_node import SETTINGS_POLL_INTERVAL_S, PlatformNode

PORTS = [20_000, 20_001, 20_002, 20_003, 20_004]
STORE_PORT = 20_010
OTHER_STORE_PORT = 20_011


def write_settings(path, store_port):
    path.write_bytes(encode_settings("host-1", ("north", "a"), PORTS, store_port, 1))


async def watch_settings(node):
    with anyio.move_on_after(3 * SETTINGS_POLL_INTERVAL_S):
        await node._watch_settings()


@pytest.mark.parametrize(
    ("changed_before", "changed_at"),
    [
        pytest.param("node", 0.0, id="before-node-is-created"),
        pytest.param("watch", 0.0, id="before-watch-starts"),
        pytest.param("poll", SETTINGS_POLL_INTERVAL_S / 2, id="while-watched"),
    ],
)
async def test_settings_change_is_applied_whenever_file_changes(
    tmp_path, changed_before, changed_at
):
    path = tmp_path / "host.json"
    write_settings(path, STORE_PORT)
    settings = read_settings(path)
    if changed_before == "node":
        write_settings(path, OTHER_STORE_PORT)
    node = PlatformNode(settings, path)
    if changed_before == "watch":
        write_settings(path, OTHER_STORE_PORT)
    async with anyio.create_task_group() as tasks:
        tasks.start_soon(watch_settings, node)
        await anyio.sleep(changed_at)
        if changed_before == "poll":
            write_settings(path, OTHER_STORE_PORT)
    assert node.settings.store_address == f"127.0.0.1:{OTHER_STORE_PORT}"


@pytest.mark.parametrize(
    ("checked_s_ago", "answer"),
    [
        pytest.param(0.5, False, id="current"),
        pytest.param(60.0, None, id="behind"),
        pytest.param(float("inf"), None, id="never-checked"),
    ],
)
async def test_old_configuration_does_not_tell_that_a_database_is_unknown(
    tmp_path, checked_s_ago, answer
):
    """Guards against a final error for a database that was added meanwhile."""
    node = make_configured_node(tmp_path)
    node.mirror.current_at = boot_time_s() - checked_s_ago
    assert await node.callers.has_route("added") is answer
    assert await node.callers.has_route("orders") is True


async def test_caller_waits_for_a_configuration_that_is_behind(tmp_path):
    """Guards against rejecting a caller shortly before its database is known."""
    node = make_configured_node(tmp_path)
    answers = []

    async def ask():
        answers.append(await node.callers.has_route("added"))

    async with anyio.create_task_group() as tasks:
        tasks.start_soon(ask)
        await anyio.wait_all_tasks_blocked()
        node.environment = make_environment("orders", "added")
        node.mirror._notify_progress()
    assert answers == [True]


@pytest.mark.parametrize(
    "value",
    [
        pytest.param(b'{"service":' + b"[" * 5000, id="deeply-nested"),
        pytest.param(encode_registration(slots=10**30), id="number"),
        pytest.param(
            encode_registration(address="127.0.0.1:70000"),
            id="port",
        ),
        pytest.param(
            encode_registration(address="127.0.0.1:" + "9" * 5000),
            id="long-port",
        ),
        pytest.param(b"\xff\x00", id="not-json"),
    ],
)
async def test_odd_registration_does_not_stop_the_mirror(tmp_path, value):
    """Guards against an entry of another writer that ends or blinds the proxy."""
    node = make_configured_node(tmp_path)
    server = FakeStore()
    server.put(REGISTRATION_PREFIX + "odd", value)
    server.put(REGISTRATION_PREFIX + "one", encode_registration())
    app = server.create_app(lambda key, stored: stored)
    async with node.store, anyio.create_task_group() as tasks:
        await node.store.client.aclose()
        node.store.client = httpx.AsyncClient(transport=httpx.ASGITransport(app))
        tasks.start_soon(node.mirror.run)
        await node.mirror.loaded.wait()
        server.put(REGISTRATION_PREFIX + "odd-2", value)
        server.put(REGISTRATION_PREFIX + "two", encode_registration())
        with anyio.fail_after(5.0):
            while "two" not in node.directory.endpoints:
                await node.mirror.progressed.wait()
        tasks.cancel_scope.cancel()
    assert set(node.directory.endpoints) == {"one", "two"}


def make_environment(*databases):
    return Environment(
        version=3,
        routes=dict.fromkeys(databases),
        groups={},
        transaction_idle_s=1.0,
    )


def make_configured_node(tmp_path):
    path = tmp_path / "host.json"
    write_settings(path, STORE_PORT)
    node = PlatformNode(read_settings(path), path)
    node.environment = make_environment("orders")
    node.callers.configured.set()
    return node


@pytest.mark.parametrize(
    ("tenants", "weights"),
    [
        pytest.param([Tenant(name="a", rate_per_s=7.0)], [7.0, None], id="rates"),
        pytest.param([Tenant(name="a")], [None, None], id="without-a-rate"),
        pytest.param(None, None, id="no-tenants"),
    ],
)
def test_tenants_share_slots_by_their_rates(tmp_path, tenants, weights):
    """Guards against equal shares for a large and a small tenant."""
    path = tmp_path / "host.json"
    write_settings(path, STORE_PORT)
    node = PlatformNode(read_settings(path), path)
    found = None if tenants is None else TenantDirectory((t, []) for t in tenants)
    node.use_environment(
        Environment(
            version=3, routes={}, groups={}, transaction_idle_s=3.0, tenants=found
        )
    )
    weight_of = node.directory.weights
    assert node.directory.paces_recovery is (tenants is not None)
    if weights is None:
        assert weight_of is None
    else:
        assert [weight_of("a"), weight_of("unknown")] == weights
