"""Restores of the store from a copy that is some seconds old."""

import collections
import random
import time

import anyio

from rosemaryward.bench.soak.faults import Faults
from rosemaryward.bench.soak.fleet import Fleet
from rosemaryward.platform.fakes.store import StoreCopy

__all__ = ["Restores"]

COPY_INTERVAL_S = 0.5
COPY_AGE_RANGE_S = (0.5, 9.0)
PAUSE_RANGE_S = (0.5, 6.0)  # from the end of one restore to the next
OUTAGE_RANGE_S = (0.0, 3.0)
REWRITE_DELAY_RANGE_S = (0.0, 2.0)  # until the operator writes its configuration again


class Restores:
    """Restores the store again and again from copies of different ages.

    Parameters
    ----------
    fleet : Fleet
        Store and its operator.
    faults : Faults
        Records the restores.
    rng : random.Random
        Selects times and ages.

    Attributes
    ----------
    copies : deque of tuple of float and StoreCopy
        Monotonic time and content of the recent copies, the oldest first.
    """

    def __init__(self, fleet: Fleet, faults: Faults, rng: random.Random) -> None:
        self.fleet = fleet
        self.faults = faults
        self.rng = rng
        self.copies: collections.deque[tuple[float, StoreCopy]] = collections.deque(
            maxlen=round(COPY_AGE_RANGE_S[1] / COPY_INTERVAL_S)
        )

    async def run(self, duration_s: float) -> None:
        """Restore the store at random moments for `duration_s` seconds."""
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(self._copy)
            with anyio.move_on_after(duration_s):
                while True:
                    await anyio.sleep(self.rng.uniform(*PAUSE_RANGE_S))
                    with anyio.CancelScope(shield=True):
                        await self.restore()
            tasks.cancel_scope.cancel()

    async def _copy(self) -> None:
        while True:
            self.copies.append((time.monotonic(), self.fleet.store.copy()))
            await anyio.sleep(COPY_INTERVAL_S)

    async def restore(self) -> None:
        """Restore the store from a copy; the operator then writes what was lost."""
        oldest_at = time.monotonic() - self.rng.uniform(*COPY_AGE_RANGE_S)
        copy = next((c for at, c in self.copies if at >= oldest_at), None)
        if copy is None:
            return
        record = self.faults.begin("restored", "store")
        self.fleet.store.is_unavailable = True
        await anyio.sleep(self.rng.uniform(*OUTAGE_RANGE_S))
        self.fleet.store.restore(copy)
        self.copies.clear()
        self.fleet.store.is_unavailable = False
        await anyio.sleep(self.rng.uniform(*REWRITE_DELAY_RANGE_S))
        self.fleet.rewrite_configuration()
        self.faults.end(record)
