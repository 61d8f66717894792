"""Limits on the connections that other proxies open to this one."""

import socket
from collections.abc import Iterator
from contextlib import contextmanager

import anyio
import structlog
from anyio import TypedAttributeProvider
from anyio.abc import SocketAttribute

from rosemaryward.decisions.clients import (
    Client,
    ClientState,
    ClientTable,
    derive_limits,
)
from rosemaryward.decisions.clock import boot_time_s
from rosemaryward.decisions.errors import PeerError
from rosemaryward.peers.frames import FrameReader
from rosemaryward.peers.send_queue import SendQueue

__all__ = ["DEFAULT_LIMITS", "admitted", "bound_receive_buffers", "count_memory"]

DEFAULT_LIMITS = derive_limits(memory_mib=200, descriptors=4300)
"""Limits of the smallest host."""

RECEIVE_BUFFER_BYTES = 64 * 1024
"""Receive buffer of each connection, which the system doubles. The event loop reads
all that has arrived before a connection can stop it."""
LOG_INTERVAL_S = 1.0

log = structlog.get_logger(__name__)


def bound_receive_buffers(listener: TypedAttributeProvider) -> None:
    """Give the connections that a listener accepts small receive buffers."""
    listener.extra(SocketAttribute.raw_socket).setsockopt(
        socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BUFFER_BYTES
    )


class FailureLog:
    """Logs failed connections, at most one line a second.

    Attributes
    ----------
    suppressed : int
        Failures since the last line.
    """

    __slots__ = ("logged_at", "suppressed")

    def __init__(self) -> None:
        self.logged_at = float("-inf")
        self.suppressed = 0

    def record(self, event: str, error: BaseException) -> None:
        """Log a failure unless a line was written within the last second."""
        now = boot_time_s()
        if now - self.logged_at < LOG_INTERVAL_S:
            self.suppressed += 1
            return
        log.info(event, error=repr(error), suppressed=self.suppressed)
        self.logged_at = now
        self.suppressed = 0


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


def count_memory(client: Client, reader: FrameReader, queue: SendQueue) -> None:
    """Count the messages that a connection holds after it has received bytes.

    Raises
    ------
    PeerError
        If the memory does not suffice, for example because the peer takes no replies.
    """
    incomplete = reader.held_bytes()
    client.enter(ClientState.RECEIVING if incomplete else ClientState.IDLE)
    if not client.hold(incomplete + queue.queued_bytes):
        raise PeerError("the memory for incomplete messages is in use")
