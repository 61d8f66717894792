import pytest

from rosemaryward.decisions.gateway.tests.fakes import (
    FAR,
    NEAR,
    FakeClock,
    make_endpoint,
)
from rosemaryward.decisions.relays.selection import (
    AVOID_S,
    DIRECT_CONNECTIONS,
    RelaySelector,
    relay_capacity,
)
from rosemaryward.decisions.relays.tests.fakes import members_of, relay_member
from rosemaryward.decisions.types import Place

ENDPOINT = make_endpoint("i-1", NEAR)
NEXT_DOOR = Place(NEAR.region, "c")


def make(*records, limit=1, own="proxy-0"):
    clock = FakeClock()
    members = members_of(*records, clock=clock)
    chooser = RelaySelector(own, members, lambda group: limit, clock)
    return chooser, members, clock


@pytest.mark.parametrize(
    ("records", "expected"),
    [
        pytest.param(
            [relay_member("a", FAR), relay_member("b", NEXT_DOOR)], "b", id="region"
        ),
        pytest.param(
            [relay_member("a", NEXT_DOOR), relay_member("b", NEAR)], "b", id="domain"
        ),
        pytest.param(
            [relay_member("a", NEAR, 10.0), relay_member("b", NEAR, 40.0)],
            "b",
            id="capacity",
        ),
        pytest.param(
            [relay_member("a", NEXT_DOOR, 90.0), relay_member("b", NEAR, 10.0)],
            "b",
            id="distance-before-capacity",
        ),
    ],
)
def test_preferred_relay(records, expected):
    """Guards against bytes over dear links and statements over narrow ones."""
    chooser, _, _ = make(*records)
    assert chooser.relay(ENDPOINT).name == expected


def test_proxies_choose_the_same_relay():
    """Guards against two relays that each hold an endpoint's connections."""
    records = [relay_member(f"p{n}") for n in range(20)]
    first, _, _ = make(*records)
    second, _, _ = make(*reversed(records))
    assert first.relay(ENDPOINT) == second.relay(ENDPOINT)


def test_relay_connects_directly():
    """Guards against a relay that asks itself over the network."""
    chooser, _, _ = make(relay_member("a"), own="a")
    assert chooser.relay(ENDPOINT) is None


@pytest.mark.parametrize(
    ("limit", "relayed"),
    [
        pytest.param(2 * DIRECT_CONNECTIONS, False, id="enough"),
        pytest.param(2 * DIRECT_CONNECTIONS - 1, True, id="scarce"),
        pytest.param(None, False, id="unknown"),
    ],
)
def test_relay_only_where_connections_are_scarce(limit, relayed):
    """Guards against a needless hop, and against refused connections."""
    chooser, _, _ = make(relay_member("a"), relay_member("b"), limit=limit)
    assert (chooser.relay(ENDPOINT) is not None) is relayed


def test_avoided_relay_returns():
    """Guards against a relay that stays unused after one failure."""
    chooser, _, clock = make(relay_member("a"), relay_member("b"))
    first = chooser.relay(ENDPOINT)
    chooser.avoid(first, "silent")
    assert chooser.relay(ENDPOINT).name != first.name
    clock.now += AVOID_S
    assert chooser.relay(ENDPOINT) == first


def test_all_relays_avoided():
    """Guards against refusing work while direct connections are possible."""
    chooser, _, _ = make(relay_member("a"))
    chooser.avoid(chooser.relay(ENDPOINT), "silent")
    assert chooser.relay(ENDPOINT) is None


def test_absent_member_relays_nothing():
    """Guards against waiting for a host that was lost."""
    chooser, members, _ = make(relay_member("a"), relay_member("b"))
    first = chooser.relay(ENDPOINT)
    members.mark_absent(first.name)
    assert chooser.relay(ENDPOINT).name != first.name


def test_capacity_is_bound_by_the_scarcer_resource():
    """Guards against a fast host behind a narrow link as a relay."""
    assert relay_capacity(2.0, 1000.0) > relay_capacity(2.0, 5.0)
    assert relay_capacity(0.5, 1000.0) < relay_capacity(2.0, 1000.0)


@pytest.mark.parametrize(
    ("limit", "cap"),
    [
        pytest.param(30, None, id="plenty"),
        pytest.param(5, 3, id="few"),
        pytest.param(None, None, id="unknown"),
    ],
)
def test_connections_kept_for_control(limit, cap):
    """Guards against a change of primary that finds no connection for its survey."""
    chooser, _, _ = make(relay_member("a"), relay_member("b"), limit=limit)
    assert chooser.connection_cap("orders") == cap
