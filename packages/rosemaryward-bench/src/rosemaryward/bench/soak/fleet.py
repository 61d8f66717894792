"""Processes and stand-ins of the soak and the links between them."""

import random
import re
import signal
import socket
import sys
import time
from collections.abc import Mapping
from pathlib import Path

import anyio
import httpx
import msgspec
from anyio.abc import TaskGroup

from rosemaryward.bench.launch.processes import Child, start_child
from rosemaryward.bench.soak.endings import START_EVENT, ProcessRun
from rosemaryward.bench.soak.links import Link
from rosemaryward.bench.web import serve_http
from rosemaryward.platform.configuration import (
    CONFIGURATION_KEY,
    REGISTRATION_PREFIX,
)
from rosemaryward.platform.fakes.documents import encode_configuration, encode_settings
from rosemaryward.platform.fakes.group import FakeGroup
from rosemaryward.platform.fakes.store import FakeStore, ValueView
from rosemaryward.platform.http_server import READINESS_PATH
from rosemaryward.platform.settings import SETTINGS_VARIABLE
from rosemaryward.proxy.platform_keys import FAILOVER_LOCK_KEY

__all__ = ["GROUP", "Fleet", "Proxy"]

GROUP = "orders"
PLACES = [("north", "a"), ("north", "b"), ("south", "c")]
PORT_RANGE = (20_000, 29_000)  # below the ephemeral port range of the system
LOOPBACK_ADDRESS = re.compile(rb"127\.0\.0\.1:(\d+)")
CONFIGURATION_APPLIED = re.compile(r'"event":"configuration applied","version":(\d+)')
REGISTRATION_REMOVAL_DELAY_S = 1.5
REGISTRATION_INTERVAL_S = 0.2
RESTART_DELAY_S = 0.2
LOAD_BALANCER_REMOVAL_S = 2.0  # two failed probes, one per second
READY_TIMEOUT_S = 0.5
HTTP_OK = 200
PORTS_PER_PROXY = 5
# With more, links between all of them take more descriptors than a process has.
MAX_PROXIES_WITH_PEER_LINKS = 12


def reserve_ports(count: int) -> tuple[list[int], list[socket.socket]]:
    """Return consecutive free TCP ports, with sockets that reserve them.

    The proxies use TCP only, so a UDP socket on each port keeps other soaks on this
    machine from picking it, also while no proxy listens.
    """
    while True:
        first = random.randrange(*PORT_RANGE)
        ports = list(range(first, first + count))
        reservations: list[socket.socket] = []
        try:
            for port in ports:
                reservation = socket.socket(type=socket.SOCK_DGRAM)
                reservations.append(reservation)
                reservation.bind(("127.0.0.1", port))
                with socket.socket() as probe:
                    probe.bind(("127.0.0.1", port))
        except OSError:
            for reservation in reservations:
                reservation.close()
            continue
        return ports, reservations


def replace_ports(ports: Mapping[int, int]) -> ValueView:
    """Return a view of the store's values with ports of addresses replaced."""

    def replace_port(match: re.Match[bytes]) -> bytes:
        port = int(match[1])
        return f"127.0.0.1:{ports.get(port, port)}".encode()

    def rewrite_addresses(_: str, value: bytes) -> bytes:
        return LOOPBACK_ADDRESS.sub(replace_port, value)

    return rewrite_addresses


class Proxy:
    """One real proxy process, restarted whenever it ends.

    Parameters
    ----------
    name : str
        Node name, also used for its settings and log files.
    place : tuple of str
        Region and failure domain.

    Attributes
    ----------
    reservations : list of socket.socket
        Sockets that reserve its ports until the proxy object is gone.
    links : dict of str to Link
        Links from this proxy to the store, the instances and the other proxies.
    terminated_at : list of float
        Times of the SIGTERMs sent to it, in seconds of the monotonic clock.
    runs : list of ProcessRun
        Its processes, the present one last.
    """

    def __init__(self, name: str, place: tuple[str, str]) -> None:
        self.name = name
        self.place = place
        self.ports, self.reservations = reserve_ports(PORTS_PER_PROXY)
        self.links: dict[str, Link] = {}
        self.child: Child | None = None
        self.starts = 0
        self.terminated_at: list[float] = []
        self.runs: list[ProcessRun] = []
        self.log_offset = 0
        self.stopping = False

    @property
    def address(self) -> tuple[str, int]:
        """Address and port for callers."""
        return "127.0.0.1", self.ports[0]

    def send_signal(self, number: signal.Signals) -> None:
        """Send a signal to the process if it is running."""
        if self.child is None or self.child.process.poll() is not None:
            return
        if number is signal.SIGTERM:
            self.terminated_at.append(time.monotonic())
        self.runs[-1].signals.append((time.monotonic(), number))
        self.child.process.send_signal(number)

    @property
    def is_running(self) -> bool:
        """Whether its process runs."""
        return self.child is not None and self.child.process.poll() is None

    @property
    def is_draining(self) -> bool:
        """Whether its process runs and has been sent a SIGTERM."""
        return self.is_running and self.runs[-1].was_sent(signal.SIGTERM)

    @property
    def is_removed(self) -> bool:
        """Whether the load balancer has removed it because of a drain."""
        return self.is_running and any(
            number is signal.SIGTERM and time.monotonic() - at > LOAD_BALANCER_REMOVAL_S
            for at, number in self.runs[-1].signals
        )

    @property
    def has_started(self) -> bool:
        """Whether its process runs and has logged its start."""
        return self.is_running and START_EVENT in self._read_log()

    def configuration_version(self) -> int:
        """Return the version that the present process last logged, 0 for none."""
        versions = CONFIGURATION_APPLIED.findall(self._read_log())
        return int(versions[-1]) if versions else 0

    def _read_log(self) -> str:
        """Return what the present process has logged."""
        assert self.child is not None
        with self.child.log.open("rb") as log:
            log.seek(self.log_offset)
            return log.read().decode(errors="replace")

    async def supervise(self, settings: Path, logs: Path, root: Path) -> None:
        """Keep the process running until cancelled or `stopping` is set."""
        command = [sys.executable, str(root / "deploy" / "proxy.py")]
        environment = {SETTINGS_VARIABLE: str(settings)}
        log = logs / f"{self.name}.log"
        while not self.stopping:
            self.log_offset = log.stat().st_size if log.exists() else 0
            self.child = start_child(self.name, command, logs, environment)
            run = ProcessRun(self.name, time.monotonic())
            self.runs.append(run)
            self.starts += 1
            while self.child.process.poll() is None:  # noqa: ASYNC110
                await anyio.sleep(0.02)
            run.record_end(self.child.process.returncode, self._read_log())
            await anyio.sleep(RESTART_DELAY_S)

    async def is_ready(self) -> bool:
        """Return whether the readiness check of the process succeeds."""
        url = f"http://127.0.0.1:{self.ports[1]}{READINESS_PATH}"
        try:
            async with httpx.AsyncClient(timeout=READY_TIMEOUT_S) as client:
                return (await client.get(url)).status_code == HTTP_OK
        except httpx.HTTPError:
            return False


class Fleet:
    """Proxies in front of one replication group, all on loopback.

    Parameters
    ----------
    proxies : int
        Number of proxies.
    max_connections : int
        Connections that an instance accepts; a low limit makes the proxies use relays.
    mean_statement_s : float
        Mean duration of a statement at an instance in seconds.
    folder : Path
        Folder for settings and logs.
    root : Path
        Checkout with the proxy's start script.
    """

    def __init__(
        self,
        proxies: int,
        max_connections: int,
        mean_statement_s: float,
        folder: Path,
        root: Path,
    ) -> None:
        self.folder = folder
        self.root = root
        self.max_connections = max_connections
        self.store = FakeStore()
        self.group = FakeGroup(GROUP, PLACES, max_connections, mean_statement_s)
        self.proxies = [
            Proxy(f"proxy-{n}", PLACES[n % len(PLACES)]) for n in range(proxies)
        ]
        self.version = 0
        self.configuration = b""
        self.absent_since: dict[str, float] = {}
        self.registration_removal_delay_s = REGISTRATION_REMOVAL_DELAY_S

    async def run(self, tasks: TaskGroup, started: anyio.Event) -> None:
        """Start stand-ins, links and proxies and keep them running until cancelled.

        `started` is set as soon as the supervisors of all proxies are scheduled.
        """
        for instance in self.group.instances:
            await instance.run(tasks)
        tasks.start_soon(self.store.expire_leases)
        tasks.start_soon(self._register_instances)
        self.write_configuration(0)
        async with serve_http(self.group.create_app(), "127.0.0.1", 0) as promotion:
            for proxy in self.proxies:
                await self._create_links(proxy, tasks, promotion)
            for proxy in self.proxies:
                settings = self.folder / f"{proxy.name}.json"
                settings.write_bytes(
                    encode_settings(
                        proxy.name,
                        proxy.place,
                        proxy.ports,
                        proxy.links["store"].port,
                        proxy.links["promotion"].port,
                    )
                )
                tasks.start_soon(proxy.supervise, settings, self.folder, self.root)
            started.set()
            await anyio.sleep_forever()

    def lock_holder(self) -> Proxy | None:
        """Return the proxy that holds the failover lock, None if there is none."""
        item = self.store.items.get(FAILOVER_LOCK_KEY)
        if item is None:
            return None
        return self.find(msgspec.json.decode(item.value)["holder"])

    def find(self, name: str) -> Proxy | None:
        """Return the proxy with a name, or None."""
        return next((proxy for proxy in self.proxies if proxy.name == name), None)

    def write_configuration(self, extra_routes: int) -> None:
        """Write a configuration with a higher version to the store."""
        self.version += random.randrange(1, 4)
        self.configuration = encode_configuration(
            self.version, GROUP, self.max_connections, extra_routes
        )
        self.store.put(CONFIGURATION_KEY, self.configuration)

    def rewrite_configuration(self) -> None:
        """Write the newest configuration again if the store has lost it."""
        stored = self.store.items.get(CONFIGURATION_KEY)
        if stored is None or stored.value != self.configuration:
            self.store.put(CONFIGURATION_KEY, self.configuration)

    async def wait_until_configured(self, timeout_s: float) -> list[str]:
        """Wait until all proxies apply the newest configuration.

        Returns
        -------
        list of str
            Names of those that do not apply it in time.
        """
        waiting = list(self.proxies)
        with anyio.move_on_after(timeout_s):
            while waiting:
                waiting = [
                    p for p in waiting if p.configuration_version() != self.version
                ]
                await anyio.sleep(0.1)
        return [proxy.name for proxy in waiting]

    async def wait_until_ready(self, timeout_s: float) -> list[str]:
        """Wait for all proxies; return the names of those not ready in time."""
        waiting = list(self.proxies)
        with anyio.move_on_after(timeout_s):
            while waiting:
                waiting = [p for p in waiting if not await p.is_ready()]
                await anyio.sleep(0.1)
        return [proxy.name for proxy in waiting]

    async def _create_links(
        self, proxy: Proxy, tasks: TaskGroup, promotion: int
    ) -> None:
        """Create the links from a proxy to the services that it connects to."""
        targets = {"promotion": promotion}
        for instance in self.group.instances:
            targets[instance.label] = instance.port
        linked = len(self.proxies) <= MAX_PROXIES_WITH_PEER_LINKS
        for other in self.proxies if linked else []:
            if other is not proxy:
                targets[f"{other.name}/peer"] = other.ports[2]
                targets[f"{other.name}/relay"] = other.ports[3]
        for name, port in [("store", 0), *targets.items()]:
            link = proxy.links[name] = Link(f"{proxy.name} to {name}", port)
            await link.listen(tasks)
        ports = {port: proxy.links[name].port for name, port in targets.items()}
        served = anyio.Event()
        tasks.start_soon(self._serve_store, proxy, ports, served)
        await served.wait()

    async def _serve_store(
        self, proxy: Proxy, ports: Mapping[int, int], served: anyio.Event
    ) -> None:
        """Serve the store to one proxy, with addresses replaced by its links."""
        targets = {link: target for target, link in ports.items()}
        app = self.store.create_app(replace_ports(ports), replace_ports(targets))
        async with serve_http(app, "127.0.0.1", 0) as port:
            proxy.links["store"].target_port = port
            served.set()
            await anyio.sleep_forever()

    async def _register_instances(self) -> None:
        """Keep the registrations of the instances in the store up to date."""
        while True:
            self._update_registrations()
            await anyio.sleep(REGISTRATION_INTERVAL_S)

    def _update_registrations(self) -> None:
        """Register the running instances; remove the entries of the others later."""
        values = {
            REGISTRATION_PREFIX + instance.name: self.group.encode_registration(
                instance
            )
            for instance in self.group.instances
            if instance.alive
        }
        for key, value in values.items():
            known = self.store.items.get(key)
            if known is None or known.value != value:
                self.store.put(key, value)
        now = time.monotonic()
        self.absent_since = {
            key: self.absent_since.get(key, now)
            for key in self.store.items
            if key.startswith(REGISTRATION_PREFIX) and key not in values
        }
        for key, since in self.absent_since.items():
            if now - since > self.registration_removal_delay_s:
                self.store.delete(key)
