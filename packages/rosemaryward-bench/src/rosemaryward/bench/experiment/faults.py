"""Injection of the faults of a scenario into a running set."""

import asyncio
import os
import random
import signal
from collections.abc import Awaitable, Callable

import httpx
import msgspec

from rosemaryward.bench.experiment.administration import Operator, race
from rosemaryward.bench.experiment.scenario import Action, FaultStep
from rosemaryward.bench.experiment.targets import ALL_NODES, Selection, Targets
from rosemaryward.bench.launch.network import RELAY_HOST, RelayControl
from rosemaryward.bench.launch.state import RunningDeployment
from rosemaryward.bench.load.endpoints import query_endpoint
from rosemaryward.bench.load.recorder import clock
from rosemaryward.bench.relay.network import Fault
from rosemaryward.bench.store.faults import FaultPlan

__all__ = ["AppliedFault", "FaultInjector"]


class AppliedFault(msgspec.Struct, frozen=True, kw_only=True):
    """A fault with the nodes and databases that its target resolved to.

    Parameters
    ----------
    action : Action
    at, until : float
        Start and end in seconds of the clock of the run; `until` is 0 if the fault is
        not undone.
    nodes : list of str
        Affected nodes by their names at the relay.
    databases : list of str
        Databases whose primary the fault affected.
    owned : list of str
        Databases whose primary was owned by an affected proxy.
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
        Control connection to the relay, which applies the link faults.
    targets : callable
        Returns the targets for the present state.
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
        self.link_faults: list[Fault] = []
        self.operators: list[Operator] = []
        self.actions: dict[Action, Callable[[FaultStep, Selection], Awaitable[None]]]
        self.actions = {
            Action.KILL: self.kill,
            Action.TERMINATE: self.terminate,
            Action.PAUSE: self.pause,
            Action.CUT: self.disturb_links,
            Action.SLOW: self.disturb_links,
            Action.LOSSY: self.disturb_links,
            Action.LAG: self.lag,
            Action.LEAVE: self.leave,
        }

    async def run(self, start: float, steps: list[FaultStep]) -> None:
        """Run each step at its time after `start`."""
        async with asyncio.TaskGroup() as tasks:
            for step in steps:
                tasks.create_task(self.run_step(start, step))

    async def run_step(self, start: float, step: FaultStep) -> None:
        """Wait for the time of a step, resolve its target and run it."""
        await asyncio.sleep(max(0.0, start + step.at_s - clock()))
        if step.action is Action.STORE:
            await self.disturb_store(step)
        elif step.action in (Action.CHANGE, Action.RACE):
            await self.run_operators(step)
        else:
            targets = self.targets()
            selection = targets.resolve(step.target)
            self.record_fault(step, selection, targets)
            await self.actions[step.action](step, selection)

    def record_fault(
        self, step: FaultStep, selection: Selection, targets: Targets
    ) -> None:
        """Record a fault with the databases that it affects."""
        primaries = targets.primaries
        hosts = [proxy.host_id for proxy in selection.proxies]
        affected = [
            name
            for name, item in primaries.items()
            if item in selection.endpoints
            or item.failure_domain in selection.places
            or item.region in selection.places
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
                nodes=selection.nodes,
                databases=affected,
                owned=owned,
            )
        )

    async def kill(self, step: FaultStep, selection: Selection) -> None:
        """Send SIGKILL to the processes."""
        self.signal(selection, signal.SIGKILL)

    async def terminate(self, step: FaultStep, selection: Selection) -> None:
        """Send SIGTERM to the processes, upon which a proxy drains."""
        self.signal(selection, signal.SIGTERM)

    async def pause(self, step: FaultStep, selection: Selection) -> None:
        """Suspend the processes for the duration of the step."""
        self.signal(selection, signal.SIGSTOP)
        try:
            await asyncio.sleep(step.for_s)
        finally:
            self.signal(selection, signal.SIGCONT)

    def signal(self, selection: Selection, number: signal.Signals) -> None:
        """Send a signal to the selected processes, all of which this launch started."""
        for pid in selection.pids:
            os.kill(pid, number)

    async def disturb_links(self, step: FaultStep, selection: Selection) -> None:
        """Cut, delay or make lossy the links of the selected nodes."""
        faults = [
            Fault(
                source=node,
                target=peer,
                cut=step.action is Action.CUT,
                extra_s=step.extra_ms / 1000,
                loss=step.share,
            )
            for node in selection.nodes
            for peer in self.peer_nodes(step, selection)
        ]
        self.link_faults += faults
        await self.relay.set_faults(self.link_faults)
        if not step.for_s:
            return
        await asyncio.sleep(step.for_s)
        self.link_faults = [item for item in self.link_faults if item not in faults]
        await self.relay.set_faults(self.link_faults)

    def peer_nodes(self, step: FaultStep, selection: Selection) -> list[str]:
        """Return the nodes at the other end of the disturbed links.

        Places are cut off only from other failure domains, so that the processes
        inside still reach one another and their callers.
        """
        targets = self.targets()
        if step.peer != ALL_NODES:
            return targets.resolve(step.peer).nodes
        return (
            targets.other_places(selection.places) if selection.places else [ALL_NODES]
        )

    async def lag(self, step: FaultStep, selection: Selection) -> None:
        """Set the apply lag of the instances."""
        await self.run_control_statement(
            selection, f"ALTER GROUP SET LAG {step.extra_ms}"
        )

    async def leave(self, step: FaultStep, selection: Selection) -> None:
        """Announce the removal of the instances."""
        await self.run_control_statement(selection, "ALTER GROUP SET LEAVING 1")

    async def run_control_statement(self, selection: Selection, sql: str) -> None:
        """Run a control statement at the selected instances.

        Raises
        ------
        RuntimeError
            If an instance does not answer.
        """
        for endpoint in selection.endpoints:
            if await query_endpoint(endpoint, sql) is None:
                raise RuntimeError(f"{endpoint.database}: no answer to {sql!r}")

    async def disturb_store(self, step: FaultStep) -> None:
        """Make the store slow, lossy or unavailable for the duration of the step."""
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
        await self.set_store_faults(plan)
        if step.for_s:
            await asyncio.sleep(step.for_s)
            await self.set_store_faults(FaultPlan())

    async def set_store_faults(self, plan: FaultPlan) -> None:
        """Send a fault plan to the store directly, without the relay."""
        url = self.running.store_url.replace(RELAY_HOST, self.relay.host)
        async with httpx.AsyncClient(trust_env=False) as client:
            answer = await client.post(
                f"{url}/faults", content=msgspec.json.encode(plan)
            )
            answer.raise_for_status()

    async def run_operators(self, step: FaultStep) -> None:
        """Let one operator, or two concurrent ones, change the document for a time."""
        count = 2 if step.action is Action.RACE else 1
        proxies = self.rng.sample(self.running.proxies, count)
        operators = [Operator(self.running, proxy) for proxy in proxies]
        self.operators += operators
        self.applied.append(AppliedFault(action=step.action, at=clock()))
        await race(operators, clock() + step.for_s)
