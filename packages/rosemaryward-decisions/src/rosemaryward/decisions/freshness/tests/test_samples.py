import pytest

from rosemaryward.decisions.freshness import PositionSamples
from rosemaryward.decisions.types import LogPosition


def make_samples(*pairs):
    samples = PositionSamples()
    for sent_at, index in pairs:
        samples.record(sent_at, LogPosition(1, index))
    return samples


@pytest.mark.parametrize(
    ("acknowledged_until", "index"),
    [
        pytest.param(9.0, 2, id="older-sample-that-came-late"),
        pytest.param(9.6, 5, id="between"),
        pytest.param(10.0, 5, id="newest"),
        pytest.param(10.1, None, id="none-so-young"),
    ],
)
def test_samples_that_arrive_out_of_order(acknowledged_until, index):
    """Guards against ignoring the older samples that a relay shares."""
    samples = make_samples((10.0, 5), (9.5, 2))
    required = samples.required_position(acknowledged_until)
    assert (required and required.index) == index


def test_shared_samples_have_several_ages():
    """Guards against sharing only positions that replicas have not yet applied."""
    samples = make_samples((8.0, 1), (9.0, 2), (9.5, 3), (10.0, 4))
    shared = samples.samples_to_share(10.0)
    assert [position.index for _, position in shared] == [2, 3, 4]


def test_old_samples_are_dropped():
    """Guards against memory that grows with the uptime of a process."""
    samples = make_samples(*((float(second), second) for second in range(100)))
    assert len(samples.samples) < 40
