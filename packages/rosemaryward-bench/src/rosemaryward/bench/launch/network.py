"""Client of a deployment's relay and the relay's address."""

from collections.abc import Sequence
from enum import StrEnum

import httpx
import msgspec

from rosemaryward.bench.relay.forwarder import Route
from rosemaryward.bench.relay.network import Fault, Node

__all__ = ["RELAY_HOST", "RelayControl", "RelayScope"]

RELAY_HOST = "127.0.0.2"  # the relay listens here, on the same ports as the processes


class RelayScope(StrEnum):
    """Which connections of a deployment pass through a relay.

    ``ENDPOINTS`` means connections to the platform and the instances. ``ALL``
    includes those between proxies, which then advertise the relay's address.
    """

    NONE = "none"
    ENDPOINTS = "endpoints"
    ALL = "all"


class RelayControl:
    """Client of a relay's control API.

    Parameters
    ----------
    url : str
        Base URL of the control API.
    host : str
        Address that the processes listen on.
    """

    def __init__(self, url: str, host: str) -> None:
        self.url = url
        self.host = host

    async def add(self, node: Node, ports: Sequence[int]) -> None:
        """Register a process with the relay and add a route for each of its ports."""
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
        """Replace all active faults."""
        await self.send("PUT", "/faults", list(faults))

    async def send(self, method: str, path: str, body: object) -> None:
        """Send one request and raise an error unless it succeeds."""
        async with httpx.AsyncClient(base_url=self.url, trust_env=False) as client:
            content = msgspec.json.encode(body)
            answer = await client.request(method, path, content=content)
            answer.raise_for_status()
