"""Decoding of requests and encoding of replies of the administration API."""

import re
from typing import Any, TypeVar

import msgspec
from starlette.requests import Request
from starlette.responses import Response

from rosemaryward.decisions.decoding import decode_json
from rosemaryward.decisions.errors import (
    ConflictError,
    DocumentError,
    OutcomeUnknownError,
    PeerError,
    RosemarywardError,
    StoreError,
)
from rosemaryward.operators.configuration import (
    NoSuchVersionError,
    VersionConflictError,
)
from rosemaryward.operators.replies import ErrorBody, ErrorReply
from rosemaryward.operators.snapshot import StaleSnapshotError
from rosemaryward.operators.view import UnknownHostError

__all__ = ["ApiError", "error_response", "json_response", "read_body", "read_json"]

SECURITY_HEADERS = {
    "cache-control": "no-store",
    "x-content-type-options": "nosniff",
}
ERROR_PATH_PATTERN = re.compile(r" - at `(?:key` in `)?\$\.?(.*)`$")

T = TypeVar("T")


class ApiError(RosemarywardError):
    """A request that the API refuses.

    Parameters
    ----------
    status : int
        HTTP status code.
    code, message : str
        Error code for programs and explanation for operators.
    path : str
        Field of the request that is wrong, empty if it is none.
    headers : dict of str to str, optional
        Additional headers of the reply.
    """

    def __init__(
        self,
        status: int,
        code: str,
        message: str,
        path: str = "",
        headers: dict[str, str] | None = None,
    ) -> None:
        super().__init__(message)
        self.status = status
        self.body = ErrorBody(code=code, message=message, path=path)
        self.headers = headers or {}


ERROR_CODES: tuple[tuple[type[Exception], int, str], ...] = (
    # The first matching class is used, so subclasses precede their base classes.
    (NoSuchVersionError, 404, "no_such_version"),
    (UnknownHostError, 404, "unknown_host"),
    (StaleSnapshotError, 409, "turn_back"),
    (ConflictError, 409, "conflict"),
    (StoreError, 503, "store_unavailable"),
    (OutcomeUnknownError, 504, "outcome_unknown"),
    (PeerError, 502, "peer_unavailable"),
)


def json_response(
    value: Any, status: int = 200, headers: dict[str, str] | None = None
) -> Response:
    """Return a reply with a value encoded as JSON."""
    return Response(
        msgspec.json.encode(value),
        status,
        SECURITY_HEADERS | (headers or {}),
        "application/json",
    )


def _describe(error: Exception) -> tuple[int, ErrorBody]:
    """Return the HTTP status and the body for an error."""
    if isinstance(error, DocumentError):
        body = ErrorBody(
            code="invalid_document", message=error.problem, path=error.path
        )
        return 422, body
    for kind, status, code in ERROR_CODES:
        if isinstance(error, kind):
            return status, ErrorBody(code=code, message=str(error))
    raise error


def error_response(error: Exception) -> Response:
    """Return the reply for an error; re-raises unexpected errors."""
    if isinstance(error, ApiError):
        return json_response(ErrorReply(error.body), error.status, error.headers)
    status, body = _describe(error)
    if isinstance(error, VersionConflictError) and error.current is not None:
        body = msgspec.structs.replace(
            body,
            version=error.current.version,
            author=error.current.author,
            changed_at=error.current.changed_at,
            sections=error.sections,
        )
    return json_response(ErrorReply(body), status)


async def read_body(request: Request, limit: int) -> bytes:
    """Return the body of a request.

    Parameters
    ----------
    request : Request
    limit : int
        Longest accepted body in bytes.

    Raises
    ------
    ApiError
        If the body is longer than `limit` bytes.
    """
    refusal = ApiError(413, "too_large", f"expected at most {limit} bytes")
    declared = request.headers.get("content-length", "0")
    if not declared.isdecimal() or int(declared) > limit:
        raise refusal
    chunks: list[bytes] = []
    size = 0
    async for chunk in request.stream():
        size += len(chunk)
        if size > limit:
            raise refusal
        chunks.append(chunk)
    return b"".join(chunks)


def read_json(data: bytes, kind: type[T]) -> T:
    """Decode the JSON body of a request.

    Raises
    ------
    ApiError
        If the body is malformed; its path is the wrong field.
    """
    try:
        return decode_json(data, kind)
    except (msgspec.MsgspecError, UnicodeDecodeError) as error:
        found = ERROR_PATH_PATTERN.search(str(error))
        path = found[1] if found else ""
        raise ApiError(400, "bad_request", str(error), path) from error
