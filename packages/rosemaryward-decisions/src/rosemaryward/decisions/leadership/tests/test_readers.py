import pytest

from rosemaryward.decisions.gateway.tests.fakes import GROUP, FakeClock, make_record
from rosemaryward.decisions.leadership.confirmation import (
    READ_AGE_LIMIT_S,
    WATCH_PAUSE_S,
    Confirmation,
)
from rosemaryward.decisions.leadership.members import (
    ConfirmationReply,
    MemberDirectory,
    MemberRecord,
)
from rosemaryward.decisions.leadership.readers import SMALL_FLEET, readers_in_domain
from rosemaryward.decisions.leadership.records import Leadership
from rosemaryward.decisions.leadership.tests.fakes import Peers
from rosemaryward.decisions.types import Place

DOMAINS = ("a", "b")


def member(number, capacity=10.0):
    place = Place("north", DOMAINS[number % len(DOMAINS)])
    name = f"proxy-{number}"
    return MemberRecord(name, "10.0.0.1:1", f"inc-{name}", "", place, capacity)


class LargeFleet:
    """Proxy 2 of a fleet in which proxies 0 and 4 read for its failure domain."""

    def __init__(self, size=SMALL_FLEET + 2):
        self.clock = FakeClock()
        self.members = MemberDirectory(self.clock)
        for number in range(size):
            record = member(number, 100.0 if number in (0, 4) else 10.0)
            self.members.observe(record, number + 1)
            self.members.mark_alive(record.name)
        self.peers = Peers()
        self.confirmation = Confirmation(
            "inc-proxy-2", Leadership(self.clock), self.peers, self.clock, self.members
        )

    def answer(self, name, age_s=0.5, registered=True):
        record = make_record(3, "i-2")
        self.peers.confirmations[name] = ConfirmationReply(
            age_s, registered, False, {GROUP: (record, 40)}, 77
        )


def test_readers_are_near_and_large():
    """Guards against bytes between failure domains and load on small hosts."""
    members = [member(n, capacity=float(n)) for n in range(8)]
    assert [m.name for m in readers_in_domain(members, "a")] == ["proxy-6", "proxy-4"]


async def test_reader_confirms():
    """Guards against a read of the store by every proxy of a large fleet."""
    fleet = LargeFleet()
    fleet.answer("proxy-0")
    assert await fleet.confirmation.confirm_through_reader() == 77
    assert fleet.confirmation.leadership.primary(GROUP).primary == "i-2"


@pytest.mark.parametrize(
    "reply",
    [
        pytest.param({"age_s": READ_AGE_LIMIT_S + 0.1}, id="old-read"),
        pytest.param({"registered": False}, id="read-does-not-show-the-asker"),
    ],
)
async def test_reader_that_cannot_confirm(reply):
    """Guards against relying on a read that proves nothing for this process."""
    fleet = LargeFleet()
    fleet.answer("proxy-0", **reply)
    assert await fleet.confirmation.confirm_through_reader() == 0
    assert not fleet.confirmation.leadership.is_confirmed()


async def test_second_reader_is_asked():
    """Guards against a domain that stops when one reader is lost."""
    fleet = LargeFleet()
    fleet.answer("proxy-4")
    assert await fleet.confirmation.confirm_through_reader() == 77


async def test_small_fleets_read_themselves():
    """Guards against a needless hop for the confirmation."""
    fleet = LargeFleet(size=SMALL_FLEET)
    fleet.answer("proxy-0")
    assert await fleet.confirmation.confirm_through_reader() == 0
    assert fleet.confirmation.watch_pause_s() == 0.0


async def test_large_fleets_ask_few_and_collect_changes():
    """Guards against messages that grow with the square of the fleet."""
    fleet = LargeFleet()
    asked = fleet.confirmation._others()
    assert len(asked) == 4
    assert fleet.confirmation.watch_pause_s() == WATCH_PAUSE_S


async def test_readers_alone_do_not_speak_for_everyone():
    """Guards against a confirmation in an outage that not all members gave."""
    fleet = LargeFleet()
    fleet.confirmation.record_read(
        fleet.clock(), [member(n) for n in range(SMALL_FLEET + 2)]
    )
    for number in range(SMALL_FLEET + 2):
        fleet.answer(f"proxy-{number}", age_s=60.0)
    fleet.clock.now += 7.0
    assert await fleet.confirmation.confirm_through_members() == ""
