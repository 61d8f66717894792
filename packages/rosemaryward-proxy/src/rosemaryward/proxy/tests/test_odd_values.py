"""Values of other writers cost nothing but themselves, whatever is in them."""

import json

import anyio
import httpx
import msgspec
import pytest
from hypothesis import HealthCheck, given, settings
from hypothesis import strategies as st

from rosemaryward.decisions.leadership.failover_lock import LockRecord
from rosemaryward.decisions.leadership.members import MemberRecord
from rosemaryward.decisions.leadership.records import GroupRecord
from rosemaryward.decisions.leadership.replica_sets import ReplicaSetRecord
from rosemaryward.decisions.mirror import Listing, StoredValue, make_revision
from rosemaryward.platform.configuration import (
    CONFIGURATION_KEY,
    REGISTRATION_PREFIX,
)
from rosemaryward.platform.fakes.documents import (
    encode_configuration,
    encode_registration,
    encode_settings,
)
from rosemaryward.platform.fakes.store import FakeStore
from rosemaryward.platform.settings import read_settings
from rosemaryward.proxy.platform_keys import (
    FAILOVER_LOCK_KEY,
    GROUP_PREFIX,
    LIVENESS_PREFIX,
    MEMBER_PREFIX,
    REPLICA_SET_PREFIX,
)
from rosemaryward.proxy.platform_node import PlatformNode

LAST_ACQUISITION_KEY = "last-" + FAILOVER_LOCK_KEY
READERS_KEY = "rosemaryward-readers"
HUGE = 10**400
BORN = 1_700_000_000_000
MEMBER = MemberRecord("host-2", "127.0.0.1:5000", "inc-2")
RECORD = GroupRecord(epoch=1, primary="one", serving=True, holder="host-2")
LOCK = LockRecord("host-2", "inc-2")
GOOD_VALUES = {
    CONFIGURATION_KEY: encode_configuration(1, "orders", 32),
    REGISTRATION_PREFIX + "one": encode_registration(born=BORN),
    MEMBER_PREFIX + "host-2": msgspec.json.encode(MEMBER),
    LIVENESS_PREFIX + "host-2": b"inc-2",
    GROUP_PREFIX + "orders": msgspec.json.encode(RECORD),
    REPLICA_SET_PREFIX + "orders": msgspec.json.encode(ReplicaSetRecord({"one": "a"})),
    FAILOVER_LOCK_KEY: msgspec.json.encode(LOCK),
    LAST_ACQUISITION_KEY: msgspec.json.encode(LOCK),
    READERS_KEY: b'{"readers":[]}',
}
PREFIXES = [key.rpartition("/")[0] + "/" if "/" in key else key for key in GOOD_VALUES]

json_values = st.recursive(
    st.none()
    | st.booleans()
    | st.integers()
    | st.sampled_from([HUGE, -HUGE, 1 << 63, -1, 0])
    | st.floats(allow_nan=False, allow_infinity=False)
    | st.text(max_size=20),
    lambda inner: (
        st.lists(inner, max_size=3)
        | st.dictionaries(st.text(max_size=8), inner, max_size=3)
    ),
    max_leaves=6,
)


@st.composite
def altered_values(draw):
    """Draw a good value with another value in one of its fields, or without it."""
    value = json.loads(
        draw(st.sampled_from([v for v in GOOD_VALUES.values() if v[:1] == b"{"]))
    )
    field = draw(st.sampled_from(sorted(value)))
    if draw(st.booleans()):
        value[field] = draw(json_values)
    else:
        del value[field]
    return json.dumps(value).encode()


odd_values = (
    st.binary(max_size=40)
    | json_values.map(lambda value: json.dumps(value).encode())
    | st.sampled_from([b"[" * 5000, b'{"a":' * 5000, encode_registration(born=HUGE)])
    | altered_values()
)
odd_keys = st.builds(
    str.__add__,
    st.sampled_from(PREFIXES),
    st.sampled_from(["odd", "a/b", "é", "x" * 150]) | st.text(min_size=1, max_size=10),
)
odd_entries = st.lists(st.tuples(odd_keys, odd_values), max_size=8)


def make_node(folder):
    path = folder / "host.json"
    path.write_bytes(encode_settings("host-1", ("n", "a"), [1, 2, 3, 4, 5], 6, 7))
    return PlatformNode(read_settings(path), path)


def is_in_force(node):
    """Return whether the good values are in force at a proxy."""
    return (
        node.environment.version == 1
        and "one" in node.directory.endpoints
        and node.members.members.get("host-2") == MEMBER
        and "host-2" in node.members.alive
        and node.leadership.records["orders"] == RECORD
        and node.replica_sets.endpoints("orders") == {"one": "a"}
        and node.failover_lock.record == LOCK
        and node.reader_directory.published is not None
    )


def use_values(node):
    """Run what other tasks do with all known values at intervals."""
    node.directory.remove_expired()
    node.directory.accepts_statements("one")
    node.members.members_to_fence()
    node.members.live_members()
    node.relay_selector.connection_cap("orders")
    node.rejected_values.counts.get("")
    node.metrics.set_rejected_values(node.rejected_values.counts)
    node.metrics.render()


@settings(
    deadline=None,
    max_examples=150,
    suppress_health_check=[HealthCheck.function_scoped_fixture],
)
@given(before=odd_entries, after=odd_entries)
def test_odd_values_cost_nothing_but_themselves(tmp_path, before, after):
    """Guards against an entry of another writer that hides others or ends a task."""
    node = make_node(tmp_path)
    revision = make_revision(1, 10)
    node.directory.mark_listed()
    for key, value in [*before, *GOOD_VALUES.items(), *after]:
        revision += 1
        node.mirror._apply_write(StoredValue(key, value, revision))
    assert is_in_force(node)
    values = [StoredValue(key, value, 1) for key, value in [*before, *after]]
    node.registration.record_store_read(1.0, Listing(values, revision))
    use_values(node)
    for key, _ in [*before, *after]:
        node.mirror._apply_removal(key, revision + 1)
    assert is_in_force(node)


@settings(
    deadline=None,
    max_examples=150,
    suppress_health_check=[HealthCheck.function_scoped_fixture],
)
@given(key=st.sampled_from(sorted(GOOD_VALUES)), value=odd_values)
def test_odd_value_in_place_of_a_good_one_can_be_replaced(tmp_path, key, value):
    """Guards against a key that cannot be written any more, and a task that ends."""
    node = make_node(tmp_path)
    revision = make_revision(1, 10)
    for number, (good_key, good) in enumerate(GOOD_VALUES.items()):
        node.mirror._apply_write(StoredValue(good_key, good, revision + number))
    revision += 100
    node.mirror._apply_write(StoredValue(key, value, revision))
    expected = {
        MEMBER_PREFIX + "host-2": lambda: node.members.revisions["host-2"],
        GROUP_PREFIX + "orders": lambda: node.leadership.revisions["orders"],
        REPLICA_SET_PREFIX + "orders": lambda: node.replica_sets.revisions["orders"],
        FAILOVER_LOCK_KEY: lambda: node.failover_lock.revision,
        LAST_ACQUISITION_KEY: lambda: node.failover_lock.last_acquisition,
        READERS_KEY: lambda: node.reader_directory.revision,
    }
    if key in expected:
        assert expected[key]() == revision
    use_values(node)
    # A process that registers again writes its liveness key as well.
    for good_key in (key, LIVENESS_PREFIX + "host-2"):
        stored = StoredValue(good_key, GOOD_VALUES[good_key], revision + 1)
        node.mirror._apply_write(stored)
    assert is_in_force(node)


async def test_odd_values_do_not_delay_a_leaving_endpoint(tmp_path):
    """Guards against one second without the store for each of the odd entries."""
    server = FakeStore()
    for key, value in GOOD_VALUES.items():
        server.put(key, value)
    app = server.create_app(lambda key, value: value)
    node = make_node(tmp_path)
    async with node.store, anyio.create_task_group() as tasks:
        await node.store.client.aclose()
        node.store.client = httpx.AsyncClient(transport=httpx.ASGITransport(app))
        tasks.start_soon(node.mirror.run)
        await node.mirror.loaded.wait()
        node.directory.mark_listed()
        odd = encode_registration(service="other", born=HUGE)
        for number in range(300):
            server.put(f"{REGISTRATION_PREFIX}db-{number}", odd)
        leaving = encode_registration(state="draining", born=BORN)
        server.put(REGISTRATION_PREFIX + "one", leaving)
        with anyio.fail_after(1.0):
            while "one" not in node.directory.leaving_since:
                await node.mirror.progressed.wait()
        tasks.cancel_scope.cancel()
    assert node.rejected_values.counts == {REGISTRATION_PREFIX: 300}
    assert node.rejected_values.suppressed >= 270


async def test_odd_value_does_not_stop_a_registration(tmp_path):
    """Guards against a proxy that is never ready again once its key was replaced."""
    server = FakeStore()
    app = server.create_app(lambda key, value: value)
    node = make_node(tmp_path)
    key = MEMBER_PREFIX + "host-1"
    async with node.store, anyio.create_task_group() as tasks:
        await node.store.client.aclose()
        node.store.client = httpx.AsyncClient(transport=httpx.ASGITransport(app))
        tasks.start_soon(node.mirror.run)
        await node.mirror.loaded.wait()
        await node.registration._renew(node.mirror)
        registration = server.items[key].value
        server.put(key, b"\xff")
        with anyio.fail_after(2.0):
            while not node.members.unreadable:
                await node.mirror.progressed.wait()
        await node.registration._renew(node.mirror)
        tasks.cancel_scope.cancel()
    assert server.items[key].value == registration


@pytest.mark.parametrize("kind", ["list", "watch"])
@settings(
    deadline=None,
    max_examples=60,
    suppress_health_check=[HealthCheck.function_scoped_fixture],
)
@given(odd=st.lists(json_values, max_size=6), value=json_values)
def test_odd_items_of_an_answer_cost_nothing_but_themselves(tmp_path, kind, odd, value):
    """Guards against a listing or a watch that one item of the store ends."""
    item = {"key": "servers/one", "value": "e30=", "revision": 7}
    items = [*odd, item, {"key": "servers/two", "value": value, "revision": 8}]
    field = "items" if kind == "list" else "events"
    content = json.dumps({field: items, "more_pages": False, "as_of": 9}).encode()
    node = make_node(tmp_path)

    async def read():
        async with node.store as store:
            await store.client.aclose()
            store.client = httpx.AsyncClient(
                transport=httpx.MockTransport(
                    lambda request: httpx.Response(200, content=content)
                )
            )
            if kind == "list":
                return (await store.list("")).values
            store.generation = 0
            return (await store.watch("", 1, 1.0)).written

    values = anyio.run(read)
    assert StoredValue("servers/one", b"{}", 7) in values
