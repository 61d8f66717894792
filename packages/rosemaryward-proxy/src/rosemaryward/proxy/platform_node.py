"""Proxy process on the users' platform: wires the adapter and the decisions."""

import functools
import secrets
from collections.abc import Awaitable, Callable
from pathlib import Path

import anyio
import msgspec
import structlog

from rosemaryward.decisions.clock import boot_time_s
from rosemaryward.decisions.errors import (
    PeerError,
    SettingsError,
)
from rosemaryward.decisions.gateway.directory import EndpointDirectory
from rosemaryward.decisions.gateway.environment import Environment
from rosemaryward.decisions.gateway.execution import Executor
from rosemaryward.decisions.gateway.session import CallerSession
from rosemaryward.decisions.gateway.targets import TargetSelector
from rosemaryward.decisions.leadership.change import FailoverContext
from rosemaryward.decisions.leadership.confirmation import Confirmation
from rosemaryward.decisions.leadership.failover_lock import FailoverLock, LockRecord
from rosemaryward.decisions.leadership.liveness import LivenessDelegate
from rosemaryward.decisions.leadership.members import (
    MemberDirectory,
    MemberRecord,
    ReleaseRequest,
)
from rosemaryward.decisions.leadership.readers import readers_to_follow
from rosemaryward.decisions.leadership.records import GroupRecord, Leadership
from rosemaryward.decisions.leadership.supervisor import PrimarySupervisor
from rosemaryward.decisions.mirror import (
    ChangesReply,
    ChangesRequest,
    FollowerSource,
    StoredValue,
    StoreMirror,
)
from rosemaryward.decisions.relays.connections import RelayConnector, StatementPools
from rosemaryward.decisions.relays.selection import RelaySelector, relay_capacity
from rosemaryward.decisions.relays.service import RelayService
from rosemaryward.operators.metrics import ProxyMetrics
from rosemaryward.peers.members import MemberClient, MemberServer
from rosemaryward.peers.relays import RelayClient, RelayServer
from rosemaryward.platform.callers import CallerLineServer, LineCallerChannel
from rosemaryward.platform.configuration import (
    CONFIGURATION_KEY,
    REGISTRATION_PREFIX,
    decode_endpoint,
    decode_environment,
)
from rosemaryward.platform.instances import LineConnector, LineGroupControl
from rosemaryward.platform.promotion import PlatformPromoter
from rosemaryward.platform.readiness import READINESS_PATH, HttpAnswers
from rosemaryward.platform.settings import HostSettings, read_settings
from rosemaryward.platform.store import PlatformStore
from rosemaryward.proxy.platform_keys import (
    AGREED_PREFIX,
    ALIVE_PREFIX,
    DUTY_KEY,
    GROUP_PREFIX,
    MEMBER_PREFIX,
    GroupRecordWriter,
    RecordSubscriber,
)
from rosemaryward.proxy.platform_registration import Registration
from rosemaryward.proxy.platform_requests import MemberRequests
from rosemaryward.proxy.statement_log import StatementLog

__all__ = ["PlatformNode"]

UNREADY_AFTER_S = 2.0  # left of a confirmation; the balancer needs two misses
SWEEP_INTERVAL_S = 0.25
SETTINGS_POLL_S = 1.0
PATIENCE_LIMIT_S = 0.3
OUT_OF_ROTATION_S = 2.2  # the balancer asks once a second and wants two misses
EXIT_MARGIN_S = 0.7  # of the grace period, left for giving back the duty
TRANSACTION_SHARE = 0.45  # of the grace period
NO_ENVIRONMENT = Environment(version=0, routes={}, groups={}, transaction_idle_s=3.0)

FIRST_CONFIGURATION_S = 1.5  # callers wait 2 s for the answer to their start-up
STATUS_READY = 200
STATUS_NOT_READY = 503

ReaderCall = Callable[[ChangesRequest], Awaitable[ChangesReply]]

log = structlog.get_logger(__name__)


class PlatformNode:
    """One proxy on the users' platform.

    Parameters
    ----------
    settings : HostSettings
    settings_path : Path
        Checked for changes.
    """

    def __init__(self, settings: HostSettings, settings_path: Path) -> None:
        self.settings = settings
        self.settings_path = settings_path
        self.incarnation = secrets.token_hex(8)
        self.environment = NO_ENVIRONMENT
        self.configured = anyio.Event()
        self.metrics = ProxyMetrics(settings.name)
        self.store = PlatformStore(settings.store_address)
        self.connector = LineConnector(settings.name)
        self.leadership = Leadership()
        self.statements = StatementLog(
            self.metrics, self.leadership, lambda: self.environment.version
        )
        self.members = MemberDirectory()
        self.relays = RelaySelector(settings.name, self.members, self._connection_limit)
        self.directory = EndpointDirectory(
            self.connector, connection_cap=self.relays.connection_cap
        )
        self.control = LineGroupControl(self.directory)
        self.promoter = PlatformPromoter(settings.promotion_address)
        self.peers = MemberClient()
        self.writer = GroupRecordWriter(self.store)
        self.relay_client = RelayClient(settings.name, self.relays.avoid)
        self.pools = StatementPools(
            self.directory,
            self.relays,
            RelayConnector(self.relays, self.relay_client, self.connector.discard),
        )
        self.selector = TargetSelector(
            self.directory,
            self.leadership,
            settings.place,
            find_pool=self.pools.pool,
        )
        self.relay_service = RelayService(
            self.directory, self.leadership, self.selector.group_samples
        )
        self.relay_server = RelayServer(settings.relay_address, self.relay_service)
        self.executor = Executor(self.selector, self.statements.attempt_failed)
        self.duty = FailoverLock(
            self.store,
            DUTY_KEY,
            settings.name,
            self.incarnation,
            secrets.randbelow(1000) * PATIENCE_LIMIT_S / 1000,
            settings.first_start,
            self._ask_release,
        )
        self.confirmation = Confirmation(
            self.incarnation,
            self.leadership,
            self.peers,
            directory=self.members,
            on_request=lambda incarnation: self.sponsor.record_request(incarnation),
        )
        self.registration = Registration(
            MemberRecord(
                settings.name,
                settings.peer_address,
                self.incarnation,
                settings.relay_address,
                settings.place,
                relay_capacity(settings.cores, settings.link_mbps),
            ),
            self.store,
            self.members,
            self.duty,
            self.confirmation,
        )
        self.mirror = StoreMirror(
            self.store,
            self._subscribers(),
            AGREED_PREFIX,
            self.registration.note_read,
            self.confirmation.confirm_through_reader,
            self.confirmation.watch_pause_s,
            FollowerSource(self.store, self._readers),
        )
        self.sponsor = LivenessDelegate(
            settings.name,
            self.members,
            self.store,
            ALIVE_PREFIX,
            lambda: self.registration.lease,
            self.mirror.confirm_now,
        )
        self.sessions: set[CallerSession] = set()
        self.session_ended = anyio.Event()
        self.supervised: set[str] = set()
        self.draining = False

    def _subscribers(self) -> dict[str, RecordSubscriber]:
        subscribers = [
            RecordSubscriber(
                CONFIGURATION_KEY, self._configure, self._configuration_removed
            ),
            RecordSubscriber(
                REGISTRATION_PREFIX,
                self._observe_endpoint,
                self.directory.mark_unregistered,
            ),
            RecordSubscriber(
                MEMBER_PREFIX, self.registration.observe, self.members.remove
            ),
            RecordSubscriber(
                ALIVE_PREFIX,
                lambda name, stored: self.members.mark_alive(name),
                self.members.mark_absent,
            ),
            RecordSubscriber(GROUP_PREFIX, self._observe_group, self._group_removed),
            RecordSubscriber(DUTY_KEY, self._observe_duty, self._duty_removed),
        ]
        return {subscriber.prefix: subscriber for subscriber in subscribers}

    async def run(self, stopping: anyio.Event) -> None:
        """Serve until `stopping` is set, then drain."""
        log.info(
            "proxy starts", incarnation=self.incarnation, place=self.settings.place
        )
        async with self.store, anyio.create_task_group() as tasks:
            for task in (
                self.connector.run,
                self._caller_server().run,
                self._readiness().run,
                self._metrics_page().run,
                self._fleet_server().run,
                self.relay_server.run,
                self.relay_client.run,
                self.mirror.run,
                self._register,
                self._hold_duty,
                self.registration.forget,
                self.sponsor.run,
                self.confirmation.run,
                self._sweep,
                self._supervise,
                self._watch_settings,
            ):
                tasks.start_soon(task)
            await stopping.wait()
            await self.drain()
            tasks.cancel_scope.cancel()
        log.info("proxy stops", sessions=len(self.sessions))

    def reload(self) -> None:
        """Read the settings again and apply what may change while running."""
        try:
            settings = read_settings(self.settings_path)
        except SettingsError as error:
            log.warning("settings kept", error=str(error))
            return
        if settings == self.settings:
            log.info("settings unchanged")
            return
        fixed = ("name", "caller_address", "readiness_address", "peer_address")
        for field in fixed:
            if getattr(settings, field) != getattr(self.settings, field):
                log.warning("setting needs a restart", field=field)
        self.settings = settings
        self.store.move(settings.store_address)
        self.promoter.address = settings.promotion_address
        log.info("settings reloaded")

    async def drain(self) -> None:
        """Let statements and transactions end, then give back what is held."""
        grace_s = self.settings.grace_s
        started_at = boot_time_s()
        self.draining = True
        log.info("drain begins", sessions=len(self.sessions), grace_s=grace_s)
        await self.duty.release()
        self.relay_server.leave()
        await anyio.sleep(OUT_OF_ROTATION_S)
        for session in list(self.sessions):
            session.end()
        await self._wait_for_sessions(started_at + grace_s * TRANSACTION_SHARE)
        for session in list(self.sessions):
            session.end(abandon_transaction=True)
        await self._wait_for_sessions(started_at + grace_s - EXIT_MARGIN_S)
        with anyio.move_on_after(EXIT_MARGIN_S / 2):
            await self.registration.end()
        log.info("drain ends", took_s=round(boot_time_s() - started_at, 3))

    async def _wait_for_sessions(self, until: float) -> None:
        """Return when no work is left, at the latest at a boot time."""
        with anyio.move_on_after(max(until - boot_time_s(), 0.0)):
            while self.sessions:
                await self.session_ended.wait()
            await self.relay_service.wait_until_idle()

    def is_ready(self) -> bool:
        """Return whether the proxy can serve callers."""
        if self.draining or self.environment.version == 0:
            return False
        return self.leadership.confirmation_left_s() > UNREADY_AFTER_S

    # Adapters' servers

    def _caller_server(self) -> CallerLineServer:
        return CallerLineServer(
            self.settings.caller_address,
            self._knows,
            self._serve_caller,
        )

    async def _knows(self, database: str) -> bool | None:
        """Return whether a route has a name, None without a configuration."""
        with anyio.move_on_after(FIRST_CONFIGURATION_S):
            await self.configured.wait()
        if not self.environment.version:
            return None
        return database in self.environment.routes

    async def _serve_caller(
        self, channel: LineCallerChannel, database: str, caller: str
    ) -> None:
        session = CallerSession(
            channel,
            database,
            caller,
            self.executor,
            lambda: self.environment,
            self.statements,
        )
        self.sessions.add(session)
        try:
            await session.run()
        finally:
            self.sessions.discard(session)
            self.session_ended.set()
            self.session_ended = anyio.Event()

    def _readiness(self) -> HttpAnswers:
        def answer() -> tuple[int, bytes]:
            if self.is_ready():
                return STATUS_READY, b"ready\n"
            return STATUS_NOT_READY, b"not ready\n"

        return HttpAnswers(self.settings.readiness_address, {READINESS_PATH: answer})

    def _metrics_page(self) -> HttpAnswers:
        def answer() -> tuple[int, bytes]:
            self.metrics.set_caller_connections(len(self.sessions))
            self.metrics.set_relayed_requests(self.relay_service.reply_counts)
            return STATUS_READY, self.metrics.render()[0]

        return HttpAnswers(self.settings.metrics_address, {"/metrics": answer})

    def _fleet_server(self) -> MemberServer:
        requests = MemberRequests(
            self.incarnation,
            self.leadership,
            self.confirmation,
            self.duty,
            self.directory,
            self.control,
            self.mirror.history,
        )
        return MemberServer(self.settings.peer_address, requests.answer)

    async def _readers(self) -> list[ReaderCall]:
        """Return how to ask the proxies that read the store for this one."""
        if not self.members.members:
            await self.registration.refresh()
        readers = readers_to_follow(
            self.members, self.settings.name, self.settings.place.failure_domain
        )
        return [
            functools.partial(self.peers.request_changes, reader) for reader in readers
        ]

    def _connection_limit(self, group: str) -> int | None:
        """Return how many connections an endpoint of a group accepts from all."""
        configured = self.environment.groups.get(group)
        return None if configured is None else configured.max_connections

    async def _ask_release(self, name: str, token: int) -> bool:
        """Return whether the member of a name no longer acts under a token."""
        member = self.members.members.get(name)
        if member is None:
            return False
        try:
            return await self.peers.release_lock(member, ReleaseRequest(token))
        except PeerError as error:
            log.info("last holder unreachable", member=name, error=str(error))
            return False

    # Values in the store

    def _configure(self, name: str, stored: StoredValue) -> None:
        environment = decode_environment(stored.value)
        if environment.version <= self.environment.version:
            return
        self.environment = environment
        self.configured.set()
        self.metrics.set_tenants(environment.routes)
        self.metrics.set_configuration(environment.version, 0.0)
        log.info(
            "configuration applied",
            version=environment.version,
            revision=stored.revision,
            routes=len(environment.routes),
        )

    def _configuration_removed(self, name: str) -> None:
        log.warning("configuration removed or unreadable; the last one stays in force")

    def _observe_endpoint(self, name: str, stored: StoredValue) -> None:
        self.directory.observe(
            decode_endpoint(stored.key, stored.value, self.settings.regions)
        )

    def _observe_group(self, name: str, stored: StoredValue) -> None:
        record = msgspec.json.decode(stored.value, type=GroupRecord)
        self.leadership.observe(name, record, stored.revision)

    def _group_removed(self, name: str) -> None:
        log.warning("group record removed", group=name)

    def _observe_duty(self, name: str, stored: StoredValue) -> None:
        record = msgspec.json.decode(stored.value, type=LockRecord)
        self.duty.observe(record, stored.revision)

    def _duty_removed(self, name: str) -> None:
        self.duty.observe_removal()

    # Tasks

    async def _register(self) -> None:
        await self.registration.run(self.mirror)

    async def _hold_duty(self) -> None:
        await self.mirror.loaded.wait()
        await self.duty.run()

    async def _sweep(self) -> None:
        while True:
            await anyio.sleep(SWEEP_INTERVAL_S)
            self.directory.remove_expired()
            if not self.leadership.is_confirmed():
                # Callers that connect again reach a proxy that can serve them.
                for session in list(self.sessions):
                    session.end()

    async def _supervise(self) -> None:
        """Start a supervisor for each group that appears."""
        async with anyio.create_task_group() as tasks:
            while True:
                for endpoint in list(self.directory.endpoints.values()):
                    if endpoint.group not in self.supervised:
                        self.supervised.add(endpoint.group)
                        tasks.start_soon(self._supervisor(endpoint.group).run)
                await anyio.sleep(SWEEP_INTERVAL_S)

    def _supervisor(self, group: str) -> PrimarySupervisor:
        collaborators = FailoverContext(
            lock=self.duty,
            directory=self.directory,
            leadership=self.leadership,
            members=self.members,
            peers=self.peers,
            control=self.control,
            promoter=self.promoter,
            writer=self.writer,
            confirmation=self.confirmation,
            refresh_members=self.registration.refresh,
        )
        return PrimarySupervisor(group, collaborators)

    async def _watch_settings(self) -> None:
        """Reload the settings when their file changes without a signal."""
        seen = self._settings_stamp()
        while True:
            await anyio.sleep(SETTINGS_POLL_S)
            stamp = self._settings_stamp()
            if stamp != seen:
                seen = stamp
                self.reload()

    def _settings_stamp(self) -> tuple[int, int]:
        try:
            status = self.settings_path.stat()
        except OSError as error:
            log.warning("settings file unreadable", error=str(error))
            return (0, 0)
        return (status.st_mtime_ns, status.st_size)
