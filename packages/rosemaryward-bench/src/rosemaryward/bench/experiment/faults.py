"""Faults of a scenario, put in force on a running set."""

import asyncio
import os
import random
import signal
from collections.abc import Awaitable, Callable

import httpx
import msgspec

from rosemaryward.bench.experiment.administration import Operator, race
from rosemaryward.bench.experiment.scenario import Action, FaultStep
from rosemaryward.bench.experiment.targets import EVERYTHING, Selection, Targets
from rosemaryward.bench.launch.network import RELAY_HOST, RelayControl
from rosemaryward.bench.launch.state import RunningDeployment
from rosemaryward.bench.load.endpoints import query_endpoint
from rosemaryward.bench.load.recorder import clock
from rosemaryward.bench.relay.network import Fault
from rosemaryward.bench.store.faults import FaultPlan

__all__ = ["AppliedFault", "FaultInjector"]


class AppliedFault(msgspec.Struct, frozen=True, kw_only=True):
    """A fault with what its name meant at the time.

    Parameters
    ----------
    action : Action
    at, until : float
        `until` is 0 if the fault is not undone.
    nodes : list of str
    databases : list of str
        Databases whose primary the fault affected.
    owned : list of str
        Databases whose primary belonged to an affected proxy.
    """

    action: Action
    at: float
    until: float = 0.0
    nodes: list[str] = []
    databases: list[str] = []
    owned: list[str] = []


class FaultInjector:
    """Starts and undoes the faults of a scenario.

    Parameters
    ----------
    running : RunningDeployment
    relay : RelayControl
    targets : callable
        Returns the targets as they are now.
    rng : random.Random
        Selects the proxies that operators use.
    """

    def __init__(
        self,
        running: RunningDeployment,
        relay: RelayControl,
        targets: Callable[[], Targets],
        rng: random.Random,
    ) -> None:
        self.running = running
        self.relay = relay
        self.targets = targets
        self.rng = rng
        self.applied: list[AppliedFault] = []
        self.links: list[Fault] = []
        self.operators: list[Operator] = []
        self.actions: dict[Action, Callable[[FaultStep, Selection], Awaitable[None]]]
        self.actions = {
            Action.KILL: self.kill,
            Action.TERMINATE: self.terminate,
            Action.PAUSE: self.pause,
            Action.CUT: self.disturb,
            Action.SLOW: self.disturb,
            Action.LOSSY: self.disturb,
            Action.LAG: self.lag,
            Action.LEAVE: self.leave,
        }

    async def run(self, start: float, steps: list[FaultStep]) -> None:
        """Run all steps at their times after `start`."""
        async with asyncio.TaskGroup() as tasks:
            for step in steps:
                tasks.create_task(self.run_step(start, step))

    async def run_step(self, start: float, step: FaultStep) -> None:
        """Wait for the time of one step and run it."""
        await asyncio.sleep(max(0.0, start + step.at_s - clock()))
        if step.action is Action.STORE:
            await self.disturb_store(step)
        elif step.action in (Action.CHANGE, Action.RACE):
            await self.operate(step)
        else:
            targets = self.targets()
            chosen = targets.resolve(step.target)
            self.note(step, chosen, targets)
            await self.actions[step.action](step, chosen)

    def note(self, step: FaultStep, chosen: Selection, targets: Targets) -> None:
        """Record a fault with the databases that it concerns."""
        primaries = targets.primaries
        hosts = [proxy.host_id for proxy in chosen.proxies]
        affected = [
            name
            for name, item in primaries.items()
            if item in chosen.endpoints
            or item.failure_domain in chosen.places
            or item.region in chosen.places
        ]
        owned = [
            name
            for name, item in primaries.items()
            if targets.owners.get((name, item.instance)) in hosts
        ]
        now = clock()
        self.applied.append(
            AppliedFault(
                action=step.action,
                at=now,
                until=now + step.for_s if step.for_s else 0.0,
                nodes=chosen.nodes,
                databases=affected,
                owned=owned,
            )
        )

    async def kill(self, step: FaultStep, chosen: Selection) -> None:
        """Kill the processes."""
        self.signal(chosen, signal.SIGKILL)

    async def terminate(self, step: FaultStep, chosen: Selection) -> None:
        """Ask the processes to end; a proxy drains."""
        self.signal(chosen, signal.SIGTERM)

    async def pause(self, step: FaultStep, chosen: Selection) -> None:
        """Stop the processes for a time."""
        self.signal(chosen, signal.SIGSTOP)
        try:
            await asyncio.sleep(step.for_s)
        finally:
            self.signal(chosen, signal.SIGCONT)

    def signal(self, chosen: Selection, number: signal.Signals) -> None:
        """Send a signal to processes of this launch."""
        for pid in chosen.pids:
            os.kill(pid, number)

    async def disturb(self, step: FaultStep, chosen: Selection) -> None:
        """Cut, slow down or disturb the links of the chosen nodes for a time."""
        faults = [
            Fault(
                source=node,
                target=peer,
                cut=step.action is Action.CUT,
                extra_s=step.extra_ms / 1000,
                loss=step.share,
            )
            for node in chosen.nodes
            for peer in self.peers(step, chosen)
        ]
        self.links += faults
        await self.relay.set_faults(self.links)
        if not step.for_s:
            return
        await asyncio.sleep(step.for_s)
        self.links = [item for item in self.links if item not in faults]
        await self.relay.set_faults(self.links)

    def peers(self, step: FaultStep, chosen: Selection) -> list[str]:
        """Return the other ends of the disturbed links.

        Places are cut from the other failure domains only, so that processes in
        them still reach one another and their callers.
        """
        targets = self.targets()
        if step.peer != EVERYTHING:
            return targets.resolve(step.peer).nodes
        return targets.other_places(chosen.places) if chosen.places else [EVERYTHING]

    async def lag(self, step: FaultStep, chosen: Selection) -> None:
        """Delay what instances apply."""
        await self.command(chosen, f"ALTER GROUP SET LAG {step.extra_ms}")

    async def leave(self, step: FaultStep, chosen: Selection) -> None:
        """Announce the removal of instances."""
        await self.command(chosen, "ALTER GROUP SET LEAVING 1")

    async def command(self, chosen: Selection, sql: str) -> None:
        """Run a control statement at instances."""
        for endpoint in chosen.endpoints:
            if await query_endpoint(endpoint, sql) is None:
                raise RuntimeError(f"{endpoint.database}: no answer to {sql}")

    async def disturb_store(self, step: FaultStep) -> None:
        """Change the behaviour of the store for a time."""
        now = clock()
        self.applied.append(
            AppliedFault(
                action=step.action,
                at=now,
                until=now + step.for_s if step.for_s else 0.0,
                nodes=["store"],
            )
        )
        plan = FaultPlan(
            down=step.down, delay_ms=step.extra_ms, lose_answers=step.share
        )
        await self.set_store(plan)
        if step.for_s:
            await asyncio.sleep(step.for_s)
            await self.set_store(FaultPlan())

    async def set_store(self, plan: FaultPlan) -> None:
        """Send faults to the store, not through the relay."""
        url = self.running.store_url.replace(RELAY_HOST, self.relay.host)
        async with httpx.AsyncClient(trust_env=False) as client:
            answer = await client.post(
                f"{url}/faults", content=msgspec.json.encode(plan)
            )
            answer.raise_for_status()

    async def operate(self, step: FaultStep) -> None:
        """Let one operator change the document, or two race for a time."""
        count = 2 if step.action is Action.RACE else 1
        proxies = self.rng.sample(self.running.proxies, count)
        operators = [Operator(self.running, proxy) for proxy in proxies]
        self.operators += operators
        self.applied.append(AppliedFault(action=step.action, at=clock()))
        await race(operators, clock() + step.for_s)
