"""Relay of several routes between known nodes."""

from contextlib import AsyncExitStack

from rosemaryward.bench.relay.forwarder import Forwarder, Route
from rosemaryward.bench.relay.network import CALLERS, Network, NetworkSettings, Node
from rosemaryward.bench.relay.sources import find_source

__all__ = ["Relay"]


class Relay:
    """Forwards the connections of its routes while the context is entered.

    Parameters
    ----------
    settings : NetworkSettings
    """

    def __init__(self, settings: NetworkSettings) -> None:
        self.network = Network(settings)
        self.nodes: dict[str, Node] = {}
        self.forwarders: list[Forwarder] = []
        self.stack = AsyncExitStack()

    async def __aenter__(self) -> "Relay":
        await self.stack.__aenter__()
        return self

    async def __aexit__(self, *exc_info: object) -> None:
        await self.stack.aclose()

    def add_nodes(self, nodes: list[Node]) -> None:
        """Register nodes, whose connections then get the latency of their location."""
        self.nodes.update((node.name, node) for node in nodes)

    async def add_route(self, route: Route) -> Forwarder:
        """Start to forward one route, whose node must be registered.

        Raises
        ------
        KeyError
            If the route's node is not registered.
        OSError
            If the address is in use.
        """
        node = self.nodes[route.node]
        forwarder = Forwarder(route, node, self.network, self.identify)
        await self.stack.enter_async_context(forwarder)
        self.forwarders.append(forwarder)
        return forwarder

    def identify(self, local: tuple[str, int], remote: tuple[str, int]) -> Node:
        """Return the node whose process opened a connection, `CALLERS` if none did.

        All processes of a deployment share the loopback address, so the source is
        identified by the process that owns the other end of the connection.
        """
        return find_source(local, remote, self.nodes.values()) or CALLERS
