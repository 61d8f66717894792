import pytest

from rosemaryward.decisions.gateway.tests.fakes import GROUP, FakeClock, make_record
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
from rosemaryward.decisions.mirror import make_revision

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
    """Guards against frequent calls to a store that turns only this member away."""
    clock = FakeClock()
    confirmation = make_confirmation(clock)
    clock.now += CONFIRMATION_VALIDITY_S + 1.0
    confirmation.peers.confirmations = {"proxy-2": answer, "proxy-3": answer}
    await confirmation.confirm_through_members()
    assert confirmation.is_relayed() is relayed


def known_by(incarnation, registered=True, revision=0):
    return ConfirmationReply(0.1, registered, False, {}, revision, incarnation)


TWO, THREE = known_by("inc-proxy-2"), known_by("inc-proxy-3")
OTHER_GENERATION = make_revision(1, 1)


@pytest.mark.parametrize(
    ("two", "three", "absent", "known"),
    [
        pytest.param(TWO, THREE, (), True, id="all-know"),
        pytest.param(TWO, None, (), False, id="one-unreachable"),
        pytest.param(TWO, None, ("proxy-3",), False, id="absent-may-bridge"),
        pytest.param(TWO, known_by("inc-proxy-3", False), (), False, id="one-missed"),
        pytest.param(TWO, known_by("inc-before"), (), False, id="another-process"),
        pytest.param(
            TWO,
            known_by("inc-proxy-3", revision=OTHER_GENERATION),
            (),
            False,
            id="read-before-a-restore",
        ),
    ],
)
async def test_new_process_is_known_if_all_members_have_read_its_registration(
    two, three, absent, known
):
    """Guards against a change of primary that a cut-off member does not see."""
    clock = FakeClock()
    confirmation = make_confirmation(clock)
    for number, name in enumerate(("proxy-1", "proxy-2", "proxy-3"), 1):
        confirmation.directory.observe(member(name), number)
        if name not in absent:
            confirmation.directory.mark_alive(name)
    answers = {"proxy-2": two, "proxy-3": three}
    confirmation.peers.confirmations = {n: a for n, a in answers.items() if a}
    assert await confirmation.is_known_to_members() is known


async def test_process_without_a_read_of_its_registration_is_not_known():
    """Guards against a new process that does not know all members yet."""
    clock = FakeClock()
    confirmation = Confirmation(SELF, Leadership(clock), Peers(), clock)
    confirmation.record_read(clock(), [member("proxy-2")])
    assert not await confirmation.is_known_to_members()
