"""Token bucket of one tenant at an allocator."""

from rosemaryward.decisions.quota.limits import QuotaBounds, TenantRate
from rosemaryward.decisions.quota.shares import ShareLedger

__all__ = ["TokenBucket"]

# Requests that an allocator answers per second and tenant besides those that its
# fill serves; further hosts are told to ask later. An operation that arrives within
# its tenant's limit is refused by a host that may not ask, so the bound is far above
# the usual number of requests.
REQUESTS_PER_S = 120.0
MIN_RETRY_S = 0.02  # shorter than the time for which a bucket holds its fill
MAX_TURN_S = 1.0  # a host whose demand ends lets its turn pass
MAX_RETRY_S = 2.0
ROUNDING = 1e-9


class TokenBucket:
    """Tokens of one tenant, filled while donations are in force.

    Attributes
    ----------
    level : float
        Number of tokens.
    filled : float
        Integral of the donations up to which the bucket is filled, in seconds.
    started : float
        First donations for which the bucket got its initial tokens.
    next_turn_at : float
        Time at which the next host that was refused may ask again.
    """

    __slots__ = ("filled", "level", "next_turn_at", "started")

    def __init__(self) -> None:
        self.level = 0.0
        self.filled = 0.0
        self.started = 0.0
        self.next_turn_at = float("-inf")

    def settle(
        self, rate: TenantRate, shares: ShareLedger, bounds: QuotaBounds
    ) -> None:
        """Fill the bucket up to the time to which the donations were evaluated.

        Must be called before the donated fraction rises after it has fallen, because
        the level is limited by the depth at the lowest fraction.
        """
        fill_s = (shares.integral - self.filled) * bounds.fill_factor()
        level = self.level + rate.rate_per_s * fill_s
        if shares.initial > self.started:
            level += bounds.initial_tokens(rate) * (shares.initial - self.started)
        self.level = min(level, bounds.depth(rate, shares.total))
        self.filled = shares.integral
        self.started = shares.initial

    def take(self, tokens: int) -> int:
        """Remove whole tokens and return how many, at most as many as asked for."""
        taken = min(int(self.level + ROUNDING), max(tokens, 0))
        self.level -= taken
        return taken

    def retry_after_s(self, fill_per_s: float, now: float) -> float:
        """Return when a host that was refused may ask again, in seconds from now.

        The hosts get successive turns, so that the number of requests does not grow
        with the number of hosts or their demand.

        Parameters
        ----------
        fill_per_s : float
            Tokens that the bucket gets per second.
        now : float
            Time of the refusal.
        """
        if fill_per_s <= 0:
            return MAX_RETRY_S
        interval_s = 1.0 / (REQUESTS_PER_S + 2 * fill_per_s)
        turn_at = max(now + MIN_RETRY_S, self.next_turn_at)
        turn_at = min(turn_at, now + MAX_TURN_S)
        self.next_turn_at = turn_at + interval_s
        until_token_s = (1.0 - self.level) / fill_per_s
        return min(max(turn_at - now, until_token_s), MAX_RETRY_S)
