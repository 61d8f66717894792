"""Periodic enforcement of the time limits and the log lines about all limits."""

import anyio
import structlog

from rosemaryward.decisions.clients.table import ClientTable

__all__ = ["enforce_limits"]

INTERVAL_S = 1.0

log = structlog.get_logger(__name__)


async def enforce_limits(clients: ClientTable, address: str = "callers") -> None:
    """Close expired connections and log new refusals once a second until cancelled."""
    reported: dict[str, int] = {}
    while True:
        await anyio.sleep(INTERVAL_S)
        clients.close_expired()
        new = {
            cause: count - reported.get(cause, 0)
            for cause, count in clients.counts.items()
            if count != reported.get(cause, 0)
        }
        if new:
            reported = dict(clients.counts)
            log.warning(
                "client limit reached",
                address=address,
                connections=len(clients.clients),
                held_bytes=clients.held_bytes,
                **new,
            )
