"""Connections between proxies and relays.

A suspended or unreachable relay does not reset its TCP connections, so a proxy that
waits for a reply sends pings to detect the failure.
"""

from collections.abc import Callable
from typing import Protocol

import anyio
import msgspec
import structlog
from anyio.abc import SocketStream, TaskGroup

from rosemaryward.decisions.addresses import split_address
from rosemaryward.decisions.clients import (
    DEFAULT_LIMITS,
    Client,
    ClientLimits,
    ClientState,
    ClientTable,
    FailureLog,
    contain_failures,
    enforce_limits,
)
from rosemaryward.decisions.clock import boot_time_s
from rosemaryward.decisions.decoding import decode_with
from rosemaryward.decisions.errors import OutcomeUnknownError, PeerError
from rosemaryward.decisions.gateway.outcomes import Failure
from rosemaryward.decisions.leadership.members import MemberRecord
from rosemaryward.decisions.links import LinkPurpose
from rosemaryward.decisions.relays.messages import (
    BeginRequest,
    LeasedRequest,
    Leaving,
    Ping,
    Pong,
    Refused,
    RelayReply,
    RelayRequest,
    RunRequest,
    Unanswered,
)
from rosemaryward.decisions.relays.service import RelayService, RelaySession
from rosemaryward.decisions.types import Rank
from rosemaryward.peers.clients import (
    BUSY_REASON,
    ConnectionMemory,
    admitted,
    bound_receive_buffers,
)
from rosemaryward.peers.frames import FrameReader
from rosemaryward.peers.multiplex import RECEIVE_BYTES, MultiplexedConnection
from rosemaryward.peers.send_queue import SendQueue

__all__ = ["RelayClient", "RelayServer"]

CONNECT_TIMEOUT_S = 0.4
REQUEST_TIMEOUT_S = 30.0  # the timeout of the caller's request is shorter
PING_AFTER_S = 0.1
PING_INTERVAL_S = 0.1
SILENCE_TIMEOUT_S = 0.3  # several scheduling periods under a CPU quota
PROBE_INTERVAL_S = 1.0  # shorter than the selector avoids a relay after one failure
UNSOLICITED_REQUEST_ID = 0
MAX_NAME_BYTES = 1024
STATEMENT_REQUESTS = (BeginRequest, LeasedRequest, RunRequest)
"""The others release what a transaction holds, or share a limit."""

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
        return decode_with(_reply_decoder.decode, payload)
    except msgspec.DecodeError as error:
        raise PeerError(f"malformed relay reply: {error}") from error


class _RelayConnection:
    """Connection to one relay, monitored with pings while a request is pending."""

    __slots__ = ("member", "name", "on_lost", "transport")

    def __init__(
        self,
        stream: SocketStream,
        member: MemberRecord,
        on_lost: Callable[[MemberRecord, str, bool], None],
    ) -> None:
        self.member = member
        self.name = member.name
        self.on_lost = on_lost
        self.transport: MultiplexedConnection[RelayReply] = MultiplexedConnection(
            stream, None, _decode_reply, self._handle_unsolicited
        )

    async def run(self) -> None:
        """Run the connection until it ends, then report the relay as lost."""
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(self._monitor_liveness, tasks)
            await self.transport.run()
            tasks.cancel_scope.cancel()
        self.on_lost(self.member, "connection ended", False)

    async def request(self, message: RelayRequest) -> RelayReply:
        """Send a request and return its reply.

        Raises
        ------
        OutcomeUnknownError
            If the connection ended or broke, or the reply did not arrive in time.
        """
        if self.transport.broken:
            raise OutcomeUnknownError("connection ended")
        return await self.transport.request(
            _encoder.encode(message), _rank_of(message), REQUEST_TIMEOUT_S
        )

    def post(self, message: RelayRequest) -> None:
        """Send a message without waiting for a reply."""
        self.transport.send(_encoder.encode(message), _rank_of(message))

    def _handle_unsolicited(self, message: RelayReply) -> None:
        if isinstance(message, Leaving):
            self.on_lost(self.member, "leaving", True)

    async def _monitor_liveness(self, tasks: TaskGroup) -> None:
        """Fail the connection if a ping during a pending request stays unanswered."""
        transport = self.transport
        pinged_at = float("-inf")
        while True:
            await anyio.sleep(PING_INTERVAL_S)
            if transport.oldest_request_age_s() < PING_AFTER_S:
                pinged_at = float("-inf")
            elif transport.last_received_at_s >= pinged_at:
                pinged_at = boot_time_s()
                self.post(Ping())
            elif boot_time_s() - pinged_at >= SILENCE_TIMEOUT_S:
                log.warning("relay silent", relay=self.member.name)
                transport.fail(f"no reply to a ping within {SILENCE_TIMEOUT_S} s")
                tasks.cancel_scope.cancel()


class RelayAvoidance(Protocol):
    """Record of the relays that are not used for a while."""

    def avoid(self, member: MemberRecord, reason: str, leaving: bool = False) -> None:
        """Exclude a member from relaying for a limited time."""

    def readmit(self, member: MemberRecord) -> None:
        """End the exclusion of a member that was reached again."""

    def is_live(self, member: MemberRecord) -> bool:
        """Return whether a process is still a live member."""


class RelayClient:
    """Connections to relays, opened on demand; implements `RelayLinkProvider`.

    Parameters
    ----------
    name : str
        Name of this proxy.
    selector : RelayAvoidance
        Avoids relays that are lost, leaving or unreachable.

    Attributes
    ----------
    connections : dict of str to _RelayConnection
        Newest connection to each relay, by incarnation.
    probing : set of str
        Incarnations of lost relays to which a task tries to connect again, so that
        no statement waits for an attempt that fails.
    """

    def __init__(self, name: str, selector: RelayAvoidance) -> None:
        self.name = name
        self.selector = selector
        self.probing: set[str] = set()
        self.connections: dict[str, _RelayConnection] = {}
        self.connecting: dict[str, anyio.Lock] = {}
        self.task_group: TaskGroup | None = None

    async def run(self) -> None:
        """Run the connections until cancelled."""
        async with anyio.create_task_group() as self.task_group:
            await anyio.sleep_forever()

    async def link(self, member: MemberRecord) -> _RelayConnection:
        """Return a connection to a relay; raises `PeerError` if it cannot be opened."""
        connection = self.connections.get(member.incarnation)
        if connection is not None and not connection.transport.broken:
            return connection
        async with self.connecting.setdefault(member.incarnation, anyio.Lock()):
            connection = self.connections.get(member.incarnation)
            if connection is None or connection.transport.broken:
                try:
                    connection = await self._connect(member)
                except PeerError:
                    self._start_probing(member)
                    raise
        return connection

    def _handle_loss(self, member: MemberRecord, reason: str, leaving: bool) -> None:
        """Avoid a relay, and reach it again in the background unless it leaves."""
        self.selector.avoid(member, reason, leaving)
        if not leaving:
            self._start_probing(member)

    def _start_probing(self, member: MemberRecord) -> None:
        if self.task_group is None or member.incarnation in self.probing:
            return
        self.probing.add(member.incarnation)
        self.task_group.start_soon(self._probe, member)

    async def _probe(self, member: MemberRecord) -> None:
        """Connect to a lost relay until it is reached or no longer live."""
        try:
            while True:
                await anyio.sleep(PROBE_INTERVAL_S)
                if not self.selector.is_live(member):
                    return
                try:
                    await self._connect(member)
                except PeerError as error:
                    self.selector.avoid(member, str(error))
                else:
                    self.selector.readmit(member)
                    return
        finally:
            self.probing.discard(member.incarnation)

    async def _connect(self, member: MemberRecord) -> _RelayConnection:
        if self.task_group is None:
            raise PeerError(f"{member.name}: the relay client is not running")
        try:
            host, port = split_address(member.relay_address)
            with anyio.fail_after(CONNECT_TIMEOUT_S):
                stream = await anyio.connect_tcp(host, port)
                await stream.send(f"{self.name}\n".encode())
        except (
            TimeoutError,
            ValueError,
            OSError,
            anyio.BrokenResourceError,
        ) as error:
            raise PeerError(f"{member.name}: {error!r}") from error
        connection = _RelayConnection(stream, member, self._handle_loss)
        for incarnation, other in list(self.connections.items()):
            if other.transport.broken:
                del self.connections[incarnation]
                self.connecting.pop(incarnation, None)
        self.connections[member.incarnation] = connection
        self.task_group.start_soon(connection.run)
        log.info("relay connected", relay=member.name, address=member.relay_address)
        return connection


class RelayServer:
    """Runs statements on behalf of other proxies.

    Parameters
    ----------
    address : str
        Address to listen on, ``host:port``.
    service : RelayService
        Handles the requests.
    limits : ClientLimits, optional
        Limits on the connections of all proxies.
    """

    def __init__(
        self,
        address: str,
        service: RelayService,
        limits: ClientLimits = DEFAULT_LIMITS.peers,
    ) -> None:
        self.address = address
        self.clients = ClientTable(limits, boot_time_s, closes_holders=False)
        self.failures = FailureLog()
        self.service = service
        self.send_queues: set[SendQueue] = set()
        self.task_group: TaskGroup | None = None

    async def run(self) -> None:
        """Serve requests until cancelled."""
        host, _, port = self.address.rpartition(":")
        listener = await anyio.create_tcp_listener(
            local_host=host, local_port=int(port)
        )
        bound_receive_buffers(listener)
        async with listener, anyio.create_task_group() as self.task_group:
            self.task_group.start_soon(enforce_limits, self.clients, "relays")
            await listener.serve(contain_failures(self._serve))

    def leave(self) -> None:
        """Refuse new statements and notify the connected proxies."""
        self.service.leaving = True
        for send_queue in self.send_queues:
            self._announce_end(send_queue)

    def _announce_end(self, send_queue: SendQueue) -> None:
        send_queue.put(UNSOLICITED_REQUEST_ID, _encoder.encode(Leaving()), Rank.URGENT)

    async def _serve(self, stream: SocketStream) -> None:
        try:
            async with stream:
                with admitted(self.clients) as client:
                    await self._serve_proxy(stream, client)
        except PeerError as error:
            self.failures.record("proxy refused", error)

    async def _serve_proxy(self, stream: SocketStream, client: Client) -> None:
        send_queue = SendQueue(stream, LinkPurpose.RESULT)
        session: RelaySession | None = None
        self.send_queues.add(send_queue)
        try:
            async with anyio.create_task_group() as group:
                group.start_soon(send_queue.run)
                name, data = await _receive_name(stream)
                client.enter(ClientState.IDLE)
                session = self.service.session(name)
                if self.service.leaving:
                    self._announce_end(send_queue)
                await self._read(stream, data, session, send_queue, client)
        except* (
            anyio.EndOfStream,
            anyio.BrokenResourceError,
            OSError,
            PeerError,
        ) as errors:
            self.failures.record("proxy disconnected", errors.exceptions[0])
        finally:
            self.send_queues.discard(send_queue)
            if session is not None:
                session.close()

    async def _read(
        self,
        stream: SocketStream,
        data: bytes,
        session: RelaySession,
        send_queue: SendQueue,
        client: Client,
    ) -> None:
        """Start a task for each received request.

        The tasks belong to the server's task group rather than the connection's,
        because a started statement must complete even if the connection breaks.
        """
        assert self.task_group is not None
        reader = FrameReader()

        def refuse(request_id: int) -> None:
            refusal = Refused(Failure.BUSY, BUSY_REASON)
            send_queue.put(request_id, _encoder.encode(refusal), Rank.URGENT)

        memory = ConnectionMemory(client, reader, send_queue, refuse)
        while True:
            for request_id, payload in reader.feed(data):
                request = _decode_request(payload)
                if isinstance(request, Ping):
                    send_queue.put(request_id, _encoder.encode(Pong()), Rank.URGENT)
                    continue
                can_be_refused = isinstance(request, STATEMENT_REQUESTS)
                end_request = memory.begin_request(len(payload), can_be_refused)
                if end_request is None:
                    refuse(request_id)
                    continue
                self.task_group.start_soon(
                    self._answer, session, request_id, request, send_queue, end_request
                )
            await memory.count_received()
            data = await stream.receive(RECEIVE_BYTES)

    async def _answer(
        self,
        session: RelaySession,
        request_id: int,
        request: RelayRequest,
        send_queue: SendQueue,
        end_request: Callable[[], None],
    ) -> None:
        try:
            reply = await session.handle(request)
        except Exception as error:  # one failed request must not stop the server
            log.exception("relayed request failed", peer=session.peer)
            reply = Unanswered(f"{type(error).__name__}: {error}")
        if reply is not None:
            send_queue.put(request_id, _encoder.encode(reply), _rank_of(request))
        end_request()


def _decode_request(payload: bytes) -> RelayRequest:
    try:
        return decode_with(_request_decoder.decode, payload)
    except msgspec.DecodeError as error:
        raise PeerError(f"malformed request: {error}") from error


async def _receive_name(stream: SocketStream) -> tuple[str, bytes]:
    """Return the name of the connecting proxy and the bytes received after it."""
    data = b""
    while b"\n" not in data:
        if len(data) > MAX_NAME_BYTES:
            raise PeerError(f"name: expected at most {MAX_NAME_BYTES} bytes")
        data += await stream.receive(MAX_NAME_BYTES)
    name, _, rest = data.partition(b"\n")
    return name.decode(errors="replace"), rest


def _rank_of(message: RelayRequest) -> Rank:
    """Return the rank of a message; urgent for messages without a statement."""
    admission = getattr(message, "admission", None)
    return Rank.URGENT if admission is None else Rank(min(admission.rank, max(Rank)))
