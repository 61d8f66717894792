import socket

import anyio
import pytest
from anyio.streams.buffered import BufferedByteReceiveStream

from rosemaryward.decisions.clock import boot_time_s
from rosemaryward.decisions.gateway.tests.fakes import GatewayHarness
from rosemaryward.decisions.types import Place
from rosemaryward.platform.settings import HostSettings
from rosemaryward.proxy import platform_node
from rosemaryward.proxy.platform_node import PlatformNode

REMOVAL_S = 0.2  # from the start of the drain until it ends sessions
SLOW_STATEMENT_S = 0.3
TEST_TIMEOUT_S = 10.0
NOT_RUN = ["ERROR BUSY not run: the proxy is shutting down"]
ABANDONED = [
    "ERROR ABORTED the transaction was rolled back: the proxy is shutting down"
]
IDLE = ["READY I -"]
FAILED = ["READY E -"]
BEGUN = ["COMPLETE -", "READY T -"]
ROW = ["DATAROW row", "COMPLETE signed-{}", *IDLE]


def free_port():
    with socket.create_server(("127.0.0.1", 0)) as server:
        return server.getsockname()[1]


def make_settings(port):
    return HostSettings(
        name="proxy-1",
        place=Place("north", "a"),
        regions={},
        caller_address=f"127.0.0.1:{port}",
        readiness_address="127.0.0.1:1",
        peer_address="127.0.0.1:1",
        metrics_address="127.0.0.1:1",
        relay_address="127.0.0.1:1",
        cores=1.0,
        link_mbps=1000.0,
        store_address="127.0.0.1:1",
        promotion_address="127.0.0.1:1",
        grace_s=2.4,
        first_start=False,
    )


def test_node_is_created_before_its_event_loop():
    """Guards against a proxy that ends at its start, outside an event loop."""
    assert not PlatformNode(make_settings(1), None).is_draining


async def raise_error(*arguments):
    raise ValueError("unexpected")


class DrainScenario:
    """Proxy whose callers are served by instances in memory."""

    def __init__(self, monkeypatch):
        self.harness = GatewayHarness()
        self.port = free_port()
        self.node = PlatformNode(make_settings(self.port), None)
        self.node.executor = self.harness.executor
        self.node.environment = self.harness.environment
        self.node.callers.configured.set()
        self.removed = False
        monkeypatch.setattr(platform_node, "LOAD_BALANCER_REMOVAL_S", REMOVAL_S)
        monkeypatch.setattr(self.node.registration, "remove", self._remove)
        run = self.harness.executor.run

        async def run_slowly(request, context):
            if request.statement.text == "READ slow":
                await anyio.sleep(SLOW_STATEMENT_S)
            return await run(request, context)

        monkeypatch.setattr(self.harness.executor, "run", run_slowly)

    async def _remove(self):
        self.removed = True

    async def connect(self):
        """Connect as the load balancer does; the listener may still be starting."""
        while True:
            try:
                return await anyio.connect_tcp("127.0.0.1", self.port)
            except OSError:
                await anyio.sleep(0.01)

    async def start_session(self):
        stream = await self.connect()
        await stream.send(b"STARTUP db u1\r\n")
        assert await stream.receive() == b"READY I -\r\n"
        return stream


async def read_lines(stream, count):
    """Return the next lines; a reset connection raises `BrokenResourceError`."""
    reader = BufferedByteReceiveStream(stream)
    return [
        (await reader.receive_until(b"\r\n", 1 << 16)).decode() for _ in range(count)
    ]


@pytest.mark.parametrize(
    ("steps", "expected", "ran"),
    [
        pytest.param([], NOT_RUN, [], id="idle"),
        pytest.param(
            [(0.3, b"QUERY r1 READ a\r\n")],
            NOT_RUN + IDLE + NOT_RUN,
            [],
            id="statement-crosses-the-end",
        ),
        pytest.param(
            [(0.1, b"QUERY r1 RE"), (0.2, b"AD a\r\n")],
            NOT_RUN + IDLE + NOT_RUN,
            [],
            id="statement-partly-received",
        ),
        pytest.param(
            [(0.1, b"QUERY r1 READ slow\r\nQUERY r2 READ b\r\n")],
            ROW + NOT_RUN + IDLE + NOT_RUN,
            ["READ slow"],
            id="statement-sent-before-the-last-reply",
        ),
        pytest.param(
            [(0.3, b"QUERY r1 WRITE a 1\r\nQUERY r2 READ b\r\n")],
            (NOT_RUN + IDLE) * 2 + NOT_RUN,
            [],
            id="two-statements-cross-the-end",
        ),
        pytest.param(
            [(0.3, b"QUERY r1 BEGIN\r\n"), (0.1, b"QUERY r2 WRITE a 1\r\n")],
            (NOT_RUN + IDLE) * 2 + NOT_RUN,
            [],
            id="transaction-crosses-the-end",
        ),
        pytest.param(
            [(0.1, b"QUERY r1 BEGIN\r\n"), (1.2, b"QUERY r2 WRITE a 1\r\n")],
            [*BEGUN, *ABANDONED, *FAILED, *ABANDONED],
            ["BEGIN", "ROLLBACK"],
            id="statement-crosses-the-end-of-its-transaction",
        ),
        pytest.param(
            [(0.1, b"QUERY r1 BEGIN\r\n"), (1.2, b"QUERY r2 COMMIT\r\n")],
            [*BEGUN, *ABANDONED, *IDLE, *NOT_RUN],
            ["BEGIN", "ROLLBACK"],
            id="commit-crosses-the-end-of-its-transaction",
        ),
    ],
)
async def test_drain_answers_what_callers_have_sent(monkeypatch, steps, expected, ran):
    """Guards against a reset with neither an answer nor a true "not run"."""
    scenario = DrainScenario(monkeypatch)
    with anyio.fail_after(TEST_TIMEOUT_S):
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(scenario.node.caller_server.run)
            stream = await scenario.start_session()
            tasks.start_soon(scenario.node.drain)
            for delay_s, sent in steps:
                await anyio.sleep(delay_s)
                await stream.send(sent)
            lines = await read_lines(stream, len(expected))
            await stream.aclose()
    assert lines == [line.format(1) for line in expected]
    assert scenario.harness.primary.texts() == ran
    assert scenario.removed
    assert not scenario.harness.observer.overdue


@pytest.mark.parametrize(
    ("delay_s", "expected"),
    [
        pytest.param(0.0, IDLE + NOT_RUN, id="before-sessions-end"),
        pytest.param(0.4, NOT_RUN, id="after-sessions-end"),
    ],
)
async def test_drain_answers_start_ups(monkeypatch, delay_s, expected):
    """Guards against a reset while a caller waits for its start-up to be answered."""
    scenario = DrainScenario(monkeypatch)
    with anyio.fail_after(TEST_TIMEOUT_S):
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(scenario.node.caller_server.run)
            stream = await scenario.connect()
            tasks.start_soon(scenario.node.drain)
            await anyio.sleep(delay_s)
            await stream.send(b"STARTUP db u1\r\n")
            assert await read_lines(stream, len(expected)) == expected
            await stream.aclose()
    assert scenario.removed


async def test_drain_ends_although_a_caller_stays_connected(monkeypatch):
    """Guards against waiting for a caller that never disconnects."""
    scenario = DrainScenario(monkeypatch)
    overdue = []
    monkeypatch.setattr(
        scenario.node.statement_log, "closed_by_proxy", lambda *end: overdue.append(end)
    )
    with anyio.fail_after(TEST_TIMEOUT_S):
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(scenario.node.caller_server.run)
            stream = await scenario.start_session()
            await scenario.node.drain()
            assert await read_lines(stream, 1) == NOT_RUN
            with pytest.raises(anyio.EndOfStream):
                await stream.receive()
            await stream.aclose()
    assert [database for database, *_ in overdue] == ["db"]


async def test_silent_store_does_not_delay_the_drain(monkeypatch):
    """Guards against a drain that waits for the store until its grace period ends."""
    scenario = DrainScenario(monkeypatch)
    monkeypatch.setattr(scenario.node.failover_lock, "release", anyio.sleep_forever)
    with anyio.fail_after(scenario.node.settings.grace_s):
        await scenario.node.drain()
    assert scenario.removed


class OpenTransaction:
    """Session whose transaction its caller does not end."""

    def __init__(self):
        self.abandoned_at = None

    def end(self, reason, abandon_transaction=False):
        if abandon_transaction:
            self.abandoned_at = boot_time_s()


async def test_open_transaction_has_the_first_half_of_the_grace_period(monkeypatch):
    """Guards against transactions that a planned stop ends too early."""
    scenario = DrainScenario(monkeypatch)
    node, transaction = scenario.node, OpenTransaction()
    node.sessions.add(transaction)
    monkeypatch.setattr(node.caller_server, "wait_until_idle", anyio.sleep_forever)
    stopped_at = boot_time_s()
    await node.drain()
    assert transaction.abandoned_at - stopped_at >= node.settings.grace_s / 2


async def test_error_in_a_session_does_not_stop_the_server(monkeypatch):
    """Guards against one session whose error cuts all others."""
    scenario = DrainScenario(monkeypatch)
    monkeypatch.setattr(scenario.node.caller_server, "serve", raise_error)
    with anyio.fail_after(TEST_TIMEOUT_S):
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(scenario.node.caller_server.run)
            for _ in range(2):
                stream = await scenario.start_session()
                with pytest.raises(anyio.EndOfStream):
                    await stream.receive()
            tasks.cancel_scope.cancel()
