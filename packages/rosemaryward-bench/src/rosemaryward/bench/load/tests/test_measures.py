import pytest

from rosemaryward.bench.history.operations import Kind, Operation, Outcome
from rosemaryward.bench.load.measures import failover_gap, percentile, rank_service


def op(start, end, outcome=Outcome.DONE, database="d", rank="urgent"):
    return Operation(
        session="s",
        kind=Kind.WRITE,
        key=str(start),
        start=start,
        end=end,
        outcome=outcome,
        database=database,
        rank=rank,
        deadline_s=1.0,
    )


@pytest.mark.parametrize(
    ("values", "share", "expected"),
    [([], 0.5, 0.0), ([3.0], 0.99, 3.0), ([4, 1, 3, 2], 0.5, 2), ([1, 2], 1.0, 2)],
)
def test_percentile(values, share, expected):
    """Guards against percentiles that are off by one position."""
    assert percentile(values, share) == expected


def test_failover_gap_ignores_writes_of_the_failed_primary():
    """Guards against a gap that ends with an acknowledgement by the old primary."""
    history = [op(9, 10.1), op(10.2, 11.5), op(10.3, 11.2, Outcome.NOT_RUN)]
    history.append(op(10.2, 10.3, database="other"))
    assert failover_gap(history, "d", 10) == pytest.approx(1.5)
    assert failover_gap(history, "d", 20) is None


def test_rank_service_counts_late_and_refused_work():
    """Guards against a share within the deadline that omits failures."""
    history = [
        op(0, 0.5),
        op(0, 2),
        op(0, 0.1, Outcome.NOT_RUN),
        op(0, 0.1, Outcome.UNKNOWN),
        op(0, 0.1, rank="bulk"),
    ]
    service = rank_service(history, "urgent", 2)
    assert (service.operations, service.not_run, service.unknown) == (4, 1, 1)
    assert (service.within_deadline, service.done_per_s) == (0.25, 1.0)
