"""Crowds of misbehaving clients at the addresses of a proxy for MySQL clients.

Each test guards against a process that ends, hangs or outgrows its machine. The crowds
are still connected when the ordinary request is made.
"""

import contextlib
from contextlib import AsyncExitStack, asynccontextmanager

import anyio
import asyncmy.errors
import httpx
import pytest

from rosemaryward.bench.client_limits.crowd import (
    REFUSALS,
    Crowd,
    ProcessMonitor,
    reset_connections,
)
from rosemaryward.bench.client_limits.mysql import command, login, packet, read_packet
from rosemaryward.bench.client_limits.tests.support import (
    MIB,
    RESET_DATA,
    check_bounds,
    exclusive,
    in_background,
    kill,
)
from rosemaryward.bench.clients import CONNECT_ERRORS, connect
from rosemaryward.bench.instance.tests.support import run
from rosemaryward.bench.launch.tests import test_proxy_signals
from rosemaryward.bench.launch.tests.test_proxy_signals import COUNT, run_proxy

HOST = "127.0.0.1"
MEMORY_MIB = 384
"""Limit in the environment; an idle process takes 81 MiB."""
MAX_FDS = 500
ANSWER_TIMEOUT_S = 20.0
TRY_TIMEOUT_S = 3.0
LONGEST_PACKET = 16 * MIB - 1
ANNOUNCED = (15 * MIB).to_bytes(3, "little")
PIECE_BYTES = 16 * 1024
ACCOUNT = {"user": "orders", "password": "orders-example", "database": "orders_1"}

pytestmark = pytest.mark.timeout(300)  # includes the wait for the others


@pytest.fixture(scope="module")
def running_proxy(tmp_path_factory):
    """Run one proxy for all tests, since a start takes longer than most crowds."""
    document = test_proxy_signals.DOCUMENT.replace(
        "limits: {{connections: 10}}", "limits: {{connections: 1000}}"
    )
    folder = tmp_path_factory.mktemp("proxy")
    with exclusive(tmp_path_factory), pytest.MonkeyPatch.context() as patch:
        patch.setenv("ROSEMARYWARD_MEMORY_MB", str(MEMORY_MIB))
        patch.setenv("ROSEMARYWARD_MAX_FDS", str(MAX_FDS))
        patch.setattr(test_proxy_signals, "DOCUMENT", document)
        with in_background(lambda: run_proxy(folder)) as proxy:
            yield proxy
            kill(proxy.child)


@pytest.fixture
async def proxy(running_proxy):
    """Measure the proxy during a test."""
    async with ProcessMonitor(running_proxy.child.pid) as running_proxy.monitor:
        yield running_proxy


def port_of(proxy, name):
    """Return the port that a flag of the proxy's command gives."""
    flag = f"--{name}-port="
    (text,) = (x for x in proxy.child.process.args if x.startswith(flag))
    return int(text.removeprefix(flag))


async def check_service(proxy):
    """Check the bounds and an ordinary request, while the crowd is connected."""
    await wait_for_answer(proxy)
    check_bounds(proxy.child, proxy.monitor, MEMORY_MIB, MAX_FDS)


async def wait_for_answer(proxy):
    """Make an ordinary request, which a caller repeats if it is refused."""
    with anyio.fail_after(ANSWER_TIMEOUT_S):
        while True:
            proxy.child.require_running()
            with (
                anyio.move_on_after(TRY_TIMEOUT_S),
                contextlib.suppress(*CONNECT_ERRORS, asyncmy.errors.Error),
            ):
                assert await proxy.run(COUNT) == [(0,)]
                return
            await anyio.sleep(0.1)


@asynccontextmanager
async def callers(proxy, size):
    """Open sessions of callers that are logged in."""

    async def log_in(reader, writer):
        with contextlib.suppress(*REFUSALS):
            greeting = read_packet(await reader.read(1024))
            writer.write(login(greeting, **ACCOUNT))
            await reader.read(1024)

    async with Crowd(proxy.port, size) as crowd:
        await crowd.run_all(log_in)
        yield crowd


async def test_longest_packet_is_served_without_pressure(proxy):
    """Guards against a memory limit that refuses a single packet of legal size."""
    connection = await connect(host=HOST, port=proxy.port, autocommit=True, **ACCOUNT)
    padding = "x" * (LONGEST_PACKET - len(COUNT) - 10)
    with pytest.raises(asyncmy.errors.Error, match="characters"):
        await run(connection, f"/* {padding} */ {COUNT}")
    assert await run(connection, COUNT) == [(0,)]
    padding = "x" * (4 * MIB - len(COUNT) - 10)
    assert await run(connection, f"/* {padding} */ {COUNT}") == [(0,)]
    connection.close()
    await check_service(proxy)


async def test_packets_announced_long_before_login(proxy):
    async with Crowd(proxy.port, 80) as crowd:
        await crowd.send([ANNOUNCED + b"\1", *[b"p" * MIB] * 8])
        await check_service(proxy)


async def test_packets_that_stop_after_login(proxy):
    async with callers(proxy, 80) as crowd:
        await crowd.send([ANNOUNCED + b"\0", *[b"p" * MIB] * 8])
        await check_service(proxy)


async def test_many_long_packets_in_one_piece(proxy):
    message = command("SELECT '" + "x" * (15 * MIB) + "'")
    async with callers(proxy, 40) as crowd:
        await crowd.send([message, message])
        await check_service(proxy)


async def test_many_long_packets_in_small_pieces(proxy):
    message = command("SELECT '" + "x" * (15 * MIB) + "'")
    pieces = [message[n : n + PIECE_BYTES] for n in range(0, len(message), PIECE_BYTES)]
    async with callers(proxy, 40) as crowd:
        await crowd.send(pieces)
        await check_service(proxy)


async def test_commands_ahead_without_reading(proxy):
    async with callers(proxy, 16) as crowd:
        await crowd.send([command("SELECT 1") * 10_000])
        await check_service(proxy)


async def test_crowd_that_stops_before_login(proxy):
    async with Crowd(proxy.port, 1000):
        await anyio.sleep(1.5)
        await check_service(proxy)


async def test_crowd_that_sends_byte_by_byte(proxy):
    async with callers(proxy, 600) as crowd:
        await crowd.send([b"\5", b"\0"], pause_s=0.5)
        await check_service(proxy)


async def test_crowd_that_stops_in_a_transaction(proxy):
    async with callers(proxy, 1000) as crowd:
        await crowd.send([command("BEGIN")])
        await check_service(proxy)


async def test_crowd_that_stops_in_an_answer(proxy):
    statement = command("SELECT '" + "x" * MIB + "'")
    async with callers(proxy, 100) as crowd:
        await crowd.send([statement] * 8)
        await crowd.receive_slowly(2, 0.5)
        await check_service(proxy)


async def test_silent_crowds_at_internal_addresses(proxy):
    async with AsyncExitStack() as stack:
        for name in ("admin", "statement"):
            await stack.enter_async_context(Crowd(port_of(proxy, name), 600))
        await anyio.sleep(0.5)
        await check_service(proxy)


@pytest.mark.parametrize("data", RESET_DATA)
@pytest.mark.parametrize("name", ["mysql", "admin", "statement", "gossip"])
async def test_connections_that_are_reset_at_once(proxy, name, data):
    """Guards against a process that ends by the reset of a connection."""
    await reset_connections(port_of(proxy, name), 200, data)
    await check_service(proxy)


async def test_silent_crowd_at_the_gossip_address(proxy):
    async with Crowd(port_of(proxy, "gossip"), 600):
        await anyio.sleep(0.5)
        await check_service(proxy)


async def test_incomplete_requests_of_operators(proxy):
    header = b"PUT /v1/configuration HTTP/1.1\r\nHost: a\r\n"
    body = header + b"Content-Length: 16777216\r\n\r\n"
    async with (
        Crowd(port_of(proxy, "admin"), 80) as first,
        Crowd(port_of(proxy, "admin"), 80) as second,
    ):
        await first.send([header + b"A: " + b"h" * MIB])
        await second.send([body, *[b"b" * MIB] * 8])
        async with httpx.AsyncClient(timeout=ANSWER_TIMEOUT_S) as client:
            url = f"http://{HOST}:{port_of(proxy, 'admin')}/metrics"
            with anyio.fail_after(ANSWER_TIMEOUT_S):
                while not await answers(client, url):  # noqa: ASYNC110
                    await anyio.sleep(0.1)
        await check_service(proxy)


async def answers(client, url):
    with contextlib.suppress(httpx.HTTPError):
        return (await client.get(url)).status_code < httpx.codes.INTERNAL_SERVER_ERROR
    return False


async def test_incomplete_statements_of_peers(proxy):
    size = 64 * 1024
    header = (size + 9).to_bytes(4, "big") + (1).to_bytes(8, "big") + b"\x01"
    frame = header + b"f" * size
    async with Crowd(port_of(proxy, "statement"), 32) as crowd:
        await crowd.send([b"entry-9 north\n", *[frame] * 256])
        await check_service(proxy)


async def test_incomplete_gossip_messages(proxy):
    handshake = b"\0SP\0\0\x30\0\0"  # protocol of a requester
    length = (3 * MIB - 1).to_bytes(8, "big")
    async with Crowd(port_of(proxy, "gossip"), 120) as crowd:
        await crowd.send([handshake, length, *[b"g" * MIB] * 2])
        await anyio.sleep(0.5)
        await check_service(proxy)


def test_packet_of_a_statement():
    """Guards the crowds against packets that a server cannot read."""
    assert command("SELECT 1") == packet(b"\x03SELECT 1")
