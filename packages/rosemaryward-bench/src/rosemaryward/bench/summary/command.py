"""Command ``bench``: measure all targets and write ``bench.json``."""

from dataclasses import dataclass, field
from pathlib import Path
from typing import Annotated

import cappa
import msgspec
import uvloop
from rich.console import Console
from rich.table import Table

from rosemaryward.bench.experiment.command import run_scenario
from rosemaryward.bench.experiment.result import RunResult
from rosemaryward.bench.experiment.scenario import load_scenarios
from rosemaryward.bench.groups import baseline_settings, measure_gap, percentile
from rosemaryward.bench.overhead.command import OverheadCommand
from rosemaryward.bench.summary.rows import BenchRow, experiment_rows
from rosemaryward.decisions.groups.tests.simulation import run

__all__ = ["BenchCommand"]

SCENARIOS = (
    "steady",
    "steady-lossy-store",
    "lagging",
    "failover-kill",
    "failover-store-down",
    "proxy-killed",
    "proxy-drained",
    "flood-bulk",
    "flood-urgent",
)
BASELINE_SEED_COUNT = 5


@cappa.command(name="bench", help="Measure the targets on real processes.")
@dataclass
class BenchCommand:
    """Arguments of ``bench``; without deployments, both are measured."""

    deployments: Annotated[list[str], cappa.Arg()] = field(default_factory=list)
    benchmarks: Annotated[Path, cappa.Arg(long=True)] = Path("benchmarks")
    documents: Annotated[Path, cappa.Arg(long=True)] = Path("examples")
    out: Annotated[Path, cappa.Arg(long=True)] = Path("out")

    def __call__(self) -> None:
        """Measure all deployments; exit with 1 if a target is missed."""
        rows: list[BenchRow] = []
        baseline_gap_s = baseline_gap()
        for deployment in self.deployments or ["dat-mun-xanh", "derwent"]:
            rows += experiment_rows(self.results(deployment), baseline_gap_s)
            rows += self.overhead_rows(deployment)
            self.write(rows)
        print_rows(rows)
        if not all(row.met for row in rows):
            raise cappa.Exit(code=1)

    def results(self, deployment: str) -> list[RunResult]:
        """Run the scenarios in turn; a failed run gives a result with a violation."""
        known = load_scenarios(self.benchmarks)
        results = []
        for name in SCENARIOS:
            scenario = known[name]
            try:
                result = uvloop.run(
                    run_scenario(
                        scenario,
                        deployment,
                        scenario.seeds[0],
                        self.out,
                        self.documents,
                        plots=False,
                    )
                )
            except Exception as error:  # a failed run must not prevent the others
                violation = f"no result: {type(error).__name__}: {error}"
                result = RunResult(
                    scenario=name,
                    deployment=deployment,
                    seed=scenario.seeds[0],
                    duration_s=scenario.duration_s,
                    violations=[violation],
                )
            results.append(result)
        return results

    def overhead_rows(self, deployment: str) -> list[BenchRow]:
        """Return the rows of the measures of proxy overhead that have a target."""
        command = OverheadCommand(
            deployment=deployment, documents=self.documents, out=self.out
        )
        return [
            BenchRow(
                deployment=deployment,
                measure=measure.measure,
                value=round(measure.value, 3),
                unit=measure.unit,
                target=measure.target,
                met=measure.met,
            )
            for measure in uvloop.run(command.measure())
            if measure.target
        ]

    def write(self, rows: list[BenchRow]) -> None:
        """Write the rows to ``bench.json``."""
        self.out.mkdir(parents=True, exist_ok=True)
        data = msgspec.json.format(msgspec.json.encode(rows), indent=2)
        (self.out / "bench.json").write_bytes(data)


def baseline_gap() -> float:
    """Return the median failover gap in seconds of the baseline on a virtual clock.

    The baseline detects a failure by a fixed timeout of 3 s.
    """
    gaps = [
        run(measure_gap, seed, "silent", baseline_settings)
        for seed in range(BASELINE_SEED_COUNT)
    ]
    return round(percentile(gaps, 0.5), 3)


def print_rows(rows: list[BenchRow]) -> None:
    """Print a table of all rows."""
    table = Table(title="targets")
    for name in ("deployment", "measure", "value", "unit", "target", "baseline", ""):
        table.add_column(name)
    for row in rows:
        table.add_row(
            row.deployment,
            row.measure,
            "none" if row.value is None else f"{row.value:g}",
            row.unit,
            f"{row.target:g}",
            "" if row.baseline is None else f"{row.baseline:g}",
            "met" if row.met else "missed",
        )
    Console(width=140).print(table)
