"""Instances, client connections and helpers for the tests."""

from contextlib import AsyncExitStack, asynccontextmanager
from typing import Any

import asyncmy

from rosemaryward.bench.instance.server import Instance, InstanceSettings
from rosemaryward.decisions.interfaces import InstanceRole


@asynccontextmanager
async def client(port: int, autocommit: bool = True, **options: Any):
    connection = await asyncmy.connect(
        host="127.0.0.1", port=port, user="u", autocommit=autocommit, **options
    )
    try:
        yield connection
    finally:
        connection.close()


async def run(connection, sql: str, *arguments: Any):
    async with connection.cursor() as cursor:
        await cursor.execute(sql, arguments or None)
        return list(await cursor.fetchall()) if cursor.description else cursor


async def follow(replica: Instance, term: int, primary: Instance) -> bool:
    return replica.group.follow(term, "127.0.0.1", primary.port)


@asynccontextmanager
async def group(count: int = 3, **options: Any):
    """Run a primary and its replicas without service time, connect cost or lag."""
    options_without_delays: dict[str, Any] = {
        "service_time_s": 0,
        "connect_cost_s": 0,
        "lag_s": 0,
    }
    options_without_delays |= options
    async with AsyncExitStack() as stack:
        settings = InstanceSettings(role=InstanceRole.PRIMARY, **options_without_delays)
        instances = [await stack.enter_async_context(Instance(settings))]
        for _ in range(count - 1):
            settings = InstanceSettings(
                primary=("127.0.0.1", instances[0].port), **options_without_delays
            )
            instances.append(await stack.enter_async_context(Instance(settings)))
        yield instances


async def wait_until_applied(instance: Instance, primary: Instance) -> None:
    await instance.group.wait_until(
        lambda: instance.group.applied >= primary.group.log.last, 5
    )
    assert instance.group.applied >= primary.group.log.last
