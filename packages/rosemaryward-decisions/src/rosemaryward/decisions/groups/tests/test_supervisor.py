"""Read leases, confirmations, read indexes, staleness and planned replacement."""

import anyio
import pytest

from rosemaryward.decisions.errors import (
    NotRunError,
    OutcomeUnknownError,
    ReplicaBehindError,
)
from rosemaryward.decisions.groups.agreement import FailureAgreement
from rosemaryward.decisions.groups.tests.simulation import PLACES, GroupSimulation, run
from rosemaryward.decisions.groups.tests.test_failures import cut_off_with_owner
from rosemaryward.decisions.messages import ReachabilityReply
from rosemaryward.decisions.types import LogPosition


def with_simulation(check):
    """Run `check(simulation, supervisor, primary)` with the primary's owner."""

    async def scenario():
        async with GroupSimulation(1) as simulation:
            primary = simulation.primary()
            supervisor = simulation.supervisors[f"p{primary.name[-1]}"]
            assert await simulation.write()
            await anyio.sleep(0.5)
            await check(simulation, supervisor, primary)

    run(scenario)


def test_minority_serves_nothing():
    """Guards against answers from a primary that may have been replaced."""

    async def check(simulation, supervisor, primary):
        name, term = primary.name, primary.term
        assert supervisor.holds_read_lease(name)
        await cut_off_with_owner(simulation)
        await anyio.sleep(0.26)
        assert not supervisor.holds_read_lease(name)
        primary.write(term, 100)
        with pytest.raises(OutcomeUnknownError):
            await supervisor.confirm_write(name, term, 0.5)
        with pytest.raises(NotRunError):
            await supervisor.read_index(name, 0.5)
        await anyio.sleep(2.0)
        assert supervisor.staleness_s(name) > 2.0

    with_simulation(check)


def test_view_that_has_expired_confirms_no_write():
    """Guards against acknowledging a write after a newer primary may be open."""

    async def check(simulation, supervisor, primary):
        name, term = primary.name, primary.term
        primary.write(term, 100)
        bound = primary.status().received
        await simulation.wait_until(
            lambda: supervisor.view.is_confirmed(name, bound, term)
        )
        simulation.network.cut([supervisor.host_id], simulation.instances)
        await anyio.sleep(0.26)
        assert not supervisor.view.is_confirmed(name, bound, term)
        with pytest.raises(OutcomeUnknownError):
            await supervisor.confirm_write(name, term, 0.5)

    with_simulation(check)


def test_new_primary_opens_only_after_older_read_leases_have_expired():
    """Guards against acknowledgements and reads of two primaries at a time."""

    async def check(simulation, supervisor, primary):
        instances = simulation.instances.values()
        primary.alive = False
        await simulation.wait_until(lambda: sum(i.term > 1 for i in instances) == 2)
        raised_at = anyio.current_time()
        await simulation.wait_until(lambda: len(simulation.opened) > 1)
        poll_interval_s = 0.01  # of `wait_until`
        opened_at = max(simulation.opened_at.values())
        assert opened_at - raised_at >= supervisor.settings.lease_s - poll_interval_s

    with_simulation(check)


def test_concurrent_calls_share_requests():
    """Guards against one status request per statement, which overloads instances."""

    async def check(simulation, supervisor, primary):
        monitors = supervisor.monitors.values()
        before = sum(monitor.answers for monitor in monitors)
        async with anyio.create_task_group() as tasks:
            for payload in range(100, 200):
                primary.write(primary.term, payload)
                tasks.start_soon(supervisor.confirm_write, primary.name, 1, 1.0)
                tasks.start_soon(supervisor.read_index, primary.name, 1.0)
        assert sum(monitor.answers for monitor in monitors) - before <= 12

    with_simulation(check)


def test_confirmation_needs_the_other_instances():
    """Guards against acknowledging a write that only the primary has received."""

    async def check(simulation, supervisor, primary):
        others = [i for i in simulation.instances.values() if i is not primary]
        for other in others:
            other.lag_s = 3.0
        await anyio.sleep(0.1)
        primary.write(primary.term, 100)
        with pytest.raises(OutcomeUnknownError):
            await supervisor.confirm_write(primary.name, primary.term, 0.5)
        others[0].lag_s = 0.0
        bound = await supervisor.confirm_write(primary.name, primary.term, 5.0)
        assert others[0].status().received >= bound == primary.status().received

    with_simulation(check)


def test_confirmation_over_a_slow_link():
    """Guards against a timeout shorter than the round trip of a slow link."""

    async def check(simulation, supervisor, primary):
        simulation.network.extra_s[primary.name] = 0.08
        await anyio.sleep(2.0)
        assert await simulation.write()

    with_simulation(check)


def test_wait_applied_and_staleness_of_a_slow_replica():
    """Guards against reads at a replica that has received but not applied a write."""

    async def check(simulation, supervisor, primary):
        replica = next(i for i in simulation.instances.values() if i is not primary)
        assert supervisor.staleness_s(replica.name) < 0.3
        replica.apply_per_s = 1.0
        replica.notify()
        for _ in range(20):
            assert await simulation.write()
            await anyio.sleep(0.1)
        index = await supervisor.read_index(primary.name, 1.0)
        assert index.index >= len(primary.log)
        with pytest.raises(ReplicaBehindError) as raised:
            await supervisor.wait_applied(replica.name, index, 0.2)
        assert raised.value.applied < index
        assert 0.5 < supervisor.staleness_s(replica.name) < 2.5
        replica.apply_per_s = 1000.0
        status = await supervisor.wait_applied(replica.name, index, 1.0)
        assert status.applied >= index

    with_simulation(check)


@pytest.mark.parametrize("source", ["status", "document"])
def test_leaving_primary_is_replaced(source):
    """Guards against a leaving primary that is not replaced and against lost writes."""

    async def check(simulation, supervisor, primary):
        simulation.tasks.start_soon(simulation.write_continuously)
        await anyio.sleep(0.5)
        if source == "status":
            primary.leaving = True
        else:
            simulation.sections[primary.name] = leaving(
                simulation.sections[primary.name]
            )
        assert await simulation.failover_gap_s() < 2.0
        assert simulation.primary() is not primary
        await simulation.heal_and_check()

    with_simulation(check)


def leaving(section):
    return type(section)(
        host=section.host,
        port=section.port,
        region=section.region,
        failure_domain=section.failure_domain,
        leaving=True,
    )


def test_term_without_primary_is_superseded():
    """Guards against a replica left at a higher term by a proposer that died."""

    async def check(simulation, supervisor, primary):
        simulation.tasks.start_soon(simulation.write_continuously)
        replica = next(i for i in simulation.instances.values() if i is not primary)
        assert replica.raise_term(primary.term, primary.term + 1, "gone")
        await simulation.wait_until(
            lambda: simulation.primary().term > replica.term - 1, 3.0
        )
        assert simulation.primary() is primary
        await simulation.heal_and_check()

    with_simulation(check)


def test_stalled_replica_follows_again():
    """Guards against a replica that keeps polling an outdated primary address."""

    async def check(simulation, supervisor, primary):
        replica = next(i for i in simulation.instances.values() if i is not primary)
        replica.source = "nobody"
        assert await simulation.write()
        await simulation.wait_until(lambda: replica.log == primary.log, 5.0)

    with_simulation(check)


def test_unapplied_log_delays_opening():
    """Guards against a new primary whose reads miss acknowledged writes."""

    async def check(simulation, supervisor, primary):
        for instance in simulation.instances.values():
            instance.apply_per_s = 20.0
        for _ in range(60):
            assert await simulation.write()
        await anyio.sleep(0.1)
        primary.alive = False
        await simulation.wait_until(lambda: max(simulation.opened) > 1)
        opened = simulation.primary()
        assert opened.applied == len(opened.log)
        await simulation.heal_and_check()

    with_simulation(check)


def test_gossip_record_of_lower_term_is_ignored():
    """Guards against delayed gossip that names a replaced primary."""

    async def check(simulation, supervisor, primary):
        known = supervisor.primary
        supervisor.observe_primary(type(known)("orders", known.term - 1, "i3"))
        assert supervisor.primary == known

    with_simulation(check)


def test_new_owner_is_no_witness_at_first():
    """Guards against counting an owner that has just started as a witness."""

    async def check(simulation, supervisor, primary):
        endpoint = supervisor.monitors[primary.name].endpoint
        simulation.kill_host("p3")
        simulation.network.cut(["p3"], [primary.name])
        simulation.start_host("p3")
        await anyio.sleep(0.3)
        reply = simulation.supervisors["p3"].reachability(endpoint)
        assert not reply.monitored
        await anyio.sleep(1.2)
        reply = simulation.supervisors["p3"].reachability(endpoint)
        assert reply.monitored
        assert not reply.reached

    with_simulation(check)


A, B = PLACES["1"], PLACES["2"]


@pytest.mark.parametrize(
    ("replies", "owners", "agreed"),
    [
        pytest.param([], [A, B], False, id="alone"),
        pytest.param([(False, B)], [A, B], True, id="two-domains"),
        pytest.param([(False, B), (True, A)], [A, B], False, id="one-reaches-it"),
        pytest.param([(False, A)], [A, B], False, id="same-domain-of-two"),
        pytest.param([(False, A)], [A, A], True, id="only-one-domain"),
    ],
)
def test_agreement(replies, owners, agreed):
    """Guards against a promotion after a network fault near the proposer only."""
    agreement = FailureAgreement(reachability_client=None, place=A)
    agreement.owners = owners
    answers = [ReachabilityReply(True, reached, place) for reached, place in replies]
    assert agreement.is_agreement(answers) is agreed


def test_entries_of_older_terms_do_not_confirm():
    """Guards against confirming an older entry that a newer log may still replace."""

    async def check(simulation, supervisor, primary):
        bound = LogPosition(1, len(primary.log))
        simulation.opened[2] = primary.name
        for instance in simulation.instances.values():
            instance.term = 2
        await anyio.sleep(0.5)
        assert not supervisor.view.is_confirmed(primary.name, bound, 2)
        primary.write(2, 100)
        assert await supervisor.confirm_write(primary.name, 2, 1.0) > bound

    with_simulation(check)


@pytest.mark.parametrize(
    ("owners", "waits_longer"),
    [
        pytest.param((A, B), False, id="two-domains"),
        pytest.param((A, A), True, id="one-domain"),
        pytest.param((), False, id="owners-not-known-yet"),
    ],
)
def test_owners_of_one_domain_wait_longer(owners, waits_longer):
    """Guards against a false promotion by owners whose partition has just healed."""
    agreement = FailureAgreement(reachability_client=None, place=A)
    agreement.owners = owners
    assert (agreement.required_duration_s() > 0) is waits_longer
