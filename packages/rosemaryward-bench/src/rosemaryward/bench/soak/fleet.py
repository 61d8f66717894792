"""The soak's processes, stand-ins and the links between them."""

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
from anyio.abc import TaskGroup

from rosemaryward.bench.launch.processes import Child, start_child
from rosemaryward.bench.soak.links import Link
from rosemaryward.bench.web import serve_http
from rosemaryward.platform.configuration import (
    CONFIGURATION_KEY,
    REGISTRATION_PREFIX,
)
from rosemaryward.platform.fakes.documents import encode_configuration, encode_settings
from rosemaryward.platform.fakes.group import FakeGroup, FakeInstance
from rosemaryward.platform.fakes.store import FakeStore
from rosemaryward.platform.http_server import READINESS_PATH
from rosemaryward.platform.settings import SETTINGS_VARIABLE

__all__ = ["GROUP", "Fleet", "Proxy"]

GROUP = "orders"
PLACES = [("north", "a"), ("north", "b"), ("south", "c")]
PORTS = (20_000, 29_000)  # below the range from which the system picks source ports
ADDRESS = re.compile(rb"127\.0\.0\.1:(\d+)")
REGISTRATION_GRACE_S = 1.5
HEARTBEAT_S = 0.2
RESTART_S = 0.2
READY_TIMEOUT_S = 0.5
STATUS_READY = 200


def pick_ports(count: int, taken: set[int]) -> list[int]:
    """Return free ports in succession, none of which is taken."""
    while True:
        first = random.randrange(*PORTS)
        if taken.intersection(range(first, first + count)):
            continue
        sockets = [socket.socket() for _ in range(count)]
        try:
            for offset, item in enumerate(sockets):
                item.bind(("127.0.0.1", first + offset))
        except OSError:
            continue
        else:
            ports = list(range(first, first + count))
            taken.update(ports)
            return ports
        finally:
            for item in sockets:
                item.close()


class Proxy:
    """One real proxy process, started again whenever it ends.

    Parameters
    ----------
    name : str
    place : tuple of str
        Region and failure domain.
    taken : set of int
        Ports of other proxies; those of this one are added.

    Attributes
    ----------
    links : dict of str to Link
        Links of this proxy to the store, to instances and to other proxies.
    terminated_at : list of float
        Steady times of the SIGTERMs that it got.
    """

    def __init__(self, name: str, place: tuple[str, str], taken: set[int]) -> None:
        self.name = name
        self.place = place
        self.ports = pick_ports(5, taken)
        self.links: dict[str, Link] = {}
        self.child: Child | None = None
        self.starts = 0
        self.terminated_at: list[float] = []
        self.stopping = False

    @property
    def address(self) -> tuple[str, int]:
        """Where callers connect."""
        return "127.0.0.1", self.ports[0]

    def send(self, number: signal.Signals) -> None:
        """Send a signal to the process if it runs."""
        if self.child is None or self.child.process.poll() is not None:
            return
        if number is signal.SIGTERM:
            self.terminated_at.append(time.monotonic())
        self.child.process.send_signal(number)

    async def supervise(self, settings: Path, logs: Path, root: Path) -> None:
        """Keep the process running until cancelled or told to stop."""
        command = [sys.executable, str(root / "deploy" / "proxy.py")]
        environment = {SETTINGS_VARIABLE: str(settings)}
        while not self.stopping:
            self.child = start_child(self.name, command, logs, environment)
            self.starts += 1
            while self.child.process.poll() is None:  # noqa: ASYNC110
                await anyio.sleep(0.02)
            await anyio.sleep(RESTART_S)

    async def is_ready(self) -> bool:
        """Return whether the process reports itself ready."""
        url = f"http://127.0.0.1:{self.ports[1]}{READINESS_PATH}"
        try:
            async with httpx.AsyncClient(timeout=READY_TIMEOUT_S) as client:
                return (await client.get(url)).status_code == STATUS_READY
        except httpx.HTTPError:
            return False


class Fleet:
    """Proxies before one group, all on loopback.

    Parameters
    ----------
    proxies : int
    max_connections : int
        Connections that an instance accepts; few of them make the proxies use relays.
    folder : Path
        Receives settings and logs.
    root : Path
        Checkout with the proxy's start script.
    """

    def __init__(
        self, proxies: int, max_connections: int, folder: Path, root: Path
    ) -> None:
        self.folder = folder
        self.root = root
        self.max_connections = max_connections
        self.store = FakeStore()
        self.group = FakeGroup(GROUP, PLACES, max_connections)
        taken: set[int] = set()
        self.proxies = [
            Proxy(f"proxy-{n}", PLACES[n % len(PLACES)], taken) for n in range(proxies)
        ]
        self.version = 0
        self.absent_since: dict[str, float] = {}

    async def run(self, tasks: TaskGroup, started: anyio.Event) -> None:
        """Start everything and keep it running until cancelled."""
        for instance in self.group.instances:
            await instance.run(tasks)
        tasks.start_soon(self.store.expire_leases)
        tasks.start_soon(self._register_instances)
        self.configure(0)
        async with serve_http(self.group.create_app(), "127.0.0.1", 0) as promotion:
            for proxy in self.proxies:
                await self._link(proxy, tasks, promotion)
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

    def configure(self, extra_routes: int) -> None:
        """Write the next configuration."""
        self.version += random.randrange(1, 4)
        value = encode_configuration(
            self.version, GROUP, self.max_connections, extra_routes
        )
        self.store.put(CONFIGURATION_KEY, value)

    async def wait_until_ready(self, timeout_s: float) -> list[str]:
        """Return the names of the proxies that are not ready in time."""
        waiting = list(self.proxies)
        with anyio.move_on_after(timeout_s):
            while waiting:
                waiting = [p for p in waiting if not await p.is_ready()]
                await anyio.sleep(0.1)
        return [proxy.name for proxy in waiting]

    async def _link(self, proxy: Proxy, tasks: TaskGroup, promotion: int) -> None:
        """Put a link between a proxy and everything that it connects to."""
        targets = {"promotion": promotion}
        for instance in self.group.instances:
            targets[instance.name] = instance.port
        for other in self.proxies:
            if other is not proxy:
                targets[f"{other.name}/peer"] = other.ports[2]
                targets[f"{other.name}/relay"] = other.ports[3]
        for name, port in [("store", 0), *targets.items()]:
            link = proxy.links[name] = Link(f"{proxy.name} to {name}", port)
            await link.run(tasks)
        ports = {port: proxy.links[name].port for name, port in targets.items()}
        served = anyio.Event()
        tasks.start_soon(self._serve_store, proxy, ports, served)
        await served.wait()

    async def _serve_store(
        self, proxy: Proxy, ports: Mapping[int, int], served: anyio.Event
    ) -> None:
        """Serve the store to one proxy, with addresses that lead to its links."""

        def replace(match: re.Match[bytes]) -> bytes:
            port = int(match[1])
            return f"127.0.0.1:{ports.get(port, port)}".encode()

        def view(key: str, value: bytes) -> bytes:
            return ADDRESS.sub(replace, value)

        async with serve_http(self.store.create_app(view), "127.0.0.1", 0) as port:
            proxy.links["store"].target_port = port
            served.set()
            await anyio.sleep_forever()

    async def _register_instances(self) -> None:
        """Keep the instances' entries in the store as the platform does."""
        while True:
            for instance in self.group.instances:
                self._register(instance)
            await anyio.sleep(HEARTBEAT_S)

    def _register(self, instance: FakeInstance) -> None:
        key = REGISTRATION_PREFIX + instance.name
        if not instance.alive:
            since = self.absent_since.setdefault(instance.name, time.monotonic())
            if time.monotonic() - since > REGISTRATION_GRACE_S:
                self.store.delete(key)
            return
        self.absent_since.pop(instance.name, None)
        value = self.group.encode_registration(instance)
        known = self.store.items.get(key)
        if known is None or known.value != value:
            self.store.put(key, value)
