import anyio
import pytest

from rosemaryward.decisions.clock import boot_time_s
from rosemaryward.decisions.gateway.connections import UNREACHABLE_AVOIDANCE_S
from rosemaryward.decisions.gateway.directory import LEAVING_USE_LIMIT_S
from rosemaryward.decisions.gateway.environment import ReadPolicy
from rosemaryward.decisions.gateway.outcomes import (
    ConnectError,
    ConnectionState,
    Failure,
)
from rosemaryward.decisions.gateway.statements import AdmissionParameters
from rosemaryward.decisions.gateway.tests.fakes import (
    FAR,
    GROUP,
    make_endpoint,
    make_record,
    parse_statement,
)
from rosemaryward.decisions.leadership.records import UNVERIFIED_READ_S
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

ADMISSION = AdmissionParameters(1, "caller", "db", 0.5, 1)


def texts_at_relay(harness):
    return harness.relay.primary.texts()


async def test_statements_run_on_the_relays_connections():
    """Guards against a proxy that bypasses the relay of an endpoint."""
    harness = RelayedGatewayHarness()
    replies = await harness.serve("WRITE k v", "READ k")
    assert [reply.failure for reply in replies] == [None, None]
    assert texts_at_relay(harness) == ["WRITE k v", "READ k"]
    assert harness.primary.connections == []
    assert len(harness.relay.primary.connections) == 1


async def test_fleet_with_enough_connections_uses_no_relay():
    """Guards against an unnecessary hop in a small fleet."""
    harness = RelayedGatewayHarness(connection_limit=30)
    await harness.serve("READ k")
    assert harness.primary.texts() == ["READ k"]
    assert texts_at_relay(harness) == []


async def test_session_context_is_sent_with_the_statement():
    """Guards against running with another session's values or prepared statements."""
    harness = RelayedGatewayHarness()
    await harness.serve("SET zone north", "PREPARE s WRITE q2", "EXECUTE s k v")
    (connection,) = harness.relay.primary.connections
    assert connection.values == {"zone": "north"}
    assert texts_at_relay(harness) == ["EXECUTE s1 k v"]
    await harness.serve("READ k")
    assert connection.values == {}


async def test_transaction_keeps_one_connection_at_the_relay():
    """Guards against statements of two transactions on one connection."""
    harness = RelayedGatewayHarness()
    replies = await harness.serve("BEGIN", "WRITE a 1", "WRITE b 2", "COMMIT")
    assert [reply.failure for reply in replies] == [None] * 4
    assert replies[-1].signature
    assert texts_at_relay(harness) == ["BEGIN", "WRITE a 1", "WRITE b 2", "COMMIT"]
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
    """Guards against reporting a definite outcome of a write that may have run."""
    harness = RelayedGatewayHarness()
    channel, session = harness.session(*texts)
    original = channel.receive

    async def receive():
        statement = await original()
        if statement is not None and statement.text == "WRITE k v":
            link = await harness.link_provider.link(None)
            link.lose_reply = True
        return statement

    channel.receive = receive
    await session.run()
    assert channel.replies[-1].failure is failure
    assert not harness.pools.pool("i-1").suspect


async def test_read_whose_relay_is_lost_runs_again():
    """Guards against failing a read because one relay was lost."""
    harness = RelayedGatewayHarness()
    link = await harness.link_provider.link(None)
    link.lose_reply = True
    (reply,) = await harness.serve("READ k")
    assert reply.failure is None
    assert len(harness.link_provider.links) == 2


async def test_silent_relay_does_not_make_its_endpoint_suspect():
    """Guards against refusals for seconds after another relay has taken over."""
    harness = RelayedGatewayHarness()
    pool = harness.pools.pool("i-1")
    sent_at = harness.clock()
    harness.clock.now += 1.0
    pool.record_unanswered(sent_at, TimeoutError(), "no reply")
    assert not pool.suspect


async def test_relay_refuses_statements_for_an_endpoint_that_does_not_answer():
    """Guards against a statement that waits for a connection attempt to time out."""
    harness = RelayedGatewayHarness()
    harness.relay.pool(harness.relay.primary).record_failure("silent")
    pool = harness.pools.pool("i-1")
    connection = await pool.connector.connect(pool.endpoint)
    with pytest.raises(ConnectError) as refused:
        await connection.execute(parse_statement("WRITE k v"), None, None, ADMISSION)
    pool.record_refusal(refused.value)
    assert harness.relay.primary.connections == []
    assert pool.suspect
    harness.clock.now += UNREACHABLE_AVOIDANCE_S
    assert not pool.suspect


def test_failures_keep_their_values_in_messages():
    """Guards against proxies of two builds that read one failure as another."""
    names = ["BUSY", "BEHIND", "NOT_PRIMARY", "WRONG_ENDPOINT", "CONNECTION_LIMIT"]
    names += ["UNKNOWN_STATEMENT", "ROLLED_BACK", "FAILED", "TIMED_OUT", "IN_DOUBT"]
    names += ["UNKNOWN_DATABASE", "MALFORMED", "TOO_LARGE"]
    assert [failure.name for failure in Failure][: len(names)] == names
    assert [failure.value for failure in Failure] == list(range(1, len(Failure) + 1))


@pytest.mark.parametrize(
    ("known", "failure"),
    [
        pytest.param(True, None, id="registered"),
        pytest.param(False, Failure.WRONG_ENDPOINT, id="not-registered"),
    ],
)
async def test_relay_that_starts_waits_until_it_knows_the_endpoints(known, failure):
    """Guards against refusals by relays that restarted with the rest of the fleet."""
    harness = RelayedGatewayHarness()
    pools = harness.relay.directory.pools
    pool = pools.pop("i-1")

    async def load():
        await anyio.sleep(0.05)
        if known:
            pools["i-1"] = pool

    harness.service.wait_until_loaded = load
    connection = await harness.pools.pool("i-1").connector.connect(pool.endpoint)
    if failure is None:
        answer = await connection.execute(
            parse_statement("WRITE k v"), None, None, ADMISSION
        )
        assert answer.failure is None
        return
    with pytest.raises(ConnectError) as refused:
        await connection.execute(parse_statement("WRITE k v"), None, None, ADMISSION)
    assert refused.value.failure is failure
    assert harness.relay_selector.select_relay(pool.endpoint) is None


async def test_read_runs_elsewhere_if_the_relay_does_not_know_the_endpoint():
    """Guards against statements that return to a relay which cannot load the store."""
    harness = RelayedGatewayHarness()
    harness.relay.directory.pools.clear()
    (reply,) = await harness.serve("READ k")
    assert reply.failure is None
    assert harness.primary.texts() == ["READ k"]


async def test_unreachable_relay_is_avoided():
    """Guards against refusing statements while the endpoint itself is reachable."""
    harness = RelayedGatewayHarness()
    harness.link_provider.down = True
    (reply,) = await harness.serve("READ k")
    assert reply.failure is None
    assert harness.primary.texts() == ["READ k"]


async def test_statement_of_a_replaced_primary_is_refused():
    """Guards against running a write at a primary that was fenced before it arrived."""
    harness = RelayedGatewayHarness()
    harness.relay.leadership.fence(GROUP, 2)
    session = harness.service.session("proxy-1")
    request = RunRequest("i-1", parse_statement("WRITE k v"), {}, None, None, ADMISSION)
    reply = await session.handle(request)
    assert isinstance(reply, Refused)
    assert texts_at_relay(harness) == []


async def run_after_slot_wait(harness, text, meanwhile):
    """Call `meanwhile` while a statement waits for a slot; return its reply."""
    session = harness.service.session("proxy-1")
    pool = harness.relay.pool(harness.relay.primary)
    pool.queue.set_slots(1)
    request = RunRequest("i-1", parse_statement(text), {}, None, None, ADMISSION)
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
    """Guards against running queued statements at a primary that was fenced."""
    harness = RelayedGatewayHarness()
    reply = await run_after_slot_wait(
        harness, "WRITE k v", lambda: harness.relay.leadership.fence(GROUP, 2)
    )
    assert isinstance(reply, Refused)
    assert texts_at_relay(harness) == []


async def begin(session, lease=1):
    reply = await session.handle(BeginRequest("i-1", lease, False, {}, None, ADMISSION))
    assert isinstance(reply, Answered)


async def test_lost_proxy_rolls_its_transactions_back():
    """Guards against transactions that stay open after their proxy was lost."""
    harness = RelayedGatewayHarness()
    session = harness.service.session("proxy-1")
    await begin(session)
    session.close()
    assert harness.service.running == 0
    assert harness.relay.primary.connections[0].closed


@pytest.mark.parametrize(
    "abandon",
    [
        pytest.param(lambda session: session.close(), id="proxy-lost"),
        pytest.param(lambda session: session._abandon(1), id="abandoned"),
    ],
)
async def test_transaction_abandoned_while_it_begins(abandon):
    """Guards against reusing a connection that has an open transaction."""
    harness = RelayedGatewayHarness()
    session = harness.service.session("proxy-1")
    pool = harness.relay.pool(harness.relay.primary)
    original = harness.relay.connector.connect

    async def connect(endpoint, tenant=""):
        connection = await original(endpoint, tenant)
        begin_ = connection.begin

        async def begin_and_abandon(*arguments):
            answer = await begin_(*arguments)
            abandon(session)
            return answer

        connection.begin = begin_and_abandon
        return connection

    harness.relay.connector.connect = connect
    await begin(session)
    assert harness.service.running == 0
    assert pool.idle_connections == []
    assert harness.relay.primary.connections[0].closed


async def test_statement_of_an_ended_transaction_does_not_run():
    """Guards against running a statement outside of its transaction."""
    harness = RelayedGatewayHarness()
    session = harness.service.session("proxy-1")
    await begin(session)
    await session.handle(CloseRequest(1))
    request = LeasedRequest(1, parse_statement("WRITE k v"), {}, None, ADMISSION)
    assert isinstance(await session.handle(request), Unanswered)
    assert texts_at_relay(harness) == ["BEGIN"]


async def test_connection_is_reused_after_a_rollback():
    """Guards against opening a connection for each transaction that rolls back."""
    harness = RelayedGatewayHarness()
    session = harness.service.session("proxy-1")
    await begin(session)
    reply = await session.handle(RollBackRequest(1))
    assert reply.answer.state is ConnectionState.IDLE
    await begin(session, 2)
    assert len(harness.relay.primary.connections) == 1


async def test_leaving_relay_refuses_new_statements_and_finishes_open_ones():
    """Guards against a drain that ends relayed transactions early."""
    harness = RelayedGatewayHarness()
    session = harness.service.session("proxy-1")
    await begin(session)
    harness.service.leaving = True
    request = RunRequest("i-1", parse_statement("READ k"), {}, None, None, ADMISSION)
    assert isinstance(await session.handle(request), Refused)
    commit = LeasedRequest(1, parse_statement("COMMIT"), {}, None, ADMISSION)
    assert isinstance(await session.handle(commit), Answered)
    with anyio.fail_after(1):
        await harness.service.wait_until_idle()


async def test_relay_shares_older_positions():
    """Guards against requiring a position that only a replica without lag has."""
    harness = RelayedGatewayHarness(policy=ReadPolicy.READ_YOUR_WRITES)
    harness.relay.sample_primary(age_s=1.0)
    harness.relay.primary.position = type(harness.relay.primary.position)(1, 20)
    await harness.serve("WRITE k v")
    samples = harness.selector.group_samples(GROUP)
    oldest = samples.required_position(harness.clock() - 1.1)
    assert oldest is not None
    assert oldest.index == 10


async def test_positions_that_a_relay_shares_need_no_recent_confirmation():
    """Guards against reads at primaries by followers, whose confirmations are older."""
    harness = RelayedGatewayHarness(policy=ReadPolicy.READ_YOUR_WRITES)
    harness.clock.now += UNVERIFIED_READ_S + 0.1
    harness.relay.leadership.confirm(harness.clock())
    await harness.serve("WRITE k v")
    assert harness.selector.group_samples(GROUP).samples


async def test_relay_shares_no_position_of_a_replaced_primary():
    """Guards against samples of a log that lacks a newer primary's commits."""
    harness = RelayedGatewayHarness()

    def replace_primary():
        record = make_record(epoch=2, primary="i-2")
        harness.relay.leadership.observe(GROUP, record, 2)

    reply = await run_after_slot_wait(harness, "READ k", replace_primary)
    assert reply.answer.samples == []
    assert not harness.relay.selector.group_samples(GROUP).samples


async def test_position_is_dated_when_the_relay_sent_the_statement():
    """Guards against samples that are too old by the wait in the relay's queue."""
    harness = RelayedGatewayHarness()

    def advance_clock():
        harness.clock.now += 0.3

    reply = await run_after_slot_wait(harness, "READ k", advance_clock)
    ((since_sent_s, _),) = reply.answer.samples
    assert since_sent_s == pytest.approx(0.3)


async def test_connection_cap_does_not_apply_to_control_statements():
    """Guards against a status request that finds no free connection."""
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


@pytest.mark.parametrize(
    ("leads", "refusal"),
    [pytest.param(True, None, id="leads"), pytest.param(False, "READ", id="demoted")],
)
@pytest.mark.parametrize("request_kind", ["run", "begin"])
async def test_relay_verifies_a_primary_before_reads(leads, refusal, request_kind):
    """Guards against a relay without a fence that reads at a replaced primary."""
    harness = RelayedGatewayHarness()
    harness.clock.now += UNVERIFIED_READ_S + 0.1
    harness.relay.primary.leads = leads
    session = harness.service.session("proxy-1")
    if request_kind == "run":
        request = RunRequest(
            "i-1", parse_statement("READ k"), {}, None, None, ADMISSION
        )
    else:
        request = BeginRequest("i-1", 1, True, {}, None, ADMISSION)
    reply = await session.handle(request)
    assert isinstance(reply, Refused) is (refusal is not None)
    assert bool(texts_at_relay(harness)) is leads
    assert harness.relay.control.requests == ["i-1"]


async def test_relay_needs_no_status_of_a_primary_that_runs_writes():
    """Guards against status requests at a primary whose slots are all in use."""
    harness = RelayedGatewayHarness()
    harness.clock.now += UNVERIFIED_READ_S + 0.1
    session = harness.service.session("proxy-1")
    statement = parse_statement("WRITE k v")
    reply = await session.handle(
        RunRequest("i-1", statement, {}, None, None, ADMISSION)
    )
    assert isinstance(reply, Answered)
    assert not harness.relay.control.requests
    await session.handle(
        RunRequest("i-1", parse_statement("READ k"), {}, None, None, ADMISSION)
    )
    assert texts_at_relay(harness) == ["WRITE k v", "READ k"]
    assert not harness.relay.control.requests


def leave_for_long(harness):
    harness.relay.directory.observe(make_endpoint("i-1", FAR, leaving=True))
    harness.clock.now += LEAVING_USE_LIMIT_S
    harness.relay.leadership.confirm(harness.clock())


async def test_relay_refuses_new_statements_for_an_endpoint_that_leaves_for_long():
    """Guards against new work that a relay's queue holds past the bound."""
    harness = RelayedGatewayHarness()
    reply = await run_after_slot_wait(
        harness, "WRITE k v", lambda: leave_for_long(harness)
    )
    assert isinstance(reply, Refused)
    assert texts_at_relay(harness) == []


@pytest.mark.parametrize("sent_before", [False, True])
async def test_relayed_transaction_at_a_leaving_endpoint(sent_before):
    """Guards against a first statement past the bound, and against cut transactions."""
    harness = RelayedGatewayHarness()
    session = harness.service.session("proxy-1")
    await begin(session)
    request = LeasedRequest(1, parse_statement("WRITE k v"), {}, None, ADMISSION)
    if sent_before:
        assert isinstance(await session.handle(request), Answered)
    leave_for_long(harness)
    reply = await session.handle(request)
    assert isinstance(reply, Answered) is sent_before
    assert (harness.service.running == 0) is not sent_before
