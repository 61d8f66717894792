from random import Random

import anyio
import pytest
from anyio import current_time

from rosemaryward.decisions.admission import AdmissionQueue
from rosemaryward.decisions.admission.grant import GrantState
from rosemaryward.decisions.admission.warmup import MIN_HOLD_S, WarmupLimit
from rosemaryward.decisions.errors import OverloadError
from rosemaryward.decisions.gateway.environment import ReadPolicy
from rosemaryward.decisions.gateway.outcomes import Answer, ConnectionState, Failure
from rosemaryward.decisions.gateway.tests.fakes import (
    GROUP,
    NEAR,
    GatewayHarness,
    make_endpoint,
)
from rosemaryward.decisions.types import LogPosition, Rank

SLOTS = 5  # of every instance of the harness
SERVICE_S = 0.02
DEADLINE_S = 0.8
RECOVERY_S = 3.0  # within which a recovered server has its fair share of the work
OLD_START_MS = 1_000_000
NOW_S = 2_000_000.0
ANSWER = Answer(["row"], "", ConnectionState.IDLE, LogPosition(1, 10))


class ColdServer:
    """Server that runs few statements well at first, and more as it has run some.

    Statements beyond that number slow each other down.
    """

    def __init__(self, warm_share=1.0, warm_after=100):
        self.warm_share = warm_share
        self.warm_after = warm_after
        self.running = 0
        self.answers_at = []

    async def run(self, random):
        self.running += 1
        try:
            usable = 1.0 + (SLOTS - 1.0) * self.warm_share
            crowding = max(1.0, self.running / usable) ** 1.5
            cold = 1.0 + 2.0 * (1.0 - self.warm_share)
            await anyio.sleep(SERVICE_S * random.uniform(0.5, 1.5) * crowding * cold)
        finally:
            self.running -= 1
        self.warm_share = min(1.0, self.warm_share + 1.0 / self.warm_after)
        self.answers_at.append(current_time())


class Fleet:
    """Reads of proxies at a primary and two replicas, placed by the selector."""

    def __init__(self, proxies):
        self.harnesses = [
            GatewayHarness(ReadPolicy.BOUNDED_STALENESS, clock=current_time)
            for _ in range(proxies)
        ]
        self.servers = {name: ColdServer() for name in ("i-1", "i-2", "i-3")}
        self.refused = []
        self.latencies = []
        self.random = Random(1)

    async def read(self, harness):
        arrived_at = current_time()
        harness.leadership.confirm(arrived_at)
        harness.sample_primary()
        target = harness.selector.select_read(
            harness.route, arrived_at, LogPosition(), set()
        )
        pool = target.pool
        try:
            async with pool.queue.slot(Rank.NORMAL, "c", "t", DEADLINE_S):
                await self.servers[pool.endpoint.id].run(self.random)
                pool.record_answer(ANSWER)
        except OverloadError:
            self.refused.append((pool.endpoint.id, arrived_at))
            return
        self.latencies.append((arrived_at, current_time() - arrived_at))

    async def play(self, rate, duration_s):
        until = current_time() + duration_s
        async with anyio.create_task_group() as tasks:
            while current_time() < until:
                tasks.start_soon(self.read, self.random.choice(self.harnesses))
                await anyio.sleep(self.random.expovariate(rate))

    def rate(self, name, since, until):
        answers = self.servers[name].answers_at
        return sum(since <= at < until for at in answers) / (until - since)


@pytest.mark.looptime
@pytest.mark.parametrize(
    ("proxies", "rate", "warm_after"),
    [
        pytest.param(1, 500.0, 100, id="one-relay"),
        pytest.param(6, 220.0, 50, id="proxies-that-do-not-know-each-other"),
    ],
)
async def test_recovered_server_has_its_fair_work_in_time(proxies, rate, warm_after):
    """Guards against a recovered server that is flooded or left idle."""
    fleet = Fleet(proxies)
    await fleet.play(rate, 3.0)
    before = fleet.rate("i-2", 1.0, 3.0)
    for harness in fleet.harnesses:
        for _ in range(4):
            harness.pool(harness.near).record_failure("no answer")
    await fleet.play(0.6 * rate, 2.0)
    fleet.servers["i-2"] = ColdServer(0.0, warm_after)
    for harness in fleet.harnesses:
        harness.pool(harness.near).record_answer(ANSWER)
    recovered_at = current_time()
    await fleet.play(rate, RECOVERY_S + 2.0)
    after = fleet.rate("i-2", recovered_at + RECOVERY_S, recovered_at + RECOVERY_S + 2)
    assert after >= 0.9 * before
    assert not fleet.refused
    if proxies == 1:
        latencies = [s for at, s in fleet.latencies if at >= recovered_at]
        assert max(latencies) <= DEADLINE_S


@pytest.mark.looptime
@pytest.mark.parametrize("service_s", [SERVICE_S, 3.0 * SERVICE_S])
async def test_primary_that_answers_well_has_all_slots_soon(service_s):
    """Guards against a primary that is held back although it answers well.

    One that is slow at any limit is not held back longer than its answers take.
    """
    harness = GatewayHarness()
    queue = harness.pool(harness.primary).queue
    queue.begin_warmup()
    assert queue.limit == 1
    random = Random(2)
    began_at = current_time()
    refused = []

    async def write():
        try:
            async with queue.slot(Rank.NORMAL, "c", "t", DEADLINE_S):
                await anyio.sleep(service_s * random.uniform(0.9, 1.1))
        except OverloadError as error:
            refused.append(error)

    async with anyio.create_task_group() as tasks:
        while queue.limit < SLOTS:
            tasks.start_soon(write)
            await anyio.sleep(service_s / SLOTS / 0.6)
        # Eight answers at one slot, at two and at four, and the end of each step.
        assert current_time() - began_at <= 18 * service_s
    assert not refused


@pytest.mark.looptime
async def test_server_that_gains_nothing_is_not_flooded():
    """Guards against a limit that rises although the throughput does not."""
    harness = GatewayHarness()
    queue = harness.pool(harness.primary).queue
    queue.begin_warmup()
    running = 0
    limits = []

    async def write():
        nonlocal running
        async with queue.slot(Rank.NORMAL, "c", "t", 10.0):
            running += 1
            limits.append(queue.warmup.limit)
            await anyio.sleep(SERVICE_S * running)
            running -= 1

    with anyio.move_on_after(5.0):
        async with anyio.create_task_group() as tasks:
            while True:
                if queue.queued < 3:
                    tasks.start_soon(write)
                await anyio.sleep(0.005)
    assert max(limits) <= 2
    assert sum(limits) / len(limits) <= 1.5


@pytest.mark.looptime
async def test_limit_rises_without_answers_and_refuses_nothing():
    """Guards against statements that the limit alone keeps from their deadline."""
    harness = GatewayHarness()
    queue = harness.pool(harness.primary).queue
    queue.begin_warmup()
    started_at = []

    async def run():
        async with queue.slot(Rank.NORMAL, "c", "t", 0.3):
            started_at.append(current_time())
            await anyio.sleep(20.0)

    begin = current_time()
    async with anyio.create_task_group() as tasks:
        for _ in range(SLOTS):
            tasks.start_soon(run)
    assert len(started_at) == SLOTS
    assert max(started_at) - begin <= 0.3
    assert not queue.warmup.active


@pytest.mark.looptime
async def test_warm_up_without_demand_ends():
    """Guards against an endpoint that is still limited long after its start."""
    harness = GatewayHarness()
    queue = harness.pool(harness.near).queue
    queue.begin_warmup()
    for _ in range(2):
        async with queue.slot(Rank.NORMAL, "c", "t", DEADLINE_S):
            pass
        await anyio.sleep(11.0)
    async with queue.slot(Rank.NORMAL, "c", "t", DEADLINE_S):
        assert queue.limit == SLOTS


@pytest.mark.looptime
async def test_read_that_a_limited_endpoint_refuses_runs_elsewhere():
    """Guards against refusals by a recovered endpoint beside idle ones."""
    harness = GatewayHarness(ReadPolicy.BOUNDED_STALENESS, clock=current_time)
    harness.leadership.confirm(current_time())
    harness.sample_primary()
    near = harness.pool(harness.near)
    near.queue.begin_warmup()
    near.queue.close()
    assert [reply.failure for reply in await harness.serve("READ x")] == [None]
    assert harness.far.texts() or harness.primary.texts()


def observed(*, listed, known_ms, started_ms):
    """Return whether a registration begins a warm-up."""
    harness = GatewayHarness()
    directory = harness.directory
    directory.unix_clock = lambda: NOW_S
    if known_ms is not None:
        directory.observe(make_endpoint("i-4", NEAR, started_at=known_ms))
    if listed:
        directory.mark_listed()
    directory.observe(make_endpoint("i-4", NEAR, started_at=started_ms))
    assert len(directory.in_group(GROUP)) == 4
    assert directory.warming_count() == directory.warmups["started"]
    return directory.pools["i-4"].queue.warmup.active


NEW_MS = int(NOW_S * 1000) - 2000


@pytest.mark.parametrize(
    ("listed", "known_ms", "started_ms", "expected"),
    [
        pytest.param(True, None, NEW_MS, True, id="appears"),
        pytest.param(True, None, 0, True, id="appears-without-start-time"),
        pytest.param(True, None, OLD_START_MS, False, id="appears-with-old-start"),
        pytest.param(False, None, NEW_MS, False, id="first-listing"),
        pytest.param(False, None, 0, False, id="first-listing-without-start-time"),
        pytest.param(True, OLD_START_MS, NEW_MS, True, id="restarted"),
        pytest.param(True, OLD_START_MS, OLD_START_MS, False, id="unchanged"),
        pytest.param(True, 0, NEW_MS, False, id="start-time-becomes-known"),
    ],
)
def test_registration_that_begins_a_warm_up(listed, known_ms, started_ms, expected):
    """Guards against a proxy that slows running servers when it starts itself."""
    found = observed(listed=listed, known_ms=known_ms, started_ms=started_ms)
    assert found is expected


def test_answer_after_failures_begins_a_warm_up():
    """Guards against a flood of an endpoint that answers again."""
    harness = GatewayHarness()
    pool = harness.pool(harness.near)
    pool.record_answer(ANSWER)
    assert not pool.queue.warmup.active
    pool.record_failure("no answer")
    pool.record_answer(ANSWER)
    assert pool.queue.limit == 1
    assert harness.directory.warmups == {"started": 0, "recovered": 1}


def test_relayed_pool_leaves_the_limit_to_the_relay():
    """Guards against a limit on each proxy's share of one relay's work."""
    harness = GatewayHarness()
    pool = harness.pool(harness.near)
    pool.relayed = True
    pool.record_failure("no answer")
    pool.record_answer(ANSWER)
    assert not pool.queue.warmup.active


@pytest.mark.looptime
async def test_refusal_of_a_busy_server_lowers_the_limit():
    """Guards against a limit that ignores a server that refuses work."""
    harness = GatewayHarness()
    pool = harness.pool(harness.near)
    pool.begin_warmup("started")
    while pool.queue.limit < 4:
        async with pool.queue.slot(Rank.NORMAL, "c", "t", DEADLINE_S):
            await anyio.sleep(SERVICE_S)
    refusal = Answer([], "", ConnectionState.IDLE, None, Failure.BUSY, "busy")
    pool.record_answer(refusal)
    assert pool.queue.limit == 2


@pytest.mark.looptime
async def test_refusals_of_one_step_halve_the_limit_once():
    """Guards against a limit of one after a burst of refusals, and lost pauses."""
    limit = WarmupLimit(16)
    limit.begin()
    limit.advance(0.0, 0)
    now = 0.0
    while limit.limit < 8:
        now += 0.3
        limit.advance(now, 0)
    now += 0.2
    for _ in range(3):
        limit.record_overload(now)
    assert limit.limit == 4
    assert limit.hold_until == now + MIN_HOLD_S
    limit.record(Rank.NORMAL, SERVICE_S, 8, now - 0.1)
    assert not limit.times.count  # it ran at the limit before
    while limit.limit == 4:
        now += 0.3
        limit.advance(now, 0)
    limit.record_overload(now)
    assert limit.limit == 2


@pytest.mark.looptime
async def test_late_request_that_only_the_warm_up_held_back_starts():
    """Guards against a refusal by the dispatch that the waiting task would not give."""
    queue = AdmissionQueue(SLOTS, {})
    queue.begin_warmup()
    first = queue.slot(Rank.NORMAL, "c", "t", 5.0)
    second = queue.slot(Rank.NORMAL, "c", "t", 0.05)
    queue.request(first)
    queue.request(second)
    assert second.state is GrantState.QUEUED
    await anyio.sleep(0.06)
    queue.release(first, completed=True)
    assert second.state is GrantState.GRANTED
