"""Checks of the consistency invariants over a history."""

from collections import Counter, defaultdict
from collections.abc import Iterable, Iterator
from enum import StrEnum

import msgspec

from rosemaryward.bench.history.operations import Kind, Operation, Outcome, body_of
from rosemaryward.decisions.types import LogPosition

__all__ = ["Finding", "Report", "Violation", "check_history"]

ROW_COLUMNS = 4


class Violation(StrEnum):
    """Kind of violation of an invariant."""

    LOST = "lost"
    DOUBLED = "doubled"
    STALE = "stale"
    MIXED = "mixed"
    RAN = "not run but ran"
    REPLACED = "acknowledged by a replaced primary"
    PARTIAL = "partial transaction"


class Finding(msgspec.Struct, frozen=True):
    """One violation of an invariant, at a key or transaction of a database."""

    fault: Violation
    database: str
    key: str
    detail: str


class Report(msgspec.Struct, frozen=True):
    """Result of the checks of a history.

    Parameters
    ----------
    operations : int
        Number of operations in the history.
    checked_writes : int
        Number of written items whose final state is known.
    checked_reads : int
        Number of reads with an answer.
    findings : list of Finding
    """

    operations: int
    checked_writes: int
    checked_reads: int
    findings: list[Finding]

    @property
    def counts(self) -> dict[str, int]:
        """Number of findings of each kind, including kinds without findings."""
        found = Counter(finding.fault for finding in self.findings)
        return {fault.value: found[fault] for fault in Violation}

    @property
    def passed(self) -> bool:
        """Whether no invariant was violated."""
        return not self.findings


Item = tuple[str, str]  # database and key
FinalRows = dict[str, dict[str, list[str]]]  # database, then item to bodies


def check_history(operations: Iterable[Operation]) -> Report:
    """Check a history against all invariants.

    Writes to a database without a final operation are not checked for loss,
    duplicates and partial transactions.
    """
    history = list(operations)
    final_bodies = final_rows(history)
    attempts: dict[Item, list[Operation]] = defaultdict(list)
    for item in history:
        if item.kind is Kind.WRITE:
            attempts[item.database, item.key].append(item)
    answered = [
        item
        for item in history
        if item.kind is Kind.READ and item.outcome is Outcome.DONE
    ]
    findings = [
        *check_writes(attempts, final_bodies),
        *check_transactions(attempts, final_bodies),
        *check_stale_reads(attempts, answered),
        *check_answers(answered),
        *check_terms(history),
    ]
    checked_writes = sum(database in final_bodies for database, _ in attempts)
    return Report(len(history), checked_writes, len(answered), findings)


def final_rows(history: list[Operation]) -> FinalRows:
    """Return the bodies of all rows after the run by database and item."""
    final_bodies: FinalRows = {}
    for item in history:
        if item.kind is Kind.FINAL:
            rows = final_bodies.setdefault(item.database, {})
            for key, body in item.result:
                rows.setdefault(key, []).append(body)
    return final_bodies


def check_writes(
    attempts: dict[Item, list[Operation]], final_bodies: FinalRows
) -> Iterator[Finding]:
    """Find lost and duplicate writes, refused writes that ran and foreign bodies."""
    for (database, key), item_attempts in attempts.items():
        if database not in final_bodies:
            continue
        rows = final_bodies[database].get(key, [])
        outcomes = {item.outcome for item in item_attempts}
        detail = (
            f"{len(rows)} rows after {[item.outcome.value for item in item_attempts]}"
        )
        if Outcome.DONE in outcomes and not rows:
            yield Finding(Violation.LOST, database, key, detail)
        if len(rows) > 1:
            yield Finding(Violation.DOUBLED, database, key, detail)
        if outcomes == {Outcome.NOT_RUN} and rows:
            yield Finding(Violation.RAN, database, key, detail)
        if any(body != body_of(key) for body in rows):
            yield Finding(Violation.MIXED, database, key, "stored body of another item")


def check_transactions(
    attempts: dict[Item, list[Operation]], final_bodies: FinalRows
) -> Iterator[Finding]:
    """Find transactions of which only some writes took effect."""
    transaction_keys: dict[tuple[str, str], set[str]] = defaultdict(set)
    for (database, key), item_attempts in attempts.items():
        for item in item_attempts:
            if item.transaction and database in final_bodies:
                transaction_keys[database, item.transaction].add(key)
    for (database, transaction), keys in transaction_keys.items():
        present = {key for key in keys if key in final_bodies[database]}
        if present and present != keys:
            detail = f"{len(present)} of {len(keys)} writes are there"
            yield Finding(Violation.PARTIAL, database, transaction, detail)


def check_stale_reads(
    attempts: dict[Item, list[Operation]], reads: list[Operation]
) -> Iterator[Finding]:
    """Find reads that miss an earlier acknowledged write of their own session."""
    for read in reads:
        own = [
            item
            for item in attempts.get((read.database, read.key), ())
            if item.session == read.session
            and item.outcome is Outcome.DONE
            and item.end <= read.start
        ]
        if own and not read.result:
            age_s = read.start - min(item.end for item in own)
            detail = f"read through {read.proxy} {age_s:.3f} s after the write"
            yield Finding(Violation.STALE, read.database, read.key, detail)


def check_answers(reads: list[Operation]) -> Iterator[Finding]:
    """Find answers that are incomplete or belong to another request."""
    for read in reads:
        for row in read.result:
            if not is_complete_answer(row, read):
                detail = f"answer to {read.value!r} has the row {row!r:.200}"
                yield Finding(Violation.MIXED, read.database, read.key, detail)
                break


def is_complete_answer(row: list[str], read: Operation) -> bool:
    """Return whether a row is a complete answer to the read."""
    if len(row) != ROW_COLUMNS:
        return False
    echo, item, _, body = row
    return echo == read.value and item == read.key and body == body_of(item)


def check_terms(history: list[Operation]) -> Iterator[Finding]:
    """Find writes acknowledged in a term older than one observed before their start."""
    observed_terms: dict[str, list[tuple[float, int]]] = defaultdict(list)
    for item in history:
        if item.kind is Kind.PRIMARY:
            observed_terms[item.database].append((item.end, int(item.value)))
    for item in history:
        if item.kind is not Kind.WRITE or item.outcome is not Outcome.DONE:
            continue
        if not item.result:
            continue
        term = LogPosition.from_token(item.result).term
        newer = [
            other for at, other in observed_terms[item.database] if at < item.start
        ]
        if newer and max(newer) > term:
            detail = f"acknowledged in term {term} after term {max(newer)} began"
            yield Finding(Violation.REPLACED, item.database, item.key, detail)
