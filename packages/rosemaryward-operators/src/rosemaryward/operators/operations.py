"""Operations of the administration API.

The routes, the OpenAPI description and the reference page are derived from the table
`OPERATIONS`.
"""

import re
from collections.abc import Callable
from typing import Any

import anyio
import msgspec
import structlog

from rosemaryward.decisions.document import (
    Document,
    Problem,
    diff_documents,
    list_problems,
    parse_document,
    redact_document,
)
from rosemaryward.decisions.document.conversion import convert_document
from rosemaryward.decisions.document.formats import MAX_DOCUMENT_BYTES, parse_text
from rosemaryward.decisions.document.stored import StoredDocument
from rosemaryward.decisions.errors import DocumentError, StoreError
from rosemaryward.operators.audit import ENTRIES_KEPT
from rosemaryward.operators.configuration import Change, ConfigurationService
from rosemaryward.operators.http import ApiError
from rosemaryward.operators.metrics import ProxyMetrics
from rosemaryward.operators.replies import (
    ApplyRequest,
    AuditReply,
    CheckReply,
    CheckRequest,
    ConfigReply,
    DiffReply,
    DiffRequest,
    DrainReply,
    HistoryReply,
    PromoteRequest,
    RollbackRequest,
)
from rosemaryward.operators.snapshot import (
    ImportReport,
    export_snapshot,
    import_snapshot,
)
from rosemaryward.operators.tokens import Role, TokenEntry
from rosemaryward.operators.view import (
    ExplainReply,
    ExplainRequest,
    ProxyStatus,
    ProxyView,
    UnknownHostError,
)

__all__ = ["OPERATIONS", "Call", "Handlers", "Operation"]

MAX_BODY_BYTES = 65_536
MAX_CONFIG_BYTES = 2 * MAX_DOCUMENT_BYTES  # JSON escapes lengthen a document
MAX_SNAPSHOT_BYTES = 64_000_000
MAX_LISTED_VERSIONS = 100  # each one requires reading a whole document
HOST_ID_PATTERN = re.compile(r"[A-Za-z0-9_.:-]{1,128}")
STATUS_CACHE_S = 0.5
MAX_NUMBER_DIGITS = 12  # of a number in a query string
# Longer texts are parsed in a thread; on the event loop they would delay heartbeats.
MAX_INLINE_CHARACTERS = 16_384

logger = structlog.get_logger(__name__)


class Call(msgspec.Struct, kw_only=True):
    """An authorized request.

    Parameters
    ----------
    token : TokenEntry
    body : object
        Decoded body, or bytes for a snapshot.
    path_values, query : dict of str to str
    """

    token: TokenEntry
    body: Any = None
    path_values: dict[str, str] = {}
    query: dict[str, str] = {}

    def number(self, name: str, default: int, largest: int) -> int:
        """Return a number from 1 to `largest` in the query string.

        Parameters
        ----------
        name : str
            Query parameter.
        default : int
            Value without the parameter.
        largest : int

        Raises
        ------
        ApiError
            If the value is not such a number.
        """
        text = self.query.get(name, str(default))
        is_number = text.isdecimal() and len(text) <= MAX_NUMBER_DIGITS
        if not is_number or not 1 <= int(text) <= largest:
            problem = f"expected a number from 1 to {largest}, found {text[:40]!r}"
            raise ApiError(400, "bad_request", problem, name)
        return int(text)


class Handlers:
    """Implements the operations.

    Parameters
    ----------
    view : ProxyView
    configuration : ConfigurationService
    metrics : ProxyMetrics
    """

    __slots__ = (
        "_cached_status",
        "_cached_until_s",
        "configuration",
        "metrics",
        "view",
    )

    def __init__(
        self,
        view: ProxyView,
        configuration: ConfigurationService,
        metrics: ProxyMetrics,
    ) -> None:
        self.view = view
        self.configuration = configuration
        self.metrics = metrics
        self._cached_status: ProxyStatus | None = None
        self._cached_until_s = 0.0

    def cached_status(self) -> ProxyStatus:
        """Return a status that is at most `STATUS_CACHE_S` old.

        Readiness probes need no token, so their rate is not limited and must not
        determine how often the proxy collects its status.
        """
        now = anyio.current_time()
        if self._cached_status is None or now >= self._cached_until_s:
            self._cached_status = self.view.status()
            self._cached_until_s = now + STATUS_CACHE_S
        return self._cached_status

    async def status(self, call: Call) -> ProxyStatus:
        """Return the proxy's status."""
        return self.view.status()

    async def show(self, call: Call) -> ConfigReply:
        """Return the document in force or, with ``version``, an earlier one."""
        text = call.query.get("version", "")
        if not text:
            return _config_reply(await self.configuration.show(), call.token)
        if not text.isdecimal() or len(text) > MAX_NUMBER_DIGITS:
            raise ApiError(
                400,
                "bad_request",
                f"expected a version, found {text[:40]!r}",
                "version",
            )
        return _config_reply(await self.configuration.version(int(text)), call.token)

    async def check(self, call: Call) -> CheckReply:
        """Return all problems of a document."""
        try:
            problems = await _run_parser(_problems, call.body)
        except DocumentError as error:
            problems = [Problem(error.path, error.problem)]
        return CheckReply(valid=not problems, problems=tuple(problems))

    async def diff(self, call: Call) -> DiffReply:
        """Compare a document with the one in force."""
        document = await _run_parser(_parse, call.body)
        current = await self.configuration.show()
        if current is None:
            raise ApiError(404, "no_such_version", "the environment has no document")
        changes = diff_documents(current.document, document)
        return DiffReply(version=current.version, changes=tuple(changes))

    async def apply(self, call: Call) -> ConfigReply:
        """Put a document in force."""
        body: ApplyRequest = call.body
        document = await _run_parser(_parse, body)
        change = self._change(call, body.base_version, body.comment)
        change = msgspec.structs.replace(change, merge=body.merge)
        return _config_reply(
            await self.configuration.apply(document, change), call.token
        )

    async def promote(self, call: Call) -> ConfigReply:
        """Put the settings of another environment in force."""
        body: PromoteRequest = call.body
        change = self._change(call, body.base_version, body.comment)
        stored = await self.configuration.promote(body.source, change)
        return _config_reply(stored, call.token)

    async def rollback(self, call: Call) -> ConfigReply:
        """Put an earlier version in force as a new one."""
        body: RollbackRequest = call.body
        change = self._change(call, body.base_version, body.comment)
        stored = await self.configuration.rollback(body.version, change)
        return _config_reply(stored, call.token)

    async def history(self, call: Call) -> HistoryReply:
        """Return the newest versions."""
        entries = await self.configuration.history(
            call.number("limit", 20, MAX_LISTED_VERSIONS)
        )
        return HistoryReply(versions=tuple(entries))

    async def drain(self, call: Call) -> DrainReply:
        """Ask a proxy to drain, after writing the audit entry."""
        host_id = call.path_values["host_id"]
        if not HOST_ID_PATTERN.fullmatch(host_id):
            raise UnknownHostError(f"expected a host id, found {host_id[:40]!r}")
        await self._append_audit_entry(call, "drain", host_id)
        await self.view.drain(host_id)
        return DrainReply(host_id=host_id)

    async def explain(self, call: Call) -> ExplainReply:
        """Return how a statement would be routed."""
        try:
            return self.view.explain(call.body)
        except ValueError as error:
            raise ApiError(400, "bad_request", str(error)) from error

    async def audit(self, call: Call) -> AuditReply:
        """Return the newest audit entries."""
        entries = await self.configuration.audit.entries(
            call.number("limit", 100, ENTRIES_KEPT)
        )
        return AuditReply(entries=tuple(entries))

    async def export(self, call: Call) -> bytes:
        """Return a snapshot of the environment."""
        service = self.configuration
        return await export_snapshot(service.store, service.environment)

    async def restore(self, call: Call) -> ImportReport:
        """Write a snapshot to the store."""
        service = self.configuration
        report = await import_snapshot(service.store, service.environment, call.body)
        await self._append_audit_entry(
            call, "snapshot.import", f"{report.written} values written"
        )
        return report

    async def _append_audit_entry(self, call: Call, action: str, detail: str) -> None:
        """Write an audit entry; a store failure is logged, not raised."""
        try:
            await self.configuration.audit.append(call.token.name, action, detail)
        except StoreError as error:
            logger.warning("audit entry lost", action=action, problem=str(error))

    def _change(self, call: Call, base: int | None, comment: str) -> Change:
        return Change(
            author=call.token.name,
            comment=comment,
            base_version=base,
            minimum_version=self.view.status().configuration_version,
        )


class Operation(msgspec.Struct, frozen=True, kw_only=True):
    """An operation of the administration API.

    Parameters
    ----------
    method, path : str
    role : Role
        Role that the token needs.
    handler : callable
        Method of `Handlers`.
    summary : str
    reply : type
    body : type or None
        None if the request has no body, ``bytes`` for a snapshot.
    query : tuple of str
        Accepted query parameters.
    limit : int
        Longest accepted body in bytes.
    """

    method: str
    path: str
    role: Role
    handler: Callable[[Handlers, Call], Any]
    summary: str
    reply: type
    body: type | None = None
    query: tuple[str, ...] = ()
    limit: int = MAX_BODY_BYTES


OPERATIONS: tuple[Operation, ...] = (
    Operation(
        method="GET",
        path="/v1/status",
        role=Role.READ,
        handler=Handlers.status,
        summary="Proxies, endpoints, owners, primaries, terms, lag and queues.",
        reply=ProxyStatus,
    ),
    Operation(
        method="GET",
        path="/v1/config",
        role=Role.READ,
        handler=Handlers.show,
        summary="Document in force, or the given earlier version.",
        reply=ConfigReply,
        query=("version",),
    ),
    Operation(
        method="PUT",
        path="/v1/config",
        role=Role.CHANGE,
        handler=Handlers.apply,
        summary="Put a document in force.",
        body=ApplyRequest,
        reply=ConfigReply,
        limit=MAX_CONFIG_BYTES,
    ),
    Operation(
        method="POST",
        path="/v1/config/check",
        role=Role.READ,
        handler=Handlers.check,
        summary="List all problems of a document.",
        body=CheckRequest,
        reply=CheckReply,
        limit=MAX_CONFIG_BYTES,
    ),
    Operation(
        method="POST",
        path="/v1/config/diff",
        role=Role.READ,
        handler=Handlers.diff,
        summary="Compare a document with the one in force.",
        body=DiffRequest,
        reply=DiffReply,
        limit=MAX_CONFIG_BYTES,
    ),
    Operation(
        method="GET",
        path="/v1/config/history",
        role=Role.READ,
        handler=Handlers.history,
        summary="Newest versions, newest first.",
        reply=HistoryReply,
        query=("limit",),
    ),
    Operation(
        method="POST",
        path="/v1/config/promote",
        role=Role.CHANGE,
        handler=Handlers.promote,
        summary="Put the settings of another environment in force.",
        body=PromoteRequest,
        reply=ConfigReply,
    ),
    Operation(
        method="POST",
        path="/v1/config/rollback",
        role=Role.CHANGE,
        handler=Handlers.rollback,
        summary="Put an earlier version in force as a new one.",
        body=RollbackRequest,
        reply=ConfigReply,
    ),
    Operation(
        method="POST",
        path="/v1/drain/{host_id}",
        role=Role.DRAIN,
        handler=Handlers.drain,
        summary="Ask a proxy to drain.",
        reply=DrainReply,
    ),
    Operation(
        method="POST",
        path="/v1/explain",
        role=Role.READ,
        handler=Handlers.explain,
        summary="Say where a statement would go and why, without running it.",
        body=ExplainRequest,
        reply=ExplainReply,
    ),
    Operation(
        method="GET",
        path="/v1/audit",
        role=Role.READ,
        handler=Handlers.audit,
        summary="Newest changes and commands of operators.",
        reply=AuditReply,
        query=("limit",),
    ),
    Operation(
        method="GET",
        path="/v1/snapshot",
        role=Role.CHANGE,
        handler=Handlers.export,
        summary="Everything that the store holds of the environment.",
        reply=bytes,
    ),
    Operation(
        method="POST",
        path="/v1/snapshot",
        role=Role.CHANGE,
        handler=Handlers.restore,
        summary="Write a snapshot to the store.",
        body=bytes,
        reply=ImportReport,
        limit=MAX_SNAPSHOT_BYTES,
    ),
)


def _config_reply(stored: StoredDocument | None, token: TokenEntry) -> ConfigReply:
    """Return a reply; only tokens with the role ``change`` get password hashes."""
    if stored is None:
        return ConfigReply(version=0)
    if Role.CHANGE in token.roles:
        document = msgspec.to_builtins(stored.document)
    else:
        document = redact_document(stored.document)
    return ConfigReply(
        version=stored.version,
        author=stored.author,
        comment=stored.comment,
        changed_at=stored.changed_at,
        document=document,
    )


def _parse(body: CheckRequest) -> Document:
    return parse_document(body.text.encode(), body.name)


def _problems(body: CheckRequest) -> list[Problem]:
    return list_problems(convert_document(parse_text(body.text.encode(), body.name)))


async def _run_parser(call: Callable[[CheckRequest], Any], body: CheckRequest) -> Any:
    """Run a parser, in a thread if the text is long."""
    if len(body.text) <= MAX_INLINE_CHARACTERS:
        return call(body)
    return await anyio.to_thread.run_sync(call, body)
