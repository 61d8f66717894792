"""Repeated questions to instances and proxies during a run."""

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

TIMEOUT_S = 1.0
COUNTERS_EVERY_S = 0.25
STATUS_EVERY_S = 0.2
LINK_LINE = re.compile(
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
    """Owner of one endpoint as a proxy's status names it."""

    database: str
    instance: str
    owner: str = ""


class StatusView(msgspec.Struct, frozen=True):
    """The part of a proxy's status that experiments use."""

    host_id: str
    configuration_version: int = 0
    endpoints: tuple[OwnerView, ...] = ()


class CounterSampler:
    """Reads the counters of all instances, each on a connection of its own.

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
        polls = poll_endpoint(endpoint, "SHOW GROUP COUNTERS", COUNTERS_EVERY_S)
        async for row in polls:
            self.note(endpoint, row)

    def note(self, endpoint: RunningEndpoint, row: tuple[int, int, int]) -> None:
        """Keep one row of counters."""
        values = [int(value) for value in row]
        self.samples.append(
            CounterSample(clock(), endpoint.database, endpoint.instance, *values)
        )


class StatusWatcher:
    """Polls the status of all proxies over the administration API.

    Attributes
    ----------
    owners : dict
        Host id of the owner by database and instance, as most proxies see it.
    versions : list of VersionSample
    """

    def __init__(self, running: RunningDeployment) -> None:
        self.running = running
        self.views: dict[str, StatusView] = {}
        self.versions: list[VersionSample] = []
        self.headers = {"Authorization": f"Bearer {running.admin_token}"}

    @property
    def owners(self) -> dict[tuple[str, str], str]:
        """Return the owner that most proxies name for each endpoint."""
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
                trust_env=False, timeout=TIMEOUT_S, headers=self.headers
            ) as client,
            asyncio.TaskGroup() as tasks,
        ):
            for proxy in self.running.proxies:
                tasks.create_task(self.watch(client, proxy))

    async def watch(self, client: httpx.AsyncClient, proxy: RunningProxy) -> None:
        """Poll one proxy."""
        while True:
            try:
                answer = await client.get(f"{proxy.admin_url}/v1/status")
                if answer.status_code == 200:
                    self.note(msgspec.json.decode(answer.content, type=StatusView))
            except httpx.HTTPError:
                self.views.pop(proxy.host_id, None)
            await asyncio.sleep(STATUS_EVERY_S)

    def note(self, view: StatusView) -> None:
        """Keep one answer."""
        self.views[view.host_id] = view
        self.versions.append(
            VersionSample(clock(), view.host_id, view.configuration_version)
        )

    async def link_bytes(self) -> dict[str, float]:
        """Return the bytes over the link between regions by purpose."""
        totals: dict[str, float] = {}
        async with httpx.AsyncClient(
            trust_env=False, timeout=TIMEOUT_S, headers=self.headers
        ) as client:
            for proxy in self.running.proxies:
                with contextlib.suppress(httpx.HTTPError):
                    answer = await client.get(f"{proxy.admin_url}/metrics")
                    add_link_bytes(answer.text, totals)
        return totals


def add_link_bytes(text: str, totals: dict[str, float]) -> None:
    """Add the link's counters of one proxy's metrics to `totals`."""
    for line in text.splitlines():
        if found := LINK_LINE.match(line):
            purpose = found.group(1)
            totals[purpose] = totals.get(purpose, 0.0) + float(found.group(2))
