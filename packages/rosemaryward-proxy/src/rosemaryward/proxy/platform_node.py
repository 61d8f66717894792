"""Proxy process on the users' platform: wires the adapter and the decisions."""

import secrets
from collections.abc import Callable
from pathlib import Path

import anyio
import msgspec
import structlog

from rosemaryward.decisions.clock import boot_time_s
from rosemaryward.decisions.errors import (
    ConflictError,
    DocumentError,
    EndpointError,
    SettingsError,
    StoreError,
)
from rosemaryward.decisions.gateway.directory import EndpointDirectory
from rosemaryward.decisions.gateway.environment import Environment
from rosemaryward.decisions.gateway.execution import Executor
from rosemaryward.decisions.gateway.session import CallerSession
from rosemaryward.decisions.gateway.targets import TargetSelector
from rosemaryward.decisions.leadership.change import PrimaryChange
from rosemaryward.decisions.leadership.duty import DutyRecord, FailoverDuty
from rosemaryward.decisions.leadership.members import (
    FenceReply,
    FenceRequest,
    MemberDirectory,
    MemberRecord,
    ReachReply,
    ReachRequest,
)
from rosemaryward.decisions.leadership.records import GroupRecord, Leadership
from rosemaryward.decisions.leadership.supervisor import GroupSupervisor
from rosemaryward.decisions.mirror import (
    LeaseLostError,
    LeaseStore,
    StoredValue,
    StoreMirror,
)
from rosemaryward.operators.metrics import ProxyMetrics
from rosemaryward.peers.fleet import FleetChannel, FleetServer
from rosemaryward.platform.callers import CallerLineServer, LineCallerChannel
from rosemaryward.platform.configuration import (
    CONFIGURATION_KEY,
    REGISTRATION_PREFIX,
    decode_endpoint,
    decode_environment,
)
from rosemaryward.platform.instances import LineConnector, LineGroupControl
from rosemaryward.platform.promotion import PlatformPromoter
from rosemaryward.platform.readiness import HttpAnswers
from rosemaryward.platform.settings import HostSettings, read_settings
from rosemaryward.platform.store import PlatformStore
from rosemaryward.proxy.statement_log import StatementLog

__all__ = ["PlatformNode"]

KEY_PREFIX = "rosemaryward/"
MEMBER_PREFIX = KEY_PREFIX + "members/"
GROUP_PREFIX = KEY_PREFIX + "groups/"
DUTY_KEY = KEY_PREFIX + "duty"

MEMBER_LEASE_S = 10.0
MEMBER_RENEWAL_S = 3.0
RETRY_PAUSE_S = 0.3
SWEEP_INTERVAL_S = 0.25
SETTINGS_POLL_S = 1.0
PATIENCE_LIMIT_S = 0.3
OUT_OF_ROTATION_S = 2.2  # the balancer asks once a second and wants two misses
EXIT_MARGIN_S = 0.7  # of the grace period, left for giving back the duty
TRANSACTION_SHARE = 0.45  # of the grace period
NO_ENVIRONMENT = Environment(version=0, routes={}, groups={}, transaction_idle_s=3.0)

STATUS_READY = 200
STATUS_NOT_READY = 503

log = structlog.get_logger(__name__)


class RecordSubscriber:
    """Hands the decoded values of one prefix to a consumer.

    Parameters
    ----------
    prefix : str
    written, removed : callable
        Called with the key without its prefix; `written` also with the value.
    """

    def __init__(
        self,
        prefix: str,
        written: Callable[[str, StoredValue], None],
        removed: Callable[[str], None],
    ) -> None:
        self.prefix = prefix
        self.on_written = written
        self.on_removed = removed

    def written(self, stored: StoredValue) -> None:
        """Take over a value; one that cannot be read is logged and left out."""
        name = stored.key.removeprefix(self.prefix)
        try:
            self.on_written(name, stored)
        except (DocumentError, msgspec.DecodeError) as error:
            log.warning(
                "unreadable entry",
                key=stored.key,
                revision=stored.revision,
                error=str(error),
            )
            self.on_removed(name)

    def removed(self, key: str) -> None:
        """Forget a value."""
        self.on_removed(key.removeprefix(self.prefix))


class GroupRecordWriter:
    """Writes group records to the store.

    Parameters
    ----------
    store : LeaseStore
    """

    def __init__(self, store: LeaseStore) -> None:
        self.store = store

    async def write(self, group: str, record: GroupRecord, expected: int) -> int:
        """Return the new revision; raises `ConflictError` and `StoreError`."""
        value = msgspec.json.encode(record)
        return await self.store.write(GROUP_PREFIX + group, value, expected)


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
        self.metrics = ProxyMetrics(settings.name)
        self.statements = StatementLog(self.metrics)
        self.store = PlatformStore(settings.store_address)
        self.connector = LineConnector(settings.name)
        self.directory = EndpointDirectory(self.connector)
        self.leadership = Leadership()
        self.members = MemberDirectory()
        self.control = LineGroupControl(self.directory)
        self.promoter = PlatformPromoter(settings.promotion_address)
        self.peers = FleetChannel()
        self.writer = GroupRecordWriter(self.store)
        self.selector = TargetSelector(self.directory, self.leadership, settings.place)
        self.executor = Executor(self.selector, self.statements.attempt_failed)
        self.duty = FailoverDuty(
            self.store,
            DUTY_KEY,
            settings.name,
            self.incarnation,
            secrets.randbelow(1000) * PATIENCE_LIMIT_S / 1000,
        )
        self.mirror = StoreMirror(
            self.store, self._subscribers(), GROUP_PREFIX, self.leadership.confirm
        )
        self.sessions: set[CallerSession] = set()
        self.supervised: set[str] = set()
        self.draining = False
        self.member_lease = 0
        self.member_revision = 0

    def _subscribers(self) -> dict[str, RecordSubscriber]:
        subscribers = [
            RecordSubscriber(
                CONFIGURATION_KEY, self._configure, self._configuration_removed
            ),
            RecordSubscriber(
                REGISTRATION_PREFIX, self._observe_endpoint, self.directory.lose
            ),
            RecordSubscriber(MEMBER_PREFIX, self._observe_member, self._lose_member),
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
                FleetServer(self.settings.peer_address, self._answer_member).run,
                self.mirror.run,
                self._register,
                self._hold_duty,
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
        await self.duty.give_back()
        await self._wait_for_sessions(started_at + OUT_OF_ROTATION_S, idle=False)
        for session in list(self.sessions):
            session.end()
        await self._wait_for_sessions(started_at + grace_s * TRANSACTION_SHARE)
        for session in list(self.sessions):
            session.end(abandon_transaction=True)
        await self._wait_for_sessions(started_at + grace_s - EXIT_MARGIN_S)
        with anyio.move_on_after(EXIT_MARGIN_S / 2):
            await self._unregister()
        log.info("drain ends", took_s=round(boot_time_s() - started_at, 3))

    async def _wait_for_sessions(self, until: float, idle: bool = True) -> None:
        while boot_time_s() < until and (self.sessions or not idle):
            await anyio.sleep(0.05)

    def is_ready(self) -> bool:
        """Return whether the proxy can serve callers."""
        if self.draining or not self.mirror.loaded.is_set():
            return False
        return self.environment.version > 0 and bool(self.directory.endpoints)

    # Adapters' servers

    def _caller_server(self) -> CallerLineServer:
        return CallerLineServer(
            self.settings.caller_address,
            lambda database: database in self.environment.routes,
            self._serve_caller,
        )

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

    def _readiness(self) -> HttpAnswers:
        def answer() -> tuple[int, bytes]:
            if self.is_ready():
                return STATUS_READY, b"ready\n"
            return STATUS_NOT_READY, b"not ready\n"

        return HttpAnswers(self.settings.readiness_address, {"/ready": answer})

    def _metrics_page(self) -> HttpAnswers:
        def answer() -> tuple[int, bytes]:
            self.metrics.set_caller_connections(len(self.sessions))
            return STATUS_READY, self.metrics.render()[0]

        return HttpAnswers(self.settings.metrics_address, {"/metrics": answer})

    async def _answer_member(
        self, request: FenceRequest | ReachRequest
    ) -> FenceReply | ReachReply:
        if isinstance(request, FenceRequest):
            position = await self.leadership.fence_and_drain(
                request.group, request.epoch
            )
            return FenceReply(self.incarnation, position)
        try:
            await self.control.status(request.endpoint)
        except EndpointError as error:
            log.info("endpoint not reached", endpoint=request.endpoint, error=str(error))
            return ReachReply(False)
        return ReachReply(True)

    # Values in the store

    def _configure(self, name: str, stored: StoredValue) -> None:
        environment = decode_environment(stored.value)
        if environment.version <= self.environment.version:
            return
        self.environment = environment
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

    def _observe_member(self, name: str, stored: StoredValue) -> None:
        self.members.observe(msgspec.json.decode(stored.value, type=MemberRecord))
        if name == self.settings.name:
            self.member_revision = stored.revision

    def _lose_member(self, name: str) -> None:
        self.members.lose(name)
        if name == self.settings.name:
            self.member_revision = 0

    def _observe_group(self, name: str, stored: StoredValue) -> None:
        record = msgspec.json.decode(stored.value, type=GroupRecord)
        self.leadership.observe(name, record, stored.revision)

    def _group_removed(self, name: str) -> None:
        log.warning("group record removed", group=name)

    def _observe_duty(self, name: str, stored: StoredValue) -> None:
        record = msgspec.json.decode(stored.value, type=DutyRecord)
        self.duty.observe(record, stored.revision)

    def _duty_removed(self, name: str) -> None:
        self.duty.removed()

    # Tasks

    async def _register(self) -> None:
        """Keep this proxy's member key in the store."""
        await self.mirror.loaded.wait()
        name, address = self.settings.name, self.settings.peer_address
        record = MemberRecord(name, address, self.incarnation)
        value = msgspec.json.encode(record)
        while True:
            pause_s = MEMBER_RENEWAL_S
            try:
                if self.members.members.get(name) != record or not self.member_lease:
                    self.member_lease = await self.store.grant_lease(MEMBER_LEASE_S)
                    self.member_revision = await self.store.write(
                        MEMBER_PREFIX + name,
                        value,
                        self.member_revision,
                        self.member_lease,
                    )
                    self.members.observe(record)
                else:
                    await self.store.renew_lease(self.member_lease)
            except LeaseLostError:
                log.warning("member lease lost")
                self.member_lease = 0
                pause_s = RETRY_PAUSE_S
            except ConflictError:
                log.info("member key changed by another process of this name")
                pause_s = RETRY_PAUSE_S
            except StoreError as error:
                log.info("member call unanswered", error=str(error))
                pause_s = RETRY_PAUSE_S
            await anyio.sleep(pause_s)

    async def _unregister(self) -> None:
        if not self.member_lease:
            return
        try:
            await self.store.end_lease(self.member_lease)
        except StoreError as error:
            log.info("member key not removed", error=str(error))

    async def _hold_duty(self) -> None:
        await self.mirror.loaded.wait()
        await self.duty.run()

    async def _sweep(self) -> None:
        while True:
            await anyio.sleep(SWEEP_INTERVAL_S)
            self.directory.sweep()

    async def _supervise(self) -> None:
        """Start a supervisor for each group that appears."""
        async with anyio.create_task_group() as tasks:
            while True:
                for endpoint in list(self.directory.endpoints.values()):
                    if endpoint.group not in self.supervised:
                        self.supervised.add(endpoint.group)
                        tasks.start_soon(self._supervisor(endpoint.group).run)
                await anyio.sleep(SWEEP_INTERVAL_S)

    def _supervisor(self, group: str) -> GroupSupervisor:
        return GroupSupervisor(
            group,
            self.duty,
            self.directory,
            self.leadership,
            self.members,
            self.peers,
            self.control,
            self.writer,
            self._new_change,
        )

    def _new_change(self, group: str) -> PrimaryChange:
        return PrimaryChange(
            group,
            self.duty,
            self.directory,
            self.leadership,
            self.members,
            self.peers,
            self.control,
            self.promoter,
            self.writer,
        )

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
