import pytest

from rosemaryward.decisions.routing.attributes import Attributes
from rosemaryward.decisions.routing.rules import UserAccount
from rosemaryward.decisions.routing.sessions import CallerSession
from rosemaryward.decisions.types import LogPosition, Rank

ACCOUNT = UserAccount("ana", "team", "", frozenset(Rank))
OWN, OTHER = LogPosition(1, 5), LogPosition(1, 9)


@pytest.mark.parametrize(
    ("attributes", "expected"),
    [
        pytest.param(Attributes(), OWN, id="unnamed-knows-its-writes"),
        pytest.param(Attributes(session="s"), None, id="named-may-have-roamed"),
        pytest.param(
            Attributes(session="s", token={"db": OTHER}), OTHER, id="token-ahead"
        ),
        pytest.param(
            Attributes(session="s", token={"db": LogPosition(1, 2)}),
            OWN,
            id="token-behind",
        ),
    ],
)
def test_minimum_position(attributes, expected):
    """Guards against a stale read in a session that wrote through another proxy."""
    session = CallerSession(ACCOUNT)
    session.attributes = attributes
    session.record_write("db", OWN)
    assert session.minimum_position("db") == expected


def test_position_never_decreases():
    """Guards against an out-of-order answer that decreases the session's position."""
    session = CallerSession(ACCOUNT)
    session.record_write("db", OTHER)
    session.record_write("db", OWN)
    assert session.positions["db"] == OTHER


def test_request_key_identifies_one_write():
    """Guards against a second write that is treated as a retry of the first."""
    session = CallerSession(ACCOUNT)
    session.attributes = Attributes(request="k", session="s")
    assert session.take_request_key() == "k"
    assert session.take_request_key() == ""
    assert session.attributes.session == "s"
