"""Session of a caller connection: attributes, positions and open transaction."""

import itertools

from rosemaryward.decisions.routing.attributes import Attributes, format_token
from rosemaryward.decisions.routing.rules import UserAccount
from rosemaryward.decisions.types import EndpointId, LogPosition

__all__ = ["CallerSession", "CallerTransaction"]

_connection_ids = itertools.count(1)


class CallerTransaction:
    """Open transaction of a caller.

    Parameters
    ----------
    name : str
        Name that is unique within this proxy.
    request_key : str
        Key that makes a retry of the whole transaction idempotent; empty for none.
    """

    __slots__ = ("endpoint", "name", "request_key")

    def __init__(self, name: str, request_key: str) -> None:
        self.name = name
        self.request_key = request_key
        self.endpoint: EndpointId | None = None


class CallerSession:
    """State of one caller connection.

    Parameters
    ----------
    account : UserAccount
    database : str
        Default database, empty for none.
    """

    __slots__ = (
        "account",
        "attributes",
        "autocommit",
        "connection_id",
        "database",
        "positions",
        "transaction",
        "transaction_ids",
    )

    def __init__(self, account: UserAccount, database: str = "") -> None:
        self.account = account
        self.database = database
        self.attributes = Attributes()
        self.positions: dict[str, LogPosition] = {}
        self.transaction: CallerTransaction | None = None
        self.autocommit = True
        self.connection_id = next(_connection_ids)
        self.transaction_ids = itertools.count(1)

    @property
    def caller(self) -> str:
        """Key of the caller for fair queueing."""
        name = self.attributes.session or f"#{self.connection_id}"
        return f"{self.account.name}/{name}"

    @property
    def token(self) -> str:
        """Session token that a caller may set on another connection."""
        return format_token(self.positions)

    def begin(self) -> CallerTransaction:
        """Open a transaction; its endpoint is chosen with the first statement."""
        name = f"{self.connection_id}.{next(self.transaction_ids)}"
        self.transaction = CallerTransaction(name, self.take_request_key())
        return self.transaction

    def take_request_key(self) -> str:
        """Return the request key and clear it, as a key identifies one write only."""
        key = self.attributes.request
        if key:
            self.attributes = self.attributes.without("request")
        return key

    def record_write(self, database: str, position: LogPosition) -> None:
        """Record the position of an acknowledged write; positions never decrease."""
        known = self.positions.get(database, LogPosition())
        self.positions[database] = max(known, position)

    def minimum_position(self, database: str) -> LogPosition | None:
        """Return the log position that a read of a database must see.

        Returns
        -------
        LogPosition or None
            None if the position is unknown: a named session without a token may
            have written through another proxy.
        """
        own = self.positions.get(database, LogPosition())
        token = self.attributes.token
        if token is not None:
            return max(own, token.get(database, LogPosition()))
        return None if self.attributes.session else own
