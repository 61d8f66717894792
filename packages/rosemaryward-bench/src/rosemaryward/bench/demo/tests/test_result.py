import msgspec
import pytest

from rosemaryward.bench.demo.output import invariant_rows, measure_rows
from rosemaryward.bench.demo.phases import RANKS, DemoResult
from rosemaryward.bench.history.checker import Finding, Report, Violation
from rosemaryward.bench.load.measures import rank_service

IDLE = {rank: rank_service([], rank, 1.0) for rank in RANKS}
GOOD = DemoResult(
    deployment="derwent",
    seed=1,
    replica_reads=19,
    reads=20,
    failed_primary="d/i",
    failover_gap_s=1.0,
    steady=IDLE,
    before_flood=IDLE,
    flood=IDLE,
    flooded_database="d",
    report=Report(0, 0, 0, []),
)
LOST = Report(1, 1, 0, [Finding(Violation.LOST, "d", "k", "")])


@pytest.mark.parametrize(
    ("change", "passed"),
    [
        ({}, True),
        ({"report": LOST}, False),
        ({"failover_gap_s": None}, False),
        ({"ended": ["entry-1"]}, False),
    ],
)
def test_only_a_complete_run_passes(change, passed):
    """Guards against a demonstration that passes despite a violation or a crash."""
    result = msgspec.structs.replace(GOOD, **change)
    assert result.passed is passed
    assert result.replica_read_share == 0.95
    assert measure_rows(result)
    assert all(row[1] == "0" for row in invariant_rows(result)) == (
        not result.report.findings and not result.ended
    )
