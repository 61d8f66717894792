"""Relay of a launch and the addresses that processes give to others."""

from collections.abc import Sequence
from enum import StrEnum

import httpx
import msgspec

from rosemaryward.bench.relay.forwarder import Route
from rosemaryward.bench.relay.network import Fault, Node

__all__ = ["RELAY_HOST", "RelayControl", "RelayScope"]

RELAY_HOST = "127.0.0.2"  # same ports as on the address that processes listen on


class RelayScope(StrEnum):
    """Which connections of a launch pass through a relay.

    ``ALL`` includes those between proxies, which then advertise the relay's
    address.
    """

    NONE = "none"
    ENDPOINTS = "endpoints"
    ALL = "all"


class RelayControl:
    """Client of a relay's control.

    Parameters
    ----------
    url : str
    host : str
        Address that the processes listen on.
    """

    def __init__(self, url: str, host: str) -> None:
        self.url = url
        self.host = host

    async def add(self, node: Node, ports: Sequence[int]) -> None:
        """Make a process known and listen for its ports."""
        routes = [
            Route(
                listen_host=RELAY_HOST,
                listen_port=port,
                host=self.host,
                port=port,
                node=node.name,
            )
            for port in ports
        ]
        await self.send("POST", "/nodes", [node])
        await self.send("POST", "/routes", routes)

    async def set_faults(self, faults: Sequence[Fault]) -> None:
        """Replace the faults in force."""
        await self.send("PUT", "/faults", list(faults))

    async def send(self, method: str, path: str, body: object) -> None:
        """Send one request and require success."""
        async with httpx.AsyncClient(base_url=self.url, trust_env=False) as client:
            content = msgspec.json.encode(body)
            answer = await client.request(method, path, content=content)
            answer.raise_for_status()
