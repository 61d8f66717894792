"""Faults that the soak injects, drawn from a seed."""

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
from rosemaryward.platform.fakes.group import FakeInstance

__all__ = ["FaultRecord", "Faults"]

PAUSE_S = (0.2, 1.8)  # between two faults; they may overlap
LASTS_S = (0.3, 7.0)
LINK_DELAY_S = 0.15
DRAIN_S = 5.0

log = structlog.get_logger(__name__)


class FaultRecord(msgspec.Struct):
    """A fault with its time.

    Parameters
    ----------
    kind, target : str
    began_at, ended_at : float
        Steady time in seconds.
    planned : bool
        Whether it is planned work, which must cut no statement.
    """

    kind: str
    target: str
    began_at: float
    ended_at: float = float("inf")
    planned: bool = False


class Faults:
    """Injects faults one after the other, overlapping.

    Parameters
    ----------
    fleet : Fleet
    random_ : random.Random
    """

    def __init__(self, fleet: Fleet, random_: random.Random) -> None:
        self.fleet = fleet
        self.random = random_
        self.records: list[FaultRecord] = []
        self.kinds: list[Callable[[], Coroutine[Any, Any, None]]] = [
            self.terminate,
            self.terminate_in_turn,
            self.kill,
            self.kill_many,
            self.freeze,
            self.harm_store_link,
            self.harm_instance_link,
            self.harm_peer_links,
            self.cut_proxy_off,
            self.crash_primary,
            self.crash_replica,
            self.cut_primary_off,
            self.delay_replicas,
            self.replace_primary,
            self.lose_answers,
            self.refuse_store,
            self.forget_history,
            self.revoke_leases,
            self.change_configuration,
            self.reload_settings,
        ]

    async def run(self, duration_s: float) -> None:
        """Inject faults for a time and wait until the last has ended."""
        until = time.monotonic() + duration_s
        async with anyio.create_task_group() as tasks:
            while time.monotonic() < until:
                tasks.start_soon(self.random.choice(self.kinds))
                await anyio.sleep(self.random.uniform(*PAUSE_S))

    def _begin(self, kind: str, target: str, planned: bool = False) -> FaultRecord:
        record = FaultRecord(kind, target, time.monotonic(), planned=planned)
        self.records.append(record)
        log.info("fault begins", kind=kind, target=target)
        return record

    def _end(self, record: FaultRecord) -> None:
        record.ended_at = time.monotonic()
        log.info("fault ends", kind=record.kind, target=record.target)

    async def _last(self, at_most_s: float = LASTS_S[1]) -> None:
        await anyio.sleep(self.random.uniform(LASTS_S[0], at_most_s))

    def _proxy(self) -> Proxy:
        return self.random.choice(self.fleet.proxies)

    async def terminate(self) -> None:
        """Stop a proxy as for planned work."""
        await self._stop(self._proxy())

    async def terminate_in_turn(self) -> None:
        """Stop several proxies, one after the other."""
        for proxy in self.random.sample(self.fleet.proxies, k=3):
            await self._stop(proxy)

    async def _stop(self, proxy: Proxy) -> None:
        starts = proxy.starts
        record = self._begin("terminate", proxy.name, planned=True)
        proxy.send(signal.SIGTERM)
        with anyio.move_on_after(10.0):
            while proxy.starts == starts:  # noqa: ASYNC110
                await anyio.sleep(0.05)
        self._end(record)

    async def kill(self) -> None:
        """Kill one proxy."""
        proxy = self._proxy()
        record = self._begin("kill", proxy.name)
        proxy.send(signal.SIGKILL)
        self._end(record)

    async def kill_many(self) -> None:
        """Kill several or all proxies at the same moment."""
        count = self.random.randrange(2, len(self.fleet.proxies) + 1)
        record = self._begin("kill", f"{count} proxies")
        for proxy in self.random.sample(self.fleet.proxies, k=count):
            proxy.send(signal.SIGKILL)
        self._end(record)

    async def freeze(self) -> None:
        """Suspend a proxy and let it go on."""
        proxy = self._proxy()
        record = self._begin("freeze", proxy.name)
        proxy.send(signal.SIGSTOP)
        await self._last()
        proxy.send(signal.SIGCONT)
        self._end(record)

    async def harm_store_link(self) -> None:
        """Harm the links of some proxies to the store."""
        count = self.random.randrange(1, len(self.fleet.proxies) + 1)
        chosen = self.random.sample(self.fleet.proxies, k=count)
        await self._harm([proxy.links["store"] for proxy in chosen])

    async def harm_instance_link(self) -> None:
        """Harm links of proxies to one instance."""
        instance = self.random.choice(self.fleet.group.instances)
        count = self.random.randrange(1, len(self.fleet.proxies) + 1)
        chosen = self.random.sample(self.fleet.proxies, k=count)
        await self._harm([proxy.links[instance.name] for proxy in chosen])

    async def harm_peer_links(self) -> None:
        """Harm the links between one proxy and the others."""
        proxy = self._proxy()
        links = [link for name, link in proxy.links.items() if "/" in name]
        await self._harm(links)

    async def cut_proxy_off(self) -> None:
        """Cut all links of one proxy."""
        proxy = self._proxy()
        await self._hold(list(proxy.links.values()), LinkState.CUT)

    async def _harm(self, links: list[Link]) -> None:
        way = self.random.randrange(6)
        if way == 0:
            record = self._begin("reset", links[0].name)
            for link in links:
                link.reset()
            self._end(record)
        elif way == 1:
            record = self._begin("silence", links[0].name)
            for link in links:
                link.silence()
            self._end(record)
        else:
            states = [s for s in LinkState if s is not LinkState.GOOD]
            await self._hold(links, self.random.choice(states))

    async def _hold(self, links: list[Link], state: LinkState) -> None:
        record = self._begin(state.name.lower(), f"{links[0].name} ({len(links)})")
        for link in links:
            link.change(state, LINK_DELAY_S)
        await self._last()
        for link in links:
            link.change(LinkState.GOOD)
        self._end(record)

    async def crash_primary(self) -> None:
        """Let the primary crash and come back."""
        await self._crash(self.fleet.group.primary)

    async def crash_replica(self) -> None:
        """Let a replica crash and come back."""
        await self._crash(self._replica())

    def _replica(self) -> FakeInstance:
        group = self.fleet.group
        return self.random.choice(
            [i for i in group.instances if i is not group.primary]
        )

    async def _crash(self, instance: FakeInstance) -> None:
        # A log that only a crashed instance has cannot be kept by anybody.
        if not all(i.alive and not i.is_isolated for i in self.fleet.group.instances):
            return
        record = self._begin("crash", instance.name)
        await instance.crash()
        await self._last(4.0)
        instance.restart()
        self._end(record)

    async def cut_primary_off(self) -> None:
        """Cut the primary off from its replicas."""
        leader = self.fleet.group.primary
        record = self._begin("cut off from replicas", leader.name)
        leader.is_isolated = True
        await self._last()
        leader.is_isolated = False
        self._end(record)

    async def delay_replicas(self) -> None:
        """Let replicas fall behind."""
        instances = self.fleet.group.instances
        record = self._begin("lag", "all instances")
        known = [instance.lag_s for instance in instances]
        for instance in instances:
            instance.lag_s = self.random.uniform(0.05, 1.0)
        await self._last(3.0)
        for instance, lag_s in zip(instances, known, strict=True):
            instance.lag_s = lag_s
        self._end(record)

    async def replace_primary(self) -> None:
        """Announce that the primary leaves, and stop it."""
        leader = self.fleet.group.primary
        record = self._begin("leaving", leader.name)
        leader.leaving = True
        await anyio.sleep(DRAIN_S)
        leader.leaving = False
        self._end(record)

    async def lose_answers(self) -> None:
        """Let the primary run statements without answering them."""
        record = self._begin("answers lost", self.fleet.group.primary.name)
        self.fleet.group.primary.replies_to_drop = self.random.randrange(1, 5)
        self._end(record)

    async def refuse_store(self) -> None:
        """Let the store refuse all calls."""
        record = self._begin("refusing", "store")
        self.fleet.store.is_unavailable = True
        await self._last()
        self.fleet.store.is_unavailable = False
        self._end(record)

    async def forget_history(self) -> None:
        """Let the store forget its history."""
        record = self._begin("history lost", "store")
        self.fleet.store.compact_history()
        self._end(record)

    async def revoke_leases(self) -> None:
        """Let the store take all leases back."""
        record = self._begin("leases revoked", "store")
        self.fleet.store.revoke_leases()
        self._end(record)

    async def change_configuration(self) -> None:
        """Write a new configuration."""
        record = self._begin("configuration", "store", planned=True)
        self.fleet.configure(self.random.randrange(60))
        self._end(record)

    async def reload_settings(self) -> None:
        """Tell a proxy that its settings changed."""
        proxy = self._proxy()
        record = self._begin("reload", proxy.name, planned=True)
        proxy.send(signal.SIGHUP)
        self._end(record)
