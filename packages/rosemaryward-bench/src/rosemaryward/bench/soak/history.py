"""What callers were told, and the promises that it must keep."""

import msgspec

from rosemaryward.decisions.types import LogPosition
from rosemaryward.platform.fakes.group import ExecutedStatement, FakeGroup

__all__ = ["Operation", "Said", "check"]


class Said(msgspec.Struct):
    """One statement of a caller with its reply.

    Parameters
    ----------
    request_id, text : str
    sent_at : float
        Steady time in seconds.
    ended_at : float, optional
        When the whole reply came; None without one.
    code : str
        Error code, empty for a success.
    signature : str
    rows : tuple of str
    """

    request_id: str
    text: str
    sent_at: float
    ended_at: float | None = None
    code: str = ""
    signature: str = ""
    rows: tuple[str, ...] = ()

    @property
    def succeeded(self) -> bool:
        """Whether a success was told."""
        return self.ended_at is not None and not self.code


class Operation(msgspec.Struct):
    """A single statement or a transaction of one caller.

    Parameters
    ----------
    session : int
    database : str
    values : dict of str to str
        Session values that were acknowledged.
    began_at : float
        Steady time in seconds before its first statement or its `BEGIN` was sent.
    statements : list of Said
    transaction : bool
    keeps_nothing : bool
        Whether the caller was promised that nothing of it is kept.
    """

    session: int
    database: str
    values: dict[str, str]
    began_at: float
    statements: list[Said]
    transaction: bool = False
    keeps_nothing: bool = False


class _Commit(msgspec.Struct, frozen=True):
    session: int
    position: LogPosition
    acknowledged_at: float


def check(
    operations: list[Operation], group: FakeGroup, max_staleness_s: float
) -> list[str]:
    """Return what breaks a promise.

    Parameters
    ----------
    operations : list of Operation
    group : FakeGroup
    max_staleness_s : float
        Of the database `stale` and `own`.
    """
    said = {s.request_id: s for o in operations for s in o.statements}
    runs: dict[str, list[ExecutedStatement]] = {}
    for run in group.executed_statements:
        runs.setdefault(run.request_id, []).append(run)
    log = {commit.request_id: commit.position for commit in group.primary.log}
    broken = _check_runs(said, runs)
    broken += _check_log(group)
    broken += _check_transactions(operations, runs)
    for operation in operations:
        broken += _check_outcome(operation, runs, log)
    broken += _check_staleness(operations, runs, log, max_staleness_s)
    broken += _check_promotions(group)
    return broken


def _check_runs(
    said: dict[str, Said], runs: dict[str, list[ExecutedStatement]]
) -> list[str]:
    """Return runs that no caller asked for and successes without a signature."""
    broken = []
    for request_id, of_request in runs.items():
        sent = said.get(request_id)
        for run in of_request:
            if sent is None or not _same_text(sent.text, run.text):
                broken.append(f"unasked: {request_id} ran {run.text!r}")
    for sent in said.values():
        if not sent.succeeded or sent.signature == "-":
            continue
        signed = [r for r in runs.get(sent.request_id, []) if _signs(r, sent)]
        if not signed:
            broken.append(f"mixed: {sent.request_id} {sent.text!r} was not signed")
    return broken


def _signs(run: ExecutedStatement, sent: Said) -> bool:
    return run.signature == sent.signature and run.rows == sent.rows


def _same_text(sent: str, ran: str) -> bool:
    """Compare texts; names of prepared statements may differ."""
    if sent.startswith("EXECUTE ") and ran.startswith("EXECUTE "):
        return sent.split(" ", 2)[2] == ran.split(" ", 2)[2]
    return sent == ran


def _check_log(group: FakeGroup) -> list[str]:
    """Return requests that were committed twice."""
    broken = []
    seen: set[str] = set()
    for commit in group.primary.log:
        if commit.request_id in seen:
            broken.append(f"twice: {commit.request_id} at {commit.position}")
        seen.add(commit.request_id)
    return broken


def _check_transactions(
    operations: list[Operation], runs: dict[str, list[ExecutedStatement]]
) -> list[str]:
    """Return statements that ran in another context than their session's."""
    broken = []
    owners: dict[int, int] = {}
    for number, operation in enumerate(operations):
        for said in operation.statements:
            for run in runs.get(said.request_id, []):
                if bool(run.transaction) is not operation.transaction:
                    broken.append(f"pinned: {said.request_id} outside of its own")
                if run.values != operation.values:
                    broken.append(f"pinned: {said.request_id} had values {run.values}")
                if run.transaction:
                    owner = owners.setdefault(run.transaction, number)
                    if owner != number:
                        broken.append(f"pinned: {said.request_id} in another's")
    return broken


def _check_outcome(
    operation: Operation,
    runs: dict[str, list[ExecutedStatement]],
    log: dict[str, LogPosition],
) -> list[str]:
    """Return acknowledged commits that are lost, and refused ones that are kept."""
    broken = []
    for said in operation.statements:
        commits = said.text.startswith(("WRITE", "EXECUTE w", "COMMIT"))
        if operation.transaction and said.text != "COMMIT":
            commits = False
        if not commits:
            continue
        wrote = not operation.transaction or any(
            s.text.startswith("WRITE") and s.succeeded for s in operation.statements
        )
        if said.succeeded and wrote and said.request_id not in log:
            broken.append(f"lost: {said.request_id} {said.text!r}")
        if operation.keeps_nothing and said.request_id in log:
            broken.append(f"refused: {said.request_id} {said.text!r} was kept")
    return broken


def _check_staleness(
    operations: list[Operation],
    runs: dict[str, list[ExecutedStatement]],
    log: dict[str, LogPosition],
    max_staleness_s: float,
) -> list[str]:
    """Return reads that lack what their route demands."""
    commits = [
        _Commit(operation.session, log[said.request_id], said.ended_at)
        for operation in operations
        for said in operation.statements
        if said.succeeded and said.request_id in log and said.ended_at is not None
    ]
    broken = []
    for operation in operations:
        for said in operation.statements:
            if not said.text.startswith("READ"):
                continue
            for run in runs.get(said.request_id, []):
                missing = [
                    commit
                    for commit in commits
                    if _must_show(commit, operation, max_staleness_s)
                    and not _includes(run.position, commit.position)
                ]
                if missing:
                    broken.append(
                        f"stale: {said.request_id} at {run.instance} {run.position} "
                        f"on {operation.database} lacks {missing[0].position}"
                    )
    return broken


def _must_show(commit: _Commit, operation: Operation, max_staleness_s: float) -> bool:
    began_at = operation.began_at
    if operation.database == "primary":
        return commit.acknowledged_at < began_at
    if operation.database == "own" and commit.session == operation.session:
        return commit.acknowledged_at < began_at
    return commit.acknowledged_at < began_at - max_staleness_s


def _includes(log: LogPosition, commit: LogPosition) -> bool:
    return log.term >= commit.term and log.index >= commit.index


def _check_promotions(group: FakeGroup) -> list[str]:
    """Return tokens that two holders used."""
    holders: dict[str, str] = {}
    broken = []
    for holder, token, _ in group.promotions:
        if holders.setdefault(token, holder) != holder:
            broken.append(f"one: {holder} and {holders[token]} used token {token}")
    return broken
