"""Command ``demo``."""

from dataclasses import dataclass
from pathlib import Path
from typing import Annotated

import anyio
import cappa
import msgspec
import uvloop
from rich.console import Console

from rosemaryward.bench.demo.output import print_result
from rosemaryward.bench.demo.phases import Demo, DemoResult, DemoSettings
from rosemaryward.bench.deployments import get_deployment
from rosemaryward.bench.history.operations import write_history
from rosemaryward.bench.launch.launch import Launch, LaunchSettings
from rosemaryward.bench.launch.network import RelayScope

__all__ = ["DemoCommand"]

RUN_TIMEOUT_S = 55.0


@cappa.command(name="demo", help="Run one deployment end to end.")
@dataclass
class DemoCommand:
    """Flags of ``demo``."""

    deployment: Annotated[str, cappa.Arg(long=True)] = "dat-mun-xanh"
    documents: Annotated[Path, cappa.Arg(long=True)] = Path("examples")
    out: Annotated[Path, cappa.Arg(long=True)] = Path("out")
    service_time_ms: Annotated[float, cappa.Arg(long=True)] = 10.0
    apply_lag_ms: Annotated[float, cappa.Arg(long=True)] = 20.0
    relay: Annotated[RelayScope, cappa.Arg(long=True)] = RelayScope.ALL
    callers: Annotated[int, cappa.Arg(long=True)] = 12
    flood_callers: Annotated[int, cappa.Arg(long=True)] = 60
    seed: Annotated[int, cappa.Arg(long=True)] = 1

    def __call__(self) -> None:
        """Run the demonstration; exit with 1 if it fails."""
        result = uvloop.run(self.measure())
        print_result(result, Console())
        if not result.passed:
            raise cappa.Exit(code=1)

    async def measure(self) -> DemoResult:
        """Launch the deployment, run all phases and write the history and result."""
        launch_settings = LaunchSettings(
            deployment=get_deployment(self.deployment),
            documents=self.documents,
            out=self.out,
            service_time_ms=self.service_time_ms,
            apply_lag_ms=self.apply_lag_ms,
            relay=self.relay,
        )
        settings = DemoSettings(
            seed=self.seed, callers=self.callers, flood_callers=self.flood_callers
        )
        with anyio.fail_after(RUN_TIMEOUT_S):
            async with Launch(launch_settings) as launch:
                demo = Demo(launch.running, settings)
                result = await demo.run()
                killed = f"{demo.failed.database}-{demo.failed.instance}"
                ended = [name for name in launch.exited_processes() if name != killed]
                result = msgspec.structs.replace(result, ended=ended)
        write_history(self.out / "history.jsonl", demo.recorder.operations)
        data = msgspec.json.format(msgspec.json.encode(result), indent=2)
        await anyio.Path(self.out / "demo.json").write_bytes(data)
        return result
