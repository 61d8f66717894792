"""Console tables with the results of a demonstration."""

from rich.console import Console
from rich.table import Table

from rosemaryward.bench.demo.phases import DemoResult

__all__ = ["invariant_rows", "measure_rows", "print_result"]

Row = tuple[str, str, str]


def measure_rows(result: DemoResult) -> list[Row]:
    """Return name, value and target of each measure."""
    gap = result.failover_gap_s
    reads = f"{result.replica_reads} of {result.reads}"
    urgent, urgent_before = result.flood["urgent"], result.before_flood["urgent"]
    normal, normal_before = result.flood["normal"], result.before_flood["normal"]
    return [
        (
            "reads served by replicas",
            f"{result.replica_read_share:.3f} ({reads})",
            "0.95",
        ),
        (
            f"failover gap of {result.failed_primary}",
            "none" if gap is None else f"{gap:.2f} s",
            "p50 1.2 s, p99 2 s",
        ),
        (
            "urgent within deadline, bulk flood",
            f"{urgent.within_deadline:.4f} of {urgent.operations}, "
            f"p99 {urgent.p99_s * 1000:.0f} ms "
            f"({urgent_before.p99_s * 1000:.0f} ms before)",
            "0.999, p99 1.5 times unloaded",
        ),
        (
            "normal rank, bulk flood",
            f"{normal.done_per_s:.1f}/s ({normal_before.done_per_s:.1f}/s before)",
            "keeps its floor",
        ),
    ]


def invariant_rows(result: DemoResult) -> list[Row]:
    """Return name, number of violations and target of each invariant."""
    rows = [(name, str(count), "0") for name, count in result.report.counts.items()]
    ended = ", ".join(result.ended) or "0"
    return [*rows, ("processes that ended unexpectedly", ended, "0")]


def print_result(result: DemoResult, console: Console) -> None:
    """Print measures, service by rank and invariants."""
    table = Table(title=f"{result.deployment}, seed {result.seed}")
    for name in ("measure", "value", "target"):
        table.add_column(name)
    for row in measure_rows(result):
        table.add_row(*row)
    table.add_section()
    for row in invariant_rows(result):
        table.add_row(*row)
    console.print(table)
    service = Table(title="service by rank before the failure")
    for name in ("rank", "operations", "done/s", "in time", "p50", "p99", "not run"):
        service.add_column(name)
    for rank, item in result.steady.items():
        service.add_row(
            rank,
            str(item.operations),
            f"{item.done_per_s:.1f}",
            f"{item.within_deadline:.4f}",
            f"{item.p50_s * 1000:.1f} ms",
            f"{item.p99_s * 1000:.1f} ms",
            f"{item.not_run} ({item.unknown} unknown)",
        )
    console.print(service)
    for finding in result.report.findings[:10]:
        console.print(
            f"{finding.fault}: {finding.database} {finding.key}: {finding.detail}",
            markup=False,
        )
    console.print(
        f"{result.report.operations} operations, {result.report.checked_writes} items "
        f"and {result.report.checked_reads} reads checked"
    )
