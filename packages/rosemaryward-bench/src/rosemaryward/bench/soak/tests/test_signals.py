"""Signals sent to real proxy processes on the platform's test doubles."""

import json
import os
import signal
import socket
import subprocess
import sys
from contextlib import asynccontextmanager
from pathlib import Path

import anyio
import pytest

from rosemaryward.bench.launch.processes import start_child, stop_children
from rosemaryward.bench.soak.fleet import Fleet
from rosemaryward.platform.fakes.caller import FakeCaller
from rosemaryward.platform.fakes.documents import encode_settings
from rosemaryward.platform.settings import SETTINGS_VARIABLE

ROOT = Path(__file__).parents[7]
PROXY_SCRIPT = ROOT / "deploy" / "proxy.py"
START_TIMEOUT_S = 30.0
EXIT_TIMEOUT_S = 20.0
STATEMENT_TIMEOUT_S = 2.5
EXIT_FAILED = 1
EXIT_USAGE = 2
SIGNAL_DURING_IMPORTS = """
import os, runpy, signal, sys

class SignalOnImport:
    def find_spec(self, name, path=None, target=None):
        if name == "rosemaryward.proxy.platform_main":
            os.kill(os.getpid(), signal.SIGHUP)

sys.meta_path.insert(0, SignalOnImport())
runpy.run_path(sys.argv[1], run_name="__main__")
"""


@asynccontextmanager
async def running_fleet(folder, mean_statement_s=0.004):
    """Run one proxy with its test doubles; it is not restarted once it ends."""
    fleet = Fleet(1, 40, mean_statement_s, folder, ROOT)
    (proxy,) = fleet.proxies
    try:
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(fleet.run, tasks, anyio.Event())
            assert await fleet.wait_until_ready(START_TIMEOUT_S) == []
            proxy.stopping = True
            yield fleet
            tasks.cancel_scope.cancel()
    finally:
        with anyio.CancelScope(shield=True):
            await stop_children([proxy.child])


@asynccontextmanager
async def running_proxy(folder):
    """Run one proxy as `running_fleet` does and return the proxy."""
    async with running_fleet(folder) as fleet:
        (proxy,) = fleet.proxies
        yield proxy


def read_events(child):
    """Return the structured log lines of a process."""
    lines = child.log.read_text(encoding="utf-8").splitlines()
    return [json.loads(line) for line in lines if line.startswith("{")]


async def wait_for_primary(caller):
    """Wait until the proxy can run a write."""
    with anyio.fail_after(START_TIMEOUT_S):
        while (await caller.query("WRITE k0 a", STATEMENT_TIMEOUT_S)).code:  # noqa: ASYNC110
            await anyio.sleep(0.02)


async def wait_for_event(child, event):
    """Wait until a process has logged an event."""
    with anyio.fail_after(EXIT_TIMEOUT_S):
        while all(line["event"] != event for line in read_events(child)):  # noqa: ASYNC110
            await anyio.sleep(0.02)


async def wait_for_exit(child):
    """Return the exit status of a process."""
    with anyio.fail_after(EXIT_TIMEOUT_S):
        while child.process.poll() is None:  # noqa: ASYNC110
            await anyio.sleep(0.02)
    return child.process.returncode


@pytest.mark.parametrize(
    "second",
    [
        pytest.param(signal.SIGHUP, id="reload"),
        pytest.param(signal.SIGTERM, id="terminate-again"),
        pytest.param(signal.SIGINT, id="interrupt"),
    ],
)
async def test_second_signal_does_not_end_a_drain(second, tmp_path):
    """Guards against a signal during a drain that cuts open transactions."""
    async with running_proxy(tmp_path) as proxy:
        async with FakeCaller(proxy.address, "primary") as caller:
            await wait_for_primary(caller)
            assert not (await caller.query("BEGIN", STATEMENT_TIMEOUT_S)).code
            proxy.send_signal(signal.SIGTERM)
            await wait_for_event(proxy.child, "drain begins")
            proxy.send_signal(second)
            for text in ("WRITE k1 a", "COMMIT"):
                assert not (await caller.query(text, STATEMENT_TIMEOUT_S)).code
        assert await wait_for_exit(proxy.child) == 0
        lines = read_events(proxy.child)
        assert [line["event"] for line in lines][-2:] == ["drain ends", "proxy stops"]
        signals = [line for line in lines if line["event"] == "signal received"]
        assert [(line["signal"], line["draining"]) for line in signals] == [
            ("SIGTERM", False),
            (second.name, True),
        ]


def test_reload_signal_during_imports_does_not_end_the_process():
    """Guards against a SIGHUP that ends a proxy before its handlers are installed."""
    environment = {**os.environ, SETTINGS_VARIABLE: "/nonexistent/settings.json"}
    process = subprocess.run(
        [sys.executable, "-c", SIGNAL_DURING_IMPORTS, str(PROXY_SCRIPT)],
        env=environment,
        capture_output=True,
        timeout=EXIT_TIMEOUT_S,
        check=False,
    )
    assert process.returncode == EXIT_USAGE, process.stderr.decode()


async def test_unexpected_error_is_logged_before_the_process_ends(tmp_path):
    """Guards against a process that ends without a line that says why."""
    with socket.create_server(("127.0.0.1", 0)) as occupied:
        port = occupied.getsockname()[1]
        settings = tmp_path / "proxy.json"
        place = ("north", "a")
        settings.write_bytes(
            encode_settings("proxy", place, [port] * 2 + [port, 0, port + 2], 1, 1)
        )
        child = start_child(
            "proxy",
            [sys.executable, str(PROXY_SCRIPT)],
            tmp_path,
            {SETTINGS_VARIABLE: str(settings)},
        )
        try:
            assert await wait_for_exit(child) == EXIT_FAILED
        finally:
            await stop_children([child])
    (line,) = [item for item in read_events(child) if item["event"] == "proxy failed"]
    assert "Address already in use" in line["error"]
    assert not line["draining"]
