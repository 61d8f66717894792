"""Connection pools and admission queues of the endpoints that this proxy owns."""

import anyio

from rosemaryward.decisions.admission import AdmissionQueue
from rosemaryward.decisions.document.schema import DatabaseSection, Document
from rosemaryward.decisions.routing.access import EndpointAccess
from rosemaryward.decisions.routing.observer import StatementObserver
from rosemaryward.decisions.routing.owned_endpoint import OwnedEndpoint
from rosemaryward.decisions.routing.owner import OwnerService
from rosemaryward.decisions.routing.rules import rank_sections
from rosemaryward.decisions.types import EndpointId
from rosemaryward.endpoints.connection import Credentials, open_connection
from rosemaryward.endpoints.pool import ConnectionPool
from rosemaryward.proxy.contexts import ContextRunner
from rosemaryward.proxy.supervisors import SupervisorRegistry

__all__ = ["OwnedEndpoints"]

CONNECT_TIMEOUT_S = 1.0
CONTROL_CONNECTIONS_PER_INSTANCE = 6
"""Two control connections from each of the three owners of a database group."""


class OwnedEndpoints:
    """Creates and closes the resources of endpoints as their ownership changes.

    Parameters
    ----------
    owner_service : OwnerService
        Serves statements at the owned endpoints.
    supervisors : SupervisorRegistry
        Supervisors of the databases with an owned instance.
    runner : ContextRunner
        Runs the connection pools.
    credentials : Credentials
        Login of the proxy at the instances.
    grace_s : float
        Longest wait for work in progress when an endpoint is released, in seconds.
    observer : StatementObserver
        Receives the outcomes and times of statements.

    Attributes
    ----------
    owned : set of EndpointId
        Endpoints that this proxy owns at present.
    """

    def __init__(
        self,
        owner_service: OwnerService,
        supervisors: SupervisorRegistry,
        runner: ContextRunner,
        credentials: Credentials,
        grace_s: float,
        observer: StatementObserver,
    ) -> None:
        self.observer = observer
        self.owner_service = owner_service
        self.supervisors = supervisors
        self.runner = runner
        self.credentials = credentials
        self.grace_s = grace_s
        self.document: Document | None = None
        self.owned: set[EndpointId] = set()
        self.acquired_count = 0
        self.released_count = 0

    def apply_document(self, document: Document) -> None:
        """Apply a new configuration document to the owned endpoints."""
        self.document = document
        for endpoint in self.owned:
            section = document.databases.get(endpoint.database)
            if section is None or endpoint.instance not in section.instances:
                continue  # the endpoint was removed; its ownership ends soon
            self.supervisors.update(endpoint.database, section)
            admission = self.owner_service.endpoints[endpoint].access.admission
            if isinstance(admission, AdmissionQueue):
                admission.set_slots(section.slots)

    def acquire(self, endpoint: EndpointId) -> None:
        """Start serving an endpoint."""
        assert self.document is not None
        self.acquired_count += 1
        self.owned.add(endpoint)
        section = self.document.databases[endpoint.database]
        supervisor = self.supervisors.update(endpoint.database, section)
        self._update_supervisor(endpoint.database)
        if endpoint in self.owner_service.endpoints:
            return  # acquired again before the previous work ended
        pool = self._create_pool(endpoint, section)
        admission = AdmissionQueue(section.slots, rank_sections(self.document))
        self.owner_service.endpoints[endpoint] = OwnedEndpoint(
            EndpointAccess(endpoint, admission, pool, supervisor, self.observer)
        )
        self.runner.start(endpoint, pool)

    def release(self, endpoint: EndpointId) -> None:
        """Stop serving an endpoint once the work in progress has ended."""
        self.released_count += 1
        self.owned.discard(endpoint)
        self._update_supervisor(endpoint.database)
        owned = self.owner_service.endpoints.get(endpoint)
        if owned is not None:
            self.runner.task_group.start_soon(self._close_when_idle, endpoint, owned)

    def _update_supervisor(self, database: str) -> None:
        supervisor = self.supervisors.supervisors.get(database)
        if supervisor is not None:
            supervisor.set_owned_instances(
                {e.instance for e in self.owned if e.database == database}
            )

    def _create_pool(
        self, endpoint: EndpointId, section: DatabaseSection
    ) -> ConnectionPool:
        instance = section.instances[endpoint.instance]

        async def connect():  # type: ignore[no-untyped-def]
            return await open_connection(
                instance.host,
                instance.port,
                endpoint.database,
                self.credentials,
                CONNECT_TIMEOUT_S,
            )

        limit = max(1, section.connections - CONTROL_CONNECTIONS_PER_INSTANCE)
        return ConnectionPool(connect, limit, min_open=section.slots)

    async def _close_when_idle(
        self, endpoint: EndpointId, owned: OwnedEndpoint
    ) -> None:
        """Close the pool after the work in progress, at the latest after `grace_s`."""
        with anyio.move_on_after(self.grace_s):
            await owned.wait_idle()
        if endpoint in self.owned:
            return
        if self.owner_service.endpoints.get(endpoint) is owned:
            del self.owner_service.endpoints[endpoint]
        self.runner.stop(endpoint)
        if all(e.database != endpoint.database for e in self.owned):
            self.supervisors.stop(endpoint.database)
