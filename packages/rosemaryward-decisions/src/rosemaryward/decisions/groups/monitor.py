"""Monitor of one instance, the only user of its control connection."""

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

# Shortest time between the starts of two long polls, in case the instance answers
# immediately instead of holding the request.
LONG_POLL_SPACING_S = 0.002


class InstanceMonitor:
    """Requests the status of one instance periodically.

    Concurrent callers share requests: callers of `fresh_status` share the next
    status request, and all positions in `long_polling` share one long poll. Control
    operations and status requests are serialized by a lock, and the round-trip time
    is measured without the wait for this lock.

    Parameters
    ----------
    endpoint : EndpointId
    control : InstanceControl
        Control connection, closed by the monitor. It reconnects on the next call.
    interval_s : float
        Interval of status requests in seconds when no caller waits for one.
    settings : GroupSettings, optional
    on_answer : callable, optional
        Called with the monitor after each answer.

    Attributes
    ----------
    status : InstanceStatus or None
        Status from the last answer.
    status_requested_at : float
        Event-loop time in seconds at which the request for `status` was sent.
    answered_at : float
        Event-loop time in seconds of the last answer.
    requests, answers, errors, timeouts : int
        Number of status requests sent, of answers, of status requests that failed
        before their timeout and of those that timed out.
    """

    __slots__ = (
        "_answered",
        "_answered_request",
        "_awaited_positions",
        "_fresh_waiters",
        "_lock",
        "_position_awaited",
        "_request_needed",
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
        self._awaited_positions: dict[object, LogPosition] = {}
        self._lock = anyio.Lock(fast_acquire=True)
        self._request_needed = anyio.Event()
        self._answered = anyio.Event()
        self._position_awaited = anyio.Event()
        self._tasks: TaskGroup | None = None

    async def __aenter__(self) -> Self:
        self._tasks = anyio.create_task_group()
        await self._tasks.__aenter__()
        self._tasks.start_soon(self._run)
        self._tasks.start_soon(self._run_long_polls)
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
        """Return whether an answer arrived during the last `within_s` seconds."""
        return anyio.current_time() - self.answered_at <= within_s

    def is_fresh(self, within_s: float) -> bool:
        """Return whether `status` was requested during the last `within_s` seconds."""
        return anyio.current_time() - self.status_requested_at <= within_s

    async def fresh_status(self, after: int | None = None) -> InstanceStatus:
        """Return a status whose request was sent after this call began.

        Parameters
        ----------
        after : int, optional
            Earlier value of `requests`, which replaces the time of the call. A
            repeated call with it does not start to wait anew.
        """
        last = self.requests if after is None else after
        self._fresh_waiters += 1
        self._request_needed.set()
        try:
            while self._answered_request <= last:
                await self._answered.wait()
        finally:
            self._fresh_waiters -= 1
        assert self.status is not None
        return self.status

    def refresh_if_older(self, age_s: float) -> None:
        """Send the next request now if `status` is older than `age_s` seconds."""
        if not self.is_fresh(age_s):
            self._request_needed.set()

    @contextmanager
    def long_polling(self, bound: LogPosition) -> Iterator[None]:
        """Long-poll the instance, inside the context, until it received `bound`."""
        key = object()
        if self.status is None or self.status.received < bound:
            self._awaited_positions[key] = bound
            self._position_awaited.set()
        self.refresh_if_older(self.settings.lease_s)
        try:
            yield
        finally:
            self._awaited_positions.pop(key, None)

    async def command(self, call: Callable[[InstanceControl], Awaitable[bool]]) -> bool:
        """Run a control operation between two status requests.

        Parameters
        ----------
        call : callable
            Starts the operation on the control connection.

        Returns
        -------
        bool
            Result of the operation.

        Raises
        ------
        EndpointError
            If no answer came in time; the operation may have taken effect.
        """
        timeout_s = max(
            self.settings.command_timeout_s, 2 * self.detector.expected_answer_s()
        )
        try:
            async with self._lock:
                with anyio.fail_after(timeout_s):
                    return await call(self.control)
        except (TimeoutError, OSError) as error:
            raise EndpointError(
                f"{self.endpoint}: no answer to a control operation: {error!r}"
            ) from error

    async def _run(self) -> None:
        while True:
            pause_s = await self._request_status()
            if pause_s > 0:
                await anyio.sleep(pause_s)
            else:
                await self._wait_until_due()

    async def _wait_until_due(self) -> None:
        """Wait until the next status request is due or a caller needs one."""
        if self._fresh_waiters or self.detector.failures:
            return
        self._request_needed = anyio.Event()
        delay_s = self.status_requested_at + self.interval_s - anyio.current_time()
        with anyio.move_on_after(max(delay_s, 0.0)):
            await self._request_needed.wait()

    async def _request_status(self) -> float:
        """Send one status request and return the pause in seconds that must follow."""
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
                return self._record_failure(error, sent_at, due_at)
        self._answered_request = request
        self._record_answer(status, sent_at, anyio.current_time() - sent_at)
        return 0.0

    async def _run_long_polls(self) -> None:
        """Send status requests that the instance holds until it received a position."""
        while True:
            if not self._awaited_positions:
                self._position_awaited = anyio.Event()
                await self._position_awaited.wait()
            sent_at = anyio.current_time()
            pause_s = LONG_POLL_SPACING_S
            try:
                await self._long_poll(sent_at)
            except (EndpointError, OSError, TimeoutError):
                pause_s = self.settings.retry_pause_s
            if self._awaited_positions:
                pause_s += sent_at - anyio.current_time()
                await anyio.sleep(max(0.0, pause_s))

    async def _long_poll(self, sent_at: float) -> None:
        hold_s = self.settings.long_poll_s
        bound = min(self._awaited_positions.values(), default=None)
        if bound is None:
            return
        with anyio.fail_after(hold_s + self.detector.timeout_s()):
            status = await self.control.status(bound, hold_s)
        self._record_answer(status, sent_at, None)

    def _record_failure(self, error: Exception, sent_at: float, due_at: float) -> float:
        now = anyio.current_time()
        self.detector.record_failure(sent_at, due_at, now)
        if now >= due_at:
            self.timeouts += 1
            return 0.0
        self.errors += 1
        return sent_at + self.settings.retry_pause_s - now

    def _record_answer(
        self, status: InstanceStatus, sent_at: float, round_trip_s: float | None
    ) -> None:
        now = anyio.current_time()
        self.answers += 1
        self.answered_at = now
        self.detector.record_answer(now, round_trip_s)
        self._merge_status(status, sent_at)
        received = status.received
        self._awaited_positions = {
            k: b for k, b in self._awaited_positions.items() if b > received
        }
        self._answered.set()
        self._answered = anyio.Event()
        if self.on_answer is not None:
            self.on_answer(self)

    def _merge_status(self, status: InstanceStatus, sent_at: float) -> None:
        """Store an answer, unless the answer to a later request is newer.

        Answers to status requests and to long polls may arrive out of order. Terms
        never decrease, and positions never decrease within a term and role.
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
