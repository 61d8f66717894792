from pathlib import Path

import asyncmy
import psutil
import pytest

from rosemaryward.bench.deployments import get_deployment
from rosemaryward.bench.launch.launch import Launch, LaunchSettings
from rosemaryward.decisions.document.stored import decode_stored, document_key
from rosemaryward.etcd.store import EtcdStore

EXAMPLES = Path(__file__).parents[7] / "examples"


@pytest.mark.timeout(60)
async def test_deployment_starts_replicates_and_stops(tmp_path):
    """Guards against a deployment that does not serve or leaves processes behind."""
    settings = LaunchSettings(
        deployment=get_deployment("derwent"),
        documents=EXAMPLES,
        out=tmp_path,
        proxies=False,
    )
    async with Launch(settings) as launch:
        running = launch.running
        pids = [child.pid for child in launch.children.values()]
        assert len(running.endpoints) == 9
        async with EtcdStore(running.store_url) as store:
            found = await store.get(document_key(running.environment))
        instances = decode_stored(found.value).document.databases["orders_1"].instances
        for instance in instances.values():
            connection = await asyncmy.connect(host=instance.host, port=instance.port)
            async with connection.cursor() as cursor:
                await cursor.execute("SHOW GROUP STATUS WAIT 1 4 5000")
                assert (await cursor.fetchone())[2:4] == (1, 4)
            connection.close()
    assert not any(psutil.pid_exists(pid) for pid in pids)
