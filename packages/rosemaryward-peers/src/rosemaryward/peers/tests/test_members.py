import anyio
import pytest

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
