import contextlib
import socket
from pathlib import Path

import anyio
import pynng
import pytest

from rosemaryward.decisions.errors import PeerError
from rosemaryward.decisions.messages import (
    Member,
    MemberState,
    Pull,
    PullReply,
)
from rosemaryward.decisions.types import Place
from rosemaryward.peers import gossip
from rosemaryward.peers.gossip import GossipTls, GossipTransport


def free_port():
    with socket.socket() as probe:
        probe.bind(("127.0.0.1", 0))
        return probe.getsockname()[1]


def member(port):
    place = Place("r", "a")
    return Member(f"p{port}", 1, MemberState.ALIVE, place, "127.0.0.1", 0, port)


async def reply_to(request):
    if request.config_version == 13:
        raise RuntimeError("handler failure")
    return PullReply(config_version=request.config_version + 1)


async def ask(transport, port, version=1, timeout_s=5.0):
    reply = await transport.request(
        member(port), Pull(version, False, False), timeout_s
    )
    return reply.config_version


async def test_many_requests_at_once():
    """Guards against replies assigned to the wrong request."""
    port = free_port()
    async with GossipTransport("127.0.0.1", port, reply_to) as transport:
        replies = {}

        async def one(version):
            replies[version] = await ask(transport, port, version)

        async with anyio.create_task_group() as tasks:
            for version in range(100, 150):
                tasks.start_soon(one, version)
        assert replies == {version: version + 1 for version in range(100, 150)}
        assert transport.dials == 1


@pytest.mark.parametrize(
    "data", [b"", b"\xc1", b"\x93\xa1z", b"\x94\xa1l\xa11\xc2\xc2", b"\xa2\xff\xff"]
)
async def test_malformed_message_is_counted(data):
    """Guards against a malformed message that stops the listener."""
    port = free_port()
    async with GossipTransport("127.0.0.1", port, reply_to) as transport:
        with pynng.Req0(dial=f"tcp://127.0.0.1:{port}", recv_timeout=50) as raw:
            for _ in range(gossip.REPLY_CONTEXTS + 1):
                await raw.asend(data)
                with pytest.raises(pynng.Timeout):
                    await raw.arecv()
        assert transport.malformed_messages == gossip.REPLY_CONTEXTS + 1
        assert await ask(transport, port) == 2


async def test_failing_handler_and_too_long_message(monkeypatch):
    """Guards against a failing handler or a huge message that stops the listener."""
    port = free_port()
    monkeypatch.setattr(gossip, "MAX_MESSAGE_BYTES", 1000)
    async with GossipTransport("127.0.0.1", port, reply_to) as transport:
        with pytest.raises(PeerError):
            await ask(transport, port, version=13, timeout_s=0.2)
        with pynng.Req0(dial=f"tcp://127.0.0.1:{port}", recv_timeout=100) as raw:
            await raw.asend(b"x" * 2000)
            with pytest.raises(pynng.Timeout):
                await raw.arecv()
        assert transport.handler_failures == 1
        assert transport.malformed_messages == 0
        assert await ask(transport, port) == 2


async def test_restarted_peer_is_reached_again():
    """Guards against a broken socket that stays in the cache."""
    port = free_port()
    async with GossipTransport("127.0.0.1", free_port(), reply_to) as transport:
        with pytest.raises(PeerError):
            await ask(transport, port, timeout_s=0.1)
        async with GossipTransport("127.0.0.1", port, reply_to):
            assert await ask(transport, port) == 2
        with pytest.raises(PeerError):
            await ask(transport, port, timeout_s=0.1)


async def test_socket_cache_is_bounded(monkeypatch):
    """Guards against an open socket to every member of a large cluster."""
    monkeypatch.setattr(gossip, "MAX_SOCKETS", 2)
    ports = [free_port() for _ in range(4)]
    async with contextlib.AsyncExitStack() as stack:
        transports = [GossipTransport("127.0.0.1", port, reply_to) for port in ports]
        for transport in transports:
            await stack.enter_async_context(transport)
        for port in ports * 2:
            assert await ask(transports[0], port) == 2
        assert len(transports[0]._sockets) == 2
    with pytest.raises(PeerError, match="closed"):
        await ask(transports[0], ports[1])


async def test_mutual_tls():
    """Guards against a listener that accepts peers without a certificate."""
    files = Path(__file__).with_name(
        "peers_test.pem"
    )  # key pair used by this test only
    tls = GossipTls(
        ca_file=str(files), certificate_file=str(files), server_name="peers.test"
    )
    port, plain_port = free_port(), free_port()
    async with (
        GossipTransport("127.0.0.1", port, reply_to, tls) as transport,
        GossipTransport("127.0.0.1", plain_port, reply_to) as plain,
    ):
        assert await ask(transport, port) == 2
        with pytest.raises(PeerError):
            await ask(plain, port, timeout_s=0.3)
        assert transport.malformed_messages == 0
