"""Command ``soak``."""

import random
import tempfile
from dataclasses import dataclass, field
from pathlib import Path
from typing import Annotated

import anyio
import cappa
import structlog

from rosemaryward.bench.soak.run import FaultSelection, SoakResult, soak

__all__ = ["SoakCommand"]

CALLERS_PER_PROXY = 4
# The same times as in the logs of the proxies, so that all can be merged.
LOG_PROCESSORS = (
    structlog.processors.TimeStamper(key="at"),
    structlog.processors.JSONRenderer(),
)


@cappa.command(name="soak")
@dataclass
class SoakCommand:
    """Inject random faults into real proxies and check all guarantees."""

    seeds: Annotated[int, cappa.Arg(long=True, help="Number of soaks.")] = 1
    first_seed: Annotated[
        int | None,
        cappa.Arg(long=True, help="Seed of the first soak; random by default."),
    ] = None
    duration_s: Annotated[
        float, cappa.Arg(long=True, help="Seconds of fault injection in each soak.")
    ] = 20.0
    proxies: Annotated[int, cappa.Arg(long=True, help="Number of proxy processes.")] = 6
    selection: Annotated[
        FaultSelection | None,
        cappa.Arg(long=True, help="What is injected; by default the seed decides."),
    ] = None
    root: Annotated[Path, cappa.Arg(long=True, help="Checkout to test.")] = field(
        default_factory=Path.cwd
    )

    def __call__(self) -> None:
        """Run the soaks; exit with 1 if a guarantee was violated."""
        first = self.first_seed
        if first is None:
            first = random.SystemRandom().randrange(10**6)
        failed_soaks = 0
        for seed in range(first, first + self.seeds):
            folder = Path(tempfile.mkdtemp(prefix=f"rosemaryward-soak-{seed}-"))
            with (folder / "soak.log").open("w") as log_file:
                structlog.configure(
                    processors=LOG_PROCESSORS,
                    logger_factory=structlog.PrintLoggerFactory(log_file),
                )
                result = anyio.run(self._run, seed, folder)
            failed_soaks += bool(result.violations or result.dropped)
        print(f"{self.seeds} soaks, {failed_soaks} with a violated guarantee")
        raise cappa.Exit(code=int(failed_soaks > 0))

    async def _run(self, seed: int, folder: Path) -> SoakResult:
        selection = self.selection or FaultSelection.of_seed(seed)
        result = await soak(
            seed,
            self.duration_s,
            self.proxies,
            self.proxies * CALLERS_PER_PROXY,
            folder,
            self.root,
            selection,
        )
        print(
            f"seed {seed} ({selection.value}): {result.operations} operations, "
            f"{result.succeeded} statements succeeded, {result.faults} faults, "
            f"instances accept {result.max_connections} connections, "
            f"{len(result.violations)} violations, {len(result.dropped)} statements "
            f"dropped; logs in {folder}",
            flush=True,
        )
        for line in result.violations + result.dropped:
            print(f"  {line}")
        return result
