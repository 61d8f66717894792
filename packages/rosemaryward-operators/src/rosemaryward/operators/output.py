"""Output of the command line as tables or JSON."""

from collections.abc import Iterable, Sequence
from typing import Any

import msgspec
from rich.console import Console
from rich.markup import escape
from rich.table import Table

from rosemaryward.operators.client import CommandError
from rosemaryward.operators.replies import ErrorReply
from rosemaryward.operators.view import EndpointStatus, ExplainReply, ProxyStatus

__all__ = ["Output"]


def _format_cell(value: object) -> str:
    if value is None:
        return "-"
    if isinstance(value, bool):
        return "yes" if value else "no"
    if isinstance(value, float):
        return f"{value:.3g}"
    return escape(str(value))


class Output:
    """Writes the results of commands to the terminal.

    Parameters
    ----------
    as_json : bool
        Write replies as JSON instead of tables.
    console, error_console : rich.console.Console, optional
        Standard output and standard error by default.
    """

    __slots__ = ("as_json", "console", "error_console")

    def __init__(
        self,
        as_json: bool = False,
        console: Console | None = None,
        error_console: Console | None = None,
    ) -> None:
        self.as_json = as_json
        self.console = console or Console(highlight=False)
        self.error_console = error_console or Console(stderr=True, highlight=False)

    def write(self, text: str) -> None:
        """Write text unchanged, without wrapping."""
        self.console.file.write(text)

    def show(self, reply: Any, text: str) -> None:
        """Write a reply as JSON, or a line of text in its place."""
        if self.as_json:
            self.write(msgspec.json.encode(reply).decode() + "\n")
        else:
            self.console.print(escape(text), soft_wrap=True)

    def table(
        self,
        reply: Any,
        columns: Sequence[str],
        rows: Iterable[Sequence[object]],
        empty: str = "nothing to show",
    ) -> None:
        """Write a reply as JSON, or its rows as a table.

        Parameters
        ----------
        reply : object
            Value to encode as JSON.
        columns : sequence of str
        rows : iterable of sequence
        empty : str
            Text that replaces a table without rows.
        """
        rows = list(rows)
        if self.as_json or not rows:
            self.show(reply, empty)
        else:
            self._print_table("", columns, rows)

    def error(self, error: CommandError) -> None:
        """Write the error of a command to standard error."""
        if self.as_json:
            text = msgspec.json.encode(ErrorReply(error.body)).decode()
        else:
            text = f"rosemaryward: {error}"
        self.error_console.file.write(text + "\n")

    def status(self, status: ProxyStatus) -> None:
        """Write the status of the environment."""
        if self.as_json:
            self.show(status, "")
            return
        self.show(
            status,
            f"{status.host_id} in {status.environment}: "
            f"{'ready' if status.ready else 'not ready'}, configuration version "
            f"{status.configuration_version}, {status.caller_connections} caller "
            "connections",
        )
        self._print_table(
            "proxies",
            ("host", "state", "region", "failure domain", "endpoints"),
            [
                (p.host_id, p.state, p.region, p.failure_domain, p.endpoints)
                for p in status.proxies
            ],
        )
        self._print_table(
            "primaries",
            ("database", "instance", "term"),
            [(p.database, p.instance, p.term) for p in status.primaries],
        )
        self._print_table(
            "endpoints",
            (
                "endpoint",
                "owner",
                "role",
                "term",
                "lag s",
                "reachable",
                "slots",
                "queue",
            ),
            [_endpoint_row(item) for item in status.endpoints],
        )

    def explain(self, reply: ExplainReply) -> None:
        """Write how a statement would be routed."""
        if self.as_json:
            self.show(reply, "")
            return
        fields = [
            ("tenant", reply.tenant),
            ("rank", reply.rank),
            ("rule", reply.rule or "none"),
            ("access", reply.access),
            ("deadline s", reply.deadline_s),
            ("staleness s", reply.max_staleness_s),
            ("position", reply.minimum or "asked for first"),
            ("target", reply.target or "none"),
            ("reason", reply.reason),
        ]
        self._print_table("", ("field", "value"), fields)
        self._print_table(
            "candidates",
            ("instance", "owner", "eligible", "lag s", "reason"),
            [
                (c.instance, c.owner, c.eligible, c.lag_s, c.reason)
                for c in reply.candidates
            ],
        )

    def _print_table(
        self, title: str, columns: Sequence[str], rows: Iterable[Sequence[object]]
    ) -> None:
        table = Table(title=title or None, title_justify="left")
        for number, column in enumerate(columns):
            table.add_column(column, no_wrap=number == 0)
        for row in rows:
            table.add_row(*(_format_cell(value) for value in row))
        self.console.print(table)


def _endpoint_row(item: EndpointStatus) -> Sequence[object]:
    waiting = [f"{count} {rank}" for rank, count in item.queue.items() if count]
    return (
        f"{item.database}/{item.instance}" + (" (leaving)" if item.leaving else ""),
        item.owner or None,
        item.role or None,
        item.term or None,
        item.lag_s,
        item.reachable,
        f"{item.running}/{item.slots}" if item.slots else None,
        ", ".join(waiting) or None,
    )
