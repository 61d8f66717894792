"""Plots of one run."""

from pathlib import Path

import matplotlib

from rosemaryward.bench.experiment.measures import share_series
from rosemaryward.bench.experiment.run import Run
from rosemaryward.bench.history.operations import Outcome

matplotlib.use("Agg")

from matplotlib import pyplot

__all__ = ["plot_run"]

SHARE_STEP_S = 0.5
DPI = 90
RANK_COLOURS = {"urgent": "tab:red", "normal": "tab:blue", "bulk": "tab:gray"}


def plot_run(run: Run, path: Path) -> None:
    """Write latency by rank and replica share over time, with faults marked."""
    figure, (latency, share) = pyplot.subplots(
        2, 1, sharex=True, figsize=(10, 6), height_ratios=(2, 1)
    )
    try:
        for rank, colour in RANK_COLOURS.items():
            done = [
                item
                for item in run.recorder.operations
                if item.rank == rank and item.outcome is Outcome.DONE
            ]
            latency.scatter(
                [item.start - run.start for item in done],
                [(item.end - item.start) * 1000 for item in done],
                s=4,
                color=colour,
                label=rank,
            )
        latency.set_yscale("log")
        latency.set_ylabel("latency in ms")
        latency.legend(loc="upper right")
        series = share_series(run.counters.samples, run.start, run.end, SHARE_STEP_S)
        share.plot([at for at, _ in series], [value for _, value in series])
        share.set_ylim(0, 1.05)
        share.set_ylabel("replica share of reads")
        share.set_xlabel("time in s")
        for fault in run.injector.applied:
            for axes in (latency, share):
                axes.axvline(fault.at - run.start, color="black", linestyle="--")
                if fault.until:
                    axes.axvline(fault.until - run.start, color="green", linestyle=":")
            latency.annotate(
                f"{fault.action} {', '.join(fault.nodes)[:40]}",
                (fault.at - run.start, 1.0),
                xycoords=("data", "axes fraction"),
                fontsize=7,
                rotation=20,
            )
        figure.savefig(path, dpi=DPI)
    finally:
        pyplot.close(figure)
