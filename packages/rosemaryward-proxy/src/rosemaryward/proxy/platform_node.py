"""Composition root of a proxy that runs on the users' platform."""

import secrets
from pathlib import Path

import anyio
import structlog

from rosemaryward.decisions.clients import derive_limits
from rosemaryward.decisions.clock import boot_time_s
from rosemaryward.decisions.decoding import decode_json
from rosemaryward.decisions.errors import (
    PeerError,
    SettingsError,
)
from rosemaryward.decisions.gateway.directory import EndpointDirectory
from rosemaryward.decisions.gateway.environment import Endpoint, Environment
from rosemaryward.decisions.gateway.execution import Executor
from rosemaryward.decisions.gateway.prober import EndpointProber
from rosemaryward.decisions.gateway.targets import TargetSelector
from rosemaryward.decisions.leadership.confirmation import Confirmation
from rosemaryward.decisions.leadership.context import FailoverContext
from rosemaryward.decisions.leadership.failover_lock import FailoverLock, LockRecord
from rosemaryward.decisions.leadership.fence_reports import FenceReporter, FenceReports
from rosemaryward.decisions.leadership.liveness import LivenessDelegate
from rosemaryward.decisions.leadership.lock_turns import acquire_delay_s
from rosemaryward.decisions.leadership.members import (
    MemberDirectory,
    MemberRecord,
    ReleaseRequest,
)
from rosemaryward.decisions.leadership.records import GroupRecord, Leadership
from rosemaryward.decisions.leadership.replica_sets import ReplicaSetRecord, ReplicaSets
from rosemaryward.decisions.leadership.supervisor import PrimarySupervisor
from rosemaryward.decisions.leadership.verification import PrimaryVerifier
from rosemaryward.decisions.mirror import (
    STORE_SOURCE,
    FollowerSource,
    ReaderFailures,
    RejectedValues,
    StoredValue,
    StoreMirror,
    StoreRetry,
    StoreTiming,
)
from rosemaryward.decisions.relays.connections import RelayConnector, StatementPools
from rosemaryward.decisions.relays.selection import RelaySelector, relay_capacity
from rosemaryward.decisions.relays.service import RelayService
from rosemaryward.operators.metrics import ProxyMetrics
from rosemaryward.peers.members import MemberClient, MemberServer
from rosemaryward.peers.relays import RelayClient, RelayServer
from rosemaryward.platform.configuration import (
    CONFIGURATION_KEY,
    REGISTRATION_PREFIX,
    decode_endpoint,
    decode_environment,
)
from rosemaryward.platform.http_server import READINESS_PATH, HttpServer
from rosemaryward.platform.instances import LineConnector, LineGroupControl
from rosemaryward.platform.promotion import PlatformPromoter
from rosemaryward.platform.settings import HostSettings, read_settings
from rosemaryward.platform.store import PlatformStore
from rosemaryward.proxy.background import run_with_restarts
from rosemaryward.proxy.platform_callers import CallerService
from rosemaryward.proxy.platform_keys import (
    FAILOVER_LOCK_KEY,
    FENCE_PREFIX,
    FLEET_PREFIX,
    GROUP_PREFIX,
    LIVENESS_PREFIX,
    MEMBER_PREFIX,
    READERS_KEY,
    REPLICA_SET_PREFIX,
    RecordSubscriber,
    StoreRecordWriter,
)
from rosemaryward.proxy.platform_quota import PlatformQuota
from rosemaryward.proxy.platform_readers import ReaderDirectory
from rosemaryward.proxy.platform_registration import MemberRegistration
from rosemaryward.proxy.platform_requests import MemberRequestHandler
from rosemaryward.proxy.platform_tenants import TenantAccess
from rosemaryward.proxy.statement_log import StatementLog

__all__ = ["PlatformNode"]

MIN_CONFIRMATION_LEFT_S = 2.0  # the load balancer acts only after two failed probes
CLEANUP_INTERVAL_S = 0.25
SETTINGS_POLL_INTERVAL_S = 1.0
LOAD_BALANCER_REMOVAL_S = 2.2  # two failed probes, one per second
EXIT_MARGIN_S = 0.7  # end of the grace period, kept for releasing the lock
SHUTDOWN = "the proxy is shutting down"
UNCONFIRMED = "the proxy cannot confirm the primaries"
TRANSACTION_GRACE_FRACTION = 0.5  # of the grace period, for open transactions
NO_ENVIRONMENT = Environment(version=0, routes={}, groups={}, transaction_idle_s=3.0)

# A follower asks every 1.5 s a reader whose own read may be as old as that of a proxy
# that reads the store, and compares once more 0.5 s later if its watch is behind.
FOLLOWED_EXTRA_AGE_S = 2.5
STATUS_READY = 200
STATUS_NOT_READY = 503

log = structlog.get_logger(__name__)


class PlatformNode:
    """One proxy process on the users' platform.

    Parameters
    ----------
    settings : HostSettings
        Settings at the start of the process.
    settings_path : Path
        Settings file, polled for changes.
    """

    def __init__(self, settings: HostSettings, settings_path: Path) -> None:
        self.settings = settings
        self.settings_path = settings_path
        self.incarnation = secrets.token_hex(8)
        self.limits = derive_limits(settings.memory_mib, settings.max_fds)
        self.environment = NO_ENVIRONMENT
        self.metrics = ProxyMetrics(settings.name)
        self.store = PlatformStore(settings.store_address)
        self.store_retry = StoreRetry(self.store.probe)
        self.connector = LineConnector(settings.name)
        self.rejected_values = RejectedValues()
        self.store.rejected = self.rejected_values
        self.leadership = Leadership()
        self.statement_log = StatementLog(
            self.metrics, self.leadership, lambda: self.environment.version
        )
        self.members = MemberDirectory(known_since=boot_time_s())
        self.tenants = TenantAccess(
            lambda: self.environment,
            lambda: self.settings,
            lambda: self.mirror,
            self.metrics,
        )
        self.relay_selector = RelaySelector(
            settings.name,
            self.members,
            self._connection_limit,
            pools_per_proxy=lambda: self.tenants.pools_per_proxy,
        )
        self.directory = EndpointDirectory(
            self.connector,
            connection_cap=self.relay_selector.connection_cap,
            keeps_idle=self._keeps_idle_connections,
        )
        self.group_control = LineGroupControl(self.directory)
        self.primary_verifier = PrimaryVerifier(self.leadership, self.group_control)
        self.endpoint_prober = EndpointProber(
            self.directory, self.group_control, self.relay_selector.is_relay
        )
        self.promoter = PlatformPromoter(settings.promotion_address, self._may_promote)
        self.peers = MemberClient()
        self.record_writer = StoreRecordWriter(self.store, GROUP_PREFIX)
        self.replica_sets = ReplicaSets(
            StoreRecordWriter(self.store, REPLICA_SET_PREFIX)
        )
        self.relay_client = RelayClient(settings.name, self.relay_selector)
        self.statement_pools = StatementPools(
            self.directory,
            self.relay_selector,
            RelayConnector(
                self.relay_selector, self.relay_client, self.connector.discard
            ),
        )
        self.target_selector = TargetSelector(
            self.directory,
            self.leadership,
            settings.place,
            find_pool=self.statement_pools.pool,
        )
        self.relay_service = RelayService(
            self.directory,
            self.leadership,
            self.target_selector.group_samples,
            wait_until_loaded=lambda: self.mirror.loaded.wait(),
            verifier=self.primary_verifier,
        )
        self.relay_server = RelayServer(
            settings.relay_address, self.relay_service, self.limits.peers
        )
        self.executor = Executor(
            self.target_selector,
            self.statement_log.attempt_failed,
            verifier=self.primary_verifier,
        )
        self.reader_failures = ReaderFailures()
        self.confirmation = Confirmation(
            self.incarnation,
            self.leadership,
            self.peers,
            directory=self.members,
            on_request=self._record_confirmation_request,
            reader_failures=self.reader_failures,
            read_store_soon=lambda: self.mirror.confirm_now(),
        )
        self.failover_lock = FailoverLock(
            self.store,
            FAILOVER_LOCK_KEY,
            settings.name,
            self.incarnation,
            lambda: acquire_delay_s(self.members, settings.name),
            settings.first_start,
            self._request_release,
        )
        self.failover_lock.introduce = self.confirmation.introduce
        self.failover_lock.wait_until_stopped = self.confirmation.wait_for_changes
        self.fence_reports = FenceReports(self.store, FENCE_PREFIX)
        self.fence_reporter = FenceReporter(
            settings.name,
            self.incarnation,
            self.leadership,
            self.members,
            self.peers,
            self.fence_reports,
        )
        self.registration = MemberRegistration(
            MemberRecord(
                settings.name,
                settings.peer_address,
                self.incarnation,
                settings.relay_address,
                settings.place,
                relay_capacity(settings.cores, settings.link_mbps),
                verifies_reads=True,
            ),
            self.store,
            self.members,
            self.failover_lock,
            self.confirmation,
            self.store_retry,
        )
        self.reader_directory = ReaderDirectory(
            settings.name,
            settings.place,
            self.store,
            self.members,
            self.peers,
            self.failover_lock,
            self._refresh_members,
        )
        self.follower_source = FollowerSource(
            self.store, self.reader_directory.readers, self.reader_failures
        )
        self.mirror = StoreMirror(
            self.store,
            self._subscribers(),
            FLEET_PREFIX,
            self.registration.record_store_read,
            self.confirmation.confirm_through_reader,
            self.confirmation.watch_pause_s,
            self.follower_source,
        )
        self.mirror.retry = self.store_retry
        self.mirror.watches_store = self._watches_store
        self.store_retry.listeners.append(self.mirror.replace_watch)
        self.mirror.confirm_registration = self.confirmation.confirm_registration
        self.mirror.restore_listeners.append(self._observe_restore)
        self.liveness_delegate = LivenessDelegate(
            settings.name,
            self.members,
            self.store,
            LIVENESS_PREFIX,
            lambda: self.registration.lease,
            self.mirror.confirm_now,
        )
        self.quota = PlatformQuota(
            settings,
            self.registration.record,
            self.members,
            self.mirror,
            lambda: self.environment,
            self.relay_service,
        )
        self.tenants.limiter = self.quota.quota
        self.callers = CallerService(
            settings.caller_address,
            lambda: self.environment,
            self.mirror,
            self.follower_source,
            lambda: self.executor,
            self.statement_log,
            self.tenants,
            self.limits.callers,
        )
        self.caller_server = self.callers.server
        self.sessions = self.callers.sessions
        self.supervised_groups: set[str] = set()
        self.is_draining = False
        self._apply_timing()

    def _subscribers(self) -> dict[str, RecordSubscriber]:
        lock = self.failover_lock
        subscribers = [
            RecordSubscriber(
                CONFIGURATION_KEY,
                self._apply_configuration,
                self._configuration_removed,
            ),
            RecordSubscriber(
                REGISTRATION_PREFIX,
                self._observe_endpoint,
                self.directory.mark_unregistered,
            ),
            RecordSubscriber(
                MEMBER_PREFIX,
                self.registration.observe,
                self.members.remove,
                self.registration.observe_unreadable,
            ),
            RecordSubscriber(
                LIVENESS_PREFIX,
                lambda name, stored: self.members.mark_alive(name),
                self.members.mark_absent,
            ),
            RecordSubscriber(
                GROUP_PREFIX,
                self._observe_group,
                self._group_removed,
                lambda name, stored: self._group_removed(name, stored.revision),
            ),
            RecordSubscriber(
                REPLICA_SET_PREFIX,
                self._observe_replica_set,
                self.replica_sets.observe_removal,
                lambda name, stored: self.replica_sets.observe_removal(
                    name, stored.revision
                ),
            ),
            RecordSubscriber(
                FAILOVER_LOCK_KEY,
                self._observe_failover_lock,
                lambda name: lock.observe_removal(),
                lambda name, stored: lock.observe_removal(stored.revision),
            ),
            RecordSubscriber(
                READERS_KEY,
                self.reader_directory.observe,
                self.reader_directory.observe_removal,
                self.reader_directory.observe_unreadable,
            ),
            RecordSubscriber(
                lock.last_acquisition_key,
                self._observe_last_acquisition,
                lambda name: lock.observe_last_acquisition_removal(),
                lambda name, stored: lock.observe_last_acquisition_removal(
                    stored.revision
                ),
            ),
        ]
        for subscriber in subscribers:
            subscriber.rejected = self.rejected_values
        return {subscriber.prefix: subscriber for subscriber in subscribers}

    async def run(self, stopping: anyio.Event) -> None:
        """Serve callers until `stopping` is set, then drain."""
        log.info(
            "proxy starts", incarnation=self.incarnation, place=self.settings.place
        )
        async with self.store, anyio.create_task_group() as tasks:
            for server in (
                self.caller_server,
                self._create_readiness_server(),
                self._create_metrics_server(),
                self._create_member_server(),
                self.relay_server,
            ):
                tasks.start_soon(server.run)
            for task in (
                self.connector.run,
                self.relay_client.run,
                self.store_retry.run,
                self.mirror.run,
                self.quota.run,
                self._register,
                self._run_failover_lock,
                self.registration.remove_absent_members,
                self.reader_directory.publish,
                self.liveness_delegate.run,
                self.confirmation.run,
                self.fence_reporter.run,
                self.endpoint_prober.run,
                self._clean_up,
                self._supervise,
                self._watch_settings,
            ):
                tasks.start_soon(run_with_restarts, task)
            await stopping.wait()
            await self.drain()
            tasks.cancel_scope.cancel()
        log.info("proxy stops", sessions=len(self.sessions))

    def reload(self) -> None:
        """Read the settings file again and apply the settings that need no restart."""
        try:
            settings = read_settings(self.settings_path)
        except SettingsError as error:
            log.warning("settings reload failed", error=str(error))
            return
        if settings == self.settings:
            log.info("settings unchanged")
            return
        fixed = (
            "name",
            "caller_address",
            "readiness_address",
            "peer_address",
            "memory_mib",
            "max_fds",
        )
        for field in fixed:
            if getattr(settings, field) != getattr(self.settings, field):
                log.warning("setting change requires restart", field=field)
        self.settings = settings
        self.store.set_address(settings.store_address)
        self.promoter.address = settings.promotion_address
        self._apply_timing()
        log.info("settings reloaded")

    def _apply_timing(self) -> None:
        """Derive the waits of store calls from the bounds in the settings."""
        timing = StoreTiming.within(self.settings.shortest_bound_s)
        self.store.timeout_s = timing.call_timeout_s
        self.store_retry.interval_s = timing.probe_interval_s
        self.mirror.timing = timing
        self.mirror.history.max_read_age_s = timing.reader_max_read_age_s
        self.follower_source.max_read_age_s = timing.reader_max_read_age_s
        self.confirmation.max_read_age_s = timing.reader_max_read_age_s

    async def drain(self) -> None:
        """Let statements and transactions end, then remove the registration.

        The failover lock is released first, so that another proxy can take it.
        """
        grace_s = self.settings.grace_s
        started_at = boot_time_s()
        self.is_draining = True
        log.info("drain begins", sessions=len(self.sessions), grace_s=grace_s)
        self.relay_server.leave()
        self.quota.leave()
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(self._release_failover_lock)
            await anyio.sleep(LOAD_BALANCER_REMOVAL_S)
        self.caller_server.refuse_callers(SHUTDOWN)
        for session in list(self.sessions):
            session.end(SHUTDOWN)
        await self._wait_for_sessions(started_at + grace_s * TRANSACTION_GRACE_FRACTION)
        for session in list(self.sessions):
            session.end(SHUTDOWN, abandon_transaction=True)
        await self._wait_for_sessions(started_at + grace_s - EXIT_MARGIN_S)
        self.caller_server.stop_listening()
        self.confirmation.leaving = True
        with anyio.move_on_after(EXIT_MARGIN_S / 2):
            await self.registration.remove()
        log.info("drain ends", took_s=round(boot_time_s() - started_at, 3))

    async def _release_failover_lock(self) -> None:
        """Release the lock, without waiting longer for the store than the drain can."""
        with anyio.move_on_after(LOAD_BALANCER_REMOVAL_S) as scope:
            await self.failover_lock.release()
        if scope.cancelled_caught:
            log.warning("duty not given back: the store did not answer in time")

    async def _wait_for_sessions(self, until: float) -> None:
        """Wait until no caller or relayed work is left.

        Parameters
        ----------
        until : float
            Boot time in seconds at which to stop waiting.
        """
        with anyio.move_on_after(max(until - boot_time_s(), 0.0)):
            await self.caller_server.wait_until_idle()
            await self.relay_service.wait_until_idle()

    def is_ready(self) -> bool:
        """Return whether the proxy can serve callers."""
        if self.is_draining or self.environment.version == 0:
            return False
        if not self.tenants.authorizer.is_ready:
            return False
        return self.leadership.confirmation_left_s() > MIN_CONFIRMATION_LEFT_S

    # Servers

    def _create_readiness_server(self) -> HttpServer:
        def answer() -> tuple[int, bytes]:
            if self.is_ready():
                return STATUS_READY, b"ready\n"
            return STATUS_NOT_READY, b"not ready\n"

        return HttpServer(self.settings.readiness_address, {READINESS_PATH: answer})

    def _create_metrics_server(self) -> HttpServer:
        def answer() -> tuple[int, bytes]:
            self.metrics.set_caller_connections(len(self.sessions))
            self.metrics.set_relayed_requests(self.relay_service.reply_counts)
            self.metrics.set_rejected_values(self.rejected_values.counts)
            self.tenants.export_metrics()
            self.quota.export_metrics(self.metrics)
            self.metrics.set_clients("callers", self.caller_server.clients)
            self.metrics.set_clients("relays", self.relay_server.clients)
            self.metrics.set_warmups(
                self.directory.warmups, self.directory.warming_count()
            )
            return STATUS_READY, self.metrics.render()[0]

        return HttpServer(self.settings.metrics_address, {"/metrics": answer})

    def _create_member_server(self) -> MemberServer:
        handler = MemberRequestHandler(
            self.incarnation,
            self.leadership,
            self.confirmation,
            self.failover_lock,
            self.directory,
            self.group_control,
            self.mirror.history,
        )
        return MemberServer(
            self.settings.peer_address, handler.handle, self.limits.control
        )

    async def _refresh_members(self) -> None:
        """Read the members from the store; raises `StoreError`."""
        await self.mirror.refresh(FLEET_PREFIX)

    def _connection_limit(self, group: str) -> int | None:
        """Return how many connections an endpoint of a group accepts in total."""
        configured = self.environment.groups.get(group)
        return None if configured is None else configured.max_connections

    def _keeps_idle_connections(self, endpoint: Endpoint) -> bool:
        """Return whether connections of many tenants to an endpoint are kept here."""
        has_tenants = self.environment.tenants is not None
        return has_tenants and self.relay_selector.is_relay(endpoint)

    def _sync_replicas(self, group: str) -> int:
        """Return how many replicas must receive a commit before it is acknowledged."""
        configured = self.environment.groups.get(group)
        return 0 if configured is None else configured.sync_replicas

    def _may_promote(self, token: int) -> bool:
        """Return whether this process certainly holds the lock under a token."""
        return self.failover_lock.is_held() and self.failover_lock.token == token

    async def _request_release(self, name: str, token: int) -> bool:
        """Return whether the named member no longer acts under a fencing token."""
        member = self.members.members.get(name)
        if member is None:
            return False
        try:
            return await self.peers.release_lock(member, ReleaseRequest(token))
        except PeerError as error:
            log.info("previous lock holder unreachable", member=name, error=str(error))
            return False

    def _record_confirmation_request(self, incarnation: str) -> None:
        self.liveness_delegate.record_request(incarnation)
        self.fence_reporter.record_request(incarnation)

    # Changes of values in the store

    def _observe_restore(self, generation: int) -> None:
        self.failover_lock.observe_restore()
        self.members.observe_restore()
        self.leadership.observe_restore(generation)

    def _apply_configuration(self, name: str, stored: StoredValue) -> None:
        environment = decode_environment(stored.value)
        if environment.version <= self.environment.version:
            return
        self.use_environment(environment)
        log.info(
            "configuration applied",
            version=environment.version,
            revision=stored.revision,
            routes=len(environment.routes),
        )

    def use_environment(self, environment: Environment) -> None:
        """Put a configuration into force."""
        self.environment = environment
        self.callers.configured.set()
        self.tenants.report_problems()
        has_tenants = environment.tenants is not None
        self.directory.set_weights(self.tenants.weight if has_tenants else None)
        self.directory.set_pace(has_tenants)
        self.metrics.set_tenants(environment.routes)
        self.metrics.set_configuration(environment.version, 0.0)

    def _configuration_removed(self, name: str) -> None:
        log.warning("configuration removed or unreadable; keeping the last one")

    def _observe_endpoint(self, name: str, stored: StoredValue) -> None:
        self.directory.observe(
            decode_endpoint(stored.key, stored.value, self.settings.regions)
        )

    def _observe_group(self, name: str, stored: StoredValue) -> None:
        record = decode_json(stored.value, GroupRecord)
        self.leadership.observe(name, record, stored.revision)

    def _group_removed(self, name: str, revision: int = 0) -> None:
        log.warning("group record removed", group=name, revision=revision)
        self.leadership.observe_removal(name, revision)

    def _observe_replica_set(self, name: str, stored: StoredValue) -> None:
        record = decode_json(stored.value, ReplicaSetRecord)
        self.replica_sets.observe(name, record, stored.revision)

    def _observe_failover_lock(self, name: str, stored: StoredValue) -> None:
        record = decode_json(stored.value, LockRecord)
        self.failover_lock.observe(record, stored.revision)

    def _observe_last_acquisition(self, name: str, stored: StoredValue) -> None:
        record = decode_json(stored.value, LockRecord)
        self.failover_lock.observe_last_acquisition(record, stored.revision)

    # Background tasks

    async def _register(self) -> None:
        await self.registration.run(self.mirror)

    async def _run_failover_lock(self) -> None:
        """Compete for the failover lock once the mirror is loaded."""
        await self.mirror.loaded.wait()
        await self.failover_lock.run()

    async def _clean_up(self) -> None:
        """Remove expired endpoints, and end sessions while records are unconfirmed."""
        while True:
            await anyio.sleep(CLEANUP_INTERVAL_S)
            if self._may_have_lost_store():
                self.directory.mark_outdated()
            self.directory.remove_expired()
            self.tenants.authorizer.observe_proof()
            if self.mirror.loaded.is_set():
                self.directory.mark_listed()
            if not self.leadership.is_confirmed():
                # Callers that reconnect reach a proxy that can serve them.
                for session in list(self.sessions):
                    session.end(UNCONFIRMED)

    def _may_have_lost_store(self) -> bool:
        """Return whether the last read of the store is too old for normal operation."""
        limit_s = self.mirror.timing.reader_max_read_age_s
        if not self._watches_store():
            limit_s += FOLLOWED_EXTRA_AGE_S
        return self.mirror.age_s() > limit_s

    def _watches_store(self) -> bool:
        """Return whether this proxy watches the store itself, not through a reader."""
        return self.follower_source.selected in ("", STORE_SOURCE)

    async def _supervise(self) -> None:
        """Start a supervisor for each replication group that appears."""
        async with anyio.create_task_group() as tasks:
            while True:
                for group in self._unsupervised_groups():
                    self.supervised_groups.add(group)
                    supervisor = self._create_supervisor(group)
                    tasks.start_soon(run_with_restarts, supervisor.run)
                await anyio.sleep(CLEANUP_INTERVAL_S)

    def _unsupervised_groups(self) -> set[str]:
        """Return the groups with endpoints that have no supervisor yet.

        A registration of a group that the configuration lacks names no endpoint to use.
        """
        registered = {endpoint.group for endpoint in self.directory.endpoints.values()}
        return registered & self.environment.groups.keys() - self.supervised_groups

    def _create_supervisor(self, group: str) -> PrimarySupervisor:
        context = FailoverContext(
            lock=self.failover_lock,
            directory=self.directory,
            leadership=self.leadership,
            members=self.members,
            peers=self.peers,
            control=self.group_control,
            promoter=self.promoter,
            writer=self.record_writer,
            confirmation=self.confirmation,
            refresh_members=self._refresh_members,
            group_samples=self.target_selector.group_samples,
            fence_reports=self.fence_reports,
            replica_sets=self.replica_sets,
            sync_replicas=self._sync_replicas,
        )
        return PrimarySupervisor(group, context)

    async def _watch_settings(self) -> None:
        """Reload the settings when their file changes, even without SIGHUP."""
        seen = self._settings_fingerprint()
        # The file may have changed since the settings at the start were read.
        self.reload()
        while True:
            await anyio.sleep(SETTINGS_POLL_INTERVAL_S)
            fingerprint = self._settings_fingerprint()
            if fingerprint != seen:
                seen = fingerprint
                self.reload()

    def _settings_fingerprint(self) -> tuple[int, int]:
        """Return modification time and size of the settings file, zeros on error."""
        try:
            status = self.settings_path.stat()
        except OSError as error:
            log.warning("settings file cannot be read", error=str(error))
            return (0, 0)
        return (status.st_mtime_ns, status.st_size)
