"""Phases of the demonstration over a running set."""

import asyncio
import os
import random
import signal

import msgspec

from rosemaryward.bench.history.checker import Report, check_history
from rosemaryward.bench.launch.state import (
    RunningDeployment,
    RunningEndpoint,
    RunningUser,
)
from rosemaryward.bench.load.callers import MIXES, Caller
from rosemaryward.bench.load.endpoints import (
    PrimaryObserver,
    final_operations,
    read_counts,
)
from rosemaryward.bench.load.measures import (
    RankService,
    failover_gap,
    rank_service,
)
from rosemaryward.bench.load.recorder import Recorder, clock

__all__ = ["Demo", "DemoResult", "DemoSettings"]

RANKS = ("urgent", "normal", "bulk")
SETTLE_TIME_S = 1.5
FLOOD_RANK = "bulk"


class DemoSettings(msgspec.Struct, frozen=True, kw_only=True):
    """Settings of the demonstration.

    Parameters
    ----------
    seed : int
        Seed of the choices of all callers.
    callers : int
        Number of callers of each rank.
    flood_callers : int
        Number of additional callers of the lowest rank, which write without pauses
        during the flood.
    steady_s, failover_s, flood_s : float
        Durations of the phases in seconds.
    """

    seed: int = 1
    callers: int = 12
    flood_callers: int = 60
    steady_s: float = 8.0
    failover_s: float = 8.0
    flood_s: float = 8.0


class DemoResult(msgspec.Struct, frozen=True, kw_only=True):
    """Measures and invariants of one demonstration.

    Parameters
    ----------
    replica_reads, reads : int
        Reads outside transactions before the failure, at replicas and at all
        instances.
    failover_gap_s : float, optional
        None if no write was acknowledged after the failure.
    failed_primary : str
        Database and instance of the killed primary.
    steady, flood : dict of str to RankService
        Service of each rank on all databases before the failure, and on the
        flooded database during the flood.
    before_flood : dict of str to RankService
        Service of each rank before the failure on the database flooded later.
    flooded_database : str
    report : Report
        Result of the checks of the history.
    ended : list of str
        Processes that ended unexpectedly.
    """

    deployment: str
    seed: int
    replica_reads: int
    reads: int
    failed_primary: str
    failover_gap_s: float | None
    steady: dict[str, RankService]
    before_flood: dict[str, RankService]
    flood: dict[str, RankService]
    flooded_database: str
    report: Report
    ended: list[str] = []

    @property
    def passed(self) -> bool:
        """Whether the invariants held, writes resumed and no process ended."""
        recovered = self.failover_gap_s is not None
        return self.report.passed and recovered and not self.ended

    @property
    def replica_read_share(self) -> float:
        """Share of reads that replicas served."""
        return self.replica_reads / self.reads if self.reads else 0.0


class Demo:
    """Runs the phases of the demonstration on a running set.

    Parameters
    ----------
    running : RunningDeployment
    settings : DemoSettings
    """

    def __init__(self, running: RunningDeployment, settings: DemoSettings) -> None:
        self.running = running
        self.settings = settings
        self.recorder = Recorder()
        self.observer = PrimaryObserver(running, self.recorder)
        self.failed: RunningEndpoint
        self.failed_at = 0.0

    async def run(self) -> DemoResult:
        """Run all phases and evaluate them."""
        settings = self.settings
        observation = asyncio.create_task(self.observer.run())
        start = clock()
        steady_end = start + settings.steady_s
        flood_start = steady_end + settings.failover_s
        end = flood_start + settings.flood_s
        try:
            async with asyncio.TaskGroup() as tasks:
                for caller in self.callers():
                    tasks.create_task(caller.run(end))
                await asyncio.sleep(settings.steady_s)
                replica_reads, reads = await read_counts(self.running.endpoints)
                self.kill_primary()
                await asyncio.sleep(flood_start - clock())
                for caller in self.flood():
                    tasks.create_task(caller.run(end))
            await asyncio.sleep(SETTLE_TIME_S)
            await self.record_final_state()
        finally:
            observation.cancel()
        return self.result(
            (start, steady_end), (flood_start, end), replica_reads, reads
        )

    def user(self, rank: str) -> RunningUser:
        """Return the account of a rank."""
        return next(user for user in self.running.users if user.rank == rank)

    def callers(self) -> list[Caller]:
        """Return the callers that run during all phases."""
        return [
            self.caller(f"{rank}{number}", self.user(rank))
            for rank in RANKS
            for number in range(self.settings.callers)
        ]

    def caller(self, name: str, user: RunningUser) -> Caller:
        """Return one caller with its own random generator."""
        rng = random.Random(f"{self.settings.seed}/{name}")
        return Caller(name, self.running, user, self.recorder, rng)

    def flood(self) -> list[Caller]:
        """Return callers of the lowest rank that write without pauses."""
        mix = msgspec.structs.replace(
            MIXES[FLOOD_RANK], write=1.0, roam=0.0, think_s=0.0
        )
        callers = []
        for number in range(self.settings.flood_callers):
            caller = self.caller(f"flood{number}", self.user(FLOOD_RANK))
            caller.mix = mix
            caller.databases = [self.flooded_database]
            callers.append(caller)
        return callers

    @property
    def flooded_database(self) -> str:
        """Database of the flood; its primary does not fail."""
        return self.running.databases[-1]

    def kill_primary(self) -> None:
        """Kill the primary of the first database, which this launch started."""
        self.failed = self.observer.primaries[self.running.databases[0]]
        self.failed_at = clock()
        os.kill(self.failed.pid, signal.SIGKILL)

    async def record_final_state(self) -> None:
        """Record all rows of the present primaries as final operations."""
        primaries = self.observer.primaries.values()
        for operation in await final_operations(self.running, primaries):
            self.recorder.add(operation)

    def result(
        self,
        steady: tuple[float, float],
        flood: tuple[float, float],
        replica_reads: int,
        reads: int,
    ) -> DemoResult:
        """Compute the measures and check the invariants."""
        return DemoResult(
            deployment=self.running.deployment,
            seed=self.settings.seed,
            replica_reads=replica_reads,
            reads=reads,
            failed_primary=f"{self.failed.database}/{self.failed.instance}",
            failover_gap_s=failover_gap(
                self.recorder.operations, self.failed.database, self.failed_at
            ),
            steady=self.service(*steady),
            before_flood=self.service(*steady, self.flooded_database),
            flood=self.service(*flood, self.flooded_database),
            flooded_database=self.flooded_database,
            report=check_history(self.recorder.operations),
        )

    def service(
        self, start: float, end: float, database: str = ""
    ) -> dict[str, RankService]:
        """Return the service of each rank, without that of flooding callers."""
        operations = [
            item
            for item in self.recorder.between(start, end)
            if not item.session.startswith("flood")
            and (not database or item.database == database)
        ]
        return {rank: rank_service(operations, rank, end - start) for rank in RANKS}
