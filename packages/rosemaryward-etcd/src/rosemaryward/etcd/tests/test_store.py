import contextlib
import json
from base64 import b64decode, b64encode

import anyio
import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from rosemaryward.decisions.errors import ConflictError, StoreError
from rosemaryward.etcd import EtcdStore, HttpHostList
from rosemaryward.etcd.wire import prefix_end

HOST = {
    "host_id": "p1",
    "host": "10.0.0.1",
    "statement_port": 1,
    "gossip_port": 2,
    "region": "r",
    "failure_domain": "a",
    "leaving": True,
}


class FakeGateway:
    """Key-value store on a loopback port that can drop replies."""

    def __init__(self):
        self.values = {}
        self.revision = 10
        self.replies_to_lose = 0
        self.hosts = [HOST]
        self.changed = anyio.Event()

    def put(self, key, value):
        self.revision += 1
        self.values[key] = (value, self.revision)
        self.changed.set()
        self.changed = anyio.Event()

    def found(self, key):
        if key not in self.values:
            return {}
        value, revision = self.values[key]
        kv = {"key": key, "value": value, "mod_revision": str(revision)}
        return {"kvs": [kv], "count": "1"}

    def range(self, body):
        if "range_end" not in body:
            return {"header": self.header(), **self.found(body["key"])}
        low, high = b64decode(body["key"]), b64decode(body["range_end"])
        keys = [k for k in self.values if low <= b64decode(k) < high]
        return {"header": self.header(), "kvs": [self.found(k)["kvs"][0] for k in keys]}

    def txn(self, body):
        (compare,) = body["compare"]
        current = self.values.get(compare["key"], ("", 0))[1]
        if current != int(compare["mod_revision"]):
            found = {"response_range": self.found(compare["key"])}
            return {"header": self.header(), "responses": [found]}
        change = body["success"][0]["request_put"]
        self.put(change["key"], change["value"])
        return {"header": self.header(), "succeeded": True}

    def header(self):
        return {"revision": str(self.revision)}

    async def serve(self, stream):
        async with stream:
            buffer = b""
            while True:
                while b"\r\n\r\n" not in buffer:
                    buffer += await stream.receive()
                head, _, buffer = buffer.partition(b"\r\n\r\n")
                length = 0
                for line in head.lower().split(b"\r\n"):
                    if line.startswith(b"content-length:"):
                        length = int(line.split(b":")[1])
                while len(buffer) < length:
                    buffer += await stream.receive()
                path = head.split()[1].decode()
                body = json.loads(buffer[:length] or b"{}")
                buffer = buffer[length:]
                if path == "/v3/watch":
                    await self.watch(stream, body["create_request"])
                    return
                answer = self.answer(path, body)
                if self.replies_to_lose and path == "/v3/kv/txn":
                    self.replies_to_lose -= 1
                    return
                data = json.dumps(answer).encode()
                await stream.send(
                    b"HTTP/1.1 200 OK\r\ncontent-length: %d\r\n\r\n" % len(data) + data
                )

    def answer(self, path, body):
        if path == "/v3/kv/put":
            self.put(body["key"], body["value"])
        handlers = {"/v3/kv/range": self.range, "/v3/kv/txn": self.txn}
        handler = handlers.get(path)
        return handler(body) if handler else (self.hosts if path == "/hosts" else {})

    async def watch(self, stream, request):
        await stream.send(b"HTTP/1.1 200 OK\r\nconnection: close\r\n\r\n")
        await stream.send(b'{"result":{"created":true}}\n')
        seen = int(request["start_revision"]) - 1
        while True:
            found = self.found(request["key"]).get("kvs", [])
            for kv in found:
                if int(kv["mod_revision"]) > seen:
                    seen = int(kv["mod_revision"])
                    line = json.dumps({"result": {"events": [{"kv": kv}]}}).encode()
                    await stream.send(line[:20])
                    await stream.send(line[20:] + b"\n")
            await self.changed.wait()


@contextlib.asynccontextmanager
async def running_gateway():
    gateway = FakeGateway()
    listener = await anyio.create_tcp_listener(local_host="127.0.0.1")

    async def handle(stream):
        with contextlib.suppress(anyio.EndOfStream, anyio.BrokenResourceError):
            await gateway.serve(stream)

    async with anyio.create_task_group() as tasks:
        tasks.start_soon(listener.serve, handle)
        port = listener.extra(anyio.abc.SocketAttribute.local_port)
        gateway.url = f"http://127.0.0.1:{port}"
        yield gateway
        tasks.cancel_scope.cancel()


async def test_store_round_trip():
    """Guards against wrong base64, versions or prefix bounds in requests."""
    async with running_gateway() as gateway, EtcdStore(gateway.url) as store:
        assert await store.get("/a/x") is None
        first = await store.compare_and_swap("/a/x", b"\x00one", 0)
        await store.put("/b", b"other")
        found = await store.get("/a/x")
        assert (found.value, found.version) == (b"\x00one", first)
        assert [value.key for value in await store.list("/a/")] == ["/a/x"]
        with pytest.raises(ConflictError):
            await store.compare_and_swap("/a/x", b"two", 0)


@pytest.mark.parametrize("lost", [1, 2])
async def test_lost_reply_is_resolved_by_a_read(lost):
    """Guards against reporting a conflict for a change that took effect."""
    async with running_gateway() as gateway, EtcdStore(gateway.url) as store:
        gateway.replies_to_lose = lost
        version = await store.compare_and_swap("/k", b"v1", 0)
        assert (await store.get("/k")).version == version


async def test_lost_reply_then_other_writer():
    """Guards against reporting success when another writer's value is in force."""
    async with running_gateway() as gateway, EtcdStore(gateway.url) as store:
        gateway.replies_to_lose = 1
        name = b64encode(b"/k").decode()
        original = gateway.txn

        def txn_then_other_write(body):
            answer = original(body)
            gateway.put(name, b64encode(b"theirs").decode())
            return answer

        gateway.txn = txn_then_other_write
        with pytest.raises(ConflictError):
            await store.compare_and_swap("/k", b"mine", 0)


async def test_watch_yields_value_and_changes():
    """Guards against missing a change between the first read and the watch."""
    async with running_gateway() as gateway, EtcdStore(gateway.url) as store:
        await store.put("/k", b"1")
        seen = []
        async for value in store.watch("/k"):
            seen.append(value.value)
            if len(seen) == 3:
                break
            await store.put("/k", str(len(seen) + 1).encode())
        assert seen == [b"1", b"2", b"3"]


async def test_idle_watch_is_reopened():
    """Guards against a watch on a dead connection and against duplicate values."""
    async with (
        running_gateway() as gateway,
        EtcdStore(gateway.url, watch_idle_s=0.05) as store,
    ):
        await store.put("/k", b"1")
        seen = []

        async def watch():
            async for value in store.watch("/k"):
                seen.append(value.value)

        async with anyio.create_task_group() as tasks:
            tasks.start_soon(watch)
            while store.calls < 8:  # noqa: ASYNC110
                await anyio.sleep(0.01)
            await store.put("/k", b"2")
            while len(seen) < 2:  # noqa: ASYNC110
                await anyio.sleep(0.01)
            tasks.cancel_scope.cancel()
        assert seen == [b"1", b"2"]
        assert store.failures == 0


async def test_store_unreachable():
    """Guards against transport errors that are not raised as `StoreError`."""
    async with EtcdStore("http://127.0.0.1:9", timeout_s=0.2) as store:
        with pytest.raises(StoreError):
            await store.get("/k")
        with pytest.raises(StoreError):
            async for _ in store.watch("/k"):
                pass
        assert store.failures == 2


async def test_host_list():
    """Guards against a host list decoded wrongly or without type checks."""
    async with (
        running_gateway() as gateway,
        HttpHostList(f"{gateway.url}/hosts", 1.0) as hosts,
    ):
        (host,) = await hosts.fetch()
        assert (host.host_id, host.leaving) == ("p1", True)
        gateway.hosts = [{"host_id": 3}]
        assert await hosts.fetch() == []
        assert hosts.rejected_hosts == 1
        gateway.hosts = {"host_id": 3}
        with pytest.raises(StoreError):
            await hosts.fetch()


@pytest.mark.parametrize(
    ("prefix", "end"),
    [(b"/a/", b"/a0"), (b"a\xff", b"b"), (b"\xff", b"\x00")],
)
def test_prefix_end(prefix, end):
    """Guards against a prefix listing with missing or additional keys."""
    assert prefix_end(prefix) == end


json_values = st.recursive(
    st.none() | st.integers() | st.sampled_from([10**400, -1]) | st.text(max_size=8),
    lambda inner: (
        st.lists(inner, max_size=2)
        | st.dictionaries(
            st.sampled_from(["key", "value", "mod_revision", "host"]), inner, max_size=3
        )
    ),
    max_leaves=4,
)
GOOD = {"key": "L2EveA==", "value": "b25l", "mod_revision": "4"}


@settings(deadline=None, max_examples=40)
@given(odd=st.lists(json_values, max_size=4))
def test_odd_entries_cost_nothing_but_themselves(odd):
    """Guards against a listing that one entry of another writer ends."""
    not_text = {"key": "/w==", "value": "", "mod_revision": "3"}

    async def read():
        async with (
            running_gateway() as gateway,
            EtcdStore(gateway.url) as store,
            HttpHostList(f"{gateway.url}/hosts") as hosts,
        ):
            gateway.range = lambda body: {"kvs": [*odd, not_text, GOOD]}
            gateway.hosts = [*odd, HOST | {"gossip_port": 10**30}, HOST]
            return await store.list("/a/"), await hosts.fetch()

    values, found = anyio.run(read)
    assert (values[-1].key, values[-1].value) == ("/a/x", b"one")
    assert [host.host_id for host in found] == ["p1"]
