"""Start and stop of all processes of one deployment on this machine."""

import secrets
import sys
from contextlib import AsyncExitStack
from datetime import UTC, datetime
from pathlib import Path

import anyio
import asyncmy
import asyncmy.errors
import httpx
import msgspec

from rosemaryward.bench.clients import CONNECT_ERRORS, connect
from rosemaryward.bench.deployments import Deployment, example_password
from rosemaryward.bench.launch.network import RELAY_HOST, RelayControl, RelayScope
from rosemaryward.bench.launch.processes import (
    Child,
    free_ports,
    start_child,
    stop_children,
    wait_for_port,
)
from rosemaryward.bench.launch.state import (
    RunningDeployment,
    RunningEndpoint,
    RunningProxy,
    RunningUser,
)
from rosemaryward.bench.relay.network import Node
from rosemaryward.decisions.document import Document
from rosemaryward.decisions.document.stored import (
    StoredDocument,
    document_key,
    encode_stored,
)
from rosemaryward.decisions.interfaces import ListedHost
from rosemaryward.etcd.store import EtcdStore

__all__ = ["Launch", "LaunchSettings"]

LISTEN_HOST = "127.0.0.1"
START_TIMEOUT_S = 30.0
READY_TIMEOUT_S = 30.0
READY_POLL_INTERVAL_S = 0.1
BENCH_COMMAND = [sys.executable, "-m", "rosemaryward.bench"]
PROXY_COMMAND = str(Path(sys.executable).parent / "rosemaryward-proxy")


class LaunchSettings(msgspec.Struct, frozen=True, kw_only=True):
    """Settings of a deployment to start.

    Parameters
    ----------
    deployment : Deployment
        Deployment to start.
    documents : Path
        Folder of the example documents.
    out : Path
        Folder for logs and for ``up.json``.
    service_time_ms, apply_lag_ms : float
        Service time and apply lag of the instances in milliseconds.
    relay : RelayScope
        Connections that pass through the relay, with the deployment's latencies.
    proxies : bool
        Whether to start proxies; the test doubles can run without them.
    """

    deployment: Deployment
    documents: Path = Path("examples")
    out: Path = Path("out")
    service_time_ms: float = 1.0
    apply_lag_ms: float = 20.0
    relay: RelayScope = RelayScope.NONE
    proxies: bool = True


class Launch:
    """Runs the test doubles and proxies while the context is entered.

    Attributes
    ----------
    running : RunningDeployment
        Addresses and process ids, set when the context is entered.
    """

    def __init__(self, settings: LaunchSettings) -> None:
        self.settings = settings
        self.deployment = settings.deployment
        self.children: dict[str, Child] = {}
        self.running: RunningDeployment
        self.relay: RelayControl | None = None
        self.stack = AsyncExitStack()

    async def __aenter__(self) -> "Launch":
        self.logs = self.settings.out / "logs"
        self.logs.mkdir(parents=True, exist_ok=True)
        try:
            await self.start()
        except BaseException:
            with anyio.CancelScope(shield=True):
                await self.stop()
            raise
        return self

    async def __aexit__(self, *exc_info: object) -> None:
        with anyio.CancelScope(shield=True):
            await self.stop()

    async def stop(self) -> None:
        """Stop all processes."""
        await stop_children(list(self.children.values()))

    def exited_processes(self) -> list[str]:
        """Return the names of the processes that have exited."""
        return [
            name
            for name, child in self.children.items()
            if child.process.poll() is not None
        ]

    async def start(self) -> None:
        """Start all processes in the order of their dependencies."""
        document = self.deployment.document(self.settings.documents)
        self.environment = document.environment
        if self.settings.relay is not RelayScope.NONE:
            await self.start_relay()
        await self.start_platform(document)
        endpoints = await self.start_instances(document)
        await self.wait_for_endpoints(endpoints)
        await self.define_tables(endpoints)
        await self.store_document(
            with_endpoint_addresses(document, endpoints, self.advertised_host)
        )
        proxies = await self.start_proxies(document) if self.settings.proxies else []
        self.running = RunningDeployment(
            deployment=self.deployment.name,
            environment=document.environment,
            proxies=proxies,
            endpoints=endpoints,
            databases=list(document.databases),
            users=self.users(document),
            admin_token=self.admin_token,
            store_url=self.store_url,
            hosts_url=self.hosts_url,
            relay_url=self.relay.url if self.relay else "",
            tables={
                rank.name.lower(): table
                for rank, table in self.deployment.tables.items()
            },
        )
        for proxy in proxies:
            await self.wait_until_ready(proxy)

    def start_process(self, name: str, command: list[str]) -> Child:
        """Start a process that is stopped with the launcher."""
        child = start_child(name, command, self.logs)
        self.children[name] = child
        return child

    @property
    def advertised_host(self) -> str:
        """Host that processes use to connect to the platform and the instances."""
        return RELAY_HOST if self.relay else LISTEN_HOST

    async def start_relay(self) -> None:
        """Start the relay with the deployment's latencies."""
        (port,) = free_ports(1)
        latency = self.deployment.latency
        command = [
            *BENCH_COMMAND,
            "relay",
            f"--control-port={port}",
            f"--failure-domains-ms={latency.failure_domains * 1000}",
            f"--regions-ms={latency.regions * 1000}",
            f"--callers-ms={latency.callers * 1000}",
            f"--region-bits-per-s={latency.region_bits_per_s}",
        ]
        child = self.start_process("relay", command)
        await wait_for_port(child, LISTEN_HOST, port, START_TIMEOUT_S)
        self.relay = RelayControl(f"http://{LISTEN_HOST}:{port}", LISTEN_HOST)

    async def register_node(
        self, name: str, region: str, failure_domain: str, ports: list[int]
    ) -> None:
        """Register a process's location and ports with the relay, if there is one."""
        if self.relay:
            node = Node(name, region, failure_domain, self.children[name].pid)
            await self.relay.add(node, ports)

    async def start_platform(self, document: Document) -> None:
        """Start the store and the host list, located in the first failure domain."""
        self.admin_token = secrets.token_hex(16)
        store_port, hosts_port = free_ports(2)
        self.store_url = f"http://{self.advertised_host}:{store_port}"
        self.hosts_url = f"http://{self.advertised_host}:{hosts_port}/hosts"
        command = [
            *BENCH_COMMAND,
            "platform",
            f"--store-port={store_port}",
            f"--hosts-port={hosts_port}",
        ]
        child = self.start_process("platform", command)
        region, domains = next(iter(document.regions.items()))
        await self.register_node(
            "platform", region, domains[0], [store_port, hosts_port]
        )
        for port in (store_port, hosts_port):
            await wait_for_port(child, LISTEN_HOST, port, START_TIMEOUT_S)

    async def start_instances(self, document: Document) -> list[RunningEndpoint]:
        """Start all instances, with the primaries spread over the failure domains."""
        endpoints: list[RunningEndpoint] = []
        for number, (name, database) in enumerate(document.databases.items()):
            ports = free_ports(len(database.instances))
            primary = number % len(ports)
            for index, (instance, section) in enumerate(database.instances.items()):
                role = "primary" if index == primary else "replica"
                command = [
                    *BENCH_COMMAND,
                    "instance",
                    f"--port={ports[index]}",
                    f"--database={name}",
                    f"--slots={database.slots}",
                    f"--connections={database.connections}",
                    f"--service-time-ms={self.settings.service_time_ms}",
                    f"--apply-lag-ms={self.settings.apply_lag_ms}",
                    f"--role={role}",
                    f"--primary={self.advertised_host}:{ports[primary]}"
                    if role == "replica"
                    else "",
                ]
                child = self.start_process(
                    f"{name}-{instance}", [part for part in command if part]
                )
                endpoint = RunningEndpoint(
                    database=name,
                    instance=instance,
                    host=LISTEN_HOST,
                    port=ports[index],
                    pid=child.pid,
                    region=section.region,
                    failure_domain=section.failure_domain,
                    role=role,
                )
                endpoints.append(endpoint)
                await self.register_node(
                    child.name,
                    endpoint.region,
                    endpoint.failure_domain,
                    [endpoint.port],
                )
        return endpoints

    async def wait_for_endpoints(self, endpoints: list[RunningEndpoint]) -> None:
        """Wait until all instances accept connections."""
        async with anyio.create_task_group() as tasks:
            for endpoint in endpoints:
                child = self.children[f"{endpoint.database}-{endpoint.instance}"]
                tasks.start_soon(
                    wait_for_port, child, LISTEN_HOST, endpoint.port, START_TIMEOUT_S
                )

    async def define_tables(self, endpoints: list[RunningEndpoint]) -> None:
        """Create the deployment's tables on the primaries."""
        for endpoint in endpoints:
            if endpoint.role != "primary":
                continue
            connection = await connect(
                host=LISTEN_HOST, port=endpoint.port, user="setup", autocommit=True
            )
            async with connection.cursor() as cursor:
                for statement in self.deployment.table_definitions():
                    await cursor.execute(statement)
            connection.close()

    async def store_document(self, document: Document) -> None:
        """Store the first version of the document."""
        stored = StoredDocument(
            version=1,
            author="launcher",
            comment="first version",
            changed_at=datetime.now(UTC).isoformat(timespec="seconds"),
            document=document,
        )
        async with EtcdStore(self.store_url) as store:
            key = document_key(document.environment)
            await store.compare_and_swap(key, encode_stored(stored), 0)

    async def start_proxies(self, document: Document) -> list[RunningProxy]:
        """Publish the host list and start the proxies of all failure domains."""
        places = [
            (region, domain)
            for region, domains in document.regions.items()
            for domain in domains
            for _ in range(self.deployment.proxies_per_domain)
        ]
        ports = free_ports(4 * len(places))
        hosts = [
            ListedHost(
                f"entry-{number + 1}",
                self.proxy_host,
                ports[4 * number + 1],
                ports[4 * number + 2],
                region,
                domain,
            )
            for number, (region, domain) in enumerate(places)
        ]
        await self.publish_hosts(hosts)
        return [
            await self.start_proxy(host, ports[4 * index], ports[4 * index + 3], hosts)
            for index, host in enumerate(hosts)
        ]

    @property
    def proxy_host(self) -> str:
        """Host that proxies use to connect to one another."""
        return RELAY_HOST if self.settings.relay is RelayScope.ALL else LISTEN_HOST

    async def publish_hosts(self, hosts: list[ListedHost]) -> None:
        """Replace the platform's host list."""
        async with httpx.AsyncClient(trust_env=False) as client:
            body = msgspec.json.encode(hosts)
            answer = await client.put(self.hosts_url, content=body)
            answer.raise_for_status()

    async def start_proxy(
        self,
        host: ListedHost,
        mysql_port: int,
        admin_port: int,
        hosts: list[ListedHost],
    ) -> RunningProxy:
        """Start one proxy with two other proxies as seeds."""
        others = [other for other in hosts if other.host_id != host.host_id]
        command = [
            PROXY_COMMAND,
            f"--host-id={host.host_id}",
            f"--region={host.region}",
            f"--failure-domain={host.failure_domain}",
            f"--host={LISTEN_HOST}",
            f"--mysql-port={mysql_port}",
            f"--statement-port={host.statement_port}",
            f"--gossip-port={host.gossip_port}",
            f"--admin-port={admin_port}",
            f"--store-url={self.store_url}",
            f"--hosts-url={self.hosts_url}",
            f"--environment={self.environment}",
            f"--admin-token={self.admin_token}",
        ]
        for other in others[:2]:
            command.append(f"--seed-peer={other.host}:{other.gossip_port}")
        if host.host != LISTEN_HOST:
            command.append(f"--advertise-host={host.host}")
        child = self.start_process(host.host_id, command)
        ports = [mysql_port, host.statement_port, host.gossip_port]
        await self.register_node(host.host_id, host.region, host.failure_domain, ports)
        return RunningProxy(
            host_id=host.host_id,
            host=self.advertised_host,
            mysql_port=mysql_port,
            admin_url=f"http://{LISTEN_HOST}:{admin_port}",
            pid=child.pid,
            region=host.region,
            failure_domain=host.failure_domain,
        )

    async def wait_until_ready(self, proxy: RunningProxy) -> None:
        """Wait until the proxy answers a query on every database."""
        child = self.children[proxy.host_id]
        with anyio.fail_after(READY_TIMEOUT_S):
            for database in self.running.databases:
                while not await self.answers_query(proxy, database):
                    child.require_running()
                    await anyio.sleep(READY_POLL_INTERVAL_S)

    async def answers_query(self, proxy: RunningProxy, database: str) -> bool:
        """Return whether a read through a new connection to the proxy succeeds."""
        user = self.running.users[0]
        table = self.running.tables[user.rank]
        try:
            connection = await connect(
                host=proxy.host,
                port=proxy.mysql_port,
                user=user.name,
                password=user.password,
                database=database,
                connect_timeout=1,
            )
        except CONNECT_ERRORS:
            return False
        try:
            async with connection.cursor() as cursor:
                await cursor.execute(f"SELECT item FROM {table} WHERE item = 'none'")
            return True
        except (OSError, asyncmy.errors.Error):
            return False
        finally:
            connection.close()

    def users(self, document: Document) -> list[RunningUser]:
        """Return all accounts, starting with those that the load generator uses."""
        ranks = {name: rank for rank, name in self.deployment.users.items()}
        names = [*ranks]
        for tenant in document.tenants.values():
            names += [name for name in tenant.users if name not in ranks]
        return [
            RunningUser(
                name=name,
                password=example_password(name),
                rank=ranks[name].name.lower() if name in ranks else "bulk",
            )
            for name in names
        ]


def with_endpoint_addresses(
    document: Document, endpoints: list[RunningEndpoint], host: str
) -> Document:
    """Return the document with `host` and the ports of the running instances."""
    databases = {}
    for name, database in document.databases.items():
        instances = {
            endpoint.instance: msgspec.structs.replace(
                database.instances[endpoint.instance],
                host=host,
                port=endpoint.port,
            )
            for endpoint in endpoints
            if endpoint.database == name
        }
        databases[name] = msgspec.structs.replace(database, instances=instances)
    return msgspec.structs.replace(document, databases=databases)
