import anyio
import pytest

from rosemaryward.decisions.clock import boot_time_s
from rosemaryward.decisions.gateway.outcomes import Failure
from rosemaryward.decisions.gateway.tests.fakes import GROUP, GatewayHarness
from rosemaryward.decisions.leadership.records import (
    UNVERIFIED_READ_S,
    VERIFICATION_VALIDITY_S,
)


@pytest.mark.parametrize(
    ("age_s", "leads", "silent", "outcome", "requests"),
    [
        pytest.param(UNVERIFIED_READ_S - 0.1, True, (), None, 0, id="confirmed"),
        pytest.param(UNVERIFIED_READ_S + 0.1, True, (), None, 1, id="it-leads"),
        pytest.param(UNVERIFIED_READ_S + 0.1, False, (), Failure.BUSY, 1, id="demoted"),
        pytest.param(
            UNVERIFIED_READ_S + 0.1, True, ("i-1",), Failure.BUSY, 1, id="silent"
        ),
    ],
)
@pytest.mark.parametrize("texts", [("READ k",), ("BEGIN READ", "READ k")])
async def test_read_at_a_primary_that_may_have_been_demoted(
    texts, age_s, leads, silent, outcome, requests
):
    """Guards against a read at a replaced primary whose fence did not arrive."""
    harness = GatewayHarness(clock=boot_time_s)
    harness.leadership.confirmations[0] -= age_s
    harness.primary.leads = leads
    harness.control.silent = set(silent)
    with anyio.fail_after(5.0):
        replies = await harness.serve(*texts)
    assert replies[-1].failure is outcome
    assert ("READ k" in harness.primary.texts()) is (outcome is None)
    assert (len(harness.control.requests) > 0) is (requests > 0)


async def test_writes_need_no_verification():
    """Guards against a status request for statements that a replica refuses."""
    harness = GatewayHarness()
    harness.clock.now += UNVERIFIED_READ_S + 1.0
    (reply,) = await harness.serve("WRITE k v")
    assert reply.failure is None
    assert not harness.control.requests


async def test_reads_share_a_verification():
    """Guards against a status request for each read while the store is slow."""
    harness = GatewayHarness()
    harness.clock.now += UNVERIFIED_READ_S + 0.1
    async with anyio.create_task_group() as tasks:
        for _ in range(5):
            tasks.start_soon(harness.serve, "READ k")
    assert len(harness.primary.texts()) == 5
    assert len(harness.control.requests) == 1
    harness.clock.now += VERIFICATION_VALIDITY_S + 0.1
    await harness.serve("READ k")
    assert len(harness.control.requests) == 2


async def test_failed_verification_is_shared_by_the_reads_that_waited_for_it():
    """Guards against reads that wait one after the other for a silent primary."""
    harness = GatewayHarness()
    harness.clock.now += UNVERIFIED_READ_S + 0.1
    harness.control.silent = {"i-1"}
    answers = []

    async def verify():
        answers.append(await harness.verifier.may_read(GROUP, "i-1", 1))

    async with anyio.create_task_group() as tasks:
        for _ in range(5):
            tasks.start_soon(verify)
    assert answers == [False] * 5
    assert len(harness.control.requests) == 1


@pytest.mark.parametrize("texts", [("WRITE k v",), ("BEGIN", "COMMIT")])
async def test_statement_that_only_a_primary_accepts_verifies_it(texts):
    """Guards against status requests at a primary that runs writes all the time."""
    harness = GatewayHarness()
    harness.clock.now += UNVERIFIED_READ_S + 0.1
    replies = await harness.serve(*texts, "READ k")
    assert [reply.failure for reply in replies] == [None] * len(replies)
    assert not harness.control.requests


async def test_refused_write_verifies_nothing():
    """Guards against reads at a demoted primary after a write that it refused."""
    harness = GatewayHarness(clock=boot_time_s)
    harness.leadership.confirmations[0] -= UNVERIFIED_READ_S + 0.1
    harness.primary.leads = False
    with anyio.fail_after(5.0):
        await harness.serve("WRITE k v", "READ k")
    assert "READ k" not in harness.primary.texts()
