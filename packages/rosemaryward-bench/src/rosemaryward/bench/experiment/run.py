"""One run of a scenario on a launched set."""

import asyncio
import random
from collections.abc import Coroutine
from contextlib import suppress
from typing import Any

import httpx
import msgspec

from rosemaryward.bench.experiment.faults import FaultInjector
from rosemaryward.bench.experiment.load import LoadBuilder
from rosemaryward.bench.experiment.sampling import CounterSampler, StatusWatcher
from rosemaryward.bench.experiment.scenario import Action, FloodPlan, Scenario
from rosemaryward.bench.experiment.targets import Targets
from rosemaryward.bench.launch.launch import Launch
from rosemaryward.bench.load.callers import Caller
from rosemaryward.bench.load.endpoints import PrimaryObserver, final_operations
from rosemaryward.bench.load.recorder import Recorder, clock

__all__ = ["Run"]

TOPOLOGY_TIMEOUT_S = 10.0
POLL_INTERVAL_S = 0.05
WARM_UP_S = 0.5
SETTLE_S = 2.0
FINAL_MAX_ATTEMPTS = 10
FINAL_RETRY_DELAY_S = 0.5


class Run:
    """Runs the load and faults of a scenario and records the data for its measures.

    Parameters
    ----------
    launch : Launch
        Launch that has been entered and has a relay.
    scenario : Scenario
    seed : int

    Attributes
    ----------
    start, end : float
        Time span of the load in seconds of the clock of the run.
    incomplete : list of str
        Descriptions of observations that failed.
    """

    def __init__(self, launch: Launch, scenario: Scenario, seed: int) -> None:
        if launch.relay is None:
            raise ValueError("launch: expected a launch with a relay, got one without")
        self.launch = launch
        self.running = launch.running
        self.scenario = scenario
        self.seed = seed
        self.recorder = Recorder()
        self.observer = PrimaryObserver(self.running, self.recorder)
        self.counters = CounterSampler(self.running)
        self.status = StatusWatcher(self.running)
        self.injector = FaultInjector(
            self.running, launch.relay, self.targets, random.Random(f"{seed}/faults")
        )
        self.start = self.end = 0.0
        self.incomplete: list[str] = []
        self.region_bytes: dict[str, int] = {}
        self.link_bytes: dict[str, float] = {}

    def targets(self) -> Targets:
        """Return the targets for the present primaries and owners."""
        return Targets(self.running, self.observer.primaries, self.status.owners)

    async def run(self) -> None:
        """Run the scenario and read the final state and the traffic."""
        watchers = [
            asyncio.ensure_future(watch)
            for watch in (self.observer.run(), self.counters.run(), self.status.run())
        ]
        try:
            await self.wait_for_topology()
            await self.run_load()
            await asyncio.sleep(SETTLE_S)
            await self.record_final_state()
            await self.read_traffic()
            self.record_ended_processes()
        finally:
            for watcher in watchers:
                watcher.cancel()
            await asyncio.gather(*watchers, return_exceptions=True)

    async def wait_for_topology(self) -> None:
        """Wait until every database has a primary and every endpoint an owner."""
        async with asyncio.timeout(TOPOLOGY_TIMEOUT_S):
            while not self.is_topology_known():  # noqa: ASYNC110
                await asyncio.sleep(POLL_INTERVAL_S)
        await asyncio.sleep(WARM_UP_S)

    def is_topology_known(self) -> bool:
        """Return whether all primaries and owners are known."""
        owners, primaries = self.status.owners, self.observer.primaries
        return len(owners) == len(self.running.endpoints) and len(primaries) == len(
            self.running.databases
        )

    async def run_load(self) -> None:
        """Run callers, floods and faults for the duration of the scenario."""
        self.start = clock()
        self.end = self.start + self.scenario.duration_s
        builder = LoadBuilder(
            self.running,
            self.recorder,
            self.scenario.load,
            self.databases(),
            self.seed,
        )
        work: list[Coroutine[Any, Any, None]] = [
            caller.run(self.end) for caller in builder.callers()
        ]
        for plan in self.scenario.load.floods:
            flood = builder.flood_callers(plan, self.capacity_per_s())
            work += [self.run_flood_caller(caller, plan) for caller in flood]
        async with asyncio.TaskGroup() as tasks:
            for item in work:
                tasks.create_task(item)
            tasks.create_task(self.injector.run(self.start, self.scenario.faults))

    def databases(self) -> list[str]:
        """Return the databases that the load plan names."""
        targets = self.targets()
        return [
            database
            for name in self.scenario.load.databases
            for database in targets.resolve(name).databases
        ]

    def capacity_per_s(self) -> float:
        """Return the statements per second that the last database's primary can run."""
        document = self.launch.deployment.document(self.launch.settings.documents)
        slots = document.databases[self.running.databases[-1]].slots
        return slots / (self.scenario.service_time_ms / 1000)

    async def run_flood_caller(self, caller: Caller, plan: FloodPlan) -> None:
        """Run one caller for the time span of its flood."""
        await asyncio.sleep(max(0.0, self.start + plan.start_s - clock()))
        await caller.run(min(self.end, self.start + plan.end_s))

    async def record_final_state(self) -> None:
        """Record all rows of the present primaries as final operations."""
        for _ in range(FINAL_MAX_ATTEMPTS):
            try:
                found = await final_operations(
                    self.running, self.observer.primaries.values()
                )
            except RuntimeError as error:
                problem = str(error)
                await asyncio.sleep(FINAL_RETRY_DELAY_S)
                continue
            for operation in found:
                self.recorder.add(operation)
            return
        self.incomplete.append(problem)

    def record_ended_processes(self) -> None:
        """Record the processes that ended without being killed or terminated."""
        ended = {
            node
            for fault in self.injector.applied
            if fault.action in (Action.KILL, Action.TERMINATE)
            for node in fault.nodes
        }
        for name, child in self.launch.children.items():
            code = child.process.poll()
            if code is not None and name not in ended:
                self.incomplete.append(f"{name} after it ended with code {code}")

    async def read_traffic(self) -> None:
        """Read the bytes between regions from the relay and the proxies."""
        self.link_bytes = await self.status.link_bytes()
        with suppress(httpx.HTTPError):
            async with httpx.AsyncClient(trust_env=False) as client:
                answer = await client.get(f"{self.running.relay_url}/")
            data = msgspec.json.decode(answer.content)
            self.region_bytes = data["region_bytes"]
