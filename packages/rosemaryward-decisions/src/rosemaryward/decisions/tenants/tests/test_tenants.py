import pytest
from structlog.testing import capture_logs

from rosemaryward.decisions.tenants import (
    AuthorizationError,
    Authorizer,
    CallerKey,
    RefusalCause,
    RevocationProof,
    Tenant,
    TenantDirectory,
)

INFINITY = float("inf")


def key(text):
    return CallerKey(text.encode())


def make_directory(*entries):
    """Return a directory of entries given as name, keys and limits."""
    return TenantDirectory(
        (Tenant(name=name, **limits), [key(text) for text in keys])
        for name, keys, limits in entries
    )


def test_key_is_not_kept():
    """Guards against a key in a log line that shows an object with it."""
    made = key("secret-1")
    assert "secret" not in repr(made)
    assert not hasattr(made, "__dict__")
    assert all(
        b"secret" not in (value if isinstance(value, bytes) else value.encode())
        for value in (made.digest, made.fingerprint)
    )
    assert len(made.fingerprint) == 8


def test_fingerprints_identify_keys_within_a_process():
    """Guards against log lines that cannot be matched with one another."""
    assert key("secret-1").fingerprint == key("secret-1").fingerprint
    assert key("secret-1").fingerprint != key("secret-2").fingerprint


@pytest.mark.parametrize(
    ("entries", "sent", "owner"),
    [
        pytest.param([("a", ["k"], {})], "k", "a", id="known"),
        pytest.param([("a", ["k"], {})], "K", None, id="other-case"),
        pytest.param([("a", ["k"], {})], "k ", None, id="longer"),
        pytest.param([("a", ["kk"], {})], "k", None, id="prefix"),
        pytest.param([("a", ["k"], {})], "", None, id="empty"),
        pytest.param([("a", [""], {})], "", None, id="empty-key-is-ignored"),
        pytest.param([("a", ["k", ""], {})], "k", "a", id="other-key-of-the-entry"),
        pytest.param([("a", ["k", "k"], {})], "k", "a", id="key-listed-twice"),
        pytest.param([("a", ["k"], {}), ("b", ["k"], {})], "k", None, id="two-tenants"),
        pytest.param(
            [("a", ["k", "l"], {}), ("b", ["k"], {})], "l", "a", id="other-of-two"
        ),
        pytest.param([("a", ["k"], {}), ("a", ["l"], {})], "k", "a", id="united-1"),
        pytest.param([("a", ["k"], {}), ("a", ["l"], {})], "l", "a", id="united-2"),
        pytest.param([("a", ["k"], {}), ("a", ["k"], {})], "k", "a", id="same-twice"),
        pytest.param([], "k", None, id="no-tenants"),
    ],
)
def test_tenant_of_a_key(entries, sent, owner):
    """Guards against a caller that acts for a tenant that does not hold its key."""
    assert make_directory(*entries).find(key(sent)) == owner


@pytest.mark.parametrize(
    ("entries", "rate", "burst", "reported"),
    [
        pytest.param([{"rate_per_s": 5.0, "burst": 2.0}], 5.0, 2.0, 0, id="valid"),
        pytest.param([{}], None, 0.0, 0, id="absent"),
        pytest.param([{"rate_per_s": 0.0}], 0.0, 0.0, 0, id="zero"),
        pytest.param([{"rate_per_s": -1.0}], 0.0, 0.0, 1, id="negative"),
        pytest.param([{"rate_per_s": INFINITY}], 0.0, 0.0, 1, id="infinite"),
        pytest.param([{"rate_per_s": float("nan")}], 0.0, 0.0, 1, id="not-a-number"),
        pytest.param(
            [{"rate_per_s": 5.0, "burst": INFINITY}], 5.0, 0.0, 1, id="infinite-burst"
        ),
        pytest.param(
            [{"rate_per_s": 5.0}, {"rate_per_s": 3.0}], 3.0, 0.0, 1, id="lower-second"
        ),
        pytest.param(
            [{"rate_per_s": 3.0}, {"rate_per_s": 5.0}], 3.0, 0.0, 1, id="lower-first"
        ),
        pytest.param([{}, {"rate_per_s": 5.0}], 5.0, 0.0, 1, id="one-without-a-rate"),
    ],
)
def test_limits_of_a_tenant(entries, rate, burst, reported):
    """Guards against an unlimited tenant after an invalid or ambiguous limit."""
    directory = make_directory(*[("a", ["k"], limits) for limits in entries])
    tenant = directory.tenants["a"]
    assert (tenant.rate_per_s, tenant.burst) == (rate, burst)
    assert [problem.tenant for problem in directory.problems] == ["a"] * reported


def test_problems_name_tenants_and_no_key():
    """Guards against a key in the log line about a key of two tenants."""
    directory = make_directory(("a", ["secret"], {}), ("b", ["secret"], {}))
    assert sorted(problem.tenant for problem in directory.problems) == ["a", "b"]
    assert "secret" not in repr(directory.problems) + repr(directory)


class Host:
    """Authorizer with a configuration and an age of the mirror that a test sets."""

    def __init__(self, age_s=0.0, bound_s=5.0, tenants=(("a", ["k"], {}),)):
        self.age_s = age_s
        self.bound_s = bound_s
        self.directory = None if tenants is None else make_directory(*tenants)
        self.proof = RevocationProof(
            lambda: self.age_s, lambda: self.bound_s, lambda: 7
        )
        self.authorizer = Authorizer(lambda: self.directory, self.proof)

    def outcome(self, sent, is_public=False):
        try:
            return self.authorizer.authorize(key(sent), is_public)
        except AuthorizationError as error:
            return error.cause


@pytest.mark.parametrize(
    ("host", "sent", "is_public", "outcome"),
    [
        pytest.param({}, "k", False, "a", id="known"),
        pytest.param({}, "x", False, RefusalCause.UNKNOWN_KEY, id="unknown"),
        pytest.param({}, "", False, RefusalCause.UNKNOWN_KEY, id="no-key"),
        pytest.param({}, "", True, "", id="public"),
        pytest.param({}, "k", True, "", id="public-with-a-key"),
        pytest.param({"age_s": 4.89}, "k", False, "a", id="recent-enough"),
        pytest.param(
            {"age_s": 4.91}, "k", False, RefusalCause.NO_PROOF, id="within-the-margin"
        ),
        pytest.param({"age_s": 60.0}, "k", False, RefusalCause.NO_PROOF, id="too-old"),
        pytest.param(
            {"age_s": 60.0}, "x", False, RefusalCause.NO_PROOF, id="too-old-to-know"
        ),
        pytest.param(
            {"age_s": INFINITY}, "k", False, RefusalCause.NO_PROOF, id="never-read"
        ),
        pytest.param({"age_s": 60.0}, "", True, "", id="too-old-public"),
        pytest.param({"age_s": 60.0, "bound_s": None}, "k", False, "a", id="lenient"),
        pytest.param({"age_s": 60.0, "tenants": None}, "x", False, "", id="no-tenants"),
        pytest.param({"tenants": ()}, "k", False, RefusalCause.UNKNOWN_KEY, id="empty"),
    ],
)
def test_authorization(host, sent, is_public, outcome):
    """Guards against a caller served without a valid key or a recent proof."""
    assert Host(**host).outcome(sent, is_public) == outcome


@pytest.mark.parametrize(
    ("host", "ready"),
    [
        pytest.param({}, True, id="recent"),
        pytest.param({"age_s": 60.0}, False, id="too-old"),
        pytest.param({"age_s": 60.0, "bound_s": None}, True, id="lenient"),
        pytest.param({"age_s": 60.0, "tenants": None}, True, id="no-tenants"),
    ],
)
def test_readiness(host, ready):
    """Guards against callers routed to a host that refuses them."""
    assert Host(**host).authorizer.is_ready is ready


def test_lost_and_regained_proof_is_logged_once():
    """Guards against one line for each refused statement."""
    host = Host()
    with capture_logs() as lines:
        for age_s in (0.0, 1.0, 6.0, 7.0, 0.5, 0.6):
            host.age_s = age_s
            host.authorizer.observe_proof()
    assert [(line["event"], line["age_s"]) for line in lines] == [
        ("revocation proof regained", 0.0),
        ("revocation proof lost", 6.0),
        ("revocation proof regained", 0.5),
    ]
    assert {line["configuration"] for line in lines} == {7}


class Removal:
    """Store and mirror: a key is removed, and reads of the mirror are delayed."""

    def __init__(self, removed_at, reads):
        self.removed_at = removed_at
        self.reads = reads  # time of the arrival and time sent of each read

    def may_run(self, now, bound_s):
        known = max((s for at, s in self.reads if at <= now), default=-INFINITY)
        tenants = () if known > self.removed_at else (("a", ["k"], {}),)
        host = Host(now - known, bound_s, tenants)
        return host.outcome("k") == "a"


@pytest.mark.parametrize(
    "reads",
    [
        pytest.param([(0.0, 0.0)], id="cut-off-before"),
        pytest.param([(0.0, 0.0), (11.9, 9.9)], id="read-sent-just-before"),
        pytest.param([(0.0, 0.0), (14.0, 9.0), (20.0, 19.0)], id="delayed-answer"),
        pytest.param([(n * 1.5, n * 1.5 - 0.5) for n in range(30)], id="in-touch"),
    ],
)
@pytest.mark.parametrize("bound_s", [1.0, 5.0])
def test_removed_key_is_refused_after_the_bound(reads, bound_s):
    """Guards against a statement that runs later than the bound after the removal."""
    removal = Removal(10.0, reads)
    times = [n * 0.05 for n in range(800)]
    ran = [now for now in times if removal.may_run(now, bound_s)]
    assert max(ran) <= 10.0 + bound_s
