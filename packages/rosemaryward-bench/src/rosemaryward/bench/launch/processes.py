"""Child processes, which the kernel kills when the launcher exits."""

import ctypes
import os
import signal
import socket
import subprocess
import sys
from collections.abc import Mapping, Sequence
from pathlib import Path

import anyio

__all__ = ["Child", "free_ports", "start_child", "stop_children", "wait_for_port"]

PR_SET_PDEATHSIG = 1
POLL_INTERVAL_S = 0.02
STOP_TIMEOUT_S = 3.0


class Child:
    """A process that the launcher started.

    Parameters
    ----------
    name : str
        Name in logs and errors.
    process : subprocess.Popen
    log : Path
        File with the process's output.
    """

    __slots__ = ("log", "name", "process")

    def __init__(self, name: str, process: subprocess.Popen[bytes], log: Path) -> None:
        self.name = name
        self.process = process
        self.log = log

    @property
    def pid(self) -> int:
        """Process id."""
        return self.process.pid

    def require_running(self) -> None:
        """Raise an error with the end of the log if the process has exited."""
        code = self.process.poll()
        if code is not None:
            tail = self.log.read_text(errors="replace")[-2000:]
            raise RuntimeError(
                f"{self.name} exited with code {code}; end of its log:\n{tail}"
            )


def kill_on_parent_exit() -> None:
    """Have the kernel kill this process when the launcher exits (Linux only)."""
    ctypes.CDLL(None).prctl(PR_SET_PDEATHSIG, signal.SIGKILL)


def start_child(
    name: str,
    command: Sequence[str],
    logs: Path,
    environment: Mapping[str, str] | None = None,
) -> Child:
    """Start a process with its output appended to a file of `logs`.

    Parameters
    ----------
    name : str
        Name of the process and of its log file.
    command : sequence of str
        Program and its arguments.
    logs : Path
        Folder of the log files.
    environment : mapping of str to str, optional
        Environment variables added to those of this process.
    """
    path = logs / f"{name}.log"
    with path.open("ab") as log:
        process = subprocess.Popen(
            command,
            env={**os.environ, **(environment or {})},
            stdin=subprocess.DEVNULL,
            stdout=log,
            stderr=subprocess.STDOUT,
            start_new_session=True,
            preexec_fn=kill_on_parent_exit if sys.platform == "linux" else None,
        )
    return Child(name, process, path)


async def stop_children(children: Sequence[Child]) -> None:
    """Terminate all processes, then kill those that have not exited in time."""
    running = [child for child in children if child.process.poll() is None]
    for child in running:
        child.process.send_signal(signal.SIGCONT)
        child.process.terminate()
    with anyio.move_on_after(STOP_TIMEOUT_S):
        while any(child.process.poll() is None for child in running):  # noqa: ASYNC110
            await anyio.sleep(POLL_INTERVAL_S)
    for child in running:
        if child.process.poll() is None:
            child.process.kill()
        child.process.wait()


def free_ports(count: int, host: str = "127.0.0.1") -> list[int]:
    """Return `count` different ports that are currently free."""
    sockets = [socket.socket() for _ in range(count)]
    try:
        for item in sockets:
            item.bind((host, 0))
        return [item.getsockname()[1] for item in sockets]
    finally:
        for item in sockets:
            item.close()


async def wait_for_port(child: Child, host: str, port: int, timeout_s: float) -> None:
    """Wait until a process accepts connections.

    Raises
    ------
    TimeoutError
        If it does not within `timeout_s` seconds.
    RuntimeError
        If the process exits.
    """
    with anyio.fail_after(timeout_s):
        while True:
            child.require_running()
            try:
                stream = await anyio.connect_tcp(host, port)
            except OSError:
                await anyio.sleep(POLL_INTERVAL_S)
            else:
                await stream.aclose()
                return
