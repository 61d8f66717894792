import struct

import pytest
import sqlglot
from hypothesis import given
from hypothesis import strategies as st
from mysql_mimic.errors import MysqlError
from sqlglot.tokens import TokenType

from rosemaryward.callers.parameters import bind_parameters, find_placeholders
from rosemaryward.callers.tests import test_server
from rosemaryward.callers.tests.test_server import _connect

STMT_PREPARE, STMT_EXECUTE = 0x16, 0x17
VAR_STRING = 253

runner, server = test_server.runner, test_server.server


@pytest.mark.parametrize(
    ("sql", "count"),
    [
        ("SELECT ?, ?", 2),
        ("SELECT 'it''s ?', ?", 1),
        (r"SELECT 'it\'s ?', ?", 1),
        ('SELECT ?, "it\'s"', 1),
        ("SELECT `a?b`, ?", 1),
        ("SELECT ? -- don't ask ?", 1),
        ("SELECT ? # don't ask ?\n, ?", 2),
        ("SELECT /* ? don't */ ?", 1),
        ("SELECT /*! STRAIGHT_JOIN */ ?", 1),
        ("SELECT 1--?", 1),
    ],
)
def test_parameters_are_found(sql, count):
    """Guards against question marks of literals and comments that count."""
    assert len(find_placeholders(sql)) == count


PIECES = st.sampled_from(
    ["SELECT ", ", ", "'it''s ?'", '"a\'?"', "`b?`", "/* don't ? */", "1", " -- ?'\n"]
)
VALUES = st.one_of(
    st.text(st.characters(exclude_categories=["Cs"])),
    st.sampled_from(["'", '"', "?", "\\", "\\1", "\\g<0>", "a', 'b", "`", "--", "/*"]),
    st.integers(),
    st.none(),
)


@given(pieces=st.lists(PIECES), values=st.lists(VALUES, max_size=4))
def test_any_value_is_one_literal(pieces, values):
    """Guards against a value that ends its literal or takes another one's place."""
    sql = " ".join([*pieces, *["?,"] * len(values), "1"])
    before = [_literal_of(token) for token in _tokens(sql)]
    expected = iter(values)
    wanted = [
        next(expected) if token == (TokenType.PLACEHOLDER, "?") else token
        for token in before
    ]
    bound = bind_parameters(sql, values)
    found = [_literal_of(token) for token in _tokens(bound)]
    assert [x for x in found if x[0] is not TokenType.DASH] == [
        x if isinstance(x, tuple) else _expected(x) for x in wanted
    ]


def _tokens(sql):
    return sqlglot.tokenize(sql, read="mysql")


def _literal_of(token):
    return token.token_type, token.text


def _expected(value):
    if value is None:
        return TokenType.NULL, "NULL"
    if isinstance(value, str):
        return TokenType.STRING, value
    return TokenType.NUMBER, str(abs(value))


@pytest.mark.parametrize(
    "values", [["a"], ["a", "b", "c"], [1.0, float("nan")], [1.0, float("inf")]]
)
def test_values_that_cannot_be_bound_are_refused(values):
    """Guards against running a statement with other values than the caller's."""
    with pytest.raises(MysqlError, match="not run"):
        bind_parameters("SELECT ?, ?", values)


async def test_text_of_a_parameter_does_not_change_the_statement(server, runner):
    """Guards against a quote in a value that ends the literal."""
    connection = await _connect(server)
    sql = "INSERT INTO t VALUES (?, 'it''s ?', ?)"
    await connection._execute_command(STMT_PREPARE, sql)
    head = await connection.read_packet()
    statement_id, _, count = struct.unpack("<IHH", head.get_all_data()[1:9])
    for _ in range(count + 1):  # the definitions and their end
        await connection.read_packet()
    values = [b"it's \" ?", b"a', 'b"]
    data = struct.pack("<IBI", statement_id, 0, 1)
    data += b"\0\1" + bytes([VAR_STRING, 0]) * count
    data += b"".join(bytes([len(value)]) + value for value in values)
    await connection._execute_command(STMT_EXECUTE, data)
    assert (await connection.read_packet()).is_ok_packet()
    connection.close()
    assert [call[1] for call in runner.calls] == [
        "INSERT INTO t VALUES ('it''s \" ?', 'it''s ?', 'a'', ''b')"
    ]
