"""Repetition of calls to a store that does not answer this process.

A call that a silent store holds ends only when it times out, although the store may
answer new ones by then. The callers of a process therefore share one series of probes,
which are sent at fixed intervals whether or not the earlier ones have ended.
"""

from collections.abc import Awaitable, Callable
from random import Random

import anyio
import structlog

from rosemaryward.decisions.clock import boot_time_s
from rosemaryward.decisions.errors import StoreError
from rosemaryward.decisions.mirror.timing import PROBE_INTERVAL_S

__all__ = ["StoreRetry"]

MIN_PAUSE_S = 0.25  # between a failed call and its repetition
SHORTEST_INTERVAL_SHARE = 0.8  # spreads the probes of hosts turned away together

log = structlog.get_logger(__name__)


class StoreRetry:
    """Waits of failed calls until the store answers a probe of this process.

    Parameters
    ----------
    probe : callable, optional
        Makes a cheap call to the store, and raises `StoreError` without an answer. Its
        argument is whether the answer may be stale, which costs the store least.
        Without it, failed calls are repeated after a fixed pause.
    interval_s : float
        Time between two probes in seconds, at most.
    random : random.Random, optional
        Source of the jitter.
    clock : callable, optional
        Boot time in seconds.

    Attributes
    ----------
    is_lost : bool
        Whether a call failed that was sent after the last answered one.
    lost_at : float
        Boot time of the failure that was noticed first, in seconds.
    lost : anyio.Event
        Set while `is_lost`.
    answered : anyio.Event
        Set when the store answers again.
    answered_at : float
        Boot time at which the last answered call was sent, in seconds.
    next_probe_at : float
        Earliest boot time of the next probe, in seconds.
    accepts_stale : bool
        Whether probes may be answered with stale data. A store that answers these
        and nothing else does not count as answering.
    listeners : list of callable
        Called when the store answers again.
    """

    def __init__(
        self,
        probe: Callable[[bool], Awaitable[None]] | None = None,
        interval_s: float = PROBE_INTERVAL_S,
        random: Random | None = None,
        clock: Callable[[], float] = boot_time_s,
    ) -> None:
        self.probe = probe
        self.interval_s = interval_s
        self.random = random or Random()
        self.clock = clock
        self.is_lost = False
        self.lost_at = float("-inf")
        self.lost = anyio.Event()
        self.answered = anyio.Event()
        self.answered_at = float("-inf")
        self.next_probe_at = float("-inf")
        self.accepts_stale = True
        self.listeners: list[Callable[[], None]] = []

    async def run(self) -> None:
        """Probe the store while it is lost, until cancelled."""
        while True:
            await self.lost.wait()
            await self._probe_until_answered()

    async def wait(self, sent_at: float) -> None:
        """Wait after a failed call until it is worth repeating.

        Parameters
        ----------
        sent_at : float
            Boot time at which the call was sent, in seconds.
        """
        began_at = self.clock()
        # A call from before the last answered one says nothing of the store now.
        if self.probe is not None and sent_at >= self.answered_at:
            if not self.is_lost:
                self._record_loss()
            await self.answered.wait()
        await anyio.sleep(max(began_at + MIN_PAUSE_S - self.clock(), 0.0))

    def record_answer(self, sent_at: float) -> None:
        """Record that the store answered a call.

        Parameters
        ----------
        sent_at : float
            Boot time at which the call was sent, in seconds.
        """
        self.accepts_stale = True
        self._record_answer(sent_at)

    def _record_answer(self, sent_at: float) -> None:
        self.answered_at = max(self.answered_at, sent_at)
        if not self.is_lost:
            return
        self.is_lost = False
        self.lost = anyio.Event()
        self.answered.set()
        log.info("store answers again", lost_s=round(self.clock() - self.lost_at, 3))
        for notify in self.listeners:
            notify()

    def _record_loss(self) -> None:
        """Begin a series of probes."""
        self.is_lost = True
        self.lost_at = self.clock()
        self.answered = anyio.Event()
        self.lost.set()

    async def _probe_until_answered(self) -> None:
        answered = self.answered
        async with anyio.create_task_group() as tasks:
            while not answered.is_set():
                with anyio.move_on_after(max(self.next_probe_at - self.clock(), 0.0)):
                    await answered.wait()
                if answered.is_set():
                    break
                share = self.random.uniform(SHORTEST_INTERVAL_SHARE, 1.0)
                self.next_probe_at = self.clock() + self.interval_s * share
                tasks.start_soon(self._send_probe)
            tasks.cancel_scope.cancel()

    async def _send_probe(self) -> None:
        assert self.probe is not None
        sent_at = self.clock()
        accepts_stale = self.accepts_stale
        try:
            await self.probe(accepts_stale)
        except StoreError:
            return
        # Until another call is answered, a further loss contradicts a stale answer.
        self.accepts_stale = False
        self._record_answer(sent_at)
