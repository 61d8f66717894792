import json
from pathlib import Path

import anyio
import httpx
import msgspec
import pytest

from rosemaryward.decisions.document import render_document
from rosemaryward.operators.api import create_app
from rosemaryward.operators.configuration import ConfigurationService
from rosemaryward.operators.openapi import render_openapi, render_reference
from rosemaryward.operators.operations import MAX_BODY_BYTES, OPERATIONS, STATUS_CACHE_S
from rosemaryward.operators.tests.examples import (
    PASSWORD_HASH,
    MemoryStore,
    example_document,
)
from rosemaryward.operators.tokens import Role, TokenEntry, TokenRegistry, hash_token
from rosemaryward.operators.view import (
    ExplainReply,
    ExplainRequest,
    ProxyStatus,
    UnknownHostError,
)

REFERENCE = Path(__file__).parents[6] / "docs" / "reference"
TOKENS = {
    "reader": (Role.READ,),
    "changer": (Role.READ, Role.CHANGE),
    "drainer": (Role.DRAIN,),
}


CERTIFICATE = Path(__file__).parent / "certificates" / "first.pem"


def registry() -> TokenRegistry:
    return TokenRegistry(
        TokenEntry(name=name, sha256=hash_token(f"{name}-token"), roles=roles)
        for name, roles in TOKENS.items()
    )


class FakeView:
    """Proxy view with fixed replies."""

    def __init__(self) -> None:
        self.drained: list[str] = []
        self.ready = True

    def status(self) -> ProxyStatus:
        return ProxyStatus(host_id="h1", environment="production", ready=self.ready)

    def explain(self, request: ExplainRequest) -> ExplainReply:
        if request.user != "shop":
            raise ValueError(f"unknown user {request.user!r}")
        return ExplainReply(tenant="orders", rank="urgent", access="read", target="i1")

    async def drain(self, host_id: str) -> None:
        if host_id != "h2":
            raise UnknownHostError(f"no proxy has the host id {host_id!r}")
        self.drained.append(host_id)


class Client:
    """Calls the application without a network."""

    def __init__(self) -> None:
        self.view = FakeView()
        self.store = MemoryStore()
        self.configuration = ConfigurationService(self.store, "production")
        app = create_app(self.view, self.configuration, registry())
        transport = httpx.ASGITransport(app)
        self.http = httpx.AsyncClient(transport=transport, base_url="http://proxy")

    async def call(
        self, method: str, path: str, token: str = "changer", **options: object
    ) -> httpx.Response:
        headers = {"authorization": f"Bearer {token}-token"} if token else {}
        return await self.http.request(method, path, headers=headers, **options)

    async def put(self, base_version: int, **slots: int) -> httpx.Response:
        text = render_document(example_document(**slots), "d.yaml")
        body = {"text": text, "base_version": base_version, "comment": "slots"}
        return await self.call("PUT", "/v1/config", json=body)


@pytest.fixture
def client() -> Client:
    return Client()


PROTECTED = [(item.method, item.path.format(host_id="h2")) for item in OPERATIONS]
PROTECTED += [("GET", "/metrics"), ("GET", "/openapi.json")]


@pytest.mark.looptime
@pytest.mark.parametrize(("method", "path"), PROTECTED)
@pytest.mark.parametrize("token", ["", "guessed"])
async def test_no_token(client, method, path, token):
    """Guards against operations that are allowed without a known token."""
    reply = await client.call(method, path, token)
    assert reply.status_code == 401
    assert reply.json()["error"]["code"] == "no_token"
    assert client.view.drained == []


@pytest.mark.looptime
@pytest.mark.parametrize("operation", OPERATIONS, ids=lambda o: f"{o.method}{o.path}")
async def test_wrong_role(client, operation):
    """Guards against operations that a token without the role may call."""
    wrong = next(name for name, roles in TOKENS.items() if operation.role not in roles)
    path = operation.path.format(host_id="h2")
    reply = await client.call(operation.method, path, wrong)
    assert reply.status_code == 403
    assert client.view.drained == []


@pytest.mark.looptime
async def test_public_paths(client):
    """Guards against probes that need a token and data in the static status page."""
    assert (await client.call("GET", "/livez", "")).status_code == 200
    assert (await client.call("GET", "/readyz", "")).status_code == 200
    client.view.ready = False
    await anyio.sleep(STATUS_CACHE_S)
    assert (await client.call("GET", "/readyz", "")).status_code == 503
    page = await client.call("GET", "/", "")
    assert "h1" not in page.text.replace("<h1>", "").replace("</h1>", "")
    assert "default-src 'none'" in page.headers["content-security-policy"]
    missing = await client.call("GET", "/v2", "")
    assert (missing.status_code, missing.json()["error"]["code"]) == (404, "not_found")


@pytest.mark.looptime
async def test_apply_show_and_conflict(client):
    """Guards against a conflict reply without the newer version and its author."""
    assert (await client.put(0)).json()["version"] == 1
    assert (await client.put(1, orders=2)).json()["author"] == "changer"
    conflict = await client.put(1, orders=1)
    error = conflict.json()["error"]
    assert (conflict.status_code, error["version"], error["author"]) == (
        409,
        2,
        "changer",
    )
    assert error["sections"] == ["databases.orders"]
    history = (await client.call("GET", "/v1/config/history?limit=1")).json()
    assert [entry["version"] for entry in history["versions"]] == [2]
    body = {"version": 1, "comment": "back"}
    reply = await client.call("POST", "/v1/config/rollback", json=body)
    assert reply.json()["version"] == 3
    audit = (await client.call("GET", "/v1/audit")).json()["entries"]
    assert [entry["action"] for entry in audit] == [
        "config.rollback",
        "config.apply",
        "config.apply",
    ]


@pytest.mark.looptime
async def test_hashes_need_the_role_change(client):
    """Guards against password hashes in replies to tokens that may only read."""
    await client.put(0)
    assert PASSWORD_HASH in (await client.call("GET", "/v1/config")).text
    shown = await client.call("GET", "/v1/config", "reader")
    assert PASSWORD_HASH not in shown.text
    assert shown.json()["document"]["databases"]["orders"]["slots"] == 3


@pytest.mark.looptime
async def test_check_and_diff(client):
    """Guards against a check that stops at the first problem or writes to the store."""
    values = msgspec.to_builtins(example_document(orders=99, stock=99))
    body = {"text": json.dumps(values), "name": "d.json"}
    reply = (await client.call("POST", "/v1/config/check", json=body)).json()
    assert [problem["path"] for problem in reply["problems"]] == [
        "databases.orders.slots",
        "databases.stock.slots",
    ]
    refused = await client.call("POST", "/v1/config/diff", json=body)
    assert refused.status_code == 422
    assert refused.json()["error"]["path"] == "databases.orders.slots"
    assert client.store.writes == []
    await client.put(0)
    body["text"] = render_document(example_document(orders=4), "d.json")
    reply = (await client.call("POST", "/v1/config/diff", json=body)).json()
    assert reply["changes"] == [{"path": "databases.orders.slots", "old": 3, "new": 4}]


BAD_REQUESTS = [
    ("PUT", "/v1/config", {"content": b"{"}, 400, ""),
    ("PUT", "/v1/config", {"json": {"text": "a"}}, 400, ""),
    ("PUT", "/v1/config", {"json": {"text": 1, "base_version": 0}}, 400, "text"),
    ("PUT", "/v1/config", {"content": b"\xff"}, 400, ""),
    ("GET", "/v1/audit?limit=0", {}, 400, "limit"),
    ("GET", "/v1/audit?limit=" + "9" * 5000, {}, 400, "limit"),
    ("GET", "/v1/audit?since=1", {}, 400, "since"),
    ("GET", "/v1/config?version=x", {}, 400, "version"),
    ("GET", "/v1/config?version=7", {}, 404, ""),
    ("POST", "/v1/config/promote", {"json": {"source": "trial"}}, 404, ""),
    (
        "POST",
        "/v1/explain",
        {"json": {"user": "x", "database": "", "statement": ""}},
        400,
        "",
    ),
    ("POST", "/v1/explain", {"content": b" " * (MAX_BODY_BYTES + 1)}, 413, ""),
    (
        "POST",
        "/v1/explain",
        {"json": {"user": "shop", "database": "", "statement": "x" * 10_001}},
        400,
        "statement",
    ),
    (
        "PUT",
        "/v1/config",
        {"json": {"text": "", "base_version": 0, "comment": "x" * 501}},
        400,
        "comment",
    ),
    ("POST", "/v1/config/promote", {"json": {"source": "a/b"}}, 400, "source"),
    ("GET", "/v1/config/history?limit=101", {}, 400, "limit"),
    ("POST", "/v1/snapshot", {"content": b"{}"}, 422, "snapshot"),
]


@pytest.mark.looptime
@pytest.mark.parametrize(("method", "path", "options", "status", "field"), BAD_REQUESTS)
async def test_bad_request(client, method, path, options, status, field):
    """Guards against internal errors, or error replies without the wrong field."""
    reply = await client.call(method, path, **options)
    assert reply.status_code == status
    assert reply.json()["error"].get("path", "") == field


@pytest.mark.looptime
async def test_oversized_stream(client):
    """Guards against memory exhaustion by a body without a declared length."""

    async def chunks():
        for _ in range(100):
            yield b" " * 10_000

    reply = await client.call("POST", "/v1/explain", content=chunks())
    assert reply.status_code == 413


@pytest.mark.looptime
async def test_rate_limits(client):
    """Guards against one token, or guessing tokens, overloading the proxy."""
    statuses = [(await client.call("GET", "/v1/status")).status_code for _ in range(60)]
    assert statuses.count(429) > 0
    assert (await client.call("GET", "/v1/status", "reader")).status_code == 200
    statuses = [
        (await client.call("GET", "/v1/status", "guessed")).status_code
        for _ in range(40)
    ]
    assert set(statuses) == {401, 429}


@pytest.mark.looptime
async def test_drain(client):
    """Guards against draining another proxy, and a drain that needs the store."""
    missing = await client.call("POST", "/v1/drain/h9", "drainer")
    assert (missing.status_code, client.view.drained) == (404, [])
    client.store.down = True
    assert (await client.call("POST", "/v1/drain/h2", "drainer")).status_code == 200
    assert client.view.drained == ["h2"]


@pytest.mark.looptime
async def test_store_down(client):
    """Guards against reporting success for a change while the store is down."""
    client.store.down = True
    reply = await client.put(0)
    assert reply.status_code == 503
    assert reply.json()["error"]["code"] == "store_unavailable"
    status = await client.call("GET", "/v1/status")
    assert status.status_code == 200


@pytest.mark.parametrize(
    ("name", "render"),
    [("administration-api.md", render_reference), ("openapi.json", render_openapi)],
)
def test_reference_is_up_to_date(name, render):
    """Guards against a reference that differs from the operations."""
    assert (REFERENCE / name).read_text() == render()
