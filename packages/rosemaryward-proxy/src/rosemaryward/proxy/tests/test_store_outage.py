"""How soon all that the store holds is in force after it turned a proxy away."""

import asyncio
from random import Random

import anyio
import httpx
import msgspec
import pytest

from rosemaryward.decisions.clock import boot_time_s
from rosemaryward.decisions.leadership.records import GroupRecord
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
from rosemaryward.proxy.platform_keys import GROUP_PREFIX, LIVENESS_PREFIX
from rosemaryward.proxy.platform_node import PlatformNode

PROXIES = 4
OUTAGE_S = 8.0
MAX_CALLS = 10.0  # a call that may be stale counts as a tenth
END_INTERVAL_S = 0.37  # between the ends of the outages of two proxies
GIVE_UP_S = 8.0
LATE_S = 1.6  # longer than the proxies wait for an answer
POLL_S = 0.02
STATUS_BY_KIND = {"unavailable": 503, "too-many-requests": 429}


class Gate:
    """Address of the store for one proxy, which the store may turn away."""

    def __init__(self, app):
        transport = httpx.ASGITransport(app)
        self.client = httpx.AsyncClient(transport=transport, base_url="http://store")
        self.outage = ""
        self.outages = 0
        self.calls = {"watch": 0, "stale": 0, "other": 0}

    async def open(self):
        server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        return server, server.sockets[0].getsockname()[1]

    def turn_away(self, kind):
        self.outage = kind
        self.outages += 1

    def admit(self, kind):
        """End an outage; the watches of one that only watches have go on failing."""
        if not kind.endswith("-watch"):
            self.outage = ""

    def _count(self, target):
        kind = "watch" if "kv-watch" in target else "other"
        self.calls["stale" if "allow_stale=1" in target else kind] += 1

    async def _serve(self, reader, writer):
        try:
            while True:
                head = (await reader.readuntil(b"\r\n\r\n")).decode()
                outages = self.outages
                method, target, _ = head.split(" ", 2)
                size = [
                    int(line.partition(":")[2])
                    for line in head.lower().split("\r\n")
                    if line.startswith("content-length")
                ]
                body = await reader.readexactly(size[0]) if size else b""
                self._count(target)
                kind = self.outage.removesuffix("-watch")
                if kind != self.outage and "kv-watch" not in target:
                    kind = ""
                if kind == "silent":
                    await asyncio.sleep(60.0)
                if kind == "late":
                    await asyncio.sleep(LATE_S)
                if kind in ("silent", "reset"):
                    writer.transport.abort()
                    return
                status = STATUS_BY_KIND.get(kind)
                if status is None:
                    answer = await self.client.request(method, target, content=body)
                    status, body = answer.status_code, answer.content
                else:
                    body = b""
                if outages != self.outages:  # lost with a call from before the outage
                    await reader.read()
                    return
                length = f"HTTP/1.1 {status} X\r\nContent-Length: {len(body)}\r\n\r\n"
                writer.write(length.encode() + body)
                await writer.drain()
        except (OSError, asyncio.IncompleteReadError):
            pass
        finally:
            writer.close()


class TurnedAwayProxy:
    """Tasks of a proxy that use the store, with a store and a gate of its own."""

    def __init__(self, folder, number, bounds):
        self.number = number
        self.name = f"host-{number}"
        self.server = FakeStore()
        self.path = folder / f"{self.name}.json"
        self.bounds = bounds
        self.gate = Gate(self.server.create_app(lambda key, value: value))
        self.calls = {}
        self.took_s = {}

    async def play(self, outages, starts_turned_away):
        """Record what was in force how long after the last outage."""
        put_values(self.server, 1)
        listener, port = await self.gate.open()
        self.path.write_bytes(
            encode_settings(
                self.name, ("n", "a"), [1, 2, 3, 4, 5], port, 6, self.bounds
            )
        )
        node = PlatformNode(read_settings(self.path), self.path)
        self.shortest_bound_s = node.settings.shortest_bound_s
        # Other members pass on what the store says.
        node.confirmation.relayed_at = float("inf")
        async with listener, node.store, anyio.create_task_group() as tasks:
            if starts_turned_away:
                self.gate.turn_away(outages[0][0])
            tasks.start_soon(self.server.expire_leases)
            tasks.start_soon(node.store_retry.run)
            tasks.start_soon(node.mirror.run)
            tasks.start_soon(node.registration.run, node.mirror)
            if not starts_turned_away:
                await wait_until(lambda: self.is_registered(node))
                await anyio.sleep(END_INTERVAL_S * self.number)
            calls = dict(self.gate.calls)
            for number, (kind, duration_s) in enumerate(outages):
                self.gate.turn_away(kind)
                await anyio.sleep(duration_s / 2)
                put_values(self.server, number + 2)
                await anyio.sleep(duration_s / 2 + END_INTERVAL_S * self.number)
                self.gate.admit(kind)
                ended_at = boot_time_s()
                await anyio.sleep(POLL_S)
            self.calls = {k: n - calls[k] for k, n in self.gate.calls.items()}
            await self.record_recovery(node, ended_at, len(outages) + 1)
            tasks.cancel_scope.cancel()

    async def record_recovery(self, node, ended_at, version):
        """Record after how many seconds the values of a version are in force."""
        records = node.leadership.records
        pending = {
            "configuration": lambda: node.environment.version == version,
            "leaving": lambda: "one" in node.directory.leaving_since,
            "primary": lambda: records and records["orders"].epoch == version,
            "registration": lambda: (
                self.is_registered(node) and node.confirmation.read_at > ended_at
            ),
        }
        while pending and boot_time_s() < ended_at + GIVE_UP_S:
            for subject in [s for s, is_known in pending.items() if is_known()]:
                del pending[subject]
                self.took_s[subject] = boot_time_s() - ended_at
            await anyio.sleep(POLL_S)
        self.took_s.update(dict.fromkeys(pending, float("inf")))

    def is_registered(self, node):
        is_live = LIVENESS_PREFIX + self.name in self.server.items
        return is_live and node.environment.version > 0


async def wait_until(condition):
    """Wait until a condition holds; fail after 5 s."""
    for _ in range(round(5.0 / POLL_S)):
        if condition():
            return
        await anyio.sleep(POLL_S)
    raise TimeoutError


@pytest.fixture
def longest_jitter(monkeypatch):
    """Let each random delay be the longest one."""
    monkeypatch.setattr(Random, "uniform", lambda random, low, high: high)


def put_values(server, version):
    """Write a configuration, an endpoint and a primary record."""
    configuration = encode_configuration(version, "orders", 32)
    server.put(CONFIGURATION_KEY, configuration)
    state = "ready" if version == 1 else "draining"
    server.put(REGISTRATION_PREFIX + "one", encode_registration(state=state))
    record = GroupRecord(epoch=version, primary="one", serving=True, holder="h")
    server.put(GROUP_PREFIX + "orders", msgspec.json.encode(record))


@pytest.mark.parametrize(
    ("outages", "bounds", "starts_turned_away"),
    [
        pytest.param([("silent", OUTAGE_S)], {}, False, id="no-answer"),
        pytest.param(
            [("silent", OUTAGE_S)], {"config_apply_ms": 2000}, False, id="short-bound"
        ),
        pytest.param([("silent", 0.2)], {}, False, id="cut-short"),
        pytest.param([("silent", 1.0)] * 4, {}, False, id="series"),
        pytest.param([("silent", 3.0)], {}, True, id="at-the-start"),
        pytest.param([("reset", OUTAGE_S)], {}, False, id="reset"),
        pytest.param([("late", OUTAGE_S)], {}, False, id="late-answers"),
        pytest.param([("unavailable", OUTAGE_S)], {}, False, id="status-503"),
        pytest.param([("too-many-requests", OUTAGE_S)], {}, False, id="status-429"),
        pytest.param([("silent-watch", 0.2)], {}, False, id="watch-no-answer"),
        pytest.param([("unavailable-watch", 0.2)], {}, False, id="watch-status-503"),
    ],
)
async def test_changes_are_in_force_within_the_bounds_after_an_outage(
    tmp_path, outages, bounds, starts_turned_away, longest_jitter
):
    """Guards against old configurations at a proxy that the store answers again."""
    settings = {"stable_ms": 4000, "config_apply_ms": 3000, **bounds}
    proxies = [TurnedAwayProxy(tmp_path, n, settings) for n in range(PROXIES)]
    async with anyio.create_task_group() as plays:
        for proxy in proxies:
            plays.start_soon(proxy.play, outages, starts_turned_away)
    for proxy in proxies:
        print(proxy.name, proxy.calls, proxy.took_s)
    for proxy in proxies:
        assert max(proxy.took_s.values()) <= proxy.shortest_bound_s
        cost = sum(proxy.calls.values()) - 0.9 * proxy.calls["stale"]
        assert cost <= MAX_CALLS * len(outages)
