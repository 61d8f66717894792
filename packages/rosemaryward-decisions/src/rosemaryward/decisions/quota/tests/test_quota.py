"""Tests of single participants: ledger, allocator, donor, account and admission."""

import contextlib

import anyio
import pytest

from rosemaryward.decisions.errors import OverloadError, PeerError
from rosemaryward.decisions.gateway.tests.fakes import FakeClock
from rosemaryward.decisions.leadership.members import MemberDirectory, MemberRecord
from rosemaryward.decisions.quota import (
    Allocator,
    AllocatorPlacement,
    LendReply,
    LendRequest,
    OwnShare,
    QuotaBounds,
    ShareDonation,
    ShareDonor,
    TenantQuota,
    TenantRate,
)
from rosemaryward.decisions.quota.account import TenantAccount
from rosemaryward.decisions.quota.placement import CANDIDATES_PER_DOMAIN
from rosemaryward.decisions.types import Place

RATES = {
    "acme": TenantRate(10.0, 5.0),
    "none": TenantRate(0.0, 5.0),
}


def member(name, domain="a", incarnation="", capacity=100.0):
    return MemberRecord(
        name,
        "x:1",
        incarnation or f"{name}.1",
        "x:2",
        Place("r", domain),
        capacity,
    )


def directory_of(clock, *members):
    directory = MemberDirectory(clock)
    for revision, record in enumerate(members, 1):
        directory.observe(record, revision)
        directory.mark_alive(record.name)
    return directory


class RecordingChannel:
    """Channel to allocators that reply as given, or are unreachable."""

    def __init__(self):
        self.replies = {}
        self.requests = []

    async def donate(self, target, message):
        raise PeerError("unreachable")

    async def borrow(self, target, message):
        self.requests.append((target.name, message))
        reply = self.replies.get(target.name)
        if reply is None:
            raise PeerError("unreachable")
        return reply


class Participant:
    """One host with a fake clock and a fake channel."""

    def __init__(self, *others, own=None):
        self.clock = FakeClock()
        self.own = own or member("h1")
        self.members = directory_of(self.clock, self.own, *others)
        self.mirror_age_s = 0.0
        self.channel = RecordingChannel()
        self.allocator = Allocator(
            self.own.incarnation, lambda: RATES, QuotaBounds(), self.clock
        )
        self.share = OwnShare(
            self.own.name,
            self.own.incarnation,
            self.members,
            lambda: self.mirror_age_s,
            self.clock,
        )
        self.share.observe_start()
        self.donor = ShareDonor(
            self.own,
            self.share,
            AllocatorPlacement(self.members),
            self.channel,
            self.allocator,
            self.clock,
        )
        self.quota = TenantQuota(
            self.own,
            lambda: RATES,
            self.donor,
            self.channel,
            self.allocator,
            self.clock,
        )


def donation(sequence, fraction=1.0, until=1e9, **changes):
    fields = {
        "donor": "h2",
        "incarnation": "h2.1",
        "allocator": "h1.1",
        "domain": "a",
        "initial": False,
    } | changes
    return ShareDonation(sequence=sequence, fraction=fraction, until=until, **fields)


def test_overtaken_donation_is_ignored():
    """Guards against an old message that revives a donation that was ended."""
    allocator = Participant().allocator
    allocator.donate(donation(1))
    allocator.donate(donation(3, fraction=0.0))
    allocator.donate(donation(2))
    assert allocator.shares.total == 0


def test_donation_of_the_donors_earlier_process_is_ignored():
    """Guards against a late message of a process that was replaced."""
    allocator = Participant().allocator
    allocator.donate(donation(5))
    allocator.donate(donation(1, fraction=0.25, incarnation="h2.2"))
    allocator.donate(donation(6))
    assert allocator.shares.total == 0.25


def test_delayed_donation_lasts_no_longer():
    """Guards against a donation that starts anew when a frozen process reads it."""
    host = Participant()
    until = host.clock() + 2.0
    host.clock.now += 5.0
    host.allocator.donate(donation(1, until=until))
    assert host.allocator.shares.total == 0


def test_donation_for_another_process_is_refused():
    """Guards against a donation that a restarted allocator takes for its own."""
    reply = Participant().allocator.donate(donation(1, allocator="h1.0"))
    assert not reply.accepted


def test_fill_stops_at_the_end_of_a_donation():
    """Guards against tokens for a time in which the slice was elsewhere."""
    host = Participant()
    allocator = host.allocator
    start = host.clock()
    allocator.donate(donation(1, until=start + 1.0))
    host.clock.now += 10.0
    assert allocator.lend(LendRequest("acme", 100)).tokens == 0
    assert allocator.shares.integral == pytest.approx(1.0)


def test_level_is_limited_by_the_lowest_fraction():
    """Guards against tokens kept while most of the slices were elsewhere."""
    host = Participant()
    allocator = host.allocator
    allocator.donate(donation(1, fraction=0.5))
    host.clock.now += 1.9
    allocator.donate(donation(2, fraction=0.1))
    allocator.donate(donation(3, fraction=0.5))
    depth = QuotaBounds().depth(RATES["acme"], 0.1)
    assert allocator.buckets["acme"].level <= depth
    assert allocator.lend(LendRequest("acme", 100)).tokens == int(depth)


def test_leaving_allocator_returns_donations():
    """Guards against a share that stays unused while a process stops."""
    allocator = Participant().allocator
    allocator.donate(donation(1))
    allocator.leaving = True
    assert allocator.donate(donation(2)).released
    assert allocator.shares.total == 0
    assert allocator.lend(LendRequest("acme", 1)).tokens == 0


def test_refused_hosts_get_successive_turns():
    """Guards against requests that all come back at the same moment."""
    host = Participant()
    host.allocator.donate(donation(1, fraction=0.1))
    waits = [host.allocator.lend(LendRequest("acme", 9)) for _ in range(40)]
    waits = [reply.retry_after_s for reply in waits]
    assert all(0.1 <= wait <= 2.0 for wait in waits)


@pytest.mark.parametrize(
    "bounds",
    [QuotaBounds(), QuotaBounds(overage=0.0), QuotaBounds(1.0, 0.1, 5.0)],
)
@pytest.mark.parametrize("rate", [TenantRate(150, 0), TenantRate(1, 1)])
def test_full_buckets_and_their_fill_are_within_the_bound(bounds, rate):
    """Guards against constants that exceed a bound from the settings."""
    lent_s = bounds.window_s + 0.25
    most = bounds.depth(rate, 1.0) + bounds.initial_tokens(rate)
    most += rate.rate_per_s * bounds.fill_factor() * lent_s
    limit = rate.rate_per_s * bounds.window_s + rate.burst
    assert most <= limit * (1 + bounds.overage) + bounds.slack + 1e-9


def test_share_counts_hosts_that_were_removed_recently():
    """Guards against a share that grows while a removed host may still donate."""
    host = Participant(member("h2"))
    assert host.share.fraction(host.clock()) == 0.5
    host.members.remove("h2")
    assert host.share.fraction(host.clock()) == 0.5
    host.clock.now += 30.0
    assert host.share.fraction(host.clock()) == 1.0


def test_share_depends_on_the_age_of_the_mirror():
    """Guards against a host that is cut off and does not see others join."""
    host = Participant(member("h2"))
    host.mirror_age_s = 10.0
    assert host.share.fraction(host.clock()) == pytest.approx(0.4)
    host.mirror_age_s = 21.0
    assert host.share.fraction(host.clock()) == 0.0


def test_new_host_waits_until_all_others_count_it():
    """Guards against a new host that donates while others do not count it."""
    host = Participant(member("h2"))
    host.share.was_registered = False
    assert host.share.fraction(host.clock()) == 0.0
    host.clock.now += 7.0
    assert host.share.fraction(host.clock()) == 0.5


def test_replaced_process_donates_nothing():
    """Guards against two processes of one name that donate the same share."""
    host = Participant()
    host.members.observe(member("h1", incarnation="h1.2"), 9)
    assert host.share.fraction(host.clock()) == 0.0


def test_hosts_agree_on_the_allocators():
    """Guards against a domain whose hosts donate to different allocators."""
    records = [member(f"h{i}", "ab"[i % 2]) for i in range(9)]
    records.append(member("weak", "a", capacity=10.0))
    clock = FakeClock()
    placements = [
        AllocatorPlacement(directory_of(clock, *order))
        for order in (records, records[::-1])
    ]
    for domain in "ab":
        first, second = (placement.candidates(domain) for placement in placements)
        assert first == second
        preferred = first[:CANDIDATES_PER_DOMAIN]
        assert {m.place.failure_domain for m in preferred} == {domain}
        assert all(m.name != "weak" for m in preferred)


def test_tokens_expire_from_the_time_of_the_request():
    """Guards against delayed tokens that are used in a later window."""
    account = TenantAccount()
    account.add(2, sent_at=10.0)
    assert account.take(10.2)
    assert not account.take(10.25)
    assert account.tokens == 0


def test_refunded_token_keeps_its_expiry():
    """Guards against tokens that live longer by being refunded."""
    account = TenantAccount()
    account.add(1, sent_at=10.0)
    assert account.take(10.1)
    account.refund(10.2)
    assert account.take(10.2)
    account.refund(10.3)
    assert not account.take(10.3)


async def test_tenant_without_a_rate_is_admitted():
    """Guards against limits for tenants that have none."""
    host = Participant()
    await host.quota.admit("other")
    host.quota.refund("other")
    assert not host.channel.requests


async def test_tenant_with_rate_zero_is_refused_without_a_message():
    """Guards against messages for operations that are never admitted."""
    host = Participant(member("h2", "b"))
    with pytest.raises(OverloadError):
        await host.quota.admit("none")
    assert not host.channel.requests


async def test_admission_uses_the_own_allocator_and_refuses_beyond_the_limit():
    """Guards against a host alone that serves nothing, or everything."""
    host = Participant()
    for planned in host.donor.plan(host.clock()):
        host.donor.record_reply(planned, host.allocator.donate(planned.message))
    await host.quota.admit("acme")
    for _ in range(int(QuotaBounds().depth(RATES["acme"], 1.0))):
        with contextlib.suppress(OverloadError):
            await host.quota.admit("acme")
    with pytest.raises(OverloadError, match="rate limit of the tenant exceeded"):
        await host.quota.admit("acme")


async def test_waiting_operations_share_one_request():
    """Guards against one message for each operation that waits."""
    other = member("h2", "b")
    host = Participant(other)
    host.donor.allocators = lambda: [other]
    host.channel.replies["h2"] = LendReply(20)
    async with anyio.create_task_group() as tasks:
        for _ in range(20):
            tasks.start_soon(host.quota.admit, "acme")
    assert len(host.channel.requests) <= 2


async def test_refused_host_does_not_ask_again_before_its_turn():
    """Guards against a storm of requests for a tenant over its limit."""
    other = member("h2", "b")
    host = Participant(other)
    host.donor.allocators = lambda: [other]
    host.channel.replies["h2"] = LendReply(0, 0.5)
    for _ in range(50):
        with pytest.raises(OverloadError) as refused:
            await host.quota.admit("acme")
    assert len(host.channel.requests) == 1
    assert refused.value.retry_after_s == 0.5
    host.clock.now += 0.6
    with pytest.raises(OverloadError):
        await host.quota.admit("acme")
    assert len(host.channel.requests) == 2
