"""Subcommands of the command ``rosemaryward``."""

import re
from dataclasses import dataclass, field
from importlib.metadata import entry_points
from pathlib import Path
from typing import Annotated, Literal

import cappa

from rosemaryward.decisions.document import Problem, list_problems
from rosemaryward.decisions.document.conversion import convert_document
from rosemaryward.decisions.document.formats import parse_text, render_values
from rosemaryward.decisions.errors import DocumentError
from rosemaryward.operators.client import ApiClient, CommandError, usage_error
from rosemaryward.operators.output import Output
from rosemaryward.operators.replies import (
    ApplyRequest,
    CheckReply,
    ConfigReply,
    DiffReply,
    DiffRequest,
    DrainReply,
    ErrorBody,
    HistoryReply,
    PromoteRequest,
    RollbackRequest,
)
from rosemaryward.operators.snapshot import ImportReport
from rosemaryward.operators.view import ExplainReply, ExplainRequest, ProxyStatus

__all__ = ["Command", "Config", "Drain", "Experiment", "Explain", "Snapshot", "Status"]

EXPERIMENTS_ENTRY_POINT_GROUP = "rosemaryward.experiments"
BASE_VERSION_PATTERN = re.compile(r"^# base-version: (\d{1,12})$", re.MULTILINE)

File = Annotated[Path, cappa.Arg(help="Document in YAML, TOML or JSON.")]
Comment = Annotated[str, cappa.Arg(long=True, help="Reason for the history.")]
BaseVersion = Annotated[
    int | None,
    cappa.Arg(long=True, help="Version that the change started from."),
]


def _read_file(path: Path) -> bytes:
    try:
        return path.read_bytes()
    except OSError as error:
        raise usage_error(f"{path}: {error.strerror}") from error


def _read_text(path: Path) -> str:
    try:
        return _read_file(path).decode()
    except UnicodeDecodeError as error:
        raise usage_error(f"{path}: expected UTF-8 text") from error


def _report_change(reply: ConfigReply, output: Output) -> None:
    output.show(reply, f"version {reply.version} by {reply.author} is in force")


@cappa.command(
    name="check",
    help="Check a document without a proxy.",
    epilog="Example: `rosemaryward config check trial.yaml`",
)
@dataclass
class ConfigCheck:
    """Lists all problems of a document."""

    file: File

    def run(self, client: ApiClient, output: Output) -> int:
        """Print the problems; return 1 if there are any."""
        try:
            raw = parse_text(_read_file(self.file), self.file.name)
            problems = list_problems(convert_document(raw))
        except DocumentError as error:
            problems = [Problem(error.path, error.problem)]
        rows = [(item.path, item.problem) for item in problems]
        reply = CheckReply(valid=not problems, problems=tuple(problems))
        output.table(reply, ("field", "problem"), rows, "the document is valid")
        return 1 if problems else 0


@cappa.command(
    name="show",
    help="Print the document in force.",
    epilog="Example: `rosemaryward config show > production.yaml`",
)
@dataclass
class ConfigShow:
    """Prints a document with its version, for editing and applying it."""

    version: Annotated[
        int | None, cappa.Arg(long=True, help="Earlier version to print.")
    ] = None
    format: Annotated[
        Literal["yaml", "toml", "json"], cappa.Arg(long=True, help="Format.")
    ] = "yaml"

    def run(self, client: ApiClient, output: Output) -> int:
        """Print the document; hashes are redacted unless the token may change it."""
        query = "" if self.version is None else f"?version={self.version}"
        reply = client.call("GET", "/v1/config" + query, ConfigReply)
        if reply.document is None:
            text = "the environment has no document"
            raise CommandError(ErrorBody(code="no_such_version", message=text))
        if output.as_json:
            output.show(reply, "")
            return 0
        text = render_values(reply.document, f"document.{self.format}")
        header = "" if self.format == "json" else f"# base-version: {reply.version}\n"
        output.write(header + text)
        return 0


@cappa.command(
    name="diff",
    help="Compare a document with the one in force.",
    epilog="Example: `rosemaryward config diff production.yaml`",
)
@dataclass
class ConfigDiff:
    """Lists the values that differ from the document in force."""

    file: File

    def run(self, client: ApiClient, output: Output) -> int:
        """Print the differences."""
        body = DiffRequest(text=_read_text(self.file), name=self.file.name)
        reply = client.call("POST", "/v1/config/diff", DiffReply, body)
        rows = [(item.path, item.old, item.new) for item in reply.changes]
        output.table(reply, ("field", "old", "new"), rows, "no differences")
        return 0


@cappa.command(
    name="apply",
    help="Put a document in force.",
    description=(
        "The base version comes from --base-version or from the line "
        "`# base-version: N` that `config show` writes. Newer changes of other "
        "sections are merged; a change of the same section ends with exit code 3."
    ),
    epilog="Example: `rosemaryward config apply live.yaml --comment 'more slots'`",
)
@dataclass
class ConfigApply:
    """Puts a document in force."""

    file: File
    base_version: BaseVersion = None
    comment: Comment = ""
    no_merge: Annotated[
        bool, cappa.Arg(long=True, help="Refuse if anything changed meanwhile.")
    ] = False

    def run(self, client: ApiClient, output: Output) -> int:
        """Send the document."""
        text = _read_text(self.file)
        base = self.base_version
        found = BASE_VERSION_PATTERN.search(text)
        if base is None and found is not None:
            base = int(found[1])
        if base is None:
            raise usage_error("pass --base-version, 0 for the first document")
        body = ApplyRequest(
            text=text,
            name=self.file.name,
            base_version=base,
            comment=self.comment,
            merge=not self.no_merge,
        )
        reply = client.call("PUT", "/v1/config", ConfigReply, body)
        _report_change(reply, output)
        return 0


@cappa.command(
    name="promote",
    help="Put the settings of another environment in force.",
    description=(
        "Regions, instances and password hashes of the proxy's environment stay, and "
        "so do databases, tenants and users that only it has."
    ),
    epilog="Example: `rosemaryward config promote trial --comment 'release 12'`",
)
@dataclass
class ConfigPromote:
    """Puts the settings of another environment in force."""

    source: Annotated[str, cappa.Arg(help="Environment to take the settings from.")]
    base_version: BaseVersion = None
    comment: Comment = ""

    def run(self, client: ApiClient, output: Output) -> int:
        """Send the promotion request."""
        body = PromoteRequest(
            source=self.source, base_version=self.base_version, comment=self.comment
        )
        reply = client.call("POST", "/v1/config/promote", ConfigReply, body)
        _report_change(reply, output)
        return 0


@cappa.command(
    name="history",
    help="List the newest versions.",
    epilog="Example: `rosemaryward config history --limit 5`",
)
@dataclass
class ConfigHistory:
    """Lists versions, newest first."""

    limit: Annotated[int, cappa.Arg(long=True, help="Number of versions.")] = 20

    def run(self, client: ApiClient, output: Output) -> int:
        """Print the versions."""
        path = f"/v1/config/history?limit={self.limit}"
        reply = client.call("GET", path, HistoryReply)
        rows = [
            (item.version, item.changed_at, item.author, item.comment)
            for item in reply.versions
        ]
        output.table(
            reply, ("version", "time", "author", "comment"), rows, "no versions"
        )
        return 0


@cappa.command(
    name="rollback",
    help="Put an earlier version in force as a new one.",
    epilog="Example: `rosemaryward config rollback 41 --comment 'limit too low'`",
)
@dataclass
class ConfigRollback:
    """Puts an earlier version in force as a new one."""

    version: Annotated[int, cappa.Arg(help="Version to put in force again.")]
    base_version: BaseVersion = None
    comment: Comment = ""

    def run(self, client: ApiClient, output: Output) -> int:
        """Send the rollback request."""
        body = RollbackRequest(
            version=self.version, base_version=self.base_version, comment=self.comment
        )
        reply = client.call("POST", "/v1/config/rollback", ConfigReply, body)
        _report_change(reply, output)
        return 0


@cappa.command(name="config", help="Show and change the document of the environment.")
@dataclass
class Config:
    """Commands for the configuration document."""

    command: cappa.Subcommands[
        ConfigCheck
        | ConfigShow
        | ConfigDiff
        | ConfigApply
        | ConfigPromote
        | ConfigHistory
        | ConfigRollback
    ]

    def run(self, client: ApiClient, output: Output) -> int:
        """Run the subcommand."""
        return self.command.run(client, output)


@cappa.command(
    name="status",
    help="Show proxies, primaries and endpoints.",
    epilog="Example: `rosemaryward status --json`",
)
@dataclass
class Status:
    """Shows the status of the environment as the proxy knows it."""

    def run(self, client: ApiClient, output: Output) -> int:
        """Print the status."""
        status = client.call("GET", "/v1/status", ProxyStatus)
        output.status(status)
        return 0


@cappa.command(
    name="drain",
    help="Ask a proxy to drain.",
    description="The proxy finishes its requests, hands over its endpoints and exits.",
    epilog="Example: `rosemaryward drain entry-3`",
)
@dataclass
class Drain:
    """Asks a proxy to drain."""

    host: Annotated[str, cappa.Arg(help="Host id of the proxy.")]

    def run(self, client: ApiClient, output: Output) -> int:
        """Send the drain request."""
        if not re.fullmatch(r"[A-Za-z0-9_.:-]{1,128}", self.host):
            raise usage_error(f"expected a host id, found {self.host!r}")
        reply = client.call("POST", f"/v1/drain/{self.host}", DrainReply)
        output.show(reply, f"{reply.host_id} is draining")
        return 0


@cappa.command(
    name="explain",
    help="Say where a statement would go, without running it.",
    epilog="Example: `rosemaryward explain --user shop --database orders 'SELECT 1'`",
)
@dataclass
class Explain:
    """Explains how a statement would be routed."""

    statement: Annotated[str, cappa.Arg(help="SQL text.")]
    user: Annotated[str, cappa.Arg(long=True, help="Caller's user name.")]
    database: Annotated[str, cappa.Arg(long=True, help="Database.")]
    session_token: Annotated[
        str, cappa.Arg(long=True, help="Position that the caller carries.")
    ] = ""

    def run(self, client: ApiClient, output: Output) -> int:
        """Print the rank, the rule, the candidates and the target."""
        body = ExplainRequest(
            user=self.user,
            database=self.database,
            statement=self.statement,
            session_token=self.session_token,
        )
        output.explain(client.call("POST", "/v1/explain", ExplainReply, body))
        return 0


@cappa.command(
    name="export",
    help="Write everything that the store holds of the environment to a file.",
    epilog="Example: `rosemaryward snapshot export production.json`",
)
@dataclass
class SnapshotExport:
    """Writes a snapshot of the environment to a file."""

    file: Annotated[Path, cappa.Arg(help="File to write; it must not exist.")]

    def run(self, client: ApiClient, output: Output) -> int:
        """Write the file with read permission for its owner only."""
        data = client.call_raw("GET", "/v1/snapshot")
        try:
            self.file.touch(mode=0o600, exist_ok=False)
            self.file.write_bytes(data)
        except OSError as error:
            raise usage_error(f"{self.file}: {error.strerror}") from error
        output.show({"bytes": len(data)}, f"{self.file}: {len(data)} bytes")
        return 0


@cappa.command(
    name="import",
    help="Write a snapshot to the store.",
    epilog="Example: `rosemaryward snapshot import production.json`",
)
@dataclass
class SnapshotImport:
    """Writes a snapshot from a file to the store."""

    file: Annotated[Path, cappa.Arg(help="File of `snapshot export`.")]

    def run(self, client: ApiClient, output: Output) -> int:
        """Send the snapshot."""
        data = _read_file(self.file)
        report = client.call("POST", "/v1/snapshot", ImportReport, data)
        text = f"{report.written} values written, {report.unchanged} unchanged"
        output.show(report, text)
        return 0


@cappa.command(name="snapshot", help="Export or import the state in the store.")
@dataclass
class Snapshot:
    """Commands for snapshots."""

    command: cappa.Subcommands[SnapshotExport | SnapshotImport]

    def run(self, client: ApiClient, output: Output) -> int:
        """Run the subcommand."""
        return self.command.run(client, output)


@cappa.command(
    name="experiment",
    help="Run an experiment of an installed package.",
    description="Without a name, the installed experiments are listed.",
    epilog="Example: `rosemaryward experiment failover -- --seed 3`",
)
@dataclass
class Experiment:
    """Runs an entry point of the group ``rosemaryward.experiments``."""

    name: Annotated[str, cappa.Arg(help="Name of the experiment.")] = ""
    arguments: Annotated[
        list[str],
        cappa.Arg(help="Arguments of the experiment, after `--`.", num_args=-1),
    ] = field(default_factory=list)

    def run(self, client: ApiClient, output: Output) -> int:
        """Load the experiment and call it with its arguments as a list."""
        found = {
            item.name: item
            for item in entry_points(group=EXPERIMENTS_ENTRY_POINT_GROUP)
        }
        if not self.name:
            output.table(sorted(found), ("experiment",), [(n,) for n in sorted(found)])
            return 0
        if self.name not in found:
            known = ", ".join(sorted(found)) or "none is installed"
            raise usage_error(f"unknown experiment {self.name!r} ({known})")
        return int(found[self.name].load()(self.arguments) or 0)


Command = Config | Status | Drain | Explain | Snapshot | Experiment
