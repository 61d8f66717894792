import pytest

from rosemaryward.decisions.freshness import PositionSamples
from rosemaryward.decisions.gateway.connections import RELAY_LOAD_MAX_AGE_S
from rosemaryward.decisions.gateway.environment import ReadPolicy
from rosemaryward.decisions.gateway.outcomes import (
    Answer,
    ConnectError,
    ConnectionState,
    Failure,
    RelayRefusedError,
    UnansweredError,
)
from rosemaryward.decisions.gateway.tests.fakes import (
    FAR,
    GROUP,
    NEAR,
    GatewayHarness,
    make_endpoint,
    make_record,
)
from rosemaryward.decisions.leadership.records import (
    CONFIRMATION_VALIDITY_S,
    UNVERIFIED_READ_S,
)
from rosemaryward.decisions.types import LogPosition

NONE = LogPosition()
BOUNDED = ReadPolicy.BOUNDED_STALENESS
OWN = ReadPolicy.READ_YOUR_WRITES


@pytest.mark.parametrize(
    ("policy", "sample_age_s", "session", "expected", "since"),
    [
        pytest.param(ReadPolicy.PRIMARY, 0.0, NONE, "i-1", None, id="primary-route"),
        pytest.param(BOUNDED, 0.5, NONE, "i-2", (1, 10), id="young-sample"),
        pytest.param(BOUNDED, 1.49, NONE, "i-1", None, id="sample-within-margin"),
        pytest.param(BOUNDED, 2.0, NONE, "i-1", None, id="sample-too-old"),
        pytest.param(OWN, 0.5, NONE, "i-2", (1, 10), id="nothing-written"),
        pytest.param(OWN, 0.5, LogPosition(1, 12), "i-2", (1, 12), id="own-write"),
        pytest.param(OWN, 2.0, LogPosition(1, 12), "i-1", None, id="own-write-old"),
    ],
)
def test_read_target(policy, sample_age_s, session, expected, since):
    """Guards against reads that are staler than the route allows."""
    harness = GatewayHarness(policy)
    harness.sample_primary(sample_age_s)
    target = harness.selector.select_read(
        harness.route, harness.clock(), session, set()
    )
    assert target.pool.endpoint.id == expected
    assert target.min_position == (None if since is None else LogPosition(*since))


@pytest.mark.parametrize(
    ("policy", "loads", "draw", "expected"),
    [
        pytest.param(BOUNDED, (0.0, 0.5, 0.0), 0.0, "i-2", id="nearest"),
        pytest.param(BOUNDED, (0.0, 0.8, 0.0), 0.9, "i-2", id="near-loaded-stays"),
        pytest.param(BOUNDED, (0.0, 0.8, 0.0), 0.1, "i-3", id="near-loaded-spills"),
        pytest.param(BOUNDED, (0.0, 1.2, 0.0), 0.9, "i-3", id="near-full"),
        pytest.param(BOUNDED, (0.9, 1.5, 1.2), 0.5, "i-1", id="replicas-full"),
        pytest.param(BOUNDED, (1.1, 1.5, 1.2), 0.5, "i-3", id="primary-full-too"),
        pytest.param(OWN, (0.0, 1.2, 0.0), 0.9, "i-3", id="own-writes-near-full"),
        pytest.param(
            ReadPolicy.PRIMARY, (1.5, 0.0, 0.0), 0.0, "i-1", id="primary-route"
        ),
    ],
)
def test_reads_leave_loaded_endpoints(policy, loads, draw, expected):
    """Guards against refusals at the nearest endpoint beside idle ones."""
    harness = GatewayHarness(policy)
    harness.sample_primary()
    harness.selector.draw = lambda: draw
    instances = (harness.primary, harness.near, harness.far)
    for instance, load in zip(instances, loads, strict=True):
        pool = harness.pool(instance)
        pool.relayed = True
        pool._record_load(load)
    target = harness.selector.select_read(harness.route, harness.clock(), NONE, set())
    assert target.pool.endpoint.id == expected


@pytest.mark.parametrize(
    ("load", "expected"),
    [
        pytest.param(0.3, "i-1", id="idle"),
        pytest.param(0.9, "i-2", id="loaded"),
    ],
)
def test_reads_leave_slots_of_a_near_primary_to_writes(load, expected):
    """Guards against writes that are refused because reads hold all slots."""
    harness = GatewayHarness(BOUNDED)
    harness.selector.place = FAR
    harness.sample_primary()
    harness.selector.draw = lambda: 0.5
    pool = harness.pool(harness.primary)
    pool.relayed = True
    pool._record_load(load)
    target = harness.selector.select_read(harness.route, harness.clock(), NONE, set())
    assert (target.pool.endpoint.id == "i-1") is (expected == "i-1")


def test_report_of_a_relay_expires():
    """Guards against an endpoint that stays unused after a moment of load."""
    harness = GatewayHarness(BOUNDED)
    pool = harness.pool(harness.near)
    pool.relayed = True
    pool.record_refusal(RelayRefusedError(Failure.BUSY, "overloaded", 1.5))
    assert pool.load == 1.5
    harness.clock.now += RELAY_LOAD_MAX_AGE_S
    assert pool.load == 0.0


def test_session_position_of_an_earlier_term_is_replaced():
    """Guards against requiring a position that a promotion discarded."""
    harness = GatewayHarness(OWN)
    harness.sample_primary(0.3)
    harness.sample_primary(0.0, LogPosition(2, 8))
    target = harness.selector.select_read(
        harness.route, harness.clock(), LogPosition(1, 12), set()
    )
    assert target.min_position == LogPosition(2, 8)


@pytest.mark.parametrize(
    "change",
    [
        pytest.param({"leaving": True}, id="leaving"),
        pytest.param({"missing": True}, id="registration-removed"),
        pytest.param({"suspect": True}, id="silent"),
    ],
)
def test_replica_that_must_not_be_used(change):
    """Guards against selecting an endpoint that is leaving or does not answer."""
    harness = GatewayHarness(BOUNDED)
    harness.sample_primary()
    if "leaving" in change:
        harness.directory.observe(make_endpoint("i-2", NEAR, leaving=True))
    elif "missing" in change:
        harness.directory.mark_unregistered("i-2")
    else:
        harness.pool(harness.near).record_failure("test")
    target = harness.selector.select_read(harness.route, harness.clock(), NONE, set())
    assert target.pool.endpoint.id != "i-2"


def test_samples_of_a_replaced_primary_are_not_recorded():
    """Guards against trusting positions of a replaced primary that still answers."""
    samples = PositionSamples()
    samples.record(10.0, LogPosition(2, 5))
    samples.record(11.0, LogPosition(1, 90))
    assert samples.required_position(10.5) is None


def test_required_position_is_the_oldest_that_is_recent_enough():
    """Guards against requiring more of a replica than the bound needs."""
    samples = PositionSamples()
    for second in range(5):
        samples.record(float(second), LogPosition(1, second))
    assert samples.required_position(2.5) == LogPosition(1, 3)


def test_one_lost_answer_does_not_make_an_endpoint_suspect():
    """Guards against avoiding a primary that answers all other statements."""
    harness = GatewayHarness()
    pool = harness.pool(harness.primary)
    sent_at = harness.clock()
    harness.clock.now += 0.1
    pool.record_answer(Answer([], "s", ConnectionState.IDLE, LogPosition(1, 1)))
    harness.clock.now += 0.5
    pool.record_unanswered(sent_at, UnansweredError("lost"), "lost")
    assert not pool.suspect


@pytest.mark.parametrize(
    ("waited_s", "error", "suspect"),
    [
        pytest.param(0.01, TimeoutError(), False, id="little-time-left"),
        pytest.param(0.5, TimeoutError(), True, id="silent"),
        pytest.param(0.01, UnansweredError("closed"), True, id="connection-ended"),
    ],
)
def test_unanswered_statement(waited_s, error, suspect):
    """Guards against avoiding an endpoint that had too little time to answer."""
    harness = GatewayHarness()
    pool = harness.pool(harness.primary)
    sent_at = harness.clock()
    harness.clock.now += waited_s
    pool.record_unanswered(sent_at, error, "test")
    assert pool.suspect is suspect


def test_avoidance_is_bounded_after_many_failures():
    """Guards against a float overflow after a thousand failed connections."""
    harness = GatewayHarness()
    pool = harness.pool(harness.primary)
    for _ in range(2000):
        pool.record_failure("refused")
    assert pool.avoid_until <= harness.clock() + 4.0


async def test_connection_limit_does_not_make_an_endpoint_suspect():
    """Guards against replacing a primary because it accepts no more connections."""
    harness = GatewayHarness()
    harness.primary.refuse_connections = Failure.CONNECTION_LIMIT
    pool = harness.pool(harness.primary)
    with pytest.raises(ConnectError) as caught:
        await pool.acquire(0.0)
    assert caught.value.failure is Failure.CONNECTION_LIMIT
    assert not pool.suspect
    assert pool.last_answer_at == harness.clock()


def test_endpoint_whose_registration_returns_is_kept():
    """Guards against dropping endpoints whose registrations expire with the store."""
    harness = GatewayHarness()
    pool = harness.pool(harness.near)
    harness.directory.mark_unregistered("i-2")
    harness.clock.now += 2.0
    harness.directory.remove_expired()
    harness.directory.observe(make_endpoint("i-2", NEAR))
    assert harness.directory.pools["i-2"] is pool
    harness.directory.mark_unregistered("i-2")
    harness.clock.now += 3.0
    harness.directory.remove_expired()
    assert "i-2" not in harness.directory.endpoints


def test_fenced_primary_is_not_used_before_the_new_record():
    """Guards against using the old primary between its fencing and the new record."""
    harness = GatewayHarness()
    harness.leadership.fence(GROUP, 2)
    assert harness.selector.select_primary(GROUP) is None
    harness.leadership.observe(GROUP, make_record(2, "i-2"), 5)
    assert harness.selector.select_primary(GROUP).pool.endpoint.id == "i-2"


def test_change_of_primary_is_timed_from_its_first_sign():
    """Guards against holding statements for a change of primary that does not end."""
    harness = GatewayHarness()
    leadership = harness.leadership
    leadership.fence(GROUP, 2)
    harness.clock.now += 1.0
    leadership.observe(GROUP, make_record(2, "i-1", serving=False), 5)
    assert leadership.change_age_s(GROUP) == 1.0
    leadership.observe(GROUP, make_record(2, "i-2"), 6)
    assert leadership.change_age_s(GROUP) is None


@pytest.mark.parametrize(
    ("replacement", "sampled"),
    [
        pytest.param(None, True, id="still-primary"),
        pytest.param("fenced", False, id="fenced"),
        pytest.param("replaced", False, id="replaced"),
        pytest.param("unconfirmed", False, id="unconfirmed"),
        pytest.param("unverified", False, id="unverified"),
    ],
)
def test_only_answers_of_the_usable_primary_are_samples(replacement, sampled):
    """Guards against bounded reads that lack what a newer primary acknowledged."""
    harness = GatewayHarness(BOUNDED)
    target = harness.selector.select_primary(GROUP)
    if replacement == "fenced":
        harness.leadership.fence(GROUP, 2)
    elif replacement == "replaced":
        harness.leadership.observe(GROUP, make_record(epoch=2, primary="i-2"), 2)
    elif replacement == "unconfirmed":
        harness.clock.now += CONFIRMATION_VALIDITY_S
    elif replacement == "unverified":
        harness.clock.now += UNVERIFIED_READ_S
    answer = Answer([], "-", ConnectionState.IDLE, LogPosition(1, 10))
    harness.selector.record_answer(target, harness.clock(), answer)
    assert bool(harness.selector.group_samples(GROUP).samples) is sampled
