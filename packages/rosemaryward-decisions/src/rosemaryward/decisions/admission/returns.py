"""Times at which refused requests should return, spread over the free capacity."""

from collections.abc import Iterator

__all__ = ["ReturnSchedule"]

MIN_TENANTS_TO_PRUNE = 64
# Multiples of the golden ratio, modulo 1, are evenly spread for any number of them.
SPREAD_STEP = 0.6180339887498949


class ReturnSchedule:
    """Spreads the suggested retry times of each tenant's refused requests.

    Parameters
    ----------
    maximum_s : float
        Longest suggested retry time in seconds.

    Notes
    -----
    The returns of one tenant are spaced at the interval at which its share of the
    slots becomes free. A crowd that needs more than `maximum_s` is spread evenly
    over the whole time.
    """

    __slots__ = ("maximum_s", "next_return_at", "prune_at", "spread")

    def __init__(self, maximum_s: float) -> None:
        self.maximum_s = maximum_s
        self.next_return_at: dict[str, float] = {}
        self.prune_at = MIN_TENANTS_TO_PRUNE
        self.spread = _spread()

    def reserve_s(
        self, tenant: str, now: float, earliest_s: float, interval_s: float
    ) -> float:
        """Return the time in seconds after which a refused request should return.

        Parameters
        ----------
        tenant : str
        now : float
            Event-loop time in seconds.
        earliest_s : float
            Time in seconds before which a return has no chance.
        interval_s : float
            Time in seconds in which the tenant's share serves one request.
        """
        earliest_s = min(earliest_s, self.maximum_s)
        return_at = max(self.next_return_at.get(tenant, 0.0), now + earliest_s)
        if return_at - now > self.maximum_s:
            return earliest_s + next(self.spread) * (self.maximum_s - earliest_s)
        if len(self.next_return_at) >= self.prune_at:
            self._prune(now)
        self.next_return_at[tenant] = return_at + interval_s
        return return_at - now

    def _prune(self, now: float) -> None:
        """Remove tenants whose reserved times have passed."""
        self.next_return_at = {
            tenant: at for tenant, at in self.next_return_at.items() if at > now
        }
        self.prune_at = MIN_TENANTS_TO_PRUNE + 2 * len(self.next_return_at)


def _spread() -> Iterator[float]:
    value = 0.0
    while True:
        value = (value + SPREAD_STEP) % 1.0
        yield value
