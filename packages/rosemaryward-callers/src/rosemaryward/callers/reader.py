"""Stream reader of a caller connection that measures its idle time."""

import asyncio
import math

import anyio

__all__ = ["CommandReader"]


class CommandReader(asyncio.StreamReader):
    """Stream reader of one caller connection.

    `mysql-mimic` reads a packet's header with a single call of `read` and fails if TCP
    delivers only a part of it, so `read` returns all requested bytes.

    It reads a command only after it has written the previous reply. A reply is
    therefore complete once the reader waits for the next bytes.

    Attributes
    ----------
    waiting_since_s : float
        Event loop time at which the current wait began, infinity if there is none.
    """

    waiting_since_s = math.inf

    async def read(self, n: int = -1) -> bytes:
        """Return exactly `n` bytes, or empty bytes if the connection has ended."""
        self.waiting_since_s = anyio.current_time()
        try:
            return await self.readexactly(n)
        except asyncio.IncompleteReadError:
            return b""
        finally:
            self.waiting_since_s = math.inf

    def idle_s(self) -> float:
        """Return how long the reader has waited, 0 while a command is handled."""
        return max(0.0, anyio.current_time() - self.waiting_since_s)
