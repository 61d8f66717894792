"""Signals sent to real proxy processes on the platform's test doubles."""

import json
import socket
import sys
from pathlib import Path

import anyio

from rosemaryward.bench.launch.processes import start_child, stop_children
from rosemaryward.platform.fakes.documents import encode_settings
from rosemaryward.platform.settings import SETTINGS_VARIABLE

ROOT = Path(__file__).parents[7]
PROXY_SCRIPT = ROOT / "deploy" / "proxy.py"
EXIT_TIMEOUT_S = 20.0
EXIT_FAILED = 1


def read_events(child):
    """Return the structured log lines of a process."""
    lines = child.log.read_text(encoding="utf-8").splitlines()
    return [json.loads(line) for line in lines if line.startswith("{")]


async def wait_for_exit(child):
    """Return the exit status of a process."""
    with anyio.fail_after(EXIT_TIMEOUT_S):
        while child.process.poll() is None:  # noqa: ASYNC110
            await anyio.sleep(0.02)
    return child.process.returncode


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
