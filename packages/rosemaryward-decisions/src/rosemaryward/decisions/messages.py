"""Messages between proxies.

Statement messages are sent over the statement channel, with one reply for each request.
Gossip messages are sent over the gossip channel. All messages are encoded as
MessagePack arrays, so a field may only be added at the end and with a default.
"""

from enum import IntEnum
from typing import Any

import msgspec

from rosemaryward.decisions.types import Count, EndpointId, LogPosition, Place

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

NO_STALENESS_LIMIT = -1.0  # value of `Execute.max_staleness_s`


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
        Time in seconds that remains until the caller's deadline.
    tenant : str
    caller : str
        Key for fairness between callers of one rank.
    minimum : LogPosition
        Position that the endpoint must have applied before a read.
    max_staleness_s : float
        Maximum accepted age of the data in seconds, -1 for no limit.
    transaction : str
        Transaction to which the statement belongs, empty for none.
    request_key : str
        Idempotency key of the caller for a retried write, empty for none.
    fresh : bool
        Whether a read must see every write acknowledged before it began. The owner
        then uses a read index instead of `minimum`.
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
    """Commit or roll back a transaction and release its connection.

    Parameters
    ----------
    endpoint : EndpointId
    transaction : str
    commit : bool
        Whether to commit; otherwise roll back.
    deadline_s : float
        Time in seconds that remains until the caller's deadline.
    """

    endpoint: EndpointId
    transaction: str
    commit: bool
    deadline_s: float


class ReachabilityRequest(msgspec.Struct, frozen=True, array_like=True, tag="r"):
    """Ask the receiver whether it reaches an endpoint."""

    endpoint: EndpointId


class DrainRequest(msgspec.Struct, frozen=True, array_like=True, tag="g"):
    """Ask a proxy to drain."""


class StatementResult(msgspec.Struct, frozen=True, array_like=True, tag="d"):
    """Complete result of a statement from the endpoint.

    Parameters
    ----------
    columns : tuple of Column
        Empty for statements without a result set.
    rows : list of list
        Values as `str` or `bytes`, as the MySQL text protocol sends them, or None.
        MessagePack distinguishes them, so no narrower type is declared.
    affected_rows : int
    last_insert_id : int
    position : LogPosition
        For a write, a position at or past the write. For a read, the position that
        the endpoint had applied.
    from_replica : bool
        Whether a replica answered.
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
        Code of the reason, such as ``not-primary``.
    detail : str
        Reason in words.
    retry_after_s : float
        Time in seconds after which a retry may succeed, 0 if unknown.
    primary : str
        Name of the instance known as the primary, empty if unknown.
    estimated_waits_s : dict of int to float
        Estimated wait in seconds by value of `Rank` if the endpoint is overloaded.
    """

    reason: str
    detail: str = ""
    retry_after_s: float = 0.0
    primary: str = ""
    estimated_waits_s: dict[int, float] = {}


class OutcomeUnknown(msgspec.Struct, frozen=True, array_like=True, tag="u"):
    """It is unknown whether the statement ran."""

    detail: str


class StatementFailed(msgspec.Struct, frozen=True, array_like=True, tag="f"):
    """The endpoint reported an SQL error."""

    code: int
    message: str


class ReachabilityReply(msgspec.Struct, frozen=True, array_like=True, tag="s"):
    """Whether the replying proxy reaches an endpoint.

    Parameters
    ----------
    monitored : bool
        Whether the replying proxy monitors the endpoint.
    reached : bool
        Whether the endpoint has answered recently.
    place : Place
        Place of the replying proxy.
    """

    monitored: bool
    reached: bool
    place: Place


StatementRequest = Execute | EndTransaction | ReachabilityRequest | DrainRequest
StatementReply = (
    StatementResult | NotRun | OutcomeUnknown | StatementFailed | ReachabilityReply
)


class MemberState(IntEnum):
    """State of a proxy; within an incarnation, a higher value takes precedence."""

    ALIVE = 0
    SUSPECT = 1
    LEAVING = 2
    DEAD = 3


class Member(msgspec.Struct, frozen=True, array_like=True):
    """A proxy in gossip messages and in the member table.

    Parameters
    ----------
    host_id : str
    incarnation : int
        Start time in milliseconds. The proxy raises it to refute a suspicion.
    state : MemberState
    place : Place
    host : str
        IP address of the statement and gossip channels.
    statement_port : int
    gossip_port : int
    weight : float
        Weight in rendezvous hashing.
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
    """Instance that is the primary of a database in a term."""

    database: str
    term: Count
    instance: str


class Digest(msgspec.Struct, frozen=True, array_like=True):
    """Summary of a proxy's state for anti-entropy.

    Parameters
    ----------
    config_version : int
        Version of the configuration document.
    primaries : int
        Hash of all primary records.
    members : int
        Hash of the member table.
    """

    config_version: int
    primaries: int
    members: int


class Probe(msgspec.Struct, frozen=True, array_like=True, tag="p"):
    """Direct probe with a limited number of member updates and primary records."""

    sender: Member
    digest: Digest
    updates: tuple[Member, ...] = ()
    primaries: tuple[PrimaryRecord, ...] = ()


class IndirectProbe(msgspec.Struct, frozen=True, array_like=True, tag="q"):
    """Ask the receiver to probe another member."""

    sender: Member
    target: Member


class ProbeAck(msgspec.Struct, frozen=True, array_like=True, tag="a"):
    """Acknowledgement of a probe.

    Parameters
    ----------
    sender : Member
    digest : Digest
    updates : tuple of Member
    primaries : tuple of PrimaryRecord
    reached : bool
        For an indirect probe, whether the target answered.
    """

    sender: Member
    digest: Digest
    updates: tuple[Member, ...] = ()
    primaries: tuple[PrimaryRecord, ...] = ()
    reached: bool = True


class Pull(msgspec.Struct, frozen=True, array_like=True, tag="l"):
    """Request state that is newer than the sender's."""

    config_version: int
    want_members: bool
    want_primaries: bool


class PullReply(msgspec.Struct, frozen=True, array_like=True, tag="m"):
    """State that the requesting proxy lacks.

    Parameters
    ----------
    config_version : int
        Version of `document`, 0 if the replying proxy has none that is newer.
    document : bytes
        Encoded document of that version, or its delta from `base_version`.
    members : tuple of Member
    primaries : tuple of PrimaryRecord
    base_version : int
        Version to which the delta applies, 0 if the document is complete.
    """

    config_version: int = 0
    document: bytes = b""
    members: tuple[Member, ...] = ()
    primaries: tuple[PrimaryRecord, ...] = ()
    base_version: int = 0


GossipRequest = Probe | IndirectProbe | Pull
GossipReply = ProbeAck | PullReply
