"""Load of several tenants on one simulated endpoint, in virtual time."""

from random import Random

import anyio
from anyio import current_time

from rosemaryward.decisions.admission import AdmissionQueue
from rosemaryward.decisions.errors import OverloadError
from rosemaryward.decisions.types import Rank

SERVICE_S = 0.02
DEADLINE_S = 0.8


def percentile(values: list[float], share: float) -> float:
    ordered = sorted(values)
    return ordered[min(len(ordered) - 1, int(len(ordered) * share))]


class TenantLoad:
    """Plays the requests of tenants and records what their callers get."""

    def __init__(
        self, queue: AdmissionQueue, seed: int = 1, deadline_s: float = DEADLINE_S
    ) -> None:
        self.queue = queue
        self.deadline_s = deadline_s
        self.seed = seed
        self.latencies: dict[str, list[float]] = {}
        self.refusals: dict[str, list[tuple[float, float]]] = {}
        self.sent: dict[str, int] = {}

    async def request(
        self, tenant: str, caller: str, service_s: float = SERVICE_S
    ) -> float | None:
        """Run one request; return its suggested retry time if it is refused."""
        arrived_at = current_time()
        self.sent[tenant] = self.sent.get(tenant, 0) + 1
        try:
            async with self.queue.slot(Rank.NORMAL, caller, tenant, self.deadline_s):
                await anyio.sleep(service_s)
        except OverloadError as error:
            refusal = (arrived_at, error.retry_after_s)
            self.refusals.setdefault(tenant, []).append(refusal)
            return error.retry_after_s
        self.latencies.setdefault(tenant, []).append(current_time() - arrived_at)
        return None

    async def play(self, rates: dict[str, float], duration_s: float) -> None:
        """Send requests of tenants at random times, given by their rates."""
        until = current_time() + duration_s
        async with anyio.create_task_group() as tasks:
            for tenant, rate in rates.items():
                tasks.start_soon(self._send, tasks, tenant, rate, until)

    async def _send(self, tasks, tenant: str, rate: float, until: float) -> None:
        # With its own random numbers, a tenant sends the same in every comparison.
        random = Random(f"{self.seed} {tenant}")
        number = 0
        while True:
            await anyio.sleep(random.expovariate(rate))
            if current_time() >= until:
                return
            number += 1
            service_s = SERVICE_S * random.uniform(0.5, 1.5)
            caller = f"{tenant}-{number % 20}"
            tasks.start_soon(self.request, tenant, caller, service_s)

    def served_share(self, tenants: list[str]) -> float:
        """Return the share of the tenants' requests that ended in time."""
        served = sum(
            latency <= self.deadline_s
            for tenant in tenants
            for latency in self.latencies.get(tenant, [])
        )
        return served / sum(self.sent[tenant] for tenant in tenants)

    def latencies_of(self, tenants: list[str]) -> list[float]:
        """Return the latencies of the tenants' served requests."""
        return [s for tenant in tenants for s in self.latencies[tenant]]
