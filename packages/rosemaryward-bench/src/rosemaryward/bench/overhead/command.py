"""Command ``overhead``."""

from dataclasses import dataclass
from pathlib import Path
from typing import Annotated

import cappa
import msgspec
import uvloop

from rosemaryward.bench.deployments import get_deployment
from rosemaryward.bench.launch.launch import Launch, LaunchSettings
from rosemaryward.bench.overhead.measures import (
    Measure,
    measure_latency,
    measure_memory,
    measure_throughput,
)
from rosemaryward.bench.overhead.monitoring import measure_monitoring

__all__ = ["OverheadCommand"]


@cappa.command(name="overhead")
@dataclass
class OverheadCommand:
    """Measure added latency, statements per core and memory per connection."""

    deployment: Annotated[str, cappa.Arg(long=True)] = "dat-mun-xanh"
    documents: Annotated[Path, cappa.Arg(long=True)] = Path("examples")
    out: Annotated[Path, cappa.Arg(long=True)] = Path("out")

    def __call__(self) -> None:
        """Print the measures and write them to ``overhead.json``."""
        measures = uvloop.run(self.measure())
        for measure in measures:
            mark = "met" if measure.met else "missed"
            print(
                f"{measure.measure:42} {measure.value:10.2f} {measure.unit:4} "
                f"target {measure.target:g} {mark}"
            )
        (self.out / "overhead.json").write_bytes(
            msgspec.json.format(msgspec.json.encode(measures))
        )

    async def measure(self) -> list[Measure]:
        """Launch the deployment and return all measures."""
        settings = LaunchSettings(
            deployment=get_deployment(self.deployment),
            documents=self.documents,
            out=self.out,
        )
        async with Launch(settings) as launch:
            measures = await measure_latency(launch.running)
            measures += await measure_memory(launch.running)
            measures += await measure_throughput(launch.running)
            measures += await measure_monitoring(launch.running)
        return measures
