"""Literals, quoted names and comments in the text of SQL statements."""

import re

__all__ = ["TOKEN_PATTERN", "quote_text"]

TOKEN_PATTERN = re.compile(
    r"(?P<text>'(?:[^'\\]|\\.|'')*'|\"(?:[^\"\\]|\\.|\"\")*\")"
    r"|(?P<name>`(?:[^`]|``)*`)"
    r"|(?P<comment>--(?=\s|\Z)[^\n]*|\#[^\n]*|/\*(?!M?!).*?\*/)"
    r"|(?P<executed>/\*M?!)"
    r"|(?P<number>\b\d+(?:\.\d+)?\b)"
    r"|(?P<placeholder>\?)",
    re.DOTALL,
)
"""Parts of a statement in which quotes, question marks and keywords mean nothing.

Comments that endpoints execute, such as ``/*! … */``, are parts of the statement; only
the start of one is matched.
"""


def quote_text(text: str) -> str:
    """Return a text as a string literal for the default SQL mode of MySQL."""
    escaped = text.replace("\\", "\\\\").replace("'", "''")
    return f"'{escaped}'"
