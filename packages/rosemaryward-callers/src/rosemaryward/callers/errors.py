"""MySQL error numbers and SQLSTATEs of the proxy's errors.

`mysql-mimic` defines only some of MySQL's error numbers. The others are created as
instances of its enumeration class that are not class attributes.
"""

from mysql_mimic.errors import SQLSTATES, ErrorCode, MysqlError

from rosemaryward.decisions.clients import NO_MEMORY
from rosemaryward.decisions.errors import (
    NotRunError,
    OutcomeUnknownError,
    StatementError,
)
from rosemaryward.decisions.routing.attributes import AttributeValueError

__all__ = ["memory_error", "shutdown_error", "to_mysql_error"]

NOT_RUN_CODE = 1205  # lock wait timeout; client libraries treat it as retryable
UNKNOWN_CODE = 1317  # query execution was interrupted
WRONG_VALUE_CODE = 1231  # wrong value for a variable
INTERNAL_CODE = 1105  # unknown error
SHUTDOWN_CODE = 1053  # server shutdown in progress
_SQLSTATES = {
    1045: b"28000",
    1053: b"08S01",
    1046: b"3D000",
    1049: b"42000",
    1054: b"42S22",
    1062: b"23000",
    1064: b"42000",
    1146: b"42S02",
    1213: b"40001",
    1231: b"42000",
    1317: b"70100",
}
_GENERAL_SQLSTATE = b"HY000"
_created_codes: dict[int, ErrorCode] = {}


def to_mysql_error(error: Exception) -> MysqlError:
    """Return the MySQL error that is sent to a caller for an exception."""
    match error:
        case MysqlError():
            return error
        case StatementError():
            return MysqlError(error.message, _error_code(error.code))
        case NotRunError():
            return MysqlError(f"not run: {error.reason}", _error_code(NOT_RUN_CODE))
        case OutcomeUnknownError():
            return MysqlError(f"outcome unknown: {error}", _error_code(UNKNOWN_CODE))
        case AttributeValueError():
            return MysqlError(f"not run: {error}", _error_code(WRONG_VALUE_CODE))
    return MysqlError(f"internal error: {error}", _error_code(INTERNAL_CODE))


def shutdown_error() -> MysqlError:
    """Return the error for a statement that is refused during a shutdown."""
    return MysqlError(
        "not run: server shutdown in progress", _error_code(SHUTDOWN_CODE)
    )


def memory_error() -> MysqlError:
    """Return the error for a statement that the memory does not suffice for."""
    return MysqlError(NO_MEMORY, _error_code(NOT_RUN_CODE))


def _error_code(number: int) -> ErrorCode:
    try:
        return ErrorCode(number)
    except ValueError:
        return _created_codes.get(number) or _create_error_code(number)


def _create_error_code(number: int) -> ErrorCode:
    code = int.__new__(ErrorCode, number)
    code._name_ = f"ERROR_{number}"
    code._value_ = number
    SQLSTATES[code] = _SQLSTATES.get(number, _GENERAL_SQLSTATE)
    _created_codes[number] = code
    return code
