import pytest

from rosemaryward.decisions.routing.attributes import (
    Attributes,
    AttributeValueError,
    format_token,
    parse_attributes,
    parse_comment,
    parse_set_statement,
    parse_token,
)
from rosemaryward.decisions.types import LogPosition, Rank


@pytest.mark.parametrize(
    ("values", "named"),
    [
        pytest.param({"colour": "red"}, "colour", id="unknown-name"),
        pytest.param({"rank": "first"}, "rank", id="unknown-rank"),
        pytest.param({"session": "x" * 200}, "session", id="long-session"),
        pytest.param({"session": "a'b"}, "session", id="quote-in-session"),
        pytest.param({"request": ""}, "request", id="empty-request"),
        pytest.param({"request": "a\n"}, "request", id="line-end-in-request"),
        pytest.param({"deadline_s": "-1"}, "deadline_s", id="negative-deadline"),
        pytest.param({"deadline_s": "nan"}, "deadline_s", id="nan-deadline"),
        pytest.param({"staleness_s": "soon"}, "staleness_s", id="text-staleness"),
        pytest.param({"token": "bookings"}, "token", id="token-without-position"),
    ],
)
def test_invalid_attribute_is_named(values, named):
    """Guards against an invalid attribute that is silently ignored."""
    with pytest.raises(AttributeValueError, match=f"attribute '{named}'"):
        parse_attributes(values)


@pytest.mark.parametrize(
    ("sql", "expected"),
    [
        pytest.param("SET @rosemaryward_rank = 'bulk'", {"rank": "bulk"}, id="quoted"),
        pytest.param("set @rosemaryward_rank:=bulk;", {"rank": "bulk"}, id="bare"),
        pytest.param("SET @rosemaryward_rank = NULL", {"rank": ""}, id="null"),
        pytest.param("SET @other = 1", None, id="other-variable"),
        pytest.param("SELECT 1", None, id="no-assignment"),
    ],
)
def test_set_statement(sql, expected):
    """Guards against an assignment of an attribute that has no effect."""
    assert parse_set_statement(sql) == expected


def test_comment():
    """Guards against attributes in a leading comment that are ignored."""
    attributes = parse_comment("/* rosemaryward session=ana rank=urgent */ SELECT 1")
    assert attributes == Attributes(session="ana", rank=Rank.URGENT)
    assert parse_comment("/* hint */ SELECT 1") is None


def test_token_round_trip():
    """Guards against a session token that omits a database."""
    positions = {"b": LogPosition(2, 9), "a": LogPosition(1, 3)}
    assert parse_token(format_token(positions)) == positions


def test_merge_keeps_attributes_that_are_not_set():
    """Guards against attributes of a statement that clear those of the connection."""
    base = Attributes(session="ana", staleness_s=5.0, request="k")
    merged = base.merged_with(Attributes(rank=Rank.BULK, staleness_s=0.0))
    assert merged == Attributes("ana", None, Rank.BULK, "k", 0.0, None)
    assert merged.without("request").request == ""
