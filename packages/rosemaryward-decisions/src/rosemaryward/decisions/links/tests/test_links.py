import asyncio
from random import Random

import anyio
import pytest
from anyio import current_time

from rosemaryward.decisions.links import (
    LinkDirection,
    LinkPurpose,
    LinkShaper,
    TrafficKey,
    compress_if_smaller,
    decompress,
)
from rosemaryward.decisions.types import Rank

BITS_PER_S = 15e6


async def saturate(
    shaper: LinkShaper, rank: Rank, until: float, senders: int = 8
) -> int:
    """Send as much as the link allows and return the number of bytes."""
    sent = 0

    async def send() -> None:
        nonlocal sent
        while current_time() < until:
            await shaper.acquire(16_384, rank, LinkPurpose.RESULT)
            sent += 16_384

    async with anyio.create_task_group() as tasks:
        for _ in range(senders):
            tasks.start_soon(send)
    return sent


@pytest.mark.looptime
@pytest.mark.parametrize("share", [1.0, 1 / 3, 1 / 6])
async def test_rate_stays_within_the_share(share: float) -> None:
    """Guards against proxies that together exceed the capacity of the link."""
    shaper = LinkShaper(BITS_PER_S, share)
    sent = await saturate(shaper, Rank.BULK, current_time() + 5.0)
    assert sent * 8 <= BITS_PER_S * share * 5.0 * 1.02 + 9 * 16_384 * 8
    assert sent * 8 >= BITS_PER_S * share * 5.0 * 0.98


@pytest.mark.looptime
async def test_floors_hold_under_urgent_overload() -> None:
    """Guards against starvation of lower ranks on the link."""
    shaper = LinkShaper(BITS_PER_S)
    until = current_time() + 10.0
    tasks = [asyncio.create_task(saturate(shaper, rank, until)) for rank in Rank]
    urgent, normal, bulk = [await task for task in tasks]
    total = urgent + normal + bulk
    assert normal / total == pytest.approx(0.1, abs=0.01)
    assert bulk / total == pytest.approx(0.1, abs=0.01)


@pytest.mark.looptime
@pytest.mark.parametrize(("rank", "bound_s"), [(None, 0.001), (Rank.URGENT, 0.025)])
async def test_small_messages_overtake_bulk_traffic(
    rank: Rank | None, bound_s: float
) -> None:
    """Guards against heartbeats and urgent answers queued behind bulk results."""
    shaper = LinkShaper(BITS_PER_S, 1 / 3)
    waits: list[float] = []
    async with anyio.create_task_group() as tasks:
        tasks.start_soon(saturate, shaper, Rank.BULK, current_time() + 5.0)
        for _ in range(40):
            await anyio.sleep(0.1)
            started = current_time()
            await shaper.acquire(200, rank, LinkPurpose.MEMBERSHIP)
            waits.append(current_time() - started)
    assert max(waits) <= bound_s


@pytest.mark.looptime
async def test_cancelled_driver_is_replaced() -> None:
    """Guards against a link that stalls when the driving sender is cancelled."""
    shaper = LinkShaper(BITS_PER_S, 0.01)
    sends = [
        asyncio.create_task(shaper.acquire(4096, Rank.BULK, LinkPurpose.RESULT))
        for _ in range(5)
    ]
    await anyio.sleep(0.01)
    for task in sends[:3]:
        task.cancel()
    await asyncio.gather(*sends, return_exceptions=True)
    assert [task.cancelled() for task in sends] == [True] * 3 + [False] * 2
    assert shaper.driver is None
    assert not any(queue.waiters for queue in shaper.classes)


@pytest.mark.looptime
async def test_bytes_are_counted_by_direction_rank_and_purpose() -> None:
    """Guards against billed traffic that cannot be attributed."""
    shaper = LinkShaper(BITS_PER_S)
    await shaper.acquire(40_000, Rank.BULK, LinkPurpose.RESULT)
    await shaper.acquire(100, None, LinkPurpose.MEMBERSHIP)
    shaper.count_received(70, Rank.URGENT, LinkPurpose.STATEMENT)
    sent, received = LinkDirection.SENT, LinkDirection.RECEIVED
    assert shaper.traffic.totals == {
        TrafficKey(sent, Rank.BULK, LinkPurpose.RESULT): 40_000,
        TrafficKey(sent, None, LinkPurpose.MEMBERSHIP): 100,
        TrafficKey(received, Rank.URGENT, LinkPurpose.STATEMENT): 70,
    }


@pytest.mark.parametrize(
    ("data", "compressed"),
    [
        (b"depot-17;booked;" * 64, True),
        (b"short", False),
        (Random(1).randbytes(4096), False),
    ],
    ids=["rows", "short", "incompressible"],
)
def test_compression_only_if_it_saves_bytes(data: bytes, compressed: bool) -> None:
    """Guards against messages that grow and against lost bytes."""
    message, is_compressed = compress_if_smaller(data)
    assert is_compressed is compressed
    assert (decompress(message, len(data)) if compressed else message) == data


@pytest.mark.parametrize("damage", ["cut", "garbage", "large"])
def test_damaged_messages_are_rejected(damage: str) -> None:
    """Guards against damaged messages and unbounded expansion."""
    data, _ = compress_if_smaller(bytes(100_000))
    data = {"cut": data[:-8], "garbage": b"x" * 50, "large": data}[damage]
    with pytest.raises(ValueError, match=r"message"):
        decompress(data, 50_000)
