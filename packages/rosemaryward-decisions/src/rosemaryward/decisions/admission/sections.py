"""Document sections with the limits of ranks and tenants."""

from typing import Annotated

import msgspec
from msgspec import Meta

__all__ = ["RankSection", "TenantLimits"]

Limit = Annotated[int, Meta(ge=1, le=1_000_000)]
Share = Annotated[float, Meta(ge=0.0, le=1.0)]
StatementRate = Annotated[float, Meta(ge=0.0, le=10_000_000.0)]
Deadline = Annotated[float, Meta(gt=0.0, le=3600.0)]

DEFAULT_FLOOR_SHARE = 0.10  # share of slot time
DEFAULT_DEADLINE_S = 2.0


class RankSection(
    msgspec.Struct, frozen=True, kw_only=True, forbid_unknown_fields=True
):
    """Deadline, floor and queue limit of a rank.

    Parameters
    ----------
    deadline_s : float
        Default deadline of a statement in seconds.
    floor : float
        Share of slot time guaranteed to the rank when others overload the
        instance, 0 to 1.
    queue_limit : int
        Maximum number of queued statements of the rank per instance.
    """

    deadline_s: Deadline = DEFAULT_DEADLINE_S
    floor: Share = DEFAULT_FLOOR_SHARE
    queue_limit: Limit = 1000


class TenantLimits(
    msgspec.Struct, frozen=True, kw_only=True, forbid_unknown_fields=True
):
    """Limits of one tenant per proxy.

    Parameters
    ----------
    connections : int
        Maximum number of caller connections per proxy.
    statements_per_s : float
        Maximum rate of statements per proxy; 0 means no limit.
    """

    connections: Limit = 10_000
    statements_per_s: StatementRate = 0.0
