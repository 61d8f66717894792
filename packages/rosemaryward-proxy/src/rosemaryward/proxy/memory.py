"""Settings of the memory allocator for long messages."""

import ctypes

import structlog

__all__ = ["return_freed_memory"]

M_MMAP_THRESHOLD = -3  # parameter number of mallopt in glibc
MMAP_THRESHOLD_BYTES = 128 * 1024

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
