"""Statement channel: requests between proxies over one TCP connection per pair.

`StatementClient` sends requests, `StatementServer` answers them. A connection
starts with a hello line that names the sender. A reply without a pending request
is late or repeated and is dropped.
"""

import ssl
from collections.abc import Callable
from types import TracebackType

import anyio
from anyio.abc import ByteReceiveStream, ByteStream, SocketAttribute, TaskGroup
from anyio.streams.tls import TLSListener

from rosemaryward.decisions.errors import NotRunError, PeerError
from rosemaryward.decisions.interfaces import StatementHandler
from rosemaryward.decisions.links import LinkPurpose, LinkShaper
from rosemaryward.decisions.messages import (
    Execute,
    Member,
    OutcomeUnknown,
    StatementReply,
    StatementRequest,
)
from rosemaryward.decisions.types import Rank
from rosemaryward.peers.frames import (
    FrameReader,
    decode_reply,
    decode_request,
    encode_message,
)
from rosemaryward.peers.multiplex import RECEIVE_SIZE, MultiplexedConnection
from rosemaryward.peers.outbox import Outbox

__all__ = ["StatementClient", "StatementServer"]

CONNECT_TIMEOUT_S = 1.0
HELLO_SIZE = 256  # bytes
HELLO_TIMEOUT_S = 5.0


class StatementClient:
    """Sends requests to other proxies; implements `StatementChannel`.

    Parameters
    ----------
    host_id : str
        Name of this proxy.
    region : str
        Region of this proxy.
    link : LinkShaper, optional
        Shapes connections to members in other regions.
    tls : ssl.SSLContext, optional
        Client context for mutual authentication.
    server_name : str
        Name that every proxy's certificate carries.
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
        self.group: TaskGroup | None = None

    async def __aenter__(self) -> "StatementClient":
        self.group = anyio.create_task_group()
        await self.group.__aenter__()
        return self

    async def __aexit__(
        self,
        kind: type[BaseException] | None,
        error: BaseException | None,
        trace: TracebackType | None,
    ) -> None:
        assert self.group is not None
        self.group.cancel_scope.cancel()
        await self.group.__aexit__(None, None, None)

    async def request(
        self, target: Member, message: StatementRequest, timeout_s: float
    ) -> StatementReply:
        """Send a request and return its answer.

        Raises
        ------
        NotRunError
            If no connection could be opened.
        OutcomeUnknownError
            If the connection broke or `timeout_s` passed before the answer.
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
        assert self.group is not None
        try:
            with anyio.fail_after(CONNECT_TIMEOUT_S):
                stream = await self._open_stream(target)
                await stream.send(f"{self.host_id} {self.region}\n".encode())
        except (OSError, TimeoutError, anyio.BrokenResourceError) as error:
            raise NotRunError(f"cannot connect to {target.host_id}: {error}") from error
        is_far = target.place.region != self.region
        connection = MultiplexedConnection(
            stream, self.link if is_far else None, decode_reply
        )
        self.group.start_soon(connection.run)
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
    """Answers requests of other proxies.

    Parameters
    ----------
    host : str
    port : int
        0 picks a free port.
    handler : StatementHandler
    on_disconnect : callable
        Called with the sender's host id when its connection ends.
    region : str
        Region of this proxy.
    link : LinkShaper, optional
        Shapes connections of members in other regions.
    tls : ssl.SSLContext, optional
        Server context that requires a client certificate.
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
    ) -> None:
        self.host = host
        self.port = port
        self.handler = handler
        self.on_disconnect = on_disconnect
        self.region = region
        self.link = link
        self.tls = tls
        self.rejected = 0
        self.group: TaskGroup | None = None

    async def __aenter__(self) -> "StatementServer":
        listener = await anyio.create_tcp_listener(
            local_host=self.host, local_port=self.port
        )
        self.listener = listener
        self.port = listener.extra(SocketAttribute.local_port)
        self.group = anyio.create_task_group()
        await self.group.__aenter__()
        if self.tls is not None:
            secure = TLSListener(listener, self.tls, standard_compatible=False)
            self.group.start_soon(secure.serve, self._serve)
        else:
            self.group.start_soon(listener.serve, self._serve)
        return self

    async def __aexit__(
        self,
        kind: type[BaseException] | None,
        error: BaseException | None,
        trace: TracebackType | None,
    ) -> None:
        assert self.group is not None
        self.group.cancel_scope.cancel()
        await self.group.__aexit__(None, None, None)
        await self.listener.aclose()

    async def _serve(self, stream: ByteStream) -> None:
        async with stream:
            try:
                with anyio.fail_after(HELLO_TIMEOUT_S):
                    hello, rest = await _read_hello(stream)
            except (PeerError, TimeoutError, anyio.EndOfStream, OSError):
                self.rejected += 1
                return
            sender, _, region = hello.partition(" ")
            link = self.link if region != self.region else None
            outbox = Outbox(stream, LinkPurpose.RESULT, link)
            await self._serve_peer(stream, sender, rest, outbox)

    async def _serve_peer(
        self, stream: ByteStream, sender: str, rest: bytes, outbox: Outbox
    ) -> None:
        try:
            async with anyio.create_task_group() as group:
                group.start_soon(outbox.run)
                await self._read_requests(stream, sender, rest, outbox)
                group.cancel_scope.cancel()
        except* (anyio.BrokenResourceError, anyio.EndOfStream, OSError):
            pass
        except* PeerError:
            self.rejected += 1
        finally:
            self.on_disconnect(sender)

    async def _read_requests(
        self, stream: ByteStream, sender: str, rest: bytes, outbox: Outbox
    ) -> None:
        """Start a task for each request.

        Tasks belong to the server and not to the connection, because a statement
        that has started must run to its end when the connection breaks.
        """
        assert self.group is not None
        reader = FrameReader()
        data = rest
        while True:
            for request_id, payload in reader.feed(data):
                message = decode_request(payload)
                self.group.start_soon(self._answer, sender, request_id, message, outbox)
            data = await stream.receive(RECEIVE_SIZE)
            if outbox.link is not None:
                outbox.link.count_received(len(data), None, LinkPurpose.STATEMENT)

    async def _answer(
        self, sender: str, request_id: int, message: StatementRequest, outbox: Outbox
    ) -> None:
        try:
            reply = await self.handler(sender, message)
        except Exception as error:  # an unexpected fault must not end the server
            reply = OutcomeUnknown(f"{type(error).__name__}: {error}")
        outbox.put(request_id, encode_message(reply), _rank_of(message))


async def _read_hello(stream: ByteReceiveStream) -> tuple[str, bytes]:
    data = b""
    while b"\n" not in data:
        if len(data) > HELLO_SIZE:
            raise PeerError(f"hello: expected at most {HELLO_SIZE} bytes")
        data += await stream.receive(HELLO_SIZE)
    name, _, rest = data.partition(b"\n")
    try:
        return name.decode("ascii"), rest
    except UnicodeDecodeError as error:
        raise PeerError("hello: expected an ASCII host id and region") from error


def _rank_of(message: StatementRequest) -> Rank:
    if isinstance(message, Execute):
        return Rank(message.rank)
    return Rank.URGENT
