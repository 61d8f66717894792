"""Measures the cost of tenants' rate limits by fleet size.

The production classes run on a virtual clock and encode their messages; the time of
one admission is measured on the clock of the machine.

Examples
--------
``python -m rosemaryward.bench.quota_capacity --sizes 6,81``
"""

import time
from dataclasses import dataclass
from statistics import linear_regression
from typing import Annotated

import anyio
import cappa
import structlog

from rosemaryward.decisions.quota import TenantRate
from rosemaryward.decisions.quota.account import TenantAccount
from rosemaryward.decisions.quota.tests.simulation import Fleet, run_fleet

__all__ = ["FleetCost", "QuotaCapacityCommand", "main", "measure_admission_us"]

DESIGN_HOSTS = 2861
SETTLE_S = 3.0
DURATION_S = 3.0
USUAL_LOAD = 0.6
HOT_LOAD = 7.0
ADMISSIONS = 100_000
# One large tenant and some small ones; each tenant that is over its limit adds to the
# number of requests.
LIMITS = {"hot": TenantRate(150.0, 30.0)} | {
    f"small-{i}": TenantRate(1.0, 1.0) for i in range(10)
}


@dataclass
class FleetCost:
    """Messages of one fleet, requests and replies counted at their senders.

    Attributes
    ----------
    hosts : int
        Number of hosts.
    load : float
        Demand of the large tenant as a multiple of its rate.
    messages : float
        Mean number of messages per host and second.
    bytes_sent : float
        Mean number of bytes per host and second.
    most_bytes_sent : float
        Bytes per second of the host that sends most.
    """

    hosts: int
    load: float
    messages: float
    bytes_sent: float
    most_bytes_sent: float


def measure_fleet(hosts: int, load: float) -> FleetCost:
    """Return the messages of a fleet whose tenants' callers are at all hosts."""
    fleet = Fleet(1, LIMITS, hosts)

    async def scenario(fleet: Fleet) -> None:
        fleet.preregister()
        fleet.start_all()
        await anyio.sleep(SETTLE_S)
        names = list(fleet.places)
        end = SETTLE_S + 2 * DURATION_S
        for tenant, rate in LIMITS.items():
            demand = rate.rate_per_s * (load if tenant == "hot" else USUAL_LOAD)
            fleet.tasks.start_soon(fleet.call, tenant, names, demand, end)
        await anyio.sleep(DURATION_S)
        fleet.messages.clear()
        fleet.bytes.clear()
        await anyio.sleep(DURATION_S)

    run_fleet(fleet, scenario)
    return FleetCost(
        hosts,
        load,
        sum(fleet.messages.values()) / hosts / DURATION_S,
        sum(fleet.bytes.values()) / hosts / DURATION_S,
        max(fleet.bytes.values()) / DURATION_S,
    )


def measure_admission_us() -> float:
    """Return the microseconds of one admission while the host has tokens."""
    fleet = Fleet(1, {"hot": TenantRate(1e9, 1e9)}, hosts=1)
    taken: list[float] = []

    async def scenario(fleet: Fleet) -> None:
        fleet.preregister()
        fleet.start_all()
        await anyio.sleep(SETTLE_S)
        process = fleet.processes["h0000"]
        now = time.clock_gettime(time.CLOCK_BOOTTIME)
        account = TenantAccount()
        account.add(2 * ADMISSIONS, now + 3600)
        process.quota.accounts["hot"] = account
        process.quota.clock = lambda: time.clock_gettime(time.CLOCK_BOOTTIME)
        # The product's clock; tokens taken stay refundable, as they would.
        started_at = time.perf_counter()
        for _ in range(ADMISSIONS):
            await process.quota.admit("hot")
        taken.append(time.perf_counter() - started_at)

    run_fleet(fleet, scenario)
    return taken[0] / ADMISSIONS * 1e6


@dataclass
class QuotaCapacityCommand:
    """Measure the cost of tenants' rate limits by fleet size."""

    sizes: Annotated[str, cappa.Arg(long="--sizes")] = "6,81,300"

    def __call__(self) -> int:
        """Print the measurements."""
        structlog.configure(
            wrapper_class=structlog.make_filtering_bound_logger(40)  # errors
        )
        print(f"admission with tokens: {measure_admission_us():.2f} us")
        sizes = [int(size) for size in self.sizes.split(",")]
        for load in (USUAL_LOAD, HOT_LOAD):
            costs = [measure_fleet(hosts, load) for hosts in sizes]
            for cost in costs:
                print(
                    f"load {load}, {cost.hosts} hosts: {cost.messages:.1f} messages/s "
                    f"and {cost.bytes_sent:.0f} bytes/s per host, "
                    f"{cost.most_bytes_sent:.0f} bytes/s at the busiest"
                )
            if len(costs) > 1:
                _print_slope(costs)
        return 0


def _print_slope(costs: list[FleetCost]) -> None:
    """Print the figures at the design size by the slope of the two largest fleets."""
    largest = costs[-2:]
    hosts = [cost.hosts for cost in largest]
    for name in ("messages", "bytes_sent", "most_bytes_sent"):
        values = [getattr(cost, name) for cost in largest]
        line = linear_regression(hosts, values)
        value = line.intercept + line.slope * DESIGN_HOSTS
        print(f"  {DESIGN_HOSTS} hosts by slope: {name} {value:.1f}/s")


def main() -> None:
    """Run the command line."""
    raise SystemExit(cappa.invoke(QuotaCapacityCommand))


if __name__ == "__main__":
    main()
