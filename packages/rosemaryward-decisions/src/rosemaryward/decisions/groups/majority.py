"""Read leases and confirmations by a majority of a group's instances."""

from collections.abc import Mapping

from rosemaryward.decisions.groups.monitor import InstanceMonitor
from rosemaryward.decisions.interfaces import InstanceRole, InstanceStatus
from rosemaryward.decisions.types import LogPosition

__all__ = ["MajorityView", "is_primary"]


def is_primary(status: InstanceStatus | None, term: int) -> bool:
    """Return whether an instance reported itself as the primary of `term`."""
    return (
        status is not None
        and status.role is InstanceRole.PRIMARY
        and status.term == term
    )


class MajorityView:
    """Evaluates the monitored statuses of all instances of one group.

    Parameters
    ----------
    monitors : mapping of str to InstanceMonitor
        One monitor for every instance of the group.
    lease_s : float
        Time in seconds for which an answer is valid, counted from the time at which
        its request was sent. A promotion waits for the same time after it has raised
        the term on a majority. No newer primary is therefore open for writes while a
        majority of valid answers reports the old term.
    """

    __slots__ = ("lease_s", "majority", "monitors")

    def __init__(self, monitors: Mapping[str, InstanceMonitor], lease_s: float) -> None:
        self.monitors = monitors
        self.lease_s = lease_s
        self.majority = len(monitors) // 2 + 1

    def highest_term(self) -> int:
        """Return the highest term that any instance reported."""
        statuses = (monitor.status for monitor in self.monitors.values())
        return max((status.term for status in statuses if status), default=0)

    def count_fresh_in_term(self, term: int) -> int:
        """Return the number of instances with a valid answer that reports `term`."""
        return sum(
            monitor.status is not None
            and monitor.status.term == term
            and monitor.is_fresh(self.lease_s)
            for monitor in self.monitors.values()
        )

    def holds_lease(self, instance: str) -> bool:
        """Return whether the instance is the primary and no other can be open."""
        monitor = self.monitors[instance]
        status = monitor.status
        return (
            status is not None
            and status.role is InstanceRole.PRIMARY
            and monitor.is_fresh(self.lease_s)
            and self.count_fresh_in_term(status.term) >= self.majority
        )

    def is_confirmed(self, instance: str, bound: LogPosition, term: int) -> bool:
        """Return whether a majority has received the log of `term` up to `bound`.

        An entry of an older term is not confirmed by itself, because an instance
        with a newer log could still be promoted and discard it. It is confirmed
        once an entry of `term` that follows it is.

        Parameters
        ----------
        instance : str
            Instance that must still be the primary of `term`.
        bound : LogPosition
        term : int
        """
        primary = self.monitors[instance]
        if not (is_primary(primary.status, term) and primary.is_fresh(self.lease_s)):
            return False
        others = (m for name, m in self.monitors.items() if name != instance)
        holders = sum(self._has_received(monitor, bound, term) for monitor in others)
        return holders >= self.majority - 1

    def _has_received(
        self, monitor: InstanceMonitor, bound: LogPosition, term: int
    ) -> bool:
        status = monitor.status
        return (
            status is not None
            and status.term == term == status.received.term
            and status.received >= bound
            and monitor.is_fresh(self.lease_s)
        )
