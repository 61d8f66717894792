"""Monitor of one instance: the only sender on its control connection."""

from collections.abc import Awaitable, Callable, Iterator
from contextlib import contextmanager
from math import inf
from types import TracebackType
from typing import Self

import anyio
import msgspec
from anyio.abc import TaskGroup

from rosemaryward.decisions.errors import EndpointError
from rosemaryward.decisions.groups.detector import FailureDetector
from rosemaryward.decisions.groups.settings import GroupSettings
from rosemaryward.decisions.interfaces import InstanceControl, InstanceStatus
from rosemaryward.decisions.types import EndpointId, LogPosition

__all__ = ["InstanceMonitor"]

# Shortest time between two requests that wait for a position, in case the
# instance answers at once instead of holding the request.
POLL_GAP_S = 0.002


class InstanceMonitor:
    """Keeps asking one instance for its status.

    Requests of concurrent callers are merged: callers of `fresh` share the next
    request, and one more request at a time waits for a position. Control
    operations and requests that do not wait take turns, so waiting for a turn
    does not look like latency of the instance.

    Parameters
    ----------
    endpoint : EndpointId
    control : InstanceControl
        Closed by the monitor. It reconnects by itself on the next call.
    interval_s : float
        Interval of requests when nobody waits for one.
    settings : GroupSettings, optional
    on_answer : callable, optional
        Called with the monitor after each answer.

    Attributes
    ----------
    status : InstanceStatus or None
        Last answer.
    status_requested_at : float
        Event-loop time at which the request of the last answer was sent.
    answered_at : float
        Event-loop time of the last answer.
    requests, answers, errors, timeouts : int
        Counters.
    """

    __slots__ = (
        "_answered",
        "_answered_request",
        "_bounded",
        "_bounds",
        "_fresh_waiters",
        "_lock",
        "_poke",
        "_tasks",
        "answered_at",
        "answers",
        "control",
        "detector",
        "endpoint",
        "errors",
        "interval_s",
        "on_answer",
        "requests",
        "settings",
        "status",
        "status_requested_at",
        "timeouts",
    )

    def __init__(
        self,
        endpoint: EndpointId,
        control: InstanceControl,
        interval_s: float,
        settings: GroupSettings | None = None,
        on_answer: "Callable[[InstanceMonitor], None] | None" = None,
    ) -> None:
        self.endpoint = endpoint
        self.control = control
        self.interval_s = interval_s
        self.settings = settings or GroupSettings()
        self.on_answer = on_answer
        self.detector = FailureDetector(self.settings)
        self.status: InstanceStatus | None = None
        self.status_requested_at = -inf
        self.answered_at = -inf
        self.requests = 0
        self.answers = 0
        self.errors = 0
        self.timeouts = 0
        self._answered_request = 0
        self._fresh_waiters = 0
        self._bounds: dict[object, LogPosition] = {}
        self._lock = anyio.Lock(fast_acquire=True)
        self._poke = anyio.Event()
        self._answered = anyio.Event()
        self._bounded = anyio.Event()
        self._tasks: TaskGroup | None = None

    async def __aenter__(self) -> Self:
        self._tasks = anyio.create_task_group()
        await self._tasks.__aenter__()
        self._tasks.start_soon(self._run)
        self._tasks.start_soon(self._run_held)
        return self

    async def __aexit__(
        self,
        exc_type: type[BaseException] | None,
        exc: BaseException | None,
        traceback: TracebackType | None,
    ) -> bool | None:
        assert self._tasks is not None
        self._tasks.cancel_scope.cancel()
        try:
            return await self._tasks.__aexit__(exc_type, exc, traceback)
        finally:
            with anyio.CancelScope(shield=True):
                await self.control.aclose()

    def is_reachable(self, within_s: float) -> bool:
        """Return whether an answer arrived within the last `within_s` seconds."""
        return anyio.current_time() - self.answered_at <= within_s

    def is_fresh(self, within_s: float) -> bool:
        """Return whether the last answer's request was sent within `within_s`."""
        return anyio.current_time() - self.status_requested_at <= within_s

    async def fresh(self, after: int | None = None) -> InstanceStatus:
        """Return a status whose request was sent after this call began.

        Parameters
        ----------
        after : int, optional
            Value of `requests` at an earlier time that counts instead, so that a
            caller that repeats the call does not start to wait anew.
        """
        last = self.requests if after is None else after
        self._fresh_waiters += 1
        self._poke.set()
        try:
            while self._answered_request <= last:
                await self._answered.wait()
        finally:
            self._fresh_waiters -= 1
        assert self.status is not None
        return self.status

    def hurry(self, age_s: float) -> None:
        """Send the next request now if the last answer is older than `age_s`."""
        if not self.is_fresh(age_s):
            self._poke.set()

    @contextmanager
    def awaiting(self, bound: LogPosition) -> Iterator[None]:
        """Learn quickly, inside the context, that the instance received `bound`."""
        key = object()
        if self.status is None or self.status.received < bound:
            self._bounds[key] = bound
            self._bounded.set()
        self.hurry(self.settings.lease_s)
        try:
            yield
        finally:
            self._bounds.pop(key, None)

    async def command(self, call: Callable[[InstanceControl], Awaitable[bool]]) -> bool:
        """Run a control operation between two status requests.

        Raises
        ------
        EndpointError
            If there was no answer in time; the operation may have taken effect.
        """
        timeout_s = max(self.settings.command_timeout_s, 2 * self.detector.usual_s())
        try:
            async with self._lock:
                with anyio.fail_after(timeout_s):
                    return await call(self.control)
        except (TimeoutError, OSError) as error:
            raise EndpointError(f"{self.endpoint}: no answer: {error!r}") from error

    async def _run(self) -> None:
        while True:
            pause_s = await self._request()
            if pause_s > 0:
                await anyio.sleep(pause_s)
            else:
                await self._idle()

    async def _idle(self) -> None:
        """Wait until the next request is due or someone needs one."""
        if self._fresh_waiters or self.detector.failures:
            return
        self._poke = anyio.Event()
        delay_s = self.status_requested_at + self.interval_s - anyio.current_time()
        with anyio.move_on_after(max(delay_s, 0.0)):
            await self._poke.wait()

    async def _request(self) -> float:
        """Send one status request; return the pause that must follow."""
        timeout_s = self.detector.timeout_s()
        async with self._lock:
            self.requests += 1
            request = self.requests
            sent_at = anyio.current_time()
            due_at = sent_at + timeout_s
            try:
                with anyio.fail_after(timeout_s):
                    status = await self.control.status(None, timeout_s)
            except (EndpointError, OSError, TimeoutError) as error:
                return self._fail(error, sent_at, due_at)
        self._answered_request = request
        self._accept(status, sent_at, anyio.current_time() - sent_at)
        return 0.0

    async def _run_held(self) -> None:
        """Send requests that the instance holds until it received a position."""
        while True:
            if not self._bounds:
                self._bounded = anyio.Event()
                await self._bounded.wait()
            sent_at = anyio.current_time()
            pause_s = POLL_GAP_S
            try:
                await self._request_held(sent_at)
            except (EndpointError, OSError, TimeoutError):
                pause_s = self.settings.retry_s
            if self._bounds:
                pause_s += sent_at - anyio.current_time()
                await anyio.sleep(max(0.0, pause_s))

    async def _request_held(self, sent_at: float) -> None:
        hold_s = self.settings.long_poll_s
        bound = min(self._bounds.values(), default=None)
        if bound is None:
            return
        with anyio.fail_after(hold_s + self.detector.timeout_s()):
            status = await self.control.status(bound, hold_s)
        self._accept(status, sent_at, None)

    def _fail(self, error: Exception, sent_at: float, due_at: float) -> float:
        now = anyio.current_time()
        self.detector.record_failure(sent_at, due_at, now)
        if now >= due_at:
            self.timeouts += 1
            return 0.0
        self.errors += 1
        return sent_at + self.settings.retry_s - now

    def _accept(
        self, status: InstanceStatus, sent_at: float, round_trip_s: float | None
    ) -> None:
        now = anyio.current_time()
        self.answers += 1
        self.answered_at = now
        self.detector.record_answer(now, round_trip_s)
        self._merge(status, sent_at)
        received = status.received
        self._bounds = {k: b for k, b in self._bounds.items() if b > received}
        self._answered.set()
        self._answered = anyio.Event()
        if self.on_answer is not None:
            self.on_answer(self)

    def _merge(self, status: InstanceStatus, sent_at: float) -> None:
        """Adopt an answer, unless one to a later request says more.

        Answers of the two kinds of requests may overtake each other. Terms never
        decrease, and within a term and role neither do positions.
        """
        known = self.status
        if (
            known is None
            or status.term > known.term
            or sent_at >= self.status_requested_at
        ):
            self.status, self.status_requested_at = status, sent_at
        elif status.term == known.term and status.role is known.role:
            self.status = msgspec.structs.replace(
                known,
                received=max(known.received, status.received),
                applied=max(known.applied, status.applied),
            )
