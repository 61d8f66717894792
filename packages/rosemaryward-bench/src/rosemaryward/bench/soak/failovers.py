"""Faults of the soak that act while the primary is being changed."""

import random
import signal

import anyio
import structlog

from rosemaryward.bench.soak.faults import Faults
from rosemaryward.bench.soak.fleet import Fleet, Proxy
from rosemaryward.bench.soak.links import LinkState
from rosemaryward.platform.fakes.instance import REPLICATION_LAG_S, FakeInstance
from rosemaryward.proxy.platform_keys import FAILOVER_LOCK_KEY

__all__ = ["FailoverFaults"]

log = structlog.get_logger(__name__)

PAUSE_RANGE_S = (0.5, 3.0)  # from the start of one fault to the start of the next
LONG_PAUSE_RANGE_S = (2.0, 6.0)
CRASH_RANGE_S = (0.3, 8.0)
SHORT_CRASH_RANGE_S = (0.1, 1.0)
# From the loss of a primary until its replacement is being fenced or promoted.
CHANGE_DELAY_RANGE_S = (0.3, 3.0)
STALL_RANGE_S = (0.2, 1.5)  # for which a replica receives nothing before a crash
SECOND_CRASH_DELAY_RANGE_S = (0.0, 0.6)
LATE_REPLICATION_RANGE_S = (0.5, 3.0)
DRAIN_RANGE_S = (1.0, 4.0)
REPLACEMENT_RANGE_S = (0.1, 1.5)  # from the end of an instance to its successor
PROMOTION_DELAY_RANGE_S = (1.0, 6.0)
HOLD_UP_RANGE_S = (0.0, 4.0)  # from the first call that is held up
CALL_TIMEOUT_S = 6.0  # for the first call after a crash
POLL_INTERVAL_S = 0.02
# Three missed heartbeats of 1.2 s, or an earlier end of the registration.
REGISTRATION_REMOVAL_RANGE_S = (0.8, 3.6)
RENAMED_SHARE = 0.5
EMPTY_SHARE = 0.4  # of the runs, and in these of the restarts
HELD_UP_SHARE = 0.5  # of the runs


class FailoverFaults(Faults):
    """Injects faults that meet one another during changes of the primary.

    Parameters
    ----------
    fleet : Fleet
        Proxies, stand-ins and links that the faults affect.
    rng : random.Random
        Selects kinds, targets and times of the faults.

    Attributes
    ----------
    loses_logs : bool
        Whether some replicas come back with an empty log.
    """

    def __init__(self, fleet: Fleet, rng: random.Random) -> None:
        super().__init__(fleet, rng)
        fleet.registration_removal_delay_s = rng.uniform(*REGISTRATION_REMOVAL_RANGE_S)
        # With long pauses, commits are acknowledged between two changes of the primary.
        self.pause_range_s = rng.choice((PAUSE_RANGE_S, LONG_PAUSE_RANGE_S))
        self.loses_logs = rng.random() < EMPTY_SHARE
        holds_up_promotions = rng.random() < HELD_UP_SHARE
        log.info(
            "failover faults selected",
            loses_logs=self.loses_logs,
            holds_up_promotions=holds_up_promotions,
            registration_removal_s=round(fleet.registration_removal_delay_s, 2),
        )
        self.kinds = [
            self.crash_primary,
            self.crash_replica,
            self.crash_two,
            self.crash_two,
            self.cut_off_primary,
            self.replace_instance,
            self.disturb_holder,
            self.disturb_holder,
            self.isolate_primary,
            self.disturb_store_links,
            self.kill_many,
        ]
        if holds_up_promotions:
            self.kinds += 2 * [self.hold_up_promotions]
            self.kinds.append(self.disturb_promotion_link)

    def _sample_s(self, range_s: tuple[float, float]) -> float:
        return self.rng.uniform(*range_s)

    async def _crash(self, instance: FakeInstance) -> None:
        await self._crash_and_restart(instance, CRASH_RANGE_S)

    def _restart(self, instance: FakeInstance) -> None:
        loses_log = self.loses_logs and self.rng.random() < EMPTY_SHARE
        is_renamed = self.rng.random() < RENAMED_SHARE
        instance.restart(renamed=is_renamed, keeps_log=not loses_log)

    async def crash_two(self) -> None:
        """Crash the primary and one replica while the other lacks entries."""
        stalled, crashed = self.rng.sample(self._replicas(), k=2)
        record = self.begin("receives late", stalled.name)
        stalled.lag_s = self._sample_s(LATE_REPLICATION_RANGE_S)
        stalled.is_isolated = self.rng.random() < 0.5
        await anyio.sleep(self._sample_s(STALL_RANGE_S))
        victims = [self.fleet.group.primary, crashed]
        self.rng.shuffle(victims)
        async with anyio.create_task_group() as tasks:
            for victim in victims:
                tasks.start_soon(self._crash, victim)
                await anyio.sleep(self._sample_s(SECOND_CRASH_DELAY_RANGE_S))
            await anyio.sleep(self._sample_s(CHANGE_DELAY_RANGE_S))
            stalled.is_isolated = False
            stalled.lag_s = REPLICATION_LAG_S
            self.end(record)

    async def cut_off_primary(self) -> None:
        """Cut proxies off from the primary, then restart a replica that is paused."""
        primary = self.fleet.group.primary
        holder = self.fleet.lock_holder()
        others = [proxy for proxy in self.fleet.proxies if proxy is not holder]
        cut = self.rng.sample(others, k=self.rng.randrange(len(others)))
        links = [p.links[primary.label] for p in [*cut, holder] if p is not None]
        async with anyio.create_task_group() as tasks:
            if links:
                tasks.start_soon(self._set_state, links, LinkState.CUT)
            await anyio.sleep(self._sample_s(CHANGE_DELAY_RANGE_S))
            replica = self._random_replica()
            await self._crash_and_restart(replica, SHORT_CRASH_RANGE_S)

    async def replace_instance(self) -> None:
        """Drain an instance; another one takes over its address and its log."""
        instance = self.rng.choice(self.fleet.group.instances)
        if not instance.alive or instance.leaving:
            return
        record = self.begin("replaced", instance.name)
        instance.leaving = True
        await anyio.sleep(self._sample_s(DRAIN_RANGE_S))
        if instance.alive:
            await instance.crash()
            await anyio.sleep(self._sample_s(REPLACEMENT_RANGE_S))
            instance.restart(renamed=True)
        instance.leaving = False
        self.end(record)

    async def hold_up_promotions(self) -> None:
        """Delay the effect or the reply of the calls that replace a primary.

        Half of the time the candidate or the lock's holder fails before the effect.
        """
        group = self.fleet.group
        calls = len(group.promotions)
        record = self.begin("held up", "promotion")
        if self.rng.random() < 0.7:
            group.promotion_delay_s = self._sample_s(PROMOTION_DELAY_RANGE_S)
        else:
            group.promotion_reply_delay_s = self._sample_s(PROMOTION_DELAY_RANGE_S)
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(self._crash, group.primary)
            with anyio.move_on_after(CALL_TIMEOUT_S):
                while len(group.promotions) == calls:  # noqa: ASYNC110
                    await anyio.sleep(POLL_INTERVAL_S)
            await anyio.sleep(self._sample_s(HOLD_UP_RANGE_S))
            group.promotion_delay_s = group.promotion_reply_delay_s = 0.0
            self.end(record)
            if len(group.promotions) == calls:
                return
            call = group.promotions[-1]
            choice = self.rng.randrange(4)
            if choice == 0:
                candidate = group.find(call.instance)
                if candidate is not None:
                    await self._crash_and_restart(candidate, SHORT_CRASH_RANGE_S)
            elif choice == 1:
                holder = self.fleet.find(call.holder)
                if holder is not None:
                    await self._disturb_proxy(holder)

    async def disturb_promotion_link(self) -> None:
        """Disturb the link from the lock's holder to the promotion service."""
        holder = self.fleet.lock_holder() or self._random_proxy()
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(self._disturb, [holder.links["promotion"]])
            await self._crash_primary_meanwhile(SHORT_CRASH_RANGE_S)

    async def _crash_primary_meanwhile(self, range_s: tuple[float, float]) -> None:
        """Crash the primary, which may return while another is being promoted."""
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(self._crash, self.fleet.group.primary)
            await anyio.sleep(self._sample_s(range_s))

    async def disturb_holder(self) -> None:
        """Disturb the holder of the failover lock while the primary is changed."""
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(self._crash, self.fleet.group.primary)
            await anyio.sleep(self._sample_s(CHANGE_DELAY_RANGE_S))
            holder = self.fleet.lock_holder()
            if holder is None:
                return
            await self._disturb_proxy(holder)

    async def _disturb_proxy(self, proxy: Proxy) -> None:
        """Kill, suspend or cut off a proxy, or revoke the failover lock."""
        choice = self.rng.randrange(5)
        if choice == 0:
            record = self.begin("kill", proxy.name)
            proxy.send_signal(signal.SIGKILL)
            self.end(record)
        elif choice == 1:
            record = self.begin("lock revoked", proxy.name)
            self.fleet.store.revoke_lease_of(FAILOVER_LOCK_KEY)
            self.end(record)
        elif choice == 2:
            await self.suspend_proxy(proxy)
        elif choice == 3:
            await self._set_state([proxy.links["store"]], LinkState.CUT)
        else:
            await self._set_state(list(proxy.links.values()), LinkState.CUT)
