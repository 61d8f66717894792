"""Entry point of a proxy that runs on the users' platform."""

import os
import signal
import sys
from collections.abc import AsyncIterator
from pathlib import Path

import anyio
import structlog
import uvloop

from rosemaryward.decisions.errors import SettingsError
from rosemaryward.operators.bounded_logs import configure_bounded_logging
from rosemaryward.platform.settings import SETTINGS_VARIABLE, read_settings
from rosemaryward.proxy.memory import raise_descriptor_limit, return_freed_memory
from rosemaryward.proxy.platform_node import PlatformNode

__all__ = ["main"]

EXIT_USAGE = 2
SIGNALS = (signal.SIGTERM, signal.SIGINT, signal.SIGHUP)

log = structlog.get_logger(__name__)


def main() -> None:
    """Run a proxy until SIGTERM or SIGINT."""
    path = Path(os.environ.get(SETTINGS_VARIABLE, ""))
    try:
        settings = read_settings(path)
    except SettingsError as error:
        print(f"rosemaryward-proxy: {error}", file=sys.stderr)
        raise SystemExit(EXIT_USAGE) from error
    configure_bounded_logging(settings.name)
    return_freed_memory()
    raise_descriptor_limit()
    node = PlatformNode(settings, path)
    try:
        anyio.run(
            run_node, node, backend_options={"loop_factory": uvloop.new_event_loop}
        )
    except Exception as error:
        log.error("proxy failed", draining=node.is_draining, error=repr(error))
        raise


async def run_node(node: PlatformNode) -> None:
    """Run a proxy until SIGTERM or SIGINT; SIGHUP reloads the settings."""
    # The receiver stays open until the drain has ended, because its exit restores the
    # default actions, with which a further signal would end the process.
    with anyio.open_signal_receiver(*SIGNALS) as signals:
        async with anyio.create_task_group() as tasks:
            stopping = anyio.Event()
            tasks.start_soon(_handle_signals, signals, node, stopping)
            await node.run(stopping)
            tasks.cancel_scope.cancel()
    for number in SIGNALS:
        signal.signal(number, signal.SIG_IGN)  # nothing is left to stop


async def _handle_signals(
    signals: AsyncIterator[signal.Signals], node: PlatformNode, stopping: anyio.Event
) -> None:
    async for number in signals:
        log.info("signal received", signal=number.name, draining=node.is_draining)
        if number == signal.SIGHUP:
            node.reload()
        else:
            stopping.set()


if __name__ == "__main__":
    main()
