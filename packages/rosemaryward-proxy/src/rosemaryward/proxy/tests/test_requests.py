import anyio
import pytest

from rosemaryward.decisions.errors import NotRunError, OutcomeUnknownError
from rosemaryward.decisions.messages import (
    Member,
    MemberState,
    ReachabilityReply,
    ReachabilityRequest,
    StatementResult,
)
from rosemaryward.decisions.types import EndpointId, Place
from rosemaryward.proxy.requests import OwnerRequester, ReachabilityQuerier

pytestmark = pytest.mark.looptime

ENDPOINT = EndpointId("orders", "a")
PLACE = Place("north", "n1")
REACHED = ReachabilityReply(True, True, PLACE)


def _member(name):
    return Member(name, 1, MemberState.ALIVE, PLACE, "127.0.0.1", 1, 2)


class FakeChannel:
    """Answers by host id: raises exceptions, and times out for None."""

    def __init__(self, answers):
        self.answers = answers
        self.asked = []

    async def request(self, target, message, timeout_s):
        self.asked.append(target.host_id)
        answer = self.answers[target.host_id]
        if answer is None:
            await anyio.sleep(timeout_s)
            raise OutcomeUnknownError("no answer in time")
        if isinstance(answer, Exception):
            raise answer
        return answer


async def test_own_view_is_not_queried():
    """Guards against replacing a primary on the view of a single proxy."""
    channel = FakeChannel({"p1": REACHED, "p2": REACHED})
    querier = ReachabilityQuerier(
        "p1", channel, lambda name: [_member("p1"), _member("p2")]
    )
    assert await querier.query(ENDPOINT) == [REACHED]
    assert channel.asked == ["p2"]


async def test_missing_replies_are_left_out():
    """Guards against a failed owner that blocks or delays the other replies."""
    channel = FakeChannel({"p2": None, "p3": NotRunError("refused"), "p4": REACHED})
    owners = [_member(name) for name in ("p2", "p3", "p4")]
    querier = ReachabilityQuerier("p1", channel, lambda name: owners)
    started = anyio.current_time()
    assert await querier.query(ENDPOINT) == [REACHED]
    assert anyio.current_time() - started < 0.2


@pytest.mark.parametrize(("target", "sent"), [("p1", []), ("p2", ["p2"])])
async def test_requests_to_itself_do_not_use_the_channel(target, sent):
    """Guards against a proxy that connects to itself."""
    channel = FakeChannel({"p2": StatementResult()})

    async def handle(sender, message):
        assert sender == "p1"
        return StatementResult()

    requester = OwnerRequester("p1", channel, handle)
    reply = await requester.request(_member(target), ReachabilityRequest(ENDPOINT), 1.0)
    assert (reply, channel.asked) == (StatementResult(), sent)
