"""Periodic sampling of instances and proxies during a run."""

import asyncio
import contextlib
import re

import httpx
import msgspec

from rosemaryward.bench.launch.state import (
    RunningDeployment,
    RunningEndpoint,
    RunningProxy,
)
from rosemaryward.bench.load.endpoints import poll_endpoint
from rosemaryward.bench.load.recorder import clock

__all__ = ["CounterSample", "CounterSampler", "StatusWatcher", "VersionSample"]

REQUEST_TIMEOUT_S = 1.0
COUNTERS_INTERVAL_S = 0.25
STATUS_INTERVAL_S = 0.2
LINK_BYTES_LINE = re.compile(
    r'^rosemaryward_region_link_bytes_total\{.*purpose="(\w+)".*\} (\S+)$'
)


class CounterSample(msgspec.Struct, frozen=True):
    """Counters of one instance at one time."""

    at: float
    database: str
    instance: str
    reads_as_primary: int
    reads_as_replica: int
    commits: int


class VersionSample(msgspec.Struct, frozen=True):
    """Configuration version in force at one proxy at one time."""

    at: float
    host_id: str
    version: int


class OwnerView(msgspec.Struct, frozen=True):
    """Owner of one endpoint according to the status of a proxy."""

    database: str
    instance: str
    owner: str = ""


class StatusView(msgspec.Struct, frozen=True):
    """Part of the status of a proxy that experiments use."""

    host_id: str
    configuration_version: int = 0
    endpoints: tuple[OwnerView, ...] = ()


class CounterSampler:
    """Samples the counters of all instances, each over its own connection.

    Parameters
    ----------
    running : RunningDeployment
    """

    def __init__(self, running: RunningDeployment) -> None:
        self.running = running
        self.samples: list[CounterSample] = []

    async def run(self) -> None:
        """Sample until cancelled."""
        async with asyncio.TaskGroup() as tasks:
            for endpoint in self.running.endpoints:
                tasks.create_task(self.watch(endpoint))

    async def watch(self, endpoint: RunningEndpoint) -> None:
        """Sample one instance."""
        polls = poll_endpoint(endpoint, "SHOW GROUP COUNTERS", COUNTERS_INTERVAL_S)
        async for row in polls:
            self.add_sample(endpoint, row)

    def add_sample(self, endpoint: RunningEndpoint, row: tuple[int, int, int]) -> None:
        """Record one row of counters."""
        values = [int(value) for value in row]
        self.samples.append(
            CounterSample(clock(), endpoint.database, endpoint.instance, *values)
        )


class StatusWatcher:
    """Polls the status of all proxies over the administration API.

    Attributes
    ----------
    owners : dict
        Host id of the owner by database and instance, according to most proxies.
    versions : list of VersionSample
        Configuration versions of all replies.
    """

    def __init__(self, running: RunningDeployment) -> None:
        self.running = running
        self.views: dict[str, StatusView] = {}
        self.versions: list[VersionSample] = []
        self.headers = {"Authorization": f"Bearer {running.admin_token}"}

    @property
    def owners(self) -> dict[tuple[str, str], str]:
        """Owner of each endpoint according to most proxies."""
        named: dict[tuple[str, str], list[str]] = {}
        for view in self.views.values():
            for item in view.endpoints:
                if item.owner:
                    named.setdefault((item.database, item.instance), []).append(
                        item.owner
                    )
        return {key: max(names, key=names.count) for key, names in named.items()}

    async def run(self) -> None:
        """Poll until cancelled."""
        async with (
            httpx.AsyncClient(
                trust_env=False, timeout=REQUEST_TIMEOUT_S, headers=self.headers
            ) as client,
            asyncio.TaskGroup() as tasks,
        ):
            for proxy in self.running.proxies:
                tasks.create_task(self.watch(client, proxy))

    async def watch(self, client: httpx.AsyncClient, proxy: RunningProxy) -> None:
        """Poll the status of one proxy."""
        while True:
            try:
                answer = await client.get(f"{proxy.admin_url}/v1/status")
                if answer.status_code == 200:
                    self.add_view(msgspec.json.decode(answer.content, type=StatusView))
            except httpx.HTTPError:
                self.views.pop(proxy.host_id, None)
            await asyncio.sleep(STATUS_INTERVAL_S)

    def add_view(self, view: StatusView) -> None:
        """Record the status of a proxy."""
        self.views[view.host_id] = view
        self.versions.append(
            VersionSample(clock(), view.host_id, view.configuration_version)
        )

    async def link_bytes(self) -> dict[str, float]:
        """Return the bytes between regions by purpose, summed over all proxies."""
        totals: dict[str, float] = {}
        async with httpx.AsyncClient(
            trust_env=False, timeout=REQUEST_TIMEOUT_S, headers=self.headers
        ) as client:
            for proxy in self.running.proxies:
                with contextlib.suppress(httpx.HTTPError):
                    answer = await client.get(f"{proxy.admin_url}/metrics")
                    add_link_bytes(answer.text, totals)
        return totals


def add_link_bytes(text: str, totals: dict[str, float]) -> None:
    """Add the region link counters in a proxy's metrics to `totals` by purpose."""
    for line in text.splitlines():
        if found := LINK_BYTES_LINE.match(line):
            purpose = found.group(1)
            totals[purpose] = totals.get(purpose, 0.0) + float(found.group(2))
