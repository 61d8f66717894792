import io
import json
import re
from collections.abc import AsyncIterator, Callable
from contextlib import asynccontextmanager
from importlib.metadata import EntryPoint
from pathlib import Path
from typing import Any

import anyio
import pytest
from rich.console import Console

from rosemaryward.decisions.document import render_document
from rosemaryward.decisions.errors import SettingsError
from rosemaryward.operators import commands
from rosemaryward.operators.api import create_app
from rosemaryward.operators.cli import main
from rosemaryward.operators.output import Output
from rosemaryward.operators.server import AdminServer
from rosemaryward.operators.tests.examples import example_document
from rosemaryward.operators.tests.test_api import (
    CERTIFICATE,
    REFERENCE,
    Client,
    registry,
)
from rosemaryward.operators.view import EndpointStatus, ProxyStatus

Run = Callable[..., Any]


@asynccontextmanager
async def serving(capsys: Any) -> AsyncIterator[Run]:
    """Yield a function that runs commands against an API on a loopback port."""
    client = Client()
    app = create_app(client.view, client.configuration, registry())
    async with AdminServer(app, "127.0.0.1", 0, CERTIFICATE) as server:

        async def call(*arguments: str, token: str = "changer") -> tuple[int, str, str]:
            options = [
                f"--url=https://127.0.0.1:{server.port}",
                f"--token={token}-token",
                f"--authority={CERTIFICATE}",
            ]
            code = await anyio.to_thread.run_sync(exit_code, [*arguments, *options])
            return (code, *capsys.readouterr())

        yield call


def exit_code(arguments: list[str]) -> int:
    with pytest.raises(SystemExit) as caught:
        main(arguments)
    return caught.value.code


def write(path: Path, **slots: int) -> str:
    path.write_text(render_document(example_document(**slots), path.name))
    return str(path)


async def test_show_edit_and_apply(capsys, tmp_path):
    """Guards against losing the base version between show, edit and apply."""
    async with serving(capsys) as run:
        path = tmp_path / "live.yaml"
        code, _, error = await run("config", "apply", write(path))
        assert (code, "--base-version" in error) == (2, True)
        assert (await run("config", "apply", str(path), "--base-version=0"))[0] == 0
        code, text, _ = await run("config", "show")
        assert text.startswith("# base-version: 1\n")
        path.write_text(text.replace("slots: 3", "slots: 2"))
        _, out, _ = await run("config", "diff", str(path), "--json")
        assert {change["new"] for change in json.loads(out)["changes"]} == {2}
        assert (await run("config", "apply", str(path), "--comment=fewer"))[0] == 0
        path.write_text(text.replace("slots: 3", "slots: 1"))
        code, _, error = await run("config", "apply", str(path), "--json")
        assert (code, json.loads(error)["error"]["version"]) == (3, 2)
        assert (await run("config", "rollback", "1"))[0] == 0
        _, out, _ = await run("config", "history", "--json")
        assert [item["version"] for item in json.loads(out)["versions"]] == [3, 2, 1]


async def test_check_works_offline(tmp_path):
    """Guards against a check that needs a proxy or accepts an invalid document."""
    assert exit_code(["config", "check", write(tmp_path / "a.toml")]) == 0
    assert exit_code(["config", "check", write(tmp_path / "b.json", orders=99)]) == 1


async def test_snapshot_and_conflict(capsys, tmp_path):
    """Guards against importing an old snapshot and exporting a world-readable one."""
    async with serving(capsys) as run:
        document = write(tmp_path / "a.yaml")
        await run("config", "apply", document, "--base-version=0")
        path = tmp_path / "snapshot.json"
        assert (await run("snapshot", "export", str(path)))[0] == 0
        assert path.stat().st_mode & 0o077 == 0
        assert (await run("snapshot", "export", str(path)))[0] == 2
        newer = write(tmp_path / "b.yaml", orders=2)
        await run("config", "apply", newer, "--base-version=1")
        assert (await run("snapshot", "import", str(path)))[0] == 3


@pytest.mark.parametrize(
    ("arguments", "token", "code"),
    [
        (("status",), "reader", 0),
        (("status", "--json"), "guessed", 1),
        (("drain", "h2"), "drainer", 0),
        (("drain", "h9"), "drainer", 1),
        (("drain", "../config"), "drainer", 2),
        (("drain", "h2"), "reader", 1),
        (("explain", "SELECT 1", "--user=shop", "--database=orders"), "reader", 0),
        (("explain", "SELECT 1", "--user=x", "--database=orders"), "reader", 1),
        (("config", "promote", "trial"), "changer", 1),
        (("config", "show"), "reader", 1),
    ],
)
async def test_exit_codes(capsys, arguments, token, code):
    """Guards against wrong exit codes, which scripts rely on."""
    async with serving(capsys) as run:
        assert (await run(*arguments, token=token))[0] == code


@pytest.mark.parametrize(
    "url", ["http://192.0.2.1:80", "ftp://127.0.0.1", "https://", "nonsense"]
)
def test_refused_address(url, capsys):
    """Guards against sending a token unencrypted."""
    assert exit_code(["status", f"--url={url}", "--token=t"]) == 2


def test_experiment(monkeypatch):
    """Guards against losing an experiment's arguments or its exit code."""
    seen: list[list[str]] = []

    class Installed:
        name = "failover"

        def load(self) -> Callable[[list[str]], int]:
            return lambda arguments: seen.append(arguments) or 4

    installed: list[EntryPoint | Installed] = [Installed()]
    monkeypatch.setattr(commands, "entry_points", lambda group: installed)
    assert exit_code(["experiment", "failover", "--", "--seed", "3"]) == 4
    assert seen == [["--seed", "3"]]
    assert exit_code(["experiment", "other"]) == 2


@pytest.mark.parametrize("host", ["0.0.0.0", "192.0.2.1", "::"])
async def test_server_needs_tls(host):
    """Guards against unencrypted tokens on the network."""
    client = Client()
    app = create_app(client.view, client.configuration, registry())
    with pytest.raises(SettingsError, match="expected a certificate"):
        async with AdminServer(app, host, 0):
            pass


async def test_port_in_use():
    """Guards against an error that does not contain the address."""
    client = Client()
    app = create_app(client.view, client.configuration, registry())
    async with AdminServer(app, "127.0.0.1", 0) as server:
        with pytest.raises(SettingsError, match=str(server.port)):
            async with AdminServer(app, "127.0.0.1", server.port):
                pass


def test_reference_names_every_command():
    """Guards against a command that the reference does not describe."""
    page = (REFERENCE / "command-line.md").read_text()
    source = Path(commands.__file__).read_text()
    names = re.findall(r'^    name="([\w-]+)"', source, re.MULTILINE)
    assert len(names) >= 13
    assert [name for name in names if not re.search(rf"`(\w+ )?{name}\b", page)] == []


def test_status_fits_a_terminal():
    """Guards against endpoint names truncated in a narrow table."""
    stream = io.StringIO()
    endpoint = EndpointStatus(
        database="collections_1",
        instance="nam-bo-1",
        owner="entry-1",
        role="replica",
        term=12,
        lag_s=0.1551,
        reachable=True,
        queue={"urgent": 0, "bulk": 7},
        running=1,
        slots=5,
    )
    status = ProxyStatus(
        host_id="entry-1", environment="[red]", ready=True, endpoints=(endpoint,)
    )
    Output(console=Console(file=stream, width=80)).status(status)
    text = stream.getvalue()
    assert "entry-1 in [red]: ready" in text
    for part in ("collections_1/nam-bo-1", "0.155", "1/5", "bulk"):
        assert part in text
