"""Exponential backoff with full jitter."""

from random import Random

__all__ = ["Backoff"]


class Backoff:
    """Delays drawn uniformly from 0 to a bound that grows by a factor.

    Parameters
    ----------
    random : random.Random
        Source of the jitter.
    first_s : float
        Bound of the first delay in seconds.
    factor : float
        Growth of the bound from one delay to the next.
    maximum_s : float
        Largest bound in seconds.
    """

    __slots__ = ("bound_s", "factor", "first_s", "maximum_s", "random")

    def __init__(
        self, random: Random, first_s: float, factor: float, maximum_s: float
    ) -> None:
        self.random = random
        self.first_s = first_s
        self.factor = factor
        self.maximum_s = maximum_s
        self.bound_s = first_s

    def next_delay_s(self) -> float:
        """Return the next delay in seconds."""
        bound_s = min(self.bound_s, self.maximum_s)
        self.bound_s = bound_s * self.factor
        return self.random.uniform(0.0, bound_s)

    def reset(self) -> None:
        """Restart with the bound of the first delay."""
        self.bound_s = self.first_s
