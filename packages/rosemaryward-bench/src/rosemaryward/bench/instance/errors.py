"""MySQL error numbers and the conversion of SQLite errors to them."""

import re
import sqlite3

from mysql_mimic.errors import SQLSTATES, ErrorCode, MysqlError

__all__ = [
    "READ_ONLY",
    "DEADLOCK",
    "PARSE_ERROR",
    "mysql_error",
    "not_run",
    "from_sqlite",
]

READ_ONLY = 1290
DEADLOCK = 1213
PARSE_ERROR = 1064

SQLSTATE_BY_ERROR = {
    1022: b"23000",
    1048: b"23000",
    1050: b"42S01",
    1054: b"42S22",
    1062: b"23000",
    1146: b"42S02",
    DEADLOCK: b"40001",
    1305: b"42000",
    1452: b"23000",
    PARSE_ERROR: b"42000",
}

SQLITE_MESSAGES = (
    (re.compile(r"UNIQUE constraint failed: (.+)"), 1062, "Duplicate entry for key {}"),
    (re.compile(r"NOT NULL constraint failed: (.+)"), 1048, "Column {} cannot be null"),
    (re.compile(r"FOREIGN KEY constraint failed"), 1452, "Foreign key fails"),
    (re.compile(r"CHECK constraint failed: (.+)"), 3819, "Check constraint {} fails"),
    (re.compile(r"no such table: (.+)"), 1146, "Table '{}' doesn't exist"),
    (re.compile(r"no such column: (.+)"), 1054, "Unknown column '{}'"),
    (re.compile(r"no column named (.+)"), 1054, "Unknown column '{}'"),
    (re.compile(r"table (.+) already exists"), 1050, "Table {} already exists"),
    (re.compile(r"no such function: (.+)"), 1305, "FUNCTION {} does not exist"),
    (re.compile(r"(.*syntax error.*)"), PARSE_ERROR, "{}"),
)
UNKNOWN_ERROR = 1105


def error_code(number: int) -> ErrorCode:
    """Return the code of a MySQL error number, adding it if the library lacks it."""
    try:
        return ErrorCode(number)
    except ValueError:
        code = int.__new__(ErrorCode, number)
        code._name_ = f"ER_{number}"
        code._value_ = number
        SQLSTATES.setdefault(code, SQLSTATE_BY_ERROR.get(number, b"HY000"))
        return code


def mysql_error(number: int, message: str) -> MysqlError:
    """Return an exception with a MySQL error number and a message."""
    return MysqlError(message, error_code(number))


def not_run(reason: str) -> MysqlError:
    """Return the error for a statement that the instance refused before running it."""
    return mysql_error(READ_ONLY, f"not run: {reason}")


def from_sqlite(error: sqlite3.Error | sqlite3.Warning) -> MysqlError:
    """Convert an SQLite error to the corresponding MySQL error."""
    message = str(error)
    for pattern, number, text in SQLITE_MESSAGES:
        match = pattern.search(message)
        if match:
            return mysql_error(number, text.format(*match.groups()))
    return mysql_error(UNKNOWN_ERROR, message)
