"""Rate limit and priorities of one proxy's traffic between regions."""

from collections import deque
from collections.abc import Mapping

import anyio
from anyio import current_time

from rosemaryward.decisions.errors import SettingsError
from rosemaryward.decisions.links.traffic import (
    LinkDirection,
    LinkPurpose,
    TrafficCounter,
)
from rosemaryward.decisions.types import Rank

__all__ = ["LinkShaper"]

MAX_CHUNK_BYTES = 16 * 1024  # largest piece sent before priorities are evaluated again
MIN_CHUNK_BYTES = 1024
MAX_CHUNK_TIME_S = 0.01  # longest time that a chunk of lower rank blocks the link
BURST_S = 0.005  # time by which sending may run ahead of the rate
CONTROL_BURST_S = 0.1  # same for control traffic, which waits for no other class
CREDIT_WINDOW_S = 1.0  # seconds of its floor rate that a rank may accrue or owe
DEFAULT_FLOOR_SHARE = 0.10  # of the proxy's rate

TIMER_TOLERANCE_S = 1e-5  # a timer may fire early by the clock resolution

CONTROL_CLASS = 0  # traffic class of control messages; the ranks follow in order
CLASS_COUNT = 1 + len(Rank)


class PendingChunk:
    """Chunk that waits to be sent.

    Parameters
    ----------
    class_index : int
        Index of its traffic class.
    size : int
        Size in bytes.
    """

    __slots__ = ("class_index", "event", "granted", "size")

    def __init__(self, class_index: int, size: int) -> None:
        self.class_index = class_index
        self.size = size
        self.granted = False
        self.event = anyio.Event()


class ClassQueue:
    """Waiting chunks of one traffic class and its floor credit.

    Parameters
    ----------
    floor : float
        Share of the rate that the class keeps; 0 for none.

    Attributes
    ----------
    credit : float
        Bytes that the class may send because of its floor, negative if it has
        sent more.
    waiters : deque of PendingChunk
    """

    __slots__ = ("credit", "floor", "waiters")

    def __init__(self, floor: float) -> None:
        self.floor = floor
        self.credit = 0.0
        self.waiters: deque[PendingChunk] = deque()


class LinkShaper:
    """Limits the sending rate, with control traffic first and then rank by rank.

    Parameters
    ----------
    bits_per_s : float
        Capacity of the link in the sending direction, in bits per second.
    share : float
        Share of the link that this proxy may use, in (0, 1]. The proxies of a
        region divide the link among themselves.
    floors : Mapping of Rank to float, optional
        Share of this proxy's rate that a rank keeps while higher ranks send, by
        default 10% each for normal and bulk.

    Notes
    -----
    The shaper has no task of its own. One of the waiting senders, the driver,
    sleeps until the link is free and then grants the next chunks.
    """

    __slots__ = (
        "bits_per_s",
        "bytes_per_s",
        "classes",
        "credit_updated_at",
        "driver",
        "link_free_at",
        "traffic",
    )

    def __init__(
        self,
        bits_per_s: float,
        share: float = 1.0,
        floors: Mapping[Rank, float] | None = None,
    ) -> None:
        floors = floors or {
            Rank.NORMAL: DEFAULT_FLOOR_SHARE,
            Rank.BULK: DEFAULT_FLOOR_SHARE,
        }
        self.bits_per_s = bits_per_s
        self.set_share(share)
        self.classes = [ClassQueue(0.0) for _ in range(CLASS_COUNT)]
        for rank, floor in floors.items():
            self.classes[CONTROL_CLASS + 1 + rank].floor = floor
        self.driver: PendingChunk | None = None
        self.link_free_at = float("-inf")
        self.credit_updated_at = 0.0
        self.traffic = TrafficCounter()

    def set_share(self, share: float) -> None:
        """Change the share of the link that this proxy may use, in (0, 1]."""
        if not 0.0 < share <= 1.0:
            raise SettingsError(f"link share: expected a number in (0, 1], got {share}")
        self.bytes_per_s = self.bits_per_s / 8.0 * share

    @property
    def chunk_bytes(self) -> int:
        """Largest piece in bytes that a sender writes at once."""
        chunk = int(self.bytes_per_s * MAX_CHUNK_TIME_S)
        return max(MIN_CHUNK_BYTES, min(MAX_CHUNK_BYTES, chunk))

    async def acquire(self, size: int, rank: Rank | None, purpose: LinkPurpose) -> None:
        """Wait until `size` bytes may be sent, and count them.

        Parameters
        ----------
        size : int
            Number of bytes. Senders of long messages acquire and write pieces of
            `chunk_bytes`; a larger size waits until all its pieces may be sent.
        rank : Rank or None
            None for control traffic, which precedes all ranks.
        purpose : LinkPurpose
        """
        class_index = CONTROL_CLASS if rank is None else CONTROL_CLASS + 1 + rank
        remaining = size
        while remaining > 0:
            chunk = min(remaining, self.chunk_bytes)
            await self._acquire_chunk(class_index, chunk)
            self.traffic.add(LinkDirection.SENT, rank, purpose, chunk)
            remaining -= chunk

    def count_received(
        self, size: int, rank: Rank | None, purpose: LinkPurpose
    ) -> None:
        """Count `size` bytes received over the link."""
        self.traffic.add(LinkDirection.RECEIVED, rank, purpose, size)

    def backlog_s(self) -> float:
        """Return the time in seconds until all waiting chunks are sent."""
        waiting = sum(w.size for c in self.classes for w in c.waiters)
        ahead_s = max(0.0, self.link_free_at - current_time())
        return ahead_s + waiting / self.bytes_per_s

    async def _acquire_chunk(self, class_index: int, size: int) -> None:
        now = current_time()
        self._accrue_credit(now)
        waiting = any(queue.waiters for queue in self.classes)
        is_next = not (
            self.classes[CONTROL_CLASS].waiters
            if class_index == CONTROL_CLASS
            else waiting
        )
        if is_next and self._delay_s(class_index, now) <= 0.0:
            self._record_send(class_index, size, now)
            return
        waiter = PendingChunk(class_index, size)
        self.classes[class_index].waiters.append(waiter)
        try:
            await self._wait_for_turn(waiter)
        finally:
            if not waiter.granted:
                self.classes[class_index].waiters.remove(waiter)
            if self.driver is waiter:
                self._select_driver()

    async def _wait_for_turn(self, waiter: PendingChunk) -> None:
        while not waiter.granted:
            if self.driver is None:
                self.driver = waiter
            if self.driver is waiter:
                await self._drive()
            else:
                await waiter.event.wait()
                waiter.event = anyio.Event()

    async def _drive(self) -> None:
        """Sleep until a chunk may be sent, then grant all chunks that are due."""
        now = current_time()
        delay_s = self._delay_s(self._next_class(), now)
        if delay_s > 0.0:
            await anyio.sleep(delay_s + TIMER_TOLERANCE_S)
        now = current_time()
        self._accrue_credit(now)
        while any(queue.waiters for queue in self.classes):
            class_index = self._next_class()
            if self._delay_s(class_index, now) > 0.0:
                return
            waiter = self.classes[class_index].waiters.popleft()
            waiter.granted = True
            waiter.event.set()
            self._record_send(class_index, waiter.size, now)

    def _select_driver(self) -> None:
        self.driver = None
        for queue in self.classes:
            if queue.waiters:
                self.driver = queue.waiters[0]
                self.driver.event.set()
                return

    def _delay_s(self, class_index: int, now: float) -> float:
        """Return the time until a traffic class may send; 0 or less means now."""
        burst_s = CONTROL_BURST_S if class_index == CONTROL_CLASS else BURST_S
        return self.link_free_at - burst_s - now - TIMER_TOLERANCE_S

    def _next_class(self) -> int:
        """Return the index of the traffic class whose first chunk is sent next."""
        classes = self.classes
        if classes[CONTROL_CLASS].waiters:
            return CONTROL_CLASS
        waiting = [i for i in range(CLASS_COUNT) if classes[i].waiters]
        in_credit = [
            i for i in waiting if classes[i].floor and classes[i].credit >= 0.0
        ]
        return (
            max(in_credit, key=lambda i: classes[i].credit) if in_credit else waiting[0]
        )

    def _record_send(self, class_index: int, size: int, now: float) -> None:
        self.link_free_at = max(self.link_free_at, now) + size / self.bytes_per_s
        queue = self.classes[class_index]
        if queue.floor:
            max_debt = queue.floor * self.bytes_per_s * CREDIT_WINDOW_S
            queue.credit = max(queue.credit - size, -max_debt)

    def _accrue_credit(self, now: float) -> None:
        elapsed_s = now - self.credit_updated_at
        self.credit_updated_at = now
        for queue in self.classes:
            if queue.floor:
                rate = queue.floor * self.bytes_per_s
                max_credit = rate * CREDIT_WINDOW_S if queue.waiters else 0.0
                queue.credit = min(queue.credit + rate * elapsed_s, max_credit)
