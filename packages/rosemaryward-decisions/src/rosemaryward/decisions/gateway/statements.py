"""Statements as protocol adapters pass them to the gateway."""

from enum import Enum, auto

import msgspec

__all__ = [
    "AdmissionParameters",
    "ControlKind",
    "ControlStatement",
    "NamedStatement",
    "PreparedStatement",
    "Statement",
    "StatementKind",
]


class StatementKind(Enum):
    """Kind of a caller's statement."""

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
    REFUSED = auto()  # not run for want of memory; its text is the reason


class ControlKind(Enum):
    """Kind of a control statement that the proxy sends to an endpoint."""

    STATUS = auto()
    HOLD = auto()
    RELEASE = auto()
    DEMOTE = auto()


class ControlStatement(msgspec.Struct, frozen=True):
    """Control statement that the proxy sends to an endpoint.

    Parameters
    ----------
    kind : ControlKind
        Kind of the control statement.
    term : int
        Term for `HOLD` and `DEMOTE`, 0 for the others.
    """

    kind: ControlKind
    term: int = 0


class PreparedStatement(msgspec.Struct, frozen=True, array_like=True):
    """Statement that a caller prepared.

    Parameters
    ----------
    writes : bool
        Whether it writes.
    shape : str
        Text that the endpoint prepares.
    """

    writes: bool
    shape: str


class NamedStatement(msgspec.Struct, frozen=True):
    """Statement that is prepared on a connection.

    Parameters
    ----------
    name : str
        Name at the endpoint.
    prepared : PreparedStatement
        Statement as the caller prepared it.
    """

    name: str
    prepared: PreparedStatement


class Statement(msgspec.Struct, frozen=True, array_like=True):
    """One statement of a caller.

    Parameters
    ----------
    request_id : str
        Identifier of the request, sent to the endpoint unchanged.
    kind : StatementKind
        Kind of the statement.
    text : str
        Text, sent to the endpoint unchanged except for the name of a prepared
        statement.
    name : str
        Name of the session value or of the prepared statement.
    argument : str
        New session value, or the arguments of a prepared statement.
    prepared : PreparedStatement, optional
        Statement that `PREPARE` prepares.
    """

    request_id: str
    kind: StatementKind
    text: str
    name: str = ""
    argument: str = ""
    prepared: PreparedStatement | None = None


class AdmissionParameters(msgspec.Struct, frozen=True, array_like=True):
    """Parameters that order a statement in the admission queue of a relay.

    Parameters
    ----------
    rank : int
        Priority of the statement; 0 is the most urgent.
    caller, database : str
        Caller and database, which are served round robin within the rank.
    remaining_s : float
        Time until the statement expires, in seconds.
    epoch : int
        Epoch of the record that makes the endpoint the primary, 0 for a replica.
    tenant : str
        Tenant that the statement runs for, empty without one.
    """

    rank: int
    caller: str
    database: str
    remaining_s: float
    epoch: int = 0
    tenant: str = ""

    @property
    def share(self) -> str:
        """Tenant or, without one, database that shares the slots with others."""
        return self.tenant or self.database
