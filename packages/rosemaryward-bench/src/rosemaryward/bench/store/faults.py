"""Fault injection and rate limits of the key-value store."""

import random

import anyio
import msgspec

from rosemaryward.bench.store.wire import StoreRefusalError

__all__ = ["Faults", "FaultPlan", "RateLimit"]

UNAVAILABLE = 14  # gRPC status code
RESOURCE_EXHAUSTED = 8  # gRPC status code


class FaultPlan(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Faults to inject.

    Parameters
    ----------
    down : bool
        Refuse every call and end open watches.
    delay_ms : float
        Milliseconds added to every call.
    lose_answers : float
        Share of calls, from 0 to 1, that take effect but whose reply is dropped.
    seed : int
        Seed of the random choice of dropped replies.
    """

    down: bool = False
    delay_ms: float = 0.0
    lose_answers: float = 0.0
    seed: int = 0


class Faults:
    """Injects the faults of a plan into calls."""

    def __init__(self) -> None:
        self.plan = FaultPlan()
        self.random = random.Random(0)
        self.changed = anyio.Event()

    def set_plan(self, plan: FaultPlan) -> None:
        """Replace the fault plan; a new seed restarts the random choice."""
        if plan.seed != self.plan.seed:
            self.random.seed(plan.seed)
        self.plan = plan
        self.changed.set()
        self.changed = anyio.Event()

    async def before_call(self) -> None:
        """Delay a call, then refuse it if the plan says that the store is down."""
        if self.plan.delay_ms:
            await anyio.sleep(self.plan.delay_ms / 1000)
        if self.plan.down:
            raise StoreRefusalError(503, UNAVAILABLE, "etcdserver: no leader")

    def drops_reply(self) -> bool:
        """Choose at random whether to drop the reply of the current call."""
        share = self.plan.lose_answers
        return share > 0 and self.random.random() < share


class RateLimit:
    """Token bucket whose capacity is the calls of one second.

    Parameters
    ----------
    per_s : float
        Calls per second, 0 for no limit.
    """

    def __init__(self, per_s: float) -> None:
        self.per_s = per_s
        self.tokens = per_s
        self.refilled_at = 0.0

    def take_token(self) -> None:
        """Take a token for a call; refuse the call if there is none."""
        if not self.per_s:
            return
        now = anyio.current_time()
        gained = (now - self.refilled_at) * self.per_s
        self.tokens = min(self.per_s, self.tokens + gained)
        self.refilled_at = now
        if self.tokens < 1:
            raise StoreRefusalError(
                429, RESOURCE_EXHAUSTED, "etcdserver: too many requests"
            )
        self.tokens -= 1
