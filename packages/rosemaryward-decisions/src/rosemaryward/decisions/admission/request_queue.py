"""Interface of the queue of one rank."""

from collections.abc import Callable
from typing import Protocol

from rosemaryward.decisions.admission.grant import SlotGrant

__all__ = ["RequestQueue", "TenantWeights"]

TenantWeights = Callable[[str], float | None]


class RequestQueue(Protocol):
    """Requests of one rank in the order in which they are served.

    Attributes
    ----------
    length : int
        Number of queued requests.
    """

    length: int

    @property
    def shared_length(self) -> int:
        """Number of requests that a tenant with none of its own has to wait for."""

    def requests_ahead(self, tenant: str, caller: str) -> float:
        """Return how many requests are served before a new one of the caller."""

    def requests_ahead_of_newest(self) -> float:
        """Return the same for the request that is refused first."""

    def turn_wait_s(self, tenant: str, caller: str) -> float:
        """Return the wait of a new request by the measured interval of turns."""

    def share_of(self, tenant: str) -> float | None:
        """Return the share of a tenant by the weights, None without weights."""

    def may_displace(self, request: SlotGrant) -> bool:
        """Return whether a new request may take the place of a queued one."""

    def newest_of_largest_caller(self) -> SlotGrant | None:
        """Return the request that is refused first, None if the queue is empty."""

    def push(self, request: SlotGrant) -> None:
        """Append a request to its caller's queue."""

    def pop(self, now: float) -> SlotGrant:
        """Remove and return the next request in turn."""

    def peek(self) -> SlotGrant:
        """Return the request that `pop` would return."""

    def remove(self, request: SlotGrant) -> None:
        """Remove a queued request."""
