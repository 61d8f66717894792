"""Drains of a real proxy process while callers keep sending statements."""

import signal

import anyio
import pytest

from rosemaryward.bench.soak.tests.test_signals import (
    running_fleet,
    wait_for_event,
    wait_for_exit,
    wait_for_primary,
)
from rosemaryward.platform.fakes.caller import FakeCaller, ReplyLostError

STATEMENT_DURATION_S = 0.15
STATEMENT_TIMEOUT_S = 2.5
CONNECT_DELAY_S = 2.5  # after the drain has told the open sessions to end
LAST_STATEMENT_WAIT_S = 1.0


async def query_until_closed(caller, text):
    """Run statements one after the other; return the id of the unanswered one."""
    while True:
        try:
            await caller.query(text, STATEMENT_TIMEOUT_S)
        except ReplyLostError as error:
            return str(error)


async def run_statements(address, begin, unanswered):
    """Run statements in a new session until it ends; record the unanswered one."""
    try:
        async with FakeCaller(address, "primary") as caller:
            if begin:
                await caller.query("BEGIN", STATEMENT_TIMEOUT_S)
            unanswered.append(await query_until_closed(caller, "WRITE k1 a"))
    except ReplyLostError as error:
        unanswered.append(str(error))  # rejected at the start-up


@pytest.mark.parametrize(
    ("begin", "opened_late"),
    [
        pytest.param(False, False, id="session"),
        pytest.param(True, False, id="busy-transaction"),
        pytest.param(False, True, id="session-opened-late"),
    ],
)
async def test_drain_answers_statements_that_instances_run(
    begin, opened_late, tmp_path
):
    """Guards against a drain that ends while a session still sends statements."""
    unanswered = []
    async with (
        running_fleet(tmp_path, STATEMENT_DURATION_S) as fleet,
        anyio.create_task_group() as tasks,
    ):
        (proxy,) = fleet.proxies
        async with FakeCaller(proxy.address, "primary") as caller:
            await wait_for_primary(caller)
        if opened_late:  # another session keeps the drain going
            tasks.start_soon(run_statements, proxy.address, True, [])
        else:
            tasks.start_soon(run_statements, proxy.address, begin, unanswered)
        await anyio.sleep(0.5)
        proxy.send_signal(signal.SIGTERM)
        await wait_for_event(proxy.child, "drain begins")
        if opened_late:
            await anyio.sleep(CONNECT_DELAY_S)
            await run_statements(proxy.address, begin, unanswered)
        assert await wait_for_exit(proxy.child) == 0
        await anyio.sleep(LAST_STATEMENT_WAIT_S)
        ran = {statement.request_id for statement in fleet.group.executed_statements}
    assert not ran.intersection(unanswered)
