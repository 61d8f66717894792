import anyio
import msgspec
import pytest

from rosemaryward.decisions.errors import (
    NotPrimaryError,
    OutcomeUnknownError,
    OverloadError,
    StatementError,
)
from rosemaryward.decisions.interfaces import InstanceRole
from rosemaryward.decisions.messages import (
    EndTransaction,
    Execute,
    NotRun,
    OutcomeUnknown,
    StatementFailed,
    StatementResult,
)
from rosemaryward.decisions.routing.access import (
    LEAVING_USE_LIMIT_S,
    EndpointAccess,
)
from rosemaryward.decisions.routing.owned_endpoint import OwnedEndpoint
from rosemaryward.decisions.routing.owner import OwnerService
from rosemaryward.decisions.routing.replies import (
    REASON_BEHIND,
    REASON_NOT_OWNER,
    REASON_NOT_PRIMARY,
    REASON_OVERLOAD,
)
from rosemaryward.decisions.routing.tests.fakes import (
    ENDPOINT,
    FakeAdmission,
    FakeGroup,
    FakePool,
)
from rosemaryward.decisions.types import LogPosition

REPLICA = InstanceRole.REPLICA
WRITE = Execute(ENDPOINT, "UPDATE t SET a = 1", True, 0, 1.0)
READ = Execute(ENDPOINT, "SELECT a FROM t", False, 0, 1.0, fresh=True)
IN_TRANSACTION = Execute(
    ENDPOINT, "UPDATE t SET a = 1", True, 0, 1.0, transaction="7.1"
)
OPENING = Execute(
    ENDPOINT,
    "UPDATE t SET a = 1",
    True,
    0,
    1.0,
    transaction="7.1",
    begins_transaction=True,
)
COMMIT = EndTransaction(ENDPOINT, "7.1", True, 1.0)


class OwnerHarness:
    """Owner service with one endpoint on a fake queue, pool and group."""

    def __init__(self, group=None, answers=None):
        self.group = group or FakeGroup()
        self.pool = FakePool(answers)
        self.admission = FakeAdmission()
        self.owned = OwnedEndpoint(
            EndpointAccess(ENDPOINT, self.admission, self.pool, self.group)
        )
        self.is_owner = True
        self.service = OwnerService(lambda endpoint: self.is_owner, lambda e: None)
        self.service.endpoints[ENDPOINT] = self.owned

    async def send(self, *messages):
        reply = None
        for message in messages:
            reply = await self.service.handle("entry", message)
        return reply


def _group(**changes):
    group = FakeGroup(role=changes.pop("role", InstanceRole.PRIMARY))
    for name, value in changes.items():
        setattr(group, name, value)
    return group


@pytest.mark.parametrize(
    ("group", "message", "reason"),
    [
        pytest.param(_group(role=REPLICA), WRITE, REASON_NOT_PRIMARY, id="replica"),
        pytest.param(
            _group(has_lease=False), WRITE, REASON_NOT_PRIMARY, id="no-majority"
        ),
        pytest.param(
            _group(role=REPLICA, read_index_position=LogPosition(1, 11)),
            READ,
            REASON_BEHIND,
            id="replica-behind-read-index",
        ),
        pytest.param(
            _group(role=REPLICA, instance_staleness_s=9.0),
            Execute(ENDPOINT, "SELECT 1", False, 0, 1.0, max_staleness_s=5.0),
            REASON_BEHIND,
            id="replica-too-old",
        ),
        pytest.param(
            _group(),
            Execute(ENDPOINT, "SELECT 1", False, 0, 1.0, minimum=LogPosition(2, 1)),
            REASON_BEHIND,
            id="primary-of-an-older-term",
        ),
    ],
)
async def test_refused_before_it_runs(group, message, reason):
    """Guards against a statement that runs although the reply is "not run"."""
    harness = OwnerHarness(group)
    reply = await harness.send(message)
    assert isinstance(reply, NotRun)
    assert reply.reason == reason
    assert harness.pool.log == []


@pytest.mark.parametrize(
    ("role", "expected"),
    [
        pytest.param(REPLICA, NotRun, id="replica"),
        pytest.param(
            InstanceRole.PRIMARY, StatementResult, id="primary-until-it-is-replaced"
        ),
    ],
)
async def test_leaving_instance(role, expected):
    """Guards against reads at a replica that the platform is about to remove."""
    harness = OwnerHarness(_group(role=role))
    harness.group.status = msgspec.structs.replace(harness.group.status, leaving=True)
    assert isinstance(await harness.send(READ), expected)


@pytest.mark.parametrize("message", [READ, WRITE, OPENING])
@pytest.mark.parametrize(
    ("leaving_s", "expected"),
    [
        pytest.param(LEAVING_USE_LIMIT_S - 0.1, StatementResult, id="since-shortly"),
        pytest.param(LEAVING_USE_LIMIT_S, NotRun, id="for-long"),
    ],
)
async def test_primary_that_leaves_for_long_gets_no_new_statement(
    message, leaving_s, expected
):
    """Guards against new work at a leaving instance that nothing replaces."""
    harness = OwnerHarness(_group(instance_leaving_s=leaving_s))
    assert isinstance(await harness.send(message), expected)
    assert (harness.pool.log == []) is (expected is NotRun)


async def test_open_transaction_goes_on_at_a_leaving_primary():
    """Guards against transactions that are cut by the bound for new work."""
    harness = OwnerHarness()
    assert isinstance(await harness.send(OPENING), StatementResult)
    harness.group.instance_leaving_s = LEAVING_USE_LIMIT_S
    message = msgspec.structs.replace(OPENING, begins_transaction=False)
    assert isinstance(await harness.send(message), StatementResult)


async def test_write_without_confirmation_is_unknown():
    """Guards against an acknowledged write that no majority has received."""
    harness = OwnerHarness(_group(confirms_writes=False))
    assert isinstance(await harness.send(WRITE), OutcomeUnknown)


async def test_read_at_primary_needs_the_lease_after_it_ran():
    """Guards against a stale read at a primary that was replaced during the read."""
    harness = OwnerHarness()
    lease = iter([True, False])
    harness.group.holds_read_lease = lambda instance: next(lease)
    assert isinstance(await harness.send(READ), OutcomeUnknown)


async def test_handed_over_endpoint_refuses_new_work_but_ends_transactions():
    """Guards against a handover that breaks a transaction or accepts new work."""
    harness = OwnerHarness()
    await harness.send(OPENING)
    harness.is_owner = False
    refused = await harness.send(WRITE)
    assert isinstance(refused, NotRun)
    assert refused.reason == REASON_NOT_OWNER
    assert isinstance(await harness.send(IN_TRANSACTION, COMMIT), StatementResult)
    assert harness.owned.is_idle


@pytest.mark.parametrize(
    ("answers", "expected"),
    [
        pytest.param({}, StatementResult, id="committed"),
        pytest.param(
            {"COMMIT": OutcomeUnknownError("lost")}, OutcomeUnknown, id="lost"
        ),
        pytest.param({"COMMIT": NotPrimaryError("fenced")}, NotRun, id="fenced"),
        pytest.param(
            {"COMMIT": StatementError(1213, "x")}, StatementFailed, id="conflict"
        ),
        pytest.param(
            {"COMMIT": StatementError(1105, "x")}, OutcomeUnknown, id="other-error"
        ),
    ],
)
async def test_commit_outcomes(answers, expected):
    """Guards against a wrong outcome reported for a commit."""
    harness = OwnerHarness(answers=answers)
    assert isinstance(await harness.send(OPENING, COMMIT), expected)
    assert harness.pool.in_use == 0


@pytest.mark.parametrize(
    "error",
    [
        pytest.param(NotPrimaryError("fenced"), id="instance-ended-it"),
        pytest.param(OutcomeUnknownError("lost"), id="connection-lost"),
        pytest.param(StatementError(1213, "deadlock"), id="deadlock"),
    ],
)
async def test_statement_after_a_lost_transaction_does_not_run(error):
    """Guards against a statement that runs after its transaction was rolled back."""
    harness = OwnerHarness(answers={"DELETE FROM t": error})
    lost = Execute(ENDPOINT, "DELETE FROM t", True, 0, 1.0, transaction="7.1")
    await harness.send(OPENING, lost)
    harness.pool.log.clear()
    assert isinstance(await harness.send(IN_TRANSACTION), NotRun)
    assert isinstance(await harness.send(COMMIT), NotRun)
    assert harness.pool.log == []


async def test_transaction_of_another_sender_is_not_found():
    """Guards against a statement that joins the transaction of another proxy."""
    harness = OwnerHarness()
    await harness.send(OPENING)
    assert isinstance(await harness.service.handle("other", IN_TRANSACTION), NotRun)


async def test_overload_leaves_the_transaction_open():
    """Guards against a refused statement that ends its transaction."""
    harness = OwnerHarness()
    await harness.send(msgspec.structs.replace(OPENING, is_write=False))
    harness.admission.error = OverloadError("full", 0.5)
    refused = await harness.send(IN_TRANSACTION)
    assert (refused.reason, refused.retry_after_s) == (REASON_OVERLOAD, 0.5)
    harness.admission.error = None
    assert isinstance(await harness.send(IN_TRANSACTION, COMMIT), StatementResult)


async def test_transaction_holds_its_slot_until_it_ends():
    """Guards against a lock holder queued behind statements that wait for its locks."""
    harness = OwnerHarness()
    await harness.send(OPENING)
    assert harness.admission.running == 1
    harness.admission.error = OverloadError("full", 0.5)
    assert isinstance(await harness.send(IN_TRANSACTION), StatementResult)
    assert isinstance(await harness.send(COMMIT), StatementResult)
    assert harness.admission.running == 0


async def test_transactions_leave_a_slot_for_other_statements():
    """Guards against idle transactions that hold every slot."""
    harness = OwnerHarness()
    replies = [
        await harness.send(msgspec.structs.replace(OPENING, transaction=f"7.{number}"))
        for number in range(3)
    ]
    assert [type(reply) for reply in replies] == [
        StatementResult,
        StatementResult,
        NotRun,
    ]
    assert harness.admission.running == 2
    assert isinstance(await harness.send(WRITE), StatementResult)


async def test_commit_in_a_later_term_rolls_back():
    """Guards against a commit after a change of the primary."""
    harness = OwnerHarness()
    await harness.send(OPENING)
    harness.group.status = FakeGroup(term=2).status
    reply = await harness.send(COMMIT)
    assert isinstance(reply, NotRun)
    assert "COMMIT" not in harness.pool.log


async def test_disconnected_sender_is_rolled_back():
    """Guards against locks held by a transaction whose entry proxy disconnected."""
    harness = OwnerHarness()
    async with harness.service:
        await harness.send(OPENING)
        harness.service.roll_back_sender("entry")
        await anyio.wait_all_tasks_blocked()
    assert harness.pool.log[-1] == "reset"
    assert harness.owned.is_idle


async def test_repeat_with_request_key_returns_the_recorded_answer():
    """Guards against a write that a retry runs twice."""
    duplicate = StatementError(1062, "duplicate")
    insert = (
        "INSERT INTO rosemaryward_requests (request_key, affected_rows, "
        "last_insert_id) VALUES ('k', 0, 0)"
    )
    select = (
        "SELECT affected_rows, last_insert_id FROM rosemaryward_requests "
        "WHERE request_key = 'k'"
    )
    harness = OwnerHarness(
        answers={insert: duplicate, select: StatementResult(rows=[["1", "42"]])}
    )
    message = Execute(ENDPOINT, "INSERT INTO t VALUES (1)", True, 0, 1.0)
    reply = await harness.send(
        msgspec.structs.replace(message, request_key="k"),
    )
    assert (reply.affected_rows, reply.last_insert_id) == (1, 42)
    assert message.sql not in harness.pool.log


async def test_sql_error_is_forwarded():
    """Guards against an SQL error reported as a failure of the proxy."""
    harness = OwnerHarness(answers={WRITE.sql: StatementError(1146, "no table")})
    assert await harness.send(WRITE) == StatementFailed(1146, "no table")
