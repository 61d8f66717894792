import asyncio
import base64
import json
from contextlib import asynccontextmanager

import httpx
import pytest

from rosemaryward.bench.store.app import store_app
from rosemaryward.bench.store.service import StoreService
from rosemaryward.bench.web import serve_http


def b64(text: str) -> str:
    return base64.b64encode(text.encode()).decode()


@asynccontextmanager
async def store(**limits):
    app = store_app(StoreService(**limits))
    async with (
        serve_http(app, "127.0.0.1", 0) as port,
        httpx.AsyncClient(base_url=f"http://127.0.0.1:{port}") as client,
    ):
        yield client


async def call(client, path, **body):
    answer = await client.post(path, json=body)
    answer.raise_for_status()
    return answer.json()


async def swap(client, value, revision):
    return await call(
        client,
        "/v3/kv/txn",
        compare=[{"key": b64("k"), "target": "MOD", "mod_revision": str(revision)}],
        success=[{"request_put": {"key": b64("k"), "value": b64(value)}}],
        failure=[{"request_range": {"key": b64("k")}}],
    )


async def test_compare_and_swap_and_range():
    """Guards against two writers that both succeed at the same revision."""
    async with store() as client:
        assert (await swap(client, "a", 0))["succeeded"]
        refused = await swap(client, "b", 0)
        assert "succeeded" not in refused
        found = refused["responses"][0]["response_range"]["kvs"][0]
        assert (found["value"], found["version"]) == (b64("a"), "1")
        assert (await swap(client, "c", found["mod_revision"]))["succeeded"]
        await call(client, "/v3/kv/put", key=b64("k2"), value=b64("x"))
        answer = await call(client, "/v3/kv/range", key=b64("k"), range_end=b64("l"))
        values = [base64.b64decode(item["value"]) for item in answer["kvs"]]
        assert (answer["count"], values) == ("2", [b"c", b"x"])


async def test_watch_streams_every_change_and_ends_when_down():
    """Guards against watches that miss a change or stay open when the store is down."""
    async with store() as client:
        await swap(client, "a", 0)
        body = {"create_request": {"key": b64("k"), "start_revision": "1"}}
        async with client.stream("POST", "/v3/watch", json=body) as stream:
            lines = stream.aiter_lines()
            assert json.loads(await anext(lines))["result"]["created"]
            for value in ("a", "b"):
                result = json.loads(await anext(lines))["result"]
                (event,) = result["events"]
                assert event["kv"]["value"] == b64(value)
                if value == "a":
                    await swap(client, "b", event["kv"]["mod_revision"])
            await call(client, "/faults", down=True)
            assert [line async for line in lines] == []
        assert (await client.post("/v3/kv/range", json={})).status_code == 503


async def test_lost_answer_takes_effect():
    """Guards against a fault that discards the change together with the reply."""
    async with store() as client:
        await call(client, "/faults", lose_answers=1.0)
        with pytest.raises(httpx.HTTPError):
            await swap(client, "a", 0)
        await call(client, "/faults")
        assert "kvs" in await call(client, "/v3/kv/range", key=b64("k"))


async def test_lease_ends_with_its_keys():
    """Guards against keys that outlive their lease."""
    async with store() as client:
        lease = (await call(client, "/v3/lease/grant", TTL="60"))["ID"]
        await call(client, "/v3/kv/put", key=b64("k"), value=b64("v"), lease=lease)
        kept = await call(client, "/v3/lease/keepalive", ID=lease)
        assert kept["result"]["TTL"] == "60"
        await call(client, "/v3/lease/revoke", ID=lease)
        assert "kvs" not in await call(client, "/v3/kv/range", key=b64("k"))
        kept = await call(client, "/v3/lease/keepalive", ID=lease)
        assert "TTL" not in kept["result"]


async def test_limits():
    """Guards against a store that exceeds its rate limit or value size limit."""
    async with store(writes_per_s=2) as client:
        body = {"key": b64("k"), "value": b64("v")}
        answers = await asyncio.gather(
            *(client.post("/v3/kv/put", json=body) for _ in range(20))
        )
        assert 429 in {answer.status_code for answer in answers}
        large = {"key": b64("k"), "value": b64("v" * (1024 * 1024 + 1))}
        await asyncio.sleep(0.6)
        assert (await client.post("/v3/kv/put", json=large)).status_code == 400
