"""Types that all packages share: ranks, places, terms and log positions."""

from enum import IntEnum
from typing import Annotated, NewType

import msgspec

__all__ = [
    "MAX_COUNT",
    "Count",
    "EndpointId",
    "HostId",
    "LogPosition",
    "Place",
    "Rank",
    "Term",
]

MAX_COUNT = (1 << 63) - 1
"""Largest number that fits into the messages between members."""

Count = Annotated[int, msgspec.Meta(ge=0, le=MAX_COUNT)]
"""Number that is checked when a value or message is decoded."""

HostId = NewType("HostId", str)
Term = NewType("Term", int)


class Rank(IntEnum):
    """Priority class of a statement, most urgent first."""

    URGENT = 0
    NORMAL = 1
    BULK = 2


class LogPosition(msgspec.Struct, frozen=True, order=True, array_like=True):
    """Position in the log of a database group.

    Positions are ordered by term first, so a log that a newer primary has extended is
    ahead of every log of an older primary.

    Parameters
    ----------
    term : int
        Term of the primary that wrote the log entry.
    index : int
        Index of the entry in the log, from 1; 0 for an empty log.
    """

    term: Count = 0
    index: Count = 0

    def to_token(self) -> str:
        """Return the text form ``term.index`` that callers send back."""
        return f"{self.term}.{self.index}"

    @classmethod
    def from_token(cls, token: str) -> "LogPosition":
        """Parse the text form of a position.

        Parameters
        ----------
        token : str
            Text such as ``"3.1042"``.

        Returns
        -------
        LogPosition

        Raises
        ------
        ValueError
            If the text is not two non-negative decimal numbers.
        """
        term, separator, index = token.partition(".")
        if not (separator and term.isdecimal() and index.isdecimal()):
            raise ValueError(f"expected a position such as '3.1042', found {token!r}")
        position = cls(int(term), int(index))
        if max(position.term, position.index) > MAX_COUNT:
            raise ValueError(f"expected numbers of 63 bits, found {token[:100]!r}")
        return position


class Place(msgspec.Struct, frozen=True, array_like=True):
    """Region and failure domain of a host.

    Parameters
    ----------
    region : str
    failure_domain : str
    """

    region: str
    failure_domain: str


class EndpointId(msgspec.Struct, frozen=True, order=True, array_like=True):
    """One instance of one database.

    Parameters
    ----------
    database : str
    instance : str
    """

    database: str
    instance: str

    def __str__(self) -> str:
        return f"{self.database}/{self.instance}"
