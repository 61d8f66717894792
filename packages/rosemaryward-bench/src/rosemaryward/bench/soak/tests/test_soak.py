from pathlib import Path

import pytest

from rosemaryward.bench.soak.run import soak

ROOT = Path(__file__).parents[7]
DURATION_S = 6.0
PROXIES = 4

SEEDS = [
    pytest.param(3, id="short-seeded-run"),
]
"""A seed that has failed stays in the list, with a line on the cause."""


@pytest.mark.timeout(120)
@pytest.mark.parametrize("seed", SEEDS)
async def test_promises_hold_under_faults(seed, tmp_path):
    """Guards against guarantees that do not hold when faults overlap."""
    result = await soak(seed, DURATION_S, PROXIES, 3 * PROXIES, tmp_path, ROOT)
    assert result.violations == []
    assert result.succeeded > 0
