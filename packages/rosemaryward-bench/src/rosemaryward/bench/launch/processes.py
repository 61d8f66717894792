"""Child processes that end with the launcher."""

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
CONNECT_RETRY_S = 0.02
STOP_TIMEOUT_S = 3.0


class Child:
    """A process that the launcher started.

    Parameters
    ----------
    name : str
    process : subprocess.Popen
    log : Path
        File that receives its output.
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
        """Raise an error with the end of the log if the process has ended."""
        code = self.process.poll()
        if code is not None:
            tail = self.log.read_text(errors="replace")[-2000:]
            raise RuntimeError(f"{self.name} ended with code {code}:\n{tail}")


def die_with_parent() -> None:
    """Ask the kernel to kill this process when the launcher dies."""
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
    command : sequence of str
    logs : Path
    environment : mapping of str to str, optional
        Added to this process's own.
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
            preexec_fn=die_with_parent if sys.platform == "linux" else None,
        )
    return Child(name, process, path)


async def stop_children(children: Sequence[Child]) -> None:
    """Terminate all processes, and kill those that do not end in time."""
    running = [child for child in children if child.process.poll() is None]
    for child in running:
        child.process.send_signal(signal.SIGCONT)
        child.process.terminate()
    with anyio.move_on_after(STOP_TIMEOUT_S):
        while any(child.process.poll() is None for child in running):  # noqa: ASYNC110
            await anyio.sleep(CONNECT_RETRY_S)
    for child in running:
        if child.process.poll() is None:
            child.process.kill()
        child.process.wait()


def free_ports(count: int, host: str = "127.0.0.1") -> list[int]:
    """Return ports that are free now, all different."""
    sockets = [socket.socket() for _ in range(count)]
    try:
        for item in sockets:
            item.bind((host, 0))
        return [item.getsockname()[1] for item in sockets]
    finally:
        for item in sockets:
            item.close()


async def wait_for_port(child: Child, host: str, port: int, timeout_s: float) -> None:
    """Return when the process accepts connections.

    Raises
    ------
    TimeoutError
        If it does not within `timeout_s`.
    RuntimeError
        If the process ends.
    """
    with anyio.fail_after(timeout_s):
        while True:
            child.require_running()
            try:
                stream = await anyio.connect_tcp(host, port)
            except OSError:
                await anyio.sleep(CONNECT_RETRY_S)
            else:
                await stream.aclose()
                return
