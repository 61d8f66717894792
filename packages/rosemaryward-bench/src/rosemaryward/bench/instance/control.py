"""Control statements of a database group, for status, log, term and role."""

import re
from collections.abc import Awaitable, Callable

import msgspec
from mysql_mimic.results import ResultColumn
from mysql_mimic.types import ColumnType

from rosemaryward.bench.instance.database import Result
from rosemaryward.bench.instance.errors import PARSE_ERROR, mysql_error, not_run
from rosemaryward.bench.instance.group import Group
from rosemaryward.bench.instance.log import LogEntry
from rosemaryward.decisions.interfaces import InstanceRole
from rosemaryward.decisions.types import LogPosition

__all__ = ["MAX_PULLED_ENTRIES", "GroupControl", "decode_entries", "pull_statement"]

MAX_PULLED_ENTRIES = 500  # largest number of log entries in one result

STATUS_COLUMNS = (
    "term",
    "role",
    "received_term",
    "received_index",
    "applied_term",
    "applied_index",
    "leaving",
)
COUNTER_COLUMNS = ("reads_as_primary", "reads_as_replica", "commits")
LOG_COLUMNS = ("common", "entries")


def pull_statement(term: int, position: LogPosition, timeout_ms: int) -> str:
    """Return the statement that requests the log entries after a position.

    Parameters
    ----------
    term : int
        Term in which the addressed instance must be the primary.
    position : LogPosition
        Position of the last entry that the replica has.
    timeout_ms : int
        Longest time to wait for a new entry.
    """
    return (
        f"SHOW GROUP LOG FROM {position.index} TERM {position.term} "
        f"IN {term} WAIT {timeout_ms}"
    )


def decode_entries(text: str) -> list[LogEntry]:
    """Parse the column ``entries`` of the result of `pull_statement`."""
    return msgspec.json.decode(text, type=list[LogEntry])


def make_result(names: tuple[str, ...], *rows: tuple[int | str, ...]) -> Result:
    """Return a result set whose columns hold text or integers."""
    columns = [
        ResultColumn(
            name,
            ColumnType.LONGLONG if isinstance(value, int) else ColumnType.VAR_STRING,
        )
        for name, value in zip(names, rows[0], strict=True)
    ]
    return Result(columns, list(rows))


class GroupControl:
    """Parses group control statements and runs them on the group."""

    def __init__(self, group: Group) -> None:
        self.group = group
        self.statements: tuple[
            tuple[re.Pattern[str], Callable[..., Awaitable[Result]]], ...
        ] = tuple(
            (re.compile(pattern + r"\s*;?\s*$", re.I), method)
            for pattern, method in (
                (r"SHOW GROUP STATUS", self.status),
                (r"SHOW GROUP STATUS WAIT (\d+) (\d+) (\d+)", self.wait_status),
                (
                    r"SHOW GROUP LOG FROM (\d+) TERM (\d+) IN (\d+) WAIT (\d+)",
                    self.show_log,
                ),
                (
                    r"ALTER GROUP RAISE TERM (\d+) TO (\d+) BY '([^']*)'",
                    self.raise_term,
                ),
                (r"SHOW GROUP COUNTERS", self.counters),
                (r"ALTER GROUP OPEN (\d+)", self.open_writes),
                (r"ALTER GROUP FOLLOW (\d+) '([^']*)' (\d+)", self.follow),
                (r"ALTER GROUP SET LAG (\d+(?:\.\d+)?)", self.set_lag),
                (r"ALTER GROUP SET LEAVING ([01])", self.set_leaving),
            )
        )

    async def run(self, sql: str) -> Result:
        """Run one statement that starts with ``SHOW GROUP`` or ``ALTER GROUP``."""
        text = " ".join(sql.split())
        for pattern, method in self.statements:
            match = pattern.match(text)
            if match:
                return await method(*match.groups())
        raise mysql_error(PARSE_ERROR, f"unknown group control statement: {text}")

    async def status(self) -> Result:
        """Answer ``SHOW GROUP STATUS``."""
        status = self.group.status()
        row = (
            status.term,
            status.role.value,
            status.received.term,
            status.received.index,
            status.applied.term,
            status.applied.index,
            int(status.leaving),
        )
        return make_result(STATUS_COLUMNS, row)

    async def counters(self) -> Result:
        """Answer ``SHOW GROUP COUNTERS`` with the operations since the start."""
        counters = self.group.counters
        row = (
            counters.reads_as_primary,
            counters.reads_as_replica,
            counters.commits,
        )
        return make_result(COUNTER_COLUMNS, row)

    async def wait_status(self, term: str, index: str, timeout_ms: str) -> Result:
        """Answer once the log has reached a position or the timeout has passed."""
        wanted = LogPosition(int(term), int(index))
        await self.group.wait_until(
            lambda: self.group.log.last >= wanted, int(timeout_ms) / 1000
        )
        return await self.status()

    async def show_log(
        self, index: str, entry_term: str, term: str, timeout_ms: str
    ) -> Result:
        """Answer with the log entries after the last one of a replica.

        If the column ``common`` is lower than the requested index, the logs differ
        and the replica has to repeat the request from this index.
        """
        position = LogPosition(int(entry_term), int(index))
        self.require_term(int(term))
        if not self.group.log.contains(position):
            last = self.group.log.last_common(position)
            common = min(last, position.index - 1)
            return make_result(LOG_COLUMNS, (common, "[]"))
        await self.group.wait_until(
            lambda: (
                self.group.log.last.index > position.index
                or self.group.term != int(term)
            ),
            int(timeout_ms) / 1000,
        )
        self.require_term(int(term))
        entries = self.group.log.entries_after(position.index, MAX_PULLED_ENTRIES)
        text = msgspec.json.encode(entries).decode()
        return make_result(LOG_COLUMNS, (position.index, text))

    def require_term(self, term: int) -> None:
        """Raise an error unless the instance is the primary of `term`."""
        if self.group.term != term or self.group.role is not InstanceRole.PRIMARY:
            raise not_run(f"the instance is not the primary of term {term}")

    async def raise_term(self, expected: str, new: str, proposer: str) -> Result:
        """Answer ``ALTER GROUP RAISE TERM``."""
        return acceptance(self.group.raise_term(int(expected), int(new), proposer))

    async def open_writes(self, term: str) -> Result:
        """Answer ``ALTER GROUP OPEN``."""
        return acceptance(self.group.open_writes(int(term)))

    async def follow(self, term: str, host: str, port: str) -> Result:
        """Answer ``ALTER GROUP FOLLOW``."""
        return acceptance(self.group.follow(int(term), host, int(port)))

    async def set_lag(self, lag_ms: str) -> Result:
        """Answer ``ALTER GROUP SET LAG``, which sets the apply lag."""
        self.group.lag_s = float(lag_ms) / 1000
        self.group.notify()
        return acceptance(True)

    async def set_leaving(self, leaving: str) -> Result:
        """Answer ``ALTER GROUP SET LEAVING``, the notice of removal."""
        self.group.leaving = leaving == "1"
        self.group.notify()
        return acceptance(True)


def acceptance(value: bool) -> Result:
    """Return the result of a control statement that changes the group's state."""
    return make_result(("accepted",), (int(value),))
