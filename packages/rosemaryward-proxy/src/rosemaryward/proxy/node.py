"""Composition root: creates and connects the components of one proxy."""

import random
import time
from collections.abc import Iterable
from contextlib import AsyncExitStack
from pathlib import Path
from types import TracebackType

import anyio
import structlog

from rosemaryward.callers.limits import mysql_limits
from rosemaryward.callers.server import CallerServer
from rosemaryward.decisions.clients import enforce_limits
from rosemaryward.decisions.document import check_document
from rosemaryward.decisions.document.schema import DatabaseSection
from rosemaryward.decisions.document.stored import StoredDocument
from rosemaryward.decisions.errors import StoreError
from rosemaryward.decisions.groups import GroupSettings, GroupSupervisor
from rosemaryward.decisions.links import LinkShaper
from rosemaryward.decisions.membership import (
    ConfigurationReplica,
    MembershipService,
    OwnershipTracker,
    proposer_order,
)
from rosemaryward.decisions.messages import (
    GossipReply,
    GossipRequest,
    Member,
    MemberState,
    PrimaryRecord,
    ReachabilityReply,
)
from rosemaryward.decisions.routing.entry import EntryService
from rosemaryward.decisions.routing.owner import OwnerService
from rosemaryward.decisions.routing.rules import RoutingRules, UserAccount
from rosemaryward.decisions.types import EndpointId
from rosemaryward.endpoints.connection import Credentials
from rosemaryward.endpoints.control import MysqlInstanceControl
from rosemaryward.etcd import EtcdStore, HttpHostList
from rosemaryward.operators.api import create_app
from rosemaryward.operators.configuration import ConfigurationService
from rosemaryward.operators.metrics import ProxyMetrics
from rosemaryward.operators.server import AdminServer
from rosemaryward.operators.tokens import Role, TokenEntry, TokenRegistry, hash_token
from rosemaryward.peers.gossip import GossipTransport
from rosemaryward.peers.statements import StatementClient, StatementServer
from rosemaryward.proxy.contexts import ContextRunner
from rosemaryward.proxy.directory import ClusterDirectory
from rosemaryward.proxy.observer import MetricsObserver
from rosemaryward.proxy.owned_endpoints import OwnedEndpoints
from rosemaryward.proxy.records import PrimaryRecorder
from rosemaryward.proxy.requests import OwnerRequester, ReachabilityQuerier
from rosemaryward.proxy.settings import ProxySettings
from rosemaryward.proxy.supervisors import SupervisorRegistry
from rosemaryward.proxy.tls import ProxyTls
from rosemaryward.proxy.view import NodeView

__all__ = ["ProxyNode"]

DEFAULT_LINK_BITS_PER_S = 15_000_000.0
HOST_LIST_INTERVAL_S = 2.0
REFRESH_INTERVAL_S = 0.25
HANDOVER_WAIT_S = 1.0
"""Time for other proxies to learn that this one leaves, before it drains."""


class ProxyNode:
    """One proxy process.

    Parameters
    ----------
    settings : ProxySettings
        Settings from the command line and the environment.
    """

    def __init__(self, settings: ProxySettings) -> None:
        self.settings = settings
        self.log = structlog.get_logger().bind(host_id=settings.host_id)
        self.random = random.Random()
        self.limits = settings.client_limits()
        self.exit_stack = AsyncExitStack()
        self.credentials = Credentials(
            settings.endpoint_user, settings.endpoint_password
        )
        self.store = EtcdStore(settings.store_url)
        self.host_list = HttpHostList(settings.hosts_url)
        self.tls = ProxyTls(settings)
        self.metrics = ProxyMetrics(settings.host_id)
        self.observer = MetricsObserver(self.metrics)
        self.primary_recorder = PrimaryRecorder(
            settings.environment, self.store, self.random
        )
        self.latest_primaries: dict[str, PrimaryRecord] = {}
        self.applied_at = 0.0
        self.is_draining = False
        self.link = LinkShaper(DEFAULT_LINK_BITS_PER_S)
        self.owner_service = OwnerService(
            self._is_owner, self._reachability, self.start_drain
        )
        self.statement_server = StatementServer(
            settings.host,
            settings.statement_port,
            self.owner_service.handle,
            self.owner_service.roll_back_sender,
            settings.region,
            self.link,
            limits=self.limits.peers,
        )
        self.statement_client = StatementClient(
            settings.host_id, settings.region, self.link, server_name=settings.peer_name
        )
        self.gossip = GossipTransport(
            settings.host, settings.gossip_port, self._handle_gossip
        )
        self.membership = MembershipService(
            self._local_member(), self.gossip, self.random, seeds=settings.seeds
        )
        self.primaries = self.membership.primaries
        self.configuration = ConfigurationReplica(
            settings.environment,
            settings.host_id,
            self.store,
            self.membership,
            self.random,
            lambda stored: check_document(stored.document),
        )
        self.ownership = OwnershipTracker(
            self.membership, self._acquire_endpoint, self._release_endpoint
        )
        self.directory = ClusterDirectory(self.ownership, self.primaries)
        self.reachability_querier = ReachabilityQuerier(
            settings.host_id, self.statement_client, self.directory.owners_of
        )
        self.requester = OwnerRequester(
            settings.host_id, self.statement_client, self.owner_service.handle
        )
        self.rules: RoutingRules | None = None
        self.entry_service: EntryService | None = None
        self.caller_server: CallerServer | None = None

    async def __aenter__(self) -> "ProxyNode":
        enter = self.exit_stack.enter_async_context
        self.tasks = await enter(anyio.create_task_group())
        self.exit_stack.callback(self.tasks.cancel_scope.cancel)
        self._create_ownership_parts()
        self.primaries.subscribe(self._observe_primary)
        self.configuration.subscribe(self._apply_configuration)
        await enter(self.tls)
        self.gossip.tls = self.tls.gossip
        self.statement_server.tls = self.tls.peer_server
        self.statement_client.tls = self.tls.peer_client
        for part in (
            self.store,
            self.host_list,
            self.gossip,
            self.statement_server,
            self.statement_client,
            self.owner_service,
            self.membership,
            self.configuration,
            self.ownership,
        ):
            await enter(part)
        await enter(self._create_admin_server())
        self.tasks.start_soon(self._poll_host_list)
        self.tasks.start_soon(self._refresh_periodically)
        self.tasks.start_soon(self.primary_recorder.run)
        return self

    async def __aexit__(
        self,
        kind: type[BaseException] | None,
        error: BaseException | None,
        trace: TracebackType | None,
    ) -> bool | None:
        return await self.exit_stack.__aexit__(kind, error, trace)

    def _create_admin_server(self) -> AdminServer:
        settings = self.settings
        entries = list(_load_tokens(settings.admin_tokens))
        if settings.admin_token:
            digest = hash_token(settings.admin_token)
            entries.append(TokenEntry(name="admin", sha256=digest, roles=tuple(Role)))
        app = create_app(
            NodeView(self),
            ConfigurationService(self.store, settings.environment),
            TokenRegistry(entries),
            self.metrics,
        )
        return AdminServer(
            app,
            settings.host,
            settings.admin_port,
            Path(settings.certificate) if settings.certificate else None,
            Path(settings.key) if settings.key else None,
            self.limits.internal,
        )

    def _create_ownership_parts(self) -> None:
        self.runner = ContextRunner(self.tasks)
        self.supervisors = SupervisorRegistry(
            self.settings.place,
            self.runner,
            self._create_supervisor,
            self.primaries.get,
        )
        self.owned_endpoints = OwnedEndpoints(
            self.owner_service,
            self.supervisors,
            self.runner,
            self.credentials,
            self.settings.grace_s,
            self.observer,
        )

    def _local_member(self) -> Member:
        settings = self.settings
        return Member(
            host_id=settings.host_id,
            incarnation=time.time_ns() // 1_000_000,
            state=MemberState.ALIVE,
            place=settings.place,
            host=settings.advertise_host or settings.host,
            statement_port=settings.statement_port,
            gossip_port=settings.gossip_port,
            weight=settings.weight,
        )

    # Callbacks of the components

    def is_ready(self) -> bool:
        """Return whether this proxy accepts callers."""
        return self.caller_server is not None and not self.is_draining

    def start_drain(self) -> None:
        """Start draining in the background, unless a drain is in progress."""
        if not self.is_draining:
            self.tasks.start_soon(self.drain)

    def account(self, user: str) -> UserAccount | None:
        """Return the account of a user, or None if it is unknown."""
        return self.rules.users.get(user) if self.rules is not None else None

    def _is_owner(self, endpoint: EndpointId) -> bool:
        return self.ownership.is_owner(endpoint)

    def _reachability(self, endpoint: EndpointId) -> ReachabilityReply:
        return self.supervisors.reachability(endpoint)

    async def _handle_gossip(self, request: GossipRequest) -> GossipReply:
        return await self.membership.handle(request)

    def _create_supervisor(
        self, database: str, section: DatabaseSection
    ) -> GroupSupervisor:
        return GroupSupervisor(
            database,
            self.settings.host_id,
            self.settings.place,
            section.instances,
            lambda endpoint: self._create_control(section, endpoint),
            self.reachability_querier,
            self._announce_primary,
            self.random,
            GroupSettings(),
        )

    def _create_control(
        self, section: DatabaseSection, endpoint: EndpointId
    ) -> MysqlInstanceControl:
        instance = section.instances[endpoint.instance]
        return MysqlInstanceControl(instance.host, instance.port, self.credentials)

    # Events: primaries, ownership and configuration

    def _announce_primary(self, record: PrimaryRecord) -> None:
        if self.primaries.merge(record):
            self.log.info(
                "primary changed",
                database=record.database,
                instance=record.instance,
                term=record.term,
            )
            self.membership.trigger_push()

    def _record_primary_replaced(self, previous: PrimaryRecord) -> None:
        supervisor = self.supervisors.supervisors.get(previous.database)
        if supervisor is not None and previous.instance in supervisor.monitors:
            last_contact_at = supervisor.monitors[previous.instance].status_requested_at
            self.observer.record_primary_replaced(previous.database, last_contact_at)

    def _observe_primary(self, record: PrimaryRecord) -> None:
        self.metrics.record_term_change()
        previous = self.latest_primaries.get(record.database)
        self.latest_primaries[record.database] = record
        if previous is not None:
            self._record_primary_replaced(previous)
        self.supervisors.observe_primary(record)
        if EndpointId(record.database, record.instance) in self.owned_endpoints.owned:
            self.primary_recorder.add(record)

    def _acquire_endpoint(self, endpoint: EndpointId) -> None:
        self.log.info("endpoint gained", endpoint=str(endpoint))
        self.metrics.record_ownership_change(gained=True)
        self.owned_endpoints.acquire(endpoint)

    def _release_endpoint(self, endpoint: EndpointId) -> None:
        self.log.info("endpoint given up", endpoint=str(endpoint))
        self.metrics.record_ownership_change(gained=False)
        self.owned_endpoints.release(endpoint)

    def _apply_configuration(self, stored: StoredDocument) -> None:
        self.log.info("configuration applied", version=stored.version)
        self.applied_at = anyio.current_time()
        self.metrics.set_tenants(stored.document.tenants)
        self.rules = RoutingRules(stored.document)
        self.link.bits_per_s = stored.document.region_link_bits_per_s
        self._update_link_share()
        self.owned_endpoints.apply_document(stored.document)
        self.ownership.set_document(stored.document)
        if self.entry_service is None:
            self.entry_service = EntryService(
                self.settings.place,
                self.rules,
                self.directory,
                self.requester,
                self.random,
                self.observer,
            )
            self.tasks.start_soon(self._accept_callers)
        self.entry_service.set_rules(self.rules)

    async def _accept_callers(self) -> None:
        """Start the MySQL server; called after the first configuration."""
        assert self.entry_service is not None
        server = CallerServer(
            self.settings.host,
            self.settings.mysql_port,
            self.entry_service,
            self,
            self.tls.caller_server,
            on_connection_count=self.metrics.set_caller_connections,
            limits=mysql_limits(self.limits),
        )
        self.tasks.start_soon(enforce_limits, server.clients, "callers")
        self.caller_server = await self.exit_stack.enter_async_context(server)
        self.log.info("accepting callers", port=server.port)

    # Background tasks

    def _update_link_share(self) -> None:
        """Divide the region's link bandwidth evenly among its live proxies."""
        region = self.settings.region
        in_region = [
            m for m in self.membership.live_members() if m.place.region == region
        ]
        self.link.set_share(1.0 / max(1, len(in_region)))

    def _publish_gauges(self) -> None:
        age_s = anyio.current_time() - self.applied_at if self.applied_at else 0.0
        self.metrics.set_configuration(self.configuration.version, age_s)
        self.metrics.set_gossip_bytes(self.gossip.bytes_in, self.gossip.bytes_out)
        self.metrics.set_clients("statements", self.statement_server.clients)
        if self.caller_server is not None:
            self.metrics.set_clients("callers", self.caller_server.clients)
        for key, size in self.link.traffic.totals.items():
            self.metrics.set_link_bytes(key, size)

    async def _refresh_periodically(self) -> None:
        """Refresh link share and metrics, and the owners known to the supervisors."""
        while True:
            self._update_link_share()
            self._publish_gauges()
            for database, supervisor in self.supervisors.supervisors.items():
                owners = self.directory.owners_of(database)
                supervisor.set_owner_places([owner.place for owner in owners])
                order = proposer_order(database, owners)
                if self.settings.host_id in order:
                    supervisor.set_proposer_index(order.index(self.settings.host_id))
            await anyio.sleep(REFRESH_INTERVAL_S)

    async def _poll_host_list(self) -> None:
        while self.settings.hosts_url:
            try:
                hosts = await self.host_list.fetch()
            except StoreError:
                pass
            else:
                self.membership.merge_hosts(hosts)
            await anyio.sleep(HOST_LIST_INTERVAL_S)

    # Shutdown

    async def drain(self) -> None:
        """Hand over the endpoints and wait for the work in progress to end."""
        self.is_draining = True
        self.log.info("draining")
        if self.caller_server is not None:
            self.caller_server.stop_accepting()
        await self.membership.leave()
        await anyio.sleep(HANDOVER_WAIT_S)
        busy = 0
        if self.caller_server is not None:
            busy = await self.caller_server.drain(self.settings.grace_s)
        with anyio.move_on_after(self.settings.grace_s):
            for owned in list(self.owner_service.endpoints.values()):
                await owned.wait_idle()
        self.log.info("drained", busy_connections=busy)


def _load_tokens(path: str) -> Iterable[TokenEntry]:
    return TokenRegistry.load(Path(path)).entries if path else ()
