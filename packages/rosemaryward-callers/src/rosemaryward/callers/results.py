"""Conversion of answers to result sets of `mysql-mimic`.

Values arrive in the text form of the protocol. The text protocol passes them on
unchanged; the binary protocol of prepared statements needs typed values.
"""

from collections.abc import Callable
from datetime import date, datetime, time, timedelta
from typing import Any

from mysql_mimic.results import ResultColumn, ResultSet
from mysql_mimic.types import ColumnType

from rosemaryward.decisions.messages import StatementResult

__all__ = ["to_result_set"]


def to_result_set(done: StatementResult) -> ResultSet:
    """Return the result set of an answer with columns."""
    columns = [_column(column.name, column.type_code) for column in done.columns]
    return ResultSet(rows=done.rows, columns=columns)


def _column(name: str, type_code: int) -> ResultColumn:
    try:
        kind = ColumnType(type_code)
    except ValueError:
        kind = ColumnType.VAR_STRING
    convert = _TYPED_VALUES.get(kind)
    if convert is None:
        return ResultColumn(name, kind, binary_encoder=_encode_text)
    plain = ResultColumn(name, kind)
    return ResultColumn(name, kind, binary_encoder=_typed_encoder(plain, convert))


def _typed_encoder(
    plain: ResultColumn, convert: Callable[[str], Any]
) -> Callable[[ResultColumn, Any], bytes]:
    def encode(column: ResultColumn, value: Any) -> bytes:
        return plain.binary_encode(convert(value))

    return encode


def _encode_text(column: ResultColumn, value: Any) -> bytes:
    data = value if isinstance(value, bytes) else str(value).encode()
    return _length_prefix(len(data)) + data


def _length_prefix(length: int) -> bytes:
    if length < 251:
        return bytes([length])
    if length < 1 << 16:
        return b"\xfc" + length.to_bytes(2, "little")
    if length < 1 << 24:
        return b"\xfd" + length.to_bytes(3, "little")
    return b"\xfe" + length.to_bytes(8, "little")


def _to_timedelta(text: str) -> timedelta:
    sign = -1 if text.startswith("-") else 1
    value = time.fromisoformat(text.lstrip("-"))
    return sign * timedelta(
        hours=value.hour,
        minutes=value.minute,
        seconds=value.second,
        microseconds=value.microsecond,
    )


_TYPED_VALUES: dict[ColumnType, Callable[[str], Any]] = {
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
    ColumnType.TIME: _to_timedelta,
}
