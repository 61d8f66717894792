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
from rosemaryward.decisions.routing.access import EndpointAccess
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
FIRST = Execute(ENDPOINT, "UPDATE t SET a = 1", True, 0, 1.0, transaction="7.1")
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


class Bench:
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
        pytest.param(_group(lease=False), WRITE, REASON_NOT_PRIMARY, id="no-majority"),
        pytest.param(
            _group(role=REPLICA, index=LogPosition(1, 11)),
            READ,
            REASON_BEHIND,
            id="replica-behind-read-index",
        ),
        pytest.param(
            _group(role=REPLICA, age_s=9.0),
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
    """Guards against work that runs although the reply says that it did not."""
    bench = Bench(group)
    reply = await bench.send(message)
    assert isinstance(reply, NotRun)
    assert reply.reason == reason
    assert bench.pool.log == []


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
    """Guards against new work at an endpoint that the platform is about to remove."""
    bench = Bench(_group(role=role))
    bench.group.status = msgspec.structs.replace(bench.group.status, leaving=True)
    assert isinstance(await bench.send(READ), expected)


async def test_write_without_confirmation_is_unknown():
    """Guards against an acknowledgement that no majority protects."""
    bench = Bench(_group(confirmed=False))
    assert isinstance(await bench.send(WRITE), OutcomeUnknown)


async def test_read_at_primary_needs_the_lease_after_it_ran():
    """Guards against a stale read at a primary replaced during the read."""
    bench = Bench()
    lease = iter([True, False])
    bench.group.holds_read_lease = lambda instance: next(lease)
    assert isinstance(await bench.send(READ), OutcomeUnknown)


async def test_moved_endpoint_takes_no_new_work_but_finishes_transactions():
    """Guards against a hand-over that cuts a transaction or accepts new work."""
    bench = Bench()
    await bench.send(OPENING)
    bench.is_owner = False
    refused = await bench.send(WRITE)
    assert isinstance(refused, NotRun)
    assert refused.reason == REASON_NOT_OWNER
    assert isinstance(await bench.send(FIRST, COMMIT), StatementResult)
    assert bench.owned.is_idle


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
    """Guards against an untruthful outcome of a commit."""
    bench = Bench(answers=answers)
    assert isinstance(await bench.send(OPENING, COMMIT), expected)
    assert bench.pool.lent == 0


@pytest.mark.parametrize(
    "error",
    [
        pytest.param(NotPrimaryError("fenced"), id="instance-ended-it"),
        pytest.param(OutcomeUnknownError("lost"), id="connection-lost"),
        pytest.param(StatementError(1213, "deadlock"), id="deadlock"),
    ],
)
async def test_statement_after_a_lost_transaction_does_not_run(error):
    """Guards against a statement that runs outside its rolled-back transaction."""
    bench = Bench(answers={"DELETE FROM t": error})
    lost = Execute(ENDPOINT, "DELETE FROM t", True, 0, 1.0, transaction="7.1")
    await bench.send(OPENING, lost)
    bench.pool.log.clear()
    assert isinstance(await bench.send(FIRST), NotRun)
    assert isinstance(await bench.send(COMMIT), NotRun)
    assert bench.pool.log == []


async def test_transaction_of_another_entry_is_not_found():
    """Guards against statements of two callers' transactions that mix."""
    bench = Bench()
    await bench.send(OPENING)
    assert isinstance(await bench.service.handle("other", FIRST), NotRun)


async def test_overload_leaves_the_transaction_open():
    """Guards against a refusal that ends a transaction silently."""
    bench = Bench()
    await bench.send(msgspec.structs.replace(OPENING, is_write=False))
    bench.admission.error = OverloadError("full", 0.5)
    refused = await bench.send(FIRST)
    assert (refused.reason, refused.retry_after_s) == (REASON_OVERLOAD, 0.5)
    bench.admission.error = None
    assert isinstance(await bench.send(FIRST, COMMIT), StatementResult)


async def test_transaction_holds_its_slot_until_it_ends():
    """Guards against a lock holder that queues behind those who wait for its locks."""
    bench = Bench()
    await bench.send(OPENING)
    assert bench.admission.running == 1
    bench.admission.error = OverloadError("full", 0.5)
    assert isinstance(await bench.send(FIRST), StatementResult)
    assert isinstance(await bench.send(COMMIT), StatementResult)
    assert bench.admission.running == 0


async def test_transactions_leave_a_slot_for_other_work():
    """Guards against idle transactions that occupy every slot."""
    bench = Bench()
    replies = [
        await bench.send(msgspec.structs.replace(OPENING, transaction=f"7.{number}"))
        for number in range(3)
    ]
    assert [type(reply) for reply in replies] == [
        StatementResult,
        StatementResult,
        NotRun,
    ]
    assert bench.admission.running == 2
    assert isinstance(await bench.send(WRITE), StatementResult)


async def test_commit_in_a_later_term_rolls_back():
    """Guards against a transaction that spans a change of the primary."""
    bench = Bench()
    await bench.send(OPENING)
    bench.group.status = FakeGroup(term=2).status
    reply = await bench.send(COMMIT)
    assert isinstance(reply, NotRun)
    assert "COMMIT" not in bench.pool.log


async def test_lost_entry_rolls_back():
    """Guards against locks held by a transaction whose entry proxy has died."""
    bench = Bench()
    async with bench.service:
        await bench.send(OPENING)
        bench.service.roll_back_sender("entry")
        await anyio.wait_all_tasks_blocked()
    assert bench.pool.log[-1] == "reset"
    assert bench.owned.is_idle


async def test_repeat_with_request_key_returns_the_recorded_answer():
    """Guards against a booking that a retry doubles."""
    duplicate = StatementError(1062, "duplicate")
    insert = (
        "INSERT INTO rosemaryward_requests (request_key, affected_rows, "
        "last_insert_id) VALUES ('k', 0, 0)"
    )
    select = (
        "SELECT affected_rows, last_insert_id FROM rosemaryward_requests "
        "WHERE request_key = 'k'"
    )
    bench = Bench(
        answers={insert: duplicate, select: StatementResult(rows=[["1", "42"]])}
    )
    message = Execute(ENDPOINT, "INSERT INTO t VALUES (1)", True, 0, 1.0)
    reply = await bench.send(
        msgspec.structs.replace(message, request_key="k"),
    )
    assert (reply.affected_rows, reply.last_insert_id) == (1, 42)
    assert message.sql not in bench.pool.log


async def test_sql_error_is_passed_on():
    """Guards against an SQL error reported as a fault of the proxy."""
    bench = Bench(answers={WRITE.sql: StatementError(1146, "no table")})
    assert await bench.send(WRITE) == StatementFailed(1146, "no table")
