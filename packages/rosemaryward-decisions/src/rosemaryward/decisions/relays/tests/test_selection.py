import pytest

from rosemaryward.decisions.gateway.tests.fakes import (
    FAR,
    NEAR,
    FakeClock,
    make_endpoint,
)
from rosemaryward.decisions.relays.selection import (
    AVOIDANCE_S,
    DIRECT_CONNECTIONS_PER_PROXY,
    RelaySelector,
    relay_capacity,
)
from rosemaryward.decisions.relays.tests.fakes import members_of, relay_member
from rosemaryward.decisions.types import Place

ENDPOINT = make_endpoint("i-1", NEAR)
SAME_REGION = Place(NEAR.region, "c")


def make(*records, limit=1, own="proxy-0"):
    clock = FakeClock()
    members = members_of(*records, clock=clock)
    selector = RelaySelector(own, members, lambda group: limit, clock)
    return selector, members, clock


@pytest.mark.parametrize(
    ("records", "expected"),
    [
        pytest.param(
            [relay_member("a", FAR), relay_member("b", SAME_REGION)], "b", id="region"
        ),
        pytest.param(
            [relay_member("a", SAME_REGION), relay_member("b", NEAR)], "b", id="domain"
        ),
        pytest.param(
            [relay_member("a", NEAR, 10.0), relay_member("b", NEAR, 40.0)],
            "b",
            id="capacity",
        ),
        pytest.param(
            [relay_member("a", SAME_REGION, 90.0), relay_member("b", NEAR, 10.0)],
            "b",
            id="distance-before-capacity",
        ),
    ],
)
def test_preferred_relay(records, expected):
    """Guards against relays that are distant or that lack capacity."""
    selector, _, _ = make(*records)
    assert selector.select_relay(ENDPOINT).name == expected


def test_proxies_choose_the_same_relay():
    """Guards against two relays that both hold connections to an endpoint."""
    records = [relay_member(f"p{n}") for n in range(20)]
    first, _, _ = make(*records)
    second, _, _ = make(*reversed(records))
    assert first.select_relay(ENDPOINT) == second.select_relay(ENDPOINT)


def test_relay_connects_directly():
    """Guards against a relay that connects to itself."""
    selector, _, _ = make(relay_member("a"), own="a")
    assert selector.select_relay(ENDPOINT) is None


@pytest.mark.parametrize(
    ("limit", "relayed"),
    [
        pytest.param(2 * DIRECT_CONNECTIONS_PER_PROXY, False, id="enough"),
        pytest.param(2 * DIRECT_CONNECTIONS_PER_PROXY - 1, True, id="scarce"),
        pytest.param(None, False, id="unknown"),
    ],
)
def test_relay_only_where_connections_are_scarce(limit, relayed):
    """Guards against an unnecessary hop and against refused connections."""
    selector, _, _ = make(relay_member("a"), relay_member("b"), limit=limit)
    assert (selector.select_relay(ENDPOINT) is not None) is relayed


def test_avoided_relay_returns():
    """Guards against a relay that stays unused after one failure."""
    selector, _, clock = make(relay_member("a"), relay_member("b"))
    first = selector.select_relay(ENDPOINT)
    selector.avoid(first, "silent")
    assert selector.select_relay(ENDPOINT).name != first.name
    clock.now += AVOIDANCE_S
    assert selector.select_relay(ENDPOINT) == first


def test_relay_that_leaves_is_not_readmitted():
    """Guards against statements for a relay that is about to stop."""
    selector, _, clock = make(relay_member("a", NEAR), relay_member("b", NEAR))
    first = selector.select_relay(ENDPOINT)
    selector.avoid(first, "leaving", leaving=True)
    selector.avoid(first, "connection ended")
    selector.readmit(first)
    clock.now += 2 * AVOIDANCE_S
    assert selector.select_relay(ENDPOINT) != first


def test_all_relays_avoided():
    """Guards against refusing statements while direct connections are possible."""
    selector, _, _ = make(relay_member("a"))
    selector.avoid(selector.select_relay(ENDPOINT), "silent")
    assert selector.select_relay(ENDPOINT) is None


def test_absent_member_is_not_selected():
    """Guards against waiting for a lost host."""
    selector, members, _ = make(relay_member("a"), relay_member("b"))
    first = selector.select_relay(ENDPOINT)
    members.mark_absent(first.name)
    assert selector.select_relay(ENDPOINT).name != first.name


def test_capacity_is_limited_by_the_scarcer_resource():
    """Guards against selecting a fast host with a slow link."""
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
def test_connections_reserved_for_control(limit, cap):
    """Guards against a change of primary that finds no connection to query status."""
    selector, _, _ = make(relay_member("a"), relay_member("b"), limit=limit)
    assert selector.connection_cap("orders") == cap
