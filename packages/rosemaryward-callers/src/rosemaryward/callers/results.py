"""Conversion of statement results to result sets of `mysql-mimic`.

Values are kept in the encoding of the MySQL text protocol. Results of the text
protocol contain them unchanged; the binary protocol of prepared statements needs
typed values.
"""

from collections.abc import Callable
from datetime import date, datetime, time, timedelta
from typing import Any

from mysql_mimic.results import ResultColumn, ResultSet
from mysql_mimic.types import ColumnType

from rosemaryward.decisions.messages import StatementResult

__all__ = ["to_result_set"]


def to_result_set(result: StatementResult) -> ResultSet:
    """Return the result set of a statement that returned columns."""
    columns = [
        _result_column(column.name, column.type_code) for column in result.columns
    ]
    return ResultSet(rows=result.rows, columns=columns)


def _result_column(name: str, type_code: int) -> ResultColumn:
    try:
        column_type = ColumnType(type_code)
    except ValueError:
        column_type = ColumnType.VAR_STRING
    parse = _TEXT_PARSERS.get(column_type)
    if parse is None:
        return ResultColumn(name, column_type, binary_encoder=_encode_text)
    typed = ResultColumn(name, column_type)
    return ResultColumn(name, column_type, binary_encoder=_typed_encoder(typed, parse))


def _typed_encoder(
    typed: ResultColumn, parse: Callable[[str], Any]
) -> Callable[[ResultColumn, Any], bytes]:
    """Return a binary encoder that parses the text of a value first."""

    def encode(column: ResultColumn, value: Any) -> bytes:
        return typed.binary_encode(parse(value))

    return encode


def _encode_text(column: ResultColumn, value: Any) -> bytes:
    data = value if isinstance(value, bytes) else str(value).encode()
    return _encode_length(len(data)) + data


def _encode_length(length: int) -> bytes:
    """Return a length-encoded integer of the MySQL protocol."""
    if length < 251:
        return bytes([length])
    if length < 1 << 16:
        return b"\xfc" + length.to_bytes(2, "little")
    if length < 1 << 24:
        return b"\xfd" + length.to_bytes(3, "little")
    return b"\xfe" + length.to_bytes(8, "little")


def _parse_timedelta(text: str) -> timedelta:
    sign = -1 if text.startswith("-") else 1
    value = time.fromisoformat(text.lstrip("-"))
    return sign * timedelta(
        hours=value.hour,
        minutes=value.minute,
        seconds=value.second,
        microseconds=value.microsecond,
    )


_TEXT_PARSERS: dict[ColumnType, Callable[[str], Any]] = {
    ColumnType.TINY: int,
    ColumnType.SHORT: int,
    ColumnType.INT24: int,
    ColumnType.LONG: int,
    ColumnType.LONGLONG: int,
    ColumnType.YEAR: int,
    ColumnType.FLOAT: float,
    ColumnType.DOUBLE: float,
    ColumnType.DATE: date.fromisoformat,
    ColumnType.DATETIME: datetime.fromisoformat,
    ColumnType.TIMESTAMP: datetime.fromisoformat,
    ColumnType.TIME: _parse_timedelta,
}
