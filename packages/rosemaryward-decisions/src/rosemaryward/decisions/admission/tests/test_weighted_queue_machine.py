"""Invariants of the admission queue with weights and limited starts."""

from hypothesis import HealthCheck, settings
from hypothesis import strategies as st
from hypothesis.stateful import invariant, rule

from rosemaryward.decisions.admission import AdmissionQueue
from rosemaryward.decisions.admission.sections import RankSection
from rosemaryward.decisions.admission.tests.test_queue_machine import (
    QUEUE_LIMIT,
    QueueMachine,
    Statement,
)
from rosemaryward.decisions.admission.weighted_queue import WeightedRankQueue
from rosemaryward.decisions.errors import OverloadError
from rosemaryward.decisions.types import Rank

WEIGHTS = {"a": 1.0, "b": 100.0, "c": 0.0}


class TenantStatement(Statement):
    """Statement of a caller that is also the tenant."""

    async def run(
        self, queue: AdmissionQueue, rank: Rank, caller: str, deadline_s: float
    ) -> None:
        try:
            async with queue.slot(rank, caller, caller, deadline_s):
                self.started = True
                await self.end.wait()
        except OverloadError:
            self.refused = True


class WeightedQueueMachine(QueueMachine):
    """The events of `QueueMachine` with tenants, changes of weights and starts.

    Guards against requests that are lost or counted twice by the queue with weights
    and by a limit on the work in progress after a start.
    """

    def __init__(self) -> None:
        super().__init__()
        ranks = {rank: RankSection(queue_limit=QUEUE_LIMIT) for rank in Rank}
        self.queue = AdmissionQueue(self.slots, ranks, weights=WEIGHTS.get)

    @rule(
        rank=st.sampled_from(Rank),
        caller=st.sampled_from("abcd"),
        deadline_s=st.sampled_from([0.05, 1.0, 20.0]),
    )
    def arrive(self, rank: Rank, caller: str, deadline_s: float) -> None:
        statement = TenantStatement()
        running = statement.run(self.queue, rank, caller, deadline_s)
        statement.task = self.loop.create_task(running)
        self.statements.append(statement)
        self.sleep(0.0)
        self.sleep(0.001)

    @rule(weighted=st.booleans())
    def change_weights(self, weighted: bool) -> None:
        async def change() -> None:
            self.queue.set_weights(WEIGHTS.get if weighted else None)

        self.loop.run_until_complete(change())

    @rule(overloaded=st.booleans())
    def begin_warmup(self, overloaded: bool) -> None:
        async def begin() -> None:
            self.queue.begin_warmup()
            if overloaded:
                self.queue.record_overload()

        self.loop.run_until_complete(begin())

    @invariant()
    def sums_match(self) -> None:
        for queue in self.queue.rank_queues:
            if not isinstance(queue, WeightedRankQueue):
                continue
            backlogs = queue.tenants.values()
            assert queue.length == sum(backlog.length for backlog in backlogs)
            assert queue.in_burst == sum(backlog.in_burst for backlog in backlogs)
            weight = sum(backlog.weight for backlog in backlogs)
            assert abs(queue.weight_sum - weight) <= 1e-6 * (1.0 + weight)
            own_weight = sum(backlog.own_weight for backlog in backlogs)
            assert abs(queue.own_weight_sum - own_weight) <= 1e-6 * (1.0 + own_weight)
            assert all(0 <= b.in_burst <= b.length for b in backlogs)


TestWeightedQueueMachine = WeightedQueueMachine.TestCase
TestWeightedQueueMachine.settings = settings(
    derandomize=True,
    deadline=None,
    max_examples=40,
    stateful_step_count=30,
    suppress_health_check=list(HealthCheck),
)
