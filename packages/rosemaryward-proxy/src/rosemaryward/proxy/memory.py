"""Settings of the memory allocator for long messages."""

import ctypes
import os
import resource

import structlog

__all__ = [
    "descriptor_limit",
    "machine_memory_mib",
    "raise_descriptor_limit",
    "return_freed_memory",
]

M_MMAP_THRESHOLD = -3  # parameter number of mallopt in glibc
MMAP_THRESHOLD_BYTES = 128 * 1024
MAX_DESCRIPTORS = 65_536  # more than the connections of the largest fleet need

log = structlog.get_logger(__name__)


def return_freed_memory() -> None:
    """Make the allocator return long blocks to the system when they are freed.

    By default, glibc takes blocks of up to 32 MiB from its heap once one of them has
    been freed, and keeps them. A crowd's messages then stay in the process's memory.
    """
    try:
        ctypes.CDLL(None).mallopt(M_MMAP_THRESHOLD, MMAP_THRESHOLD_BYTES)
    except (AttributeError, OSError) as error:  # another allocator
        log.info("allocator without a threshold for long blocks", error=str(error))


def machine_memory_mib() -> float:
    """Return the memory of the machine in MiB."""
    return os.sysconf("SC_PAGE_SIZE") * os.sysconf("SC_PHYS_PAGES") / (1 << 20)


def descriptor_limit() -> int:
    """Return how many descriptors the process may have open."""
    soft, _ = resource.getrlimit(resource.RLIMIT_NOFILE)
    return MAX_DESCRIPTORS if soft == resource.RLIM_INFINITY else soft


def raise_descriptor_limit() -> None:
    """Use the descriptors that the system permits, as the usual limit is 1,024."""
    soft, hard = resource.getrlimit(resource.RLIMIT_NOFILE)
    unlimited = hard == resource.RLIM_INFINITY
    wanted = MAX_DESCRIPTORS if unlimited else min(hard, MAX_DESCRIPTORS)
    if soft != resource.RLIM_INFINITY and soft < wanted:
        resource.setrlimit(resource.RLIMIT_NOFILE, (wanted, hard))
