"""Classification of SQL statements.

Parsing with `sqlglot` costs about a millisecond, so results are kept in a bounded
cache under a fingerprint in which literals are replaced.
"""

import re
from collections import OrderedDict
from enum import Enum, auto

import msgspec
import sqlglot
from sqlglot import exp

__all__ = ["StatementKind", "StatementClass", "Classifier", "MAX_STATEMENT_CHARACTERS"]

CACHE_SIZE = 10_000  # fingerprints
MAX_STATEMENT_CHARACTERS = 4 * 1024 * 1024  # bytes
_LITERAL = re.compile(
    r"'(?:[^'\\]|\\.|'')*'|\"(?:[^\"\\]|\\.|\"\")*\"|\b\d+(?:\.\d+)?\b", re.DOTALL
)
_FIRST_WORDS = re.compile(r"\s*(?:/\*.*?\*/\s*)*(\w+)(?:\s+(\w+))?", re.DOTALL)


class StatementKind(Enum):
    """What a statement means for routing."""

    READ = auto()
    WRITE = auto()
    BEGIN = auto()
    COMMIT = auto()
    ROLLBACK = auto()
    LOCAL = auto()


class StatementClass(msgspec.Struct, frozen=True):
    """Kind of a statement and the tables it names.

    Parameters
    ----------
    kind : StatementKind
        ``LOCAL`` statements concern the connection only, such as ``SET NAMES``.
    tables : frozenset of str
    """

    kind: StatementKind
    tables: frozenset[str] = frozenset()


_BY_FIRST_WORD = {
    "begin": StatementKind.BEGIN,
    "commit": StatementKind.COMMIT,
    "rollback": StatementKind.ROLLBACK,
    "set": StatementKind.LOCAL,
    "use": StatementKind.LOCAL,
    "kill": StatementKind.LOCAL,
}
_LOCAL_SHOWS = frozenset(
    {"variables", "session", "global", "status", "warnings", "errors", "collation"}
)
_READ_WORDS = frozenset({"select", "show", "describe", "desc", "explain", "with"})
_PARSED_WORDS = frozenset({"select", "with", "insert", "update", "delete", "replace"})


class Classifier:
    """Classifies statements with a bounded cache.

    Parameters
    ----------
    size : int
        Fingerprints kept; the least recently used one is dropped.
    """

    __slots__ = ("cache", "size")

    def __init__(self, size: int = CACHE_SIZE) -> None:
        self.size = size
        self.cache: OrderedDict[str, StatementClass] = OrderedDict()

    def classify(self, sql: str) -> StatementClass:
        """Return the class of a statement.

        A statement that cannot be parsed counts as a write, which is always safe:
        the endpoint reports the syntax error.
        """
        fingerprint = _LITERAL.sub("?", sql)
        cached = self.cache.get(fingerprint)
        if cached is not None:
            self.cache.move_to_end(fingerprint)
            return cached
        result = _classify(fingerprint)
        self.cache[fingerprint] = result
        if len(self.cache) > self.size:
            self.cache.popitem(last=False)
        return result


def _classify(sql: str) -> StatementClass:
    words = _FIRST_WORDS.match(sql)
    if words is None:
        return StatementClass(StatementKind.WRITE)
    first = words[1].lower()
    second = (words[2] or "").lower()
    if first == "start" and second == "transaction":
        return StatementClass(StatementKind.BEGIN)
    if first == "rollback" and second == "to":
        return StatementClass(StatementKind.WRITE)
    if first in _BY_FIRST_WORD:
        return StatementClass(_BY_FIRST_WORD[first])
    if first == "show" and second in _LOCAL_SHOWS:
        return StatementClass(StatementKind.LOCAL)
    if first in _PARSED_WORDS:
        return _classify_parsed(sql)
    kind = StatementKind.READ if first in _READ_WORDS else StatementKind.WRITE
    return StatementClass(kind)


def _classify_parsed(sql: str) -> StatementClass:
    try:
        tree = sqlglot.parse_one(sql, dialect="mysql")
    except sqlglot.errors.SqlglotError:
        return StatementClass(StatementKind.WRITE)
    common = {cte.alias_or_name.lower() for cte in tree.find_all(exp.CTE)}
    tables = frozenset(
        table.name.lower() for table in tree.find_all(exp.Table)
    ) - frozenset(common)
    if not isinstance(tree, exp.Query):
        return StatementClass(StatementKind.WRITE, tables)
    if not tables:
        return StatementClass(_kind_without_tables(tree))
    if tree.find(exp.Lock) is not None or _calls_write_function(tree):
        return StatementClass(StatementKind.WRITE, tables)
    return StatementClass(StatementKind.READ, tables)


def _kind_without_tables(tree: exp.Query) -> StatementKind:
    """Return the kind of a query such as ``SELECT 1`` or ``SELECT @@version``.

    Functions of the connection, such as ``LAST_INSERT_ID()``, are answered by the
    entry, because the proxy's connections to endpoints are shared.
    """
    if _calls_write_function(tree):
        return StatementKind.WRITE
    return StatementKind.LOCAL


_WRITE_FUNCTIONS = frozenset({"get_lock", "release_lock", "sleep", "nextval"})


def _calls_write_function(tree: exp.Query) -> bool:
    return any(
        call.name.lower() in _WRITE_FUNCTIONS for call in tree.find_all(exp.Anonymous)
    )
