import anyio
import pytest

from rosemaryward.decisions.gateway.environment import ReadPolicy
from rosemaryward.decisions.gateway.outcomes import ConnectionState, Failure
from rosemaryward.decisions.gateway.tests.fakes import GROUP, Clock, Fleet, make_record

IDLE = ConnectionState.IDLE
FAILED = ConnectionState.FAILED_TRANSACTION


async def test_write_runs_once_at_the_primary():
    """Guards against a write at a replica and against a changed text."""
    fleet = Fleet()
    (reply,) = await fleet.serve("WRITE k v")
    assert reply.signature
    assert fleet.primary.ran == [("r0", "WRITE k v")]
    assert not fleet.near.ran


async def test_lost_answer_of_a_write_is_in_doubt_and_not_repeated():
    """Guards against running a write twice after its answer was lost."""
    fleet = Fleet()
    fleet.primary.failures = ["lost"]
    (reply,) = await fleet.serve("WRITE k v")
    assert reply.failure is Failure.IN_DOUBT
    assert fleet.primary.texts() == ["WRITE k v"]


async def test_lost_answer_of_a_commit_is_in_doubt():
    """Guards against promising that nothing is kept after COMMIT was sent."""
    fleet = Fleet()
    channel, session = fleet.session("BEGIN", "WRITE k v", "COMMIT")
    fleet.primary.failures = []
    original = channel.receive

    async def receive():
        statement = await original()
        if statement is not None and statement.text == "COMMIT":
            fleet.primary.failures = ["lost"]
        return statement

    channel.receive = receive
    await session.run()
    assert channel.replies[-1].failure is Failure.IN_DOUBT
    assert channel.replies[-1].state is IDLE


async def test_read_whose_answer_is_lost_runs_elsewhere():
    """Guards against failing a read that another endpoint can answer."""
    fleet = Fleet(ReadPolicy.BOUNDED_STALENESS)
    fleet.sample_primary()
    fleet.near.failures = ["lost"]
    (reply,) = await fleet.serve("READ k")
    assert reply.signature
    assert fleet.observer.attempts[0][0] == "i-2"


@pytest.mark.parametrize(
    "failure",
    [Failure.BUSY, Failure.NOT_PRIMARY, Failure.CONNECTION_LIMIT],
)
async def test_write_that_did_not_run_is_tried_again(failure):
    """Guards against giving up a write that an endpoint refused to run."""
    fleet = Fleet(clock=None, timeout_s=2.0)
    fleet.executor.clock = _running_clock(fleet)
    fleet.primary.failures = [failure]
    (reply,) = await fleet.serve("WRITE k v")
    assert reply.signature
    assert fleet.primary.texts() == ["WRITE k v"]


def _running_clock(fleet):
    def clock():
        fleet.clock.now += 0.001
        return fleet.clock.now

    return clock


async def test_failure_that_ran_is_told_to_the_caller():
    """Guards against repeating a write that the endpoint ran and failed."""
    fleet = Fleet()
    fleet.primary.failures = [Failure.FAILED]
    (reply,) = await fleet.serve("WRITE k v")
    assert reply.failure is Failure.FAILED


async def test_transaction_stays_on_one_connection():
    """Guards against statements of a transaction on different connections."""
    fleet = Fleet()
    replies = await fleet.serve("BEGIN", "READ a", "WRITE a 1", "COMMIT", "READ a")
    assert [reply.failure for reply in replies] == [None] * 5
    assert fleet.primary.texts() == ["BEGIN", "READ a", "WRITE a 1", "COMMIT", "READ a"]
    assert len(fleet.primary.connections) == 1


async def test_caller_that_leaves_inside_a_transaction_is_rolled_back():
    """Guards against handing a connection inside a transaction to another caller."""
    fleet = Fleet()
    await fleet.serve("BEGIN", "WRITE a 1")
    assert fleet.primary.texts()[-1] == "ROLLBACK"
    await fleet.serve("READ a")
    assert fleet.primary.connections[0].state is IDLE


async def test_transaction_lost_before_commit_is_rolled_back():
    """Guards against a wrong promise and against further statements."""
    fleet = Fleet()
    channel, session = fleet.session("BEGIN", "WRITE a 1", "WRITE b 1", "COMMIT")
    original = channel.receive

    async def receive():
        statement = await original()
        if statement is not None and statement.text == "WRITE b 1":
            fleet.primary.failures = ["lost"]
        return statement

    channel.receive = receive
    await session.run()
    failures = [reply.failure for reply in channel.replies]
    assert failures == [None, None, Failure.ROLLED_BACK, Failure.ROLLED_BACK]
    assert channel.replies[2].state is FAILED
    assert channel.replies[3].state is IDLE
    assert fleet.connector.discarded


async def test_rollback_of_a_failed_transaction_ends_it():
    """Guards against a session that stays failed after ROLLBACK."""
    fleet = Fleet()
    fleet.primary.failures = [Failure.FAILED]
    fleet.primary.failures.insert(0, None)
    fleet.primary.failures = []
    channel, session = fleet.session("BEGIN", "WRITE a 1", "ROLLBACK", "READ a")
    await session.run()
    assert [reply.state for reply in channel.replies] == [
        ConnectionState.TRANSACTION,
        ConnectionState.TRANSACTION,
        IDLE,
        IDLE,
    ]


async def test_values_and_names_of_callers_do_not_mix():
    """Guards against running with another caller's values or prepared shape."""
    fleet = Fleet()
    await fleet.serve("SET zone north", "PREPARE s WRITE q1", "EXECUTE s k v")
    connection = fleet.primary.connections[0]
    assert connection.values == {"zone": "north"}
    await fleet.serve("PREPARE s READ q2", "EXECUTE s k")
    assert connection.values == {}
    assert fleet.primary.texts() == ["EXECUTE w-q1 k v", "EXECUTE r-q2 k"]
    assert connection.prepared == {"r-q2": ("READ", "q2")}


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
async def test_statements_that_no_endpoint_sees(texts, failure):
    """Guards against forwarding what cannot run."""
    fleet = Fleet()
    replies = await fleet.serve(*texts)
    assert replies[-1].failure is failure
    # The proxy's own BEGIN and ROLLBACK of the first transaction carry its own id.
    assert all(request_id == "-" for request_id, _ in fleet.primary.ran)
    assert fleet.primary.texts() in ([], ["BEGIN", "ROLLBACK"])


async def test_unconfirmed_primary_is_not_used():
    """Guards against reading at a primary that may have been replaced."""
    fleet = Fleet(timeout_s=0.1)
    fleet.clock.now += 60.0
    clock = _running_clock(fleet)
    fleet.executor.clock = clock
    (reply,) = await fleet.serve("READ k")
    assert reply.failure is Failure.BUSY
    assert not fleet.primary.ran


async def test_write_answered_after_the_primary_was_replaced_is_in_doubt():
    """Guards against confirming a write that the new primary may lack."""
    fleet = Fleet()
    original = fleet.connector.connect

    async def connect(endpoint):
        connection = await original(endpoint)
        execute = connection.execute

        async def execute_and_change(statement, prepared_name, since, ticket):
            answer = await execute(statement, prepared_name, since, ticket)
            fleet.leadership.observe(GROUP, make_record(2, "i-2"), 9)
            return answer

        connection.execute = execute_and_change
        return connection

    fleet.connector.connect = connect
    (reply,) = await fleet.serve("WRITE k v")
    assert reply.failure is Failure.IN_DOUBT


async def test_removed_route_is_refused_from_the_next_statement():
    """Guards against serving a route that the configuration dropped."""
    fleet = Fleet(clock=Clock())
    channel, session = fleet.session("READ a", "READ b")
    original = channel.send

    async def send(statement, reply):
        await original(statement, reply)
        fleet.environment.routes.clear()

    channel.send = send
    await session.run()
    assert channel.replies[1].failure is Failure.UNKNOWN_DATABASE


async def test_statement_that_no_endpoint_takes_is_refused_early():
    """Guards against holding a statement to its timeout without offering it."""
    fleet = Fleet(clock=anyio.current_time, timeout_s=60.0)
    fleet.primary.refuse_connections = Failure.CONNECTION_LIMIT
    started_at = fleet.clock()
    (reply,) = await fleet.serve("WRITE k v")
    assert reply.failure is Failure.BUSY
    assert fleet.clock() - started_at < fleet.route.target_latency_s
