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
from rosemaryward.proxy.platform_requests import MemberRequestHandler


class FakeFailoverLock:
    def __init__(self):
        self.invalidated_tokens = []

    def invalidate_token(self, token):
        self.invalidated_tokens.append(token)


class HandlerScenario:
    def __init__(self, statuses):
        self.change = ChangeScenario(statuses)
        self.failover_lock = FakeFailoverLock()
        self.history = ChangeHistory()
        self.handler = MemberRequestHandler(
            "inc-1",
            self.change.leadership,
            self.change.confirmation,
            self.failover_lock,
            self.change.directory,
            self.change.control,
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
    """Guards against answering a request with a reply of another type."""
    scenario = HandlerScenario({"i-2": status(1, 5)})
    assert isinstance(await scenario.handler.handle(request_), reply)


async def test_notified_record_is_applied():
    """Guards against ignoring the notice of a new primary."""
    scenario = HandlerScenario({})
    await scenario.handler.handle(RecordNotice(GROUP, make_record(2, "i-2"), 9))
    assert scenario.change.leadership.records[GROUP].primary == "i-2"


@pytest.mark.parametrize(
    ("statuses", "recent", "answered"),
    [
        pytest.param({"i-1": status(1, 5)}, False, True, id="answers-a-probe"),
        pytest.param({}, False, False, id="silent"),
        pytest.param({}, True, True, id="answered-a-moment-ago"),
    ],
)
async def test_reachability(statuses, recent, answered):
    """Guards against a needless probe whose failure leads to a primary change."""
    scenario = HandlerScenario(statuses)
    if recent:
        scenario.change.directory.pools["i-1"].last_answer_at = boot_time_s()
    reply = await scenario.handler.handle(ReachabilityRequest("i-1"))
    assert reply.answered is answered


async def test_followers_receive_the_changes_of_the_mirror():
    """Guards against a change that the proxies reading through this one miss."""
    scenario = HandlerScenario({})
    scenario.history.record_write(StoredValue("k", b"1", 5))
    scenario.history.advance(5)
    reply = await scenario.handler.handle(ChangesRequest(0, 0.1))
    assert isinstance(reply, ChangesReply)
    assert reply.written == [StoredValue("k", b"1", 5)]
