import anyio
import pytest

from rosemaryward.decisions.clock import boot_time_s
from rosemaryward.decisions.gateway.environment import ReadPolicy
from rosemaryward.decisions.gateway.outcomes import (
    ConnectError,
    ConnectionState,
    Failure,
)
from rosemaryward.decisions.gateway.statements import AdmissionParameters
from rosemaryward.decisions.gateway.tests.fakes import GROUP, parse_statement
from rosemaryward.decisions.relays.messages import (
    Answered,
    BeginRequest,
    CloseRequest,
    LeasedRequest,
    Refused,
    RollBackRequest,
    RunRequest,
    Unanswered,
)
from rosemaryward.decisions.relays.tests.fakes import RelayedGatewayHarness
from rosemaryward.decisions.types import Rank

TICKET = AdmissionParameters(1, "caller", "db", 0.5, 1)


def ran(harness):
    return harness.relay.primary.texts()


async def test_statements_run_on_the_relays_connections():
    """Guards against a proxy that connects to an endpoint beside its relay."""
    harness = RelayedGatewayHarness()
    replies = await harness.serve("WRITE k v", "READ k")
    assert [reply.failure for reply in replies] == [None, None]
    assert ran(harness) == ["WRITE k v", "READ k"]
    assert harness.primary.connections == []
    assert len(harness.relay.primary.connections) == 1


async def test_fleet_with_enough_connections_uses_no_relay():
    """Guards against a needless hop in a small fleet."""
    harness = RelayedGatewayHarness(connection_limit=30)
    await harness.serve("READ k")
    assert harness.primary.texts() == ["READ k"]
    assert ran(harness) == []


async def test_session_context_travels_with_the_statement():
    """Guards against another session's values or prepared statements."""
    harness = RelayedGatewayHarness()
    await harness.serve("SET zone north", "PREPARE s WRITE q2", "EXECUTE s k v")
    (connection,) = harness.relay.primary.connections
    assert connection.values == {"zone": "north"}
    assert ran(harness) == ["EXECUTE w-q2 k v"]
    await harness.serve("READ k")
    assert connection.values == {}


async def test_transaction_keeps_one_connection_at_the_relay():
    """Guards against statements of two transactions on one connection."""
    harness = RelayedGatewayHarness()
    replies = await harness.serve("BEGIN", "WRITE a 1", "WRITE b 2", "COMMIT")
    assert [reply.failure for reply in replies] == [None] * 4
    assert replies[-1].signature
    assert ran(harness) == ["BEGIN", "WRITE a 1", "WRITE b 2", "COMMIT"]
    assert len(harness.relay.primary.connections) == 1
    assert harness.service.running == 0
    pool = harness.relay.pool(harness.relay.primary)
    assert len(pool.idle_connections) == 1


@pytest.mark.parametrize(
    ("texts", "failure"),
    [
        pytest.param(("WRITE k v",), Failure.IN_DOUBT, id="write"),
        pytest.param(("BEGIN", "WRITE k v"), Failure.ROLLED_BACK, id="transaction"),
    ],
)
async def test_relay_lost_with_a_write(texts, failure):
    """Guards against a promise about a write that a lost relay may have run."""
    harness = RelayedGatewayHarness()
    channel, session = harness.session(*texts)
    original = channel.receive

    async def receive():
        statement = await original()
        if statement is not None and statement.text == "WRITE k v":
            link = await harness.channel.link(None)
            link.lose_reply = True
        return statement

    channel.receive = receive
    await session.run()
    assert channel.replies[-1].failure is failure
    assert not harness.pools.pool("i-1").suspect


async def test_read_whose_relay_is_lost_runs_again():
    """Guards against failing a read because one relay was killed."""
    harness = RelayedGatewayHarness()
    link = await harness.channel.link(None)
    link.lose_reply = True
    (reply,) = await harness.serve("READ k")
    assert reply.failure is None
    assert len(harness.channel.links) == 2


async def test_unreachable_relay_is_avoided():
    """Guards against refusing work while the endpoint itself can be reached."""
    harness = RelayedGatewayHarness()
    harness.channel.down = True
    (reply,) = await harness.serve("READ k")
    assert reply.failure is None
    assert harness.primary.texts() == ["READ k"]


async def test_statement_of_a_replaced_primary_is_refused():
    """Guards against a write that waited at the relay during a change of primary."""
    harness = RelayedGatewayHarness()
    harness.relay.leadership.fence(GROUP, 2)
    session = harness.service.session("proxy-1")
    request = RunRequest("i-1", parse_statement("WRITE k v"), {}, None, None, TICKET)
    reply = await session.handle(request)
    assert isinstance(reply, Refused)
    assert ran(harness) == []


async def run_after_a_wait(harness, text, meanwhile):
    """Return the reply to a statement during whose wait for a slot things happen."""
    session = harness.service.session("proxy-1")
    pool = harness.relay.pool(harness.relay.primary)
    pool.queue.set_slots(1)
    request = RunRequest("i-1", parse_statement(text), {}, None, None, TICKET)
    replies = []

    async def run():
        replies.append(await session.handle(request))

    async with (
        anyio.create_task_group() as tasks,
        pool.queue.slot(Rank.NORMAL, "other", "db", 1.0),
    ):
        tasks.start_soon(run)
        await anyio.wait_all_tasks_blocked()
        meanwhile()
    return replies[0]


async def test_statement_fenced_while_it_waits_for_a_slot_is_refused():
    """Guards against a fence that a queue at the relay escapes."""
    harness = RelayedGatewayHarness()
    reply = await run_after_a_wait(
        harness, "WRITE k v", lambda: harness.relay.leadership.fence(GROUP, 2)
    )
    assert isinstance(reply, Refused)
    assert ran(harness) == []


async def begin(session, lease=1):
    reply = await session.handle(BeginRequest("i-1", lease, False, {}, None, TICKET))
    assert isinstance(reply, Answered)


async def test_lost_proxy_rolls_its_transactions_back():
    """Guards against open transactions that hold slots after their proxy died."""
    harness = RelayedGatewayHarness()
    session = harness.service.session("proxy-1")
    await begin(session)
    session.close()
    assert harness.service.running == 0
    assert harness.relay.primary.connections[0].closed


@pytest.mark.parametrize(
    "give_up",
    [
        pytest.param(lambda session: session.close(), id="proxy-lost"),
        pytest.param(lambda session: session._give_up(1), id="given-up"),
    ],
)
async def test_transaction_given_up_while_it_begins(give_up):
    """Guards against an open transaction on a connection that others then use."""
    harness = RelayedGatewayHarness()
    session = harness.service.session("proxy-1")
    pool = harness.relay.pool(harness.relay.primary)
    original = harness.relay.connector.connect

    async def connect(endpoint):
        connection = await original(endpoint)
        begin_ = connection.begin

        async def begin_and_give_up(*arguments):
            answer = await begin_(*arguments)
            give_up(session)
            return answer

        connection.begin = begin_and_give_up
        return connection

    harness.relay.connector.connect = connect
    await begin(session)
    assert harness.service.running == 0
    assert pool.idle_connections == []
    assert harness.relay.primary.connections[0].closed


async def test_transaction_that_ended_is_not_begun_anew():
    """Guards against a statement that runs outside of its transaction."""
    harness = RelayedGatewayHarness()
    session = harness.service.session("proxy-1")
    await begin(session)
    await session.handle(CloseRequest(1))
    request = LeasedRequest(1, parse_statement("WRITE k v"), {}, None, TICKET)
    assert isinstance(await session.handle(request), Unanswered)
    assert ran(harness) == ["BEGIN"]


async def test_rolled_back_connection_serves_others():
    """Guards against a new connection for each transaction that rolls back."""
    harness = RelayedGatewayHarness()
    session = harness.service.session("proxy-1")
    await begin(session)
    reply = await session.handle(RollBackRequest(1))
    assert reply.answer.state is ConnectionState.IDLE
    await begin(session, 2)
    assert len(harness.relay.primary.connections) == 1


async def test_leaving_relay_refuses_new_statements_and_ends_old_ones():
    """Guards against a drain that cuts relayed transactions."""
    harness = RelayedGatewayHarness()
    session = harness.service.session("proxy-1")
    await begin(session)
    harness.service.leaving = True
    request = RunRequest("i-1", parse_statement("READ k"), {}, None, None, TICKET)
    assert isinstance(await session.handle(request), Refused)
    commit = LeasedRequest(1, parse_statement("COMMIT"), {}, None, TICKET)
    assert isinstance(await session.handle(commit), Answered)
    with anyio.fail_after(1):
        await harness.service.wait_until_idle()


async def test_relay_passes_older_positions_on():
    """Guards against reads that only a replica without lag could serve."""
    harness = RelayedGatewayHarness(policy=ReadPolicy.READ_YOUR_WRITES)
    harness.relay.sample_primary(age_s=1.0)
    harness.relay.primary.position = type(harness.relay.primary.position)(1, 20)
    await harness.serve("WRITE k v")
    samples = harness.selector.group_samples(GROUP)
    oldest = samples.required(harness.clock() - 1.1)
    assert oldest is not None
    assert oldest.index == 10


async def test_position_counts_from_when_the_relay_sent_the_statement():
    """Guards against samples that look as old as the wait in the relay's queue."""
    harness = RelayedGatewayHarness()

    def let_time_pass():
        harness.clock.now += 0.3

    reply = await run_after_a_wait(harness, "READ k", let_time_pass)
    ((since_sent_s, _),) = reply.answer.samples
    assert since_sent_s == pytest.approx(0.3)


async def test_statements_leave_connections_for_control():
    """Guards against a status request that finds all connections in use."""
    harness = RelayedGatewayHarness()
    pool = harness.relay.pool(harness.relay.primary)
    pool.clock = boot_time_s
    pool.connection_cap = lambda group: 1
    held = await pool.acquire(0.1)
    with pytest.raises(ConnectError):
        await pool.acquire(0.01)
    control = await pool.acquire(0.1, ignore_cap=True)
    pool.release(control)
    pool.release(held)
