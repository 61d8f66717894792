"""Failover supervisors of the databases of which this proxy owns an instance."""

from collections.abc import Callable, Mapping

from rosemaryward.decisions.document.schema import DatabaseSection
from rosemaryward.decisions.groups.supervisor import GroupSupervisor
from rosemaryward.decisions.messages import PrimaryRecord, ReachabilityReply
from rosemaryward.decisions.types import EndpointId, Place
from rosemaryward.proxy.contexts import ContextRunner

__all__ = ["SupervisorRegistry"]

SupervisorFactory = Callable[[str, DatabaseSection], GroupSupervisor]


class SupervisorRegistry:
    """Starts and stops supervisors as ownership and configuration change.

    Parameters
    ----------
    place : Place
        Region and failure domain of this proxy.
    runner : ContextRunner
        Runs the supervisors.
    create_supervisor : callable
        Creates the supervisor of a database from its name and section.
    known_primary : callable
        Returns the latest known primary record of a database, or None.

    Attributes
    ----------
    supervisors : dict of str to GroupSupervisor
        Running supervisors by database.
    """

    def __init__(
        self,
        place: Place,
        runner: ContextRunner,
        create_supervisor: SupervisorFactory,
        known_primary: Callable[[str], PrimaryRecord | None],
    ) -> None:
        self.place = place
        self.runner = runner
        self.create_supervisor = create_supervisor
        self.known_primary = known_primary
        self.supervisors: dict[str, GroupSupervisor] = {}

    def update(self, database: str, section: DatabaseSection) -> GroupSupervisor:
        """Return the supervisor of a database.

        Starts it if it does not run, and restarts it if an address has changed.
        """
        supervisor = self.supervisors.get(database)
        if supervisor is not None and _same_addresses(supervisor, section):
            supervisor.instances = section.instances
            return supervisor
        if supervisor is not None:
            self.stop(database)
        supervisor = self.supervisors[database] = self.create_supervisor(
            database, section
        )
        record = self.known_primary(database)
        if record is not None:
            supervisor.observe_primary(record)
        self.runner.start(database, supervisor)
        return supervisor

    def stop(self, database: str) -> None:
        """Stop the supervisor of a database, if there is one."""
        if self.supervisors.pop(database, None) is not None:
            self.runner.stop(database)

    def observe_primary(self, record: PrimaryRecord) -> None:
        """Pass a primary record to the supervisor of its database, if there is one."""
        supervisor = self.supervisors.get(record.database)
        if supervisor is not None:
            supervisor.observe_primary(record)

    def reachability(self, endpoint: EndpointId) -> ReachabilityReply:
        """Return whether this proxy reaches an endpoint."""
        supervisor = self.supervisors.get(endpoint.database)
        if supervisor is None:
            return ReachabilityReply(False, False, self.place)
        return supervisor.reachability(endpoint)


def _same_addresses(supervisor: GroupSupervisor, section: DatabaseSection) -> bool:
    return _addresses(supervisor.instances) == _addresses(section.instances)


def _addresses(instances: Mapping) -> dict[str, tuple[str, int]]:
    return {name: (i.host, i.port) for name, i in instances.items()}
