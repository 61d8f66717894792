"""Connections that reach an endpoint through its relay."""

import itertools
from collections.abc import Callable
from typing import Protocol

from rosemaryward.decisions.clock import boot_time_s
from rosemaryward.decisions.errors import OutcomeUnknownError, PeerError
from rosemaryward.decisions.gateway.connections import Connection, EndpointPool
from rosemaryward.decisions.gateway.directory import EndpointDirectory
from rosemaryward.decisions.gateway.environment import Endpoint
from rosemaryward.decisions.gateway.outcomes import (
    Answer,
    ConnectionState,
    Failure,
    RelayRefusedError,
    RelayUnavailableError,
    UnansweredError,
)
from rosemaryward.decisions.gateway.statements import (
    AdmissionParameters,
    ControlStatement,
    NamedStatement,
    PreparedStatement,
    Statement,
    StatementKind,
)
from rosemaryward.decisions.leadership.members import MemberRecord
from rosemaryward.decisions.relays.messages import (
    Answered,
    BeginRequest,
    CloseRequest,
    LeasedRequest,
    Refused,
    RelayReply,
    RelayRequest,
    RollBackRequest,
    RunRequest,
)
from rosemaryward.decisions.relays.selection import RelaySelector
from rosemaryward.decisions.types import LogPosition

__all__ = ["RelayConnector", "RelayLink", "RelayLinkProvider", "StatementPools"]


class RelayLink(Protocol):
    """Connection to one relay, shared by all statements of this proxy.

    Attributes
    ----------
    name : str
        Name of the relay.
    member : MemberRecord
        Registration of the relay.
    """

    name: str
    member: MemberRecord

    async def request(self, message: RelayRequest) -> RelayReply:
        """Return the reply; raises `OutcomeUnknownError` if the relay is lost."""

    def post(self, message: RelayRequest) -> None:
        """Send a request that has no reply."""


class RelayLinkProvider(Protocol):
    """Opens the connections to relays and shares them among statements."""

    async def link(self, member: MemberRecord) -> RelayLink:
        """Return the connection to a relay; raises `PeerError` if it is unreachable."""


class _RelayedConnection:
    """Connection that exists at the relay only while a statement or transaction runs.

    Parameters
    ----------
    endpoint : Endpoint
        Endpoint behind the relay.
    connector : RelayConnector
        Connector that made it.

    Attributes
    ----------
    values : dict of str to str
        Session values, sent with each statement.
    link : RelayLink or None
        Link of the last statement or transaction.
    lease : int
        Lease of the open transaction's connection at the relay, 0 without one.
    """

    __slots__ = ("connector", "endpoint", "lease", "link", "values")

    def __init__(self, endpoint: Endpoint, connector: "RelayConnector") -> None:
        self.endpoint = endpoint
        self.connector = connector
        self.values: dict[str, str] = {}
        self.link: RelayLink | None = None
        self.lease = 0

    async def execute(
        self,
        statement: Statement,
        named: NamedStatement | None,
        min_position: LogPosition | None,
        admission: AdmissionParameters | None,
    ) -> Answer:
        """Run a caller's statement; raises `ConnectError` if it was not sent."""
        assert admission is not None
        prepared = None if named is None else named.prepared
        if statement.kind is StatementKind.EXECUTE:
            # The relay builds the text with its own name of the prepared statement.
            statement = Statement(
                statement.request_id, statement.kind, "", argument=statement.argument
            )
        if self.lease:
            return await self._request(
                LeasedRequest(self.lease, statement, self.values, prepared, admission)
            )
        self.link = await self.connector.link(self.endpoint)
        return await self._request(
            RunRequest(
                self.endpoint.id,
                statement,
                self.values,
                prepared,
                min_position,
                admission,
            )
        )

    async def begin(
        self,
        read_only: bool,
        min_position: LogPosition | None,
        admission: AdmissionParameters | None,
    ) -> Answer:
        """Begin a transaction; raises `ConnectError` if it was not sent."""
        assert admission is not None
        self.link = await self.connector.link(self.endpoint)
        lease = next(self.connector.leases)
        request = BeginRequest(
            self.endpoint.id, lease, read_only, self.values, min_position, admission
        )
        self.lease = lease
        try:
            return await self._request(request)
        except RelayRefusedError:
            self.lease = 0
            raise

    async def roll_back(self) -> Answer:
        """Roll back the open transaction."""
        if not self.lease:
            return self._local_answer()
        return await self._request(RollBackRequest(self.lease))

    async def set_value(self, name: str, value: str) -> Answer:
        """Set a session value, which is sent with each later statement."""
        self.values[name] = value
        return self._local_answer()

    async def prepare(self, name: str, prepared: PreparedStatement) -> Answer:
        """Confirm a statement, which is sent with each execution."""
        return self._local_answer()

    async def deallocate(self, name: str) -> Answer:
        """Confirm that a statement is no longer sent."""
        return self._local_answer()

    async def reset(self) -> Answer:
        """Clear all session values and prepared statements."""
        self.values = {}
        return self._local_answer()

    async def run_control(self, control: ControlStatement) -> Answer:
        """Raise `UnansweredError`: control statements use direct connections."""
        raise UnansweredError(
            f"control statement {control.kind.name} needs a direct connection, "
            "but this one is relayed"
        )

    async def aclose(self) -> None:
        """Have the relay close the connection of an open transaction."""
        if self.lease and self.link is not None:
            self.link.post(CloseRequest(self.lease))
        self.lease = 0

    def _local_answer(self) -> Answer:
        """Return the answer to a statement that needs no message to the relay."""
        state = ConnectionState.TRANSACTION if self.lease else ConnectionState.IDLE
        return Answer([], "-", state)

    async def _request(self, message: RelayRequest) -> Answer:
        """Send a request to the relay and return the endpoint's answer.

        Raises
        ------
        ConnectError
            If the relay refused the statement, which then did not run.
        UnansweredError
            If the relay was lost before it replied, or the endpoint gave it no
            complete answer.
        """
        assert self.link is not None
        try:
            reply = await self.link.request(message)
        except OutcomeUnknownError as error:
            self.lease = 0
            raise UnansweredError(
                f"relay {self.link.name} was lost before it replied: {error}"
            ) from error
        if isinstance(reply, Answered):
            if reply.answer.state is ConnectionState.IDLE:
                self.lease = 0
            return reply.answer
        if isinstance(reply, Refused):
            if reply.failure is Failure.WRONG_ENDPOINT:
                # A process that started while the store is away knows no endpoint.
                self.connector.selector.avoid(self.link.member, reply.reason)
            raise RelayRefusedError(
                reply.failure,
                f"at relay {self.link.name}: {reply.reason}",
                reply.load,
                reply.answers,
            )
        self.lease = 0
        reason = getattr(reply, "reason", type(reply).__name__)
        raise UnansweredError(f"at relay {self.link.name}: {reason}")


class RelayConnector:
    """Opens connections through relays, without a message before their first use.

    Parameters
    ----------
    selector : RelaySelector
        Selects the relay of an endpoint.
    link_provider : RelayLinkProvider
        Connections to the relays.
    close_soon : callable
        Schedules the close of a connection.

    Attributes
    ----------
    leases : iterator of int
        Lease numbers that this process has not used.
    """

    def __init__(
        self,
        selector: RelaySelector,
        link_provider: RelayLinkProvider,
        close_soon: Callable[[Connection], None],
    ) -> None:
        self.selector = selector
        self.link_provider = link_provider
        self.close_soon = close_soon
        self.leases = itertools.count(1)

    async def connect(self, endpoint: Endpoint, tenant: str = "") -> Connection:
        """Return a connection; sends nothing to the relay yet.

        The relay gets the tenant with the parameters of each statement.
        """
        return _RelayedConnection(endpoint, self)

    def discard(self, connection: Connection) -> None:
        """Schedule the close of a connection, which rolls back its transaction."""
        self.close_soon(connection)

    async def link(self, endpoint: Endpoint) -> RelayLink:
        """Return the connection to an endpoint's relay.

        Raises
        ------
        RelayUnavailableError
            If there is no relay or it cannot be reached.
        """
        member = self.selector.select_relay(endpoint)
        if member is None:
            raise RelayUnavailableError(
                Failure.BUSY, "no relay is selected for the endpoint any more"
            )
        try:
            return await self.link_provider.link(member)
        except PeerError as error:
            self.selector.avoid(member, str(error))
            raise RelayUnavailableError(Failure.BUSY, str(error)) from error


class StatementPools:
    """Pools of the endpoints for callers' statements, direct or through a relay.

    Parameters
    ----------
    directory : EndpointDirectory
        Registered endpoints with their direct pools.
    selector : RelaySelector
        Decides whether an endpoint is reached through a relay.
    connector : RelayConnector
        Opens the relayed connections.
    clock : callable, optional
        Returns the boot time in seconds.

    Attributes
    ----------
    relayed : dict of str to EndpointPool
        Pools of relayed connections by endpoint id.
    """

    def __init__(
        self,
        directory: EndpointDirectory,
        selector: RelaySelector,
        connector: RelayConnector,
        clock: Callable[[], float] = boot_time_s,
    ) -> None:
        self.directory = directory
        self.selector = selector
        self.connector = connector
        self.clock = clock
        self.relayed: dict[str, EndpointPool] = {}

    def pool(self, endpoint_id: str) -> EndpointPool | None:
        """Return the pool for an endpoint, None if it is not registered."""
        direct = self.directory.pools.get(endpoint_id)
        if direct is None:
            self.relayed.pop(endpoint_id, None)
            return None
        if self.selector.select_relay(direct.endpoint) is None:
            return direct
        relayed = self.relayed.get(endpoint_id)
        if relayed is None or relayed.endpoint.address != direct.endpoint.address:
            relayed = EndpointPool(
                direct.endpoint, self.connector, self.clock, relayed=True
            )
            self.relayed[endpoint_id] = relayed
        elif relayed.endpoint != direct.endpoint:
            relayed.update(direct.endpoint)
        relayed.queue.set_weights(self.directory.weights)
        return relayed
