import msgspec
import pytest

from rosemaryward.bench.soak.history import Operation, StatementRecord, check
from rosemaryward.decisions.types import LogPosition
from rosemaryward.platform.fakes.group import FakeGroup, PromotedLog, PromotionCall
from rosemaryward.platform.fakes.instance import ExecutedStatement, LogEntry

PLACES = [("north", "a"), ("south", "b")]
MAX_STALENESS_S = 1.5


def make_group(commits=(), runs=()):
    group = FakeGroup("orders", PLACES, 10)
    group.primary.log = [
        LogEntry(LogPosition(1, index), request_id, ())
        for index, request_id in enumerate(commits, 1)
    ]
    group.executed_statements = list(runs)
    return group


def ran(request_id, text, transaction=0, index=1, rows=(), values=None):
    return ExecutedStatement(
        request_id,
        text,
        "i-1",
        transaction,
        LogPosition(1, index),
        f"signed-{request_id}",
        rows,
        values or {},
    )


def statement(request_id, text, sent_at=10.0, code="", ended=True, signed=True):
    return StatementRecord(
        request_id,
        text,
        sent_at,
        sent_at + 0.1 if ended else None,
        code,
        f"signed-{request_id}" if signed else "-",
    )


def executed(request_id, access, shape="q READ note"):
    sent = statement(
        request_id, "EXECUTE r1 k" if access == "READ" else "EXECUTE w1 k v"
    )
    return msgspec.structs.replace(sent, prepared=(access, shape))


def ran_prepared(request_id, text, access, shape="q READ note", **changes):
    run = ran(request_id, text, **changes)
    return msgspec.structs.replace(run, prepared=(access, shape))


def operation(*statements, database="primary", session=1, **changes):
    values = {"values": {}, "began_at": statements[0].sent_at, **changes}
    return Operation(session, database, statements=list(statements), **values)


WRITE = "WRITE k v"

CASES = [
    pytest.param(
        [operation(statement("a", WRITE))],
        make_group(["a"], [ran("a", WRITE)]),
        None,
        id="kept-write",
    ),
    pytest.param(
        [operation(statement("a", WRITE))],
        make_group([], [ran("a", WRITE)]),
        "lost",
        id="lost-write",
    ),
    pytest.param(
        [operation(statement("a", WRITE, ended=False))],
        make_group(["a", "a"], [ran("a", WRITE), ran("a", WRITE)]),
        "twice",
        id="write-that-ran-twice",
    ),
    pytest.param(
        [operation(statement("a", WRITE, code="BUSY"), expects_no_effect=True)],
        make_group(["a"], [ran("a", WRITE)]),
        "refused",
        id="refused-write-that-was-kept",
    ),
    pytest.param(
        [], make_group([], [ran("a", "READ k")]), "unasked", id="nobody-asked"
    ),
    pytest.param(
        [operation(statement("a", "READ k", signed=False))],
        make_group([], [ran("a", "READ k")]),
        None,
        id="answered-without-the-instance",
    ),
    pytest.param(
        [operation(statement("a", "READ k"))],
        make_group([], [ran("a", "READ k", rows=("other",))]),
        "mixed",
        id="other-rows",
    ),
    pytest.param(
        [operation(statement("a", "READ k"))],
        make_group([], [ran("a", "READ k", transaction=7)]),
        "pinned",
        id="inside-a-transaction",
    ),
    pytest.param(
        [operation(statement("a", "READ k"), values={"tag": "1"})],
        make_group([], [ran("a", "READ k")]),
        "pinned",
        id="without-session-values",
    ),
    pytest.param(
        [
            operation(statement("a", WRITE, sent_at=1.0)),
            operation(statement("b", "READ k", sent_at=2.0), session=2),
        ],
        make_group(["a"], [ran("a", WRITE), ran("b", "READ k", index=0)]),
        "stale",
        id="primary-route-reads-an-old-log",
    ),
    pytest.param(
        [
            operation(statement("a", WRITE, sent_at=1.0)),
            operation(
                statement("b", "READ k", sent_at=2.0), database="stale", session=2
            ),
        ],
        make_group(["a"], [ran("a", WRITE), ran("b", "READ k", index=0)]),
        None,
        id="stale-route-within-its-bound",
    ),
    pytest.param(
        [
            operation(statement("a", WRITE, sent_at=1.0)),
            operation(statement("b", "READ k", sent_at=2.0), database="own"),
        ],
        make_group(["a"], [ran("a", WRITE), ran("b", "READ k", index=0)]),
        "stale",
        id="own-write-is-missing",
    ),
    pytest.param(
        [
            operation(statement("a", WRITE, sent_at=1.0)),
            operation(
                statement("b", "READ k", sent_at=4.0), database="stale", session=2
            ),
        ],
        make_group(["a"], [ran("a", WRITE), ran("b", "READ k", index=0)]),
        "stale",
        id="stale-route-past-its-bound",
    ),
    pytest.param(
        [operation(executed("a", "WRITE"))],
        make_group(["a"], [ran_prepared("a", "EXECUTE s7 k v", "WRITE")]),
        None,
        id="prepared-write",
    ),
    pytest.param(
        [operation(executed("a", "READ"))],
        make_group([], [ran_prepared("a", "EXECUTE s7 k", "READ", "q")]),
        "pinned",
        id="another-shape",
    ),
    pytest.param(
        [operation(executed("a", "WRITE"))],
        make_group([], [ran_prepared("a", "EXECUTE s7 k v", "WRITE")]),
        "lost",
        id="lost-prepared-write",
    ),
]


@pytest.mark.parametrize(("operations", "group", "expected"), CASES)
def test_violations_are_found(operations, group, expected):
    """Guards against a soak that passes although a guarantee was violated."""
    violations = check(operations, group, MAX_STALENESS_S)
    kinds = {line.partition(":")[0] for line in violations}
    assert kinds == ({expected} if expected else set())


def test_token_of_two_holders_is_found():
    """Guards against a soak that misses two holders of one fencing token."""
    group = make_group()
    group.promotions = [
        PromotionCall("proxy-1", "7", "i-1", 1.0),
        PromotionCall("proxy-2", "7", "i-1", 2.0),
    ]
    assert check([], group, MAX_STALENESS_S) == [
        "one: proxy-2 and proxy-1 used token 7"
    ]


@pytest.mark.parametrize(
    ("log", "promoted_at", "lost"),
    [
        pytest.param(["a"], 11.0, False, id="has-the-commit"),
        pytest.param([], 11.0, True, id="lacks-the-commit"),
        pytest.param([], 10.0, False, id="before-the-acknowledgement"),
    ],
)
def test_promotion_without_an_acknowledged_commit_is_found(log, promoted_at, lost):
    """Guards against a lost commit that a later change of primary hides."""
    group = make_group(["a"], [ran("a", WRITE)])
    group.promoted_logs = [PromotedLog("i-2", 2, promoted_at, frozenset(log))]
    violations = check([operation(statement("a", WRITE))], group, MAX_STALENESS_S)
    assert bool(violations) is lost
