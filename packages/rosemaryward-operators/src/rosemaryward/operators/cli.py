"""Entry point of the command ``rosemaryward``."""

import sys
from dataclasses import dataclass
from pathlib import Path
from typing import Annotated

import cappa

from rosemaryward.operators.client import ApiClient, CommandError
from rosemaryward.operators.commands import Command
from rosemaryward.operators.output import Output

__all__ = ["main", "Rosemaryward"]

DEFAULT_URL = "http://127.0.0.1:7403"


@cappa.command(
    name="rosemaryward",
    help="Operate an environment of rosemaryward proxies.",
    description=(
        "Exit codes: 0 success, 1 failure, 2 wrong usage, 3 conflict. `--completion "
        "generate` prints a script for the shell in $SHELL."
    ),
    epilog=(
        "Examples: `rosemaryward status`, `rosemaryward config show > live.yaml`, "
        "`rosemaryward config apply live.yaml`"
    ),
)
@dataclass
class Rosemaryward:
    """Options common to all commands."""

    command: cappa.Subcommands[Command]
    url: Annotated[
        str,
        cappa.Arg(
            long=True,
            propagate=True,
            default=cappa.Env("ROSEMARYWARD_ADMIN_URL", default=DEFAULT_URL),
            help="Administration address of a proxy.",
        ),
    ] = DEFAULT_URL
    token: Annotated[
        str,
        cappa.Arg(
            long=True,
            propagate=True,
            default=cappa.Env("ROSEMARYWARD_ADMIN_TOKEN", default=""),
            show_default=False,
            help="Token; the variable keeps it out of the process list.",
        ),
    ] = ""
    authority: Annotated[
        Path | None,
        cappa.Arg(
            long=True,
            propagate=True,
            default=cappa.Env("ROSEMARYWARD_ADMIN_AUTHORITY", default=None),
            help="PEM file that the proxy's certificate is checked against.",
        ),
    ] = None
    json: Annotated[bool, cappa.Arg(long=True, propagate=True, help="Write JSON.")] = (
        False
    )


def main(argv: list[str] | None = None) -> None:
    """Run a command and exit with its exit code.

    Parameters
    ----------
    argv : list of str, optional
        Arguments without the program name; those of the process by default.
    """
    options = cappa.parse(Rosemaryward, argv=argv)
    output = Output(options.json)
    client = ApiClient(options.url, options.token, options.authority)
    try:
        code = options.command.run(client, output)
    except CommandError as error:
        output.error(error)
        code = error.exit_code
    sys.exit(code)
