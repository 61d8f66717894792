"""Command that runs one database instance in the foreground."""

from dataclasses import dataclass
from typing import Annotated

import cappa
import uvloop

from rosemaryward.bench.instance.server import Instance, InstanceSettings
from rosemaryward.bench.lifetime import until_stopped
from rosemaryward.decisions.interfaces import InstanceRole

__all__ = ["InstanceCommand"]


@cappa.command(name="instance", help="Run a database instance.")
@dataclass
class InstanceCommand:
    """Flags of one instance; times are in milliseconds."""

    port: Annotated[int, cappa.Arg(long=True)]
    host: Annotated[str, cappa.Arg(long=True)] = "127.0.0.1"
    database: Annotated[str, cappa.Arg(long=True)] = "main"
    slots: Annotated[int, cappa.Arg(long=True)] = 5
    service_time_ms: Annotated[float, cappa.Arg(long=True)] = 1.0
    connections: Annotated[int, cappa.Arg(long=True)] = 30
    connect_cost_ms: Annotated[float, cappa.Arg(long=True)] = 10.0
    apply_lag_ms: Annotated[float, cappa.Arg(long=True)] = 20.0
    role: Annotated[str, cappa.Arg(long=True)] = "replica"
    term: Annotated[int, cappa.Arg(long=True)] = 1
    primary: Annotated[str, cappa.Arg(long=True, help="HOST:PORT")] = ""

    def __call__(self) -> None:
        """Serve until SIGTERM or SIGINT."""
        uvloop.run(self.serve())

    async def serve(self) -> None:
        """Run the instance until the process is asked to stop."""
        async with Instance(self.settings()):
            await until_stopped()

    def settings(self) -> InstanceSettings:
        """Return the settings that the flags describe."""
        host, _, port = self.primary.rpartition(":")
        return InstanceSettings(
            host=self.host,
            port=self.port,
            database=self.database,
            slots=self.slots,
            service_time_s=self.service_time_ms / 1000,
            connections=self.connections,
            connect_cost_s=self.connect_cost_ms / 1000,
            lag_s=self.apply_lag_ms / 1000,
            role=InstanceRole(self.role),
            term=self.term,
            primary=(host, int(port)) if port else None,
        )
