"""Execution slots that limit the concurrent statements of an instance."""

import heapq

import anyio

__all__ = ["Slots"]


class Slots:
    """Limits how many statements run concurrently.

    Each statement's end time is computed at its arrival, in order of arrival. A timer
    that fires late delays its own statement but takes no capacity from later ones.

    Parameters
    ----------
    count : int
        Number of slots.
    service_time_s : float
        Time in seconds that each statement holds its slot.
    """

    def __init__(self, count: int, service_time_s: float) -> None:
        self.free_at = [0.0] * count
        self.service_time_s = service_time_s

    async def run_statement(self) -> None:
        """Wait for a slot and hold it for the service time."""
        now = anyio.current_time()
        end = max(now, self.free_at[0]) + self.service_time_s
        heapq.heapreplace(self.free_at, end)
        if end > now:
            await anyio.sleep(end - now)
