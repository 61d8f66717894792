"""Literals in the text of SQL statements."""

__all__ = ["quote_text"]


def quote_text(text: str) -> str:
    """Return a text as a string literal for the default SQL mode of MySQL."""
    escaped = text.replace("\\", "\\\\").replace("'", "''")
    return f"'{escaped}'"
