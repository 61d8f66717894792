"""Faults that the soak injects, selected by a seeded generator."""

import random
import signal
import time
from collections.abc import Callable, Coroutine
from typing import Any

import anyio
import msgspec
import structlog

from rosemaryward.bench.soak.fleet import Fleet, Proxy
from rosemaryward.bench.soak.links import Link, LinkState
from rosemaryward.platform.fakes.instance import FakeInstance

__all__ = ["FaultRecord", "Faults"]

PAUSE_RANGE_S = (0.2, 1.8)
DURATION_RANGE_S = (0.3, 7.0)
LINK_DELAY_S = 0.15
LEAVING_DURATION_S = 5.0
SHORT_CRASH_RANGE_S = (DURATION_RANGE_S[0], 4.0)
# Longer than an endpoint without a registration stays in the proxies' lists.
LONG_CRASH_RANGE_S = (5.0, 9.0)
CRASH_DELAY_RANGE_S = (0.2, 1.5)  # from the last entry that a replica receives

log = structlog.get_logger(__name__)


class FaultRecord(msgspec.Struct):
    """An injected fault and the time span in which it was active.

    Parameters
    ----------
    kind, target : str
        Kind of the fault and name of the process or link that it affects.
    began_at, ended_at : float
        Seconds of the monotonic clock; `ended_at` is infinite until the fault ends.
    planned : bool
        Whether it is planned maintenance, which must interrupt no statement.
    """

    kind: str
    target: str
    began_at: float
    ended_at: float = float("inf")
    planned: bool = False


class Faults:
    """Injects random faults, which may overlap.

    Parameters
    ----------
    fleet : Fleet
        Proxies, stand-ins and links that the faults affect.
    rng : random.Random
        Selects kinds, targets and times of the faults.

    Attributes
    ----------
    pause_range_s : tuple of float
        Seconds from the start of one fault to the start of the next.
    """

    def __init__(self, fleet: Fleet, rng: random.Random) -> None:
        self.fleet = fleet
        self.rng = rng
        self.records: list[FaultRecord] = []
        self.pause_range_s = PAUSE_RANGE_S
        self.kinds: list[Callable[[], Coroutine[Any, Any, None]]] = [
            self.terminate,
            self.terminate_several,
            self.kill,
            self.kill_many,
            self.suspend,
            self.disturb_store_links,
            self.disturb_instance_links,
            self.disturb_peer_links,
            self.isolate_proxy,
            self.crash_primary,
            self.crash_replica,
            self.isolate_primary,
            self.delay_replicas,
            self.replace_primary,
            self.lose_replies,
            self.refuse_store,
            self.lose_store_history,
            self.revoke_leases,
            self.change_configuration,
            self.reload_settings,
        ]

    def select_crashes(self) -> None:
        """Inject only faults that threaten commits of which few logs have a copy."""
        self.kinds = [
            self.crash_primary_with_stalled_replica,
            self.crash_primary_with_stalled_replica,
            self.crash_any,
            self.isolate_primary,
            self.disturb_instance_links,
            self.kill,
            self.kill_many,
            self.refuse_store,
        ]

    async def run(self, duration_s: float) -> None:
        """Start faults for `duration_s` seconds and wait until all have ended."""
        until = time.monotonic() + duration_s
        async with anyio.create_task_group() as tasks:
            while time.monotonic() < until:
                tasks.start_soon(self.rng.choice(self.kinds))
                await anyio.sleep(self.rng.uniform(*self.pause_range_s))

    def begin(self, kind: str, target: str, planned: bool = False) -> FaultRecord:
        """Record and log the start of a fault."""
        record = FaultRecord(kind, target, time.monotonic(), planned=planned)
        self.records.append(record)
        log.info("fault begins", kind=kind, target=target)
        return record

    def end(self, record: FaultRecord) -> None:
        """Record and log the end of a fault."""
        record.ended_at = time.monotonic()
        log.info("fault ends", kind=record.kind, target=record.target)

    async def _wait_duration(self, max_duration_s: float = DURATION_RANGE_S[1]) -> None:
        await anyio.sleep(self.rng.uniform(DURATION_RANGE_S[0], max_duration_s))

    def _random_proxy(self) -> Proxy:
        return self.rng.choice(self.fleet.proxies)

    async def terminate(self) -> None:
        """Terminate a proxy as for planned maintenance."""
        await self.terminate_proxy(self._random_proxy())

    async def terminate_several(self) -> None:
        """Terminate three proxies, one after the other."""
        for proxy in self.rng.sample(self.fleet.proxies, k=3):
            await self.terminate_proxy(proxy)

    async def terminate_proxy(self, proxy: Proxy) -> None:
        """Send SIGTERM to a proxy and wait for the start of its next process."""
        starts = proxy.starts
        record = self.begin("terminate", proxy.name, planned=True)
        proxy.send_signal(signal.SIGTERM)
        with anyio.move_on_after(10.0):
            while proxy.starts == starts:  # noqa: ASYNC110
                await anyio.sleep(0.05)
        self.end(record)

    async def kill(self) -> None:
        """Kill one proxy."""
        proxy = self._random_proxy()
        record = self.begin("kill", proxy.name)
        proxy.send_signal(signal.SIGKILL)
        self.end(record)

    async def kill_many(self) -> None:
        """Kill several or all proxies at the same time."""
        count = self.rng.randrange(2, len(self.fleet.proxies) + 1)
        record = self.begin("kill", f"{count} proxies")
        for proxy in self.rng.sample(self.fleet.proxies, k=count):
            proxy.send_signal(signal.SIGKILL)
        self.end(record)

    async def suspend(self) -> None:
        """Suspend a proxy process and resume it later."""
        await self.suspend_proxy(self._random_proxy())

    async def suspend_proxy(self, proxy: Proxy) -> None:
        """Suspend the process of a proxy and resume it later."""
        record = self.begin("freeze", proxy.name)
        proxy.send_signal(signal.SIGSTOP)
        await self._wait_duration()
        proxy.send_signal(signal.SIGCONT)
        self.end(record)

    async def disturb_store_links(self) -> None:
        """Disturb the links from some proxies to the store."""
        count = self.rng.randrange(1, len(self.fleet.proxies) + 1)
        chosen = self.rng.sample(self.fleet.proxies, k=count)
        await self._disturb([proxy.links["store"] for proxy in chosen])

    async def disturb_instance_links(self) -> None:
        """Disturb the links from some proxies to one instance."""
        instance = self.rng.choice(self.fleet.group.instances)
        count = self.rng.randrange(1, len(self.fleet.proxies) + 1)
        chosen = self.rng.sample(self.fleet.proxies, k=count)
        await self._disturb([proxy.links[instance.label] for proxy in chosen])

    async def disturb_peer_links(self) -> None:
        """Disturb the links from one proxy to the others."""
        proxy = self._random_proxy()
        links = [link for name, link in proxy.links.items() if "/" in name]
        if links:
            await self._disturb(links)

    async def isolate_proxy(self) -> None:
        """Cut all links from one proxy."""
        proxy = self._random_proxy()
        await self._set_state(list(proxy.links.values()), LinkState.CUT)

    async def _disturb(self, links: list[Link]) -> None:
        choice = self.rng.randrange(6)
        if choice == 0:
            record = self.begin("reset", links[0].name)
            for link in links:
                link.reset()
            self.end(record)
        elif choice == 1:
            record = self.begin("silence", links[0].name)
            for link in links:
                link.stall()
            self.end(record)
        else:
            states = [s for s in LinkState if s is not LinkState.GOOD]
            await self._set_state(links, self.rng.choice(states))

    async def _set_state(self, links: list[Link], state: LinkState) -> None:
        record = self.begin(state.name.lower(), f"{links[0].name} ({len(links)})")
        for link in links:
            link.set_state(state, LINK_DELAY_S)
        await self._wait_duration()
        for link in links:
            link.set_state(LinkState.GOOD)
        self.end(record)

    async def crash_primary(self) -> None:
        """Crash the primary and restart it."""
        await self._crash(self.fleet.group.primary)

    async def crash_replica(self) -> None:
        """Crash a replica and restart it."""
        await self._crash(self._random_replica())

    def _random_replica(self) -> FakeInstance:
        return self.rng.choice(self._replicas())

    def _replicas(self) -> list[FakeInstance]:
        group = self.fleet.group
        return [i for i in group.instances if i is not group.primary]

    async def _crash(self, instance: FakeInstance) -> None:
        # While another instance is down or cut off, the crashed instance may hold
        # the only copy of a log entry, whose loss is not a fault of the proxies.
        if all(i.alive and not i.is_isolated for i in self.fleet.group.instances):
            await self._crash_and_restart(instance, SHORT_CRASH_RANGE_S)

    async def crash_any(self) -> None:
        """Crash an instance for long, whatever the state of the others."""
        instance = self.rng.choice(self.fleet.group.instances)
        await self._crash_and_restart(instance, LONG_CRASH_RANGE_S)

    async def crash_primary_with_stalled_replica(self) -> None:
        """Let a replica receive nothing, then crash the primary for long."""
        replica = self._random_replica()
        record = self.begin("receives nothing", replica.name)
        replica.is_isolated = True
        await anyio.sleep(self.rng.uniform(*CRASH_DELAY_RANGE_S))
        await self._crash_and_restart(self.fleet.group.primary, LONG_CRASH_RANGE_S)
        replica.is_isolated = False
        self.end(record)

    async def _crash_and_restart(
        self, instance: FakeInstance, range_s: tuple[float, float]
    ) -> None:
        """Crash an instance that runs, and restart it after a random time."""
        if not instance.alive:
            return
        record = self.begin("crash", instance.name)
        await instance.crash()
        await anyio.sleep(self.rng.uniform(*range_s))
        self._restart(instance)
        self.end(record)

    def _restart(self, instance: FakeInstance) -> None:
        instance.restart()

    async def isolate_primary(self) -> None:
        """Cut the primary off from its replicas."""
        leader = self.fleet.group.primary
        record = self.begin("cut off from replicas", leader.name)
        leader.is_isolated = True
        await self._wait_duration()
        leader.is_isolated = False
        self.end(record)

    async def delay_replicas(self) -> None:
        """Increase the replication lag of all instances."""
        instances = self.fleet.group.instances
        record = self.begin("lag", "all instances")
        previous = [instance.lag_s for instance in instances]
        for instance in instances:
            instance.lag_s = self.rng.uniform(0.05, 1.0)
        await self._wait_duration(3.0)
        for instance, lag_s in zip(instances, previous, strict=True):
            instance.lag_s = lag_s
        self.end(record)

    async def replace_primary(self) -> None:
        """Announce the removal of the primary for a time, so that it is replaced."""
        leader = self.fleet.group.primary
        record = self.begin("leaving", leader.name)
        leader.leaving = True
        await anyio.sleep(LEAVING_DURATION_S)
        leader.leaving = False
        self.end(record)

    async def lose_replies(self) -> None:
        """Make the primary run some statements without a reply."""
        record = self.begin("answers lost", self.fleet.group.primary.name)
        self.fleet.group.primary.replies_to_drop = self.rng.randrange(1, 5)
        self.end(record)

    async def refuse_store(self) -> None:
        """Make the store refuse all calls."""
        record = self.begin("refusing", "store")
        self.fleet.store.is_unavailable = True
        await self._wait_duration()
        self.fleet.store.is_unavailable = False
        self.end(record)

    async def lose_store_history(self) -> None:
        """Make the store discard its change history."""
        record = self.begin("history lost", "store")
        self.fleet.store.compact_history()
        self.end(record)

    async def revoke_leases(self) -> None:
        """Make the store revoke all leases."""
        record = self.begin("leases revoked", "store")
        self.fleet.store.revoke_leases()
        self.end(record)

    async def change_configuration(self) -> None:
        """Write a new configuration."""
        record = self.begin("configuration", "store", planned=True)
        self.fleet.write_configuration(self.rng.randrange(60))
        self.end(record)

    async def reload_settings(self) -> None:
        """Make a proxy reload its settings."""
        proxy = self._random_proxy()
        record = self.begin("reload", proxy.name, planned=True)
        proxy.send_signal(signal.SIGHUP)
        self.end(record)
