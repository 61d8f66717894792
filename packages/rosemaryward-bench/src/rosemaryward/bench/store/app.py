"""HTTP application of the key-value store."""

import contextlib
from collections.abc import AsyncIterator, Callable
from typing import Any

import anyio
import msgspec
from starlette.applications import Starlette
from starlette.requests import Request
from starlette.responses import Response, StreamingResponse
from starlette.routing import Route
from starlette.types import Receive, Scope, Send

from rosemaryward.bench.store.faults import FaultPlan
from rosemaryward.bench.store.service import StoreService
from rosemaryward.bench.store.wire import INVALID_ARGUMENT, StoreRefusalError

__all__ = ["store_app"]

JSON = "application/json"
CallHandler = Callable[[dict[str, Any]], dict[str, Any]]


class DroppedReply(Response):
    """Response that closes the connection before its body is complete."""

    async def __call__(self, scope: Scope, receive: Receive, send: Send) -> None:
        """Announce a body and send none, so the server closes the connection."""
        headers = [(b"content-length", b"1000000"), (b"connection", b"close")]
        await send({"type": "http.response.start", "status": 200, "headers": headers})
        await send({"type": "http.response.body", "body": b"", "more_body": False})


def store_app(service: StoreService) -> Starlette:
    """Return the application that serves the etcd gateway paths and ``/faults``."""
    calls: dict[str, CallHandler] = {
        "/v3/kv/range": service.range,
        "/v3/kv/put": service.put,
        "/v3/kv/deleterange": service.delete_range,
        "/v3/kv/txn": service.transact,
        "/v3/lease/grant": service.grant,
        "/v3/lease/keepalive": service.keep_alive,
        "/v3/lease/revoke": service.revoke,
    }
    routes = [
        Route(path, call_handler(service, call), methods=["POST"])
        for path, call in calls.items()
    ]
    routes.append(Route("/v3/watch", watch_handler(service), methods=["POST"]))
    routes.append(Route("/faults", faults_handler(service), methods=["GET", "POST"]))
    return Starlette(routes=routes, lifespan=expire_leases_lifespan(service))


def expire_leases_lifespan(service: StoreService) -> Any:
    """Return the lifespan handler that revokes expired leases in the background."""

    @contextlib.asynccontextmanager
    async def lifespan(app: Starlette) -> AsyncIterator[None]:
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(service.expire_leases)
            yield
            tasks.cancel_scope.cancel()

    return lifespan


async def read_body(request: Request) -> dict[str, Any]:
    """Parse the JSON body of a request; an empty body is an empty object."""
    try:
        return msgspec.json.decode(await request.body() or b"{}", type=dict)
    except msgspec.DecodeError as error:
        raise StoreRefusalError(400, INVALID_ARGUMENT, str(error)) from error


def call_handler(service: StoreService, call: CallHandler) -> Any:
    """Return the HTTP handler of a call with a single reply."""

    async def handle(request: Request) -> Response:
        try:
            body = await read_body(request)
            await service.faults.before_call()
            answer = call(body)
        except StoreRefusalError as fault:
            return Response(fault.body, fault.status, media_type=JSON)
        if service.faults.drops_reply():
            service.counts.lost_answers += 1
            return DroppedReply()
        return Response(msgspec.json.encode(answer), media_type=JSON)

    return handle


def watch_handler(service: StoreService) -> Any:
    """Return the HTTP handler of a watch, which streams one JSON document per line."""

    async def handle(request: Request) -> Response:
        try:
            body = await read_body(request)
            await service.faults.before_call()
            answers = service.watch(body)
        except StoreRefusalError as fault:
            return Response(fault.body, fault.status, media_type=JSON)
        return StreamingResponse(encode_lines(answers), media_type=JSON)

    return handle


async def encode_lines(answers: AsyncIterator[dict[str, Any]]) -> AsyncIterator[bytes]:
    """Encode each reply of a stream as one line of JSON."""
    async for answer in answers:
        yield msgspec.json.encode(answer) + b"\n"


def faults_handler(service: StoreService) -> Any:
    """Return the HTTP handler that reads and replaces the fault plan."""

    async def handle(request: Request) -> Response:
        if request.method == "POST":
            try:
                plan = msgspec.json.decode(await request.body(), type=FaultPlan)
            except msgspec.DecodeError as error:
                return Response(str(error), 400)
            service.faults.set_plan(plan)
        answer = {"plan": service.faults.plan, "counts": service.counts}
        return Response(msgspec.json.encode(answer), media_type=JSON)

    return handle
