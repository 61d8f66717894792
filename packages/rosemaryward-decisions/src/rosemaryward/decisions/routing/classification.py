"""Classification of SQL statements.

Parsing with `sqlglot` takes about a millisecond, so results are kept in a bounded
cache. Its key is a fingerprint of the statement, in which literals are replaced.
"""

import re
from collections import OrderedDict
from enum import Enum, auto

import msgspec
import sqlglot
from sqlglot import exp

from rosemaryward.decisions.routing.literals import TOKEN_PATTERN

__all__ = ["StatementKind", "StatementClass", "Classifier", "MAX_STATEMENT_CHARACTERS"]

CACHED_FINGERPRINTS = 10_000
CACHED_CHARACTERS = 8 * 1024 * 1024  # of all fingerprints together
MAX_STATEMENT_CHARACTERS = 4 * 1024 * 1024
_EXECUTED_COMMENT = re.compile(r"/\*M?!")
_FIRST_WORDS_PATTERN = re.compile(r"\s*(\w+)(?:\s+(\w+))?")


class StatementKind(Enum):
    """Kind of a statement as routing distinguishes it."""

    READ = auto()
    WRITE = auto()
    BEGIN = auto()
    COMMIT = auto()
    ROLLBACK = auto()
    LOCAL = auto()


class StatementClass(msgspec.Struct, frozen=True):
    """Kind of a statement and the tables that it names.

    Parameters
    ----------
    kind : StatementKind
        ``LOCAL`` statements, such as ``SET NAMES``, affect the connection only.
    tables : frozenset of str
        Names in lower case.
    """

    kind: StatementKind
    tables: frozenset[str] = frozenset()


_KIND_BY_FIRST_WORD = {
    "begin": StatementKind.BEGIN,
    "commit": StatementKind.COMMIT,
    "rollback": StatementKind.ROLLBACK,
    "set": StatementKind.LOCAL,
    "use": StatementKind.LOCAL,
    "kill": StatementKind.LOCAL,
}
_LOCAL_SHOW_WORDS = frozenset(
    {"variables", "session", "global", "status", "warnings", "errors", "collation"}
)
_READ_WORDS = frozenset({"select", "show", "describe", "desc", "explain", "with"})
_PARSED_WORDS = frozenset({"select", "with", "insert", "update", "delete", "replace"})


class Classifier:
    """Classifies statements with a bounded cache.

    Parameters
    ----------
    size : int
        Maximum number of cached fingerprints; the least recently used is evicted.
    max_characters : int
        Maximum length of all cached fingerprints together.

    Attributes
    ----------
    characters : int
        Length of all cached fingerprints together.
    """

    __slots__ = ("cache", "characters", "max_characters", "size")

    def __init__(
        self, size: int = CACHED_FINGERPRINTS, max_characters: int = CACHED_CHARACTERS
    ) -> None:
        self.size = size
        self.max_characters = max_characters
        self.characters = 0
        self.cache: OrderedDict[str, StatementClass] = OrderedDict()

    def classify(self, sql: str) -> StatementClass:
        """Return the class of a statement.

        A statement that cannot be parsed counts as a write. That is always safe,
        because the primary runs it and reports any syntax error.
        """
        fingerprint = TOKEN_PATTERN.sub(_replace_token, sql)
        cached = self.cache.get(fingerprint)
        if cached is not None:
            self.cache.move_to_end(fingerprint)
            return cached
        result = _classify(fingerprint)
        self._keep(fingerprint, result)
        return result

    def _keep(self, fingerprint: str, result: StatementClass) -> None:
        """Add a class to the cache, and evict others until it is within its bounds."""
        self.cache[fingerprint] = result
        self.characters += len(fingerprint)
        while len(self.cache) > self.size or self.characters > self.max_characters:
            evicted, _ = self.cache.popitem(last=False)
            self.characters -= len(evicted)


def _replace_token(match: re.Match[str]) -> str:
    """Return what stands for a literal, name or comment in a fingerprint."""
    if match.lastgroup in ("name", "executed"):
        return match[0]
    return " " if match.lastgroup == "comment" else "?"


def _classify(sql: str) -> StatementClass:
    if _EXECUTED_COMMENT.search(sql):
        return StatementClass(StatementKind.WRITE)
    words = _FIRST_WORDS_PATTERN.match(sql)
    if words is None:
        return StatementClass(StatementKind.WRITE)
    first = words[1].lower()
    second = (words[2] or "").lower()
    if first == "start" and second == "transaction":
        return StatementClass(StatementKind.BEGIN)
    if first == "rollback" and second == "to":
        return StatementClass(StatementKind.WRITE)
    if first in _KIND_BY_FIRST_WORD:
        return StatementClass(_KIND_BY_FIRST_WORD[first])
    if first == "show" and second in _LOCAL_SHOW_WORDS:
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
    cte_names = {cte.alias_or_name.lower() for cte in tree.find_all(exp.CTE)}
    tables = frozenset(
        table.name.lower() for table in tree.find_all(exp.Table)
    ) - frozenset(cte_names)
    if not isinstance(tree, exp.Query):
        return StatementClass(StatementKind.WRITE, tables)
    if not tables:
        return StatementClass(_kind_without_tables(tree))
    if tree.find(exp.Lock) is not None or _calls_write_function(tree):
        return StatementClass(StatementKind.WRITE, tables)
    return StatementClass(StatementKind.READ, tables)


def _kind_without_tables(tree: exp.Query) -> StatementKind:
    """Return the kind of a query such as ``SELECT 1`` or ``SELECT @@version``.

    The entry proxy answers functions of the connection, such as
    ``LAST_INSERT_ID()``, because callers share its connections to endpoints.
    """
    if _calls_write_function(tree):
        return StatementKind.WRITE
    return StatementKind.LOCAL


_WRITE_FUNCTIONS = frozenset({"get_lock", "release_lock", "sleep", "nextval"})


def _calls_write_function(tree: exp.Query) -> bool:
    return any(
        call.name.lower() in _WRITE_FUNCTIONS for call in tree.find_all(exp.Anonymous)
    )
