import contextlib

import pytest

from rosemaryward.decisions.gateway.tests.fakes import (
    FAR,
    GROUP,
    FakeClock,
    make_endpoint,
)
from rosemaryward.decisions.leadership import change as change_module
from rosemaryward.decisions.leadership.change import ChangeAbandonedError
from rosemaryward.decisions.leadership.replica_set_upkeep import REMOVAL_DELAY_S
from rosemaryward.decisions.leadership.replica_sets import (
    count_uncertain,
    merge_endpoints,
)
from rosemaryward.decisions.leadership.tests.fakes import ChangeScenario, status
from rosemaryward.decisions.types import LogPosition

ADDRESSES = {"i-1": "a", "i-2": "b", "i-3": "c"}


@pytest.mark.parametrize(
    ("candidate", "answered", "expected"),
    [
        pytest.param(5, {"i-1": 5, "i-2": 4, "i-3": 5}, 0, id="all-answered"),
        pytest.param(4, {"i-1": 5, "i-2": 4, "i-3": 4}, 1, id="one-ahead"),
        pytest.param(4, {"i-2": 4, "i-3": 4}, 1, id="one-silent"),
        pytest.param(4, {"i-2": 4, "i-3": 5}, 2, id="silent-and-ahead"),
        pytest.param(4, {"i-2": 4}, 2, id="two-silent"),
    ],
)
def test_logs_that_are_ahead_or_silent_are_uncertain(candidate, answered, expected):
    """Guards against counting a log that may have more commits as known."""
    positions = {e: LogPosition(1, index) for e, index in answered.items()}
    position = LogPosition(1, candidate)
    assert count_uncertain(position, ADDRESSES, positions) == expected


@pytest.mark.parametrize(
    ("address", "expected"),
    [
        pytest.param("10.0.0.3:1", {"i-1", "i-2", "i-9"}, id="same-address"),
        pytest.param("10.0.0.9:1", {"i-1", "i-2", "i-3", "i-9"}, id="other-address"),
    ],
)
def test_endpoint_replaces_the_one_at_its_address(address, expected):
    """Guards against waiting for the old id of an endpoint that started again."""
    recorded = {f"i-{n}": f"10.0.0.{n}:1" for n in (1, 2, 3)}
    registered = [make_endpoint("i-9", FAR, address=address)]
    assert merge_endpoints(recorded, registered).keys() == expected


@pytest.mark.parametrize(
    ("replica", "leaving", "missing_s", "removed"),
    [
        pytest.param(6, False, REMOVAL_DELAY_S, True, id="replicated-and-long-gone"),
        pytest.param(6, False, 1.0, False, id="just-gone"),
        pytest.param(6, True, 1.0, True, id="left-as-planned"),
        pytest.param(5, True, 1.0, False, id="left-with-the-only-copy"),
        pytest.param(5, False, REMOVAL_DELAY_S, False, id="gone-with-the-only-copy"),
    ],
)
async def test_endpoint_is_removed_once_its_log_is_elsewhere(
    replica, leaving, missing_s, removed
):
    """Guards against forgetting an endpoint that alone has a commit."""
    statuses = {"i-1": status(1, 6, is_primary=True), "i-2": status(1, replica)}
    run = ChangeScenario(statuses)
    clock = FakeClock()
    upkeep = run.upkeep(clock)
    await upkeep.update("i-1")
    run.directory.observe(make_endpoint("i-3", FAR, leaving=leaving))
    await upkeep.update("i-1")
    del run.directory.endpoints["i-3"]
    await upkeep.update("i-1")
    clock.now += missing_s
    await upkeep.update("i-1")
    assert ("i-3" not in run.replica_sets.endpoints(GROUP)) is removed


@pytest.mark.parametrize("leaving", [False, True])
async def test_commits_of_a_receiving_endpoint_without_registration_are_not_lost(
    leaving, monkeypatch
):
    """Guards against forgetting an endpoint that only the store cannot reach."""
    monkeypatch.setattr(change_module, "CONFIRMATION_VALIDITY_S", 0.3)
    monkeypatch.setattr(change_module, "CONFIRMATION_MARGIN_S", 0.0)
    statuses = {e: status(1, 4) for e in ("i-2", "i-3")}
    run = ChangeScenario(statuses | {"i-1": status(1, 4, is_primary=True)})
    clock = FakeClock()
    upkeep = run.upkeep(clock)
    run.directory.observe(make_endpoint("i-3", FAR, leaving=leaving))
    await upkeep.update("i-1")
    del run.directory.endpoints["i-3"]
    await upkeep.update("i-1")
    clock.now += REMOVAL_DELAY_S
    await upkeep.update("i-1")
    # Two proxies have commits 1.5 to 1.9, of which only the silent logs have the last.
    run.control.statuses = {"i-2": status(1, 6), "i-3": status(1, 9)}
    run.peers.fenced = dict.fromkeys(("proxy-1", "proxy-2"), LogPosition(1, 9))
    run.peers.committed = {"proxy-1": LogPosition(1, 6)}
    with contextlib.suppress(ChangeAbandonedError):
        await run.run(old_primary_silent=True)
    assert run.promoter.calls == []
