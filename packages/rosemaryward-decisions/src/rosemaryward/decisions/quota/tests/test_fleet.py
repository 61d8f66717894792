"""Tests of the bound and of the utilisation, on simulated fleets."""

import anyio
import pytest
from hypothesis import HealthCheck, given, settings
from hypothesis import strategies as st

from rosemaryward.decisions.errors import OverloadError
from rosemaryward.decisions.quota import (
    Allocator,
    ShareDonor,
    TenantQuota,
    TenantRate,
)
from rosemaryward.decisions.quota.tests.simulation import (
    HOT,
    LIMITS,
    SMALL,
    Fleet,
    run_fleet,
)

HOSTS = 12
SETTLED_S = 4.0
LOWERED = {"hot": TenantRate(50.0, 10.0), "small": SMALL}

INDEX = st.integers(0, HOSTS - 1)
EVENT = st.one_of(
    st.tuples(st.sampled_from(["kill", "restart", "freeze", "cut", "drain"]), INDEX),
    st.tuples(st.sampled_from(["partition", "store", "lower", "restart all"])),
)
SCHEDULE = st.lists(
    st.tuples(st.floats(0.05, 2.5), EVENT, st.floats(0.2, 4.0)), max_size=6
)


class EqualShareQuota(TenantQuota):
    """Limit with a fixed part of the rate at each host."""

    async def admit(self, tenant):
        rate = self.limits()[tenant]
        bounds = self.local.bounds
        share = 1 / max(len(self.donor.share.members.members), 1)
        now = self.clock()
        level, at = self.accounts.get(tenant, (0.0, now))
        level += rate.rate_per_s * share * (now - at)
        level = min(level, bounds.depth(rate, share))
        self.accounts[tenant] = (level - (level >= 1), now)
        if level < 1:
            raise OverloadError("rate limit of the tenant exceeded")


class AddingAllocator(Allocator):
    """Allocator that adds a renewal to the donation instead of replacing it."""

    def donate(self, message):
        domain = f"{message.domain}/{message.sequence}"
        message = type(message)(
            message.donor,
            message.incarnation,
            message.allocator,
            domain,
            message.sequence,
            message.fraction,
            message.until,
            message.initial,
        )
        return super().donate(message)


class ForgetfulDonor(ShareDonor):
    """Donor that gives a slice to the next allocator before a donation has ended."""

    def _drop_ended(self, part, now):
        part.commitments = []


def at_places(fleet, place):
    names = list(fleet.places)
    if place == "one host":
        return names[:1]
    if place == "one domain":
        return [n for n in names if fleet.places[n].failure_domain == "e"]
    return names


async def apply_event(fleet, event, duration_s):
    """Apply one event and undo it after a while, if it can be undone."""
    kind, name = event[0], f"h{event[1]:04d}" if len(event) > 1 else ""
    process = fleet.processes.get(name)
    if kind == "kill":
        fleet.kill(name)
        await anyio.sleep(duration_s)
        fleet.start(name)
    elif kind == "restart":
        fleet.kill(name)
        await anyio.sleep(0.8)
        fleet.start(name)
    elif kind == "restart all":
        for other in fleet.places:
            fleet.kill(other)
        await anyio.sleep(1.0)
        fleet.start_all()
    elif kind == "drain":
        await fleet.drain(name)
    elif kind == "freeze":
        process.freeze()
        await anyio.sleep(duration_s)
        process.thaw()
    elif kind == "cut":
        process.cut = True
        await anyio.sleep(duration_s)
        process.cut = False
    elif kind == "partition":
        fleet.partition = "r1"
        await anyio.sleep(duration_s)
        fleet.partition = None
    elif kind == "store":
        fleet.store_down = True
        await anyio.sleep(duration_s)
        fleet.store_down = False
    else:
        fleet.set_limits(LOWERED)


def run_schedule(seed, place, schedule, **types):
    async def scenario(fleet):
        fleet.preregister()
        fleet.start_all()
        names = at_places(fleet, place)
        end = SETTLED_S + sum(pause for pause, _, _ in schedule) + 4.0
        fleet.tasks.start_soon(fleet.call, "hot", names, 300.0, end)
        fleet.tasks.start_soon(fleet.call, "small", names, 5.0, end)
        await anyio.sleep(SETTLED_S)
        for pause_s, event, duration_s in schedule:
            fleet.tasks.start_soon(apply_event, fleet, event, duration_s)
            await anyio.sleep(pause_s)
        await anyio.sleep(end - fleet.now())

    return run_fleet(Fleet(seed, LIMITS, HOSTS, **types), scenario)


@settings(
    max_examples=6,
    deadline=None,
    derandomize=True,
    suppress_health_check=[HealthCheck.too_slow],
)
@given(
    seed=st.integers(0, 1000),
    place=st.sampled_from(["one host", "one domain", "everywhere"]),
    schedule=SCHEDULE,
)
@pytest.mark.timeout(400)
def test_operations_stay_within_the_bound(seed, place, schedule):
    """Guards against parts of a rate that are in two places, whatever fails."""
    run_schedule(seed, place, schedule).check_bound()


def test_renewals_that_add_up_exceed_the_bound():
    """Guards against a check of the bound that accepts donations given twice."""
    fleet = run_schedule(1, "everywhere", [], allocator=AddingAllocator)
    with pytest.raises(AssertionError):
        fleet.check_bound()
    with pytest.raises(AssertionError):
        fleet.check_donations()


def test_slices_given_before_a_donation_has_ended_are_detected():
    """Guards against a check of the handover that accepts a slice in two places."""
    schedule = [(1.0, ("freeze", index), 3.0) for index in range(6)]
    fleet = run_schedule(2, "everywhere", schedule, donor=ForgetfulDonor)
    with pytest.raises(AssertionError):
        fleet.check_donations()


@pytest.mark.parametrize("kind", ["kill", "freeze", "cut", "drain"])
def test_slices_are_in_one_place_while_allocators_change(kind):
    """Guards against a slice that two allocators lend from during a handover."""
    schedule = [(1.0, (kind, index), 3.0) for index in range(6)]
    fleet = run_schedule(2, "everywhere", schedule)
    fleet.check_donations()
    fleet.check_bound()


def run_moving_demand(**types):
    """Return how much of the rate was served from 1 s after each move on."""
    served = {}

    async def scenario(fleet):
        fleet.preregister()
        fleet.start_all()
        await anyio.sleep(SETTLED_S)
        for place in ("everywhere", "one host", "one domain"):
            start = fleet.now()
            names = at_places(fleet, place)
            fleet.tasks.start_soon(fleet.call, "hot", names, 300.0, start + 4)
            await anyio.sleep(4)
            served[place] = fleet.served("hot", start + 1, start + 4)

    run_fleet(Fleet(3, LIMITS, HOSTS, **types), scenario)
    return served


def check_utilisation(served):
    for place, rate_per_s in served.items():
        assert rate_per_s >= 0.95 * HOT.rate_per_s, f"{rate_per_s} at {place}"


def test_whole_rate_is_served_wherever_the_demand_is():
    """Guards against parts of a rate that no host can use after demand has moved."""
    check_utilisation(run_moving_demand())


def test_equal_shares_do_not_serve_the_whole_rate():
    """Guards against a check of the utilisation that accepts equal shares."""
    served = run_moving_demand(quota=EqualShareQuota)
    with pytest.raises(AssertionError):
        check_utilisation(served)


@pytest.mark.parametrize("place", ["one host", "one domain", "everywhere"])
def test_small_tenant_can_use_its_rate(place):
    """Guards against tokens that are spread in parts smaller than one operation."""

    async def scenario(fleet):
        fleet.preregister()
        fleet.start_all()
        await anyio.sleep(SETTLED_S)
        names = at_places(fleet, place)
        fleet.tasks.start_soon(fleet.call, "small", names, 3.0, 124.0)
        await anyio.sleep(120)

    fleet = run_fleet(Fleet(4, LIMITS, HOSTS), scenario)
    # Long enough that less than one token in each of six buckets is below 0.05.
    assert fleet.served("small", 4.0, 124.0) >= 0.95 * SMALL.rate_per_s
    assert fleet.served("small", 24.0, 124.0) >= 0.95 * SMALL.rate_per_s
    fleet.check_bound()


def test_restart_of_the_fleet_refuses_little():
    """Guards against buckets that stay empty after all hosts have restarted."""

    async def scenario(fleet):
        fleet.preregister()
        fleet.start_all()
        await anyio.sleep(0.5)
        names = list(fleet.places)
        fleet.tasks.start_soon(fleet.call, "hot", names, 90.0, 4.5)
        fleet.tasks.start_soon(fleet.call, "small", names, 0.6, 4.5)
        await anyio.sleep(4)

    fleet = run_fleet(Fleet(5, LIMITS, HOSTS), scenario)
    asked = fleet.asked_for("hot", 0.5, 4.5)
    assert fleet.served("hot", 0.5, 4.5) >= 0.95 * asked


def test_lowered_limit_binds_all_hosts():
    """Guards against buckets that keep tokens of an earlier, higher limit."""
    fleet = run_schedule(6, "everywhere", [(6.0, ("lower",), 1.0)])
    ratio = fleet.worst_window("hot", since=SETTLED_S + 5.5, limits=LOWERED)
    assert 0 < ratio <= 1


@pytest.mark.parametrize("first_start", [True, False])
def test_new_fleet_keeps_the_bound(first_start):
    """Guards against hosts that donate before the others count them."""

    async def scenario(fleet):
        names = list(fleet.places)
        fleet.tasks.start_soon(fleet.call, "hot", names, 450.0, 14.0)
        for name in names:
            fleet.start(name)
            await anyio.sleep(0.1)
        await anyio.sleep(13 - 1.2)

    fleet = run_fleet(Fleet(7, LIMITS, HOSTS, first_start=first_start), scenario)
    fleet.check_donations()
    fleet.check_bound()
    assert fleet.served("hot", 9.0, 13.0) >= 0.9 * HOT.rate_per_s


def test_hot_tenant_causes_few_messages():
    """Guards against a number of messages that grows with a tenant's demand."""

    async def scenario(fleet):
        fleet.preregister()
        fleet.start_all()
        await anyio.sleep(SETTLED_S)
        names = list(fleet.places)
        fleet.messages.clear()
        fleet.tasks.start_soon(fleet.call, "hot", names, 7 * 150.0, SETTLED_S + 3)
        await anyio.sleep(3)

    fleet = run_fleet(Fleet(8, LIMITS, 36), scenario)
    per_host = sum(fleet.messages.values()) / len(fleet.places) / 3
    assert per_host <= 80, "messages per host and second, both directions"
