"""Instances that come back without their log, and instances that are replaced."""

import anyio
import pytest

from rosemaryward.decisions.groups.tests.simulation import (
    SECTIONS,
    GroupSimulation,
    Instance,
    run,
)
from rosemaryward.decisions.interfaces import InstanceRole

WRITES = 10
FAILOVER_S = 5.0  # longer than any promotion takes


def restart(instance, kept_entries=None, term=0):
    """Restart an instance that has kept a part of its log, by default all of it."""
    instance.term, instance.role, instance.proposer = term, InstanceRole.FENCED, ""
    instance.source = ""
    instance.log = instance.log[:kept_entries]
    instance.applied = len(instance.log)


def replace_instance(simulation, old, hosts):
    """Let the document name an empty instance for `old`, as `hosts` read it."""
    new = Instance(f"j{old.name[-1]}", simulation)
    simulation.instances[new.name] = new
    simulation.tasks.start_soon(new.replicate)
    section = SECTIONS[old.name]
    simulation.sections = {
        name: other for name, other in simulation.sections.items() if name != old.name
    } | {new.name: section}
    for host in hosts:
        simulation.kill_host(host)
        simulation.start_host(host)


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


@pytest.mark.parametrize(
    "keeps_term",
    [pytest.param(False, id="forgets-it"), pytest.param(True, id="keeps-it")],
)
def test_restarted_instance_confirms_no_writes_of_an_older_term(keeps_term):
    """Guards against writes that are acknowledged after a newer primary is open."""

    async def scenario():
        async with GroupSimulation(1) as simulation:
            primary, restarted, other = members(simulation)
            owner = f"p{primary.name[-1]}"
            others = {"p1", "p2", "p3"} - {owner}
            old_side = [primary.name, owner]
            simulation.network.cut(old_side, [restarted.name, other.name, *others])
            await simulation.wait_until(lambda: max(simulation.opened) > 1)
            simulation.network.cuts -= {
                frozenset((party, restarted.name)) for party in old_side
            }
            simulation.network.cut([restarted.name], others)
            simulation.tasks.start_soon(simulation.write_through_each_host, 0.1)
            restart(restarted, term=restarted.term if keeps_term else 0)
            await anyio.sleep(FAILOVER_S)
            return simulation.violations

    violations = run(scenario)
    assert not violations, "writes acknowledged by a replaced primary"


@pytest.mark.parametrize(
    "replaced", [pytest.param(True, id="replaced"), pytest.param(False, id="kept")]
)
def test_instance_that_the_document_adds_does_not_count_as_the_one_it_replaces(
    replaced,
):
    """Guards against electing a replica that lacks writes, by a new instance's vote."""

    async def scenario():
        async with GroupSimulation(1) as simulation:
            primary, confirming, behind = members(simulation)
            await write_without_one_replica(simulation, primary, behind)
            primary.alive = False
            if replaced:
                del simulation.instances[confirming.name]
                replace_instance(simulation, confirming, ("p1", "p2", "p3"))
            await anyio.sleep(FAILOVER_S)
            primary.alive = True
            await anyio.sleep(FAILOVER_S)
            return count_lost_writes(simulation)

    assert run(scenario) == 0, "acknowledged writes lost"


@pytest.mark.parametrize(
    "replaced", [pytest.param(True, id="replaced"), pytest.param(False, id="kept")]
)
def test_versions_of_the_document_have_no_separate_majorities(replaced):
    """Guards against two primaries while some owners lack the newest document."""

    async def scenario():
        async with GroupSimulation(1) as simulation:
            primary, confirming, other = members(simulation)
            owner = f"p{primary.name[-1]}"
            others = {"p1", "p2", "p3"} - {owner}
            old_side = [primary.name, owner, confirming.name]
            new_side = [other.name, *others, f"j{confirming.name[-1]}"]
            simulation.network.cut(old_side, new_side)
            if replaced:
                replace_instance(simulation, confirming, sorted(others))
            simulation.tasks.start_soon(simulation.write_through_each_host, 0.1)
            await anyio.sleep(FAILOVER_S)
            return simulation.violations

    violations = run(scenario)
    assert not violations, "writes acknowledged by a replaced primary"
