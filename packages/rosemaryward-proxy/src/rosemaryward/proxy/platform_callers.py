"""Start-ups and sessions of the callers of one proxy on the users' platform."""

from collections.abc import Callable

import anyio
import structlog

from rosemaryward.decisions.clients import ClientLimits
from rosemaryward.decisions.gateway.environment import Environment
from rosemaryward.decisions.gateway.execution import Executor
from rosemaryward.decisions.gateway.outcomes import ConnectionState, Failure, Reply
from rosemaryward.decisions.gateway.session import CallerSession
from rosemaryward.decisions.mirror import FollowerSource, StoreMirror
from rosemaryward.decisions.tenants import (
    AuthorizationError,
    CallerAccess,
    CallerKey,
    RefusalCause,
)
from rosemaryward.platform.callers import (
    UNKNOWN_ROUTE,
    LineCallerChannel,
    LineCallerServer,
)
from rosemaryward.platform.line_protocol import ENCODING
from rosemaryward.proxy.platform_tenants import TenantAccess
from rosemaryward.proxy.statement_log import StatementLog

__all__ = ["CONFIGURATION_MAX_AGE_S", "CallerService"]

# A database that a configuration has added must be served 3 s later at the latest, and
# a key that it has added 5 s later.
CONFIGURATION_MAX_AGE_S = 2.5
CONFIGURATION_TIMEOUT_S = 1.5  # callers give up their start-up after 2 s

log = structlog.get_logger(__name__)


class CallerService:
    """Decides on the start-ups of callers and runs their sessions.

    Parameters
    ----------
    address : str
        ``host:port`` to listen on.
    environment : callable
        Returns the configuration in force.
    mirror : StoreMirror
        Mirror of the store, for the age of the configuration.
    source : FollowerSource
        Source of the mirror, for log lines.
    executor : callable
        Returns what runs the statements.
    statement_log : StatementLog
        Receives the outcomes of the statements.
    tenants : TenantAccess
        Authorizes the callers.
    limits : ClientLimits
        Limits on the connections of all callers.

    Attributes
    ----------
    configured : anyio.Event
        Set once a configuration is in force.
    sessions : set of CallerSession
        Open sessions.
    server : LineCallerServer
        Accepts the callers.
    """

    def __init__(
        self,
        address: str,
        environment: Callable[[], Environment],
        mirror: StoreMirror,
        source: FollowerSource,
        executor: Callable[[], Executor],
        statement_log: StatementLog,
        tenants: TenantAccess,
        limits: ClientLimits,
    ) -> None:
        self.environment = environment
        self.mirror = mirror
        self.source = source
        self.executor = executor
        self.statement_log = statement_log
        self.tenants = tenants
        self.configured = anyio.Event()
        self.sessions: set[CallerSession] = set()
        self.server = LineCallerServer(
            address, self.has_route, self.serve, self.check_key, limits
        )

    def _is_current(self) -> bool:
        """Return whether the configuration lacks nothing that is old enough."""
        bound_s = self.tenants.settings().bounds.config_apply_s
        return self.mirror.age_s() <= min(CONFIGURATION_MAX_AGE_S, bound_s)

    async def has_route(self, database: str) -> bool | None:
        """Return whether a database has a route, None if that is not known.

        A configuration that may be out of date does not tell that a database has
        none, so the caller waits for a moment.
        """
        with anyio.move_on_after(CONFIGURATION_TIMEOUT_S):
            await self.configured.wait()
            while database not in self.environment().routes and not self._is_current():
                await self.mirror.progressed.wait()
        if database in self.environment().routes:
            return True
        log.info(
            "database has no route",
            database=self.tenants.loggable_database(database),
            configuration=self.environment().version,
            revision=self.mirror.revision,
            age_s=round(self.mirror.age_s(), 3),
            source=self.source.selected,
        )
        return False if self.environment().version and self._is_current() else None

    async def check_key(
        self, database: str, caller: str, received_at: float
    ) -> Reply | None:
        """Return the refusal of a caller whose key is not accepted, else None.

        As for a route, a caller waits for a moment if its key may be in a newer
        configuration, and while a process that has just started has no proof.

        Parameters
        ----------
        database : str
            Database that the caller uses; it has a route.
        caller : str
            Key of the caller.
        received_at : float
            Time of the event loop at which the start-up arrived, in seconds.
        """
        access = self.tenants.access(CallerKey(caller.encode(ENCODING)))
        with anyio.CancelScope(deadline=received_at + CONFIGURATION_TIMEOUT_S):
            while self._may_become_valid(database, access.key):
                await self.mirror.progressed.wait()
        try:
            access.authorizer.authorize(access.key, self._is_public(database))
        except AuthorizationError as error:
            return self._refuse(access, error)
        return None

    def _is_public(self, database: str) -> bool:
        route = self.environment().routes.get(database)
        return route is not None and route.public

    def _may_become_valid(self, database: str, key: CallerKey) -> bool:
        """Return whether newer data from the store may show that a key is valid."""
        directory = self.environment().tenants
        if directory is None or self._is_public(database):
            return False
        if directory.find(key) is None:
            return not self._is_current()
        is_starting = self.mirror.age_s() == float("inf")
        return is_starting and not self.tenants.authorizer.proof.holds()

    def _refuse(self, access: CallerAccess, error: AuthorizationError) -> Reply:
        """Return the refusal of a caller, as unknown only if nothing newer may know."""
        idle = ConnectionState.IDLE
        if error.cause is RefusalCause.UNKNOWN_KEY and self._is_current():
            access.record_refusal(error.cause)
            return Reply(idle, failure=Failure.UNKNOWN_KEY, reason=error.reason)
        access.record_refusal(RefusalCause.NO_PROOF)
        reason = (
            UNKNOWN_ROUTE if error.cause is RefusalCause.UNKNOWN_KEY else error.reason
        )
        return Reply(idle, failure=Failure.BUSY, reason=f"not run: {reason}")

    async def serve(
        self, channel: LineCallerChannel, database: str, caller: str
    ) -> None:
        """Run the session of a caller until it ends."""
        session = CallerSession(
            channel,
            database,
            caller,
            self.executor(),
            self.environment,
            self.statement_log,
            access=self.tenants.access(CallerKey(caller.encode(ENCODING))),
        )
        if channel.lines.client is not None:
            channel.lines.client.end = session.end
        if self.server.refusal:
            session.end(self.server.refusal)
        self.sessions.add(session)
        try:
            await session.run()
        finally:
            self.sessions.discard(session)
