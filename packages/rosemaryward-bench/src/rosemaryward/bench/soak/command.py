"""Command that runs soaks."""

import random
import tempfile
from dataclasses import dataclass, field
from pathlib import Path
from typing import Annotated

import anyio
import cappa
import structlog

from rosemaryward.bench.soak.run import SoakResult, soak

__all__ = ["SoakCommand"]

CALLERS_PER_PROXY = 4


@cappa.command(name="soak")
@dataclass
class SoakCommand:
    """Inject random faults into real proxies and check all promises."""

    seeds: Annotated[int, cappa.Arg(long=True, help="How many soaks to run.")] = 1
    first_seed: Annotated[
        int | None, cappa.Arg(long=True, help="Seed of the first one; else random.")
    ] = None
    duration_s: Annotated[
        float, cappa.Arg(long=True, help="Seconds with faults in each.")
    ] = 20.0
    proxies: Annotated[int, cappa.Arg(long=True, help="Proxy processes.")] = 6
    root: Annotated[Path, cappa.Arg(long=True, help="Checkout that is tested.")] = (
        field(default_factory=Path.cwd)
    )

    def __call__(self) -> None:
        """Run the soaks; exit with 1 if a promise was broken."""
        first = self.first_seed
        if first is None:
            first = random.SystemRandom().randrange(10**6)
        broken = 0
        for seed in range(first, first + self.seeds):
            folder = Path(tempfile.mkdtemp(prefix=f"rosemaryward-soak-{seed}-"))
            with (folder / "soak.log").open("w") as faults:
                structlog.configure(logger_factory=structlog.PrintLoggerFactory(faults))
                result = anyio.run(self._run, seed, folder)
            broken += bool(result.broken)
        print(f"{self.seeds} soaks, {broken} with a broken promise")
        raise cappa.Exit(code=int(broken > 0))

    async def _run(self, seed: int, folder: Path) -> SoakResult:
        result = await soak(
            seed,
            self.duration_s,
            self.proxies,
            self.proxies * CALLERS_PER_PROXY,
            folder,
            self.root,
        )
        print(
            f"seed {seed}: {result.operations} operations, {result.succeeded} "
            f"statements succeeded, {result.faults} faults, instances accept "
            f"{result.max_connections} connections, {len(result.broken)} broken; "
            f"logs in {folder}",
            flush=True,
        )
        for line in result.broken:
            print(f"  {line}")
        return result
