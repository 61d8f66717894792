"""Checks of a session's statements against the keys and limits of tenants."""

import msgspec
import pytest

from rosemaryward.decisions.errors import OverloadError
from rosemaryward.decisions.gateway.outcomes import ConnectionState, Failure
from rosemaryward.decisions.gateway.tests.fakes import GatewayHarness
from rosemaryward.decisions.tenants import (
    Authorizer,
    CallerAccess,
    CallerKey,
    RefusalCause,
    RevocationProof,
    Tenant,
    TenantDirectory,
)

IDLE = ConnectionState.IDLE
OPEN = ConnectionState.TRANSACTION
FAILED = ConnectionState.FAILED_TRANSACTION
KEY = "secret-key"
BOUND_S = 5.0


def make_directory(**keys):
    """Return a directory of tenants, given a key for each."""
    return TenantDirectory(
        (Tenant(name=name), [CallerKey(key.encode())]) for name, key in keys.items()
    )


class FakeLimiter:
    def __init__(self):
        self.admitted = []
        self.refunded = []
        self.is_full = False

    async def admit(self, tenant):
        if self.is_full:
            raise OverloadError("over the limit", 0.5)
        self.admitted.append(tenant)

    def refund(self, tenant):
        self.refunded.append(tenant)


class TenantHarness(GatewayHarness):
    """Gateway of one proxy with tenants, whose store a test can take away."""

    def __init__(self, tenants=None, limiter=None, public=False, **arguments):
        super().__init__(**arguments)
        self.age_s = 0.0
        self.bound_s = BOUND_S
        self.limiter = limiter
        self.public = public
        self.refused = []
        self.set_tenants({"acme": KEY} if tenants is None else tenants)
        proof = RevocationProof(
            lambda: self.age_s, lambda: self.bound_s, lambda: self.environment.version
        )
        self.authorizer = Authorizer(lambda: self.environment.tenants, proof)

    def set_tenants(self, tenants, public=None):
        self.public = self.public if public is None else public
        route = msgspec.structs.replace(self.route, public=self.public)
        self.environment = msgspec.structs.replace(
            self.environment,
            version=self.environment.version + 1,
            routes={"db": route},
            tenants=None if tenants is None else make_directory(**tenants),
        )

    def access(self, key=KEY):
        return CallerAccess(
            CallerKey(key.encode()),
            self.authorizer,
            self.limiter,
            lambda key, tenant, cause: self.refused.append((tenant, cause)),
        )

    async def serve_steps(self, *steps, key=KEY):
        """Serve statements; call what is callable between them; return the replies."""
        texts = [step for step in steps if isinstance(step, str)]
        channel, session = self.session(*texts, access=self.access(key))
        receive = channel.receive
        remaining = list(steps)

        async def receive_next():
            while remaining and callable(remaining[0]):
                remaining.pop(0)()
            if remaining:
                remaining.pop(0)
            return await receive()

        channel.receive = receive_next
        await session.run()
        return channel.replies

    def cut(self):
        """Lose the store, so that the proof of the mirror is too old."""
        self.age_s = BOUND_S

    def heal(self):
        self.age_s = 0.0

    def revoke(self):
        self.set_tenants({"acme": "another-key"})

    def move(self):
        self.set_tenants({"other": KEY})

    def told(self):
        """Return the tenants that the primary was told, one for each connection."""
        return [connection.tenant for connection in self.primary.connections]


def outcomes(replies):
    return [(reply.failure, reply.state) for reply in replies]


async def test_statement_runs_for_the_tenant_of_the_key():
    """Guards against an instance that is told the proxy, or the key."""
    harness = TenantHarness()
    replies = await harness.serve_steps("WRITE k v", "BEGIN", "READ k", "COMMIT")
    assert [reply.failure for reply in replies] == [None] * 4
    assert harness.told() == ["acme"]
    assert harness.authorizer.operations == {"acme": 2}


CUT = TenantHarness.cut
HEAL = TenantHarness.heal
REVOKE = TenantHarness.revoke
MOVE = TenantHarness.move


@pytest.mark.parametrize(
    ("steps", "expected", "ran"),
    [
        pytest.param([CUT, "READ k"], [(Failure.BUSY, IDLE)], [], id="no-proof-read"),
        pytest.param(
            [CUT, "WRITE k v"], [(Failure.BUSY, IDLE)], [], id="no-proof-write"
        ),
        pytest.param([CUT, "BEGIN"], [(Failure.BUSY, IDLE)], [], id="no-proof-begin"),
        pytest.param(
            [CUT, "SET zone a"], [(Failure.BUSY, IDLE)], [], id="no-proof-local"
        ),
        pytest.param(
            [CUT, "READ k", HEAL, "READ k"],
            [(Failure.BUSY, IDLE), (None, IDLE)],
            ["READ k"],
            id="proof-regained",
        ),
        pytest.param(
            ["BEGIN", "WRITE k v", CUT, "WRITE l v", "COMMIT", HEAL, "READ k"],
            [
                (None, OPEN),
                (None, OPEN),
                (Failure.ROLLED_BACK, FAILED),
                (Failure.ROLLED_BACK, IDLE),
                (None, IDLE),
            ],
            ["BEGIN", "WRITE k v", "ROLLBACK", "READ k"],
            id="no-proof-in-transaction",
        ),
        pytest.param(
            ["BEGIN", "WRITE k v", CUT, "COMMIT"],
            [(None, OPEN), (None, OPEN), (Failure.ROLLED_BACK, IDLE)],
            ["BEGIN", "WRITE k v", "ROLLBACK"],
            id="no-proof-commit",
        ),
        pytest.param(
            ["BEGIN", "WRITE k v", CUT, "ROLLBACK"],
            [(None, OPEN), (None, OPEN), (None, IDLE)],
            ["BEGIN", "WRITE k v", "ROLLBACK"],
            id="no-proof-rollback",
        ),
        pytest.param(
            ["BEGIN", "WRITE k v", CUT, "READ k", HEAL, "READ k", "ROLLBACK"],
            [
                (None, OPEN),
                (None, OPEN),
                (Failure.ROLLED_BACK, FAILED),
                (Failure.MALFORMED, FAILED),
                (None, IDLE),
            ],
            ["BEGIN", "WRITE k v", "ROLLBACK"],
            id="proof-regained-in-transaction",
        ),
        pytest.param(
            ["READ k", REVOKE, "READ k", "WRITE k v"],
            [(None, IDLE), (Failure.UNKNOWN_KEY, IDLE), (Failure.UNKNOWN_KEY, IDLE)],
            ["READ k"],
            id="removed-key",
        ),
        pytest.param(
            ["BEGIN", "WRITE k v", REVOKE, "WRITE l v", "ROLLBACK", "READ k"],
            [
                (None, OPEN),
                (None, OPEN),
                (Failure.UNKNOWN_KEY, FAILED),
                (Failure.UNKNOWN_KEY, IDLE),
                (Failure.UNKNOWN_KEY, IDLE),
            ],
            ["BEGIN", "WRITE k v", "ROLLBACK"],
            id="removed-key-in-transaction",
        ),
        pytest.param(
            ["BEGIN", "WRITE k v", REVOKE, "COMMIT"],
            [(None, OPEN), (None, OPEN), (Failure.UNKNOWN_KEY, IDLE)],
            ["BEGIN", "WRITE k v", "ROLLBACK"],
            id="removed-key-commit",
        ),
    ],
)
async def test_statements_without_a_valid_key(steps, expected, ran):
    """Guards against a statement that runs, or is held, without a proven key."""
    harness = TenantHarness()
    bound = [step if isinstance(step, str) else step.__get__(harness) for step in steps]
    replies = await harness.serve_steps(*bound)
    assert outcomes(replies) == expected
    assert harness.primary.texts() == ran
    for reply in replies:
        assert KEY not in reply.reason
        if reply.failure is Failure.BUSY:
            assert reply.reason.startswith("not run: ")


async def test_key_that_moves_acts_for_the_new_tenant_from_the_next_operation():
    """Guards against a transaction, or a connection, of two tenants."""
    harness = TenantHarness()
    await harness.serve_steps(
        "READ a", "BEGIN", "READ b", harness.move, "READ c", "COMMIT", "READ d"
    )
    assert harness.told() == ["acme", "other"]
    assert harness.primary.texts() == [
        "READ a",
        "BEGIN",
        "READ b",
        "READ c",
        "COMMIT",
        "READ d",
    ]
    assert harness.authorizer.operations == {"acme": 2, "other": 1}


@pytest.mark.parametrize(
    ("harness", "key"),
    [
        pytest.param({"tenants": {}, "public": True}, "", id="public"),
        pytest.param({"tenants": {"acme": KEY}, "public": True}, KEY, id="public-key"),
    ],
)
async def test_public_route_needs_neither_key_nor_proof(harness, key):
    """Guards against refusals on a public route, and a tenant told to its instance."""
    limiter = FakeLimiter()
    harness = TenantHarness(limiter=limiter, **harness)
    harness.cut()
    replies = await harness.serve_steps("READ k", key=key)
    assert outcomes(replies) == [(None, IDLE)]
    assert harness.told() == [""]
    assert limiter.admitted == []


async def test_without_tenants_nothing_is_checked_or_counted():
    """Guards against a change for deployments without tenants."""
    limiter = FakeLimiter()
    harness = TenantHarness(limiter=limiter)
    harness.set_tenants(None)
    harness.cut()
    channel, session = harness.session("READ k", access=harness.access("anything"))
    await session.run()
    assert outcomes(channel.replies) == [(None, IDLE)]
    assert harness.told() == [""]
    assert session.context.caller == "caller"
    assert limiter.admitted == []
    assert harness.authorizer.operations == {}


async def test_tenants_that_appear_apply_to_open_sessions():
    """Guards against a session that keeps running without a key."""
    harness = TenantHarness()
    harness.set_tenants(None)
    replies = await harness.serve_steps(
        "READ k", lambda: harness.set_tenants({"acme": KEY}), "READ k", key="wrong"
    )
    assert outcomes(replies) == [(None, IDLE), (Failure.UNKNOWN_KEY, IDLE)]


async def test_caller_in_the_admission_queue_is_a_fingerprint():
    """Guards against a key in the message to a relay."""
    harness = TenantHarness()
    _, session = harness.session("READ k", access=harness.access())
    session.operations.caller = KEY  # as the start-up message names it
    await session.run()
    assert session.context.caller == CallerKey(KEY.encode()).fingerprint


@pytest.mark.parametrize(
    ("texts", "admitted"),
    [
        pytest.param(["READ k", "WRITE k v"], 2, id="statements"),
        pytest.param(["BEGIN", "READ k", "WRITE k v", "COMMIT"], 1, id="transaction"),
        pytest.param(["BEGIN", "ROLLBACK"], 1, id="empty-transaction"),
        pytest.param(["SET z a", "PREPARE s READ q", "UNREADABLE"], 0, id="local"),
        pytest.param(["PREPARE s READ q", "EXECUTE s k"], 1, id="prepared"),
        pytest.param(["EXECUTE s k", "COMMIT", "ROLLBACK"], 0, id="invalid"),
    ],
)
async def test_operations_are_counted_once(texts, admitted):
    """Guards against statements of a transaction that count more than once."""
    limiter = FakeLimiter()
    harness = TenantHarness(limiter=limiter)
    await harness.serve_steps(*texts)
    assert limiter.admitted == ["acme"] * admitted
    assert limiter.refunded == []


@pytest.mark.parametrize("text", ["READ k", "BEGIN"])
async def test_operation_over_the_limit_is_refused_at_once(text):
    """Guards against an operation that runs over the limit, or a refund for it."""
    limiter = FakeLimiter()
    limiter.is_full = True
    harness = TenantHarness(limiter=limiter)
    (reply,) = await harness.serve_steps(text)
    assert outcomes([reply]) == [(Failure.BUSY, IDLE)]
    assert reply.reason == (
        "not run: rate limit of the tenant exceeded, retry in 0.50 s"
    )
    assert harness.primary.ran == []
    assert limiter.refunded == []
    assert harness.refused == [("acme", RefusalCause.RATE_LIMIT)]
    assert harness.authorizer.operations == {}


def refuse_connections(harness):
    harness.primary.refuse_connections = Failure.BUSY
    harness.executor.clock = running_clock(harness)


def running_clock(harness):
    def clock():
        harness.clock.now += 0.01
        return harness.clock.now

    return clock


def lose_answer(harness):
    harness.primary.failures = ["lost"]


def lose_all_answers(harness):
    harness.primary.failures = ["lost"] * 1000
    harness.executor.clock = running_clock(harness)


def fail_statement(harness):
    harness.primary.failures = [Failure.FAILED]


@pytest.mark.parametrize(
    ("fault", "texts", "refunded"),
    [
        pytest.param(refuse_connections, ["WRITE k v"], 1, id="no-connection"),
        pytest.param(lose_answer, ["WRITE k v"], 0, id="lost-answer"),
        pytest.param(fail_statement, ["WRITE k v"], 0, id="failed"),
        pytest.param(
            refuse_connections, ["BEGIN", "WRITE k v", "COMMIT"], 1, id="begin"
        ),
        pytest.param(
            lose_all_answers, ["BEGIN", "WRITE k v", "COMMIT"], 0, id="lost-begin"
        ),
        pytest.param(CUT, ["BEGIN", "WRITE k v", "COMMIT"], 0, id="sent-then-no-proof"),
    ],
)
async def test_refund_of_an_operation_of_which_nothing_was_sent(fault, texts, refunded):
    """Guards against tokens lost to refusals, and refunds for what may have run."""
    limiter = FakeLimiter()
    harness = TenantHarness(limiter=limiter, timeout_s=0.3)
    steps = list(texts)
    steps.insert(1 if fault is CUT else 0, lambda: fault(harness))
    replies = await harness.serve_steps(*steps)
    assert replies[-1].failure is not None
    assert limiter.admitted == ["acme"]
    assert limiter.refunded == ["acme"] * refunded


async def test_transaction_refused_before_it_is_opened_is_refunded():
    """Guards against a lost token when the proof ends before anything was sent."""
    limiter = FakeLimiter()
    harness = TenantHarness(limiter=limiter, timeout_s=0.3)
    refuse_connections(harness)
    replies = await harness.serve_steps("BEGIN", harness.cut, "READ k", "COMMIT")
    assert [r.failure for r in replies] == [None] + [Failure.ROLLED_BACK] * 2
    assert limiter.refunded == ["acme"]


async def test_key_removed_as_its_route_becomes_public_ends_the_transaction():
    """Guards against statements for a tenant whose key was taken away."""
    harness = TenantHarness()
    replies = await harness.serve_steps(
        "BEGIN",
        "WRITE a 1",
        lambda: harness.set_tenants({"other": "key-2"}, public=True),
        "WRITE b 1",
    )
    failures = [reply.failure for reply in replies]
    assert failures == [None, None, Failure.UNKNOWN_KEY]
