"""Replication of the log from the group's primary to this instance."""

import asyncio
import contextlib

import asyncmy
import asyncmy.errors

from rosemaryward.bench.clients import CONNECT_ERRORS, connect
from rosemaryward.bench.instance.control import decode_entries, pull_statement
from rosemaryward.bench.instance.group import Group
from rosemaryward.decisions.types import LogPosition

__all__ = ["Replication"]

POLL_TIMEOUT_MS = 1000
REPLY_MARGIN_S = 1.0
RECONNECT_DELAY_S = 0.05
CONNECT_TIMEOUT_S = 1.0
REPLICATION_USER = "replication"


class Replication:
    """Pulls the log from the primary while the instance is a replica.

    Parameters
    ----------
    group : Group
    """

    def __init__(self, group: Group) -> None:
        self.group = group

    async def run(self) -> None:
        """Pull from the current primary, and from each later one, until cancelled."""
        while True:
            source = self.source()
            if source is None:
                await self.group.changed.wait()
                continue
            pull = asyncio.create_task(self.pull_from(*source))
            try:
                while self.source() == source:
                    await self.group.changed.wait()
            finally:
                pull.cancel()
                with contextlib.suppress(asyncio.CancelledError):
                    await pull

    def source(self) -> tuple[int, str, int] | None:
        """Return the term, host and port to pull from, None if there is none."""
        if self.group.primary is None:
            return None
        return (self.group.term, *self.group.primary)

    async def pull_from(self, term: int, host: str, port: int) -> None:
        """Pull from one primary and reconnect after every failure."""
        while True:
            with contextlib.suppress(*CONNECT_ERRORS):
                connection = await connect(
                    host=host,
                    port=port,
                    user=REPLICATION_USER,
                    connect_timeout=CONNECT_TIMEOUT_S,
                    autocommit=None,
                )
                try:
                    await self.pull(connection, term)
                finally:
                    connection.close()
            await asyncio.sleep(RECONNECT_DELAY_S)

    async def pull(self, connection: asyncmy.Connection, term: int) -> None:
        """Find the last common entry, then append new entries as they arrive."""
        start = self.group.log.last.index
        while True:
            position = self.group.log.position_at(start)
            common, entries = await self.request_entries(connection, term, position)
            if common < start:
                start = common
                continue
            if self.group.term != term:
                return
            if start < self.group.log.last.index:
                self.group.discard_after(start)
            if entries:
                self.group.receive(entries)
            start = self.group.log.last.index

    async def request_entries(
        self, connection: asyncmy.Connection, term: int, position: LogPosition
    ) -> tuple[int, list]:
        """Request entries once; return the common index and the new entries."""
        statement = pull_statement(term, position, POLL_TIMEOUT_MS)
        async with asyncio.timeout(POLL_TIMEOUT_MS / 1000 + REPLY_MARGIN_S):
            async with connection.cursor() as cursor:
                await cursor.execute(statement)
                common, entries = await cursor.fetchone()
        return int(common), decode_entries(entries)
