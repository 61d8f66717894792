"""Control requests between members: fencing, records, reachability, confirmations.

These requests are rare. Each one uses a TCP connection of its own, so that an
unresponsive connection cannot delay a fence request.
"""

from collections.abc import Awaitable, Callable

import anyio
import msgspec
import structlog
from anyio.abc import SocketStream
from anyio.streams.buffered import BufferedByteReceiveStream

from rosemaryward.decisions.addresses import split_address
from rosemaryward.decisions.clients import (
    DEFAULT_LIMITS,
    Client,
    ClientLimits,
    ClientState,
    ClientTable,
    FailureLog,
    enforce_limits,
)
from rosemaryward.decisions.clock import boot_time_s
from rosemaryward.decisions.decoding import decode_with
from rosemaryward.decisions.errors import PeerError
from rosemaryward.decisions.leadership.members import (
    ConfirmationReply,
    ConfirmationRequest,
    FenceReply,
    FenceRequest,
    IntroductionReply,
    IntroductionRequest,
    MemberRecord,
    ReachabilityReply,
    ReachabilityRequest,
    RecordAck,
    RecordNotice,
    ReleaseReply,
    ReleaseRequest,
)
from rosemaryward.decisions.links import compress_if_smaller, decompress
from rosemaryward.decisions.mirror import ChangesReply, ChangesRequest
from rosemaryward.peers.clients import admitted, bound_receive_buffers

__all__ = ["MemberClient", "MemberServer", "MemberReply", "MemberRequest"]

REQUEST_TIMEOUT_S = 0.6  # a reachability request includes a probe of an endpoint
# The failover lock, or a change of primary, would wait longer without these replies.
FAILOVER_REQUEST_TIMEOUT_S = 2.0
ARRIVAL_TIMEOUT_S = 2.0  # of a request at a process that is slow
LENGTH_BYTES = 4
COMPRESSED_FLAG = 1 << 31  # bit of the length prefix
MAX_MESSAGE_BYTES = 4 * 1024 * 1024  # fits all values of the store, compressed
MAX_DECOMPRESSED_BYTES = 64 * 1024 * 1024
MAX_REQUEST_BYTES = 1024 * 1024  # decompressed; only replies carry many values
MIN_HELD_BYTES = 1024  # shorter messages expand to 1 MiB at most, for an instant
TRANSFER_TIMEOUT_S = 3.0  # fits a large configuration on a low-bandwidth link

MemberRequest = (
    FenceRequest
    | ReachabilityRequest
    | ConfirmationRequest
    | IntroductionRequest
    | ReleaseRequest
    | RecordNotice
    | ChangesRequest
)
MemberReply = (
    FenceReply
    | ReachabilityReply
    | ConfirmationReply
    | IntroductionReply
    | ReleaseReply
    | RecordAck
    | ChangesReply
)

log = structlog.get_logger(__name__)

_encoder = msgspec.msgpack.Encoder()
_request_decoder: msgspec.msgpack.Decoder[MemberRequest] = msgspec.msgpack.Decoder(
    MemberRequest
)
_reply_decoder: msgspec.msgpack.Decoder[MemberReply] = msgspec.msgpack.Decoder(
    MemberReply
)

_FAILURES = (
    anyio.EndOfStream,
    anyio.IncompleteRead,
    anyio.BrokenResourceError,
    anyio.ClosedResourceError,
    msgspec.DecodeError,
    OSError,
)


class MemberClient:
    """Sends control requests to other members; implements `PeerChannel`."""

    async def fence(self, member: MemberRecord, request: FenceRequest) -> FenceReply:
        """Ask a member to stop using a group's primary; raises `PeerError`."""
        reply = await self._request(member, request, FAILOVER_REQUEST_TIMEOUT_S)
        if not isinstance(reply, FenceReply):
            raise PeerError(f"{member.name}: expected FenceReply, got {reply!r}")
        return reply

    async def send_record(self, member: MemberRecord, notice: RecordNotice) -> None:
        """Send a group's record to a member; raises `PeerError`."""
        await self._request(member, notice)

    async def probe_endpoint(
        self, member: MemberRecord, request: ReachabilityRequest
    ) -> bool:
        """Ask a member whether an endpoint answers; raises `PeerError`."""
        reply = await self._request(member, request)
        return isinstance(reply, ReachabilityReply) and reply.answered

    async def release_lock(self, member: MemberRecord, request: ReleaseRequest) -> bool:
        """Ask the last holder of the failover lock to stop; raises `PeerError`."""
        reply = await self._request(member, request)
        return isinstance(reply, ReleaseReply) and reply.stopped

    async def request_confirmation(
        self, member: MemberRecord, request: ConfirmationRequest
    ) -> ConfirmationReply:
        """Ask a member what the store last confirmed to it; raises `PeerError`."""
        reply = await self._request(member, request)
        if not isinstance(reply, ConfirmationReply):
            raise PeerError(f"{member.name}: expected ConfirmationReply, got {reply!r}")
        return reply

    async def introduce(
        self, member: MemberRecord, request: IntroductionRequest
    ) -> IntroductionReply:
        """Make a new process known to a member; raises `PeerError`."""
        reply = await self._request(member, request, FAILOVER_REQUEST_TIMEOUT_S)
        if not isinstance(reply, IntroductionReply):
            raise PeerError(f"{member.name}: expected IntroductionReply, got {reply!r}")
        return reply

    async def request_changes(
        self, member: MemberRecord, request: ChangesRequest
    ) -> ChangesReply:
        """Ask a member for changes of the store's values; raises `PeerError`."""
        reply = await self._request(
            member, request, request.wait_s + TRANSFER_TIMEOUT_S
        )
        if not isinstance(reply, ChangesReply):
            raise PeerError(f"{member.name}: expected ChangesReply, got {reply!r}")
        return reply

    async def _request(
        self,
        member: MemberRecord,
        request: MemberRequest,
        timeout_s: float = REQUEST_TIMEOUT_S,
    ) -> MemberReply:
        try:
            host, port = split_address(member.address)
            with anyio.fail_after(timeout_s):
                async with await anyio.connect_tcp(host, port) as stream:
                    await _send(stream, request)
                    return decode_with(_reply_decoder.decode, await _receive(stream))
        except (TimeoutError, ValueError, *_FAILURES) as error:
            raise PeerError(f"{member.name}: {error!r}") from error


class MemberServer:
    """Accepts connections of other members and replies to their requests.

    Parameters
    ----------
    address : str
        Address to listen on, ``host:port``.
    handler : callable
        Returns the reply to a request.
    limits : ClientLimits, optional
        Limits on the connections of all members.
    """

    def __init__(
        self,
        address: str,
        handler: Callable[[MemberRequest], Awaitable[MemberReply]],
        limits: ClientLimits = DEFAULT_LIMITS.control,
    ) -> None:
        self.address = address
        self.handler = handler
        self.clients = ClientTable(limits, boot_time_s)
        self.failures = FailureLog()

    async def run(self) -> None:
        """Serve requests until cancelled."""
        host, _, port = self.address.rpartition(":")
        listener = await anyio.create_tcp_listener(
            local_host=host, local_port=int(port)
        )
        bound_receive_buffers(listener)
        async with listener, anyio.create_task_group() as tasks:
            tasks.start_soon(enforce_limits, self.clients, "control")
            await listener.serve(self._serve)

    async def _serve(self, stream: SocketStream) -> None:
        try:
            async with stream:
                with admitted(self.clients) as client:
                    await self._answer(stream, client)
        except (TimeoutError, PeerError, *_FAILURES) as error:
            self.failures.record("member request failed", error)
        except Exception:  # one failed request must not stop the server
            log.exception("member request failed unexpectedly")

    async def _answer(self, stream: SocketStream, client: Client) -> None:
        with anyio.fail_after(ARRIVAL_TIMEOUT_S):
            data = await _receive(stream, MAX_REQUEST_BYTES, client)
            request = decode_with(_request_decoder.decode, data)
        client.enter(ClientState.SERVING)
        reply = await self.handler(request)
        client.enter(ClientState.SENDING)
        await _send(stream, reply)


async def _send(stream: SocketStream, message: MemberRequest | MemberReply) -> None:
    body, compressed = compress_if_smaller(_encoder.encode(message))
    length = len(body) | (COMPRESSED_FLAG if compressed else 0)
    await stream.send(length.to_bytes(LENGTH_BYTES, "big") + body)


async def _receive(
    stream: SocketStream,
    maximum: int = MAX_DECOMPRESSED_BYTES,
    client: Client | None = None,
) -> bytes:
    """Return a message of at most `maximum` bytes, counted for a client."""
    reader = BufferedByteReceiveStream(stream)
    header = int.from_bytes(await reader.receive_exactly(LENGTH_BYTES), "big")
    length = header & ~COMPRESSED_FLAG
    if length > MAX_MESSAGE_BYTES:
        raise PeerError(
            f"message length: expected at most {MAX_MESSAGE_BYTES} bytes, got {length}"
        )
    if length > maximum:
        raise PeerError(f"request: expected at most {maximum} bytes, got {length}")
    expanded = maximum if header & COMPRESSED_FLAG else length
    if client is not None and length > MIN_HELD_BYTES and not client.hold(expanded):
        raise PeerError("the memory for requests is in use")
    body = await reader.receive_exactly(length)
    if not header & COMPRESSED_FLAG:
        return body
    try:
        return decompress(body, maximum)
    except ValueError as error:
        raise PeerError(f"compressed message: {error}") from error
