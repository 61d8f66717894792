"""Attributes that a caller sets for a connection or a statement.

A caller sends them as query attributes, as user variables
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

MAX_NAME_CHARACTERS = 128
MAX_DURATION_S = 300.0  # of a deadline and of a staleness
ATTRIBUTE_PREFIX = "rosemaryward_"
_COMMENT_PATTERN = re.compile(r"\s*/\*\s*rosemaryward\s+(.*?)\*/", re.DOTALL)
_PAIR_PATTERN = re.compile(r"(\w+)=(\S+)")
_SET_PATTERN = re.compile(
    rf"\s*SET\s+@{ATTRIBUTE_PREFIX}(\w+)\s*:?=\s*"
    r"(?:'([^']*)'|\"([^\"]*)\"|(NULL)|([\w.+-]+))\s*;?\s*$",
    re.IGNORECASE,
)
_NAME_PATTERN = re.compile(r"[\w.:@/+-]+")


class AttributeValueError(RosemarywardError):
    """An attribute has an unknown name or an invalid value."""


class Attributes(msgspec.Struct, frozen=True):
    """Parsed attributes; None or an empty text means not set.

    Parameters
    ----------
    session : str
        Session name, which connections of one session share.
    token : dict of str to LogPosition, optional
        Log positions by database that reads must see.
    rank : Rank, optional
    request : str
        Request key of the next write.
    staleness_s : float, optional
        Maximum staleness of reads in seconds.
    deadline_s : float, optional
        Deadline of a statement in seconds from its arrival.
    """

    session: str = ""
    token: dict[str, LogPosition] | None = None
    rank: Rank | None = None
    request: str = ""
    staleness_s: float | None = None
    deadline_s: float | None = None

    def merged_with(self, other: "Attributes") -> "Attributes":
        """Return these attributes, overridden by those that `other` sets."""
        return Attributes(
            session=other.session or self.session,
            token=self.token if other.token is None else other.token,
            rank=self.rank if other.rank is None else other.rank,
            request=other.request or self.request,
            staleness_s=_override(other.staleness_s, self.staleness_s),
            deadline_s=_override(other.deadline_s, self.deadline_s),
        )

    def without(self, name: str) -> "Attributes":
        """Return these attributes with the named one not set."""
        return msgspec.structs.replace(self, **{name: getattr(Attributes(), name)})


def parse_attributes(values: Mapping[str, str]) -> Attributes:
    """Parse attribute values.

    Parameters
    ----------
    values : Mapping of str to str
        Texts by attribute name without the prefix.

    Raises
    ------
    AttributeValueError
        If a name is unknown or a value is invalid.
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
    """Return the attributes in a leading comment, or None if there is none."""
    match = _COMMENT_PATTERN.match(sql)
    return (
        None
        if match is None
        else parse_attributes(dict(_PAIR_PATTERN.findall(match[1])))
    )


def parse_set_statement(sql: str) -> dict[str, str] | None:
    """Return name and value of ``SET @rosemaryward_…``, or None for other SQL.

    A value of NULL becomes an empty text, which clears the attribute.
    """
    match = _SET_PATTERN.match(sql)
    if match is None:
        return None
    value = next((g for g in (match[2], match[3], match[5]) if g is not None), "")
    return {match[1].lower(): value}


def parse_token(text: str) -> dict[str, LogPosition]:
    """Parse a session token such as ``bookings=3.1042,credits=3.7``.

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
    """Return the session token that a caller may set on another connection."""
    return ",".join(f"{name}={p.to_token()}" for name, p in sorted(positions.items()))


def _override(new: float | None, old: float | None) -> float | None:
    return old if new is None else new


def _parse_name(name: str, text: str) -> str:
    if len(text) > MAX_NAME_CHARACTERS or not _NAME_PATTERN.fullmatch(text):
        raise AttributeValueError(
            f"attribute {name!r}: expected 1 to {MAX_NAME_CHARACTERS} letters, "
            f"digits or any of _.:@/+-, got {text[:40]!r}"
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
    if not 0.0 <= value <= MAX_DURATION_S:
        raise AttributeValueError(
            f"attribute {name!r}: expected 0 to {MAX_DURATION_S:g} seconds, "
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
