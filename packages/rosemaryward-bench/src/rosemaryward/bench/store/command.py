"""Command that runs the key-value store and the host list in one process."""

from dataclasses import dataclass
from typing import Annotated

import cappa
import uvloop

from rosemaryward.bench.hosts.app import HostDirectory, hosts_app
from rosemaryward.bench.lifetime import until_stopped
from rosemaryward.bench.store.app import store_app
from rosemaryward.bench.store.service import StoreService
from rosemaryward.bench.web import serve_http

__all__ = ["PlatformCommand"]


@cappa.command(name="platform", help="Run the store and the host list.")
@dataclass
class PlatformCommand:
    """Flags of the platform's test doubles; limits are in calls per second."""

    store_port: Annotated[int, cappa.Arg(long=True)]
    hosts_port: Annotated[int, cappa.Arg(long=True)]
    host: Annotated[str, cappa.Arg(long=True)] = "127.0.0.1"
    writes_per_s: Annotated[float, cappa.Arg(long=True)] = 0.0
    reads_per_s: Annotated[float, cappa.Arg(long=True)] = 0.0
    hosts_lag_s: Annotated[float, cappa.Arg(long=True)] = 0.0

    def __call__(self) -> None:
        """Serve until SIGTERM or SIGINT."""
        uvloop.run(self.serve())

    async def serve(self) -> None:
        """Run both services until the process is asked to stop."""
        store = store_app(StoreService(self.writes_per_s, self.reads_per_s))
        hosts = hosts_app(HostDirectory(self.hosts_lag_s))
        async with (
            serve_http(store, self.host, self.store_port),
            serve_http(hosts, self.host, self.hosts_port),
        ):
            await until_stopped()
