"""Connections between proxies and relays.

A relay that is suspended or cut off sends no reset, so a proxy that waits for a reply
asks it for a sign of life.
"""

from collections.abc import Callable

import anyio
import msgspec
import structlog
from anyio.abc import SocketStream, TaskGroup

from rosemaryward.decisions.clock import boot_time_s
from rosemaryward.decisions.errors import OutcomeUnknownError, PeerError
from rosemaryward.decisions.leadership.members import MemberRecord
from rosemaryward.decisions.links import LinkPurpose
from rosemaryward.decisions.relays.messages import (
    Leaving,
    Ping,
    Pong,
    RelayReply,
    RelayRequest,
    Unanswered,
)
from rosemaryward.decisions.relays.service import RelayService, RelaySession
from rosemaryward.decisions.types import Rank
from rosemaryward.peers.frames import FrameReader
from rosemaryward.peers.multiplex import RECEIVE_SIZE, MultiplexedConnection
from rosemaryward.peers.outbox import Outbox

__all__ = ["RelayClient", "RelayServer"]

CONNECT_TIMEOUT_S = 0.4
REQUEST_LIMIT_S = 30.0  # the caller's own timeout ends a request sooner
PING_AFTER_S = 0.1
PING_INTERVAL_S = 0.1
SILENCE_S = 0.3  # several turns of a processor that is given in quotas
NOTICE_ID = 0

log = structlog.get_logger(__name__)

_encoder = msgspec.msgpack.Encoder()
_request_decoder: msgspec.msgpack.Decoder[RelayRequest] = msgspec.msgpack.Decoder(
    RelayRequest
)
_reply_decoder: msgspec.msgpack.Decoder[RelayReply] = msgspec.msgpack.Decoder(
    RelayReply
)


def _decode_reply(payload: bytes) -> RelayReply:
    try:
        return _reply_decoder.decode(payload)
    except msgspec.DecodeError as error:
        raise PeerError(f"malformed reply of a relay: {error}") from error


class _Link:
    """Connection to one relay, watched while it owes a reply."""

    __slots__ = ("connection", "member", "name", "on_lost")

    def __init__(
        self,
        stream: SocketStream,
        member: MemberRecord,
        on_lost: Callable[[MemberRecord, str, bool], None],
    ) -> None:
        self.member = member
        self.name = member.name
        self.on_lost = on_lost
        self.connection: MultiplexedConnection[RelayReply] = MultiplexedConnection(
            stream, None, _decode_reply, self._note
        )

    async def run(self) -> None:
        """Serve requests until the relay is lost."""
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(self._watch, tasks)
            await self.connection.run()
            tasks.cancel_scope.cancel()
        self.on_lost(self.member, "connection ended", False)

    async def request(self, message: RelayRequest) -> RelayReply:
        """Return the reply; raises `OutcomeUnknownError` if the relay is lost."""
        if self.connection.broken:
            raise OutcomeUnknownError("connection ended")
        return await self.connection.request(
            _encoder.encode(message), _rank_of(message), REQUEST_LIMIT_S
        )

    def post(self, message: RelayRequest) -> None:
        """Send a request that has no reply."""
        self.connection.post(_encoder.encode(message), _rank_of(message))

    def _note(self, message: RelayReply) -> None:
        if isinstance(message, Leaving):
            self.on_lost(self.member, "leaving", True)

    async def _watch(self, tasks: TaskGroup) -> None:
        """End the connection when a relay that owes a reply shows no sign of life."""
        connection = self.connection
        pinged_at = float("-inf")
        while True:
            await anyio.sleep(PING_INTERVAL_S)
            if connection.oldest_request_s() < PING_AFTER_S:
                pinged_at = float("-inf")
            elif connection.heard_at >= pinged_at:
                pinged_at = boot_time_s()
                self.post(Ping())
            elif boot_time_s() - pinged_at >= SILENCE_S:
                log.warning("relay silent", relay=self.member.name)
                connection.fail("no sign of life")
                tasks.cancel_scope.cancel()


class RelayClient:
    """Connections to relays, opened on first use; implements `RelayLinkProvider`.

    Parameters
    ----------
    name : str
        Name of this proxy.
    on_lost : callable
        Called with the member, the reason and whether it is leaving.
    """

    def __init__(
        self, name: str, on_lost: Callable[[MemberRecord, str, bool], None]
    ) -> None:
        self.name = name
        self.on_lost = on_lost
        self.links: dict[str, _Link] = {}
        self.connecting: dict[str, anyio.Lock] = {}
        self.tasks: TaskGroup | None = None

    async def run(self) -> None:
        """Serve the connections until cancelled."""
        async with anyio.create_task_group() as self.tasks:
            await anyio.sleep_forever()

    async def link(self, member: MemberRecord) -> _Link:
        """Return the connection to a relay; raises `PeerError`."""
        link = self.links.get(member.incarnation)
        if link is not None and not link.connection.broken:
            return link
        async with self.connecting.setdefault(member.incarnation, anyio.Lock()):
            link = self.links.get(member.incarnation)
            if link is None or link.connection.broken:
                link = await self._connect(member)
        return link

    async def _connect(self, member: MemberRecord) -> _Link:
        if self.tasks is None:
            raise PeerError(f"{member.name}: not started")
        host, _, port = member.relay_address.rpartition(":")
        try:
            with anyio.fail_after(CONNECT_TIMEOUT_S):
                stream = await anyio.connect_tcp(host, int(port))
                await stream.send(f"{self.name}\n".encode())
        except (TimeoutError, OSError, anyio.BrokenResourceError) as error:
            raise PeerError(f"{member.name}: {error!r}") from error
        link = _Link(stream, member, self.on_lost)
        for incarnation, other in list(self.links.items()):
            if other.connection.broken:
                del self.links[incarnation]
                self.connecting.pop(incarnation, None)
        self.links[member.incarnation] = link
        self.tasks.start_soon(link.run)
        log.info("relay connected", relay=member.name, address=member.relay_address)
        return link


class RelayServer:
    """Serves the statements of other proxies.

    Parameters
    ----------
    address : str
        ``host:port``.
    service : RelayService
    """

    def __init__(self, address: str, service: RelayService) -> None:
        self.address = address
        self.service = service
        self.outboxes: set[Outbox] = set()
        self.tasks: TaskGroup | None = None

    async def run(self) -> None:
        """Serve until cancelled."""
        host, _, port = self.address.rpartition(":")
        listener = await anyio.create_tcp_listener(
            local_host=host, local_port=int(port)
        )
        async with listener, anyio.create_task_group() as self.tasks:
            await listener.serve(self._serve)

    def leave(self) -> None:
        """Refuse new statements and tell the other proxies."""
        self.service.leaving = True
        for outbox in self.outboxes:
            outbox.put(NOTICE_ID, _encoder.encode(Leaving()), Rank.URGENT)

    async def _serve(self, stream: SocketStream) -> None:
        outbox = Outbox(stream, LinkPurpose.RESULT)
        session: RelaySession | None = None
        self.outboxes.add(outbox)
        try:
            async with stream, anyio.create_task_group() as group:
                group.start_soon(outbox.run)
                name, data = await _receive_name(stream)
                session = self.service.session(name)
                await self._read(stream, data, session, outbox)
        except* (
            anyio.EndOfStream,
            anyio.BrokenResourceError,
            OSError,
            PeerError,
        ) as errors:
            log.info("proxy disconnected", error=repr(errors.exceptions[0]))
        finally:
            self.outboxes.discard(outbox)
            if session is not None:
                session.close()

    async def _read(
        self, stream: SocketStream, data: bytes, session: RelaySession, outbox: Outbox
    ) -> None:
        """Start a task for each request.

        Tasks belong to the server and not to the connection, because a statement
        that has started must run to its end when the connection breaks.
        """
        assert self.tasks is not None
        reader = FrameReader()
        while True:
            for request_id, payload in reader.feed(data):
                try:
                    request = _request_decoder.decode(payload)
                except msgspec.DecodeError as error:
                    raise PeerError(f"malformed request: {error}") from error
                if isinstance(request, Ping):
                    outbox.put(request_id, _encoder.encode(Pong()), Rank.URGENT)
                else:
                    self.tasks.start_soon(
                        self._answer, session, request_id, request, outbox
                    )
            data = await stream.receive(RECEIVE_SIZE)

    async def _answer(
        self,
        session: RelaySession,
        request_id: int,
        request: RelayRequest,
        outbox: Outbox,
    ) -> None:
        try:
            reply = await session.handle(request)
        except Exception as error:  # an unexpected fault must not end the server
            log.exception("relayed request failed", peer=session.peer)
            reply = Unanswered(f"{type(error).__name__}: {error}")
        if reply is not None:
            outbox.put(request_id, _encoder.encode(reply), _rank_of(request))


async def _receive_name(stream: SocketStream) -> tuple[str, bytes]:
    """Return the name of the proxy that connected, and the bytes behind it."""
    data = b""
    while b"\n" not in data:
        data += await stream.receive(RECEIVE_SIZE)
    name, _, rest = data.partition(b"\n")
    return name.decode(errors="replace"), rest


def _rank_of(message: RelayRequest) -> Rank:
    """Return the rank of a message; only statements have one of their own."""
    admission = getattr(message, "admission", None)
    return Rank.URGENT if admission is None else Rank(min(admission.rank, max(Rank)))
