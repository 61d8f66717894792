"""Console tables of scenarios and results."""

from collections.abc import Iterable

from rich.console import Console
from rich.table import Table

from rosemaryward.bench.experiment.result import RunResult
from rosemaryward.bench.experiment.scenario import Scenario

__all__ = ["print_results", "print_scenarios"]


def print_scenarios(scenarios: Iterable[Scenario], console: Console) -> None:
    """Print a table of scenarios with their purposes."""
    table = Table()
    for name in ("scenario", "seconds", "seeds", "measures"):
        table.add_column(name)
    for item in scenarios:
        seeds = ", ".join(str(seed) for seed in item.seeds)
        table.add_row(item.name, f"{item.duration_s:g}", seeds, item.measures)
    console.print(table)


def print_results(results: Iterable[RunResult], console: Console) -> None:
    """Print a table with a row for each run, then the violations."""
    rows = list(results)
    table = Table()
    for name in (
        "scenario",
        "deployment",
        "seed",
        "replica share",
        "gaps s",
        "takeover s",
        "urgent in time",
        "urgent p99 ms",
        "promotions",
        "violations",
    ):
        table.add_column(name)
    for item in rows:
        urgent = item.flooded.get("urgent") or item.service.get("urgent")
        table.add_row(
            item.scenario,
            item.deployment,
            str(item.seed),
            f"{item.replica_read_share:.3f}",
            format_seconds(gap.gap_s for gap in item.gaps),
            format_seconds(gap.gap_s for gap in item.takeovers),
            f"{urgent.within_deadline:.4f}" if urgent else "",
            f"{urgent.p99_s * 1000:.0f}" if urgent else "",
            f"{item.promotions} of {item.expected_promotions}",
            str(len(item.violations)),
        )
    console.print(table)
    for item in rows:
        for text in item.violations:
            console.print(
                f"{item.scenario} {item.deployment} {item.seed}: {text}", markup=False
            )


def format_seconds(values: Iterable[float | None]) -> str:
    """Format values in seconds, with ``none`` for missing ones."""
    return ", ".join("none" if value is None else f"{value:.2f}" for value in values)
