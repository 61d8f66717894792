"""Fakes for the interfaces that the entry and owner paths use."""

import anyio

from rosemaryward.decisions.document.schema import (
    DatabaseSection,
    Document,
    InstanceSection,
    RuleSection,
    TenantSection,
    UserSection,
)
from rosemaryward.decisions.errors import (
    NotRunError,
    OutcomeUnknownError,
    ReplicaBehindError,
    StatementError,
)
from rosemaryward.decisions.interfaces import InstanceRole, InstanceStatus
from rosemaryward.decisions.messages import (
    Member,
    MemberState,
    PrimaryRecord,
    StatementResult,
)
from rosemaryward.decisions.types import EndpointId, LogPosition, Place

PLACE = Place("north", "n1")


class FakeConnection:
    """Records statements; `answers` maps a statement to an answer or an error."""

    def __init__(self, log, answers):
        self.log = log
        self.answers = answers
        self.broken = False

    async def execute(self, sql, timeout_s):
        self.log.append(sql)
        answer = self.answers.get(sql, StatementResult())
        if isinstance(answer, Exception):
            raise answer
        return answer

    async def reset(self):
        self.log.append("reset")

    async def aclose(self):
        self.broken = True


class FakePool:
    def __init__(self, answers=None):
        self.log = []
        self.answers = answers or {}
        self.in_use = 0

    async def take(self, timeout_s):
        self.in_use += 1
        return FakeConnection(self.log, self.answers)

    async def give_back(self, connection, used_by_transaction=False):
        self.in_use -= 1
        if used_by_transaction:
            await connection.reset()


class FakeSlot:
    def __init__(self, admission):
        self.admission = admission
        self.samples_latency = True
        self.started_at = 0.0
        self.waited_s = 0.0

    async def __aenter__(self):
        if self.admission.error is not None:
            raise self.admission.error
        self.admission.running += 1
        return self

    async def __aexit__(self, kind, error, trace):
        self.release(kind is None)

    def release(self, completed):
        self.admission.running -= 1


class FakeAdmission:
    def __init__(self, slots=3):
        self.error = None
        self.slots = slots
        self.queued = 0
        self.running = 0

    def slot(self, rank, caller, tenant, deadline_s):
        return FakeSlot(self)

    def estimated_waits_s(self):
        return {}


class FakeGroup:
    def __init__(self, role=InstanceRole.PRIMARY, term=1):
        self.status = InstanceStatus(
            term, role, LogPosition(term, 10), LogPosition(term, 10)
        )
        self.has_lease = True
        self.instance_leaving_s = 0.0
        self.confirms_writes = True
        self.read_index_position = LogPosition(term, 10)
        self.instance_staleness_s = 0.0
        self.primary = PrimaryRecord("db", term, "a")

    def status_of(self, instance):
        return self.status

    def leaving_s(self, instance):
        return self.instance_leaving_s

    def holds_read_lease(self, instance):
        return self.has_lease

    async def confirm_write(self, instance, term, deadline_s):
        if not self.confirms_writes or term != self.status.term:
            raise OutcomeUnknownError("no majority")
        return self.status.received

    async def read_index(self, instance, deadline_s):
        return self.read_index_position

    async def wait_applied(self, instance, minimum, timeout_s):
        if self.status.applied < minimum:
            raise ReplicaBehindError("behind", self.status.applied)
        return self.status

    def staleness_s(self, instance):
        return self.instance_staleness_s


class FakeDirectory:
    def __init__(self, primary="a"):
        self.primary = primary

    def owner_of(self, endpoint):
        return Member(
            f"owner-{endpoint.instance}", 1, MemberState.ALIVE, PLACE, "127.0.0.1", 1, 2
        )

    def primary_of(self, database):
        return self.primary

    async def primary_changed(self, database):
        await anyio.sleep_forever()


class FakeRequester:
    """Answers each request with the next of `replies`, then with `default`."""

    def __init__(self, replies=(), default=None):
        self.replies = list(replies)
        self.default = default or StatementResult(position=LogPosition(1, 11))
        self.sent = []

    async def request(self, target, message, timeout_s):
        self.sent.append(message)
        reply = self.replies.pop(0) if self.replies else self.default
        if isinstance(reply, Exception):
            raise reply
        return reply

    @property
    def instances(self):
        return [message.endpoint.instance for message in self.sent]


def make_document(rules=()):
    places = {"a": ("north", "n1"), "b": ("north", "n2"), "c": ("south", "s1")}
    instances = {
        name: InstanceSection(
            host="10.0.0.1", port=port, region=region, failure_domain=domain
        )
        for port, (name, (region, domain)) in enumerate(places.items(), 1)
    }
    return Document(
        environment="test",
        regions={"north": ("n1", "n2"), "south": ("s1",)},
        databases={
            "db": DatabaseSection(
                tenant="team", instances=instances, slots=3, connections=30
            )
        },
        tenants={
            "team": TenantSection(
                users={"ana": UserSection(password_hash="00")}, rules=tuple(rules)
            )
        },
    )


STALE_RULE = RuleSection(
    name="routes", rank="bulk", tables=("routes",), access="read", max_staleness_s=5.0
)
ENDPOINT = EndpointId("db", "a")
ERRORS = (NotRunError, OutcomeUnknownError, StatementError)
