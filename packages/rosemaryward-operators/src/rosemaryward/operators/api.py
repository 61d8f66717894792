"""ASGI application of the administration API."""

from collections.abc import Awaitable, Callable
from typing import Any

from starlette.applications import Starlette
from starlette.exceptions import HTTPException
from starlette.requests import Request
from starlette.responses import HTMLResponse, Response
from starlette.routing import Route

from rosemaryward.decisions.errors import RosemarywardError
from rosemaryward.operators.configuration import ConfigurationService
from rosemaryward.operators.http import (
    SECURITY_HEADERS,
    ApiError,
    error_response,
    json_response,
    read_body,
    read_json,
)
from rosemaryward.operators.metrics import ProxyMetrics
from rosemaryward.operators.openapi import openapi_document
from rosemaryward.operators.operations import OPERATIONS, Call, Handlers, Operation
from rosemaryward.operators.page import STATUS_PAGE, STATUS_PAGE_HEADERS
from rosemaryward.operators.tokens import Role, TokenEntry, TokenRegistry
from rosemaryward.operators.view import ProxyView, UnknownHostError

__all__ = ["create_app"]

RequestHandler = Callable[[Request], Awaitable[Response]]


class TokenAuthorizer:
    """Authorizes requests by their bearer token.

    Parameters
    ----------
    tokens : TokenRegistry
    """

    __slots__ = ("tokens",)

    def __init__(self, tokens: TokenRegistry) -> None:
        self.tokens = tokens

    def authorize(self, request: Request, role: Role) -> TokenEntry:
        """Return the entry of a request's token.

        Raises
        ------
        ApiError
            If the token is missing, unknown, lacks the role or exceeds its rate.
        """
        kind, _, token = request.headers.get("authorization", "").partition(" ")
        entry = self.tokens.find(token) if kind.lower() == "bearer" else None
        if entry is None:
            if not self.tokens.failed_logins.take():
                raise _too_many_requests()
            headers = {"www-authenticate": "Bearer"}
            raise ApiError(401, "no_token", "expected a known token", "", headers)
        if not self.tokens.allow(entry):
            raise _too_many_requests()
        if role not in entry.roles:
            raise ApiError(403, "wrong_role", f"expected a token with the role {role}")
        return entry


def _too_many_requests() -> ApiError:
    headers = {"retry-after": "1"}
    return ApiError(429, "too_many_requests", "too many requests", "", headers)


def _convert_errors(call: RequestHandler) -> RequestHandler:
    """Return a request handler that converts errors to replies."""

    async def handle(request: Request) -> Response:
        try:
            return await call(request)
        except (RosemarywardError, UnknownHostError) as error:
            return error_response(error)

    return handle


def _operation_handler(
    operation: Operation, handlers: Handlers, authorizer: TokenAuthorizer
) -> RequestHandler:
    async def handle(request: Request) -> Response:
        token = authorizer.authorize(request, operation.role)
        body: Any = await read_body(request, operation.limit)
        if operation.body not in (None, bytes):
            body = read_json(body, operation.body)
        for name in request.query_params:
            if name not in operation.query:
                raise ApiError(400, "bad_request", "unknown query parameter", name)
        call = Call(
            token=token,
            body=body,
            path_values=dict(request.path_params),
            query=dict(request.query_params),
        )
        reply = await operation.handler(handlers, call)
        if isinstance(reply, bytes):
            return Response(reply, 200, SECURITY_HEADERS, "application/json")
        return json_response(reply)

    return _convert_errors(handle)


def _fixed_handlers(
    handlers: Handlers, authorizer: TokenAuthorizer
) -> dict[str, RequestHandler]:
    description = openapi_document()

    async def page(request: Request) -> Response:
        return HTMLResponse(STATUS_PAGE, headers=STATUS_PAGE_HEADERS | SECURITY_HEADERS)

    async def livez(request: Request) -> Response:
        return json_response({"live": True})

    async def readyz(request: Request) -> Response:
        ready = handlers.cached_status().ready
        return json_response({"ready": ready}, 200 if ready else 503)

    async def metrics(request: Request) -> Response:
        authorizer.authorize(request, Role.READ)
        status = handlers.cached_status()
        handlers.metrics.set_configuration(
            status.configuration_version, status.configuration_age_s
        )
        handlers.metrics.set_caller_connections(status.caller_connections)
        body, headers = handlers.metrics.render(request.headers.getlist("accept"))
        return Response(body, 200, SECURITY_HEADERS | headers)

    async def openapi(request: Request) -> Response:
        authorizer.authorize(request, Role.READ)
        return json_response(description)

    return {
        "/": page,
        "/livez": livez,
        "/readyz": readyz,
        "/metrics": metrics,
        "/openapi.json": openapi,
    }


async def _http_error(request: Request, error: Exception) -> Response:
    assert isinstance(error, HTTPException)
    code = "not_found" if error.status_code == 404 else "bad_request"
    api_error = ApiError(error.status_code, code, error.detail)
    return error_response(api_error)


async def _server_error(request: Request, error: Exception) -> Response:
    return error_response(ApiError(500, "internal", "internal error"))


def create_app(
    view: ProxyView,
    configuration: ConfigurationService,
    tokens: TokenRegistry,
    metrics: ProxyMetrics | None = None,
) -> Starlette:
    """Return the administration API as an ASGI application.

    Parameters
    ----------
    view : ProxyView
    configuration : ConfigurationService
    tokens : TokenRegistry
    metrics : ProxyMetrics, optional
        Metrics that ``/metrics`` returns.
    """
    handlers = Handlers(view, configuration, metrics or ProxyMetrics())
    authorizer = TokenAuthorizer(tokens)
    routes = [
        Route(
            operation.path,
            _operation_handler(operation, handlers, authorizer),
            methods=[operation.method],
        )
        for operation in OPERATIONS
    ]
    for path, handle in _fixed_handlers(handlers, authorizer).items():
        routes.append(Route(path, _convert_errors(handle), methods=["GET"]))
    return Starlette(
        routes=routes,
        exception_handlers={HTTPException: _http_error, Exception: _server_error},
    )
