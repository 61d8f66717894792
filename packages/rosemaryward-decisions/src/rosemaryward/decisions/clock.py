"""Clock for everything whose age decides whether it may be trusted."""

import time

__all__ = ["boot_time_s"]


def boot_time_s() -> float:
    """Return seconds since the host started, including time spent suspended.

    The monotonic clock stops while a host is suspended, so a lease that is measured
    with it would outlive the same lease on another host.
    """
    return time.clock_gettime(time.CLOCK_BOOTTIME)
