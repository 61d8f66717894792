"""Gossip transport between proxies: pynng request-reply with MessagePack messages."""

import asyncio
from collections import OrderedDict
from collections.abc import AsyncIterator, Awaitable
from contextlib import AsyncExitStack, asynccontextmanager
from types import TracebackType
from typing import Self, TypeVar

import anyio
import anyio.lowlevel
import msgspec
import pynng

from rosemaryward.decisions.decoding import decode_with
from rosemaryward.decisions.errors import PeerError
from rosemaryward.decisions.interfaces import GossipHandler
from rosemaryward.decisions.messages import (
    GossipReply,
    GossipRequest,
    Member,
)

__all__ = ["GossipTransport", "GossipTls"]

# A document takes up to 1 MiB, a member table 0.3 MiB.
MAX_MESSAGE_BYTES = 3 << 20
REPLY_CONTEXTS = 8  # requests handled concurrently
MAX_SOCKETS = 64
MAX_CONCURRENT_REQUESTS = 256  # outgoing, to all members together
RECONNECT_MIN_MS = 50
RECONNECT_MAX_MS = 1000

_Result = TypeVar("_Result")


class GossipTls(msgspec.Struct, frozen=True, kw_only=True):
    """Files for mutual TLS between proxies.

    Parameters
    ----------
    ca_file : str
        PEM file with the authorities that the peers' certificates are verified
        against.
    certificate_file : str
        PEM file with the own certificate followed by its key.
    server_name : str
        Host name that the certificates of all proxies contain.
    """

    ca_file: str
    certificate_file: str
    server_name: str


class GossipTransport:
    """Receives gossip requests and sends them to other proxies.

    Implements `GossipChannel`.

    Parameters
    ----------
    host : str
        IP address to listen on.
    port : int
        Port to listen on.
    handler : GossipHandler
        Returns the reply to a request of another proxy.
    tls : GossipTls, optional
        Files for mutual TLS; either all proxies use it or none.

    Attributes
    ----------
    malformed_messages, handler_failures : int
        Messages that could not be decoded, and requests that the handler failed on.
    requests_received, requests_sent : int
    bytes_in, bytes_out : int
        Size of all received and sent messages.
    dials : int
        Sockets opened to other proxies.

    Notes
    -----
    A request that is malformed or that the handler fails on is counted and gets no
    reply; its sender times out. Sockets to other proxies stay open up to
    `MAX_SOCKETS`; beyond it the least recently used one is closed. A socket on which
    a request times out is closed once it is idle, so that the next request opens a
    new connection instead of waiting for a reconnection.
    """

    def __init__(
        self,
        host: str,
        port: int,
        handler: GossipHandler,
        tls: GossipTls | None = None,
    ) -> None:
        self.host = host
        self.port = port
        self.handler = handler
        self.tls = tls
        self.malformed_messages = 0
        self.handler_failures = 0
        self.requests_received = 0
        self.requests_sent = 0
        self.bytes_in = 0
        self.bytes_out = 0
        self.dials = 0
        self._sockets: OrderedDict[str, _ClientSocket] = OrderedDict()
        self._request_slots = anyio.Semaphore(MAX_CONCURRENT_REQUESTS)
        self._request_decoder = msgspec.msgpack.Decoder(GossipRequest)
        self._reply_decoder = msgspec.msgpack.Decoder(GossipReply)
        self._encoder = msgspec.msgpack.Encoder()
        self._open = False
        self._stack = AsyncExitStack()

    async def __aenter__(self) -> Self:
        listener = pynng.Rep0(recv_max_size=MAX_MESSAGE_BYTES)
        self._stack.callback(listener.close)
        try:
            if self.tls is not None:
                listener.tls_config = _tls_config(self.tls, server=True)
            listener.listen(self._address(self.host, self.port))
        except pynng.NNGException as error:
            listener.close()
            raise PeerError(
                f"cannot listen on {self.host}:{self.port}: {error}"
            ) from error
        tasks = await self._stack.enter_async_context(anyio.create_task_group())
        self._stack.callback(tasks.cancel_scope.cancel)
        for _ in range(REPLY_CONTEXTS):
            tasks.start_soon(self._serve, listener)
        self._open = True
        return self

    async def __aexit__(
        self,
        kind: type[BaseException] | None,
        error: BaseException | None,
        trace: TracebackType | None,
    ) -> None:
        self._open = False
        try:
            await self._stack.__aexit__(kind, error, trace)
        finally:
            for client_socket in self._sockets.values():
                client_socket.socket.close()
            self._sockets.clear()

    async def request(
        self, target: Member, message: GossipRequest, timeout_s: float
    ) -> GossipReply:
        """Send a request and return its reply.

        Parameters
        ----------
        target : Member
        message : GossipRequest
        timeout_s : float
            Longest wait for the reply, including the wait for a request slot.

        Raises
        ------
        PeerError
            If no well-formed reply arrives within `timeout_s`.
        """
        if not self._open:
            raise PeerError("the gossip transport is closed")
        data = self._encoder.encode(message)
        if len(data) > MAX_MESSAGE_BYTES:
            raise PeerError(
                f"message length: expected at most {MAX_MESSAGE_BYTES} bytes, "
                f"got {len(data)}"
            )
        address = self._address(target.host, target.gossip_port)
        try:
            with anyio.fail_after(timeout_s):
                async with self._request_slots, self._borrow_socket(address) as socket:
                    reply = await self._request_on_socket(socket, data)
        except (TimeoutError, pynng.NNGException) as error:
            raise PeerError(f"no reply from {target.host_id}: {error!r}") from error
        try:
            return decode_with(self._reply_decoder.decode, reply)
        except (msgspec.DecodeError, UnicodeDecodeError) as error:
            self.malformed_messages += 1
            raise PeerError(f"{target.host_id} sent a malformed reply") from error

    def close_idle_sockets(self) -> None:
        """Close the sockets without a request in progress."""
        for address, client_socket in list(self._sockets.items()):
            if client_socket.active_requests == 0:
                self._remove_socket(address, client_socket)

    async def _request_on_socket(self, socket: pynng.Req0, data: bytes) -> bytes:
        with socket.new_context() as context:
            await _cancellable(context.asend(data))
            self.requests_sent += 1
            self.bytes_out += len(data)
            reply = await _cancellable(context.arecv())
            self.bytes_in += len(reply)
            return reply

    @asynccontextmanager
    async def _borrow_socket(self, address: str) -> AsyncIterator[pynng.Req0]:
        client_socket = self._sockets.get(address)
        if client_socket is None or client_socket.failed:
            client_socket = self._dial(address)
        self._sockets.move_to_end(address)
        client_socket.active_requests += 1
        try:
            yield client_socket.socket
        except BaseException:
            client_socket.failed = True
            raise
        finally:
            client_socket.active_requests -= 1
            if client_socket.failed:
                self._remove_socket(address, client_socket)

    def _dial(self, address: str) -> "_ClientSocket":
        socket = pynng.Req0(
            recv_max_size=MAX_MESSAGE_BYTES,
            reconnect_time_min=RECONNECT_MIN_MS,
            reconnect_time_max=RECONNECT_MAX_MS,
        )
        if self.tls is not None:
            socket.tls_config = _tls_config(self.tls, server=False)
        socket.dial(address, block=False)
        self.dials += 1
        client_socket = _ClientSocket(socket)
        self._sockets[address] = client_socket
        self._close_least_recently_used()
        return client_socket

    def _remove_socket(self, address: str, client_socket: "_ClientSocket") -> None:
        if self._sockets.get(address) is client_socket:
            del self._sockets[address]
        if client_socket.active_requests == 0:
            client_socket.socket.close()

    def _close_least_recently_used(self) -> None:
        for address, client_socket in list(self._sockets.items())[:-1]:
            if len(self._sockets) <= MAX_SOCKETS:
                return
            if client_socket.active_requests == 0:
                self._remove_socket(address, client_socket)

    async def _serve(self, listener: pynng.Rep0) -> None:
        with listener.new_context() as context:
            while True:
                try:
                    await self._handle_request(context)
                except pynng.Closed:
                    return
                except pynng.NNGException:
                    self.handler_failures += 1
                    await anyio.sleep(0.01)

    async def _handle_request(self, context: pynng.Context) -> None:
        data = await _cancellable(context.arecv())
        self.requests_received += 1
        self.bytes_in += len(data)
        try:
            request = decode_with(self._request_decoder.decode, data)
        except (msgspec.DecodeError, UnicodeDecodeError):
            self.malformed_messages += 1
            return
        try:
            reply = self._encoder.encode(await self.handler(request))
        except Exception:
            self.handler_failures += 1
            return
        self.bytes_out += len(reply)
        await _cancellable(context.asend(reply))

    def _address(self, host: str, port: int) -> str:
        scheme = "tcp" if self.tls is None else "tls+tcp"
        return (
            f"{scheme}://[{host}]:{port}"
            if ":" in host
            else f"{scheme}://{host}:{port}"
        )


class _ClientSocket:
    """Socket to one proxy with the number of requests in progress on it."""

    __slots__ = ("active_requests", "failed", "socket")

    def __init__(self, socket: pynng.Req0) -> None:
        self.socket = socket
        self.active_requests = 0
        self.failed = False


async def _cancellable(operation: Awaitable[_Result]) -> _Result:
    """Await a pynng operation so that anyio's cancel scopes work.

    pynng replaces the exception that cancels a task with a bare `CancelledError`.
    anyio does not attribute that one to its cancel scope and lets it escape from the
    scope that timed out. The checkpoint raises the exception of the scope instead.
    """
    try:
        return await operation
    except asyncio.CancelledError:
        await anyio.lowlevel.checkpoint_if_cancelled()
        raise


def _tls_config(tls: GossipTls, server: bool) -> pynng.TLSConfig:
    modes = pynng.TLSConfig
    return pynng.TLSConfig(
        modes.MODE_SERVER if server else modes.MODE_CLIENT,
        server_name=None if server else tls.server_name,
        ca_files=[tls.ca_file],
        cert_key_file=tls.certificate_file,
        auth_mode=modes.AUTH_MODE_REQUIRED,
    )
