"""Endpoints that this proxy owns: their pools, queues and hand-over."""

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
from rosemaryward.proxy.groups import GroupRegistry

__all__ = ["OwnedEndpoints"]

CONNECT_TIMEOUT_S = 1.0
CONTROL_CONNECTIONS = 6
"""Control connections of a group's three owners, two each, at every instance."""


class OwnedEndpoints:
    """Gains and gives up endpoints.

    Parameters
    ----------
    owner : OwnerService
    groups : GroupRegistry
    runner : ContextRunner
    credentials : Credentials
    grace_s : float
        Longest wait for work in progress when an endpoint is given up.
    observer : StatementObserver
    """

    def __init__(
        self,
        owner: OwnerService,
        groups: GroupRegistry,
        runner: ContextRunner,
        credentials: Credentials,
        grace_s: float,
        observer: StatementObserver,
    ) -> None:
        self.observer = observer
        self.owner = owner
        self.groups = groups
        self.runner = runner
        self.credentials = credentials
        self.grace_s = grace_s
        self.document: Document | None = None
        self.held: set[EndpointId] = set()
        self.gains = 0
        self.losses = 0

    def use_document(self, document: Document) -> None:
        """Take over a new configuration."""
        self.document = document
        for endpoint in self.held:
            section = document.databases.get(endpoint.database)
            if section is None or endpoint.instance not in section.instances:
                continue  # ownership is about to be lost
            self.groups.update(endpoint.database, section)
            admission = self.owner.endpoints[endpoint].access.admission
            if isinstance(admission, AdmissionQueue):
                admission.set_slots(section.slots)

    def gain(self, endpoint: EndpointId) -> None:
        """Start to serve an endpoint."""
        assert self.document is not None
        self.gains += 1
        self.held.add(endpoint)
        section = self.document.databases[endpoint.database]
        supervisor = self.groups.update(endpoint.database, section)
        self._tell_owned(endpoint.database)
        if endpoint in self.owner.endpoints:
            return  # regained before the work in progress had ended
        pool = self._create_pool(endpoint, section)
        admission = AdmissionQueue(section.slots, rank_sections(self.document))
        self.owner.endpoints[endpoint] = OwnedEndpoint(
            EndpointAccess(endpoint, admission, pool, supervisor, self.observer)
        )
        self.runner.start(endpoint, pool)

    def give_up(self, endpoint: EndpointId) -> None:
        """Stop serving an endpoint after the work in progress."""
        self.losses += 1
        self.held.discard(endpoint)
        self._tell_owned(endpoint.database)
        owned = self.owner.endpoints.get(endpoint)
        if owned is not None:
            self.runner.group.start_soon(self._release, endpoint, owned)

    def _tell_owned(self, database: str) -> None:
        supervisor = self.groups.supervisors.get(database)
        if supervisor is not None:
            supervisor.set_owned_instances(
                {e.instance for e in self.held if e.database == database}
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

        limit = max(1, section.connections - CONTROL_CONNECTIONS)
        return ConnectionPool(connect, limit, min_open=section.slots)

    async def _release(self, endpoint: EndpointId, owned: OwnedEndpoint) -> None:
        """Close the pool once the work in progress has ended."""
        with anyio.move_on_after(self.grace_s):
            await owned.wait_idle()
        if endpoint in self.held:
            return
        if self.owner.endpoints.get(endpoint) is owned:
            del self.owner.endpoints[endpoint]
        self.runner.stop(endpoint)
        if all(e.database != endpoint.database for e in self.held):
            self.groups.stop(endpoint.database)
