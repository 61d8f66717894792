import random

import pytest

from rosemaryward.bench.deployments import get_deployment
from rosemaryward.bench.history.checker import check_history
from rosemaryward.bench.history.operations import Outcome
from rosemaryward.bench.instance.tests.support import client, group, run
from rosemaryward.bench.launch.state import (
    RunningDeployment,
    RunningEndpoint,
    RunningProxy,
    RunningUser,
)
from rosemaryward.bench.load.callers import Caller
from rosemaryward.bench.load.endpoints import (
    PrimaryObserver,
    final_operations,
    read_counts,
)
from rosemaryward.bench.load.recorder import Recorder


def running_set(instance) -> RunningDeployment:
    """Return a set with one instance that also serves as the proxy."""
    place = {"region": "r", "failure_domain": "f", "host": "127.0.0.1", "pid": 0}
    return RunningDeployment(
        deployment="derwent",
        environment="trial",
        proxies=[
            RunningProxy(host_id="p", mysql_port=instance.port, admin_url="", **place)
        ],
        endpoints=[
            RunningEndpoint(
                database="d",
                instance="i",
                port=instance.port,
                role="primary",
                **place,
            )
        ],
        databases=["d"],
        users=[RunningUser(name="u", password="x", rank="urgent")],
        admin_token="",
        store_url="",
        hosts_url="",
        tables={"urgent": "orders", "normal": "reservations", "bulk": "stock"},
    )


@pytest.mark.parametrize("lost", [False, True])
async def test_recorded_operations_pass_and_a_lost_write_is_found(lost):
    """Guards against histories that hide a lost write or report a false one."""
    async with group(1) as (primary,), client(primary.port) as connection:
        for definition in get_deployment("derwent").table_definitions():
            await run(connection, definition)
        running, recorder = running_set(primary), Recorder()
        caller = Caller("s", running, running.users[0], recorder, random.Random(1))
        for _ in range(10):
            await caller.write()
            await caller.read()
            await caller.transact()
        assert {item.outcome for item in recorder.operations} == {Outcome.DONE}
        assert await read_counts(running.endpoints) == (0, 20)
        if lost:
            await run(connection, "DELETE FROM orders WHERE item = 's-1'")
        observer = PrimaryObserver(running, recorder)
        observer.record_primary(running.endpoints[0], 1, "primary")
        finals = await final_operations(running, observer.primaries.values())
        report = check_history([*recorder.operations, *finals])
        assert report.counts["lost"] == int(lost)
        assert report.passed is not lost
        for open_connection in caller.connections.values():
            open_connection.close()
