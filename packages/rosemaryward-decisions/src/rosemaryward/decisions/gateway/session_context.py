"""State of one session that determines how its statements run."""

import contextlib
from collections.abc import Iterator

from rosemaryward.decisions.gateway.outcomes import ConnectError
from rosemaryward.decisions.gateway.statements import (
    PreparedStatement,
    Statement,
    StatementKind,
)
from rosemaryward.decisions.gateway.targets import Target
from rosemaryward.decisions.types import LogPosition

__all__ = ["SessionContext"]


class SessionContext:
    """Values, prepared statements and newest commit of one session.

    Parameters
    ----------
    caller : str
        Name of the caller, by which admission queues share slots fairly. The
        fingerprint of its key if there are tenants.

    Attributes
    ----------
    tenant : str
        Tenant that the current operation runs for, empty without one.
    sent : bool
        Whether anything of the current operation may have reached an endpoint.
    values : dict of str to str
        Session values by name.
    prepared : dict of str to PreparedStatement
        Prepared statements by the caller's names.
    position : LogPosition
        Newest commit of the session.
    target : Target, optional
        Target of the current statement, None until one is selected.
    """

    __slots__ = (
        "caller",
        "position",
        "prepared",
        "sent",
        "target",
        "tenant",
        "values",
    )

    def __init__(self, caller: str) -> None:
        self.caller = caller
        self.tenant = ""
        self.sent = False
        self.values: dict[str, str] = {}
        self.prepared: dict[str, PreparedStatement] = {}
        self.position = LogPosition()
        self.target: Target | None = None

    def writes(self, statement: Statement) -> bool:
        """Return whether a statement writes."""
        if statement.kind is StatementKind.EXECUTE:
            return self.prepared[statement.name].writes
        return statement.kind is StatementKind.WRITE

    @contextlib.contextmanager
    def sending(self) -> Iterator[None]:
        """Record that the operation is sent, unless `ConnectError` is raised."""
        sent_before = self.sent
        self.sent = True
        try:
            yield
        except ConnectError:
            self.sent = sent_before
            raise
