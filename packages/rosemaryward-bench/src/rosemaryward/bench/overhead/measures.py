"""Measures of added latency, CPU time per statement and memory."""

import time
from collections.abc import Awaitable, Callable, Sequence
from statistics import quantiles

import anyio
import asyncmy
import msgspec
import psutil

from rosemaryward.bench.launch.state import RunningDeployment

__all__ = ["Measure", "measure_latency", "measure_memory", "measure_throughput"]


BYTES_PER_KIB = 1024
LATENCY_ROUNDS = 400
THROUGHPUT_CALLERS = 48
THROUGHPUT_DURATION_S = 5.0
IDLE_CONNECTION_COUNT = 2000
SETTLE_TIME_S = 1.0


class Measure(msgspec.Struct, frozen=True):
    """One measured value and its target.

    Parameters
    ----------
    measure : str
    value : float
    unit : str
    target : float
        0 if the measure has no target.
    met : bool
        Whether the target is met, True without a target.
    """

    measure: str
    value: float
    unit: str
    target: float
    met: bool


async def measure_latency(running: RunningDeployment) -> list[Measure]:
    """Return the latency that a proxy adds to statements at an instance.

    Direct and proxied statements alternate, so that other load affects both alike.
    """
    database = running.databases[0]
    primary = next(
        e for e in running.endpoints if e.database == database and e.role == "primary"
    )
    proxy = next(
        p for p in running.proxies if p.failure_domain == primary.failure_domain
    )
    user = next(u for u in running.users if u.rank == "urgent")
    direct = await asyncmy.connect(
        host=primary.host,
        port=primary.port,
        user="direct",
        database=database,
        autocommit=True,
    )
    proxied = await asyncmy.connect(
        host=proxy.host,
        port=proxy.mysql_port,
        user=user.name,
        password=user.password,
        database=database,
        autocommit=True,
    )
    table = "overhead_probe"
    await _execute(direct, f"CREATE TABLE IF NOT EXISTS {table} (id INT PRIMARY KEY)")
    measures = []
    for name, statement in (
        ("write", f"INSERT INTO {table} VALUES ({{}})"),
        ("read", f"SELECT id FROM {table} WHERE id = {{}}"),
    ):
        direct_s, proxied_s = await _time_alternately(direct, proxied, statement)
        measures += _added_latency(name, direct_s, proxied_s)
    direct.close()
    proxied.close()
    return measures


async def _time_alternately(
    direct: asyncmy.Connection, proxied: asyncmy.Connection, statement: str
) -> tuple[list[float], list[float]]:
    direct_s, proxied_s = [], []
    for number in range(LATENCY_ROUNDS):
        direct_s.append(await _time_statement(direct, statement.format(2 * number)))
        proxied_s.append(
            await _time_statement(proxied, statement.format(2 * number + 1))
        )
    return direct_s, proxied_s


def _added_latency(
    name: str, direct_s: Sequence[float], proxied_s: Sequence[float]
) -> list[Measure]:
    measures = []
    for percentile, target_ms in ((50, 2.0), (99, 6.0)):
        added_ms = 1000 * (
            _percentile(proxied_s, percentile) - _percentile(direct_s, percentile)
        )
        measures.append(
            Measure(
                f"added latency, {name}, p{percentile}",
                round(added_ms, 3),
                "ms",
                target_ms,
                added_ms <= target_ms,
            )
        )
    return measures


async def measure_throughput(running: RunningDeployment) -> list[Measure]:
    """Return statements per second, in total and per second of proxy CPU time.

    There are four reads for each write.
    """
    processes = [psutil.Process(proxy.pid) for proxy in running.proxies]
    before = sum(_cpu_time_s(process) for process in processes)
    started = time.perf_counter()
    counts = [0] * THROUGHPUT_CALLERS
    async with anyio.create_task_group() as group:
        for caller in range(THROUGHPUT_CALLERS):
            group.start_soon(_run_caller, running, caller, counts)
    elapsed = time.perf_counter() - started
    cpu_s = sum(_cpu_time_s(process) for process in processes) - before
    per_core = sum(counts) / cpu_s
    return [
        Measure("statements/s, all proxies", sum(counts) / elapsed, "1/s", 0.0, True),
        Measure(
            "statements/s per proxy core", per_core, "1/s", 1200.0, per_core >= 1200
        ),
    ]


async def _run_caller(
    running: RunningDeployment, caller: int, counts: list[int]
) -> None:
    proxy = running.proxies[caller % len(running.proxies)]
    user = next(u for u in running.users if u.rank == "normal")
    database = running.databases[caller % len(running.databases)]
    connection = await asyncmy.connect(
        host=proxy.host,
        port=proxy.mysql_port,
        user=user.name,
        password=user.password,
        database=database,
        autocommit=True,
    )
    table = f"throughput_{caller}"
    await _execute(
        connection, f"CREATE TABLE IF NOT EXISTS {table} (id INT PRIMARY KEY)"
    )
    until = time.perf_counter() + THROUGHPUT_DURATION_S
    while time.perf_counter() < until:
        number = counts[caller]
        if number % 5 == 0:
            await _execute(connection, f"INSERT INTO {table} VALUES ({number})")
        else:
            await _execute(connection, f"SELECT id FROM {table} WHERE id = {number}")
        counts[caller] += 1
    connection.close()


async def measure_memory(running: RunningDeployment) -> list[Measure]:
    """Return the resident memory that an idle caller connection adds to a proxy."""
    proxy = running.proxies[0]
    user = running.users[0]
    process = psutil.Process(proxy.pid)
    before = process.memory_info().rss

    async def connect() -> asyncmy.Connection:
        return await asyncmy.connect(
            host=proxy.host,
            port=proxy.mysql_port,
            user=user.name,
            password=user.password,
            database=running.databases[0],
            autocommit=True,
        )

    connections = await _repeat(connect, IDLE_CONNECTION_COUNT)
    await anyio.sleep(SETTLE_TIME_S)
    per_connection = (
        (process.memory_info().rss - before) / IDLE_CONNECTION_COUNT / BYTES_PER_KIB
    )
    for connection in connections:
        connection.close()
    return [
        Measure(
            "memory per idle caller connection",
            round(per_connection, 1),
            "KiB",
            40.0,
            per_connection <= 40.0,
        )
    ]


async def _repeat(
    connect: Callable[[], Awaitable[asyncmy.Connection]], count: int
) -> list[asyncmy.Connection]:
    return [await connect() for _ in range(count)]


async def _execute(connection: asyncmy.Connection, sql: str) -> None:
    cursor = connection.cursor()
    await cursor.execute(sql)
    if cursor.description:
        await cursor.fetchall()


async def _time_statement(connection: asyncmy.Connection, sql: str) -> float:
    started = time.perf_counter()
    await _execute(connection, sql)
    return time.perf_counter() - started


def _percentile(values: Sequence[float], percentile: int) -> float:
    return quantiles(values, n=100)[percentile - 1]


def _cpu_time_s(process: psutil.Process) -> float:
    times = process.cpu_times()
    return times.user + times.system
