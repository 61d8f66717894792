"""What a proxy knows of routes, groups and endpoints."""

from enum import Enum, auto

import msgspec

from rosemaryward.decisions.types import Place

__all__ = ["Endpoint", "Environment", "Group", "ReadPolicy", "Route"]


class ReadPolicy(Enum):
    """How old the data may be that a route's reads see."""

    PRIMARY = auto()
    BOUNDED_STALENESS = auto()
    READ_YOUR_WRITES = auto()


class Route(msgspec.Struct, frozen=True, kw_only=True):
    """Database that callers may name.

    Parameters
    ----------
    database : str
    group : str
        Replication group that serves it.
    policy : ReadPolicy
    timeout_s : float
        Limit of one statement.
    target_latency_s : float
        Objective for a whole operation.
    rank : int
        0 is the most urgent.
    max_staleness_s : float
        Age that a read at a replica may have; 0 on routes without replicas.
    """

    database: str
    group: str
    policy: ReadPolicy
    timeout_s: float
    target_latency_s: float
    rank: int
    max_staleness_s: float = 0.0


class Group(msgspec.Struct, frozen=True, kw_only=True):
    """Replication group as configured.

    Parameters
    ----------
    name : str
    max_connections : int
        Connections that one endpoint accepts from the whole fleet.
    sync_replicas : int
        Replicas that must have received a commit before it is acknowledged.
    """

    name: str
    max_connections: int
    sync_replicas: int


class Endpoint(msgspec.Struct, frozen=True, kw_only=True):
    """Instance of a group as it registered itself.

    Parameters
    ----------
    id : str
    group : str
    address : str
        ``host:port``.
    place : Place
    slots : int
        Statements that it runs at once.
    leaving : bool
        Whether it is about to stop.
    claims_primary : bool
        Whether it sees itself as the primary; the group's record decides.
    """

    id: str
    group: str
    address: str
    place: Place
    slots: int
    leaving: bool
    claims_primary: bool


class Environment(msgspec.Struct, frozen=True, kw_only=True):
    """The operator's configuration.

    Parameters
    ----------
    version : int
    routes : dict of str to Route
        By database.
    groups : dict of str to Group
        By name.
    transaction_idle_s : float
        Time after which an idle transaction is ended.
    """

    version: int
    routes: dict[str, Route]
    groups: dict[str, Group]
    transaction_idle_s: float
