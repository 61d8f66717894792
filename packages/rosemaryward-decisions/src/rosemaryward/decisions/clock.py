"""Clock for leases and other data that is valid for a limited time."""

import time

__all__ = ["boot_time_s"]


def boot_time_s() -> float:
    """Return the seconds since the host booted, including time spent suspended.

    The monotonic clock stops while a host is suspended, so a lease measured with it
    would last longer than the same lease on another host.
    """
    return time.clock_gettime(time.CLOCK_BOOTTIME)
