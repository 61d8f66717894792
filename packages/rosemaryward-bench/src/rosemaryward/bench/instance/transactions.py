"""Open transaction of one connection to an instance."""

from rosemaryward.bench.instance.database import ExecutedStatement, Result
from rosemaryward.bench.instance.errors import not_run
from rosemaryward.bench.instance.group import Group
from rosemaryward.bench.instance.log import Statement

__all__ = ["Transaction"]


class Transaction:
    """Transaction of one connection, valid in the term in which it began.

    Parameters
    ----------
    group : Group
    """

    __slots__ = ("executed", "group", "term")

    def __init__(self, group: Group) -> None:
        self.group = group
        self.term = group.term
        self.executed: list[ExecutedStatement] = []

    def require_term(self) -> None:
        """Raise an error if a change of the term has rolled the transaction back."""
        if self.executed and self.group.term != self.term:
            raise not_run("the transaction was rolled back when the term changed")

    def read(self, sql: str, locking: bool) -> Result:
        """Run a query that sees the transaction's own writes.

        A commit fails if another transaction has changed the result of a locking read.
        """
        self.require_term()
        now = self.group.wall_time()
        result, text = self.group.database.read(sql, now, self.executed)
        if locking:
            self.executed.append(
                ExecutedStatement(Statement(text, now), 0, result.rows)
            )
        return result

    def write(self, sql: str) -> Result:
        """Run a write that is visible only to this transaction."""
        self.require_term()
        self.group.require_primary()
        now = self.group.wall_time()
        result, executed = self.group.database.try_write(sql, now, self.executed)
        self.executed += executed
        return result

    def commit(self) -> None:
        """Commit the writes and append them to the log."""
        self.require_term()
        writes = [item.statement for item in self.executed if item.rows is None]
        if not writes:
            return
        self.group.require_primary()
        self.group.database.commit(self.executed)
        self.group.append(writes)
