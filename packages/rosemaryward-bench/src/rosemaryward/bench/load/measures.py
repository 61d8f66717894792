"""Measures computed from recorded operations."""

from collections.abc import Iterable, Sequence

import msgspec

from rosemaryward.bench.history.operations import Kind, Operation, Outcome

__all__ = ["RankService", "failover_gap", "percentile", "rank_service"]


class RankService(msgspec.Struct, frozen=True, kw_only=True):
    """Service that one rank received in a time span.

    Parameters
    ----------
    operations : int
        Number of operations.
    done_per_s : float
        Completed operations per second.
    within_deadline : float
        Share of operations that were completed before their deadline.
    not_run, unknown : int
        Numbers of refused operations and of those with an unknown outcome.
    p50_s, p99_s : float
        Latency of the completed operations, 0 if there are none.
    """

    operations: int
    done_per_s: float
    within_deadline: float
    not_run: int
    unknown: int
    p50_s: float
    p99_s: float


def percentile(values: Sequence[float], share: float) -> float:
    """Return the smallest value not exceeded by `share` of the values, 0 if none."""
    if not values:
        return 0.0
    ordered = sorted(values)
    index = min(len(ordered) - 1, max(0, -(-len(ordered) * share // 1) - 1))
    return ordered[int(index)]


def rank_service(
    operations: Iterable[Operation], rank: str, duration_s: float
) -> RankService:
    """Return the service of one rank over operations within `duration_s` seconds."""
    of_rank = [item for item in operations if item.rank == rank]
    done = [item for item in of_rank if item.outcome is Outcome.DONE]
    times = [item.end - item.start for item in done]
    in_time = sum(item.end - item.start <= item.deadline_s for item in done)
    outcomes = [item.outcome for item in of_rank]
    return RankService(
        operations=len(of_rank),
        done_per_s=len(done) / duration_s,
        within_deadline=in_time / len(of_rank) if of_rank else 0.0,
        not_run=outcomes.count(Outcome.NOT_RUN),
        unknown=outcomes.count(Outcome.UNKNOWN),
        p50_s=percentile(times, 0.5),
        p99_s=percentile(times, 0.99),
    )


def failover_gap(
    operations: Iterable[Operation], database: str, failed_at: float
) -> float | None:
    """Return the seconds from a failure to the first acknowledgement of a new write.

    Only writes that started after the failure count, since an earlier one may have
    been acknowledged by the failed primary.
    """
    ends = [
        item.end
        for item in operations
        if item.kind is Kind.WRITE
        and item.outcome is Outcome.DONE
        and item.database == database
        and item.start >= failed_at
    ]
    return min(ends) - failed_at if ends else None
