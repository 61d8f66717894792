"""Command that runs one deployment until it is interrupted."""

import sys
from dataclasses import dataclass
from pathlib import Path
from typing import Annotated

import anyio
import cappa
import msgspec
import uvloop

from rosemaryward.bench.deployments import get_deployment
from rosemaryward.bench.launch.launch import Launch, LaunchSettings
from rosemaryward.bench.launch.network import RelayScope
from rosemaryward.bench.launch.state import RunningDeployment
from rosemaryward.bench.lifetime import until_stopped

__all__ = ["UpCommand", "write_running_deployment"]


@cappa.command(name="up", help="Run test doubles and six proxies until interrupted.")
@dataclass
class UpCommand:
    """Flags of a deployment that runs until it is interrupted."""

    deployment: Annotated[str, cappa.Arg(long=True)] = "dat-mun-xanh"
    documents: Annotated[Path, cappa.Arg(long=True)] = Path("examples")
    out: Annotated[Path, cappa.Arg(long=True)] = Path("out")
    service_time_ms: Annotated[float, cappa.Arg(long=True)] = 1.0
    apply_lag_ms: Annotated[float, cappa.Arg(long=True)] = 20.0
    relay: Annotated[RelayScope, cappa.Arg(long=True)] = RelayScope.NONE
    proxies: Annotated[bool, cappa.Arg(long="--proxies/--no-proxies")] = True

    def __call__(self) -> None:
        """Run until SIGTERM or SIGINT."""
        uvloop.run(self.serve())

    async def serve(self) -> None:
        """Start the deployment, print its addresses and wait for a signal."""
        # Tools wait for this file, so one from an earlier run must not remain.
        await anyio.Path(self.out / "up.json").unlink(missing_ok=True)
        settings = LaunchSettings(
            deployment=get_deployment(self.deployment),
            documents=self.documents,
            out=self.out,
            service_time_ms=self.service_time_ms,
            apply_lag_ms=self.apply_lag_ms,
            relay=self.relay,
            proxies=self.proxies,
        )
        async with Launch(settings) as launch:
            await write_running_deployment(launch.running, self.out)
            print_running_deployment(launch.running)
            await until_stopped()


async def write_running_deployment(running: RunningDeployment, out: Path) -> None:
    """Write ``up.json`` atomically to the folder `out`."""
    data = msgspec.json.format(msgspec.json.encode(running), indent=2)
    partial_file = anyio.Path(out / "up.json.part")
    await partial_file.write_bytes(data)
    await partial_file.rename(out / "up.json")


def print_running_deployment(running: RunningDeployment) -> None:
    """Print the addresses of all proxies and the accounts."""
    for proxy in running.proxies:
        print(
            f"{proxy.host_id} ({proxy.failure_domain}): "
            f"mysql {proxy.host}:{proxy.mysql_port}, administration {proxy.admin_url}"
        )
    for user in running.users:
        print(f"user {user.name}, password {user.password}, rank {user.rank}")
    sys.stdout.flush()
