"""Statement channel: requests between proxies, multiplexed over TCP connections.

`StatementClient` keeps one connection to each proxy and sends requests on it;
`StatementServer` replies to them. The first line of a connection is a hello that
contains the sender's host id and region. A reply without a pending request is late
or a duplicate and is discarded.
"""

import ssl
from collections.abc import Callable
from types import TracebackType

import anyio
from anyio.abc import ByteReceiveStream, ByteStream, SocketAttribute, TaskGroup
from anyio.streams.tls import TLSListener

from rosemaryward.decisions.clients import (
    DEFAULT_LIMITS,
    Client,
    ClientLimits,
    ClientState,
    ClientTable,
    contain_failures,
    enforce_limits,
)
from rosemaryward.decisions.clock import boot_time_s
from rosemaryward.decisions.errors import NotRunError, PeerError
from rosemaryward.decisions.interfaces import StatementHandler
from rosemaryward.decisions.links import LinkPurpose, LinkShaper
from rosemaryward.decisions.messages import (
    Execute,
    Member,
    NotRun,
    OutcomeUnknown,
    StatementReply,
    StatementRequest,
)
from rosemaryward.decisions.routing.replies import REASON_OVERLOAD
from rosemaryward.decisions.types import Rank
from rosemaryward.peers.clients import (
    BUSY_REASON,
    ConnectionMemory,
    admitted,
    bound_receive_buffers,
)
from rosemaryward.peers.frames import (
    FrameReader,
    decode_reply,
    decode_request,
    encode_message,
)
from rosemaryward.peers.multiplex import RECEIVE_BYTES, MultiplexedConnection
from rosemaryward.peers.send_queue import SendQueue

__all__ = ["StatementClient", "StatementServer"]

CONNECT_TIMEOUT_S = 1.0
MAX_HELLO_BYTES = 256
HELLO_TIMEOUT_S = 5.0
DISCONNECTED_ERRORS = (anyio.BrokenResourceError, anyio.EndOfStream, OSError)


class StatementClient:
    """Sends statement requests to other proxies; implements `StatementChannel`.

    Parameters
    ----------
    host_id : str
        Host id of this proxy.
    region : str
        Region of this proxy.
    link : LinkShaper, optional
        Shapes the traffic of connections to proxies in other regions.
    tls : ssl.SSLContext, optional
        Client context for mutual TLS; plain TCP without it.
    server_name : str
        Host name that the certificates of all proxies contain.
    """

    def __init__(
        self,
        host_id: str,
        region: str = "",
        link: LinkShaper | None = None,
        tls: ssl.SSLContext | None = None,
        server_name: str = "",
    ) -> None:
        self.server_name = server_name
        self.host_id = host_id
        self.region = region
        self.link = link
        self.tls = tls
        self.connections: dict[
            tuple[str, int], MultiplexedConnection[StatementReply]
        ] = {}
        self.connecting: dict[tuple[str, int], anyio.Lock] = {}
        self.task_group: TaskGroup | None = None

    async def __aenter__(self) -> "StatementClient":
        self.task_group = anyio.create_task_group()
        await self.task_group.__aenter__()
        return self

    async def __aexit__(
        self,
        kind: type[BaseException] | None,
        error: BaseException | None,
        trace: TracebackType | None,
    ) -> None:
        assert self.task_group is not None
        self.task_group.cancel_scope.cancel()
        await self.task_group.__aexit__(None, None, None)

    async def request(
        self, target: Member, message: StatementRequest, timeout_s: float
    ) -> StatementReply:
        """Send a request and return its reply.

        Parameters
        ----------
        target : Member
            Proxy that handles the request.
        message : StatementRequest
        timeout_s : float
            Longest wait for the reply.

        Raises
        ------
        NotRunError
            If no connection could be opened.
        OutcomeUnknownError
            If the connection broke or `timeout_s` passed before the reply.
        """
        connection = await self._connection(target)
        return await connection.request(
            encode_message(message), _rank_of(message), timeout_s
        )

    async def _connection(
        self, target: Member
    ) -> MultiplexedConnection[StatementReply]:
        address = (target.host, target.statement_port)
        connection = self.connections.get(address)
        if connection is not None and not connection.broken:
            return connection
        async with self.connecting.setdefault(address, anyio.Lock()):
            connection = self.connections.get(address)
            if connection is None or connection.broken:
                connection = await self._connect(target)
                self.connections[address] = connection
        return connection

    async def _connect(self, target: Member) -> MultiplexedConnection[StatementReply]:
        assert self.task_group is not None
        try:
            with anyio.fail_after(CONNECT_TIMEOUT_S):
                stream = await self._open_stream(target)
                await stream.send(f"{self.host_id} {self.region}\n".encode())
        except (OSError, TimeoutError, anyio.BrokenResourceError) as error:
            raise NotRunError(f"cannot connect to {target.host_id}: {error}") from error
        crosses_regions = target.place.region != self.region
        connection = MultiplexedConnection(
            stream, self.link if crosses_regions else None, decode_reply
        )
        self.task_group.start_soon(connection.run)
        return connection

    async def _open_stream(self, target: Member) -> ByteStream:
        if self.tls is None:
            return await anyio.connect_tcp(target.host, target.statement_port)
        return await anyio.connect_tcp(
            target.host,
            target.statement_port,
            ssl_context=self.tls,
            tls_hostname=self.server_name,
            tls_standard_compatible=False,
        )


class StatementServer:
    """Accepts connections of other proxies and replies to their requests.

    Parameters
    ----------
    host : str
        IP address to listen on.
    port : int
        Port to listen on; 0 picks a free port.
    handler : StatementHandler
        Returns the reply to a request.
    on_disconnect : callable
        Called with the sender's host id when its connection ends.
    region : str
        Region of this proxy.
    link : LinkShaper, optional
        Shapes the traffic of connections from proxies in other regions.
    tls : ssl.SSLContext, optional
        Server context that requires a client certificate; plain TCP without it.
    limits : ClientLimits, optional
        Limits on the connections of all proxies.

    Attributes
    ----------
    rejected_connections : int
        Connections that were closed because of malformed input.
    """

    def __init__(
        self,
        host: str,
        port: int,
        handler: StatementHandler,
        on_disconnect: Callable[[str], None],
        region: str = "",
        link: LinkShaper | None = None,
        tls: ssl.SSLContext | None = None,
        *,
        limits: ClientLimits = DEFAULT_LIMITS.peers,
    ) -> None:
        self.clients = ClientTable(limits, boot_time_s, closes_holders=False)
        self.host = host
        self.port = port
        self.handler = handler
        self.on_disconnect = on_disconnect
        self.region = region
        self.link = link
        self.tls = tls
        self.rejected_connections = 0
        self.task_group: TaskGroup | None = None

    async def __aenter__(self) -> "StatementServer":
        listener = await anyio.create_tcp_listener(
            local_host=self.host, local_port=self.port
        )
        bound_receive_buffers(listener)
        self.listener = listener
        self.port = listener.extra(SocketAttribute.local_port)
        self.task_group = anyio.create_task_group()
        await self.task_group.__aenter__()
        self.task_group.start_soon(enforce_limits, self.clients, "statements")
        serve = contain_failures(self._serve)
        if self.tls is not None:
            tls_listener = TLSListener(listener, self.tls, standard_compatible=False)
            self.task_group.start_soon(tls_listener.serve, serve)
        else:
            self.task_group.start_soon(listener.serve, serve)
        return self

    async def __aexit__(
        self,
        kind: type[BaseException] | None,
        error: BaseException | None,
        trace: TracebackType | None,
    ) -> None:
        assert self.task_group is not None
        self.task_group.cancel_scope.cancel()
        await self.task_group.__aexit__(None, None, None)
        await self.listener.aclose()

    async def _serve(self, stream: ByteStream) -> None:
        async with stream:
            try:
                with admitted(self.clients) as client:
                    await self._serve_admitted(stream, client)
            except PeerError:
                self.rejected_connections += 1

    async def _serve_admitted(self, stream: ByteStream, client: Client) -> None:
        try:
            with anyio.fail_after(HELLO_TIMEOUT_S):
                hello, rest = await _read_hello(stream)
        except (PeerError, TimeoutError, *DISCONNECTED_ERRORS):
            self.rejected_connections += 1
            return
        client.enter(ClientState.IDLE)
        sender, _, region = hello.partition(" ")
        link = self.link if region != self.region else None
        send_queue = SendQueue(stream, LinkPurpose.RESULT, link)
        await self._serve_peer(stream, sender, rest, send_queue, client)

    async def _serve_peer(
        self,
        stream: ByteStream,
        sender: str,
        rest: bytes,
        send_queue: SendQueue,
        client: Client,
    ) -> None:
        try:
            async with anyio.create_task_group() as group:
                group.start_soon(send_queue.run)
                await self._read_requests(stream, sender, rest, send_queue, client)
                group.cancel_scope.cancel()
        except* DISCONNECTED_ERRORS:
            pass
        except* PeerError:
            self.rejected_connections += 1
        finally:
            self.on_disconnect(sender)

    async def _read_requests(
        self,
        stream: ByteStream,
        sender: str,
        rest: bytes,
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
            refusal = NotRun(REASON_OVERLOAD, BUSY_REASON)
            send_queue.put(request_id, encode_message(refusal), Rank.URGENT)

        memory = ConnectionMemory(client, reader, send_queue, refuse)
        data = rest
        while True:
            for request_id, payload in reader.feed(data):
                message = decode_request(payload)
                can_be_refused = isinstance(message, Execute)
                end_request = memory.begin_request(len(payload), can_be_refused)
                if end_request is None:
                    refuse(request_id)
                    continue
                self.task_group.start_soon(
                    self._answer, sender, request_id, message, send_queue, end_request
                )
            await memory.count_received()
            data = await stream.receive(RECEIVE_BYTES)
            if send_queue.link is not None:
                send_queue.link.count_received(len(data), None, LinkPurpose.STATEMENT)

    async def _answer(
        self,
        sender: str,
        request_id: int,
        message: StatementRequest,
        send_queue: SendQueue,
        end_request: Callable[[], None],
    ) -> None:
        try:
            reply = await self.handler(sender, message)
        except Exception as error:  # one failed request must not stop the server
            reply = OutcomeUnknown(f"{type(error).__name__}: {error}")
        send_queue.put(request_id, encode_message(reply), _rank_of(message))
        end_request()


async def _read_hello(stream: ByteReceiveStream) -> tuple[str, bytes]:
    """Return the hello line and the bytes received after it."""
    data = b""
    while b"\n" not in data:
        if len(data) > MAX_HELLO_BYTES:
            raise PeerError(
                f"hello: expected at most {MAX_HELLO_BYTES} bytes, got {len(data)}"
            )
        data += await stream.receive(MAX_HELLO_BYTES)
    hello, _, rest = data.partition(b"\n")
    try:
        return hello.decode("ascii"), rest
    except UnicodeDecodeError as error:
        raise PeerError("hello: expected an ASCII host id and region") from error


def _rank_of(message: StatementRequest) -> Rank:
    if isinstance(message, Execute):
        return Rank(message.rank)
    return Rank.URGENT
