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
from rosemaryward.proxy.requests import GroupAsker, OwnerRequester

pytestmark = pytest.mark.looptime

ENDPOINT = EndpointId("orders", "a")
PLACE = Place("north", "n1")
REACHED = ReachabilityReply(True, True, PLACE)


def _member(name):
    return Member(name, 1, MemberState.ALIVE, PLACE, "127.0.0.1", 1, 2)


class FakeChannel:
    """Answers by host id; an exception is raised, None never answers."""

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


async def test_own_opinion_does_not_count_as_another():
    """Guards against a proxy that deposes a primary on its own view alone."""
    channel = FakeChannel({"p1": REACHED, "p2": REACHED})
    asker = GroupAsker("p1", channel, lambda name: [_member("p1"), _member("p2")])
    assert await asker.query(ENDPOINT) == [REACHED]
    assert channel.asked == ["p2"]


async def test_missing_answers_are_absent():
    """Guards against a failed owner that stops or delays the others' opinion."""
    channel = FakeChannel({"p2": None, "p3": NotRunError("refused"), "p4": REACHED})
    owners = [_member(name) for name in ("p2", "p3", "p4")]
    asker = GroupAsker("p1", channel, lambda name: owners)
    started = anyio.current_time()
    assert await asker.query(ENDPOINT) == [REACHED]
    assert anyio.current_time() - started < 0.2


@pytest.mark.parametrize(("target", "sent"), [("p1", []), ("p2", ["p2"])])
async def test_own_requests_take_no_channel(target, sent):
    """Guards against a connection of a proxy to itself."""
    channel = FakeChannel({"p2": StatementResult()})

    async def handle(sender, message):
        assert sender == "p1"
        return StatementResult()

    requester = OwnerRequester("p1", channel, handle)
    reply = await requester.request(_member(target), ReachabilityRequest(ENDPOINT), 1.0)
    assert (reply, channel.asked) == (StatementResult(), sent)
