"""Attributes that a caller gives with a connection or a statement.

They come as query attributes, as user variables
(``SET @rosemaryward_session = 'name'``) or in a leading comment
(``/* rosemaryward session=name rank=urgent */``).
"""

import re
from collections.abc import Mapping

import msgspec

from rosemaryward.decisions.errors import RosemarywardError
from rosemaryward.decisions.types import LogPosition, Rank

__all__ = [
    "AttributeValueError",
    "Attributes",
    "parse_attributes",
    "parse_comment",
    "parse_set_statement",
    "parse_token",
    "format_token",
]

MAX_NAME_LENGTH = 128  # characters
MAX_DEADLINE_S = 300.0
ATTRIBUTE_PREFIX = "rosemaryward_"
_COMMENT = re.compile(r"\s*/\*\s*rosemaryward\s+(.*?)\*/", re.DOTALL)
_PAIR = re.compile(r"(\w+)=(\S+)")
_SET = re.compile(
    rf"\s*SET\s+@{ATTRIBUTE_PREFIX}(\w+)\s*:?=\s*"
    r"(?:'([^']*)'|\"([^\"]*)\"|(NULL)|([\w.+-]+))\s*;?\s*$",
    re.IGNORECASE,
)
_NAME = re.compile(r"[\w.:@/+-]+$")


class AttributeValueError(RosemarywardError):
    """An attribute has an unknown name or a value out of range."""


class Attributes(msgspec.Struct, frozen=True):
    """Parsed attributes; None or empty means not given.

    Parameters
    ----------
    session : str
    token : dict of str to LogPosition, optional
        Positions by database.
    rank : Rank, optional
    request : str
        Request key of the next write.
    staleness_s : float, optional
    deadline_s : float, optional
    """

    session: str = ""
    token: dict[str, LogPosition] | None = None
    rank: Rank | None = None
    request: str = ""
    staleness_s: float | None = None
    deadline_s: float | None = None

    def merged_with(self, other: "Attributes") -> "Attributes":
        """Return these attributes with those that `other` gives."""
        return Attributes(
            session=other.session or self.session,
            token=self.token if other.token is None else other.token,
            rank=self.rank if other.rank is None else other.rank,
            request=other.request or self.request,
            staleness_s=_first(other.staleness_s, self.staleness_s),
            deadline_s=_first(other.deadline_s, self.deadline_s),
        )

    def without(self, name: str) -> "Attributes":
        """Return these attributes without the named one."""
        return msgspec.structs.replace(self, **{name: getattr(Attributes(), name)})


def parse_attributes(values: Mapping[str, str]) -> Attributes:
    """Parse attribute values by name without the prefix.

    Raises
    ------
    AttributeValueError
        If a name is unknown or a value is out of range.
    """
    parsed: dict[str, object] = {}
    for name, text in values.items():
        parse = _PARSERS.get(name)
        if parse is None:
            raise AttributeValueError(
                f"attribute {name!r}: expected one of {', '.join(_PARSERS)}"
            )
        parsed[name] = parse(name, text)
    return msgspec.convert(parsed, Attributes)


def parse_comment(sql: str) -> Attributes | None:
    """Return the attributes of a leading comment, or None without one."""
    match = _COMMENT.match(sql)
    return None if match is None else parse_attributes(dict(_PAIR.findall(match[1])))


def parse_set_statement(sql: str) -> dict[str, str] | None:
    """Return name and value of ``SET @rosemaryward_…``, or None for other text.

    A value of NULL is returned as an empty text, which clears the attribute.
    """
    match = _SET.match(sql)
    if match is None:
        return None
    value = next((g for g in (match[2], match[3], match[5]) if g is not None), "")
    return {match[1].lower(): value}


def parse_token(text: str) -> dict[str, LogPosition]:
    """Parse a token such as ``bookings=3.1042,credits=3.7``.

    Raises
    ------
    AttributeValueError
        If a part is malformed.
    """
    positions = {}
    for part in filter(None, text.split(",")):
        database, _, position = part.partition("=")
        try:
            positions[database] = LogPosition.from_token(position)
        except ValueError as error:
            raise AttributeValueError(f"attribute 'token': {error}") from error
    return positions


def format_token(positions: Mapping[str, LogPosition]) -> str:
    """Return the token that a caller may give on another connection."""
    return ",".join(f"{name}={p.to_token()}" for name, p in sorted(positions.items()))


def _first(new: float | None, old: float | None) -> float | None:
    return old if new is None else new


def _parse_name(name: str, text: str) -> str:
    if len(text) > MAX_NAME_LENGTH or not _NAME.match(text):
        raise AttributeValueError(
            f"attribute {name!r}: expected 1 to {MAX_NAME_LENGTH} letters, digits or "
            f"any of _.:@/+-, got {text[:40]!r}"
        )
    return text


def _parse_rank(name: str, text: str) -> Rank:
    try:
        return Rank[text.upper()]
    except KeyError as error:
        raise AttributeValueError(
            f"attribute {name!r}: expected urgent, normal or bulk, got {text[:40]!r}"
        ) from error


def _parse_seconds(name: str, text: str) -> float:
    try:
        value = float(text)
    except ValueError:
        value = -1.0
    if not 0.0 <= value <= MAX_DEADLINE_S:
        raise AttributeValueError(
            f"attribute {name!r}: expected 0 to {MAX_DEADLINE_S:g} seconds, "
            f"got {text[:40]!r}"
        )
    return value


def _parse_token_text(name: str, text: str) -> dict[str, LogPosition]:
    return parse_token(text)


_PARSERS = {
    "session": _parse_name,
    "token": _parse_token_text,
    "rank": _parse_rank,
    "request": _parse_name,
    "staleness_s": _parse_seconds,
    "deadline_s": _parse_seconds,
}
