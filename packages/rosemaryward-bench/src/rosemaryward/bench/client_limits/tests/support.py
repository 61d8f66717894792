import fcntl
from contextlib import contextmanager

import pytest
from anyio.from_thread import start_blocking_portal

MIB = 1 << 20
RESET_DATA = [pytest.param(b"", id="silent"), pytest.param(b"G", id="first-byte")]


@contextmanager
def exclusive(tmp_path_factory):
    """Run one of these tests at a time, also in several test processes."""
    # The parent folder is common to the processes of one run under xdist.
    folder = tmp_path_factory.getbasetemp().parent
    with (folder / "client-limits.lock").open("w") as lock:
        fcntl.flock(lock, fcntl.LOCK_EX)
        yield


@contextmanager
def in_background(create_context):
    """Enter an asynchronous context in a thread, for a fixture of a module."""
    with (
        start_blocking_portal() as portal,
        portal.wrap_async_context_manager(portal.call(create_context)) as value,
    ):
        yield value


def check_bounds(child, monitor, memory_mib, max_descriptors):
    """Check that a process lives and has stayed within its bounds."""
    child.require_running()
    memory = monitor.peak_memory_mib()
    measured = f"{memory:.0f} MiB and {monitor.descriptors} descriptors"
    print(f"at most {measured}")
    assert memory <= memory_mib, measured
    assert monitor.descriptors <= max_descriptors, measured


def kill(child):
    """End a process at once, since these tests do not check its drain."""
    child.process.kill()
    child.process.wait()
