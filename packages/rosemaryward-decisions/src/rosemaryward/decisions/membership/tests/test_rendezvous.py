from collections import Counter

import pytest

from rosemaryward.decisions.document.schema import DatabaseSection, InstanceSection
from rosemaryward.decisions.membership import OwnershipMap, assign_owners
from rosemaryward.decisions.membership.rendezvous import (
    proposer_order,
    select_across_regions,
)
from rosemaryward.decisions.membership.tests.cluster import DOMAINS, make_member


def instance(place):
    return InstanceSection(
        host="10.1.0.1",
        port=3306,
        region=place.region,
        failure_domain=place.failure_domain,
    )


INSTANCES = {f"i{n}": instance(place) for n, place in enumerate(DOMAINS)}
SIX = [make_member(number) for number in range(6)]


def test_owner_is_near_its_instance():
    """Guards against statements that cross failure domains needlessly."""
    places = {m.host_id: m.place for m in SIX}
    for database in ("orders", "credits", "routes"):
        owners = assign_owners(database, INSTANCES, SIX)
        assert [places[owners[f"i{n}"]] for n in range(3)] == DOMAINS


@pytest.mark.parametrize(
    ("count", "distinct"), [(0, 0), (1, 1), (2, 2), (3, 3), (6, 3)]
)
def test_distinct_owners(count, distinct):
    """Guards against one proxy that has the votes of two instances of a database."""
    owners = assign_owners("orders", INSTANCES, SIX[:count])
    assert len(owners) == (3 if count else 0)
    assert len(set(owners.values())) == distinct


def test_lost_domain_moves_only_its_instance():
    """Guards against moving other instances when a failure domain is lost."""
    rest = [m for m in SIX if m.place != DOMAINS[0]]
    for number in range(50):
        before = assign_owners(f"d{number}", INSTANCES, SIX)
        after = assign_owners(f"d{number}", INSTANCES, rest)
        assert (before["i1"], before["i2"]) == (after["i1"], after["i2"])
        assert after["i0"] in {"p1", "p4"}


def test_minimal_movement_and_even_shares():
    """Guards against one member's death moving endpoints of other owners."""
    members = [make_member(number) for number in range(30)]
    moved, shares = 0, Counter()
    for number in range(300):
        before = assign_owners(f"d{number}", INSTANCES, members)
        after = assign_owners(f"d{number}", INSTANCES, members[1:])
        shares.update(before.values())
        for name, owner in before.items():
            moved += owner == "p0"
            assert owner in ("p0", after[name])
    assert moved == shares["p0"]
    assert max(shares.values()) < 2 * min(shares.values())


def test_weights():
    """Guards against a weight that does not scale a member's share."""
    members = [make_member(0), make_member(3, weight=3.0)]
    only = {"i0": INSTANCES["i0"]}
    shares = Counter(assign_owners(f"d{n}", only, members)["i0"] for n in range(2000))
    assert 2.6 < shares["p3"] / shares["p0"] < 3.4


def test_ownership_map_matches_the_full_assignment():
    """Guards against incremental updates that make ownership differ between proxies."""
    sections = {
        f"d{n}": DatabaseSection(
            tenant="t", instances=INSTANCES, slots=1, connections=1
        )
        for n in range(40)
    }
    members = [make_member(number) for number in range(9)]
    ownership = OwnershipMap()
    ownership.set_databases(sections)
    steps = [9, 5, 1, 0, 2, 3, 4, 8, 7, 9]
    for step, count in enumerate(steps):
        live = [members[(k + step) % 9] for k in range(count)]
        extra = make_member(99, place=DOMAINS[step % 3])
        live = [*live[:-1], extra] if live else live
        ownership.set_members(live)
        for database in sections:
            expected = assign_owners(database, INSTANCES, live)
            assert ownership.owners(database) == expected


def test_proposer_order_is_the_same_everywhere():
    """Guards against proposers that assume different orders and wait for each other."""
    order = proposer_order("orders", SIX)
    assert order == proposer_order("orders", SIX[::-1])
    assert sorted(order) == [f"p{n}" for n in range(6)]
    assert len({tuple(proposer_order(f"d{n}", SIX)) for n in range(20)}) > 10


def test_selection_covers_each_region():
    """Guards against a region without a watcher, which would fetch over the link."""
    chosen = select_across_regions([SIX[0], SIX[1], SIX[3], SIX[4], SIX[2]], 3)
    assert [m.host_id for m in chosen] == ["p0", "p2", "p1"]
