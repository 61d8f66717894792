"""In-memory replication group behind the gateway's connector interface."""

import anyio
import msgspec

from rosemaryward.decisions.errors import EndpointError
from rosemaryward.decisions.gateway.connections import EndpointPool
from rosemaryward.decisions.gateway.directory import EndpointDirectory
from rosemaryward.decisions.gateway.environment import (
    Endpoint,
    Environment,
    Group,
    ReadPolicy,
    Route,
)
from rosemaryward.decisions.gateway.execution import Executor
from rosemaryward.decisions.gateway.outcomes import (
    Answer,
    ConnectError,
    ConnectionState,
    Failure,
    UnansweredError,
)
from rosemaryward.decisions.gateway.session import CallerSession
from rosemaryward.decisions.gateway.statements import (
    PreparedStatement,
    Statement,
    StatementKind,
)
from rosemaryward.decisions.gateway.targets import TargetSelector
from rosemaryward.decisions.leadership.control import EndpointStatus
from rosemaryward.decisions.leadership.records import GroupRecord, Leadership
from rosemaryward.decisions.leadership.verification import PrimaryVerifier
from rosemaryward.decisions.types import LogPosition, Place

GROUP = "orders"
NEAR = Place("north", "a")
FAR = Place("south", "b")
IDLE = ConnectionState.IDLE


class FakeClock:
    """Boot time that a test sets, in seconds."""

    def __init__(self):
        self.now = 100.0

    def __call__(self):
        return self.now


class FakeInstance:
    """Instance that records the statements it runs; tests set faults as attributes."""

    def __init__(self, name, leads=False):
        self.name = name
        self.leads = leads
        self.position = LogPosition(1, 10)
        self.ran = []
        self.connections = []
        self.refuse_connections = None
        self.failures = []  # of the next statements; "lost" runs but is not answered
        self.events = []  # connections opened for and closed of tenants, in order

    def texts(self):
        return [text for _, text in self.ran]


class FakeConnection:
    def __init__(self, instance, tenant=""):
        self.instance = instance
        self.tenant = tenant
        self.values = {}
        self.prepared = {}
        self.state = IDLE
        self.closed = False

    async def execute(self, statement, named=None, min_position=None, admission=None):
        text = statement.text
        if statement.kind is StatementKind.EXECUTE:
            text = f"EXECUTE {named.name} {statement.argument}"
        return await self._query(statement.request_id, text, min_position)

    async def begin(self, read_only, min_position=None, admission=None):
        return await self._query(
            "-", "BEGIN READ" if read_only else "BEGIN", min_position
        )

    async def roll_back(self):
        return await self._query("-", "ROLLBACK")

    async def set_value(self, name, value):
        return await self._query("-", f"SET {name} {value}")

    async def prepare(self, name, prepared):
        access = "WRITE" if prepared.writes else "READ"
        return await self._query("-", f"PREPARE {name} {access} {prepared.shape}")

    async def deallocate(self, name):
        return await self._query("-", f"DEALLOCATE {name}")

    async def reset(self):
        return await self._query("-", "RESET")

    async def aclose(self):
        await anyio.lowlevel.checkpoint()
        self.closed = True
        self.instance.events.append(("closed", self.tenant))

    async def _query(self, request_id, text, min_position=None):
        instance = self.instance
        await anyio.lowlevel.checkpoint()
        if self.closed:
            raise UnansweredError("closed")
        word = text.split()[0]
        if word in ("SET", "RESET", "PREPARE", "DEALLOCATE"):
            return self._context(text)
        if instance.failures:
            failure = instance.failures.pop(0)
            if failure == "lost":
                instance.ran.append((request_id, text))
                self.closed = True
                raise UnansweredError("answer lost")
            return Answer([], "", self.state, instance.position, failure, "injected")
        if min_position is not None and min_position > instance.position:
            return self._refused(Failure.BEHIND)
        writes = word == "WRITE" or (
            word == "EXECUTE" and self.prepared[text.split()[1]][0] == "WRITE"
        )
        if (writes or text == "BEGIN") and not instance.leads:
            return self._refused(Failure.NOT_PRIMARY)
        return self._run(request_id, text, writes)

    def _run(self, request_id, text, writes):
        instance = self.instance
        word = text.split()[0]
        if word == "BEGIN":
            self.state = ConnectionState.TRANSACTION
        elif word in ("COMMIT", "ROLLBACK"):
            self.state = IDLE
        if (writes and self.state is IDLE) or word == "COMMIT":
            old = instance.position
            instance.position = LogPosition(old.term, old.index + 1)
        instance.ran.append((request_id, text))
        signature = f"signed-{len(instance.ran)}"
        return Answer(["row"], signature, self.state, instance.position)

    def _refused(self, failure):
        return Answer([], "", self.state, self.instance.position, failure, "refused")

    def _context(self, text):
        word, _, rest = text.partition(" ")
        if word == "RESET":
            self.values, self.prepared = {}, {}
        elif word == "SET":
            name, value = rest.split(" ", 1)
            self.values[name] = value
        elif word == "DEALLOCATE":
            del self.prepared[rest]
        else:
            name, access, shape = rest.split(" ", 2)
            self.prepared[name] = (access, shape)
        return Answer([], "-", self.state, self.instance.position)


class FakeConnector:
    def __init__(self, instances):
        self.instances = {instance.name: instance for instance in instances}
        self.discarded = []

    async def connect(self, endpoint, tenant=""):
        instance = self.instances[endpoint.id]
        if instance.refuse_connections is not None:
            raise ConnectError(instance.refuse_connections, "refused")
        connection = FakeConnection(instance, tenant)
        instance.events.append(("opened", tenant))
        instance.connections.append(connection)
        return connection

    def discard(self, connection):
        connection.closed = True
        self.discarded.append(connection)


class FakeStatusControl:
    """Statuses of fake instances; those in `silent` do not answer."""

    def __init__(self, instances):
        self.instances = {instance.name: instance for instance in instances}
        self.requests = []
        self.silent = set()

    async def status(self, endpoint_id):
        await anyio.lowlevel.checkpoint()
        self.requests.append(endpoint_id)
        if endpoint_id in self.silent:
            raise EndpointError(f"{endpoint_id} does not answer")
        instance = self.instances[endpoint_id]
        position = instance.position
        return EndpointStatus(instance.leads, position.term, position, 0, 0.0, 1)


class FakeCallerChannel:
    """Caller that sends statements in sequence and keeps the replies."""

    def __init__(self, statements):
        self.statements = list(statements)
        self.replies = []

    async def receive(self):
        await anyio.lowlevel.checkpoint()
        return self.statements.pop(0) if self.statements else None

    async def send(self, statement, reply):
        self.replies.append(reply)

    async def announce_end(self, refusal):
        self.refusal = refusal

    async def complete_refusal(self, state):
        self.replies.append(msgspec.structs.replace(self.refusal, state=state))


class FakeObserver:
    def __init__(self):
        self.attempts = []
        self.answers = []
        self.overdue = []

    def attempt_failed(self, statement, route, endpoint, reason):
        self.attempts.append((endpoint, reason))

    def answered(self, statement, route, endpoint, session, reply, took_s):
        self.answers.append((endpoint, reply))

    def closed_by_proxy(self, database, state, reason):
        self.overdue.append((database, state, reason))


def make_route(policy, max_staleness_s=1.5, timeout_s=0.5):
    return Route(
        database="db",
        group=GROUP,
        policy=policy,
        timeout_s=timeout_s,
        target_latency_s=0.2,
        rank=1,
        max_staleness_s=max_staleness_s,
    )


class GatewayHarness:
    """Gateway of one proxy with a primary and two replicas."""

    def __init__(self, policy=ReadPolicy.PRIMARY, clock=None, **route):
        self.primary = FakeInstance("i-1", leads=True)
        self.near = FakeInstance("i-2")
        self.far = FakeInstance("i-3")
        self.clock = clock or FakeClock()
        self.connector = FakeConnector([self.primary, self.near, self.far])
        self.directory = EndpointDirectory(self.connector, self.clock)
        for instance, place in (
            (self.primary, FAR),
            (self.near, NEAR),
            (self.far, FAR),
        ):
            self.directory.observe(make_endpoint(instance.name, place))
        self.leadership = Leadership(self.clock)
        self.leadership.observe(GROUP, make_record(), 1)
        self.leadership.confirm(self.clock())
        self.selector = TargetSelector(
            self.directory, self.leadership, NEAR, self.clock
        )
        self.observer = FakeObserver()
        self.control = FakeStatusControl([self.primary, self.near, self.far])
        self.verifier = PrimaryVerifier(self.leadership, self.control, self.clock)
        self.executor = Executor(
            self.selector, self.observer.attempt_failed, self.clock, self.verifier
        )
        self.route = make_route(policy, **route)
        self.environment = Environment(
            version=1,
            routes={"db": self.route},
            groups={GROUP: Group(name=GROUP, max_connections=30, sync_replicas=1)},
            transaction_idle_s=3.0,
        )

    def sample_primary(self, age_s=0.0, position=None):
        """Record a position of the primary as of `age_s` seconds ago."""
        samples = self.selector.group_samples(GROUP)
        samples.record(self.clock() - age_s, position or self.primary.position)

    def session(self, *texts, access=None):
        channel = FakeCallerChannel(
            [parse_statement(text, n) for n, text in enumerate(texts)]
        )
        session = CallerSession(
            channel,
            "db",
            "caller",
            self.executor,
            lambda: self.environment,
            self.observer,
            self.clock,
            access,
        )
        return channel, session

    async def serve(self, *texts, access=None):
        """Run statements in one session and return the replies."""
        channel, session = self.session(*texts, access=access)
        await session.run()
        return channel.replies

    def pool(self, instance) -> EndpointPool:
        return self.directory.pools[instance.name]


def make_endpoint(name, place=NEAR, **changes):
    values = {
        "id": name,
        "group": GROUP,
        "address": f"10.0.0.{name[-1]}:1",
        "place": place,
        "slots": 5,
        "leaving": False,
        "claims_primary": name == "i-1",
    }
    return Endpoint(**(values | changes))


def make_record(epoch=1, primary="i-1", serving=True, holder="proxy-1", term=1):
    return GroupRecord(
        epoch=epoch, primary=primary, serving=serving, holder=holder, term=term
    )


def parse_statement(text, number=0):
    """Parse a statement of the test's text form."""
    words = text.split()
    request_id = f"r{number}"
    kinds = {
        "BEGIN": StatementKind.BEGIN,
        "BEGIN READ": StatementKind.BEGIN_READ,
        "COMMIT": StatementKind.COMMIT,
        "ROLLBACK": StatementKind.ROLLBACK,
    }
    if text in kinds:
        return Statement(request_id, kinds[text], text)
    if words[0] == "SET":
        _, name, value = text.split(" ", 2)
        return Statement(request_id, StatementKind.SET_VALUE, text, name, value)
    if words[0] == "PREPARE":
        _, name, access, shape = text.split(" ", 3)
        prepared = PreparedStatement(access == "WRITE", shape)
        return Statement(
            request_id, StatementKind.PREPARE, text, name, prepared=prepared
        )
    if words[0] == "EXECUTE":
        argument = " ".join(words[2:])
        return Statement(request_id, StatementKind.EXECUTE, text, words[1], argument)
    return Statement(request_id, StatementKind[words[0]], text)
