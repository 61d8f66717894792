"""Confirmation that a majority has received a write."""

from collections.abc import Iterator
from contextlib import ExitStack, contextmanager

import anyio

from rosemaryward.decisions.errors import OutcomeUnknownError
from rosemaryward.decisions.groups.majority import MajorityView, is_primary
from rosemaryward.decisions.interfaces import InstanceStatus
from rosemaryward.decisions.types import LogPosition

__all__ = ["WriteConfirmations"]

TERM_CHECK_INTERVAL_S = 0.1

RoundKey = tuple[str, int, LogPosition]


class ConfirmationRound:
    """Shared wait of all callers for one log position of one primary.

    Attributes
    ----------
    callers : int
        Number of waiting callers.
    done : anyio.Event
        Set when the position is confirmed or the primary was replaced.
    replaced : bool
        Whether the instance is no longer the primary of the term.
    requests : ExitStack
        Long polls of the other instances, ended with the last caller.
    """

    __slots__ = ("callers", "done", "replaced", "requests")

    def __init__(self) -> None:
        self.callers = 0
        self.done = anyio.Event()
        self.replaced = False
        self.requests = ExitStack()


class WriteConfirmations:
    """Runs one confirmation round per log position for all callers that need it.

    Parameters
    ----------
    view : MajorityView
    """

    __slots__ = ("rounds", "view")

    def __init__(self, view: MajorityView) -> None:
        self.view = view
        self.rounds: dict[RoundKey, ConfirmationRound] = {}

    async def confirm(self, instance: str, term: int) -> LogPosition:
        """Return a position at or past the caller's write once a majority received it.

        Parameters
        ----------
        instance : str
            Where the write was executed.
        term : int
            Term in which the write was executed.

        Raises
        ------
        OutcomeUnknownError
            If the instance is no longer the primary of `term`.
        """
        status = await self._fresh_status(instance, term)
        if not is_primary(status, term):
            raise OutcomeUnknownError(f"{instance} is not the primary of term {term}")
        bound = status.received
        # If this process was paused, the answer that completed the round may be stale
        # when the caller resumes. The majority is therefore checked again.
        while not self.view.is_confirmed(instance, bound, term):
            with self._joined_round((instance, term, bound)) as current:
                await current.done.wait()
            if current.replaced:
                raise OutcomeUnknownError(
                    f"{instance} was replaced as the primary of term {term}"
                )
        return bound

    async def _fresh_status(self, instance: str, term: int) -> InstanceStatus:
        """Return a status requested after the call; fail once a newer term is known.

        A failed primary does not answer. Without this check, callers would wait until
        their deadlines although a new primary already serves.
        """
        monitor = self.view.monitors[instance]
        sent_before = monitor.requests
        while True:
            with anyio.move_on_after(TERM_CHECK_INTERVAL_S):
                return await monitor.fresh_status(sent_before)
            self._require_term(instance, term)

    def _require_term(self, instance: str, term: int) -> None:
        if self.view.highest_term() > term:
            raise OutcomeUnknownError(
                f"{instance} was replaced as the primary of term {term}"
            )

    def update(self) -> None:
        """Complete the rounds whose outcome the latest answers decide."""
        for (instance, term, bound), current in self.rounds.items():
            status = self.view.monitors[instance].status
            replaced = not is_primary(status, term)
            if replaced or self.view.highest_term() > term:
                current.replaced = True
                current.done.set()
            elif self.view.is_confirmed(instance, bound, term):
                current.done.set()

    @contextmanager
    def _joined_round(self, key: RoundKey) -> Iterator[ConfirmationRound]:
        current = self.rounds.get(key)
        if current is None or current.done.is_set():
            current = self.rounds[key] = ConfirmationRound()
            self._start_long_polls(key, current)
        current.callers += 1
        try:
            yield current
        finally:
            current.callers -= 1
            if not current.callers:
                current.requests.close()
                if self.rounds.get(key) is current:
                    del self.rounds[key]

    def _start_long_polls(self, key: RoundKey, current: ConfirmationRound) -> None:
        instance, _, bound = key
        for name, monitor in self.view.monitors.items():
            if name != instance:
                current.requests.enter_context(monitor.long_polling(bound))
