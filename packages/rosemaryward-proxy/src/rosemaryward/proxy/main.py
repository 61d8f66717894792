"""Entry point of the command ``rosemaryward-proxy``."""

import asyncio
import logging
import signal
import sys
from typing import NoReturn

import anyio
import cappa
import uvloop

from rosemaryward.decisions.errors import PeerError, SettingsError
from rosemaryward.operators.logs import configure_logging
from rosemaryward.proxy.memory import raise_descriptor_limit, return_freed_memory
from rosemaryward.proxy.node import ProxyNode
from rosemaryward.proxy.settings import ProxySettings

__all__ = ["main"]

EXIT_FAILED = 1
EXIT_USAGE = 2


def main() -> None:
    """Run a proxy until SIGTERM or SIGINT; SIGHUP is only logged."""
    settings = cappa.parse(ProxySettings)
    try:
        settings.check()
        configure_logging(settings.log_level)
    except SettingsError as error:
        _fail(str(error), EXIT_USAGE)
    return_freed_memory()
    raise_descriptor_limit()
    # mysql_mimic logs every rejected statement; the metrics count them already.
    logging.getLogger("mysql_mimic").setLevel(logging.CRITICAL)
    try:
        anyio.run(
            run_node, settings, backend_options={"loop_factory": uvloop.new_event_loop}
        )
    except* (SettingsError, PeerError, OSError) as errors:
        # For example a port in use or an unreadable file.
        _fail(str(errors.exceptions[0]), EXIT_FAILED)


def _fail(message: str, code: int) -> NoReturn:
    print(f"rosemaryward-proxy: {message}", file=sys.stderr)
    raise SystemExit(code)


async def run_node(settings: ProxySettings) -> None:
    """Run a proxy until SIGTERM or SIGINT, then drain it."""
    node = ProxyNode(settings)
    stopping = handle_signals(node)
    async with node:
        await stopping.wait()
        await node.drain()


def handle_signals(node: ProxyNode) -> anyio.Event:
    """Log SIGHUP, SIGTERM and SIGINT until the event loop is closed.

    No handler is removed before, because the default actions end the process, even
    while statements are in progress.

    Returns
    -------
    anyio.Event
        Set by SIGTERM and SIGINT.
    """
    stopping = anyio.Event()
    loop = asyncio.get_running_loop()

    def handle(number: signal.Signals) -> None:
        node.log.info("signal received", signal=number.name, draining=node.is_draining)
        if number != signal.SIGHUP:
            stopping.set()

    for number in (signal.SIGHUP, signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, handle, number)
    return stopping


if __name__ == "__main__":
    main()
