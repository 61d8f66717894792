import signal

import pytest

from rosemaryward.bench.soak.endings import (
    LostReply,
    ProcessRun,
    check_cuts,
    check_endings,
)

STARTED = '{"event":"proxy starts"}'
DRAINED = f'{STARTED}{{"event":"drain ends"}}{{"event":"proxy stops"}}'
KILLED = -signal.SIGKILL
TERMINATED = -signal.SIGTERM
HUNG_UP = -signal.SIGHUP


def ended(status, log, *signals):
    sent = [(3.0 + offset, number) for offset, number in enumerate(signals)]
    return ProcessRun("proxy-1", 1.0, sent, 9.0, status, log)


ENDINGS = [
    pytest.param(ended(0, DRAINED, signal.SIGTERM), None, id="drained"),
    pytest.param(
        ended(0, DRAINED, signal.SIGTERM, signal.SIGTERM, signal.SIGHUP),
        None,
        id="drained-with-further-signals",
    ),
    pytest.param(ProcessRun("proxy-1", 1.0), None, id="still-running"),
    pytest.param(ended(KILLED, STARTED, signal.SIGKILL), None, id="killed"),
    pytest.param(
        ended(HUNG_UP, STARTED, signal.SIGTERM, signal.SIGHUP),
        "ended before its drain did",
        id="reload-ends-the-drain",
    ),
    pytest.param(
        ended(TERMINATED, STARTED, signal.SIGTERM, signal.SIGTERM),
        "ended before its drain did",
        id="second-sigterm-ends-the-drain",
    ),
    pytest.param(
        ended(0, STARTED, signal.SIGTERM),
        "ended before its drain did",
        id="exit-without-a-drain",
    ),
    pytest.param(
        ended(HUNG_UP, DRAINED, signal.SIGTERM, signal.SIGHUP),
        "ended with an error after its drain",
        id="signal-after-the-drain",
    ),
    pytest.param(
        ended(HUNG_UP, "", signal.SIGHUP), "ended by itself", id="reload-during-start"
    ),
    pytest.param(ended(1, STARTED), "ended by itself", id="crash"),
    pytest.param(ended(0, DRAINED), "ended by itself", id="drain-without-a-sigterm"),
    pytest.param(
        ended(TERMINATED, "", signal.SIGTERM), None, id="terminated-during-start"
    ),
    pytest.param(
        ended(1, "", signal.SIGTERM),
        "ended while it started",
        id="error-during-start",
    ),
]


@pytest.mark.parametrize(("run", "expected"), ENDINGS)
def test_ends_out_of_order_are_found(run, expected):
    """Guards against a soak that misses a process which ended without its drain."""
    lines = check_endings([run])
    assert len(lines) == (expected is not None)
    assert all(line.startswith(f"exit: {expected}: proxy-1 ") for line in lines)


CUTS = [
    pytest.param(DRAINED, 0, {"a"}, True, False, "cut", id="run-but-not-answered"),
    pytest.param(DRAINED, 0, set(), True, False, "dropped", id="closed-by-the-drain"),
    pytest.param(STARTED, HUNG_UP, set(), True, False, "cut", id="process-ended-early"),
    pytest.param(STARTED, HUNG_UP, {"a"}, True, True, None, id="unplanned-fault"),
    pytest.param(DRAINED, 0, set(), False, False, None, id="sent-after-the-close"),
]


@pytest.mark.parametrize(
    ("log", "status", "executed", "was_open", "disturbed", "expected"), CUTS
)
def test_cut_statements_are_found(log, status, executed, was_open, disturbed, expected):
    """Guards against a soak that excuses statements cut by planned work."""
    lost = LostReply("proxy-1", "a", "READ k", 5.0, 5.1, was_open)
    run = ended(status, log, signal.SIGTERM, signal.SIGHUP)
    cut, dropped = check_cuts([lost], [run], executed, lambda begin, end: disturbed)
    kinds = [line.partition(":")[0] for line in cut + dropped]
    assert kinds == ([expected] if expected else [])


def test_statement_without_a_reply_from_a_running_process_is_cut():
    """Guards against a soak that takes a reply that never came for an early close."""
    lost = LostReply("proxy-1", "a", "READ k", 5.0, 7.5, was_open=True)
    running = ProcessRun("proxy-1", 1.0)
    cut, dropped = check_cuts([lost], [running], set(), lambda begin, end: False)
    assert (len(cut), dropped) == (1, [])
