import pytest

from rosemaryward.decisions.clock import boot_time_s
from rosemaryward.decisions.gateway.tests.fakes import GROUP, make_record
from rosemaryward.decisions.leadership.members import (
    ConfirmationReply,
    ConfirmationRequest,
    FenceReply,
    FenceRequest,
    ReachabilityReply,
    ReachabilityRequest,
    RecordAck,
    RecordNotice,
    ReleaseReply,
    ReleaseRequest,
)
from rosemaryward.decisions.leadership.tests.fakes import ChangeScenario, status
from rosemaryward.decisions.mirror import (
    ChangeHistory,
    ChangesReply,
    ChangesRequest,
    StoredValue,
)
from rosemaryward.proxy.platform_requests import MemberRequests


class Duty:
    def __init__(self):
        self.released = []

    def invalidate_token(self, token):
        self.released.append(token)


class Member:
    def __init__(self, statuses):
        self.parts = ChangeScenario(statuses)
        self.duty = Duty()
        self.history = ChangeHistory()
        self.requests = MemberRequests(
            "inc-1",
            self.parts.leadership,
            self.parts.confirmation,
            self.duty,
            self.parts.directory,
            self.parts.control,
            self.history,
        )


@pytest.mark.parametrize(
    ("request_", "reply"),
    [
        pytest.param(FenceRequest(GROUP, 2), FenceReply, id="fence"),
        pytest.param(ConfirmationRequest("inc-2"), ConfirmationReply, id="confirm"),
        pytest.param(ReleaseRequest(7), ReleaseReply, id="release"),
        pytest.param(ReachabilityRequest("i-2"), ReachabilityReply, id="reach"),
        pytest.param(
            RecordNotice(GROUP, make_record(2, "i-2"), 9), RecordAck, id="record"
        ),
    ],
)
async def test_each_request_gets_its_reply(request_, reply):
    """Guards against a request that another kind's answer ends."""
    member = Member({"i-2": status(1, 5)})
    assert isinstance(await member.requests.answer(request_), reply)


async def test_told_record_is_in_force():
    """Guards against a proxy that hears of a new primary and does not use it."""
    member = Member({})
    await member.requests.answer(RecordNotice(GROUP, make_record(2, "i-2"), 9))
    assert member.parts.leadership.records[GROUP].primary == "i-2"


@pytest.mark.parametrize(
    ("statuses", "recent", "answered"),
    [
        pytest.param({"i-1": status(1, 5)}, False, True, id="answers-a-probe"),
        pytest.param({}, False, False, id="silent"),
        pytest.param({}, True, True, id="answered-a-moment-ago"),
    ],
)
async def test_reach(statuses, recent, answered):
    """Guards against a change because of a probe that was not needed."""
    member = Member(statuses)
    if recent:
        member.parts.directory.pools["i-1"].last_answer_at = boot_time_s()
    reply = await member.requests.answer(ReachabilityRequest("i-1"))
    assert reply.answered is answered


async def test_followers_are_told_what_the_mirror_knows():
    """Guards against a proxy that follows this one and misses a change."""
    member = Member({})
    member.history.record_write(StoredValue("k", b"1", 5))
    member.history.advance(5)
    reply = await member.requests.answer(ChangesRequest(0, 0.1))
    assert isinstance(reply, ChangesReply)
    assert reply.written == [StoredValue("k", b"1", 5)]
