"""Which writes a proxy acknowledges, and what it reports of them to a change."""

import anyio
import pytest

from rosemaryward.decisions.gateway.tests.fakes import GROUP, make_record
from rosemaryward.decisions.leadership.records import (
    CONFIRMATION_VALIDITY_S,
    Leadership,
)
from rosemaryward.decisions.types import LogPosition

pytestmark = pytest.mark.looptime(noop_cycles=0)


async def test_write_answered_after_the_confirmation_ended_is_not_acknowledged():
    """Guards against telling a caller of a commit that a change may not have seen."""
    leadership = Leadership(anyio.current_time)
    leadership.observe(GROUP, make_record(), 1)
    leadership.confirm(anyio.current_time())
    with leadership.track_write(GROUP):
        await anyio.sleep(CONFIRMATION_VALIDITY_S + 0.1)
        acknowledged = leadership.acknowledge(GROUP, 1, LogPosition(1, 9))
    assert not acknowledged
