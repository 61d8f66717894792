import pytest

from rosemaryward.decisions.freshness import PositionSamples
from rosemaryward.decisions.types import LogPosition


def make(*samples):
    kept = PositionSamples()
    for sent_at, index in samples:
        kept.record(sent_at, LogPosition(1, index))
    return kept


@pytest.mark.parametrize(
    ("complete_until", "index"),
    [
        pytest.param(9.0, 2, id="older-sample-that-came-late"),
        pytest.param(9.6, 5, id="between"),
        pytest.param(10.0, 5, id="newest"),
        pytest.param(10.1, None, id="none-so-young"),
    ],
)
def test_samples_that_arrive_out_of_order(complete_until, index):
    """Guards against ignoring what a relay knows of the past."""
    samples = make((10.0, 5), (9.5, 2))
    required = samples.required(complete_until)
    assert (required and required.index) == index


def test_spread_has_samples_of_several_ages():
    """Guards against passing on only positions that replicas still lack."""
    samples = make((8.0, 1), (9.0, 2), (9.5, 3), (10.0, 4))
    spread = samples.spread(10.0)
    assert [position.index for _, position in spread] == [2, 3, 4]


def test_old_samples_are_dropped():
    """Guards against memory that grows with the time of a process."""
    samples = make(*((float(second), second) for second in range(100)))
    assert len(samples.samples) < 40
