"""Limits on the connections that other proxies open to this one."""

import socket
from collections.abc import Callable, Iterator
from contextlib import contextmanager
from functools import partial

import anyio
from anyio import TypedAttributeProvider
from anyio.abc import SocketAttribute

from rosemaryward.decisions.clients import (
    ALLOWANCE_BYTES,
    Client,
    ClientState,
    ClientTable,
)
from rosemaryward.decisions.errors import PeerError
from rosemaryward.peers.frames import FrameReader
from rosemaryward.peers.send_queue import SendQueue

__all__ = [
    "BUSY_REASON",
    "ConnectionMemory",
    "admitted",
    "bound_receive_buffers",
]

RECEIVE_BUFFER_BYTES = 64 * 1024
"""Receive buffer of each connection, which the system doubles. The event loop reads
all that has arrived before a connection can stop it."""
BUSY_REASON = "the memory for requests of other proxies is in use"


def bound_receive_buffers(listener: TypedAttributeProvider) -> None:
    """Give the connections that a listener accepts small receive buffers."""
    listener.extra(SocketAttribute.raw_socket).setsockopt(
        socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BUFFER_BYTES
    )


@contextmanager
def admitted(clients: ClientTable) -> Iterator[Client]:
    """Count a connection while the context is open.

    The context is cancelled if the connection is closed at a limit.

    Raises
    ------
    PeerError
        If there are too many connections.
    """
    with anyio.CancelScope() as scope:
        client = clients.admit(scope.cancel, scope.cancel)
        if client is None:
            raise PeerError("too many connections")
        try:
            yield client
        finally:
            clients.remove(client)


class ConnectionMemory:
    """Memory of the requests and replies of one multiplexed connection.

    Other statements run on the same connection, so it is not closed for what it holds:
    a single request is refused before it runs.

    Parameters
    ----------
    client : Client
    reader : FrameReader
    queue : SendQueue
        Queue of the replies. The connection is `SENDING` while a batch is written, so
        a peer that takes no bytes is closed by the time limit for answers.
    refuse : callable
        Queues the refusal of a request, given its id.

    Attributes
    ----------
    requests : int
        Requests without a reply.
    request_bytes : int
        Bytes of them above the part that the connection has for itself.
    own_bytes : int
        Bytes of them within that part, so that long requests and replies keep no
        short request from being served.
    """

    __slots__ = (
        "client",
        "is_sending",
        "own_bytes",
        "queue",
        "reader",
        "received_at_s",
        "refuse",
        "request_bytes",
        "requests",
        "written",
    )

    def __init__(
        self,
        client: Client,
        reader: FrameReader,
        queue: SendQueue,
        refuse: Callable[[int], None],
    ) -> None:
        self.client = client
        self.reader = reader
        self.queue = queue
        self.refuse = refuse
        self.requests = 0
        self.request_bytes = 0
        self.own_bytes = 0
        self.is_sending = False
        self.received_at_s = 0.0
        self.written = anyio.Event()
        client.discard = self.discard_incomplete
        queue.on_sending = self._record_sending
        queue.on_written = self._record_written

    def begin_request(
        self, size: int, can_be_refused: bool
    ) -> Callable[[], None] | None:
        """Count a request until the returned function is called.

        Returns None if the memory does not suffice.
        """
        if self.own_bytes + size <= ALLOWANCE_BYTES:
            self.own_bytes += size
            self.requests += 1
            return partial(self._end_request, size, 0)
        self.client.hold(0)  # the message was counted as incomplete
        held = self.request_bytes + size + self.queue.queued_bytes
        if not self.client.keep(held):
            if can_be_refused:
                return None
            self.client.force_keep(held)
        self.request_bytes += size
        self.requests += 1
        return partial(self._end_request, 0, size)

    async def count_received(self) -> None:
        """Count the incomplete messages, and refuse them if that is too much.

        While more replies are queued than all connections may hold, it waits until some
        are written, so that a peer that takes none does not cause more of them.
        """
        self.received_at_s = self.client.table.clock()
        self._update_state()
        if not self.client.hold(self.reader.held_bytes()):
            self.discard_incomplete()
        self._count_queued()
        if self.queue.queued_bytes > self.client.table.limits.memory_bytes:
            self.written = anyio.Event()
            await self.written.wait()

    def discard_incomplete(self) -> None:
        """Refuse the long messages that are incomplete."""
        for request_id in self.reader.discard_incomplete():
            self.refuse(request_id)
        self.client.hold(0)
        self._update_state()

    def _end_request(self, own: int, counted: int) -> None:
        """Count the reply, which is queued, in place of the request."""
        self.own_bytes -= own
        self.request_bytes -= counted
        self.requests -= 1
        self._count_queued()
        self._update_state()

    def _count_queued(self) -> None:
        self.client.force_keep(self.request_bytes + self.queue.queued_bytes)

    def _record_sending(self) -> None:
        self.is_sending = True
        self.client.enter(ClientState.SENDING)

    def _record_written(self) -> None:
        self.is_sending = False
        self.written.set()
        self._count_queued()
        self._update_state()

    def _update_state(self) -> None:
        if self.is_sending:
            return
        if self.reader.held_bytes():
            self.client.enter(ClientState.RECEIVING)
            # Written replies are no progress of an incomplete message.
            self.client.since_s = self.received_at_s
        elif self.requests or self.queue.queued_bytes:
            self.client.enter(ClientState.SERVING)
        else:
            self.client.enter(ClientState.IDLE)
