"""Rate limits of tenants, and the token buckets that keep them within the bound."""

import msgspec

__all__ = ["LEND_LIFETIME_S", "QuotaBounds", "TenantRate"]

LEND_LIFETIME_S = 0.25  # of lent tokens, from the sending of the request
DEPTH_S = 0.2  # of the fill of a bucket, longer than the pause between two requests
# Of the slack, added to the depths. A small tenant's burst is spread over the buckets
# of all allocators, and each lends whole tokens only.
DEPTH_SLACK_SHARE = 0.6
# Of what the bound leaves over, for the tokens of a new process. The rest covers
# operations that start between two reads of a clock.
INITIAL_SHARE = 0.75


class TenantRate(msgspec.Struct, frozen=True):
    """Rate limit of a tenant over all hosts.

    Parameters
    ----------
    rate_per_s : float
        Operations per second; 0 admits none.
    burst : float
        Operations that may run at once after an idle time.
    """

    rate_per_s: float
    burst: float


class QuotaBounds(msgspec.Struct, frozen=True):
    """Bound on the operations of a tenant within a span of time.

    In each span of `window_s` there are at most
    ``(rate_per_s * window_s + burst) * (1 + overage) + slack`` operations.

    Parameters
    ----------
    window_s : float
        Length of the span in seconds.
    overage : float
        Tolerated excess as a fraction of the limit.
    slack : float
        Tolerated excess in operations.
    """

    window_s: float = 5.0
    overage: float = 0.1
    slack: float = 20.0

    def fill_factor(self) -> float:
        """Return the part of the rate at which buckets fill.

        It is 1 if the overage covers the tokens that are used after they were lent,
        and those that a bucket holds for the time between two requests.
        """
        allowed_s = self.window_s * (1 + self.overage)
        filled_s = self.window_s + LEND_LIFETIME_S
        return min(1.0, max(allowed_s - DEPTH_S, 0.0) / filled_s)

    def depth(self, rate: TenantRate, fraction: float) -> float:
        """Return how many tokens a bucket holds that serves a fraction of a rate.

        Parameters
        ----------
        rate : TenantRate
            Limit of the tenant.
        fraction : float
            Sum of the donations in force.

        Returns
        -------
        float
            Number of tokens, in proportion to the fraction.
        """
        if rate.rate_per_s <= 0:
            return 0.0
        return self._whole_depth(rate) * fraction

    def _whole_depth(self, rate: TenantRate) -> float:
        """Return the depths of all buckets of a tenant together."""
        depth = max(rate.burst, DEPTH_S * rate.rate_per_s)
        return depth + DEPTH_SLACK_SHARE * self.slack

    def initial_tokens(self, rate: TenantRate) -> float:
        """Return the tokens of all buckets together after a start of the whole fleet.

        It is what the bound allows beyond full buckets, their fill during the window
        and the lifetime of lent tokens, so that a start adds to no window too much.
        """
        if rate.rate_per_s <= 0:
            return 0.0
        allowed = (rate.rate_per_s * self.window_s + rate.burst) * (1 + self.overage)
        filled_s = self.window_s + LEND_LIFETIME_S
        used = rate.rate_per_s * self.fill_factor() * filled_s
        used += self._whole_depth(rate)
        return max(0.0, INITIAL_SHARE * (allowed + self.slack - used))
