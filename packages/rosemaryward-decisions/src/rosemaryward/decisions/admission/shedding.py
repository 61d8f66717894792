"""Load shedding at the entry proxy while an owner is overloaded."""

from collections.abc import Mapping

import msgspec
from anyio import current_time

from rosemaryward.decisions.errors import OverloadError
from rosemaryward.decisions.types import EndpointId, Rank

__all__ = ["EntryShedder", "ShedderSettings"]


class ShedderSettings(msgspec.Struct, frozen=True, kw_only=True):
    """Settings of the shedder.

    Parameters
    ----------
    max_hold_s : float
        Maximum time in seconds for which a refusal is remembered. It is shorter
        than the time in which the owner empties its queue, so shedding never
        leaves the owner idle.
    probe_interval_s : float
        Interval in seconds at which one statement of each refused rank is sent.
    """

    max_hold_s: float = 0.1
    probe_interval_s: float = 0.02


class RankRefusal:
    """Refusal of one rank by an owner."""

    __slots__ = ("estimated_wait_s", "expires_at", "next_probe_at")

    def __init__(
        self, expires_at: float, estimated_wait_s: float, next_probe_at: float
    ) -> None:
        self.expires_at = expires_at
        self.estimated_wait_s = estimated_wait_s
        self.next_probe_at = next_probe_at


class EntryShedder:
    """Remembers refusals of owners and refuses similar statements at the entry.

    Parameters
    ----------
    settings : ShedderSettings, optional

    Notes
    -----
    A refusal covers its rank and the lower ranks. If the owner sent estimated
    waits by rank, a statement of a lower rank passes if its wait is within the
    deadline, because the rank's floor may have free capacity while a higher rank
    has none.
    """

    __slots__ = ("refusals", "settings", "shed_count")

    def __init__(self, settings: ShedderSettings | None = None) -> None:
        self.settings = settings or ShedderSettings()
        self.refusals: dict[EndpointId, dict[Rank, RankRefusal]] = {}
        self.shed_count = 0

    def record_refusal(
        self,
        endpoint: EndpointId,
        rank: Rank,
        retry_after_s: float,
        estimated_waits_s: Mapping[Rank, float] | None = None,
    ) -> None:
        """Record that an owner refused a statement.

        Parameters
        ----------
        endpoint : EndpointId
        rank : Rank
            Rank of the refused statement.
        retry_after_s : float
            Time in seconds after which the owner may accept a retry.
        estimated_waits_s : Mapping of Rank to float, optional
            Estimated wait in seconds by rank, from the owner.
        """
        now = current_time()
        hold_s = min(max(retry_after_s, 0.0), self.settings.max_hold_s)
        ranks = self.refusals.setdefault(endpoint, {})
        for covered in Rank:
            if covered >= rank:
                wait_s = (
                    float("inf")
                    if estimated_waits_s is None
                    else estimated_waits_s.get(covered, 0.0)
                )
                if covered is rank:
                    wait_s = float("inf")
                previous = ranks.get(covered)
                next_probe_at = (
                    previous.next_probe_at
                    if previous
                    else now + self.settings.probe_interval_s
                )
                ranks[covered] = RankRefusal(now + hold_s, wait_s, next_probe_at)

    def record_admission(self, endpoint: EndpointId, rank: Rank) -> None:
        """Remove the refusal of a rank after the owner admitted a statement of it."""
        ranks = self.refusals.get(endpoint)
        if ranks is not None and ranks.pop(rank, None) is not None and not ranks:
            del self.refusals[endpoint]

    def check(self, endpoint: EndpointId, rank: Rank, deadline_s: float) -> None:
        """Refuse a statement that the owner would refuse.

        Parameters
        ----------
        endpoint : EndpointId
        rank : Rank
        deadline_s : float
            Time in seconds left until the statement's deadline.

        Raises
        ------
        OverloadError
            If a recent refusal of the owner covers the statement.
        """
        ranks = self.refusals.get(endpoint)
        refusal = ranks.get(rank) if ranks else None
        if ranks is None or refusal is None:
            return
        now = current_time()
        if now >= refusal.expires_at:
            self.record_admission(endpoint, rank)
            return
        if refusal.estimated_wait_s <= deadline_s:
            return
        if now >= refusal.next_probe_at:
            refusal.next_probe_at = now + self.settings.probe_interval_s
            return
        self.shed_count += 1
        raise OverloadError(
            f"the owner of {endpoint} refuses statements of rank {rank.name.lower()}",
            refusal.expires_at - now,
        )
