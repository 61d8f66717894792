"""Statements as the callers' adapters hand them to the gateway."""

from enum import Enum, auto

import msgspec

__all__ = [
    "AdmissionParameters",
    "ControlKind",
    "ControlStatement",
    "PreparedStatement",
    "Statement",
    "StatementKind",
]


class StatementKind(Enum):
    """What a statement asks for."""

    BEGIN = auto()
    BEGIN_READ = auto()
    COMMIT = auto()
    ROLLBACK = auto()
    READ = auto()
    WRITE = auto()
    SET_VALUE = auto()
    PREPARE = auto()
    EXECUTE = auto()
    DEALLOCATE = auto()
    UNREADABLE = auto()


class ControlKind(Enum):
    """What the proxy asks of an endpoint beside callers' statements."""

    STATUS = auto()
    HOLD = auto()
    RELEASE = auto()
    DEMOTE = auto()


class ControlStatement(msgspec.Struct, frozen=True):
    """Control statement of the proxy.

    Parameters
    ----------
    kind : ControlKind
    term : int
        Term that `HOLD` and `DEMOTE` name.
    """

    kind: ControlKind
    term: int = 0


class PreparedStatement(msgspec.Struct, frozen=True, array_like=True):
    """A statement that a caller prepared.

    Parameters
    ----------
    writes : bool
    shape : str
        Text that the endpoint prepares.
    """

    writes: bool
    shape: str


class Statement(msgspec.Struct, frozen=True, array_like=True):
    """One request of a caller.

    Parameters
    ----------
    request_id : str
        Sent to the endpoint unchanged.
    kind : StatementKind
    text : str
        Sent to the endpoint unchanged, but for the name of a prepared statement.
    name : str
        Name of a value or of a prepared statement.
    argument : str
        New value, or what follows the name of a prepared statement.
    prepared : PreparedStatement, optional
        What `PREPARE` prepares.
    """

    request_id: str
    kind: StatementKind
    text: str
    name: str = ""
    argument: str = ""
    prepared: PreparedStatement | None = None


class AdmissionParameters(msgspec.Struct, frozen=True, array_like=True):
    """What orders a statement among those that wait at a relay.

    Parameters
    ----------
    rank : int
        0 is the most urgent.
    caller, database : str
        Served round robin within the rank.
    left_s : float
        Time until the answer is useless.
    epoch : int
        Epoch of the record that makes the endpoint the primary, 0 for a replica.
    """

    rank: int
    caller: str
    database: str
    left_s: float
    epoch: int = 0
