"""Invariants of the admission queue after any sequence of events."""

import asyncio

import looptime
from hypothesis import HealthCheck, seed, settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule

from rosemaryward.decisions.admission import AdmissionQueue
from rosemaryward.decisions.admission.sections import RankSection
from rosemaryward.decisions.errors import OverloadError
from rosemaryward.decisions.types import Rank

QUEUE_LIMIT = 4

# With `derandomize`, Hypothesis derives the seed from the source text of the machine.
# This is the seed of the text before identifiers were renamed, so that the test still
# runs the same examples.
SEED = int(
    "ca05533c2969d58f401316d13fe2a05b3d530924cde3b680"
    "ec70adebc21446674d9d147cc006b5057cca157675b60337",
    16,
)


class Statement:
    """One statement and its state."""

    def __init__(self) -> None:
        self.end = asyncio.Event()
        self.started = False
        self.refused = False
        self.task: asyncio.Task[None] | None = None

    async def run(
        self, queue: AdmissionQueue, rank: Rank, caller: str, deadline_s: float
    ) -> None:
        try:
            async with queue.slot(rank, caller, "t", deadline_s) as grant:
                self.started = True
                assert (
                    grant.started_at <= grant.latest_start_at or grant.waited_s == 0.0
                )
                await self.end.wait()
        except OverloadError:
            self.refused = True


@seed(SEED)
class QueueMachine(RuleBasedStateMachine):
    """Random arrivals, ends, cancellations, waits and changes of the slots.

    Guards against more running statements than slots, requests that are lost,
    statements that start after a refusal, and state left by cancelled ones.
    """

    def __init__(self) -> None:
        super().__init__()
        self.loop = looptime.new_event_loop()
        self.statements: list[Statement] = []
        self.slots = 3
        self.running_at_change = 0  # statements running when the slots changed
        ranks = {rank: RankSection(queue_limit=QUEUE_LIMIT) for rank in Rank}
        self.queue = AdmissionQueue(self.slots, ranks)

    def sleep(self, time_s: float) -> None:
        self.loop.run_until_complete(asyncio.sleep(time_s))

    def pending(self, started: bool) -> list[Statement]:
        return [
            statement
            for statement in self.statements
            if statement.task is not None
            and not statement.task.done()
            and statement.started is started
        ]

    @rule(
        rank=st.sampled_from(Rank),
        caller=st.sampled_from("abc"),
        deadline_s=st.sampled_from([0.05, 1.0, 20.0]),
    )
    def arrive(self, rank: Rank, caller: str, deadline_s: float) -> None:
        statement = Statement()
        running = statement.run(self.queue, rank, caller, deadline_s)
        statement.task = self.loop.create_task(running)
        self.statements.append(statement)
        self.sleep(0.0)
        self.sleep(0.001)

    @rule(index=st.integers(0, 9))
    def end(self, index: int) -> None:
        if running := self.pending(started=True):
            running[index % len(running)].end.set()
        self.sleep(0.01)

    @rule(index=st.integers(0, 9), started=st.booleans(), also_end=st.booleans())
    def cancel(self, index: int, started: bool, also_end: bool) -> None:
        running = self.pending(started=True)
        if also_end and running:
            running[0].end.set()
        if pending := self.pending(started):
            task = pending[index % len(pending)].task
            assert task is not None
            task.cancel()
        self.sleep(0.01)

    @rule(time_s=st.sampled_from([0.02, 0.5, 3.0]))
    def wait(self, time_s: float) -> None:
        self.sleep(time_s)

    @rule(slots=st.integers(1, 5))
    def set_slots(self, slots: int) -> None:
        self.slots = slots
        self.running_at_change = self.queue.running

        async def change() -> None:
            self.queue.set_slots(slots)

        self.loop.run_until_complete(change())
        self.sleep(0.01)

    @invariant()
    def counts_match(self) -> None:
        queue = self.queue
        running, queued = self.pending(started=True), self.pending(started=False)
        assert queue.running == len(running) <= max(self.slots, self.running_at_change)
        self.running_at_change = min(self.running_at_change, queue.running)
        assert queue.queued == len(queued) == sum(q.length for q in queue.rank_queues)
        assert all(q.length <= QUEUE_LIMIT for q in queue.rank_queues)
        assert not any(s.started and s.refused for s in self.statements)
        if queue.running < queue.limit:
            assert not queue.rank_queues[Rank.URGENT].length
            assert not queued or queue.poller is not None

    def teardown(self) -> None:
        """End all statements and check that no request is left in the queue."""
        while running := self.pending(started=True):
            for statement in running:
                statement.end.set()
            self.sleep(0.05)
        self.sleep(60.0)
        assert not self.pending(started=False)
        assert (self.queue.running, self.queue.queued) == (0, 0)
        for statement in self.statements:
            assert statement.task is not None
            if not statement.task.cancelled():
                assert statement.task.exception() is None
                assert statement.started is not statement.refused
        self.loop.close()


TestQueueMachine = QueueMachine.TestCase
TestQueueMachine.settings = settings(
    derandomize=True,
    deadline=None,
    max_examples=25,
    stateful_step_count=30,
    suppress_health_check=list(HealthCheck),
)
