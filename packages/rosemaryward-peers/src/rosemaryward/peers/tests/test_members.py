import anyio
import msgspec
import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from rosemaryward.decisions.errors import PeerError
from rosemaryward.decisions.leadership.members import (
    ConfirmationReply,
    ConfirmationRequest,
    FenceReply,
    FenceRequest,
    MemberRecord,
    ReachabilityReply,
    ReachabilityRequest,
    ReleaseReply,
    ReleaseRequest,
)
from rosemaryward.decisions.leadership.records import GroupRecord
from rosemaryward.decisions.types import LogPosition
from rosemaryward.peers.members import LENGTH_BYTES, MemberClient, MemberServer

UNEXPECTED_REQUEST = ReachabilityRequest("i-0")
RECORD = GroupRecord(epoch=2, primary="i-1", serving=True, holder="proxy-1")


NESTED_REQUEST = b"\x82\xa4type\xa5reach\xa4more" + b"\x91" * 5000


async def reply_to(request):
    if request == UNEXPECTED_REQUEST:
        raise LookupError(request.endpoint)
    if isinstance(request, FenceRequest):
        return FenceReply(f"{request.group}-{request.epoch}", LogPosition(3, 7))
    if isinstance(request, ReachabilityRequest):
        return ReachabilityReply(request.endpoint == "i-1")
    if isinstance(request, ReleaseRequest):
        return ReleaseReply(stopped=request.token == 7)
    return ConfirmationReply(0.5, True, False, {"orders": (RECORD, 9)})


async def serve(tasks):
    server = MemberServer("127.0.0.1:0", reply_to)
    listener = await anyio.create_tcp_listener(local_host="127.0.0.1")
    tasks.start_soon(listener.serve, server._serve)
    port = listener.extra(anyio.abc.SocketAttribute.local_port)
    return MemberRecord("proxy-2", f"127.0.0.1:{port}", "inc")


async def test_requests_and_replies():
    """Guards against a request that gets the reply of another type."""
    client = MemberClient()
    async with anyio.create_task_group() as tasks:
        member = await serve(tasks)
        fence = await client.fence(member, FenceRequest("orders", 4))
        assert fence == FenceReply("orders-4", LogPosition(3, 7))
        assert await client.probe_endpoint(member, ReachabilityRequest("i-1"))
        assert not await client.probe_endpoint(member, ReachabilityRequest("i-2"))
        assert await client.release_lock(member, ReleaseRequest(7))
        reply = await client.request_confirmation(member, ConfirmationRequest("inc"))
        assert reply.records == {"orders": (RECORD, 9)}
        tasks.cancel_scope.cancel()


@pytest.mark.parametrize(
    "message",
    [
        pytest.param(b"\xff" * 8, id="too-long"),
        pytest.param((3).to_bytes(LENGTH_BYTES, "big") + b"abc", id="not-a-request"),
        pytest.param(b"\x00", id="cut-off"),
        pytest.param(
            len(NESTED_REQUEST).to_bytes(LENGTH_BYTES, "big") + NESTED_REQUEST,
            id="deeply-nested",
        ),
    ],
)
async def test_malformed_request_ends_only_its_connection(message):
    """Guards against malformed input that stops the server."""
    async with anyio.create_task_group() as tasks:
        member = await serve(tasks)
        host, _, port = member.address.partition(":")
        async with await anyio.connect_tcp(host, int(port)) as stream:
            await stream.send(message)
            await stream.send_eof()
            with pytest.raises((anyio.EndOfStream, anyio.BrokenResourceError)):
                await stream.receive()
        assert await MemberClient().probe_endpoint(member, ReachabilityRequest("i-1"))
        tasks.cancel_scope.cancel()


async def test_unexpected_error_ends_only_its_connection():
    """Guards against one request that ends the process of the server."""
    client = MemberClient()
    async with anyio.create_task_group() as tasks:
        member = await serve(tasks)
        with pytest.raises(PeerError):
            await client.probe_endpoint(member, UNEXPECTED_REQUEST)
        assert await client.probe_endpoint(member, ReachabilityRequest("i-1"))
        tasks.cancel_scope.cancel()


async def test_unreachable_member():
    """Guards against a connection error that is not raised as `PeerError`."""
    with pytest.raises(PeerError):
        await MemberClient().probe_endpoint(
            MemberRecord("proxy-2", "127.0.0.1:1", "inc"), ReachabilityRequest("i-1")
        )


@pytest.mark.parametrize(
    "address",
    [
        "",
        "x",
        ":1",
        "127.0.0.1:",
        "127.0.0.1:70000",
        "127.0.0.1:-1",
        "\0:1",
        "é" * 99 + ":1",
    ],
)
async def test_member_with_an_odd_address_does_not_answer(address):
    """Guards against a registration of another writer that ends the asking task."""
    member = MemberRecord("proxy-2", address, "inc")
    with pytest.raises(PeerError):
        await MemberClient().request_confirmation(member, ConfirmationRequest("inc"))


def encode_reply(fields):
    return msgspec.msgpack.encode({"type": "confirmed", **fields})


odd_numbers = st.sampled_from([-1, 1 << 63, 2.5, float("nan"), -0.5, None, "1", []])
odd_replies = st.binary(max_size=40) | st.dictionaries(
    st.sampled_from(
        ["age_s", "registered", "changing", "records", "revision", "not_asked"]
    ),
    odd_numbers,
    min_size=1,
).map(encode_reply)


@settings(deadline=None, max_examples=60)
@given(body=odd_replies)
def test_odd_reply_of_a_member_counts_as_no_answer(body):
    """Guards against a message that ends the asking task or is taken for an answer."""

    async def answer(stream):
        async with stream:
            await stream.receive()
            await stream.send(len(body).to_bytes(LENGTH_BYTES, "big") + body)

    async def ask():
        listener = await anyio.create_tcp_listener(local_host="127.0.0.1")
        port = listener.extra(anyio.abc.SocketAttribute.local_port)
        member = MemberRecord("proxy-2", f"127.0.0.1:{port}", "inc")
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(listener.serve, answer)
            request = ConfirmationRequest("inc")
            with pytest.raises(PeerError):
                await MemberClient().request_confirmation(member, request)
            tasks.cancel_scope.cancel()

    anyio.run(ask)
