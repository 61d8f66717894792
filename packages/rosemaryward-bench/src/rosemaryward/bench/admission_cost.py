"""Measures the time of admission decisions.

Run ``python -m rosemaryward.bench.admission_cost`` to print the processor time per
request, from arrival to release, with and without weights of tenants.
"""

import asyncio
from time import process_time

import looptime
from rich.console import Console
from rich.table import Table

from rosemaryward.decisions.admission import (
    AdmissionQueue,
    AdmissionSettings,
    SlotGrant,
    TenantWeights,
)
from rosemaryward.decisions.admission.grant import GrantState
from rosemaryward.decisions.errors import OverloadError
from rosemaryward.decisions.types import Rank

__all__ = ["measure_decisions"]

SLOTS = 4
TENANTS = 83
REQUESTS = 20_000
DEADLINE_S = 2.0
SETTINGS = AdmissionSettings(adaptive=False, minimum_reserve_slots=0)


async def measure_decisions(
    weights: TenantWeights | None, arrivals_per_release: int
) -> float:
    """Return the mean processor time per request in seconds.

    Parameters
    ----------
    weights : callable or None
        Weights of the tenants.
    arrivals_per_release : int
        Requests for each one that ends; 1 leaves no queue.
    """
    queue = AdmissionQueue(SLOTS, {}, SETTINGS, weights)
    waiting: list[SlotGrant] = []
    spent_s = 0.0
    for number in range(REQUESTS):
        grant = queue.slot(Rank.NORMAL, "c", f"t{number % TENANTS}", DEADLINE_S)
        begin = process_time()
        try:
            queue.request(grant)
            waiting.append(grant)
        except OverloadError:
            pass
        spent_s += process_time() - begin
        await asyncio.sleep(0.005 / arrivals_per_release)
        if number % arrivals_per_release:
            continue
        running = next(g for g in waiting if g.state is GrantState.GRANTED)
        waiting.remove(running)
        begin = process_time()
        queue.release(running, True)
        spent_s += process_time() - begin
        waiting = [g for g in waiting if g.state is not GrantState.REFUSED]
    return spent_s / REQUESTS


def main() -> None:
    """Print the measurements."""
    table = Table("tenants", "arrivals per end", "µs per request")
    for name, weights in (("equal", None), ("weighted", lambda tenant: 10.0)):
        for arrivals in (1, 2):
            with asyncio.Runner(loop_factory=looptime.new_event_loop) as runner:
                mean_s = runner.run(measure_decisions(weights, arrivals))
            table.add_row(name, str(arrivals), f"{mean_s * 1e6:.1f}")
    Console().print(table)


if __name__ == "__main__":
    main()
