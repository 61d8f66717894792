"""Measures computed from the operations and samples of one run."""

from collections.abc import Iterable, Sequence
from itertools import pairwise

from rosemaryward.bench.experiment.sampling import CounterSample, VersionSample
from rosemaryward.bench.history.operations import Kind, Operation, Outcome
from rosemaryward.bench.load.measures import percentile

__all__ = [
    "config_delays",
    "cut_requests",
    "done_shares",
    "longest_write_pause",
    "refusal_latency",
    "replica_share",
    "reverted_versions",
    "share_series",
    "statement_count",
]


def replica_share(
    samples: Iterable[CounterSample], start: float, end: float
) -> tuple[int, int]:
    """Return the numbers of reads at replicas and of all reads between two times."""
    replica = reads = 0
    for first, last in sample_spans(samples, start, end).values():
        replica += last.reads_as_replica - first.reads_as_replica
        reads += last.reads_as_primary - first.reads_as_primary
    return replica, replica + reads


def sample_spans(
    samples: Iterable[CounterSample], start: float, end: float
) -> dict[tuple[str, str], tuple[CounterSample, CounterSample]]:
    """Return the first and last sample of each instance within a time span."""
    found: dict[tuple[str, str], tuple[CounterSample, CounterSample]] = {}
    for sample in samples:
        if start <= sample.at <= end:
            key = sample.database, sample.instance
            found[key] = (found[key][0] if key in found else sample, sample)
    return found


def share_series(
    samples: Sequence[CounterSample], start: float, end: float, step_s: float
) -> list[tuple[float, float]]:
    """Return pairs of seconds since `start` and replica share, one for each step."""
    series = []
    at = start
    while at < end:
        replica, reads = replica_share(samples, at, at + step_s)
        if reads:
            series.append((at - start, replica / reads))
        at += step_s
    return series


def statement_count(
    samples: Iterable[CounterSample],
    database: str,
    instance: str,
    start: float,
    end: float,
) -> int:
    """Return the number of reads and commits at an instance between two times."""
    found = sample_spans(samples, start, end).get((database, instance))
    if found is None:
        return 0
    first, last = found
    return sum(
        getattr(last, name) - getattr(first, name)
        for name in ("reads_as_primary", "reads_as_replica", "commits")
    )


def longest_write_pause(
    operations: Iterable[Operation], database: str, start: float, end: float
) -> float:
    """Return the longest time without an acknowledged write at a database."""
    ends = sorted(
        item.end
        for item in operations
        if item.kind is Kind.WRITE
        and item.outcome is Outcome.DONE
        and item.database == database
        and start <= item.end <= end
    )
    times = [start, *ends, end]
    return max(after - before for before, after in pairwise(times))


def refusal_latency(operations: Iterable[Operation], share: float) -> float:
    """Return a percentile of the seconds until requests were refused."""
    times = [
        item.end - item.start for item in operations if item.outcome is Outcome.NOT_RUN
    ]
    return percentile(times, share)


def cut_requests(
    operations: Iterable[Operation], proxy: str, start: float, end: float
) -> int:
    """Return the number of requests at a proxy with an unknown outcome."""
    return sum(
        item.proxy == proxy
        and item.outcome is Outcome.UNKNOWN
        and item.end >= start
        and item.start <= end
        for item in operations
    )


def done_shares(operations: Iterable[Operation]) -> dict[str, float]:
    """Return the share of each rank in the completed operations."""
    counts: dict[str, int] = {}
    for item in operations:
        if item.outcome is Outcome.DONE:
            counts[item.rank] = counts.get(item.rank, 0) + 1
    total = sum(counts.values())
    return {rank: count / total for rank, count in counts.items()}


def config_delays(
    accepted: Iterable[tuple[float, int]],
    samples: Sequence[VersionSample],
    hosts: Iterable[str],
) -> list[float | None]:
    """Return the seconds from the acceptance of each version until all hosts have it.

    None stands for a version that was not observed at every host.
    """
    delays: list[float | None] = []
    for at, version in accepted:
        firsts = [
            min(
                (s.at for s in samples if s.host_id == host and s.version >= version),
                default=None,
            )
            for host in hosts
        ]
        known = [first for first in firsts if first is not None]
        last = max(known, default=at)
        complete = len(known) == len(firsts)
        delays.append(max(0.0, last - at) if complete else None)
    return delays


def reverted_versions(samples: Iterable[VersionSample]) -> list[VersionSample]:
    """Return the samples with a lower version than an earlier one of the host."""
    newest: dict[str, int] = {}
    reverted = []
    for sample in samples:
        if sample.version < newest.get(sample.host_id, 0):
            reverted.append(sample)
        newest[sample.host_id] = max(sample.version, newest.get(sample.host_id, 0))
    return reverted
