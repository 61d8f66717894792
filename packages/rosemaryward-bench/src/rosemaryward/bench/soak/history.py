"""History of the callers and the checks of the guarantees over it."""

import msgspec

from rosemaryward.decisions.types import LogPosition
from rosemaryward.platform.fakes.group import FakeGroup
from rosemaryward.platform.fakes.instance import ExecutedStatement

__all__ = ["Operation", "StatementRecord", "check"]


class StatementRecord(msgspec.Struct):
    """One statement of a caller and its reply.

    Parameters
    ----------
    request_id, text : str
    sent_at : float
        Seconds of the monotonic clock.
    ended_at : float, optional
        Time at which the reply was complete; None without a complete reply.
    code : str
        Error code, empty for a success.
    signature : str
        Signature of the run, ``-`` if the reply did not come from an instance.
    rows : tuple of str
    prepared : tuple of str
        Access and shape of the prepared statement that it executes, empty for other
        statements.
    """

    request_id: str
    text: str
    sent_at: float
    ended_at: float | None = None
    code: str = ""
    signature: str = ""
    rows: tuple[str, ...] = ()
    prepared: tuple[str, ...] = ()

    @property
    def access(self) -> str:
        """First word of the text, or the access of the prepared statement."""
        return self.prepared[0] if self.prepared else self.text.partition(" ")[0]

    @property
    def succeeded(self) -> bool:
        """Whether the caller received a success."""
        return self.ended_at is not None and not self.code


class Operation(msgspec.Struct):
    """A single statement or a transaction of one caller.

    Parameters
    ----------
    session : int
        Number of the session.
    database : str
    values : dict of str to str
        Session variables that were set before.
    began_at : float
        Seconds of the monotonic clock before its first statement or its `BEGIN`.
    statements : list of StatementRecord
    transaction : bool
    expects_no_effect : bool
        Whether a reply guaranteed that the operation had no effect.
    prepared : dict of str to tuple of str
        Access and shape of the session's prepared statements, by name.
    """

    session: int
    database: str
    values: dict[str, str]
    began_at: float
    statements: list[StatementRecord]
    transaction: bool = False
    expects_no_effect: bool = False
    prepared: dict[str, tuple[str, str]] = {}


class _Commit(msgspec.Struct, frozen=True):
    session: int
    position: LogPosition
    acknowledged_at: float


def check(
    operations: list[Operation], group: FakeGroup, max_staleness_s: float
) -> list[str]:
    """Return a line for each violation of a guarantee.

    Parameters
    ----------
    operations : list of Operation
        Operations of all callers.
    group : FakeGroup
        Group that ran the statements, after the replicas have caught up.
    max_staleness_s : float
        Staleness limit in seconds of the databases `stale` and `own`.
    """
    statements = {s.request_id: s for o in operations for s in o.statements}
    runs: dict[str, list[ExecutedStatement]] = {}
    for run in group.executed_statements:
        runs.setdefault(run.request_id, []).append(run)
    log = {commit.request_id: commit.position for commit in group.primary.log}
    violations = _check_runs(statements, runs)
    violations += _check_log(group)
    violations += _check_transactions(operations, runs)
    for operation in operations:
        violations += _check_outcome(operation, runs, log)
    violations += _check_staleness(operations, runs, log, max_staleness_s)
    violations += _check_promotions(group)
    violations += _check_promoted_logs(operations, group)
    return violations


def _check_runs(
    statements: dict[str, StatementRecord], runs: dict[str, list[ExecutedStatement]]
) -> list[str]:
    """Find runs that no caller requested and replies that match no run."""
    violations = []
    for request_id, of_request in runs.items():
        sent = statements.get(request_id)
        for run in of_request:
            if sent is None or not _same_text(sent.text, run.text):
                violations.append(f"unasked: {request_id} ran {run.text!r}")
    for sent in statements.values():
        if not sent.succeeded or sent.signature == "-":
            continue
        signed = [r for r in runs.get(sent.request_id, []) if _signs(r, sent)]
        if not signed:
            violations.append(f"mixed: {sent.request_id} {sent.text!r} was not signed")
    return violations


def _signs(run: ExecutedStatement, sent: StatementRecord) -> bool:
    return run.signature == sent.signature and run.rows == sent.rows


def _same_text(sent: str, ran: str) -> bool:
    """Compare statements regardless of the names of prepared statements."""
    if sent.startswith("EXECUTE ") and ran.startswith("EXECUTE "):
        return sent.split(" ", 2)[2] == ran.split(" ", 2)[2]
    return sent == ran


def _check_log(group: FakeGroup) -> list[str]:
    """Find requests that were committed twice."""
    violations = []
    seen: set[str] = set()
    for commit in group.primary.log:
        if commit.request_id in seen:
            violations.append(f"twice: {commit.request_id} at {commit.position}")
        seen.add(commit.request_id)
    return violations


def _check_transactions(
    operations: list[Operation], runs: dict[str, list[ExecutedStatement]]
) -> list[str]:
    """Find statements that ran outside the context of their own session."""
    violations = []
    owners: dict[int, int] = {}
    for number, operation in enumerate(operations):
        for statement in operation.statements:
            for run in runs.get(statement.request_id, []):
                if bool(run.transaction) is not operation.transaction:
                    violations.append(
                        f"pinned: {statement.request_id} ran in a wrong context"
                    )
                if run.values != operation.values:
                    violations.append(
                        f"pinned: {statement.request_id} had values {run.values}"
                    )
                if run.prepared != statement.prepared:
                    violations.append(
                        f"pinned: {statement.request_id} ran as {run.prepared}"
                    )
                if run.transaction:
                    owner = owners.setdefault(run.transaction, number)
                    if owner != number:
                        violations.append(
                            f"pinned: {statement.request_id} ran in another transaction"
                        )
    return violations


def _commits(operation: Operation) -> list[StatementRecord]:
    """Return the statements of an operation that commit."""
    return [
        statement
        for statement in operation.statements
        if statement.text == "COMMIT"
        or (not operation.transaction and statement.access == "WRITE")
    ]


def _acknowledged_commits(operation: Operation) -> list[StatementRecord]:
    """Return the commits of an operation that wrote and that a caller was told of."""
    wrote = not operation.transaction or any(
        s.access == "WRITE" and s.succeeded for s in operation.statements
    )
    return [s for s in _commits(operation) if wrote and s.succeeded]


def _check_outcome(
    operation: Operation,
    runs: dict[str, list[ExecutedStatement]],
    log: dict[str, LogPosition],
) -> list[str]:
    """Find acknowledged commits that are lost and refused ones that took effect."""
    violations = [
        f"lost: {statement.request_id} {statement.text!r}"
        for statement in _acknowledged_commits(operation)
        if statement.request_id not in log
    ]
    for statement in _commits(operation):
        if operation.expects_no_effect and statement.request_id in log:
            violations.append(
                f"refused: {statement.request_id} {statement.text!r} was kept"
            )
    return violations


def _check_staleness(
    operations: list[Operation],
    runs: dict[str, list[ExecutedStatement]],
    log: dict[str, LogPosition],
    max_staleness_s: float,
) -> list[str]:
    """Find reads that miss a commit which their route guarantees to include."""
    commits = [
        _Commit(operation.session, log[statement.request_id], statement.ended_at)
        for operation in operations
        for statement in operation.statements
        if statement.succeeded
        and statement.request_id in log
        and statement.ended_at is not None
    ]
    violations = []
    for operation in operations:
        for statement in operation.statements:
            if statement.access != "READ":
                continue
            for run in runs.get(statement.request_id, []):
                missing = [
                    commit
                    for commit in commits
                    if _must_include(commit, operation, max_staleness_s)
                    and not _includes(run.position, commit.position)
                ]
                if missing:
                    violations.append(
                        f"stale: {statement.request_id} at {run.instance} "
                        f"{run.position} on {operation.database} "
                        f"lacks {missing[0].position}"
                    )
    return violations


def _must_include(
    commit: _Commit, operation: Operation, max_staleness_s: float
) -> bool:
    began_at = operation.began_at
    if operation.database == "primary":
        return commit.acknowledged_at < began_at
    if operation.database == "own" and commit.session == operation.session:
        return commit.acknowledged_at < began_at
    return commit.acknowledged_at < began_at - max_staleness_s


def _includes(log: LogPosition, commit: LogPosition) -> bool:
    return log.term >= commit.term and log.index >= commit.index


def _check_promotions(group: FakeGroup) -> list[str]:
    """Find fencing tokens that two holders used."""
    holders: dict[str, str] = {}
    violations = []
    for call in group.promotions:
        holder = holders.setdefault(call.token, call.holder)
        if holder != call.holder:
            violations.append(
                f"one: {call.holder} and {holder} used token {call.token}"
            )
    return violations


def _check_promoted_logs(operations: list[Operation], group: FakeGroup) -> list[str]:
    """Find commits that were acknowledged before a promotion that lacks them."""
    commits = [
        statement
        for operation in operations
        for statement in _acknowledged_commits(operation)
    ]
    violations = []
    for promoted in group.promoted_logs:
        missing = [
            commit
            for commit in commits
            if commit.ended_at is not None
            and commit.ended_at < promoted.promoted_at
            and commit.request_id not in promoted.request_ids
        ]
        if missing:
            violations.append(
                f"lost: {promoted.instance} was promoted in term {promoted.term} "
                f"without {len(missing)} acknowledged commits, such as "
                f"{missing[0].request_id}"
            )
    return violations
