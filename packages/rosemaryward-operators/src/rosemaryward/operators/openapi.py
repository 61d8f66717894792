"""OpenAPI description and reference page of the administration API."""

import json
import re
from pathlib import Path
from typing import Any

import msgspec

from rosemaryward.operators.operations import OPERATIONS, Operation
from rosemaryward.operators.replies import ErrorReply

__all__ = ["openapi_document", "render_reference", "write_files"]

TITLE = "rosemaryward administration API"
PAGE_NAME = "administration-api.md"
OPENAPI_NAME = "openapi.json"
PATH_PARAMETER = re.compile(r"\{(\w+)\}")

INTRODUCTION = """# Administration API

Each proxy serves the API on its administration address. Requests carry
`Authorization: Bearer TOKEN`; only `/livez` (200 while the process runs), `/readyz`
(200 if the proxy serves callers, else 503) and the empty status page `/` need no
token. `/metrics` and `/openapi.json` need the role `read`. A token may make 20
requests a second with a burst of 40. Bodies are JSON; a body over the limit gets
status 413.

Errors have the body `{"error": {"code": …, "message": …, "path": …}}`. The path names
the field of the document or of the request. A conflict adds `version`, `author`,
`changed_at` and `sections`.

| status | code | meaning |
| --- | --- | --- |
| 400 | `bad_request` | malformed body, query, user, database or statement |
| 401 | `no_token` | missing or unknown token |
| 403 | `wrong_role` | the token lacks the role |
| 404 | `no_such_version`, `unknown_host`, `not_found` | nothing there |
| 409 | `conflict` | the document changed after it was read |
| 409 | `turn_back` | the snapshot is older than the store |
| 413 | `too_large` | the body is too long |
| 422 | `invalid_document` | the document fails a check; nothing is stored |
| 429 | `too_many_requests` | the rate of the token is exhausted |
| 502 | `peer_unavailable` | the other proxy does not reply |
| 503 | `store_unavailable` | the store does not reply; nothing is changed |
| 504 | `outcome_unknown` | the store did not confirm; compare the history |

This page and `openapi.json` are generated with
`python -m rosemaryward.operators.openapi docs/reference`.

| operation | role | body | reply | body limit | description |
| --- | --- | --- | --- | --- | --- |
"""


def _schema(kind: type, references: dict[type, dict[str, Any]]) -> dict[str, Any]:
    return {"type": "object"} if kind is bytes else references[kind]


def _parameters(operation: Operation) -> list[dict[str, Any]]:
    parameters = [(name, "path") for name in PATH_PARAMETER.findall(operation.path)]
    parameters += [(name, "query") for name in operation.query]
    return [
        {
            "name": name,
            "in": location,
            "required": location == "path",
            "schema": {"type": "string" if location == "path" else "integer"},
        }
        for name, location in parameters
    ]


def _content(schema: dict[str, Any]) -> dict[str, Any]:
    return {"application/json": {"schema": schema}}


def _describe_operation(
    operation: Operation, references: dict[type, dict[str, Any]]
) -> dict[str, Any]:
    result: dict[str, Any] = {
        "summary": operation.summary,
        "operationId": operation.handler.__name__,
        "description": f"Needs the role {operation.role}.",
        "responses": {
            "200": {
                "description": "Success",
                "content": _content(_schema(operation.reply, references)),
            },
            "default": {
                "description": "Error",
                "content": _content(references[ErrorReply]),
            },
        },
    }
    parameters = _parameters(operation)
    if parameters:
        result["parameters"] = parameters
    if operation.body is not None:
        content = _content(_schema(operation.body, references))
        result["requestBody"] = {"required": True, "content": content}
    return result


def openapi_document() -> dict[str, Any]:
    """Return the OpenAPI 3.1 description of the API."""
    kinds: set[type] = {ErrorReply}
    for operation in OPERATIONS:
        kinds |= {operation.body or ErrorReply, operation.reply} - {bytes}
    ordered = sorted(kinds, key=lambda kind: kind.__name__)
    schemas, components = msgspec.json.schema_components(
        ordered, ref_template="#/components/schemas/{name}"
    )
    references = dict(zip(ordered, schemas, strict=True))
    paths: dict[str, Any] = {}
    for operation in OPERATIONS:
        methods = paths.setdefault(operation.path, {})
        methods[operation.method.lower()] = _describe_operation(operation, references)
    return {
        "openapi": "3.1.0",
        "info": {"title": TITLE, "version": "1"},
        "security": [{"token": []}],
        "paths": paths,
        "components": {
            "schemas": components,
            "securitySchemes": {"token": {"type": "http", "scheme": "bearer"}},
        },
    }


def _kind_name(kind: type | None) -> str:
    if kind is None:
        return ""
    return "snapshot" if kind is bytes else f"`{kind.__name__}`"


def render_reference() -> str:
    """Return the reference page in Markdown."""
    lines = []
    for operation in OPERATIONS:
        query = "".join(f" `?{name}=`" for name in operation.query)
        cells = [
            f"`{operation.method} {operation.path}`{query}",
            f"`{operation.role}`",
            _kind_name(operation.body),
            _kind_name(operation.reply),
            f"{operation.limit:,}" if operation.body else "",
            operation.summary,
        ]
        lines.append("| " + " | ".join(cells) + " |")
    return INTRODUCTION + "\n".join(lines) + "\n"


def render_openapi() -> str:
    """Return the text of the OpenAPI file."""
    return json.dumps(openapi_document(), indent=2, ensure_ascii=False) + "\n"


def write_files(directory: Path) -> None:
    """Write the reference page and the OpenAPI file."""
    directory.mkdir(parents=True, exist_ok=True)
    (directory / PAGE_NAME).write_text(render_reference())
    (directory / OPENAPI_NAME).write_text(render_openapi())


if __name__ == "__main__":
    import sys

    write_files(Path(sys.argv[1]))
