import os

import pytest

from rosemaryward.operators.bounded_logs import LogRateLimiter, NonBlockingWriter


class Clock:
    def __init__(self):
        self.now = 0.0

    def __call__(self):
        return self.now


def test_budget_counts_the_lines_that_it_leaves_out():
    """Guards against a flood of lines and against losing their number."""
    clock = Clock()
    budget = LogRateLimiter(lines_per_s=10.0, burst=2.0, clock=clock)
    assert [budget.take() for _ in range(5)] == [0, 0, None, None, None]
    clock.now += 0.1
    assert budget.take() == 3


@pytest.fixture
def pipe():
    reading, writing = os.pipe()
    yield reading, writing
    os.close(reading)
    os.close(writing)


def test_slow_reader_loses_lines_and_blocks_nothing(pipe):
    """Guards against a proxy that waits for its log's reader."""
    reading, writing = pipe
    writer = NonBlockingWriter(writing)
    line = b"x" * 5000
    for _ in range(100):
        writer.msg(line)
    assert writer.dropped > 0
    received = os.read(reading, 1 << 20)
    writer.msg(b"later")
    received += os.read(reading, 1 << 20)
    writer.msg(b"last")
    received += os.read(reading, 1 << 20)
    assert received.endswith(b"last\n")
    assert all(part in (line, b"last") for part in received.split(b"\n")[:-1])
