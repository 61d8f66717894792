"""Interface of the administration API to the proxy that it runs in."""

from typing import Annotated, Protocol

import msgspec

__all__ = [
    "Candidate",
    "EndpointStatus",
    "ExplainReply",
    "ExplainRequest",
    "PrimaryStatus",
    "ProxyInfo",
    "ProxyStatus",
    "ProxyView",
    "UnknownHostError",
]


ShortText = Annotated[str, msgspec.Meta(max_length=1000)]
# Parsing a longer statement would block the event loop for too long.
StatementText = Annotated[str, msgspec.Meta(max_length=10_000)]


class UnknownHostError(LookupError):
    """No proxy has the host id."""


class ProxyInfo(msgspec.Struct, frozen=True, kw_only=True):
    """One proxy in the member table.

    Parameters
    ----------
    host_id : str
    state : str
        ``alive``, ``suspect``, ``leaving`` or ``dead``.
    region, failure_domain : str
    incarnation : int
    endpoints : int
        Number of endpoints that the proxy owns.
    """

    host_id: str
    state: str
    region: str
    failure_domain: str
    incarnation: int = 0
    endpoints: int = 0


class EndpointStatus(msgspec.Struct, frozen=True, kw_only=True):
    """One endpoint as the answering proxy knows it.

    Parameters
    ----------
    database, instance : str
    owner : str
        Host id of the owner, empty if there is none.
    role : str
        ``primary``, ``replica``, ``fenced`` or empty if unknown.
    term : int
    lag_s : float or None
        Age of the newest data that the instance has applied, None if unknown.
    reachable : bool or None
        None if the answering proxy does not monitor the endpoint.
    queue : dict of str to int
        Waiting statements by rank; known for endpoints of the answering proxy only.
    running, slots : int
    leaving : bool
    """

    database: str
    instance: str
    owner: str = ""
    role: str = ""
    term: int = 0
    lag_s: float | None = None
    reachable: bool | None = None
    queue: dict[str, int] = {}
    running: int = 0
    slots: int = 0
    leaving: bool = False


class PrimaryStatus(msgspec.Struct, frozen=True, kw_only=True):
    """Primary of one database."""

    database: str
    instance: str
    term: int


class ProxyStatus(msgspec.Struct, frozen=True, kw_only=True):
    """Status of the environment as one proxy sees it.

    Parameters
    ----------
    host_id, environment : str
        Of the answering proxy.
    ready : bool
        Whether the proxy serves callers.
    configuration_version : int
        Version in force at the proxy, 0 for none.
    configuration_age_s : float
        Time since the proxy applied that version, in seconds.
    caller_connections : int
    proxies : tuple of ProxyInfo
    endpoints : tuple of EndpointStatus
    primaries : tuple of PrimaryStatus
    """

    host_id: str
    environment: str
    ready: bool
    configuration_version: int = 0
    configuration_age_s: float = 0.0
    caller_connections: int = 0
    proxies: tuple[ProxyInfo, ...] = ()
    endpoints: tuple[EndpointStatus, ...] = ()
    primaries: tuple[PrimaryStatus, ...] = ()


class ExplainRequest(
    msgspec.Struct, frozen=True, kw_only=True, forbid_unknown_fields=True
):
    """A statement whose path an operator asks for; it is not run.

    Parameters
    ----------
    user, database, statement : str
    session_token : str
        Position that the caller carries, such as ``3.1042``, empty for none.
    """

    user: ShortText
    database: ShortText
    statement: StatementText
    session_token: ShortText = ""


class Candidate(msgspec.Struct, frozen=True, kw_only=True):
    """An instance that could serve the statement.

    Parameters
    ----------
    instance, owner : str
    eligible : bool
    reason : str
        Why the instance is or is not eligible.
    lag_s : float or None
    """

    instance: str
    owner: str
    eligible: bool
    reason: str = ""
    lag_s: float | None = None


class ExplainReply(msgspec.Struct, frozen=True, kw_only=True):
    """Where a statement would go.

    Parameters
    ----------
    tenant, rank : str
    rule : str
        Name of the rule that matched, empty if none did.
    access : str
        ``read`` or ``write``.
    deadline_s, max_staleness_s : float
    minimum : str
        Position that the endpoint must have applied, empty if the entry would ask
        for it first.
    candidates : tuple of Candidate
        In the order in which the entry would try them.
    target : str
        Instance that the entry would try first, empty if none.
    reason : str
    """

    tenant: str
    rank: str
    access: str
    rule: str = ""
    deadline_s: float = 0.0
    max_staleness_s: float = 0.0
    minimum: str = ""
    candidates: tuple[Candidate, ...] = ()
    target: str = ""
    reason: str = ""


class ProxyView(Protocol):
    """The proxy that an administration API runs in."""

    def status(self) -> ProxyStatus:
        """Return the status of the environment as this proxy knows it."""

    def explain(self, request: ExplainRequest) -> ExplainReply:
        """Return how a statement would be routed, without running it.

        Raises
        ------
        ValueError
            If the user or the database is unknown or the statement is malformed.
        """

    async def drain(self, host_id: str) -> None:
        """Ask a proxy to drain.

        Raises
        ------
        UnknownHostError
            If no proxy has the host id.
        PeerError
            If that proxy does not reply.
        """
