"""Parameters of prepared statements, which endpoints get as literals.

The library replaces question marks one after the other by unescaped texts, so the value
of one parameter could change the statement or take the place of another parameter.
"""

import io
import math

from mysql_mimic import packets, types
from mysql_mimic.charset import CharacterSet
from mysql_mimic.errors import ErrorCode, MysqlError
from mysql_mimic.prepared import PreparedStatement
from mysql_mimic.types import Capabilities

from rosemaryward.decisions.routing.literals import TOKEN_PATTERN, quote_text

__all__ = ["bind_parameters", "find_placeholders", "format_literal", "read_parameters"]

_PLACEHOLDER = "?"
_EXECUTE_HEAD_BYTES = 9  # statement id, flags and iteration count


def find_placeholders(sql: str) -> list[int]:
    """Return the positions of the parameters in the text of a prepared statement."""
    return [
        match.start()
        for match in TOKEN_PATTERN.finditer(sql)
        if match.lastgroup == "placeholder"
    ]


def bind_parameters(sql: str, values: list[object]) -> str:
    """Replace the parameters in a prepared statement by literals.

    Parameters
    ----------
    sql : str
    values : list of object
        One value for each parameter.

    Raises
    ------
    MysqlError
        If a value has no literal, or their number differs.
    """
    positions = find_placeholders(sql)
    if len(positions) != len(values):
        raise MysqlError(
            f"not run: expected {len(positions)} parameters, got {len(values)}",
            ErrorCode.MALFORMED_PACKET,
        )
    pieces = []
    end = 0
    for position, value in zip(positions, values, strict=True):
        pieces += [sql[end:position], format_literal(value)]
        end = position + len(_PLACEHOLDER)
    return "".join([*pieces, sql[end:]])


def format_literal(value: object) -> str:
    """Return a value as a literal; raises `MysqlError` if it has none."""
    if value is None:
        return "NULL"
    if isinstance(value, str):
        return quote_text(value)
    if isinstance(value, float) and not math.isfinite(value):
        raise MysqlError(
            f"not run: parameter: expected a finite number, got {value}",
            ErrorCode.MALFORMED_PACKET,
        )
    return str(value).upper()


def read_parameters(
    data: bytes,
    statement: PreparedStatement,
    capabilities: Capabilities,
    charset: CharacterSet,
) -> list[object]:
    """Return the parameters in the data of a ``COM_STMT_EXECUTE`` packet.

    Parameters
    ----------
    data : bytes
        Packet without its command.
    statement : PreparedStatement
        Statement to execute, with the parameters that were sent in advance.
    capabilities : Capabilities
        Capabilities of the connection.
    charset : CharacterSet
        Character set of the client.
    """
    count = statement.num_params
    if not count:
        return []
    reader = io.BytesIO(data[_EXECUTE_HEAD_BYTES:])
    sent = count
    if Capabilities.CLIENT_QUERY_ATTRIBUTES in capabilities:
        sent = types.read_uint_len(reader)  # query attributes follow the parameters
    parameters = packets._read_params(
        capabilities, charset, reader, sent, statement.param_buffers
    )
    return [value for _, value in parameters[:count]]
