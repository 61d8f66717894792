import anyio
import pytest
from anyio import current_time

from rosemaryward.decisions.admission import AdmissionQueue
from rosemaryward.decisions.errors import OverloadError
from rosemaryward.decisions.gateway.connections import ENDPOINT_ADMISSION
from rosemaryward.decisions.gateway.tests.fakes import GatewayHarness, make_endpoint
from rosemaryward.decisions.types import Rank

pytestmark = pytest.mark.looptime

SLOTS = 3
LOAD_S = 10.0
BULK_SERVICE_S = 0.025
BULK_INTERVAL_S = 0.011  # about three quarters of the slots' time
BULK_DEADLINE_S = 0.8
URGENT_SERVICE_S = 0.003


class Load:
    """Statements of two ranks at one endpoint, with their latencies."""

    def __init__(self):
        self.queue = AdmissionQueue(SLOTS, {}, ENDPOINT_ADMISSION)
        self.refused = 0
        self.latencies = {rank: [] for rank in Rank}

    async def run(self, rank, service_s, deadline_s):
        arrived_at = current_time()
        try:
            async with self.queue.slot(rank, f"{arrived_at}", "t", deadline_s):
                await anyio.sleep(service_s)
        except OverloadError:
            self.refused += 1
            return
        self.latencies[rank].append(current_time() - arrived_at)

    async def play(self, rank, interval_s, service_s, deadline_s):
        async with anyio.create_task_group() as tasks:
            for _ in range(round(LOAD_S / interval_s)):
                tasks.start_soon(self.run, rank, service_s, deadline_s)
                await anyio.sleep(interval_s)


@pytest.mark.parametrize(
    ("interval_s", "deadline_s"),
    [
        pytest.param(0.5, 0.8, id="rare"),
        pytest.param(0.05, 0.8, id="frequent"),
    ],
)
async def test_urgent_statements_leave_free_slots_to_other_ranks(
    interval_s, deadline_s
):
    """Guards against refusals while slots are kept free for urgent statements."""
    load = Load()
    async with anyio.create_task_group() as tasks:
        tasks.start_soon(
            load.play, Rank.URGENT, interval_s, URGENT_SERVICE_S, deadline_s
        )
        tasks.start_soon(
            load.play, Rank.BULK, BULK_INTERVAL_S, BULK_SERVICE_S, BULK_DEADLINE_S
        )
    assert load.refused == 0
    assert max(load.latencies[Rank.BULK]) < BULK_DEADLINE_S / 4
    assert max(load.latencies[Rank.URGENT]) < deadline_s / 4


async def test_urgent_statements_with_short_deadlines_get_reserved_slots():
    """Guards against urgent statements that always wait for long ones."""
    load = Load()
    async with anyio.create_task_group() as tasks:
        tasks.start_soon(load.play, Rank.URGENT, 0.05, URGENT_SERVICE_S, 0.1)
        tasks.start_soon(load.play, Rank.BULK, 0.02, 0.4, 4.0)
    late = [s for s in load.latencies[Rank.URGENT][-50:] if s > 0.1]
    assert len(late) <= 1


async def test_weights_reach_present_and_later_endpoints():
    """Guards against endpoints whose queues serve all tenants alike."""
    harness = GatewayHarness()
    weights = {"t": 1.0}.get
    harness.directory.set_weights(weights)
    harness.directory.observe(make_endpoint("i-4"))
    pools = harness.directory.pools.values()
    assert len(pools) == 4
    assert all(pool.queue.weights is weights for pool in pools)
    harness.directory.set_weights(None)
    assert all(pool.queue.weights is None for pool in pools)
