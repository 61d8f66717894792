import anyio
import pytest

from rosemaryward.decisions.gateway.directory import LEAVING_USE_LIMIT_S
from rosemaryward.decisions.gateway.environment import ReadPolicy
from rosemaryward.decisions.gateway.execution import ENDPOINT_WAIT_SHARE
from rosemaryward.decisions.gateway.outcomes import ConnectionState, Failure
from rosemaryward.decisions.gateway.tests.fakes import (
    FAR,
    GROUP,
    NEAR,
    GatewayHarness,
    make_endpoint,
    make_record,
)


def leave(harness, instance, place=FAR):
    harness.directory.observe(make_endpoint(instance.name, place, leaving=True))


def pass_time(harness, seconds):
    harness.clock.now += seconds
    harness.leadership.confirm(harness.clock())


@pytest.mark.parametrize("text", ["READ k", "WRITE k v"])
@pytest.mark.parametrize(
    ("leaving_s", "outcome"),
    [
        pytest.param(LEAVING_USE_LIMIT_S - 0.1, None, id="leaves-since-shortly"),
        pytest.param(LEAVING_USE_LIMIT_S + 0.1, Failure.BUSY, id="leaves-for-long"),
    ],
)
async def test_primary_that_nobody_replaces_gets_no_new_statement(
    text, leaving_s, outcome
):
    """Guards against new work at an endpoint past the bound of its drain."""
    harness = GatewayHarness()
    leave(harness, harness.primary)
    pass_time(harness, leaving_s)
    (reply,) = await harness.serve(text)
    assert reply.failure is outcome
    assert harness.primary.texts() == ([] if outcome else [text])
    if outcome:
        assert reply.reason.startswith("not run: ")


async def test_refusal_does_not_wait_for_a_change_that_has_not_begun():
    """Guards against callers that wait although nothing replaces the primary."""
    harness = GatewayHarness()
    leave(harness, harness.primary)
    pass_time(harness, LEAVING_USE_LIMIT_S + 0.1)
    with anyio.fail_after(harness.route.target_latency_s * ENDPOINT_WAIT_SHARE / 2):
        (reply,) = await harness.serve("WRITE k v")
    assert reply.failure is Failure.BUSY


async def test_statement_waits_while_the_leaving_primary_is_being_replaced():
    """Guards against refusals during a change of primary that ends soon."""
    harness = GatewayHarness()
    leave(harness, harness.primary)
    pass_time(harness, LEAVING_USE_LIMIT_S + 0.1)
    harness.leadership.observe(GROUP, make_record(epoch=2, serving=False), 2)
    assert not harness.selector.is_refused(GROUP)


async def test_read_goes_to_a_replica_instead_of_a_leaving_primary():
    """Guards against refusing a read that a replica can serve."""
    harness = GatewayHarness(policy=ReadPolicy.BOUNDED_STALENESS)
    leave(harness, harness.primary)
    pass_time(harness, LEAVING_USE_LIMIT_S + 0.1)
    harness.sample_primary()
    (reply,) = await harness.serve("READ k")
    assert reply.failure is None
    assert harness.near.texts() == ["READ k"]


async def test_statement_that_waited_is_not_sent_to_an_endpoint_that_left():
    """Guards against new work at a replica that left while a statement waited."""
    harness = GatewayHarness(policy=ReadPolicy.BOUNDED_STALENESS)
    harness.sample_primary()
    prepare = harness.executor.prepare

    async def wait_and_prepare(*arguments):
        leave(harness, harness.near, NEAR)
        pass_time(harness, LEAVING_USE_LIMIT_S + 0.1)
        harness.executor.prepare = prepare
        return await prepare(*arguments)

    harness.executor.prepare = wait_and_prepare
    await harness.serve("READ k")
    assert harness.near.texts() == []


async def test_open_transaction_goes_on_at_a_leaving_endpoint():
    """Guards against transactions that are cut by the bound for new work."""
    harness = GatewayHarness()
    channel, session = harness.session("BEGIN", "WRITE k v", "COMMIT")
    receive = channel.receive

    async def leave_after_the_write():
        if len(channel.statements) == 1:
            leave(harness, harness.primary)
            pass_time(harness, LEAVING_USE_LIMIT_S + 0.1)
        return await receive()

    channel.receive = leave_after_the_write
    await session.run()
    assert [reply.failure for reply in channel.replies] == [None] * 3


async def test_first_statement_of_a_transaction_is_new_work():
    """Guards against a transaction that begins at an endpoint before it leaves."""
    harness = GatewayHarness()
    channel, session = harness.session("BEGIN", "WRITE k v")
    receive = channel.receive

    async def leave_after_begin():
        if len(channel.statements) == 1:
            leave(harness, harness.primary)
            pass_time(harness, LEAVING_USE_LIMIT_S + 0.1)
        return await receive()

    channel.receive = leave_after_begin
    await session.run()
    assert channel.replies[1].failure is Failure.ROLLED_BACK
    assert channel.replies[1].state is ConnectionState.FAILED_TRANSACTION
    assert "WRITE k v" not in harness.primary.texts()


def test_endpoint_that_starts_again_gets_statements():
    """Guards against an endpoint that is refused because of its earlier process."""
    harness = GatewayHarness()
    leave(harness, harness.primary)
    pass_time(harness, LEAVING_USE_LIMIT_S + 0.1)
    assert not harness.directory.accepts_statements("i-1")
    harness.directory.observe(make_endpoint("i-1", FAR))
    assert harness.directory.accepts_statements("i-1")
