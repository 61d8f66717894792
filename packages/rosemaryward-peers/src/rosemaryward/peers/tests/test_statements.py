import ssl

import anyio
import pytest
import trustme

from rosemaryward.decisions.errors import NotRunError, OutcomeUnknownError, PeerError
from rosemaryward.decisions.links import LinkShaper
from rosemaryward.decisions.messages import (
    Execute,
    Member,
    MemberState,
    OutcomeUnknown,
    StatementResult,
)
from rosemaryward.decisions.types import EndpointId, Place
from rosemaryward.peers.frames import (
    FRAGMENT_BYTES,
    FrameReader,
    split_frames,
)
from rosemaryward.peers.statements import StatementClient, StatementServer

NEAR, FAR = Place("north", "n1"), Place("south", "s1")


def _member(server, place=NEAR):
    return Member("b", 1, MemberState.ALIVE, place, "127.0.0.1", server.port, 0)


def _execute(sql, rank=0):
    return Execute(EndpointId("db", "a"), sql, False, rank, 1.0)


async def _echo(sender, message):
    return StatementResult(rows=[[message.sql, sender]])


def _serve(handler, disconnected=None, **options):
    return StatementServer(
        "127.0.0.1",
        0,
        handler,
        ([] if disconnected is None else disconnected).append,
        region="north",
        **options,
    )


async def test_each_request_gets_its_own_reply():
    """Guards against out-of-order replies assigned to another request."""
    first_may_reply = anyio.Event()

    async def handler(sender, message):
        if message.sql == "0":
            await first_may_reply.wait()
        elif message.sql == "19":
            first_may_reply.set()
        return StatementResult(rows=[[message.sql]])

    replies = {}
    async with _serve(handler) as server, StatementClient("a", "north") as client:

        async def ask(number):
            reply = await client.request(_member(server), _execute(str(number)), 5.0)
            replies[number] = reply.rows[0][0]

        async with anyio.create_task_group() as group:
            for number in range(20):
                group.start_soon(ask, number)
    assert replies == {number: str(number) for number in range(20)}


async def test_late_reply_is_discarded():
    """Guards against a late reply assigned to the next request."""
    release = anyio.Event()

    async def handler(sender, message):
        if message.sql == "slow":
            await release.wait()
        return StatementResult(rows=[[message.sql]])

    async with _serve(handler) as server, StatementClient("a", "north") as client:
        with pytest.raises(OutcomeUnknownError):
            await client.request(_member(server), _execute("slow"), 0.05)
        release.set()
        reply = await client.request(_member(server), _execute("next"), 5.0)
    assert reply.rows == [["next"]]


async def test_broken_connection_is_unknown_and_reported():
    """Guards against reporting a statement that was sent as not run."""
    disconnected, received = [], anyio.Event()

    async def handler(sender, message):
        received.set()
        await anyio.sleep_forever()

    errors = []
    async with StatementClient("a", "north") as client:

        async def ask(target):
            try:
                await client.request(target, _execute("x"), 5.0)
            except OutcomeUnknownError as error:
                errors.append(error)

        async with (
            anyio.create_task_group() as group,
            _serve(handler, disconnected) as server,
        ):
            target = _member(server)
            group.start_soon(ask, target)
            await received.wait()
        assert len(errors) == 1
        assert disconnected == ["a"]
        with pytest.raises(NotRunError):
            await client.request(target, _execute("x"), 5.0)


async def test_long_reply_over_the_link_between_regions():
    """Guards against results truncated or corrupted by fragments and compression."""
    text = "leaf mould " * 100_000

    async def handler(sender, message):
        return StatementResult(rows=[[text]])

    link = LinkShaper(8e9)
    async with (
        _serve(handler, link=link) as server,
        StatementClient("a", "south", LinkShaper(8e9)) as client,
    ):
        reply = await client.request(_member(server), _execute("x", rank=2), 5.0)
    assert reply.rows == [[text]]
    sent = sum(link.traffic.totals.values())
    assert 0 < sent < len(text) / 10


async def test_handler_exception_is_an_unknown_outcome():
    """Guards against an exception in one request that stops the server."""

    async def handler(sender, message):
        raise ZeroDivisionError

    async with _serve(handler) as server, StatementClient("a", "north") as client:
        reply = await client.request(_member(server), _execute("x"), 5.0)
        assert isinstance(reply, OutcomeUnknown)
        assert isinstance(
            await client.request(_member(server), _execute("y"), 5.0), OutcomeUnknown
        )


def _contexts(authority, name="rosemaryward"):
    identity = authority.issue_cert(name)
    server = ssl.SSLContext(ssl.PROTOCOL_TLS_SERVER)
    client = ssl.SSLContext(ssl.PROTOCOL_TLS_CLIENT)
    for context in (server, client):
        identity.configure_cert(context)
        authority.configure_trust(context)
    server.verify_mode = ssl.CERT_REQUIRED
    return server, client


@pytest.mark.parametrize(
    ("known", "encrypted"),
    [
        pytest.param(True, True, id="known-authority"),
        pytest.param(False, True, id="other-authority"),
        pytest.param(True, False, id="no-tls"),
    ],
)
async def test_peer_without_credentials_is_rejected(known, encrypted):
    """Guards against running statements of peers without a valid certificate."""
    requests = []

    async def handler(sender, message):
        requests.append(message)
        return StatementResult()

    own, other = trustme.CA(), trustme.CA()
    server_context, _ = _contexts(own)
    _, client_context = _contexts(own if known else other)
    own.configure_trust(client_context)
    client = StatementClient(
        "a",
        "north",
        tls=client_context if encrypted else None,
        server_name="rosemaryward",
    )
    async with _serve(handler, tls=server_context) as server, client:
        if known and encrypted:
            reply = await client.request(_member(server), _execute("x"), 5.0)
            assert isinstance(reply, StatementResult)
            return
        with pytest.raises((NotRunError, OutcomeUnknownError)):
            await client.request(_member(server), _execute("x"), 5.0)
    assert requests == []


@pytest.mark.parametrize(
    "data",
    [
        pytest.param(b"\xff" * 300, id="no-hello"),
        pytest.param(b"a north\n" + b"\xff" * 64, id="length-out-of-range"),
        pytest.param(
            b"a north\n" + b"".join(split_frames(1, b"\xc1garbage")), id="no-message"
        ),
    ],
)
async def test_malformed_input_ends_only_its_connection(data):
    """Guards against malformed input that stops the server for all other peers."""
    async with _serve(_echo) as server, StatementClient("a", "north") as client:
        async with await anyio.connect_tcp("127.0.0.1", server.port) as stream:
            await stream.send(data)
            with pytest.raises(anyio.EndOfStream):
                await stream.receive()
        reply = await client.request(_member(server), _execute("x"), 5.0)
        assert (reply.rows, server.rejected_connections) == ([["x", "a"]], 1)


@pytest.mark.parametrize(
    "size",
    [0, 1, FRAGMENT_BYTES - 1, FRAGMENT_BYTES, FRAGMENT_BYTES + 1, 3 * FRAGMENT_BYTES],
)
def test_fragments_are_reassembled(size):
    """Guards against an off-by-one error at the end of a fragment."""
    payload = bytes(range(256)) * (size // 256 + 1)
    payload = payload[:size]
    reader = FrameReader()
    stream = b"".join(split_frames(7, payload)) + b"".join(split_frames(8, b"x"))
    found = []
    for start in range(0, len(stream), 1000):
        found += reader.feed(stream[start : start + 1000])
    assert found == [(7, payload), (8, b"x")]
    assert not reader.incomplete


def test_oversized_message_is_rejected():
    """Guards against memory exhaustion by a message that never ends."""
    reader = FrameReader(max_message_bytes=2 * FRAGMENT_BYTES)
    stream = b"".join(split_frames(1, b"x" * (4 * FRAGMENT_BYTES)))
    with pytest.raises(PeerError, match="longer"):
        list(reader.feed(stream))
