"""Pauses before further calls to a store that does not answer this process."""

from collections.abc import Callable
from random import Random

from rosemaryward.decisions.retries import Backoff

__all__ = ["StoreRetry"]

USUAL_PAUSE_S = 0.25
FIRST_BOUND_S = 0.5
BOUND_FACTOR = 2.0
MAX_BOUND_S = 3.0


def _never() -> bool:
    return False


class StoreRetry:
    """Pauses that grow while other members pass on what the store says.

    A member that only the store turns away lacks little, and a large part of the fleet
    that repeats its calls soon would load the store. Without help of other members the
    return of the store is to be noticed at once.

    Parameters
    ----------
    is_relayed : callable, optional
        Returns whether another member has passed on a recent answer of the store.
    random : random.Random, optional
        Source of the jitter.
    """

    __slots__ = ("backoff", "is_relayed")

    def __init__(
        self, is_relayed: Callable[[], bool] = _never, random: Random | None = None
    ) -> None:
        self.is_relayed = is_relayed
        self.backoff = Backoff(
            random or Random(), FIRST_BOUND_S, BOUND_FACTOR, MAX_BOUND_S
        )

    def next_pause_s(self) -> float:
        """Return the seconds to wait after a failed call."""
        if not self.is_relayed():
            self.backoff.reset()
            return USUAL_PAUSE_S
        return USUAL_PAUSE_S + self.backoff.next_delay_s()

    def record_answer(self) -> None:
        """Record that the store answered, which ends the growth of the pauses."""
        self.backoff.reset()
