"""Commands ``experiment list``, ``run`` and ``report``."""

from dataclasses import dataclass, field
from pathlib import Path
from typing import Annotated

import anyio
import cappa
import uvloop
from rich.console import Console

from rosemaryward.bench.deployments import get_deployment
from rosemaryward.bench.experiment.evaluation import evaluate
from rosemaryward.bench.experiment.output import print_results, print_scenarios
from rosemaryward.bench.experiment.result import (
    RunResult,
    read_results,
    result_path,
    write_result,
)
from rosemaryward.bench.experiment.run import Run
from rosemaryward.bench.experiment.scenario import Scenario, load_scenarios
from rosemaryward.bench.history.operations import write_history
from rosemaryward.bench.launch.launch import Launch, LaunchSettings
from rosemaryward.bench.launch.network import RelayScope

__all__ = [
    "ExperimentCommand",
    "ListCommand",
    "ReportCommand",
    "RunCommand",
    "exit_code",
    "run_scenario",
]

RUN_OVERHEAD_S = 60.0  # for start, settling, final state and shutdown
DEFAULT_BENCHMARKS = Path("benchmarks")


def exit_code(results: list[RunResult]) -> int:
    """Return 1 if there is no result or an invariant was violated, else 0."""
    return 0 if results and all(item.passed for item in results) else 1


async def run_scenario(
    scenario: Scenario,
    deployment: str,
    seed: int,
    out: Path,
    documents: Path,
    plots: bool = True,
) -> RunResult:
    """Run one scenario and write its history, result and optional plot.

    Raises
    ------
    TimeoutError
        If the run takes more than 60 s longer than its load.
    """
    settings = LaunchSettings(
        deployment=get_deployment(deployment),
        documents=documents,
        out=out,
        service_time_ms=scenario.service_time_ms,
        apply_lag_ms=scenario.apply_lag_ms,
        relay=RelayScope.ALL,
    )
    with anyio.fail_after(scenario.duration_s + RUN_OVERHEAD_S):
        async with Launch(settings) as launch:
            run = Run(launch, scenario, seed)
            await run.run()
    result = evaluate(run)
    write_result(out, result)
    base = result_path(out, scenario.name, deployment, seed)
    write_history(base.with_name(f"{base.name}.jsonl"), run.recorder.operations)
    if plots:
        from rosemaryward.bench.experiment.plots import plot_run

        plot_run(run, base.with_name(f"{base.name}.png"))
    return result


@cappa.command(name="list", help="List the scenarios.")
@dataclass
class ListCommand:
    """Flags of ``experiment list``."""

    benchmarks: Annotated[Path, cappa.Arg(long=True)] = DEFAULT_BENCHMARKS

    def __call__(self) -> None:
        """Print a table of the scenarios."""
        print_scenarios(load_scenarios(self.benchmarks).values(), Console())


@cappa.command(name="run", help="Run scenarios on real processes.")
@dataclass
class RunCommand:
    """Arguments of ``experiment run``; without names all scenarios run."""

    names: Annotated[list[str], cappa.Arg()] = field(default_factory=list)
    deployment: Annotated[str, cappa.Arg(long=True)] = "dat-mun-xanh"
    seed: Annotated[int | None, cappa.Arg(long=True)] = None
    seeds: Annotated[int, cappa.Arg(long=True, help="Number of seeds")] = 1
    benchmarks: Annotated[Path, cappa.Arg(long=True)] = DEFAULT_BENCHMARKS
    documents: Annotated[Path, cappa.Arg(long=True)] = Path("examples")
    out: Annotated[Path, cappa.Arg(long=True)] = Path("out")
    plots: Annotated[bool, cappa.Arg(long="--plots/--no-plots")] = True

    def __call__(self) -> None:
        """Run the scenarios in turn; exit with 1 if an invariant was violated."""
        results = [
            uvloop.run(
                run_scenario(
                    scenario,
                    self.deployment,
                    seed,
                    self.out,
                    self.documents,
                    self.plots,
                )
            )
            for scenario in self.selected()
            for seed in self.selected_seeds(scenario)
        ]
        print_results(results, Console(width=150))
        if exit_code(results):
            raise cappa.Exit(code=1)

    def selected(self) -> list[Scenario]:
        """Return the named scenarios, all by default.

        Raises
        ------
        cappa.Exit
            If a name is unknown.
        """
        known = load_scenarios(self.benchmarks)
        for name in self.names:
            if name not in known:
                expected = ", ".join(known)
                raise cappa.Exit(
                    f"scenario: expected one of {expected}, got {name!r}", code=2
                )
        return [known[name] for name in self.names or known]

    def selected_seeds(self, scenario: Scenario) -> list[int]:
        """Return the seeds with which a scenario is run."""
        first = scenario.seeds[0] if self.seed is None else self.seed
        return [first + number for number in range(self.seeds)]


@cappa.command(name="report", help="Print the results of earlier runs.")
@dataclass
class ReportCommand:
    """Flags of ``experiment report``."""

    out: Annotated[Path, cappa.Arg(long=True)] = Path("out")

    def __call__(self) -> None:
        """Print all stored results; exit with 1 if an invariant was violated."""
        results = read_results(self.out)
        print_results(results, Console(width=150))
        if exit_code(results):
            raise cappa.Exit(code=1)


@cappa.command(name="experiment", help="Run load and faults on real processes.")
@dataclass
class ExperimentCommand:
    """Subcommands of the experiment tool."""

    command: cappa.Subcommands[ListCommand | ReportCommand | RunCommand]
