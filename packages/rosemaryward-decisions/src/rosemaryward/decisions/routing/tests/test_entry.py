import random

import pytest

from rosemaryward.decisions.errors import (
    NotRunError,
    OutcomeUnknownError,
    StatementError,
)
from rosemaryward.decisions.messages import (
    NO_STALENESS_LIMIT,
    EndTransaction,
    NotRun,
    OutcomeUnknown,
    StatementResult,
)
from rosemaryward.decisions.routing.attributes import Attributes
from rosemaryward.decisions.routing.entry import EntryService
from rosemaryward.decisions.routing.replies import REASON_BEHIND, REASON_NOT_PRIMARY
from rosemaryward.decisions.routing.rules import RoutingRules
from rosemaryward.decisions.routing.sessions import CallerSession
from rosemaryward.decisions.routing.tests.fakes import (
    PLACE,
    STALE_RULE,
    FakeDirectory,
    FakeRequester,
    make_document,
)
from rosemaryward.decisions.types import LogPosition, Rank

pytestmark = pytest.mark.looptime

READ, WRITE = "SELECT * FROM bookings", "INSERT INTO bookings VALUES (1)"
BEHIND = NotRun(REASON_BEHIND)
DONE = StatementResult(position=LogPosition(1, 11))


def _make_entry(replies=(), rules=(), default=None):
    routing_rules = RoutingRules(make_document(rules))
    requester = FakeRequester(replies, default)
    entry = EntryService(
        PLACE, routing_rules, FakeDirectory(), requester, random.Random(1)
    )
    return entry, requester, CallerSession(routing_rules.users["ana"], "db")


@pytest.mark.parametrize(
    ("replies", "tried"),
    [
        pytest.param([DONE], ["b"], id="nearest-replica"),
        pytest.param([BEHIND, DONE], ["b", "c"], id="next-replica"),
        pytest.param([BEHIND, BEHIND, DONE], ["b", "c", "a"], id="primary-last"),
        pytest.param(
            [OutcomeUnknownError("lost"), DONE], ["b", "c"], id="reads-may-repeat"
        ),
    ],
)
async def test_read_candidates(replies, tried):
    """Guards against reads at the primary that a replica can serve."""
    entry, requester, session = _make_entry(replies)
    await entry.run(session, READ)
    assert requester.instances == tried


@pytest.mark.parametrize(
    ("sql", "attributes", "fresh", "minimum", "staleness"),
    [
        pytest.param(
            READ, Attributes(), True, LogPosition(1, 11), NO_STALENESS_LIMIT, id="fresh"
        ),
        pytest.param(
            "SELECT * FROM routes",
            Attributes(),
            False,
            LogPosition(1, 11),
            5.0,
            id="stale-rule-still-sees-own-writes",
        ),
        pytest.param(
            "SELECT * FROM routes",
            Attributes(session="s"),
            True,
            LogPosition(),
            5.0,
            id="named-session-may-have-written-elsewhere",
        ),
    ],
)
async def test_read_bound(sql, attributes, fresh, minimum, staleness):
    """Guards against a read that misses the session's own write."""
    entry, requester, session = _make_entry(rules=[STALE_RULE])
    await entry.run(session, WRITE)
    session.attributes = attributes
    await entry.run(session, sql)
    message = requester.sent[-1]
    assert (message.fresh, message.minimum) == (fresh, minimum)
    assert message.max_staleness_s == staleness


@pytest.mark.parametrize(
    ("replies", "request_key", "outcome", "tries"),
    [
        pytest.param([NotRun(REASON_NOT_PRIMARY), DONE], "", None, 2, id="not-run"),
        pytest.param(
            [OutcomeUnknown("x"), DONE], "", OutcomeUnknownError, 1, id="unknown"
        ),
        pytest.param([OutcomeUnknown("x"), DONE], "k", None, 2, id="unknown-with-key"),
        pytest.param(
            [OutcomeUnknownError("x")], "", OutcomeUnknownError, 1, id="channel-lost"
        ),
    ],
)
async def test_write_retries(replies, request_key, outcome, tries):
    """Guards against a non-idempotent write that a retry runs twice."""
    entry, requester, session = _make_entry(replies)
    session.attributes = Attributes(request=request_key)
    if outcome is None:
        await entry.run(session, WRITE)
    else:
        with pytest.raises(outcome):
            await entry.run(session, WRITE)
    assert len(requester.sent) == tries
    assert all(message.request_key == request_key for message in requester.sent)


async def test_refusal_after_an_unknown_attempt_stays_unknown():
    """Guards against "not run" for a write whose earlier attempt may have run."""
    entry, requester, session = _make_entry(
        [OutcomeUnknown("lost")], default=NotRun(REASON_NOT_PRIMARY)
    )
    session.attributes = Attributes(request="k")
    with pytest.raises(OutcomeUnknownError):
        await entry.run(session, WRITE)
    assert len(requester.sent) > 1


async def test_read_leaves_time_for_the_next_endpoint():
    """Guards against a paused owner that uses up the whole deadline of a read."""
    entry, requester, session = _make_entry([OutcomeUnknownError("x")] * 2 + [DONE])
    await entry.run(session, READ)
    assert [m.deadline_s for m in requester.sent] == [1.0, 1.0, 2.0]


async def test_write_fails_at_its_deadline():
    """Guards against a caller that waits indefinitely for a primary."""
    entry, requester, session = _make_entry(default=NotRun(REASON_NOT_PRIMARY))
    session.attributes = Attributes(deadline_s=1.5)
    with pytest.raises(NotRunError):
        await entry.run(session, WRITE)
    assert 1 < len(requester.sent) < 10


async def test_retries_stay_within_the_budget():
    """Guards against a retry storm while an endpoint refuses everything."""
    entry, requester, session = _make_entry(default=NotRun("not-run"))
    for _ in range(300):
        with pytest.raises(NotRunError):
            await entry.run(session, WRITE)
    assert len(requester.sent) <= 300 * 1.2 + 200


async def test_transaction_stays_at_one_endpoint():
    """Guards against a transaction whose statements run at several instances."""
    entry, requester, session = _make_entry()
    for sql in ("BEGIN", WRITE, READ, "COMMIT"):
        await entry.run(session, sql)
    assert requester.instances == ["a", "a", "a"]
    assert [m.begins_transaction for m in requester.sent[:2]] == [True, False]
    assert requester.sent[-1] == EndTransaction(
        requester.sent[0].endpoint, requester.sent[0].transaction, True, 2.0
    )
    assert session.positions["db"] == LogPosition(1, 11)


async def test_unknown_statement_ends_the_transaction_as_not_run():
    """Guards against a commit after a statement whose outcome is unknown."""
    entry, requester, session = _make_entry(
        [DONE, OutcomeUnknown("lost"), StatementResult()]
    )
    await entry.run(session, "BEGIN")
    await entry.run(session, WRITE)
    with pytest.raises(NotRunError):
        await entry.run(session, WRITE)
    assert requester.sent[-1].commit is False
    assert session.transaction is None


@pytest.mark.parametrize(
    ("database", "code"),
    [pytest.param("", 1046, id="none"), pytest.param("nowhere", 1049, id="unknown")],
)
async def test_database_must_be_known(database, code):
    """Guards against an internal error for an unknown database."""
    entry, _, session = _make_entry()
    session.database = database
    with pytest.raises(StatementError) as caught:
        await entry.run(session, READ)
    assert caught.value.code == code


async def test_rank_comes_from_the_rule():
    """Guards against a statement that runs with the wrong rank."""
    entry, requester, session = _make_entry(rules=[STALE_RULE])
    await entry.run(session, "SELECT * FROM routes")
    assert requester.sent[0].rank == Rank.BULK
