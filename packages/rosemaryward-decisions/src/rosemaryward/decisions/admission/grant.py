"""Request for a slot, which becomes a grant once the slot is free."""

from enum import IntEnum
from types import TracebackType
from typing import Protocol

import anyio

from rosemaryward.decisions.errors import OverloadError, StatementError
from rosemaryward.decisions.types import Rank

__all__ = ["GrantState", "SlotGrant", "SlotProvider"]


class GrantState(IntEnum):
    """State of a request for a slot."""

    NEW = 0
    QUEUED = 1
    GRANTED = 2
    REFUSED = 3
    DONE = 4


class SlotProvider(Protocol):
    """Interface of the admission queue that a grant uses."""

    def request(self, grant: "SlotGrant") -> None:
        """Grant a slot, queue the request or raise `OverloadError`."""

    async def wait(self, grant: "SlotGrant") -> None:
        """Wait until a queued request is granted; raises `OverloadError`."""

    def release(self, grant: "SlotGrant", completed: bool) -> None:
        """Free the slot of a granted request."""


class SlotGrant:
    """Permission to run one statement, held inside ``async with``.

    Parameters
    ----------
    provider : SlotProvider
    rank : Rank
    caller, tenant : str
    deadline_s : float
        Time in seconds from arrival to the statement's deadline.

    Attributes
    ----------
    started_at : float
        Event-loop time in seconds at which the slot was granted.
    waited_s : float
        Time in seconds spent in the queue.
    samples_latency : bool
        Whether the time held is a sample of the endpoint's latency. Clear it for a
        slot that is also held while the caller is idle, as in a transaction.
    """

    __slots__ = (
        "arrived_at",
        "caller",
        "charged_to_floor",
        "deadline_s",
        "error",
        "event",
        "latest_start_at",
        "other_ranks_at_start",
        "provider",
        "rank",
        "running_at_start",
        "samples_latency",
        "started_at",
        "state",
        "tenant",
    )

    def __init__(
        self,
        provider: SlotProvider,
        rank: Rank,
        caller: str,
        tenant: str,
        deadline_s: float,
    ) -> None:
        self.provider = provider
        self.rank = rank
        self.caller = caller
        self.tenant = tenant
        self.deadline_s = deadline_s
        self.state = GrantState.NEW
        self.arrived_at = 0.0
        self.latest_start_at = 0.0
        self.started_at = 0.0
        self.charged_to_floor = False
        self.other_ranks_at_start = False
        self.running_at_start = 0
        self.samples_latency = True
        self.event: anyio.Event | None = None
        self.error: OverloadError | None = None

    @property
    def waited_s(self) -> float:
        """Time in seconds between arrival and grant."""
        return self.started_at - self.arrived_at

    async def __aenter__(self) -> "SlotGrant":
        self.provider.request(self)
        if self.state is GrantState.QUEUED:
            await self.provider.wait(self)
        return self

    async def __aexit__(
        self,
        kind: type[BaseException] | None,
        error: BaseException | None,
        traceback: TracebackType | None,
    ) -> None:
        # The duration of a failed or cancelled statement is not a service time.
        self.release(completed=kind is None or issubclass(kind, StatementError))

    def release(self, completed: bool) -> None:
        """Free the slot.

        Parameters
        ----------
        completed : bool
            Whether the time held counts as the statement's service time.
        """
        self.provider.release(self, completed)

    def wake(self) -> None:
        """Wake the waiting task so that it checks the state."""
        if self.event is not None:
            self.event.set()
