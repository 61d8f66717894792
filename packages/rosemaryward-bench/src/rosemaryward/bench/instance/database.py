"""In-memory SQLite database that runs several open transactions by replay."""

import random
import re
import sqlite3
import uuid
from collections.abc import Iterable, Iterator, Sequence
from contextlib import contextmanager
from datetime import UTC, date, datetime
from decimal import Decimal
from typing import Any

import msgspec
from mysql_mimic.charset import CharacterSet
from mysql_mimic.errors import MysqlError
from mysql_mimic.results import ResultColumn
from mysql_mimic.types import ColumnType

from rosemaryward.bench.instance.errors import DEADLOCK, from_sqlite, mysql_error
from rosemaryward.bench.instance.log import LogEntry, Statement
from rosemaryward.bench.instance.translate import rewrite, translate

__all__ = ["Result", "ExecutedStatement", "Database"]

INSERT = re.compile(
    r"\s*INSERT\s+(?:OR\s+\w+\s+)?INTO\s+[`\"]?(\w+)[`\"]?\s*(?:\(([^)]*)\))?", re.I
)
UPSERT = re.compile(r"\bON\s+CONFLICT\b", re.I)
SCHEMA_CHANGES = ("CREATE", "DROP T", "ALTER ")

COLUMN_TYPES = {
    int: ColumnType.LONGLONG,
    float: ColumnType.DOUBLE,
    bytes: ColumnType.BLOB,
    Decimal: ColumnType.NEWDECIMAL,
    datetime: ColumnType.DATETIME,
    date: ColumnType.DATE,
}


class Result(msgspec.Struct):
    """Result of a statement; `columns` is empty for a write."""

    columns: list[ResultColumn] = []
    rows: list[tuple[Any, ...]] = []
    affected_rows: int = 0
    last_insert_id: int = 0


class ExecutedStatement(msgspec.Struct, frozen=True):
    """A statement of an open transaction with the result that the client received.

    Parameters
    ----------
    statement : Statement
    affected_rows : int
        Number of rows that the statement changed.
    rows : list of tuple, optional
        Rows of a locking read, None for a write.
    """

    statement: Statement
    affected_rows: int
    rows: list[tuple[Any, ...]] | None = None


class Database:
    """SQLite database that holds only committed data between calls.

    A statement of an open transaction runs after a replay of the transaction's
    earlier statements, and all of them are rolled back before the call returns. A
    commit replays them permanently and fails if a result differs, so no lock is held
    between statements and several connections may have open transactions at once.
    """

    def __init__(self) -> None:
        self.time_s = 0.0
        self.random = random.Random(0)
        self.id_columns: dict[str, str] = {}
        self.reserved_ids: dict[str, int] = {}
        self.connection = self.connect()

    def close(self) -> None:
        """Close the database."""
        self.connection.close()

    def reset(self) -> None:
        """Discard all data."""
        self.close()
        self.id_columns.clear()
        self.reserved_ids.clear()
        self.connection = self.connect()

    def connect(self) -> sqlite3.Connection:
        """Open an empty database and define the MySQL functions that SQLite lacks."""
        connection = sqlite3.connect(
            ":memory:", isolation_level=None, detect_types=sqlite3.PARSE_DECLTYPES
        )
        connection.execute("PRAGMA foreign_keys = ON")
        connection.create_function("now", -1, self.now)
        connection.create_function("unix_timestamp", 0, lambda: int(self.time_s))
        connection.create_function("rand", 0, self.random.random)
        connection.create_function("uuid", 0, self.new_uuid)
        return connection

    def now(self, precision: int = 0) -> str:
        """Return the fixed time of the running statement in the format of `NOW()`."""
        moment = datetime.fromtimestamp(self.time_s, UTC)
        return moment.strftime("%Y-%m-%d %H:%M:%S.%f")[: 20 + precision].rstrip(".")

    def new_uuid(self) -> str:
        """Return a random UUID, the same one in every replay of the statement."""
        return str(uuid.UUID(int=self.random.getrandbits(128), version=4))

    def set_time(self, time_s: float) -> None:
        """Set the clock and seed the random functions for the next statement.

        Parameters
        ----------
        time_s : float
            Unix time in seconds.
        """
        self.time_s = time_s
        self.random.seed(time_s)

    @contextmanager
    def rolled_back_replay(
        self, executed: Sequence[ExecutedStatement]
    ) -> Iterator[None]:
        """Replay an open transaction, run the body, then roll everything back."""
        self.connection.execute("BEGIN")
        try:
            self.replay(executed)
            yield
        finally:
            self.connection.execute("ROLLBACK")

    def replay(self, executed: Sequence[ExecutedStatement]) -> None:
        """Run the statements of an open transaction again.

        Raises
        ------
        MysqlError
            Deadlock error if a result differs because of another commit.
        """
        for item in executed:
            try:
                result = self.run(item.statement)
            except sqlite3.Error as error:
                raise deadlock_error(str(error)) from error
            rows = result.rows if item.rows is not None else None
            if result.affected_rows != item.affected_rows or rows != item.rows:
                raise deadlock_error("a row was changed by another transaction")

    def run(self, statement: Statement) -> Result:
        """Run a statement again that has already run once."""
        self.set_time(statement.time_s)
        cursor = self.connection.execute(statement.sql)
        if cursor.description:
            return fetch_result(cursor)
        if statement.first_id:
            self.renumber_ids(statement.sql, cursor, statement.first_id)
        return Result(affected_rows=max(cursor.rowcount, 0))

    def read(
        self, sql: str, time_s: float, executed: Sequence[ExecutedStatement] = ()
    ) -> tuple[Result, str]:
        """Run a query, after a replay of the open transaction if there is one.

        Returns
        -------
        tuple of Result and str
            The result, and the query in SQLite's dialect.
        """
        if executed:
            with self.rolled_back_replay(executed):
                return self.read(sql, time_s)
        self.set_time(time_s)
        failure: sqlite3.Error | sqlite3.Warning
        for attempt in read_candidates(sql):
            try:
                return fetch_result(self.connection.execute(attempt)), attempt
            except sqlite3.OperationalError as error:
                failure = error
            except (sqlite3.Error, sqlite3.Warning) as error:
                raise from_sqlite(error) from error
        raise from_sqlite(failure) from failure

    def try_write(
        self, sql: str, time_s: float, executed: Sequence[ExecutedStatement]
    ) -> tuple[Result, list[ExecutedStatement]]:
        """Run a write of an open transaction and roll it back."""
        with self.rolled_back_replay(executed):
            return self.write(sql, time_s)

    def write_now(
        self, sql: str, time_s: float
    ) -> tuple[Result, list[ExecutedStatement]]:
        """Run a write and commit it as its own transaction."""
        self.connection.execute("BEGIN")
        try:
            outcome = self.write(sql, time_s)
        except BaseException:
            self.connection.execute("ROLLBACK")
            raise
        self.connection.execute("COMMIT")
        return outcome

    def commit(self, executed: Sequence[ExecutedStatement]) -> None:
        """Replay the statements of a transaction and commit them."""
        self.connection.execute("BEGIN")
        try:
            self.replay(executed)
        except BaseException:
            self.connection.execute("ROLLBACK")
            raise
        self.connection.execute("COMMIT")

    def apply(self, entry: LogEntry) -> None:
        """Run and commit a replicated transaction."""
        self.connection.execute("BEGIN")
        for statement in entry.statements:
            self.run(statement)
        self.connection.execute("COMMIT")

    def write(self, sql: str, time_s: float) -> tuple[Result, list[ExecutedStatement]]:
        """Run a write for the first time; parse and translate it if SQLite rejects it.

        Returns
        -------
        tuple of Result and list of ExecutedStatement
            The result, and the SQLite statements to replay.
        """
        failure: sqlite3.Error | sqlite3.Warning
        for batch in write_candidates(sql):
            try:
                return self.write_as(batch, time_s)
            except sqlite3.OperationalError as error:
                failure = error
            except (sqlite3.Error, sqlite3.Warning) as error:
                raise from_sqlite(error) from error
        raise from_sqlite(failure) from failure

    def write_as(
        self, batch: tuple[str, ...], time_s: float
    ) -> tuple[Result, list[ExecutedStatement]]:
        """Run the SQLite statements that implement one MySQL statement."""
        total, executed = Result(), []
        for sql in batch:
            self.set_time(time_s)
            cursor = self.connection.execute(sql)
            if sql[:6].upper() in SCHEMA_CHANGES:
                self.id_columns.clear()
            first_id = self.generate_ids(sql, cursor)
            affected = max(cursor.rowcount, 0)
            statement = Statement(sql, time_s, first_id)
            executed.append(ExecutedStatement(statement, affected))
            total.affected_rows += affected
            total.last_insert_id = first_id or self.inserted_id(sql, cursor)
        return total, executed

    def generate_ids(self, sql: str, cursor: sqlite3.Cursor) -> int:
        """Reserve the AUTO_INCREMENT values of an insert and return the first.

        An open transaction keeps its values although its rows are rolled back, so
        other transactions must not generate the same ones. Returns 0 if the
        statement generates none.
        """
        table, column = self.generated_column(sql)
        if not column or cursor.rowcount < 1:
            return 0
        found = (cursor.lastrowid or 0) - cursor.rowcount + 1
        first = max(found, self.reserved_ids.get(table, 0) + 1)
        self.reserved_ids[table] = first + cursor.rowcount - 1
        self.renumber_ids(sql, cursor, first)
        return first

    def renumber_ids(self, sql: str, cursor: sqlite3.Cursor, first: int) -> None:
        """Renumber the AUTO_INCREMENT values of an insert to start at `first`."""
        last = cursor.lastrowid or 0
        found = last - cursor.rowcount + 1
        if found == first:
            return
        table, column = self.generated_column(sql)
        # Negative values in between, because the old and new ranges may overlap.
        self.connection.execute(
            f"UPDATE `{table}` SET `{column}` = -(`{column}` + ?)"
            f" WHERE `{column}` BETWEEN ? AND ?",
            (first - found, found, last),
        )
        self.connection.execute(
            f"UPDATE `{table}` SET `{column}` = -`{column}`"
            f" WHERE `{column}` BETWEEN ? AND ?",
            (-(first + cursor.rowcount - 1), -first),
        )

    def generated_column(self, sql: str) -> tuple[str, str]:
        """Return the table and the AUTO_INCREMENT column that an insert fills.

        The column is empty if the table has none or the statement sets it itself.
        """
        match = INSERT.match(sql)
        if match is None or UPSERT.search(sql):
            return "", ""
        table, columns = match[1].lower(), match[2]
        column = self.id_column(table)
        given = [name.strip(' `"\n').lower() for name in (columns or "").split(",")]
        if not column or columns is None or column.lower() in given:
            return table, ""
        return table, column

    def id_column(self, table: str) -> str:
        """Return the AUTO_INCREMENT column of a table, empty if there is none."""
        if table not in self.id_columns:
            row = self.connection.execute(
                "SELECT c.name FROM sqlite_master m JOIN pragma_table_info(m.name) c"
                " WHERE m.name = ? COLLATE NOCASE AND c.pk = 1"
                " AND m.sql LIKE '%AUTOINCREMENT%'",
                [table],
            ).fetchone()
            self.id_columns[table] = row[0] if row else ""
        return self.id_columns[table]

    def inserted_id(self, sql: str, cursor: sqlite3.Cursor) -> int:
        """Return the AUTO_INCREMENT value that the insert itself set, 0 if none."""
        match = INSERT.match(sql)
        if match is None or cursor.rowcount < 1 or not self.id_column(match[1].lower()):
            return 0
        return cursor.lastrowid or 0


def deadlock_error(detail: str) -> MysqlError:
    """Return the deadlock error of a transaction that conflicts with another."""
    return mysql_error(DEADLOCK, f"Deadlock found; try restarting: {detail}")


def write_candidates(sql: str) -> Iterator[tuple[str, ...]]:
    """Yield the rewritten form of a write, then its full translation."""
    batch = rewrite_write(sql)
    yield batch
    translated = translate(sql)
    if translated != batch:
        yield translated


def read_candidates(sql: str) -> Iterable[str]:
    """Yield the rewritten form of a query, then its full translation."""
    rewritten = rewrite(sql)
    yield rewritten
    for translated in translate(sql):
        if translated != rewritten:
            yield translated


def rewrite_write(sql: str) -> tuple[str, ...]:
    """Rewrite a write for SQLite; table definitions need the full translation."""
    if sql[:6].upper() in ("CREATE", "TRUNCA"):
        return translate(sql)
    return (rewrite(sql),)


def fetch_result(cursor: sqlite3.Cursor) -> Result:
    """Fetch all rows and derive the column types from their values."""
    rows = cursor.fetchall()
    names = [item[0] for item in cursor.description or ()]
    values = list(zip(*rows, strict=True)) if rows else [()] * len(names)
    columns = [
        ResultColumn(name, *column_type(column))
        for name, column in zip(names, values, strict=True)
    ]
    return Result(columns, rows)


def column_type(values: Iterable[Any]) -> tuple[ColumnType, CharacterSet]:
    """Return the MySQL type and character set for the values of a column."""
    types = set(map(type, values)) - {type(None)}
    if types == {int, float}:
        types = {float}
    if len(types) != 1:
        return ColumnType.VAR_STRING, CharacterSet.utf8mb4
    code = COLUMN_TYPES.get(types.pop(), ColumnType.VAR_STRING)
    if code == ColumnType.BLOB:
        return code, CharacterSet.binary
    return code, CharacterSet.utf8mb4


def parse_datetime(value: bytes) -> datetime | str:
    """Parse a stored timestamp; return its text if it is not in ISO format."""
    text = value.decode()
    try:
        return datetime.fromisoformat(text)
    except ValueError:
        return text


def parse_date(value: bytes) -> date | str:
    """Parse a stored date; return its text if it is not in ISO format."""
    text = value.decode()
    try:
        return date.fromisoformat(text)
    except ValueError:
        return text


def parse_decimal(value: bytes) -> Decimal:
    """Parse a stored decimal number exactly, without binary rounding."""
    return Decimal(value.decode())


sqlite3.register_converter("DATETIME", parse_datetime)
sqlite3.register_converter("TIMESTAMP", parse_datetime)
sqlite3.register_converter("DATE", parse_date)
sqlite3.register_converter("DECIMAL", parse_decimal)
