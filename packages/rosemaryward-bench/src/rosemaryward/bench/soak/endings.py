"""How the proxy processes ended, which statements were cut, and the checks of both."""

import signal
import time
from collections.abc import Callable

import msgspec

__all__ = ["START_EVENT", "LostReply", "ProcessRun", "check_cuts", "check_endings"]

START_EVENT = '"event":"proxy starts"'
END_EVENTS = ('"event":"drain ends"', '"event":"proxy stops"')
END_STATUSES_DURING_START = (0, -signal.SIGTERM)


class ProcessRun(msgspec.Struct):
    """One process of a proxy, from its start to its end.

    Parameters
    ----------
    proxy : str
        Name of the proxy.
    started_at : float
        Seconds of the monotonic clock.
    signals : list of tuple of float and Signals
        Signals that were sent to it, with the times.
    ended_at : float, optional
        Time at which its end was seen; None while it runs.
    status : int
        Exit status, negative for a signal that ended it.
    log : str
        What it logged.
    """

    proxy: str
    started_at: float
    signals: list[tuple[float, signal.Signals]] = []
    ended_at: float | None = None
    status: int = 0
    log: str = ""

    def was_sent(self, number: signal.Signals) -> bool:
        """Return whether a signal was sent to the process."""
        return any(sent == number for _, sent in self.signals)

    def record_end(self, status: int, log: str) -> None:
        """Record that the process has ended."""
        self.ended_at = time.monotonic()
        self.status = status
        self.log = log


class LostReply(msgspec.Struct, frozen=True):
    """A statement of a caller without a complete reply.

    Parameters
    ----------
    proxy : str
        Name of the proxy that it was sent to.
    request_id, text : str
    sent_at, lost_at : float
        Seconds of the monotonic clock.
    was_open : bool
        False if the proxy had closed the connection before the statement was sent.
    """

    proxy: str
    request_id: str
    text: str
    sent_at: float
    lost_at: float
    was_open: bool


def check_endings(runs: list[ProcessRun]) -> list[str]:
    """Find processes that ended by themselves or, after a SIGTERM, without a drain.

    A SIGTERM before the process has logged its start may end it at once, because it
    serves no caller yet.

    Parameters
    ----------
    runs : list of ProcessRun
        Processes of all proxies.
    """
    violations = []
    for run in runs:
        if run.ended_at is None or run.was_sent(signal.SIGKILL):
            continue
        if not run.was_sent(signal.SIGTERM):
            reason = "ended by itself"
        elif START_EVENT not in run.log:
            if run.status in END_STATUSES_DURING_START:
                continue
            reason = "ended while it started"
        elif not all(event in run.log for event in END_EVENTS):
            reason = "ended before its drain did"
        elif run.status:
            reason = "ended with an error after its drain"
        else:
            continue
        sent = ", ".join(
            f"{number.name} {at - run.started_at:.3f} s" for at, number in run.signals
        )
        violations.append(
            f"exit: {reason}: {run.proxy} with status {run.status} "
            f"{run.ended_at - run.started_at:.3f} s after its start (signals: {sent})"
        )
    return violations


def check_cuts(
    lost_replies: list[LostReply],
    runs: list[ProcessRun],
    executed: set[str],
    is_disturbed: Callable[[float, float], bool],
) -> tuple[list[str], list[str]]:
    """Find statements on open connections whose replies no unplanned fault cut.

    Parameters
    ----------
    lost_replies : list of LostReply
        Statements without a complete reply.
    runs : list of ProcessRun
        Processes of all proxies.
    executed : set of str
        Identifiers of the statements that an instance ran.
    is_disturbed : callable
        Returns whether an unplanned fault was active between two times.

    Returns
    -------
    cut, dropped : list of str
        A line for each statement; dropped are those that no instance ran and whose
        proxy ended in order, so that its drain closed the connection on them.
    """
    cut, dropped = [], []
    for lost in lost_replies:
        if not lost.was_open or is_disturbed(lost.sent_at, lost.lost_at):
            continue
        was_run = lost.request_id in executed
        line = (
            f"{lost.request_id} {lost.text!r} at {lost.proxy}, sent at "
            f"{lost.sent_at:.3f}, lost after {lost.lost_at - lost.sent_at:.3f} s, "
            f"{'run' if was_run else 'not run'} by an instance"
        )
        if not was_run and _drained_in_order(lost, runs):
            dropped.append(f"dropped: {line}")
        else:
            cut.append(f"cut: {line}")
    return cut, dropped


def _drained_in_order(lost: LostReply, runs: list[ProcessRun]) -> bool:
    """Return whether the process that a statement was sent to ended in order."""
    for run in runs:
        if run.proxy != lost.proxy or run.started_at > lost.sent_at:
            continue
        if run.ended_at is not None and lost.sent_at <= run.ended_at:
            return run.was_sent(signal.SIGTERM) and not check_endings([run])
    return False
