"""Configuration of routes and replication groups, and registered endpoints."""

from enum import Enum, auto

import msgspec

from rosemaryward.decisions.tenants import TenantDirectory
from rosemaryward.decisions.types import Place

__all__ = ["Endpoint", "Environment", "Group", "ReadPolicy", "Route"]


class ReadPolicy(Enum):
    """Which data a route's reads may see.

    `PRIMARY` reads at the primary only. `BOUNDED_STALENESS` allows replicas within
    the route's staleness bound, and `READ_YOUR_WRITES` requires them to have also
    applied the session's own writes.
    """

    PRIMARY = auto()
    BOUNDED_STALENESS = auto()
    READ_YOUR_WRITES = auto()


class Route(msgspec.Struct, frozen=True, kw_only=True):
    """Database that callers may use, with the settings of its statements.

    Parameters
    ----------
    database : str
        Name of the database.
    group : str
        Replication group that serves it.
    policy : ReadPolicy
        Which data its reads may see.
    timeout_s : float
        Timeout of one statement.
    target_latency_s : float
        Latency objective for a whole operation.
    rank : int
        Priority of its statements; 0 is the most urgent.
    max_staleness_s : float
        Maximum staleness of a read at a replica; 0 if replicas are not used.
    public : bool
        Whether callers need no key.
    """

    database: str
    group: str
    policy: ReadPolicy
    timeout_s: float
    target_latency_s: float
    rank: int
    max_staleness_s: float = 0.0
    public: bool = False


class Group(msgspec.Struct, frozen=True, kw_only=True):
    """Configuration of a replication group.

    Parameters
    ----------
    name : str
        Name of the group.
    max_connections : int
        Connections that one endpoint accepts from all proxies together.
    sync_replicas : int
        Replicas that must have received a commit before it is acknowledged.
    """

    name: str
    max_connections: int
    sync_replicas: int


class Endpoint(msgspec.Struct, frozen=True, kw_only=True):
    """Registration of an instance of a replication group.

    Parameters
    ----------
    id : str
        Identity of the instance.
    group : str
        Replication group of the instance.
    address : str
        ``host:port``.
    place : Place
        Region and failure domain of the instance.
    slots : int
        Statements that it runs concurrently.
    leaving : bool
        Whether it is about to stop.
    claims_primary : bool
        Whether it reports itself as the primary; the group's record is
        authoritative.
    started_at : int
        Unix time at which it started, in milliseconds, 0 if unknown.
    """

    id: str
    group: str
    address: str
    place: Place
    slots: int
    leaving: bool
    claims_primary: bool
    started_at: int = 0


class Environment(msgspec.Struct, frozen=True, kw_only=True):
    """Configuration that the operator has set.

    Parameters
    ----------
    version : int
        Version of the configuration, 0 before the first one is known.
    routes : dict of str to Route
        Routes by database.
    groups : dict of str to Group
        Replication groups by name.
    transaction_idle_s : float
        Time after which an idle transaction is rolled back, in seconds.
    tenants : TenantDirectory, optional
        Tenants that callers belong to; None if callers need no key.
    """

    version: int
    routes: dict[str, Route]
    groups: dict[str, Group]
    transaction_idle_s: float
    tenants: TenantDirectory | None = None
