import pytest

from rosemaryward.bench.history.checker import Violation, check_history
from rosemaryward.bench.history.operations import (
    Kind,
    Operation,
    Outcome,
    body_of,
    read_history,
    write_history,
)


def op(kind, key, start, **fields):
    defaults = {"session": "s", "database": "d", "outcome": Outcome.DONE}
    return Operation(
        kind=kind, key=key, start=start, end=start + 1, **defaults | fields
    )


def write(key, start, outcome=Outcome.DONE, **fields):
    return op(Kind.WRITE, key, start, outcome=outcome, **fields)


def read(key, start, rows, **fields):
    return op(Kind.READ, key, start, value="t", result=rows, **fields)


def final(*keys):
    return op(Kind.FINAL, "", 100, result=[[key, body_of(key)] for key in keys])


def row(key, echo="t"):
    return [echo, key, "s", body_of(key)]


def primary(term, start):
    return op(Kind.PRIMARY, "i", start, value=str(term))


GOOD = [
    write("a", 0, result="1.5"),
    read("a", 1, [row("a")]),
    write("b", 2, Outcome.UNKNOWN),
    write("c", 3, Outcome.NOT_RUN),
    write("c", 4, Outcome.UNKNOWN),
    write("e", 4, Outcome.NOT_RUN),
    read("b", 4, []),
    read("a", 0.5, []),
    read("a", 9, [], session="other"),
    write("x", 5, transaction="tx"),
    write("y", 5, transaction="tx"),
    primary(2, 6),
    write("f", 6.5, result="1.9"),
    write("g", 8, result="2.10"),
    final("a", "c", "f", "g", "x", "y"),
]

BAD = [
    ([write("a", 0), final()], Violation.LOST),
    ([write("a", 0, Outcome.UNKNOWN), final("a", "a")], Violation.DOUBLED),
    ([write("a", 0, Outcome.NOT_RUN), final("a")], Violation.RAN),
    ([write("a", 0), read("a", 1, [])], Violation.STALE),
    ([read("a", 0, [row("a", echo="u")])], Violation.MIXED),
    ([read("a", 0, [row("b")])], Violation.MIXED),
    ([read("a", 0, [["t", "a", "s", body_of("a")[:50]]])], Violation.MIXED),
    ([read("a", 0, [["t", "a"]])], Violation.MIXED),
    (
        [op(Kind.FINAL, "", 9, result=[["a", body_of("b")]]), write("a", 0)],
        Violation.MIXED,
    ),
    ([primary(3, 0), write("a", 2, result="2.7")], Violation.REPLACED),
    (
        [
            write("a", 0, Outcome.UNKNOWN, transaction="tx"),
            write("b", 0, Outcome.UNKNOWN, transaction="tx"),
            final("a"),
        ],
        Violation.PARTIAL,
    ),
]


def test_correct_history_passes(tmp_path):
    """Guards against findings for permitted behaviour."""
    path = tmp_path / "history.jsonl"
    write_history(path, GOOD)
    report = check_history(read_history(path))
    assert report.findings == []
    assert (report.checked_writes, report.checked_reads) == (8, 4)


@pytest.mark.parametrize(("history", "fault"), BAD)
def test_violation_is_found(history, fault):
    """Guards against a checker that misses a violation."""
    report = check_history(history)
    assert [finding.fault for finding in report.findings] == [fault]
    assert report.counts[fault] == 1
    assert not report.passed
