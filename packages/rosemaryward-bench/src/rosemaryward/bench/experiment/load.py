"""Creation of the callers of a scenario."""

import asyncio
import random
from collections.abc import Sequence

import msgspec

from rosemaryward.bench.experiment.scenario import FloodPlan, IdleTransactions, LoadPlan
from rosemaryward.bench.history.operations import Kind, Outcome
from rosemaryward.bench.launch.state import RunningDeployment, RunningUser
from rosemaryward.bench.load.callers import MIXES, Caller
from rosemaryward.bench.load.connections import CallFailure
from rosemaryward.bench.load.recorder import Recorder, clock

__all__ = ["FLOOD_PREFIX", "IdleCaller", "LoadBuilder", "flood_size"]

FLOOD_PREFIX = "flood"
WRITE_CYCLE_S = 0.4  # mean time between two writes of a flooding caller
MAX_FLOOD_CALLERS = 250


def flood_size(times_capacity: float, capacity_per_s: float) -> tuple[int, float]:
    """Return the number of flooding callers and their mean pause in seconds.

    A caller waits for an answer before its next write, so the offered load is near
    its goal only while answers take less time than the pause.

    Parameters
    ----------
    times_capacity : float
        Offered load as a multiple of the capacity.
    capacity_per_s : float
        Writes per second that the primary can run.
    """
    rate = times_capacity * capacity_per_s
    count = max(1, min(MAX_FLOOD_CALLERS, round(rate * WRITE_CYCLE_S)))
    return count, count / rate


class IdleCaller(Caller):
    """Caller that holds a transaction open for `hold_s` seconds between two inserts."""

    hold_s = 0.0

    async def step(self) -> None:
        """Run one transaction with a pause before its commit."""
        database = self.rng.choice(self.databases)
        items = [self.new_item(), self.new_item()]
        start, outcome = clock(), Outcome.NOT_RUN
        try:
            await self.connection.use(database)
            await self.connection.execute("BEGIN")
            await self.connection.execute(self.insert(items[0]))
            await asyncio.sleep(self.hold_s)
            await self.connection.execute(self.insert(items[1]))
            outcome, _ = await self.commit()
        except CallFailure:
            await self.roll_back()
        end = clock()
        for item in items:
            self.record(
                Kind.WRITE, item, start, outcome, database, end, transaction=items[0]
            )


class LoadBuilder:
    """Creates the callers of a load plan, each with its own random generator.

    Parameters
    ----------
    running : RunningDeployment
    recorder : Recorder
    plan : LoadPlan
    databases : sequence of str
        Databases that the callers use.
    seed : int
        Seed from which the generators of the callers are derived.
    """

    def __init__(
        self,
        running: RunningDeployment,
        recorder: Recorder,
        plan: LoadPlan,
        databases: Sequence[str],
        seed: int,
    ) -> None:
        self.running = running
        self.recorder = recorder
        self.plan = plan
        self.databases = databases
        self.seed = seed

    def user(self, rank: str) -> RunningUser:
        """Return the account of a rank."""
        return next(user for user in self.running.users if user.rank == rank)

    def rng(self, name: str) -> random.Random:
        """Return the random generator of a caller."""
        return random.Random(f"{self.seed}/{name}")

    def callers(self) -> list[Caller]:
        """Return the callers that run during the whole load."""
        callers: list[Caller] = []
        for rank, count in self.plan.callers.items():
            mix = msgspec.structs.replace(MIXES[rank], **self.plan.mix.get(rank, {}))
            for number in range(count):
                name = f"{rank}{number}"
                callers.append(
                    Caller(
                        name,
                        self.running,
                        self.user(rank),
                        self.recorder,
                        self.rng(name),
                        mix,
                        self.databases,
                    )
                )
        for plan in self.plan.idle_transactions:
            callers += self.idle_callers(plan)
        return callers

    def idle_callers(self, plan: IdleTransactions) -> list[Caller]:
        """Return callers that hold transactions open."""
        callers: list[Caller] = []
        for number in range(plan.callers):
            name = f"idle-{plan.rank}{number}"
            caller = IdleCaller(
                name,
                self.running,
                self.user(plan.rank),
                self.recorder,
                self.rng(name),
                databases=self.databases,
            )
            caller.hold_s = plan.hold_s
            callers.append(caller)
        return callers

    def flood_callers(self, plan: FloodPlan, capacity_per_s: float) -> list[Caller]:
        """Return the callers of one flood, which write to the last database."""
        count, think_s = flood_size(plan.times_capacity, capacity_per_s)
        mix = msgspec.structs.replace(
            MIXES[plan.rank],
            write=1.0,
            transaction=0.0,
            roam=0.0,
            keyed=0.0,
            think_s=think_s,
        )
        callers = []
        for number in range(count):
            name = f"{FLOOD_PREFIX}-{plan.rank}{number}"
            callers.append(
                Caller(
                    name,
                    self.running,
                    self.user(plan.rank),
                    self.recorder,
                    self.rng(name),
                    mix,
                    [self.running.databases[-1]],
                )
            )
        return callers
