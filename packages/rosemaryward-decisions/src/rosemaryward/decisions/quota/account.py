"""Lent tokens of one tenant at one host."""

import math
from collections import deque

import anyio

from rosemaryward.decisions.quota.limits import LEND_LIFETIME_S

__all__ = ["TenantAccount"]

DEMAND_TIME_S = 0.5  # time constant of the demand estimate
# With less demand, most tokens that are asked for ahead would expire unused.
MIN_AHEAD_DEMAND_PER_S = 8.0
ROUND_TRIP_S = 0.08  # demand that must be covered while a request is in flight


class TenantAccount:
    """Tokens that a host may use for a tenant until they expire.

    Attributes
    ----------
    lots : deque of list
        Time of expiry and number of tokens, in the order of their expiry.
    tokens : int
        Number of tokens in the lots.
    taken : deque of float
        Expiry of the tokens of recent operations, which may be refunded.
    demand_per_s : float
        Estimate of the operations per second that callers ask for.
    waiting : int
        Operations that wait for tokens.
    ask_after : dict of str to float
        Time from which each allocator may be asked again, by incarnation.
    scarce_until : float
        Time until which tokens are asked for only when an operation needs them,
        because an allocator had too few.
    refuse_until : float
        Time until which no allocator may be asked, so operations without a token are
        refused at once.
    lock : anyio.Lock
        Held while tokens are being asked for.
    logged_at : float
        Time of the last log line about the tenant's limit.
    """

    __slots__ = (
        "ask_after",
        "demand_at",
        "demand_per_s",
        "lock",
        "logged_at",
        "lots",
        "refuse_until",
        "scarce_until",
        "taken",
        "tokens",
        "waiting",
    )

    def __init__(self) -> None:
        self.lots: deque[list[float]] = deque()
        self.tokens = 0
        self.taken: deque[float] = deque()
        self.demand_per_s = 0.0
        self.demand_at = float("-inf")
        self.waiting = 0
        self.ask_after: dict[str, float] = {}
        self.scarce_until = float("-inf")
        self.refuse_until = float("-inf")
        self.lock = anyio.Lock()
        self.logged_at = float("-inf")

    def count_demand(self, now: float) -> None:
        """Count an operation that a caller asks for."""
        decay = math.exp((self.demand_at - now) / DEMAND_TIME_S)
        self.demand_per_s = self.demand_per_s * decay + 1.0 / DEMAND_TIME_S
        self.demand_at = now

    def add(self, tokens: int, sent_at: float) -> None:
        """Add tokens that were lent on a request sent at a time."""
        if tokens > 0:
            self.lots.append([sent_at + LEND_LIFETIME_S, tokens])
            self.tokens += tokens

    def take(self, now: float) -> bool:
        """Use a token for an operation; return whether there was one."""
        lots = self.lots
        while lots and lots[0][0] <= now:
            self.tokens -= int(lots.popleft()[1])
        if not lots:
            return False
        lot = lots[0]
        taken = self.taken
        while taken and taken[0] <= now:
            taken.popleft()
        taken.append(lot[0])
        self.tokens -= 1
        lot[1] -= 1
        if not lot[1]:
            lots.popleft()
        return True

    def refund(self, now: float) -> None:
        """Return the token of an operation that did not run, unless it has expired.

        It gets the earliest expiry of the tokens in question, as it is not known
        which of them the operation had.
        """
        while self.taken and self.taken[0] <= now:
            self.taken.popleft()
        if self.taken:
            self.lots.appendleft([self.taken.popleft(), 1])
            self.tokens += 1

    def is_low(self, now: float) -> bool:
        """Return whether to ask ahead for the demand of the next moment."""
        return (
            self.demand_per_s >= MIN_AHEAD_DEMAND_PER_S
            and now >= self.scarce_until
            and self.tokens < self.demand_per_s * ROUND_TRIP_S
        )

    def shortage(self, now: float) -> int:
        """Return how many tokens to ask for, at least 1.

        Tokens that the demand does not use before they expire are lost to the other
        hosts, so fewer are asked for when they are scarce.
        """
        scarce = now < self.scarce_until
        ahead_s = LEND_LIFETIME_S * (0.4 if scarce else 0.8)
        ahead = int(self.demand_per_s * ahead_s)
        return max(ahead, self.waiting, 1) - self.tokens
