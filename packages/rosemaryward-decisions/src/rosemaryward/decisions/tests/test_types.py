import pytest

from rosemaryward.decisions.types import LogPosition


@pytest.mark.parametrize(
    ("lower", "higher"),
    [
        pytest.param(LogPosition(1, 5), LogPosition(1, 6), id="same-term"),
        pytest.param(LogPosition(1, 90), LogPosition(2, 3), id="newer-term-first"),
    ],
)
def test_position_order(lower, higher):
    """Guards against preferring the longer log of a replaced primary."""
    assert lower < higher


@pytest.mark.parametrize("token", ["", "3", "3.", "-1.4", "a.b", "1.2.3"])
def test_malformed_token(token):
    """Guards against parsing a malformed token as an old position."""
    with pytest.raises(ValueError, match="expected a position"):
        LogPosition.from_token(token)


def test_token_round_trip():
    """Guards against a text form that loses a field."""
    position = LogPosition(7, 1042)
    assert LogPosition.from_token(position.to_token()) == position
