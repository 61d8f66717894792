"""Failover gap over many seeds on a virtual clock, compared with a fixed timeout.

The program simulates a database group of three instances, each with one owner in
its failure domain, makes the primary fail and measures the time to the first write
that is acknowledged in a newer term. It needs the development dependencies. The
baseline promotes in the same way but suspects the primary after a fixed time
without a reply.

Examples
--------
``python -m rosemaryward.bench.groups --seeds 200 --fault silent``
"""

from collections.abc import Callable
from dataclasses import dataclass
from math import ceil
from typing import Annotated

import anyio
import cappa

from rosemaryward.decisions.groups import GroupSettings
from rosemaryward.decisions.groups.tests.simulation import GroupSimulation, run

__all__ = ["GapTrial", "measure_gap", "main"]

BASELINE_SUSPICION_TIMEOUT_S = 3.0
FAULTS = ("refused", "silent", "cut", "domain")


@dataclass
class GapTrial:
    """Flags of the program.

    Parameters
    ----------
    seeds : int
        Number of trials per fault.
    fault : str
        One of `FAULTS`, or empty for all of them.
    """

    seeds: Annotated[int, cappa.Arg(long=True)] = 200
    fault: Annotated[str, cappa.Arg(long=True)] = ""


def baseline_settings() -> GroupSettings:
    """Return settings that suspect a primary after a fixed time without a reply."""
    return GroupSettings(suspect_after_s=BASELINE_SUSPICION_TIMEOUT_S)


async def measure_gap(
    seed: int, fault: str, settings: Callable[[], GroupSettings]
) -> float:
    """Return the failover gap of one trial in seconds.

    Parameters
    ----------
    seed : int
        Seed of the simulation.
    fault : str
        ``refused`` if the killed instance's host refuses connections, ``silent``
        if the host does not reply, ``cut`` if the instance runs but is partitioned,
        and ``domain`` if its owner fails with it.
    settings : callable
        Returns the settings of the group.
    """
    async with GroupSimulation(seed, settings) as world:
        world.tasks.start_soon(world.write_continuously)
        await anyio.sleep(2.0 + world.random.random())
        primary = world.primary()
        if fault == "cut":
            others = {*world.instances, *world.supervisors} - {primary.name}
            world.network.cut([primary.name], others)
        else:
            primary.alive = False
            primary.refuses = fault == "refused"
        if fault == "domain":
            world.kill_host(f"p{primary.name[-1]}")
        return await world.failover_gap_s()


def percentile(values: list[float], share: float) -> float:
    """Return the smallest value that at least `share` of the values do not exceed."""
    return sorted(values)[ceil(share * len(values)) - 1]


def main() -> None:
    """Print the failover gap with both failure detectors for each fault."""
    arguments = cappa.parse(GapTrial)
    detectors = {"adaptive": GroupSettings, "fixed 3 s": baseline_settings}
    print(f"failover gap in s, {arguments.seeds} seeds")
    for fault in [arguments.fault] if arguments.fault else FAULTS:
        for name, settings in detectors.items():
            gaps = [
                run(measure_gap, seed, fault, settings)
                for seed in range(arguments.seeds)
            ]
            print(
                f"{fault:8} {name:10} p50 {percentile(gaps, 0.5):.2f}"
                f" p99 {percentile(gaps, 0.99):.2f} max {max(gaps):.2f}",
                flush=True,
            )


if __name__ == "__main__":
    main()
