import socket

import anyio
import pytest

from rosemaryward.decisions.errors import OutcomeUnknownError, PeerError
from rosemaryward.decisions.gateway.statements import (
    AdmissionParameters,
    Statement,
    StatementKind,
)
from rosemaryward.decisions.gateway.tests.fakes import FAR, GatewayHarness
from rosemaryward.decisions.leadership.members import MemberRecord
from rosemaryward.decisions.relays.messages import Answered, RunRequest, Unanswered
from rosemaryward.decisions.relays.service import RelayService
from rosemaryward.peers import relays
from rosemaryward.peers.relays import SILENCE_TIMEOUT_S, RelayClient, RelayServer

READ = Statement("r1", StatementKind.READ, "READ k")


def request(statement=READ):
    admission = AdmissionParameters(1, "caller", "db", 5.0, 1)
    return RunRequest("i-1", statement, {}, None, None, admission)


def free_port():
    with socket.socket() as probe:
        probe.bind(("127.0.0.1", 0))
        return probe.getsockname()[1]


class Pair:
    """Client of a proxy and server of a relay, connected over loopback."""

    def __init__(self):
        self.harness = GatewayHarness()
        self.service = RelayService(
            self.harness.directory,
            self.harness.leadership,
            self.harness.selector.group_samples,
        )
        address = f"127.0.0.1:{free_port()}"
        self.server = RelayServer(address, self.service)
        self.member = MemberRecord("proxy-2", "", "inc-2", address, FAR, 10.0)
        self.lost = []
        self.lost_event = anyio.Event()
        self.client = RelayClient("proxy-1", self)
        self.readmitted = anyio.Event()

    def avoid(self, member, reason, leaving=False):
        self.lost.append((member, reason, leaving))
        self.lost_event.set()

    def readmit(self, member):
        self.readmitted.set()

    def is_live(self, member):
        return True

    async def start(self, tasks):
        """Start both sides and return the connection to the relay."""
        tasks.start_soon(self.server.run)
        tasks.start_soon(self.client.run)
        with anyio.fail_after(2):
            while True:
                await anyio.sleep(0.01)
                try:
                    return await self.client.link(self.member)
                except PeerError:
                    continue


async def test_lost_relay_is_reached_again_in_the_background(monkeypatch):
    """Guards against statements that wait for a relay which cannot be reached."""
    monkeypatch.setattr(relays, "PROBE_INTERVAL_S", 0.05)
    pair = Pair()
    async with anyio.create_task_group() as tasks:
        tasks.start_soon(pair.client.run)
        await anyio.wait_all_tasks_blocked()
        with pytest.raises(PeerError):
            await pair.client.link(pair.member)
        with anyio.fail_after(2):
            await pair.lost_event.wait()  # a further attempt has failed
            assert not pair.readmitted.is_set()
            tasks.start_soon(pair.server.run)
            await pair.readmitted.wait()
        assert not (await pair.client.link(pair.member)).transport.broken
        tasks.cancel_scope.cancel()


async def test_new_connection_to_a_leaving_relay_is_told_so():
    """Guards against a proxy that connects to a relay while it drains."""
    pair = Pair()
    pair.server.leave()
    async with anyio.create_task_group() as tasks:
        await pair.start(tasks)
        with anyio.fail_after(2):
            await pair.lost_event.wait()
        tasks.cancel_scope.cancel()
    assert (pair.member, "leaving", True) in pair.lost


async def test_many_statements_on_one_connection():
    """Guards against a reply assigned to another statement."""
    pair = Pair()
    replies = {}
    async with anyio.create_task_group() as tasks:
        link = await pair.start(tasks)

        async def ask(number):
            statement = Statement(f"r{number}", StatementKind.READ, f"READ k{number}")
            replies[number] = await link.request(request(statement))

        async with anyio.create_task_group() as requests:
            for number in range(20):
                requests.start_soon(ask, number)
        tasks.cancel_scope.cancel()
    assert all(isinstance(reply, Answered) for reply in replies.values())
    signatures = {reply.answer.signature for reply in replies.values()}
    assert len(signatures) == 20


async def test_silent_relay_is_lost(monkeypatch):
    """Guards against waiting for a relay that is suspended or unreachable."""
    pair = Pair()
    async with anyio.create_task_group() as tasks:
        listener = await anyio.create_tcp_listener(local_host="127.0.0.1")
        port = listener.extra(anyio.abc.SocketAttribute.local_port)
        member = MemberRecord("proxy-3", "", "inc-3", f"127.0.0.1:{port}", FAR, 10.0)
        tasks.start_soon(pair.client.run)
        await anyio.wait_all_tasks_blocked()
        link = await pair.client.link(member)
        with anyio.fail_after(SILENCE_TIMEOUT_S + 2.0):
            with pytest.raises(OutcomeUnknownError, match="no reply to a ping"):
                await link.request(request())
            await pair.lost_event.wait()
        tasks.cancel_scope.cancel()
        await listener.aclose()
    assert pair.lost[0][0] == member


async def test_slow_statement_does_not_lose_the_relay():
    """Guards against giving up a relay that is waiting for an endpoint."""
    pair = Pair()
    async with anyio.create_task_group() as tasks:
        link = await pair.start(tasks)
        pool = pair.harness.pool(pair.harness.primary)
        pool.queue.set_slots(1)
        async with (
            anyio.create_task_group() as requests,
            pool.queue.slot(1, "other", "db", 5.0),
        ):
            requests.start_soon(link.request, request())
            await anyio.sleep(SILENCE_TIMEOUT_S * 3)
        tasks.cancel_scope.cancel()
    assert pair.lost == []
    assert pair.harness.primary.texts() == ["READ k"]


async def test_unexpected_error_is_reported_and_keeps_the_relay_running(monkeypatch):
    """Guards against one failed request that stops the relay for all proxies."""
    pair = Pair()

    def fail(endpoint_id, admission):
        raise KeyError(endpoint_id)

    async with anyio.create_task_group() as tasks:
        link = await pair.start(tasks)
        with monkeypatch.context() as patched:
            patched.setattr(pair.service, "find_pool", fail)
            assert isinstance(await link.request(request()), Unanswered)
        assert isinstance(await link.request(request()), Answered)
        tasks.cancel_scope.cancel()


async def test_leaving_relay_notifies_the_proxies():
    """Guards against statements sent to a relay that already refuses them."""
    pair = Pair()
    async with anyio.create_task_group() as tasks:
        link = await pair.start(tasks)
        await link.request(request())
        pair.server.leave()
        with anyio.fail_after(2):
            await pair.lost_event.wait()
        tasks.cancel_scope.cancel()
    assert pair.lost == [(pair.member, "leaving", True)]


@pytest.mark.parametrize(
    "data",
    [
        pytest.param(b"proxy-9\n" + b"\xff" * 64, id="frame-too-long"),
        pytest.param(
            b"proxy-9\n" + (12).to_bytes(4, "big") + bytes(9) + b"abc", id="no-request"
        ),
    ],
)
async def test_malformed_request_ends_only_its_connection(data):
    """Guards against a faulty peer that stops the relay for all others."""
    pair = Pair()
    async with anyio.create_task_group() as tasks:
        link = await pair.start(tasks)
        host, _, port = pair.member.relay_address.rpartition(":")
        async with await anyio.connect_tcp(host, int(port)) as stream:
            await stream.send(data)
            with anyio.fail_after(2), pytest.raises(anyio.EndOfStream):
                await stream.receive()
        assert isinstance(await link.request(request()), Answered)
        tasks.cancel_scope.cancel()
