"""Planned work that comes in series, which overlap on the same processes."""

import random
import signal
import time
from collections.abc import Callable, Coroutine
from typing import Any

import anyio

from rosemaryward.bench.soak.faults import Faults
from rosemaryward.bench.soak.fleet import Fleet, Proxy

__all__ = ["Maintenance"]

ROLL_PAUSE_RANGE_S = (0.3, 3.0)  # from one SIGTERM to the next; a drain takes 2.3 s
SIGNAL_PAUSE_RANGE_S = (0.05, 1.0)
CONFIGURATION_PAUSE_RANGE_S = (0.1, 0.8)
START_SIGNAL_RANGE_S = (
    0.1,
    1.0,
)  # after the start; a signal before it finds no program
POLL_INTERVAL_S = 0.02

Series = Callable[[float], Coroutine[Any, Any, None]]


class Maintenance:
    """Runs series of planned work at the same time.

    Every run terminates the proxies in turn; the seed selects what happens beside it.

    Parameters
    ----------
    fleet : Fleet
        Proxies and store that the work affects.
    faults : Faults
        Records the work.
    rng : random.Random
        Selects series, targets and times.
    """

    def __init__(self, fleet: Fleet, faults: Faults, rng: random.Random) -> None:
        self.fleet = fleet
        self.faults = faults
        self.rng = rng
        others: list[Series] = [
            self.reload_proxies,
            self.terminate_again,
            self.signal_starting,
            self.change_configurations,
        ]
        count = rng.randrange(1, len(others) + 1)
        self.series: list[Series] = [self.terminate_in_turn, *rng.sample(others, count)]

    async def run(self, duration_s: float) -> None:
        """Start work for `duration_s` seconds and wait until all of it has ended."""
        until = time.monotonic() + duration_s
        async with anyio.create_task_group() as tasks:
            for series in self.series:
                tasks.start_soon(series, until)

    async def terminate_in_turn(self, until: float) -> None:
        """Terminate all proxies in a random order, without waiting for the drains."""
        async with anyio.create_task_group() as tasks:
            while time.monotonic() < until:
                for proxy in self.rng.sample(self.fleet.proxies, self.count):
                    if proxy.is_draining:
                        self._send(proxy, signal.SIGTERM, "terminate again")
                    else:
                        tasks.start_soon(self.faults.terminate_proxy, proxy)
                    await anyio.sleep(self.rng.uniform(*ROLL_PAUSE_RANGE_S))
                    if time.monotonic() >= until:
                        return

    @property
    def count(self) -> int:
        """Number of proxies."""
        return len(self.fleet.proxies)

    async def reload_proxies(self, until: float) -> None:
        """Make proxies reload their settings, half of the time during a drain."""
        while time.monotonic() < until:
            started = [p for p in self.fleet.proxies if p.has_started]
            draining = [p for p in started if p.is_draining]
            if draining and self.rng.random() < 0.5:
                started = draining
            self._signal(started, signal.SIGHUP, "reload")
            await anyio.sleep(self.rng.uniform(*SIGNAL_PAUSE_RANGE_S))

    async def terminate_again(self, until: float) -> None:
        """Send further SIGTERMs to proxies during their drains."""
        while time.monotonic() < until:
            draining = [p for p in self.fleet.proxies if p.is_draining]
            self._signal(draining, signal.SIGTERM, "terminate again")
            await anyio.sleep(self.rng.uniform(*SIGNAL_PAUSE_RANGE_S))

    async def signal_starting(self, until: float) -> None:
        """Terminate or reload proxies shortly after their processes have started."""
        async with anyio.create_task_group() as tasks:
            for proxy in self.fleet.proxies:
                tasks.start_soon(self._signal_starts, proxy, until)

    async def _signal_starts(self, proxy: Proxy, until: float) -> None:
        starts = proxy.starts
        while time.monotonic() < until:
            await anyio.sleep(POLL_INTERVAL_S)
            if proxy.starts == starts:
                continue
            starts = proxy.starts
            await anyio.sleep(self.rng.uniform(*START_SIGNAL_RANGE_S))
            number = self.rng.choice((signal.SIGTERM, signal.SIGHUP))
            self._signal([proxy], number, f"{number.name} during start")

    async def change_configurations(self, until: float) -> None:
        """Write new configurations in short intervals."""
        while time.monotonic() < until:
            await self.faults.change_configuration()
            await anyio.sleep(self.rng.uniform(*CONFIGURATION_PAUSE_RANGE_S))

    def _signal(self, proxies: list[Proxy], number: signal.Signals, kind: str) -> None:
        """Send a signal to one of the proxies, if there are any."""
        if proxies:
            self._send(self.rng.choice(proxies), number, kind)

    def _send(self, proxy: Proxy, number: signal.Signals, kind: str) -> None:
        """Send a signal to a proxy and record it."""
        record = self.faults.begin(kind, proxy.name, planned=True)
        proxy.send_signal(number)
        self.faults.end(record)
