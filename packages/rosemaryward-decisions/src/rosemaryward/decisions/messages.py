"""Messages between proxies.

Statement messages travel over the statement channel, one request to one answer.
Gossip messages travel over the gossip channel. All of them are encoded as
MessagePack arrays, so a field may only be added at the end and with a default.
"""

from enum import IntEnum
from typing import Any

import msgspec

from rosemaryward.decisions.types import EndpointId, LogPosition, Place

__all__ = [
    "Column",
    "Execute",
    "EndTransaction",
    "ReachabilityRequest",
    "DrainRequest",
    "StatementResult",
    "NotRun",
    "OutcomeUnknown",
    "StatementFailed",
    "ReachabilityReply",
    "StatementRequest",
    "StatementReply",
    "MemberState",
    "Member",
    "PrimaryRecord",
    "Digest",
    "Probe",
    "IndirectProbe",
    "ProbeAck",
    "Pull",
    "PullReply",
    "GossipRequest",
    "GossipReply",
]

NO_STALENESS_LIMIT = -1.0


class Column(msgspec.Struct, frozen=True, array_like=True):
    """Name and MySQL type code of a result column."""

    name: str
    type_code: int


class Execute(msgspec.Struct, frozen=True, array_like=True, tag="x"):
    """Run one statement at an endpoint.

    Parameters
    ----------
    endpoint : EndpointId
    sql : str
    is_write : bool
    rank : int
        Value of `Rank`.
    deadline_s : float
        Time left to the caller's deadline, in seconds.
    tenant : str
    caller : str
        Key for fairness between callers of one rank.
    minimum : LogPosition
        Position that the endpoint must have applied before a read.
    max_staleness_s : float
        Largest accepted age of the data in seconds, or -1 for no limit.
    transaction : str
        Transaction that the statement belongs to, empty for none.
    request_key : str
        Caller's key that makes a repeat of a write idempotent, empty for none.
    fresh : bool
        Whether a read must see every write acknowledged before it began. The
        owner then takes a read index instead of `minimum`.
    begins_transaction : bool
        Whether the statement opens `transaction`.
    """

    endpoint: EndpointId
    sql: str
    is_write: bool
    rank: int
    deadline_s: float
    tenant: str = ""
    caller: str = ""
    minimum: LogPosition = LogPosition()
    max_staleness_s: float = NO_STALENESS_LIMIT
    transaction: str = ""
    request_key: str = ""
    fresh: bool = False
    begins_transaction: bool = False


class EndTransaction(msgspec.Struct, frozen=True, array_like=True, tag="e"):
    """Commit or roll back a transaction and release its connection."""

    endpoint: EndpointId
    transaction: str
    commit: bool
    deadline_s: float


class ReachabilityRequest(msgspec.Struct, frozen=True, array_like=True, tag="r"):
    """Ask whether the receiver reaches an endpoint."""

    endpoint: EndpointId


class DrainRequest(msgspec.Struct, frozen=True, array_like=True, tag="g"):
    """Ask a proxy to drain."""


class StatementResult(msgspec.Struct, frozen=True, array_like=True, tag="d"):
    """Complete answer of the endpoint.

    Parameters
    ----------
    columns : tuple of Column
        Empty for statements without a result set.
    rows : list of list
        Values as `str` or `bytes`, as the MySQL text protocol carries them, or
        None. MessagePack tells them apart, so no narrower type is declared.
    affected_rows : int
    last_insert_id : int
    position : LogPosition
        For a write, a position at or past the write. For a read, the position
        that the endpoint had applied.
    from_replica : bool
    """

    columns: tuple[Column, ...] = ()
    rows: list[list[Any]] = []
    affected_rows: int = 0
    last_insert_id: int = 0
    position: LogPosition = LogPosition()
    from_replica: bool = False


class NotRun(msgspec.Struct, frozen=True, array_like=True, tag="n"):
    """The statement certainly did not run.

    Parameters
    ----------
    reason : str
        One of the reasons in `the reasons of `NotRunError`.
    detail : str
    retry_after_s : float
    primary : str
        Instance believed to be the primary, empty if unknown.
    estimated_waits_s : dict of int to float
        After an overload, the estimated wait in seconds by value of `Rank`.
    """

    reason: str
    detail: str = ""
    retry_after_s: float = 0.0
    primary: str = ""
    estimated_waits_s: dict[int, float] = {}


class OutcomeUnknown(msgspec.Struct, frozen=True, array_like=True, tag="u"):
    """The statement may have run."""

    detail: str


class StatementFailed(msgspec.Struct, frozen=True, array_like=True, tag="f"):
    """The endpoint reported an SQL error."""

    code: int
    message: str


class ReachabilityReply(msgspec.Struct, frozen=True, array_like=True, tag="s"):
    """Whether the endpoint answered lately, and the replier's failure domain.

    Parameters
    ----------
    monitored : bool
        Whether the replier monitors the endpoint at all.
    reached : bool
    place : Place
    """

    monitored: bool
    reached: bool
    place: Place


StatementRequest = Execute | EndTransaction | ReachabilityRequest | DrainRequest
StatementReply = (
    StatementResult | NotRun | OutcomeUnknown | StatementFailed | ReachabilityReply
)


class MemberState(IntEnum):
    """State of a proxy in the member table, in the order of precedence."""

    ALIVE = 0
    SUSPECT = 1
    LEAVING = 2
    DEAD = 3


class Member(msgspec.Struct, frozen=True, array_like=True):
    """One proxy as gossip describes it.

    Parameters
    ----------
    host_id : str
    incarnation : int
        Start time in milliseconds, raised by the proxy itself to refute a suspicion.
    state : MemberState
    place : Place
    host : str
        IP address of the channels.
    statement_port : int
    gossip_port : int
    weight : float
        Share in rendezvous hashing.
    """

    host_id: str
    incarnation: int
    state: MemberState
    place: Place
    host: str
    statement_port: int
    gossip_port: int
    weight: float = 1.0


class PrimaryRecord(msgspec.Struct, frozen=True, array_like=True):
    """Which instance is the primary of a database, as of a term."""

    database: str
    term: int
    instance: str


class Digest(msgspec.Struct, frozen=True, array_like=True):
    """Summary of what a proxy knows, for anti-entropy.

    Parameters
    ----------
    config_version : int
    primaries : int
        Hash over all primary records.
    members : int
        Hash over the member table.
    """

    config_version: int
    primaries: int
    members: int


class Probe(msgspec.Struct, frozen=True, array_like=True, tag="p"):
    """Direct probe with a bounded number of member updates and primary records."""

    sender: Member
    digest: Digest
    updates: tuple[Member, ...] = ()
    primaries: tuple[PrimaryRecord, ...] = ()


class IndirectProbe(msgspec.Struct, frozen=True, array_like=True, tag="q"):
    """Ask the receiver to probe another member."""

    sender: Member
    target: Member


class ProbeAck(msgspec.Struct, frozen=True, array_like=True, tag="a"):
    """Answer to a probe; for an indirect one, whether the target answered."""

    sender: Member
    digest: Digest
    updates: tuple[Member, ...] = ()
    primaries: tuple[PrimaryRecord, ...] = ()
    reached: bool = True


class Pull(msgspec.Struct, frozen=True, array_like=True, tag="l"):
    """Ask for state newer than the asker's."""

    config_version: int
    want_members: bool
    want_primaries: bool


class PullReply(msgspec.Struct, frozen=True, array_like=True, tag="m"):
    """State that the asker lacks.

    Parameters
    ----------
    config_version : int
        0 if the replier has nothing newer.
    document : bytes
        Encoded document of that version, or its difference to `base_version`.
    base_version : int
        Version that the difference applies to, 0 for a complete document.
    """

    config_version: int = 0
    document: bytes = b""
    members: tuple[Member, ...] = ()
    primaries: tuple[PrimaryRecord, ...] = ()
    base_version: int = 0


GossipRequest = Probe | IndirectProbe | Pull
GossipReply = ProbeAck | PullReply
