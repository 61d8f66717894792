"""In-memory proxy that reaches its endpoints through another in-memory proxy."""

import msgspec

from rosemaryward.decisions.errors import OutcomeUnknownError, PeerError
from rosemaryward.decisions.gateway.execution import Executor
from rosemaryward.decisions.gateway.targets import TargetSelector
from rosemaryward.decisions.gateway.tests.fakes import NEAR, FakeClock, GatewayHarness
from rosemaryward.decisions.leadership.members import MemberDirectory, MemberRecord
from rosemaryward.decisions.relays.connections import RelayConnector, StatementPools
from rosemaryward.decisions.relays.messages import RelayReply, RelayRequest
from rosemaryward.decisions.relays.selection import RelaySelector
from rosemaryward.decisions.relays.service import RelayService

_request_decoder = msgspec.msgpack.Decoder(RelayRequest)
_reply_decoder = msgspec.msgpack.Decoder(RelayReply)


def relay_member(name, place=NEAR, capacity=100.0):
    return MemberRecord(
        name, "10.0.0.1:1", f"inc-{name}", "10.0.0.1:2", place, capacity
    )


def members_of(*records, clock=None):
    directory = MemberDirectory(clock or FakeClock())
    for revision, record in enumerate(records, 1):
        directory.observe(record, revision)
        directory.mark_alive(record.name)
    return directory


class FakeLink:
    """In-process connection to a relay that encodes messages as on the wire."""

    name = "proxy-2"

    def __init__(self, session):
        self.member = relay_member(self.name)
        self.session = session
        self.lost = False
        self.lose_reply = False
        self.sent = []

    async def request(self, message):
        if self.lost:
            raise OutcomeUnknownError("connection ended")
        self.sent.append(message)
        decoded = _request_decoder.decode(msgspec.msgpack.encode(message))
        reply = await self.session.handle(decoded)
        if self.lose_reply:
            self.lost = True
            raise OutcomeUnknownError("connection ended")
        return _reply_decoder.decode(msgspec.msgpack.encode(reply))

    def post(self, message):
        self.sent.append(message)
        self.session._abandon(message.lease)


class FakeLinkProvider:
    def __init__(self, service):
        self.service = service
        self.down = False
        self.links = []

    async def link(self, member):
        if self.down:
            raise PeerError(f"{member.name} is unreachable")
        if not self.links or self.links[-1].lost:
            self.links.append(FakeLink(self.service.session("proxy-1")))
        return self.links[-1]


class RelayedGatewayHarness(GatewayHarness):
    """Gateway harness whose proxy uses a relay; `relay` is the relay's own proxy."""

    def __init__(self, connection_limit=1, **arguments):
        super().__init__(**arguments)
        self.relay = GatewayHarness(**{"clock": self.clock} | arguments)
        self.service = RelayService(
            self.relay.directory,
            self.relay.leadership,
            self.relay.selector.group_samples,
            self.clock,
            verifier=self.relay.verifier,
        )
        self.link_provider = FakeLinkProvider(self.service)
        members = members_of(
            relay_member("proxy-1", capacity=1.0), relay_member("proxy-2")
        )
        self.relay_selector = RelaySelector(
            "proxy-1", members, lambda group: connection_limit, self.clock
        )
        connector = RelayConnector(self.relay_selector, self.link_provider, self._close)
        self.closed = []
        self.pools = StatementPools(
            self.directory, self.relay_selector, connector, self.clock
        )
        self.selector = TargetSelector(
            self.directory, self.leadership, NEAR, self.clock, self.pools.pool
        )
        self.executor = Executor(
            self.selector, self.observer.attempt_failed, self.clock, self.verifier
        )

    def _close(self, connection):
        self.closed.append(connection)
