from random import Random

import anyio
import pytest
from anyio import current_time

from rosemaryward.decisions.admission import AdmissionQueue
from rosemaryward.decisions.errors import OverloadError
from rosemaryward.decisions.types import Rank

pytestmark = pytest.mark.looptime

SERVICE_S = 0.02


class SimulatedEndpoint:
    """Endpoint behind an admission queue; it queues statements over its concurrency."""

    def __init__(self, queue: AdmissionQueue, concurrency: int, seed: int = 1) -> None:
        self.queue = queue
        self.concurrency = anyio.Semaphore(concurrency)
        self.random = Random(seed)
        self.completed: dict[str, int] = {}
        self.slot_time_s = dict.fromkeys(Rank, 0.0)
        self.limits: list[int] = []

    async def run(self, rank: Rank, caller: str, service_s: float) -> None:
        try:
            async with self.queue.slot(rank, caller, "t", 2.0):
                started_at = current_time()
                async with self.concurrency:
                    await anyio.sleep(service_s * self.random.uniform(0.5, 1.5))
                self.slot_time_s[rank] += current_time() - started_at
                self.completed[caller] = self.completed.get(caller, 0) + 1
        except OverloadError:
            pass

    async def send_load(
        self,
        rank: Rank,
        callers: dict[str, float],
        until: float,
        service_s: float = SERVICE_S,
    ) -> None:
        """Send statements of callers, given by rate per second, until a loop time."""
        async with anyio.create_task_group() as tasks:
            names, rates = list(callers), list(callers.values())
            while current_time() < until:
                (caller,) = self.random.choices(names, rates)
                tasks.start_soon(self.run, rank, caller, service_s)
                self.limits.append(self.queue.limit)
                await anyio.sleep(self.random.expovariate(sum(rates)))


@pytest.mark.parametrize("slots", [3, 5])
async def test_overloading_caller_does_not_starve_others(slots: int) -> None:
    """Guards against one caller that starves the others of its rank."""
    endpoint = SimulatedEndpoint(AdmissionQueue(slots, {}), slots)
    capacity = slots / SERVICE_S
    callers = {"heavy": 5.0 * capacity, "a": capacity * 0.2, "b": capacity * 0.2}
    await endpoint.send_load(Rank.URGENT, callers, current_time() + 10.0)
    offered = capacity * 0.2 * 10.0
    assert endpoint.completed["a"] >= offered * 0.9
    assert endpoint.completed["b"] >= offered * 0.9


@pytest.mark.parametrize("slots", [3, 5])
@pytest.mark.parametrize("long_rank", [Rank.URGENT, Rank.BULK])
async def test_floor_holds_against_longer_statements(
    slots: int, long_rank: Rank
) -> None:
    """Guards against floors in numbers of statements instead of slot time."""
    endpoint = SimulatedEndpoint(AdmissionQueue(slots, {}), slots)
    until = current_time() + 20.0
    async with anyio.create_task_group() as tasks:
        for rank in (Rank.URGENT, Rank.BULK):
            service_s = 0.2 if rank is long_rank else SERVICE_S
            rate = 2.0 * slots / service_s
            callers = {f"{rank.name}{n}": rate / 10 for n in range(10)}
            tasks.start_soon(endpoint.send_load, rank, callers, until, service_s)
    share = endpoint.slot_time_s[Rank.BULK] / (20.0 * slots)
    assert share == pytest.approx(0.1, abs=0.01)


@pytest.mark.parametrize(
    ("slots", "concurrency"), [(5, 2), (5, 1), (3, 1), (5, 5), (3, 3)]
)
async def test_limit_follows_the_concurrency_of_the_endpoint(
    slots: int, concurrency: int
) -> None:
    """Guards against a queue inside the endpoint, which ignores ranks."""
    endpoint = SimulatedEndpoint(AdmissionQueue(slots, {}), slots)
    callers = {f"c{n}": 0.2 * slots / SERVICE_S for n in range(10)}
    await endpoint.send_load(Rank.URGENT, callers, current_time() + 5.0)
    endpoint.concurrency = anyio.Semaphore(concurrency)
    await endpoint.send_load(Rank.URGENT, callers, current_time() + 10.0)
    endpoint.limits.clear()
    await endpoint.send_load(Rank.URGENT, callers, current_time() + 10.0)
    assert sum(endpoint.limits) / len(endpoint.limits) == pytest.approx(
        concurrency, abs=0.5
    )
    endpoint.concurrency = anyio.Semaphore(slots)
    await endpoint.send_load(Rank.URGENT, callers, current_time() + 15.0)
    endpoint.limits.clear()
    await endpoint.send_load(Rank.URGENT, callers, current_time() + 5.0)
    assert sum(endpoint.limits) / len(endpoint.limits) >= 0.95 * slots


async def test_slower_statements_do_not_lower_the_limit() -> None:
    """Guards against a lower limit when slower statements are not due to queueing."""
    endpoint = SimulatedEndpoint(AdmissionQueue(3, {}), 3)
    callers = {f"c{n}": 45.0 for n in range(10)}
    await endpoint.send_load(Rank.URGENT, callers, current_time() + 5.0)
    endpoint.limits.clear()
    await endpoint.send_load(Rank.URGENT, callers, current_time() + 20.0, 0.06)
    assert sum(endpoint.limits) / len(endpoint.limits) >= 2.7
