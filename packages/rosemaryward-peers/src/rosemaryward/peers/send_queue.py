"""Priority queue of outgoing frames of one connection."""

from collections import deque
from collections.abc import Callable, Iterator

import anyio
from anyio.abc import ByteStream

from rosemaryward.decisions.links import (
    LinkPurpose,
    LinkShaper,
    compress_if_smaller,
)
from rosemaryward.decisions.types import Rank
from rosemaryward.peers.frames import FRAGMENT_BYTES, HEADER_BYTES, split_frames

__all__ = ["SendQueue"]

BATCH_BYTES = 64 * 1024


class SendQueue:
    """Queues messages by rank and writes their frames in batches.

    Parameters
    ----------
    stream : ByteStream
    purpose : LinkPurpose
        Purpose under which the bytes are counted.
    link : LinkShaper, optional
        Shapes the traffic of a connection between regions. Messages are then
        compressed, and sent when the shaper permits.

    Attributes
    ----------
    queued_bytes : int
        Bytes of the messages that are not written yet.
    on_sending, on_written : callable
        Called before and after a batch is written.
    """

    __slots__ = (
        "link",
        "on_sending",
        "on_written",
        "purpose",
        "queued_bytes",
        "queues",
        "stream",
        "wakeup",
    )

    def __init__(
        self,
        stream: ByteStream,
        purpose: LinkPurpose,
        link: LinkShaper | None = None,
    ) -> None:
        self.stream = stream
        self.purpose = purpose
        self.link = link
        self.queues: dict[Rank, deque[Iterator[bytes]]] = {r: deque() for r in Rank}
        self.queued_bytes = 0
        self.on_sending: Callable[[], None] = lambda: None
        self.on_written: Callable[[], None] = lambda: None
        self.wakeup = anyio.Event()

    def put(self, request_id: int, payload: bytes, rank: Rank) -> None:
        """Queue an encoded message."""
        self.queued_bytes += len(payload)
        if self.link is None:
            frames = split_frames(request_id, payload)
        else:
            encoded, compressed = compress_if_smaller(payload)
            fragment_bytes = min(FRAGMENT_BYTES, self.link.chunk_bytes)
            self.queued_bytes += len(encoded) - len(payload)
            frames = split_frames(request_id, encoded, fragment_bytes, compressed)
        self.queues[rank].append(frames)
        self.wakeup.set()

    async def run(self) -> None:
        """Write queued frames until cancelled or the stream breaks."""
        while True:
            rank, batch, size = self._next_batch()
            if not batch:
                self.wakeup = anyio.Event()
                await self.wakeup.wait()
                continue
            if self.link is not None:
                await self.link.acquire(len(batch), rank, self.purpose)
            self.on_sending()
            await self.stream.send(batch)
            self.queued_bytes -= size
            self.on_written()

    def _next_batch(self) -> tuple[Rank, bytes, int]:
        """Return the next frames of the most urgent rank, and their message bytes.

        Messages of one rank are served round-robin, one frame at a time, so that a
        long message does not delay short ones.
        """
        limit = BATCH_BYTES if self.link is None else self.link.chunk_bytes
        for rank, queue in self.queues.items():
            frames: list[bytes] = []
            size = 0
            while queue and size < limit:
                message = queue.popleft()
                frame = next(message, None)
                if frame is not None:
                    frames.append(frame)
                    size += len(frame)
                    queue.append(message)
            if frames:
                return rank, b"".join(frames), size - HEADER_BYTES * len(frames)
        return Rank.BULK, b"", 0
