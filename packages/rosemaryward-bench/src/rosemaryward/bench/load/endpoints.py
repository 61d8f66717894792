"""Queries to the instances that bypass the proxies."""

import asyncio
import contextlib
from collections.abc import AsyncIterator, Iterable

from rosemaryward.bench.clients import CONNECT_ERRORS, connect
from rosemaryward.bench.history.operations import Kind, Operation, Outcome
from rosemaryward.bench.launch.state import RunningDeployment, RunningEndpoint
from rosemaryward.bench.load.recorder import Recorder, clock

__all__ = [
    "PrimaryObserver",
    "final_operations",
    "read_counts",
    "query_endpoint",
    "poll_endpoint",
]

QUERY_TIMEOUT_S = 1.0
OBSERVE_INTERVAL_S = 0.05


async def query_endpoint(endpoint: RunningEndpoint, sql: str) -> list[tuple] | None:
    """Return the rows of a statement at an instance, None if it does not answer."""
    try:
        async with asyncio.timeout(QUERY_TIMEOUT_S):
            connection = await connect(
                host=endpoint.host, port=endpoint.port, user="observer", autocommit=None
            )
            try:
                async with connection.cursor() as cursor:
                    await cursor.execute(sql)
                    return list(await cursor.fetchall())
            finally:
                connection.close()
    except CONNECT_ERRORS:
        return None


async def poll_endpoint(
    endpoint: RunningEndpoint, sql: str, interval_s: float
) -> AsyncIterator[tuple]:
    """Run a statement periodically and yield its first row each time.

    All polls share one connection, which is reopened after a failure.
    """
    while True:
        with contextlib.suppress(*CONNECT_ERRORS):
            async with asyncio.timeout(QUERY_TIMEOUT_S):
                connection = await connect(
                    host=endpoint.host,
                    port=endpoint.port,
                    user="observer",
                    autocommit=None,
                )
            try:
                while True:
                    async with (
                        asyncio.timeout(QUERY_TIMEOUT_S),
                        connection.cursor() as cursor,
                    ):
                        await cursor.execute(sql)
                        row = await cursor.fetchone()
                    yield row
                    await asyncio.sleep(interval_s)
            finally:
                connection.close()
        await asyncio.sleep(interval_s)


class PrimaryObserver:
    """Records the instances that report themselves as primary.

    Parameters
    ----------
    running : RunningDeployment
    recorder : Recorder

    Attributes
    ----------
    terms : dict of str to int
        Latest observed term by database.
    primaries : dict of str to RunningEndpoint
        Latest observed primary by database.
    """

    def __init__(self, running: RunningDeployment, recorder: Recorder) -> None:
        self.running = running
        self.recorder = recorder
        self.terms: dict[str, int] = {}
        self.primaries: dict[str, RunningEndpoint] = {}

    async def run(self) -> None:
        """Poll all instances until cancelled."""
        async with asyncio.TaskGroup() as tasks:
            for endpoint in self.running.endpoints:
                tasks.create_task(self.watch(endpoint))

    async def watch(self, endpoint: RunningEndpoint) -> None:
        """Poll the status of one instance."""
        async for row in poll_endpoint(
            endpoint, "SHOW GROUP STATUS", OBSERVE_INTERVAL_S
        ):
            self.record_primary(endpoint, int(row[0]), row[1])

    def record_primary(self, endpoint: RunningEndpoint, term: int, role: str) -> None:
        """Record an instance if it is the primary of a newer term."""
        if role != "primary" or term <= self.terms.get(endpoint.database, 0):
            return
        self.terms[endpoint.database] = term
        self.primaries[endpoint.database] = endpoint
        now = clock()
        self.recorder.add(
            Operation(
                session="observer",
                kind=Kind.PRIMARY,
                key=endpoint.instance,
                value=str(term),
                start=now,
                end=now,
                outcome=Outcome.DONE,
                database=endpoint.database,
            )
        )


async def final_operations(
    running: RunningDeployment, primaries: Iterable[RunningEndpoint]
) -> list[Operation]:
    """Return final operations with all rows at the primaries.

    Raises
    ------
    RuntimeError
        If a primary does not answer.
    """
    operations = []
    for endpoint in primaries:
        start = clock()
        rows: list[list[str]] = []
        for table in running.tables.values():
            found = await query_endpoint(endpoint, f"SELECT item, body FROM {table}")
            if found is None:
                raise RuntimeError(
                    f"{endpoint.database}: no answer to the query for the final rows"
                )
            rows += [list(row) for row in found]
        operations.append(
            Operation(
                session="observer",
                kind=Kind.FINAL,
                key=endpoint.instance,
                start=start,
                end=clock(),
                outcome=Outcome.DONE,
                database=endpoint.database,
                result=rows,
            )
        )
    return operations


async def read_counts(endpoints: Iterable[RunningEndpoint]) -> tuple[int, int]:
    """Return the numbers of reads at replicas and of all reads since the start."""
    rows = await asyncio.gather(
        *(query_endpoint(endpoint, "SHOW GROUP COUNTERS") for endpoint in endpoints)
    )
    answers = [row[0] for row in rows if row]
    replica = sum(answer[1] for answer in answers)
    return replica, replica + sum(answer[0] for answer in answers)
