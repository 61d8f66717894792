"""Multiplexing of concurrent requests and their replies on one connection."""

import itertools
from collections.abc import Callable
from typing import Generic, TypeVar

import anyio
from anyio.abc import ByteStream

from rosemaryward.decisions.clock import boot_time_s
from rosemaryward.decisions.errors import OutcomeUnknownError, PeerError
from rosemaryward.decisions.links import LinkPurpose, LinkShaper
from rosemaryward.decisions.types import Rank
from rosemaryward.peers.frames import FrameReader
from rosemaryward.peers.send_queue import SendQueue

__all__ = ["RECEIVE_BYTES", "MultiplexedConnection"]

CONNECTION_ERRORS = (
    anyio.BrokenResourceError,
    anyio.EndOfStream,
    OSError,
    PeerError,
    RuntimeError,  # of the event loop, for a connection that it has closed
)
RECEIVE_BYTES = 64 * 1024

ReplyT = TypeVar("ReplyT")


class _PendingRequest(Generic[ReplyT]):
    """A request that waits for its reply."""

    __slots__ = ("completed", "failure", "reply", "sent_at")

    def __init__(self) -> None:
        self.completed = anyio.Event()
        self.reply: ReplyT | None = None
        self.failure = ""
        self.sent_at = boot_time_s()


class MultiplexedConnection(Generic[ReplyT]):
    """Connection to one proxy that carries concurrent requests.

    Parameters
    ----------
    stream : ByteStream
    link : LinkShaper, optional
        Shapes the traffic of a connection between regions.
    decode : callable
        Decodes a reply; raises `PeerError`.
    on_unsolicited : callable, optional
        Called with each message without a pending request, such as a late reply.

    Attributes
    ----------
    broken : bool
        Whether the connection has ended.
    last_received_at_s : float
        Time since boot at which bytes last arrived, in seconds.
    """

    __slots__ = (
        "broken",
        "decode",
        "last_received_at_s",
        "link",
        "on_unsolicited",
        "pending",
        "request_ids",
        "send_queue",
        "stream",
    )

    def __init__(
        self,
        stream: ByteStream,
        link: LinkShaper | None,
        decode: Callable[[bytes], ReplyT],
        on_unsolicited: Callable[[ReplyT], None] | None = None,
    ) -> None:
        self.stream = stream
        self.link = link
        self.decode = decode
        self.on_unsolicited = on_unsolicited
        self.send_queue = SendQueue(stream, LinkPurpose.STATEMENT, link)
        self.pending: dict[int, _PendingRequest[ReplyT]] = {}
        self.request_ids = itertools.count(1)
        self.broken = False
        self.last_received_at_s = float("-inf")

    async def run(self) -> None:
        """Read replies and write requests until the connection ends."""
        reason = "connection closed"
        try:
            async with anyio.create_task_group() as group:
                group.start_soon(self.send_queue.run)
                await self._read()
                group.cancel_scope.cancel()
        except* CONNECTION_ERRORS as e:
            reason = str(e.exceptions[0]) or type(e.exceptions[0]).__name__
        finally:
            self.fail(reason)
            with anyio.CancelScope(shield=True):
                await anyio.aclose_forcefully(self.stream)

    async def request(self, payload: bytes, rank: Rank, timeout_s: float) -> ReplyT:
        """Send an encoded request and return its reply.

        Parameters
        ----------
        payload : bytes
        rank : Rank
            Priority in the send queue.
        timeout_s : float
            Longest wait for the reply.

        Raises
        ------
        OutcomeUnknownError
            If the connection broke or `timeout_s` passed before the reply.
        """
        request_id = next(self.request_ids)
        pending = self.pending[request_id] = _PendingRequest()
        try:
            self.send_queue.put(request_id, payload, rank)
            with anyio.move_on_after(timeout_s):
                await pending.completed.wait()
        finally:
            self.pending.pop(request_id, None)
        if pending.reply is None:
            raise OutcomeUnknownError(
                pending.failure or f"no reply within {timeout_s:.3f} s"
            )
        return pending.reply

    def send(self, payload: bytes, rank: Rank) -> None:
        """Send an encoded message without waiting for a reply."""
        self.send_queue.put(next(self.request_ids), payload, rank)

    def oldest_request_age_s(self) -> float:
        """Return how long the oldest pending request has waited, 0 for none."""
        if not self.pending:
            return 0.0
        # The dict keeps the order in which the requests were sent.
        return boot_time_s() - next(iter(self.pending.values())).sent_at

    def fail(self, reason: str) -> None:
        """Mark the connection as broken and fail all pending requests."""
        self.broken = True
        for pending in self.pending.values():
            pending.failure = reason
            pending.completed.set()
        self.pending.clear()

    async def _read(self) -> None:
        reader = FrameReader()
        while True:
            data = await self.stream.receive(RECEIVE_BYTES)
            self.last_received_at_s = boot_time_s()
            if self.link is not None:
                self.link.count_received(len(data), None, LinkPurpose.RESULT)
            for request_id, payload in reader.feed(data):
                pending = self.pending.pop(request_id, None)
                if pending is not None:
                    pending.reply = self.decode(payload)
                    pending.completed.set()
                elif self.on_unsolicited is not None:
                    self.on_unsolicited(self.decode(payload))
