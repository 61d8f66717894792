import msgspec
import pytest

from rosemaryward.decisions.gateway.tests.fakes import GROUP, FakeClock, make_record
from rosemaryward.decisions.leadership import confirmation as confirmation_module
from rosemaryward.decisions.leadership.confirmation import (
    MAX_BRIDGED_OUTAGE_S,
    Confirmation,
)
from rosemaryward.decisions.leadership.members import (
    ConfirmationReply,
    ConfirmationRequest,
    MemberDirectory,
)
from rosemaryward.decisions.leadership.records import (
    CONFIRMATION_VALIDITY_S,
    Leadership,
)
from rosemaryward.decisions.leadership.tests.fakes import Peers, member

SELF = "inc-proxy-1"


def make_confirmation(clock):
    leadership = Leadership(clock)
    confirmation = Confirmation(SELF, leadership, Peers(), clock)
    names = ("proxy-1", "proxy-2", "proxy-3")
    confirmation.record_read(clock(), [member(name) for name in names])
    return confirmation


def reply(age_s=60.0, registered=True, changing=False, records=None):
    return ConfirmationReply(age_s, registered, changing, records or {})


@pytest.mark.parametrize(
    ("two", "three", "confirmed"),
    [
        pytest.param(reply(0.5), None, True, id="relayed-by-one"),
        pytest.param(reply(0.5, registered=False), None, False, id="not-registered"),
        pytest.param(reply(), reply(), True, id="outage-for-all"),
        pytest.param(reply(), None, False, id="one-unreachable"),
        pytest.param(reply(), reply(9.0, registered=False), False, id="one-missed-us"),
        pytest.param(reply(), reply(changing=True), False, id="one-is-changing"),
    ],
)
async def test_confirmation_without_the_store(two, three, confirmed):
    """Guards against using a primary that an unseen change may have replaced."""
    clock = FakeClock()
    confirmation = make_confirmation(clock)
    clock.now += CONFIRMATION_VALIDITY_S + 1.0
    answers = {"proxy-2": two, "proxy-3": three}
    confirmation.peers.confirmations = {n: a for n, a in answers.items() if a}
    await confirmation.confirm_through_members()
    assert confirmation.leadership.is_confirmed() is confirmed


async def test_outage_is_bridged_for_a_bounded_time():
    """Guards against an unknown process that acquires the lock in a long outage."""
    clock = FakeClock()
    confirmation = make_confirmation(clock)
    confirmation.peers.confirmations = {"proxy-2": reply(), "proxy-3": reply()}
    clock.now += MAX_BRIDGED_OUTAGE_S + 1.0
    assert await confirmation.confirm_through_members() == ""


async def test_records_of_a_reply_are_applied():
    """Guards against confirming an old record with a newer member's answer."""
    clock = FakeClock()
    confirmation = make_confirmation(clock)
    newer = {GROUP: (make_record(3, "i-2", serving=False), 40)}
    confirmation.peers.confirmations = {"proxy-2": reply(0.1, records=newer)}
    await confirmation.confirm_through_members()
    assert confirmation.leadership.primary(GROUP) is None
    assert confirmation.leadership.records[GROUP].epoch == 3


def test_read_without_this_process_confirms_nothing():
    """Guards against relying on the store after this proxy lost its lease."""
    clock = FakeClock()
    leadership = Leadership(clock)
    confirmation = Confirmation(SELF, leadership, Peers(), clock)
    confirmation.record_read(clock(), [member("proxy-2")])
    assert not leadership.is_confirmed()
    confirmation.record_read(clock(), [member("proxy-1", "inc-before")])
    assert not leadership.is_confirmed()


def test_reply_states_whether_the_asking_process_is_registered():
    """Guards against passing a confirmation on to an absent member."""
    confirmation = make_confirmation(FakeClock())
    assert confirmation.reply(ConfirmationRequest("inc-proxy-2")).registered
    assert not confirmation.reply(ConfirmationRequest("inc-unknown")).registered


def test_absent_member_is_fenced_until_its_confirmation_expires():
    """Guards against skipping the fence of a member whose lease just ended."""
    clock = FakeClock()
    members = MemberDirectory(clock)
    members.observe(member("proxy-2"), 5)
    members.mark_alive("proxy-2")
    members.mark_absent("proxy-2")
    assert members.members_to_fence()
    clock.now += CONFIRMATION_VALIDITY_S + 1.0
    assert not members.members_to_fence()
    members.mark_alive("proxy-2")
    assert members.members_to_fence()


@pytest.mark.parametrize(
    ("answer", "relayed"),
    [
        pytest.param(reply(0.5), True, id="store-answers-another-member"),
        pytest.param(reply(), False, id="store-answers-nobody"),
        pytest.param(reply(0.5, registered=False), False, id="not-registered"),
    ],
)
async def test_member_knows_whether_the_store_answers_others(answer, relayed):
    """Guards against confirmations that no read of the store stands behind."""
    clock = FakeClock()
    confirmation = make_confirmation(clock)
    clock.now += CONFIRMATION_VALIDITY_S + 1.0
    confirmation.peers.confirmations = {"proxy-2": answer, "proxy-3": answer}
    await confirmation.confirm_through_members()
    age_s = clock() - confirmation.relayed_at
    assert (age_s < CONFIRMATION_VALIDITY_S) is relayed


def make_new_process(clock, fleet_size):
    """Return the confirmation of the newest of a number of registered processes."""
    confirmation = Confirmation(SELF, Leadership(clock), Peers(), clock)
    names = [f"proxy-{number}" for number in range(1, fleet_size + 1)]
    for number, name in enumerate(names, 1):
        confirmation.directory.observe(member(name), number)
        confirmation.directory.mark_alive(name)
    confirmation.record_read(clock(), [member(name) for name in names])
    return confirmation


@pytest.mark.parametrize(
    ("fleet_size", "unreached", "accepted"),
    [
        pytest.param(1, 0, True, id="alone"),
        pytest.param(2, 1, True, id="one-of-two"),
        pytest.param(6, 0, True, id="all-answer"),
        pytest.param(6, 1, True, id="one-silent"),
        pytest.param(6, 2, False, id="two-silent"),
        pytest.param(16, 4, True, id="a-quarter-of-a-large-fleet"),
        pytest.param(16, 5, False, id="more-of-a-large-fleet"),
    ],
)
async def test_new_process_is_known_although_one_member_is_silent(
    fleet_size, unreached, accepted, monkeypatch
):
    """Guards against a lock that waits for a member that does not answer."""
    monkeypatch.setattr(confirmation_module, "INTRODUCTION_TIMEOUT_S", 0.3)
    confirmation = make_new_process(FakeClock(), fleet_size)
    answering = range(2 + unreached, fleet_size + 1)
    confirmation.peers.introducible = {f"proxy-{number}" for number in answering}
    assert await confirmation.introduce() is accepted
    assert {m for _, m in confirmation.peers.introduced} <= {member("proxy-1")}


@pytest.mark.parametrize("state", ["unregistered", "unconfirmed", "restored"])
async def test_process_that_may_not_know_all_members_is_not_known(state):
    """Guards against a change of primary that a cut-off member does not see."""
    clock = FakeClock()
    confirmation = make_new_process(clock, 3)
    confirmation.peers.introducible = {"proxy-2", "proxy-3"}
    assert await confirmation.introduce()
    if state == "unregistered":
        confirmation.directory.remove("proxy-1")
    elif state == "unconfirmed":
        confirmation.leadership.confirmed_at = float("-inf")
    else:
        confirmation.directory.observe_restore()
    assert not await confirmation.introduce()


def named(*members, **changes):
    """Return a reply that names processes which the request does not."""
    return msgspec.structs.replace(reply(**changes), not_asked=members)


NEW = member("proxy-4")


@pytest.mark.parametrize(
    ("three", "four", "confirmed"),
    [
        pytest.param(reply(), None, True, id="nobody-names-another"),
        pytest.param(named(NEW), reply(), True, id="named-one-has-changed-nothing"),
        pytest.param(named(NEW), reply(changing=True), False, id="named-one-changes"),
        pytest.param(named(NEW), None, False, id="named-one-is-silent"),
        pytest.param(
            named(NEW), reply(registered=False), False, id="named-one-missed-us"
        ),
        pytest.param(
            named(NEW), named(member("proxy-5")), False, id="named-one-names-another"
        ),
        pytest.param(named(member("proxy-1")), None, True, id="we-are-named"),
    ],
)
async def test_member_that_lacks_the_store_asks_processes_that_others_know(
    three, four, confirmed
):
    """Guards against a change of primary by a process that a member never saw."""
    clock = FakeClock()
    confirmation = make_confirmation(clock)
    clock.now += CONFIRMATION_VALIDITY_S + 1.0
    answers = {"proxy-2": reply(), "proxy-3": three, "proxy-4": four}
    confirmation.peers.confirmations = {n: a for n, a in answers.items() if a}
    await confirmation.confirm_through_members()
    assert confirmation.leadership.is_confirmed() is confirmed


def test_member_names_processes_that_the_asking_one_does_not_know():
    """Guards against members that keep a new process from one that is cut off."""
    confirmation = make_confirmation(FakeClock())
    confirmation.observe_introduction(NEW)
    request = ConfirmationRequest("inc-proxy-2", ("inc-proxy-1",))
    names = {m.name for m in confirmation.reply(request).not_asked}
    assert names == {"proxy-3", "proxy-4"}


async def test_introduced_process_is_asked_until_no_member_can_lack_it():
    """Guards against confirming the records without a process that is new."""
    clock = FakeClock()
    confirmation = make_confirmation(clock)
    confirmation.observe_introduction(NEW)
    clock.now += 9.0
    await confirmation.confirm_through_members()
    asked = {name for name, _ in confirmation.peers.confirmation_requests}
    assert asked == {"proxy-2", "proxy-3", "proxy-4"}
    clock.now += 2.0
    assert confirmation.reply(ConfirmationRequest("i", ("j",))).not_asked
    assert NEW not in confirmation.reply(ConfirmationRequest("i", ("j",))).not_asked


def test_builds_that_ask_nobody_named_confirm_nothing_beside_a_new_process():
    """Guards against an earlier build that does not ask a new process."""
    confirmation = make_confirmation(FakeClock())
    assert not confirmation.reply(ConfirmationRequest("inc-proxy-2")).changing
    confirmation.observe_introduction(NEW)
    assert confirmation.reply(ConfirmationRequest("inc-proxy-2")).changing
    request = ConfirmationRequest("inc-proxy-2", ("inc-proxy-1",))
    assert not confirmation.reply(request).changing


def test_process_that_leaves_confirms_nothing_to_others():
    """Guards against a member that relies on one which new processes do not know."""
    confirmation = make_confirmation(FakeClock())
    confirmation.leaving = True
    assert not confirmation.reply(ConfirmationRequest("inc-proxy-2")).registered


async def test_large_fleet_is_not_confirmed_by_its_members():
    """Guards against followers that answer for themselves without the store."""
    clock = FakeClock()
    confirmation = make_confirmation(clock)
    confirmation.peers.confirmations = {"proxy-2": reply(), "proxy-3": reply()}
    for number in range(1, 14):
        confirmation.directory.observe(member(f"proxy-{number}"), number)
    clock.now += CONFIRMATION_VALIDITY_S + 1.0
    assert await confirmation.confirm_through_members() == ""
