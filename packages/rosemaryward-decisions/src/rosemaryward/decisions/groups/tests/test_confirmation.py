from types import SimpleNamespace

import anyio
import pytest

from rosemaryward.decisions.errors import OutcomeUnknownError
from rosemaryward.decisions.groups.confirmation import WriteConfirmations

pytestmark = pytest.mark.looptime


class FailedMonitor:
    """Monitor of an instance that does not answer."""

    status = None
    requests = 0

    async def fresh_status(self, after=None):
        await anyio.sleep_forever()


async def test_replaced_primary_ends_the_wait():
    """Guards against callers that wait until their deadline for a failed primary."""
    term = 1
    view = SimpleNamespace(monitors={"a": FailedMonitor()}, highest_term=lambda: term)
    started = anyio.current_time()
    async with anyio.create_task_group() as group:

        async def confirm():
            with pytest.raises(OutcomeUnknownError, match="replaced"):
                await WriteConfirmations(view).confirm("a", 1)

        group.start_soon(confirm)
        await anyio.sleep(1.0)
        term = 2
    assert anyio.current_time() - started < 1.5
