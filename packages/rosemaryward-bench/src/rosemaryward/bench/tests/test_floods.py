import pytest

from rosemaryward.bench.floods import FLOODS, RANK_FLOOR_SHARE, SLOTS, run_report

DURATION_S = 22.0  # the last rank starts after 8 s and is measured over 10 s


@pytest.mark.parametrize("slots", SLOTS)
@pytest.mark.parametrize("flood", FLOODS)
def test_floods_meet_the_targets(flood: str, slots: int) -> None:
    """Guards against slow urgent statements, idle slots, starvation, late refusal."""
    report = run_report("admission", flood, slots, 1, DURATION_S)
    if flood == "bulk 10x":
        assert report.urgent_in_deadline >= 0.999
        assert report.p99_ratio <= 1.5
    else:
        assert report.measures.goodput >= 0.95
    assert report.refusal_p99_s <= 0.05
    for rank in ("normal", "bulk"):
        assert report.measures.ranks[rank].least_share >= RANK_FLOOR_SHARE - 0.01
