from pathlib import Path

import pytest

from rosemaryward.bench.soak.run import FaultSelection, soak

ROOT = Path(__file__).parents[7]
DURATION_S = 6.0
PROXIES = 4

SEEDS = [
    pytest.param(3, id="short-seeded-run"),
    # Relays that were draining were used again as soon as they could be reached.
    pytest.param(926002, id="leaving-relays"),
]
"""A seed that has failed stays in the list, with a line on the cause."""

PLANNED_SEEDS = [
    # A SIGHUP or a second SIGTERM during a drain ended the process at once.
    pytest.param(5, id="signals-during-drains"),
    # A SIGHUP before the handlers were installed ended the process.
    pytest.param(18, id="signals-during-start"),
    # Sessions that began after the drain had closed the others were cut at its end.
    pytest.param(280, id="late-sessions"),
    # Probes of the whole fleet kept slow instances from answering.
    pytest.param(926001, id="slow-instances"),
]
"""Seeds with planned work only."""


async def run_planned(seed, folder):
    return await soak(
        seed, DURATION_S, PROXIES, 4 * PROXIES, folder, ROOT, FaultSelection.PLANNED
    )


@pytest.mark.timeout(120)
@pytest.mark.parametrize("seed", SEEDS)
async def test_promises_hold_under_faults(seed, tmp_path):
    """Guards against guarantees that do not hold when faults overlap."""
    result = await soak(seed, DURATION_S, PROXIES, 3 * PROXIES, tmp_path, ROOT)
    assert result.violations == []
    assert result.succeeded > 0


@pytest.mark.timeout(120)
async def test_commits_survive_crashes_that_overlap(tmp_path):
    """Guards against promotions without a commit that only crashed instances have."""
    result = await soak(
        7000,
        2 * DURATION_S,
        PROXIES,
        3 * PROXIES,
        tmp_path,
        ROOT,
        FaultSelection.CRASHES,
    )
    assert result.violations == []
    assert result.succeeded > 0


@pytest.mark.timeout(120)
async def test_promises_hold_when_the_store_is_restored(tmp_path):
    """Guards against state that was only valid before the store came from a copy."""
    result = await soak(
        2, DURATION_S, PROXIES, 3 * PROXIES, tmp_path, ROOT, FaultSelection.RESTORED
    )
    assert result.violations == []
    assert result.succeeded > 0


@pytest.mark.timeout(120)
@pytest.mark.parametrize("seed", PLANNED_SEEDS)
async def test_planned_work_cuts_no_statement(seed, tmp_path):
    """Guards against overlapping planned work that ends processes or statements."""
    result = await run_planned(seed, tmp_path)
    assert result.violations == []
    assert result.succeeded > 0


@pytest.mark.timeout(120)
async def test_drain_drops_no_statement(tmp_path):
    """Guards against drains that neither run nor answer a statement."""
    result = await run_planned(18, tmp_path)
    assert result.dropped == []
    assert result.succeeded > 0
