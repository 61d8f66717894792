import asyncio
import os

import httpx

from rosemaryward.bench.launch.processes import free_ports
from rosemaryward.bench.relay.app import relay_app
from rosemaryward.bench.relay.network import NetworkSettings
from rosemaryward.bench.relay.relay import Relay
from rosemaryward.bench.web import serve_http


async def echo(reader, writer):
    while data := await reader.read(1024):
        writer.write(data)
    writer.close()


async def test_relay_identifies_forwards_cuts_and_heals():
    """Guards against a cut that passes data, or loses data sent during the cut."""
    server = await asyncio.start_server(echo, "127.0.0.1", 0)
    target = server.sockets[0].getsockname()[1]
    (port,) = free_ports(1)
    nodes = [
        {"name": "here", "region": "r", "failure_domain": "d", "pid": os.getpid()},
        {"name": "echo", "region": "s", "failure_domain": "e"},
    ]
    route = {"listen_host": "127.0.0.1", "listen_port": port, "node": "echo"}
    route |= {"host": "127.0.0.1", "port": target}
    async with (
        Relay(NetworkSettings()) as relay,
        serve_http(relay_app(relay), "127.0.0.1", 0) as control_port,
        httpx.AsyncClient(base_url=f"http://127.0.0.1:{control_port}") as control,
    ):
        assert (await control.post("/routes", json=[route])).status_code == 400
        await control.post("/nodes", json=nodes)
        assert (await control.post("/routes", json=[route])).status_code == 204
        reader, writer = await asyncio.open_connection("127.0.0.1", port)
        ends = [writer.get_extra_info(name) for name in ("sockname", "peername")]
        assert relay.identify(*ends).name == "here"
        writer.write(b"one")
        assert await reader.readexactly(3) == b"one"
        fault = {"source": "r", "target": "s", "cut": True}
        assert (await control.put("/faults", json=[fault])).status_code == 204
        writer.write(b"two")
        answer = asyncio.create_task(reader.readexactly(3))
        done, _ = await asyncio.wait([answer], timeout=0.1)
        assert not done
        await control.put("/faults", json=[])
        assert await answer == b"two"
        counted = (await control.get("/")).json()["region_bytes"]
        assert counted == {"r>s": 6, "s>r": 6}
        writer.close()
    server.close()
