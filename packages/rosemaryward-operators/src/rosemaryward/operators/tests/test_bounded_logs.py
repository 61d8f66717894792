import os

import pytest

from rosemaryward.operators.bounded_logs import LogRateLimiter, NonBlockingWriter


class FakeClock:
    def __init__(self):
        self.now = 0.0

    def __call__(self):
        return self.now


def test_limiter_counts_suppressed_lines():
    """Guards against unlimited log lines and an unknown number of suppressed ones."""
    clock = FakeClock()
    limiter = LogRateLimiter(lines_per_s=10.0, burst=2.0, clock=clock)
    assert [limiter.take() for _ in range(5)] == [0, 0, None, None, None]
    clock.now += 0.1
    assert limiter.take() == 3


@pytest.fixture
def pipe():
    reading, writing = os.pipe()
    yield reading, writing
    os.close(reading)
    os.close(writing)


def test_slow_reader_loses_lines_without_blocking(pipe):
    """Guards against a proxy that blocks on the reader of its log."""
    reading, writing = pipe
    writer = NonBlockingWriter(writing)
    line = b"x" * 5000
    for _ in range(100):
        writer.msg(line)
    assert writer.dropped_lines > 0
    received = os.read(reading, 1 << 20)
    writer.msg(b"later")
    received += os.read(reading, 1 << 20)
    writer.msg(b"last")
    received += os.read(reading, 1 << 20)
    assert received.endswith(b"last\n")
    assert all(part in (line, b"last") for part in received.split(b"\n")[:-1])
