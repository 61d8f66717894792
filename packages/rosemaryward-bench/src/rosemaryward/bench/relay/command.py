"""Command that runs a relay in the foreground."""

from dataclasses import dataclass
from typing import Annotated

import cappa
import uvloop

from rosemaryward.bench.lifetime import until_stopped
from rosemaryward.bench.relay.app import relay_app
from rosemaryward.bench.relay.network import NetworkSettings
from rosemaryward.bench.relay.relay import Relay
from rosemaryward.bench.web import serve_http

__all__ = ["RelayCommand"]


@cappa.command(name="relay", help="Run a relay with latency between places.")
@dataclass
class RelayCommand:
    """Flags of a relay; latencies are one-way; nodes and routes are added over HTTP."""

    control_port: Annotated[int, cappa.Arg(long=True)]
    host: Annotated[str, cappa.Arg(long=True)] = "127.0.0.1"
    failure_domains_ms: Annotated[float, cappa.Arg(long=True)] = 0.0
    regions_ms: Annotated[float, cappa.Arg(long=True)] = 0.0
    callers_ms: Annotated[float, cappa.Arg(long=True)] = 0.0
    region_bits_per_s: Annotated[float, cappa.Arg(long=True)] = 0.0
    seed: Annotated[int, cappa.Arg(long=True)] = 0

    def __call__(self) -> None:
        """Serve until SIGTERM or SIGINT."""
        uvloop.run(self.serve())

    async def serve(self) -> None:
        """Run the relay and its control API until the process is asked to stop."""
        settings = NetworkSettings(
            failure_domains=self.failure_domains_ms / 1000,
            regions=self.regions_ms / 1000,
            callers=self.callers_ms / 1000,
            region_bits_per_s=self.region_bits_per_s,
            seed=self.seed,
        )
        async with (
            Relay(settings) as relay,
            serve_http(relay_app(relay), self.host, self.control_port),
        ):
            await until_stopped()
