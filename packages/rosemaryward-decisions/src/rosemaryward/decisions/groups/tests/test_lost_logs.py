"""Instances that come back without their log."""

import anyio
import pytest

from rosemaryward.decisions.groups.tests.simulation import GroupSimulation, run
from rosemaryward.decisions.interfaces import InstanceRole

WRITES = 10
FAILOVER_S = 5.0  # longer than any promotion takes


def restart(instance, kept_entries=None):
    """Restart an instance that has kept a part of its log, by default all of it."""
    instance.term, instance.role, instance.proposer = 0, InstanceRole.FENCED, ""
    instance.source = ""
    instance.log = instance.log[:kept_entries]
    instance.applied = len(instance.log)


def members(simulation):
    """Return the primary, the replica that confirms the writes and the other one."""
    primary = simulation.primary()
    confirming, behind = (i for i in simulation.instances.values() if i is not primary)
    return primary, confirming, behind


async def write_without_one_replica(simulation, primary, behind):
    """Write while one replica receives nothing, so that the other one confirms."""
    simulation.network.cut([primary.name], [behind.name])
    for _ in range(WRITES):
        assert await simulation.write()


def count_lost_writes(simulation):
    kept = {payload for _, payload in simulation.primary().log}
    return sum(payload not in kept for _, _, payload in simulation.acknowledged)


@pytest.mark.parametrize(
    "kept_entries",
    [
        pytest.param(0, id="empty"),
        pytest.param(3, id="shorter"),
        pytest.param(None, id="complete"),
    ],
)
def test_instance_without_its_log_does_not_count_as_the_log_that_it_had(kept_entries):
    """Guards against electing a replica that lacks writes, by an empty log's vote."""

    async def scenario():
        async with GroupSimulation(1) as simulation:
            primary, confirming, behind = members(simulation)
            await write_without_one_replica(simulation, primary, behind)
            primary.alive = False
            restart(confirming, kept_entries)
            await anyio.sleep(FAILOVER_S)
            primary.alive = True
            await anyio.sleep(FAILOVER_S)
            return count_lost_writes(simulation)

    assert run(scenario) == 0, "acknowledged writes lost"
