import anyio
import httpx
import msgspec
import pytest

from rosemaryward.bench.hosts.app import HostDirectory, hosts_app
from rosemaryward.bench.web import serve_http
from rosemaryward.decisions.interfaces import ListedHost

HOST = ListedHost("h1", "127.0.0.1", 1, 2, "nam-bo", "nam-bo-1")


@pytest.mark.looptime
async def test_changes_are_visible_after_the_lag():
    """Guards against changes that are visible before the lag has passed."""
    directory = HostDirectory(lag_s=30)
    directory.replace([HOST])
    assert directory.visible() == [HOST]
    directory.replace([])
    await anyio.sleep(29)
    assert directory.visible() == [HOST]
    await anyio.sleep(2)
    assert directory.visible() == []


async def test_document_over_http():
    """Guards against a list that the client cannot parse or a fault without effect."""
    async with (
        serve_http(hosts_app(HostDirectory()), "127.0.0.1", 0) as port,
        httpx.AsyncClient(base_url=f"http://127.0.0.1:{port}") as client,
    ):
        body = msgspec.json.encode([HOST])
        assert (await client.put("/hosts", content=body)).status_code == 204
        answer = await client.get("/hosts")
        assert msgspec.json.decode(answer.content, type=list[ListedHost]) == [HOST]
        await client.post("/behaviour", json={"down": True})
        assert (await client.get("/hosts")).status_code == 503
