"""Structured log lines on standard output that neither block nor flood.

Lines about single requests share a budget per second; the number of lines that
the budget left out is part of the next line. Lines about changes of belief are few
and not limited. A reader that is too slow loses lines, which are counted as well.
"""

import os
import time
from collections.abc import Callable

import msgspec
import structlog
from structlog.typing import EventDict, WrappedLogger

__all__ = ["NonBlockingWriter", "LogRateLimiter", "configure_bounded_logging"]

STANDARD_OUTPUT = 1
LINES_PER_S = 60.0
BURST_LINES = 240.0
INFO = 20

_encoder = msgspec.json.Encoder(enc_hook=repr)


class LogRateLimiter:
    """Token bucket for the lines about single requests.

    Parameters
    ----------
    lines_per_s : float
    burst : float
    clock : callable, optional

    Attributes
    ----------
    left_out : int
        Lines refused since the last one that was granted.
    """

    __slots__ = ("burst", "clock", "left_out", "lines_per_s", "tokens", "updated_at")

    def __init__(
        self,
        lines_per_s: float = LINES_PER_S,
        burst: float = BURST_LINES,
        clock: Callable[[], float] = time.monotonic,
    ) -> None:
        self.lines_per_s = lines_per_s
        self.burst = burst
        self.clock = clock
        self.tokens = burst
        self.updated_at = clock()
        self.left_out = 0

    def take(self) -> int | None:
        """Return the number of lines left out before this one, None to leave it out."""
        now = self.clock()
        earned = (now - self.updated_at) * self.lines_per_s
        self.tokens = min(self.burst, self.tokens + earned)
        self.updated_at = now
        if self.tokens < 1.0:
            self.left_out += 1
            return None
        self.tokens -= 1.0
        left_out, self.left_out = self.left_out, 0
        return left_out


class NonBlockingWriter:
    """Writes lines to a descriptor without blocking; drops what it does not take.

    Parameters
    ----------
    descriptor : int

    Attributes
    ----------
    dropped : int
    """

    def __init__(self, descriptor: int = STANDARD_OUTPUT) -> None:
        self.descriptor = descriptor
        self.dropped = 0
        self.rest = b""
        os.set_blocking(descriptor, False)

    def msg(self, line: bytes) -> None:
        """Write one line, or the rest of an earlier one if it was cut off."""
        if self.rest:
            self.dropped += 1
            self.rest = self._write(self.rest)
            return
        self.rest = self._write(line + b"\n")

    log = debug = info = warning = error = critical = msg

    def _write(self, data: bytes) -> bytes:
        try:
            return data[os.write(self.descriptor, data) :]
        except BlockingIOError:
            return data


def _render(logger: WrappedLogger, method: str, event: EventDict) -> bytes:
    return _encoder.encode(event)


def configure_bounded_logging(host: str) -> NonBlockingWriter:
    """Write log events of level info and above as JSON lines to standard output.

    Parameters
    ----------
    host : str
        Name of this host, part of every line.
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
        wrapper_class=structlog.make_filtering_bound_logger(INFO),
        logger_factory=lambda *names: writer,
        cache_logger_on_first_use=True,
    )
    return writer
