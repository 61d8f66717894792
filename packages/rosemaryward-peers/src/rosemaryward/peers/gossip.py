"""Gossip channel between proxies: pynng request-reply with MessagePack bodies."""

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

from rosemaryward.decisions.errors import PeerError
from rosemaryward.decisions.interfaces import GossipHandler
from rosemaryward.decisions.messages import (
    GossipReply,
    GossipRequest,
    Member,
)

__all__ = ["GossipTransport", "GossipTls"]

MAX_MESSAGE = 3 << 20  # bytes; a document takes up to 1 MiB, a member table 0.3 MiB
REPLY_CONTEXTS = 8  # requests that are handled at once
MAX_SOCKETS = 64
MAX_REQUESTS = 256  # requests in progress to all members
RECONNECT_MIN_MS = 50
RECONNECT_MAX_MS = 1000

_Result = TypeVar("_Result")


class GossipTls(msgspec.Struct, frozen=True, kw_only=True):
    """Files for mutual TLS between proxies.

    Parameters
    ----------
    ca_file : str
        Certificates that peers are checked against.
    certificate_file : str
        Own certificate followed by its key, PEM.
    server_name : str
        Name that every proxy's certificate carries.
    """

    ca_file: str
    certificate_file: str
    server_name: str


class GossipTransport:
    """Listens for gossip requests and sends them to other proxies.

    Parameters
    ----------
    host : str
        IP address to listen on.
    port : int
        Port to listen on.
    handler : GossipHandler
        Answers the requests of other proxies.
    tls : GossipTls, optional
        Encrypts the channel; both sides need it.

    Notes
    -----
    A message that is malformed or that the handler fails on is counted and gets
    no answer; its sender runs into its timeout. Sockets to other proxies are kept
    open up to a limit, the least recently used one is closed first. A socket on
    which a request times out is closed as soon as it is idle, so the next request
    dials afresh instead of waiting for a reconnection.
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
        self.malformed = 0
        self.handler_failures = 0
        self.received = 0
        self.sent = 0
        self.bytes_in = 0
        self.bytes_out = 0
        self.dials = 0
        self._sockets: OrderedDict[str, _DialledSocket] = OrderedDict()
        self._limit = anyio.Semaphore(MAX_REQUESTS)
        self._requests = msgspec.msgpack.Decoder(GossipRequest)
        self._replies = msgspec.msgpack.Decoder(GossipReply)
        self._encoder = msgspec.msgpack.Encoder()
        self._open = False
        self._stack = AsyncExitStack()

    async def __aenter__(self) -> Self:
        listener = pynng.Rep0(recv_max_size=MAX_MESSAGE)
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
            for dialled in self._sockets.values():
                dialled.socket.close()
            self._sockets.clear()

    async def request(
        self, target: Member, message: GossipRequest, timeout_s: float
    ) -> GossipReply:
        """Send a message and return the answer.

        Raises
        ------
        PeerError
            If no well-formed answer arrives within `timeout_s`.
        """
        if not self._open:
            raise PeerError("the gossip endpoint is closed")
        data = self._encoder.encode(message)
        if len(data) > MAX_MESSAGE:
            raise PeerError(f"message of {len(data)} bytes is too long")
        address = self._address(target.host, target.gossip_port)
        try:
            with anyio.fail_after(timeout_s):
                async with self._limit, self._dialled(address) as socket:
                    answer = await self._exchange(socket, data)
        except (TimeoutError, pynng.NNGException) as error:
            raise PeerError(f"{target.host_id} did not answer: {error!r}") from error
        try:
            return self._replies.decode(answer)
        except (msgspec.DecodeError, UnicodeDecodeError) as error:
            self.malformed += 1
            raise PeerError(f"{target.host_id} sent a malformed answer") from error

    def close_idle_sockets(self) -> None:
        """Close the sockets that no request uses."""
        for address, dialled in list(self._sockets.items()):
            if dialled.users == 0:
                self._drop(address, dialled)

    async def _exchange(self, socket: pynng.Req0, data: bytes) -> bytes:
        with socket.new_context() as context:
            await _cancellable(context.asend(data))
            self.sent += 1
            self.bytes_out += len(data)
            answer = await _cancellable(context.arecv())
            self.bytes_in += len(answer)
            return answer

    @asynccontextmanager
    async def _dialled(self, address: str) -> AsyncIterator[pynng.Req0]:
        dialled = self._sockets.get(address)
        if dialled is None or dialled.failed:
            dialled = self._dial(address)
        self._sockets.move_to_end(address)
        dialled.users += 1
        try:
            yield dialled.socket
        except BaseException:
            dialled.failed = True
            raise
        finally:
            dialled.users -= 1
            if dialled.failed:
                self._drop(address, dialled)

    def _dial(self, address: str) -> "_DialledSocket":
        socket = pynng.Req0(
            recv_max_size=MAX_MESSAGE,
            reconnect_time_min=RECONNECT_MIN_MS,
            reconnect_time_max=RECONNECT_MAX_MS,
        )
        if self.tls is not None:
            socket.tls_config = _tls_config(self.tls, server=False)
        socket.dial(address, block=False)
        self.dials += 1
        dialled = _DialledSocket(socket)
        self._sockets[address] = dialled
        self._close_oldest()
        return dialled

    def _drop(self, address: str, dialled: "_DialledSocket") -> None:
        if self._sockets.get(address) is dialled:
            del self._sockets[address]
        if dialled.users == 0:
            dialled.socket.close()

    def _close_oldest(self) -> None:
        for address, dialled in list(self._sockets.items())[:-1]:
            if len(self._sockets) <= MAX_SOCKETS:
                return
            if dialled.users == 0:
                self._drop(address, dialled)

    async def _serve(self, listener: pynng.Rep0) -> None:
        with listener.new_context() as context:
            while True:
                try:
                    await self._answer(context)
                except pynng.Closed:
                    return
                except pynng.NNGException:
                    self.handler_failures += 1
                    await anyio.sleep(0.01)

    async def _answer(self, context: pynng.Context) -> None:
        data = await _cancellable(context.arecv())
        self.received += 1
        self.bytes_in += len(data)
        try:
            request = self._requests.decode(data)
        except (msgspec.DecodeError, UnicodeDecodeError):
            self.malformed += 1
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


class _DialledSocket:
    """A socket to one proxy and the number of requests that use it."""

    __slots__ = ("failed", "socket", "users")

    def __init__(self, socket: pynng.Req0) -> None:
        self.socket = socket
        self.users = 0
        self.failed = False


async def _cancellable(operation: Awaitable[_Result]) -> _Result:
    """Await a pynng operation inside anyio's cancel scopes.

    pynng replaces the exception that cancels a task by a bare `CancelledError`,
    which anyio takes for a foreign one and lets escape from the scope that timed
    out. The checkpoint raises the exception of the scope instead.
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
