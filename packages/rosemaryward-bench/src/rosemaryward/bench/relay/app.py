"""HTTP control API of a relay."""

from typing import Any, TypeVar

import msgspec
from starlette.applications import Starlette
from starlette.requests import Request
from starlette.responses import Response
from starlette.routing import Route as Path

from rosemaryward.bench.relay.forwarder import Route
from rosemaryward.bench.relay.network import Fault, Node
from rosemaryward.bench.relay.relay import Relay

__all__ = ["relay_app"]

JSON = "application/json"
Item = TypeVar("Item")


def relay_app(relay: Relay) -> Starlette:
    """Return the application that serves the control API."""

    async def add_nodes(request: Request) -> Response:
        relay.add_nodes(await decode_list(request, Node))
        return Response(status_code=204)

    async def add_routes(request: Request) -> Response:
        for route in await decode_list(request, Route):
            await relay.add_route(route)
        return Response(status_code=204)

    async def set_faults(request: Request) -> Response:
        relay.network.set_faults(await decode_list(request, Fault))
        return Response(status_code=204)

    async def status(request: Request) -> Response:
        answer = {
            "nodes": list(relay.nodes.values()),
            "faults": relay.network.faults,
            "region_bytes": relay.network.region_bytes,
        }
        return Response(msgspec.json.encode(answer), media_type=JSON)

    async def refuse(request: Request, error: Exception) -> Response:
        return Response(str(error), 400)

    errors: Any = {msgspec.DecodeError: refuse, KeyError: refuse, OSError: refuse}
    return Starlette(
        routes=[
            Path("/", status, methods=["GET"]),
            Path("/nodes", add_nodes, methods=["POST"]),
            Path("/routes", add_routes, methods=["POST"]),
            Path("/faults", set_faults, methods=["PUT"]),
        ],
        exception_handlers=errors,
    )


async def decode_list(request: Request, kind: type[Item]) -> list[Item]:
    """Parse the JSON list in the body of a request."""
    return msgspec.json.decode(await request.body(), type=list[kind])  # type: ignore[valid-type]
