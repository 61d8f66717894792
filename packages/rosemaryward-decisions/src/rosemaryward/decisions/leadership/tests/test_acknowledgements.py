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


@pytest.mark.parametrize(
    ("before", "committed"),
    [
        pytest.param(LogPosition(2, 5), LogPosition(2, 6), id="same-term"),
        pytest.param(LogPosition(1, 8), LogPosition(2, 0), id="earlier-term"),
        pytest.param(None, LogPosition(), id="unknown"),
    ],
)
async def test_acknowledged_write_comes_after_the_position_before_it(before, committed):
    """Guards against a position that the acknowledged write may not have."""
    leadership = Leadership(anyio.current_time)
    leadership.observe(GROUP, make_record(), 1)
    leadership.confirm(anyio.current_time())
    assert leadership.acknowledge(GROUP, 1, LogPosition(2, 9), before)
    assert leadership.committed_position(GROUP) == committed
