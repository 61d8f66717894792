"""Rows of ``bench.json`` from the results of experiments."""

from collections.abc import Iterable

import msgspec

from rosemaryward.bench.experiment.result import RunResult
from rosemaryward.bench.load.measures import percentile

__all__ = ["BenchRow", "experiment_rows"]

# The baseline is a proxy that sends all reads to the primary.
BASELINE_REPLICA_SHARE = 0.0


class BenchRow(msgspec.Struct, frozen=True, kw_only=True):
    """One measured value with its target.

    Parameters
    ----------
    deployment, measure : str
    value : float or None
        Measured value, None if the run gave none.
    unit : str
    target : float
    met : bool
    baseline : float or None
        Value of the baseline, None if it has none.
    seeds : list of int
        Seeds of the runs behind the value.
    """

    deployment: str
    measure: str
    value: float | None
    unit: str
    target: float
    met: bool
    baseline: float | None = None
    seeds: list[int] = []


def at_least(
    result: RunResult,
    measure: str,
    value: float | None,
    target: float,
    unit: str = "share",
    baseline: float | None = None,
) -> BenchRow:
    """Return a row whose value must not be below its target."""
    met = value is not None and value >= target
    return _row(result, measure, value, unit, target, met, baseline)


def at_most(
    result: RunResult,
    measure: str,
    value: float | None,
    target: float,
    unit: str = "s",
    baseline: float | None = None,
) -> BenchRow:
    """Return a row whose value must not exceed its target."""
    met = value is not None and value <= target
    return _row(result, measure, value, unit, target, met, baseline)


def experiment_rows(
    results: Iterable[RunResult], baseline_gap_s: float
) -> list[BenchRow]:
    """Return the rows of all results.

    Parameters
    ----------
    results : iterable of RunResult
        Results of the scenarios.
    baseline_gap_s : float
        Median failover gap in seconds of the baseline with a fixed timeout.
    """
    rows = []
    for result in results:
        rows += _scenario_rows(result, baseline_gap_s)
        violations = float(len(result.violations))
        rows.append(
            at_most(result, f"{result.scenario}: violations", violations, 0.0, "count")
        )
    return rows


def _scenario_rows(result: RunResult, baseline_gap_s: float) -> list[BenchRow]:
    name = result.scenario
    if name.startswith("steady") or name == "lagging":
        target = 0.85 if name == "lagging" else 0.95
        share = result.replica_reads / result.reads if result.reads else None
        return [
            at_least(
                result,
                f"{name}: replica read share",
                share,
                target,
                baseline=BASELINE_REPLICA_SHARE,
            )
        ]
    if name.startswith("failover"):
        return _gap_rows(result, baseline_gap_s)
    if name.startswith("flood"):
        return _flood_rows(result)
    if name == "proxy-killed":
        longest = max((gap.gap_s or 99.0 for gap in result.takeovers), default=None)
        return [at_most(result, "takeover after a proxy is killed", longest, 2.0)]
    if name == "proxy-drained":
        cut = float(result.cut_by_drain)
        return [at_most(result, "requests cut by a drain", cut, 0.0, "count")]
    return []


def _gap_rows(result: RunResult, baseline_gap_s: float) -> list[BenchRow]:
    gaps = [gap.gap_s for gap in result.gaps]
    known = [gap for gap in gaps if gap is not None]
    complete = bool(known) and len(known) == len(gaps)
    name = result.scenario
    if name == "failover-store-down":
        longest = max(known) if complete else None
        return [at_most(result, f"{name}: longest gap", longest, 3.0)]
    median = percentile(known, 0.5) if complete else None
    high = percentile(known, 0.99) if complete else None
    return [
        at_most(result, f"{name}: gap p50", median, 1.2, "s", baseline_gap_s),
        at_most(result, f"{name}: gap p99", high, 2.0),
    ]


def _flood_rows(result: RunResult) -> list[BenchRow]:
    name = result.scenario
    rows = [at_most(result, f"{name}: refusal p99", result.refusal_p99_s, 0.05)]
    if name == "flood-urgent":
        return [*rows, at_least(result, f"{name}: goodput", result.goodput, 0.95)]
    urgent, unloaded = result.flooded.get("urgent"), result.unloaded.get("urgent")
    if urgent is None or unloaded is None:
        return rows
    ratio = urgent.p99_s / unloaded.p99_s if unloaded.p99_s else None
    share = urgent.within_deadline
    return [
        *rows,
        at_least(result, f"{name}: urgent in its deadline", share, 0.999),
        at_most(result, f"{name}: urgent p99 over unloaded", ratio, 1.5, "ratio"),
    ]


def _row(
    result: RunResult,
    measure: str,
    value: float | None,
    unit: str,
    target: float,
    met: bool,
    baseline: float | None,
) -> BenchRow:
    return BenchRow(
        deployment=result.deployment,
        measure=measure,
        value=None if value is None else round(value, 4),
        unit=unit,
        target=target,
        met=met,
        baseline=baseline,
        seeds=[result.seed],
    )
