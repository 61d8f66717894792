"""Budget that limits retries to a share of the first attempts."""

__all__ = ["RetryBudget"]


class RetryBudget:
    """Token bucket that first attempts fill and retries drain.

    Parameters
    ----------
    ratio : float
        Tokens added per first attempt: the long-term ratio of retries to first
        attempts.
    burst : float
        Capacity of the bucket in tokens, which is full at the start.
    """

    __slots__ = ("burst", "denied_count", "ratio", "tokens")

    def __init__(self, ratio: float, burst: float) -> None:
        self.ratio = ratio
        self.burst = burst
        self.tokens = burst
        self.denied_count = 0

    def record_first_attempt(self) -> None:
        """Add the tokens of one first attempt."""
        self.tokens = min(self.burst, self.tokens + self.ratio)

    def try_spend(self) -> bool:
        """Take one token for a retry; return False if there is none."""
        if self.tokens < 1.0:
            self.denied_count += 1
            return False
        self.tokens -= 1.0
        return True
