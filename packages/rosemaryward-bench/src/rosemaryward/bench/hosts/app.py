"""HTTP application that serves the list of hosts."""

from typing import Any

import anyio
import msgspec
from starlette.applications import Starlette
from starlette.requests import Request
from starlette.responses import Response
from starlette.routing import Route

from rosemaryward.decisions.interfaces import ListedHost

__all__ = ["HostDirectory", "hosts_app"]

JSON = "application/json"


class HostDirectory:
    """List of hosts whose changes become visible after a lag.

    Parameters
    ----------
    lag_s : float
        Delay in seconds until a new list is visible.
    """

    def __init__(self, lag_s: float = 0.0) -> None:
        self.lag_s = lag_s
        self.down = False
        self.versions: list[tuple[float, list[ListedHost]]] = []

    def replace(self, hosts: list[ListedHost]) -> None:
        """Set the list; the first one is visible immediately."""
        visible_at = anyio.current_time() + self.lag_s if self.versions else 0.0
        self.versions.append((visible_at, hosts))

    def visible(self) -> list[ListedHost]:
        """Return the newest list whose lag has passed, empty if there is none."""
        now = anyio.current_time()
        visible_lists = [
            hosts for visible_at, hosts in self.versions if visible_at <= now
        ]
        return visible_lists[-1] if visible_lists else []


class Behaviour(msgspec.Struct, forbid_unknown_fields=True):
    """Request body that sets the directory's lag and availability."""

    lag_s: float = 0.0
    down: bool = False


def hosts_app(directory: HostDirectory) -> Starlette:
    """Return the application that serves the list and accepts changes."""

    async def show(request: Request) -> Response:
        if directory.down:
            return Response("unavailable", 503)
        return Response(msgspec.json.encode(directory.visible()), media_type=JSON)

    async def replace(request: Request) -> Response:
        try:
            hosts = msgspec.json.decode(await request.body(), type=list[ListedHost])
        except msgspec.DecodeError as error:
            return Response(str(error), 400)
        directory.replace(hosts)
        return Response(status_code=204)

    async def set_behaviour(request: Request) -> Response:
        try:
            wanted = msgspec.json.decode(await request.body(), type=Behaviour)
        except msgspec.DecodeError as error:
            return Response(str(error), 400)
        directory.lag_s, directory.down = wanted.lag_s, wanted.down
        return Response(status_code=204)

    routes: list[Any] = [
        Route("/", show, methods=["GET"]),
        Route("/hosts", show, methods=["GET"]),
        Route("/hosts", replace, methods=["PUT"]),
        Route("/behaviour", set_behaviour, methods=["POST"]),
    ]
    return Starlette(routes=routes)
