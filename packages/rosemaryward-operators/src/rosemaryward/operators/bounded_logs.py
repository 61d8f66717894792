"""Structured logging to standard output that is rate-limited and does not block.

Log lines about single requests share a rate limit; the next permitted line contains
the number of suppressed ones. Log lines about state changes are few and not limited.
If the reader of standard output is too slow, lines are dropped and counted.
"""

import os
import time
from collections.abc import Callable

import msgspec
import structlog
from structlog.typing import EventDict, WrappedLogger

__all__ = ["NonBlockingWriter", "LogRateLimiter", "configure_bounded_logging"]

STANDARD_OUTPUT = 1
REQUEST_LINES_PER_S = 60.0
REQUEST_BURST_LINES = 240.0
INFO_LEVEL = 20

_encoder = msgspec.json.Encoder(enc_hook=repr)


class LogRateLimiter:
    """Token bucket that limits log lines about single requests.

    Parameters
    ----------
    lines_per_s : float
        Permitted lines per second on average.
    burst : float
        Number of lines permitted at once.
    clock : callable, optional
        Returns the time in seconds.

    Attributes
    ----------
    suppressed : int
        Lines refused since the last permitted one.
    """

    __slots__ = ("burst", "clock", "lines_per_s", "suppressed", "tokens", "updated_at")

    def __init__(
        self,
        lines_per_s: float = REQUEST_LINES_PER_S,
        burst: float = REQUEST_BURST_LINES,
        clock: Callable[[], float] = time.monotonic,
    ) -> None:
        self.lines_per_s = lines_per_s
        self.burst = burst
        self.clock = clock
        self.tokens = burst
        self.updated_at = clock()
        self.suppressed = 0

    def take(self) -> int | None:
        """Return how many lines were suppressed before; None suppresses this one."""
        now = self.clock()
        earned = (now - self.updated_at) * self.lines_per_s
        self.tokens = min(self.burst, self.tokens + earned)
        self.updated_at = now
        if self.tokens < 1.0:
            self.suppressed += 1
            return None
        self.tokens -= 1.0
        suppressed, self.suppressed = self.suppressed, 0
        return suppressed


class NonBlockingWriter:
    """Writes lines to a file descriptor without blocking; drops lines if it is full.

    Parameters
    ----------
    descriptor : int
        File descriptor; it is set to non-blocking mode.

    Attributes
    ----------
    dropped_lines : int
        Number of lines that were not written.
    unwritten : bytes
        End of a line that was written in part.
    """

    def __init__(self, descriptor: int = STANDARD_OUTPUT) -> None:
        self.descriptor = descriptor
        self.dropped_lines = 0
        self.unwritten = b""
        os.set_blocking(descriptor, False)

    def msg(self, line: bytes) -> None:
        """Write one line, or instead the rest of a line that was written in part."""
        if self.unwritten:
            self.dropped_lines += 1
            self.unwritten = self._write(self.unwritten)
            return
        self.unwritten = self._write(line + b"\n")

    log = debug = info = warning = error = critical = msg

    def _write(self, data: bytes) -> bytes:
        try:
            return data[os.write(self.descriptor, data) :]
        except BlockingIOError:
            return data
        except OSError:  # the reader of the log has ended
            self.dropped_lines += 1
            return b""


def _render(logger: WrappedLogger, method: str, event: EventDict) -> bytes:
    return _encoder.encode(event)


def configure_bounded_logging(host: str) -> NonBlockingWriter:
    """Write log events of level info and above as JSON lines to standard output.

    Parameters
    ----------
    host : str
        Name of this host, which every line contains.

    Returns
    -------
    NonBlockingWriter
        Writer of the log lines.
    """
    writer = NonBlockingWriter()

    def add_host(logger: WrappedLogger, method: str, event: EventDict) -> EventDict:
        return {
            "at": round(time.time(), 3),
            "level": method,
            "host": host,
            "event": event.pop("event"),
            **event,
        }

    structlog.configure(
        processors=[add_host, _render],
        wrapper_class=structlog.make_filtering_bound_logger(INFO_LEVEL),
        logger_factory=lambda *names: writer,
        cache_logger_on_first_use=True,
    )
    return writer
