import pytest
from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule
from msgspec.structs import replace

from rosemaryward.decisions.membership import (
    MembershipSettings,
    MemberTable,
    PrimaryDirectory,
)
from rosemaryward.decisions.membership.tests.cluster import make_member
from rosemaryward.decisions.membership.updates import UpdateQueue
from rosemaryward.decisions.messages import MemberState, PrimaryRecord

ALIVE, SUSPECT, LEAVING, DEAD = MemberState


@pytest.mark.parametrize(
    ("known", "update", "wins"),
    [
        ((1, ALIVE), (1, SUSPECT), True),
        ((1, SUSPECT), (1, ALIVE), False),
        ((1, SUSPECT), (2, ALIVE), True),
        ((1, LEAVING), (1, SUSPECT), False),
        ((1, LEAVING), (1, DEAD), True),
        ((2, ALIVE), (1, DEAD), False),
        ((1, DEAD), (2, ALIVE), True),
        ((1, DEAD), (1, ALIVE), False),
    ],
)
def test_precedence(known, update, wins):
    """Guards against a delayed message that revives a member or declares it dead."""
    table = MemberTable()
    if known[1] == DEAD:
        table.merge(make_member(1, ALIVE, known[0]), 0)
    table.merge(make_member(1, known[1], known[0]), 0)
    assert table.merge(make_member(1, update[1], update[0]), 0) is wins


def test_expired_member_is_not_added_again():
    """Guards against dead members that proxies send back to each other forever."""
    table = MemberTable(retention_s=10)
    table.merge(make_member(1), 0)
    table.merge(make_member(1, DEAD), 5)
    assert table.remove_expired(14.9) == []
    assert len(table.remove_expired(15)) == 1
    assert not table.merge(make_member(1, DEAD), 16)
    assert len(table) == 0


@pytest.mark.parametrize(
    "invalid",
    [
        make_member(1, weight=float("nan")),
        make_member(1, weight=-1.0),
        make_member(1, incarnation=-1),
        make_member(1, incarnation=1 << 63),
        replace(make_member(1), host_id=""),
        replace(make_member(1), host_id="x" * 300),
        replace(make_member(1), host="x" * 300),
    ],
)
def test_invalid_update_is_rejected(invalid):
    """Guards against values that would break hashing or outrank every refutation."""
    table = MemberTable()
    assert not table.merge(invalid, 0)
    assert table.rejected == 1


def test_table_is_bounded():
    """Guards against unbounded memory use by made-up members."""
    table = MemberTable(max_members=2)
    for number in range(5):
        table.merge(make_member(number), 0)
    assert len(table) == 2
    assert table.merge(make_member(0, incarnation=2), 0)


class TableMachine(RuleBasedStateMachine):
    """Two tables that get the same updates in different order agree."""

    def __init__(self):
        super().__init__()
        self.first, self.second = MemberTable(), MemberTable()
        self.pending = []
        self.seen = {}
        for table in (self.first, self.second):
            for number in range(3):
                table.merge(make_member(number, incarnation=0), 0)

    @rule(
        number=st.integers(0, 2),
        state=st.sampled_from(MemberState),
        high=st.integers(0, 4),
    )
    def update(self, number, state, high):
        update = make_member(number, state, high)
        self.first.merge(update, 0)
        self.pending.append(update)

    @rule(random=st.randoms(use_true_random=False))
    def deliver(self, random):
        random.shuffle(self.pending)
        for update in self.pending:
            self.second.merge(update, 0)
        self.pending.clear()
        assert set(self.first.members()) == set(self.second.members())
        assert self.first.digest == self.second.digest

    @invariant()
    def never_goes_back(self):
        for member in self.first.members():
            current = (member.incarnation, member.state)
            assert current >= self.seen.get(member.host_id, (0, 0))
            self.seen[member.host_id] = current
        assert {m.host_id for m in self.first.live()} == {
            m.host_id for m in self.first.members() if m.state in (ALIVE, SUSPECT)
        }


TestTableMachine = TableMachine.TestCase
TestTableMachine.settings = settings(
    derandomize=True, max_examples=60, stateful_step_count=30, deadline=None
)


def test_primaries_by_term():
    """Guards against a delayed record that names a replaced primary."""
    records = [PrimaryRecord("d", term, f"i{term % 2}") for term in (1, 3, 2)]
    forward, backward, seen = PrimaryDirectory(), PrimaryDirectory(), []
    forward.subscribe(seen.append)
    for record, other in zip(records, reversed(records), strict=True):
        forward.merge(record)
        backward.merge(other)
    assert forward.get("d").term == backward.get("d").term == 3
    assert forward.digest == backward.digest != 0
    assert [record.term for record in seen] == [1, 3]
    assert not forward.merge(PrimaryRecord("x" * 300, 1, "i1"))


def test_updates_are_sent_a_bounded_number_of_times():
    """Guards against updates that circulate forever or starve one another."""
    queue = UpdateQueue(MembershipSettings(fanout=1, retransmission_factor=3))
    for key in "abc":
        queue.add(key, 9)
    sent = [queue.take(2) for _ in range(6)]
    assert sorted(key for keys in sent for key in keys) == sorted("abc" * 4)
    assert queue.take(2) == []
