"""Requests and replies of many tasks on one connection."""

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
from rosemaryward.peers.outbox import Outbox

__all__ = ["RECEIVE_SIZE", "MultiplexedConnection"]

RECEIVE_SIZE = 64 * 1024  # bytes

ReplyT = TypeVar("ReplyT")


class _Pending(Generic[ReplyT]):
    __slots__ = ("answered", "failure", "reply", "sent_at")

    def __init__(self) -> None:
        self.answered = anyio.Event()
        self.reply: ReplyT | None = None
        self.failure = ""
        self.sent_at = boot_time_s()


class MultiplexedConnection(Generic[ReplyT]):
    """Connection to one proxy with its reader and writer.

    Parameters
    ----------
    stream : ByteStream
    link : LinkShaper, optional
        Given for a connection over the link between regions.
    decode : callable
        Parses a reply; raises `PeerError`.
    notice : callable, optional
        Called with each message that replies to no request, for example a late one.

    Attributes
    ----------
    broken : bool
        Whether the connection has ended.
    heard_at : float
        Boot time at which bytes last arrived.
    """

    __slots__ = (
        "broken",
        "decode",
        "heard_at",
        "ids",
        "link",
        "notice",
        "outbox",
        "pending",
        "stream",
    )

    def __init__(
        self,
        stream: ByteStream,
        link: LinkShaper | None,
        decode: Callable[[bytes], ReplyT],
        notice: Callable[[ReplyT], None] | None = None,
    ) -> None:
        self.stream = stream
        self.link = link
        self.decode = decode
        self.notice = notice
        self.outbox = Outbox(stream, LinkPurpose.STATEMENT, link)
        self.pending: dict[int, _Pending[ReplyT]] = {}
        self.ids = itertools.count(1)
        self.broken = False
        self.heard_at = float("-inf")

    async def run(self) -> None:
        """Read replies and write requests until the connection breaks."""
        reason = "connection closed"
        try:
            async with anyio.create_task_group() as group:
                group.start_soon(self.outbox.run)
                await self._read()
                group.cancel_scope.cancel()
        except* (anyio.BrokenResourceError, anyio.EndOfStream, OSError, PeerError) as e:
            reason = str(e.exceptions[0]) or type(e.exceptions[0]).__name__
        finally:
            self.fail(reason)
            with anyio.CancelScope(shield=True):
                await anyio.aclose_forcefully(self.stream)

    async def request(self, payload: bytes, rank: Rank, timeout_s: float) -> ReplyT:
        """Send an encoded request and return its reply.

        Raises
        ------
        OutcomeUnknownError
            If the connection broke or `timeout_s` passed before the reply.
        """
        request_id = next(self.ids)
        pending = self.pending[request_id] = _Pending()
        try:
            self.outbox.put(request_id, payload, rank)
            with anyio.move_on_after(timeout_s):
                await pending.answered.wait()
        finally:
            self.pending.pop(request_id, None)
        if pending.reply is None:
            raise OutcomeUnknownError(pending.failure or "no answer in time")
        return pending.reply

    def post(self, payload: bytes, rank: Rank) -> None:
        """Send an encoded message whose reply, if any, is a notice."""
        self.outbox.put(next(self.ids), payload, rank)

    def oldest_request_s(self) -> float:
        """Return for how long the oldest request has waited, 0 if there is none."""
        if not self.pending:
            return 0.0
        # Requests are kept in the order in which they were sent.
        return boot_time_s() - next(iter(self.pending.values())).sent_at

    def fail(self, reason: str) -> None:
        """End all requests, whose outcome is unknown."""
        self.broken = True
        for pending in self.pending.values():
            pending.failure = reason
            pending.answered.set()
        self.pending.clear()

    async def _read(self) -> None:
        reader = FrameReader()
        while True:
            data = await self.stream.receive(RECEIVE_SIZE)
            self.heard_at = boot_time_s()
            if self.link is not None:
                self.link.count_received(len(data), None, LinkPurpose.RESULT)
            for request_id, payload in reader.feed(data):
                pending = self.pending.pop(request_id, None)
                if pending is not None:
                    pending.reply = self.decode(payload)
                    pending.answered.set()
                elif self.notice is not None:
                    self.notice(self.decode(payload))
