"""Termination of a test double's process by a signal."""

import asyncio
import signal

__all__ = ["until_stopped"]


async def until_stopped() -> None:
    """Wait for SIGTERM or SIGINT."""
    stopped = asyncio.Event()
    loop = asyncio.get_running_loop()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, stopped.set)
    await stopped.wait()
