import anyio
import pytest

from rosemaryward.decisions.gateway.environment import ReadPolicy
from rosemaryward.decisions.gateway.outcomes import ConnectionState, Failure
from rosemaryward.decisions.gateway.tests.fakes import (
    GROUP,
    FakeClock,
    GatewayHarness,
    make_record,
)

IDLE = ConnectionState.IDLE
FAILED = ConnectionState.FAILED_TRANSACTION


async def test_write_runs_once_at_the_primary():
    """Guards against running a write at a replica or altering its text."""
    harness = GatewayHarness()
    (reply,) = await harness.serve("WRITE k v")
    assert reply.signature
    assert harness.primary.ran == [("r0", "WRITE k v")]
    assert not harness.near.ran


async def test_lost_answer_of_a_write_is_in_doubt_and_not_repeated():
    """Guards against running a write twice after its answer was lost."""
    harness = GatewayHarness()
    harness.primary.failures = ["lost"]
    (reply,) = await harness.serve("WRITE k v")
    assert reply.failure is Failure.IN_DOUBT
    assert harness.primary.texts() == ["WRITE k v"]


async def test_lost_answer_of_a_commit_is_in_doubt():
    """Guards against reporting a rollback after a COMMIT that may have run."""
    harness = GatewayHarness()
    channel, session = harness.session("BEGIN", "WRITE k v", "COMMIT")
    harness.primary.failures = []
    original = channel.receive

    async def receive():
        statement = await original()
        if statement is not None and statement.text == "COMMIT":
            harness.primary.failures = ["lost"]
        return statement

    channel.receive = receive
    await session.run()
    assert channel.replies[-1].failure is Failure.IN_DOUBT
    assert channel.replies[-1].state is IDLE


async def test_read_whose_answer_is_lost_runs_elsewhere():
    """Guards against failing a read that another endpoint can answer."""
    harness = GatewayHarness(ReadPolicy.BOUNDED_STALENESS)
    harness.sample_primary()
    harness.near.failures = ["lost"]
    (reply,) = await harness.serve("READ k")
    assert reply.signature
    assert harness.observer.attempts[0][0] == "i-2"


@pytest.mark.parametrize(
    "failure",
    [Failure.BUSY, Failure.NOT_PRIMARY, Failure.CONNECTION_LIMIT],
)
async def test_write_that_did_not_run_is_tried_again(failure):
    """Guards against failing a write that an endpoint merely refused to run."""
    harness = GatewayHarness(clock=None, timeout_s=2.0)
    harness.executor.clock = _running_clock(harness)
    harness.primary.failures = [failure]
    (reply,) = await harness.serve("WRITE k v")
    assert reply.signature
    assert harness.primary.texts() == ["WRITE k v"]


def _running_clock(harness):
    def clock():
        harness.clock.now += 0.001
        return harness.clock.now

    return clock


async def test_failure_of_a_write_that_ran_is_reported():
    """Guards against repeating a write that the endpoint ran and failed."""
    harness = GatewayHarness()
    harness.primary.failures = [Failure.FAILED]
    (reply,) = await harness.serve("WRITE k v")
    assert reply.failure is Failure.FAILED


async def test_transaction_stays_on_one_connection():
    """Guards against statements of a transaction on different connections."""
    harness = GatewayHarness()
    replies = await harness.serve("BEGIN", "READ a", "WRITE a 1", "COMMIT", "READ a")
    assert [reply.failure for reply in replies] == [None] * 5
    assert harness.primary.texts() == [
        "BEGIN",
        "READ a",
        "WRITE a 1",
        "COMMIT",
        "READ a",
    ]
    assert len(harness.primary.connections) == 1


async def test_transaction_of_a_disconnected_caller_is_rolled_back():
    """Guards against handing a connection inside a transaction to another caller."""
    harness = GatewayHarness()
    await harness.serve("BEGIN", "WRITE a 1")
    assert harness.primary.texts()[-1] == "ROLLBACK"
    await harness.serve("READ a")
    assert harness.primary.connections[0].state is IDLE


async def test_transaction_lost_before_commit_is_rolled_back():
    """Guards against running further statements, or a COMMIT, after the loss."""
    harness = GatewayHarness()
    channel, session = harness.session("BEGIN", "WRITE a 1", "WRITE b 1", "COMMIT")
    original = channel.receive

    async def receive():
        statement = await original()
        if statement is not None and statement.text == "WRITE b 1":
            harness.primary.failures = ["lost"]
        return statement

    channel.receive = receive
    await session.run()
    failures = [reply.failure for reply in channel.replies]
    assert failures == [None, None, Failure.ROLLED_BACK, Failure.ROLLED_BACK]
    assert channel.replies[2].state is FAILED
    assert channel.replies[3].state is IDLE
    assert harness.connector.discarded


@pytest.mark.parametrize(
    ("texts", "failures"),
    [
        pytest.param(["REFUSED", "READ a"], [Failure.BUSY, None], id="idle"),
        pytest.param(
            ["BEGIN", "WRITE a 1", "REFUSED", "COMMIT"],
            [None, None, Failure.ROLLED_BACK, Failure.ROLLED_BACK],
            id="in-a-transaction",
        ),
    ],
)
async def test_statement_that_was_dropped_for_want_of_memory(texts, failures):
    """Guards against a commit of a transaction that lacks the dropped statement."""
    harness = GatewayHarness()
    replies = await harness.serve(*texts)
    assert [reply.failure for reply in replies] == failures
    assert "COMMIT" not in harness.primary.texts()


async def test_rollback_of_a_failed_transaction_ends_it():
    """Guards against a session that stays failed after ROLLBACK."""
    harness = GatewayHarness()
    harness.primary.failures = [Failure.FAILED]
    harness.primary.failures.insert(0, None)
    harness.primary.failures = []
    channel, session = harness.session("BEGIN", "WRITE a 1", "ROLLBACK", "READ a")
    await session.run()
    assert [reply.state for reply in channel.replies] == [
        ConnectionState.TRANSACTION,
        ConnectionState.TRANSACTION,
        IDLE,
        IDLE,
    ]


async def test_session_context_is_not_shared_between_callers():
    """Guards against running with another caller's values or prepared statement."""
    harness = GatewayHarness()
    await harness.serve("SET zone north", "PREPARE s WRITE q1", "EXECUTE s k v")
    connection = harness.primary.connections[0]
    assert connection.values == {"zone": "north"}
    await harness.serve("PREPARE s READ q2", "EXECUTE s k")
    assert connection.values == {}
    assert harness.primary.texts() == ["EXECUTE s1 k v", "EXECUTE s2 k"]
    assert connection.prepared == {"s2": ("READ", "q2")}


@pytest.mark.parametrize(
    ("texts", "failure"),
    [
        pytest.param(["EXECUTE s k"], Failure.UNKNOWN_STATEMENT, id="unknown-name"),
        pytest.param(["COMMIT"], Failure.MALFORMED, id="commit-outside"),
        pytest.param(["ROLLBACK"], Failure.MALFORMED, id="rollback-outside"),
        pytest.param(["BEGIN", "BEGIN"], Failure.MALFORMED, id="nested"),
        pytest.param(["UNREADABLE"], Failure.MALFORMED, id="unreadable"),
    ],
)
async def test_statements_that_are_not_forwarded(texts, failure):
    """Guards against forwarding statements that cannot run."""
    harness = GatewayHarness()
    replies = await harness.serve(*texts)
    assert replies[-1].failure is failure
    # Only the proxy's own BEGIN and ROLLBACK, with the request id "-", may arrive.
    assert all(request_id == "-" for request_id, _ in harness.primary.ran)
    assert harness.primary.texts() in ([], ["BEGIN", "ROLLBACK"])


async def test_unconfirmed_primary_is_not_used():
    """Guards against reading at a primary that may have been replaced."""
    harness = GatewayHarness(timeout_s=0.1)
    harness.clock.now += 60.0
    clock = _running_clock(harness)
    harness.executor.clock = clock
    (reply,) = await harness.serve("READ k")
    assert reply.failure is Failure.BUSY
    assert not harness.primary.ran


async def test_write_answered_after_the_primary_was_replaced_is_in_doubt():
    """Guards against confirming a write that the new primary may lack."""
    harness = GatewayHarness()
    original = harness.connector.connect

    async def connect(endpoint, tenant=""):
        connection = await original(endpoint, tenant)
        execute = connection.execute

        async def execute_and_change(statement, named, min_position, admission):
            answer = await execute(statement, named, min_position, admission)
            harness.leadership.observe(GROUP, make_record(2, "i-2"), 9)
            return answer

        connection.execute = execute_and_change
        return connection

    harness.connector.connect = connect
    (reply,) = await harness.serve("WRITE k v")
    assert reply.failure is Failure.IN_DOUBT


async def test_removed_route_is_refused_from_the_next_statement():
    """Guards against serving a route that the configuration dropped."""
    harness = GatewayHarness(clock=FakeClock())
    channel, session = harness.session("READ a", "READ b")
    original = channel.send

    async def send(statement, reply):
        await original(statement, reply)
        harness.environment.routes.clear()

    channel.send = send
    await session.run()
    assert channel.replies[1].failure is Failure.UNKNOWN_DATABASE


async def test_statement_that_no_endpoint_accepts_is_refused_early():
    """Guards against holding a statement until its timeout without an endpoint."""
    harness = GatewayHarness(clock=anyio.current_time, timeout_s=60.0)
    harness.primary.refuse_connections = Failure.CONNECTION_LIMIT
    started_at = harness.clock()
    (reply,) = await harness.serve("WRITE k v")
    assert reply.failure is Failure.BUSY
    assert harness.clock() - started_at < harness.route.target_latency_s
