"""State of this proxy as the administration API shows it."""

from typing import TYPE_CHECKING

import anyio

from rosemaryward.decisions.admission import AdmissionQueue
from rosemaryward.decisions.document.schema import InstanceSection
from rosemaryward.decisions.errors import (
    NotRunError,
    OutcomeUnknownError,
    PeerError,
)
from rosemaryward.decisions.messages import DrainRequest, MemberState
from rosemaryward.decisions.routing.attributes import Attributes, parse_token
from rosemaryward.decisions.routing.classification import StatementKind
from rosemaryward.decisions.routing.rules import Policy
from rosemaryward.decisions.types import EndpointId, LogPosition, Rank
from rosemaryward.operators.view import (
    Candidate,
    EndpointStatus,
    ExplainReply,
    ExplainRequest,
    PrimaryStatus,
    ProxyInfo,
    ProxyStatus,
    UnknownHostError,
)

if TYPE_CHECKING:
    from rosemaryward.proxy.node import ProxyNode

__all__ = ["NodeView"]

DRAIN_TIMEOUT_S = 2.0
MAX_LISTED_DATABASES = 500
"""Databases in one status reply, to bound its size to one page."""


class NodeView:
    """Implements `ProxyView` for one proxy.

    Parameters
    ----------
    node : ProxyNode
        Proxy whose state is shown.
    """

    def __init__(self, node: "ProxyNode") -> None:
        self.node = node

    def status(self) -> ProxyStatus:
        """Return the proxy's view of the fleet, its endpoints and their primaries."""
        node = self.node
        configuration = node.configuration
        configuration_age_s = (
            anyio.current_time() - node.applied_at if node.applied_at else 0.0
        )
        return ProxyStatus(
            host_id=node.settings.host_id,
            environment=node.settings.environment,
            ready=node.is_ready(),
            configuration_version=configuration.version,
            configuration_age_s=round(configuration_age_s, 3),
            caller_connections=len(node.caller_server.sessions)
            if node.caller_server
            else 0,
            proxies=self._list_proxies(),
            endpoints=self._list_endpoints(),
            primaries=tuple(
                PrimaryStatus(database=r.database, instance=r.instance, term=r.term)
                for r in node.primaries.records()[:MAX_LISTED_DATABASES]
            ),
        )

    def explain(self, request: ExplainRequest) -> ExplainReply:
        """Return how a statement would be routed, without running it."""
        entry = self.node.entry_service
        account = self.node.account(request.user)
        if entry is None or account is None:
            raise ValueError(
                f"user: expected one of the document, got {request.user!r}"
            )
        if request.database not in entry.rules.document.databases:
            raise ValueError(
                f"database: expected one of the document, got {request.database!r}"
            )
        statement = entry.classifier.classify(request.statement)
        policy = entry.rules.policy(account, request.database, statement, Attributes())
        is_read = statement.kind is StatementKind.READ
        candidates = self._list_candidates(request, policy, is_read)
        eligible = [c.instance for c in candidates if c.eligible]
        minimum = self._minimum_position(request, policy)
        return ExplainReply(
            tenant=account.tenant,
            rank=policy.rank.name.lower(),
            access="read" if is_read else "write",
            rule=policy.rule,
            deadline_s=policy.deadline_s,
            max_staleness_s=policy.max_staleness_s,
            minimum=minimum if is_read else "",
            candidates=tuple(candidates),
            target=eligible[0] if eligible else "",
            reason=_explain_choice(is_read, minimum),
        )

    async def drain(self, host_id: str) -> None:
        """Start draining a proxy, which may be this one.

        Raises
        ------
        UnknownHostError
            If no live member has this host id.
        PeerError
            If the proxy does not answer.
        """
        node = self.node
        if host_id == node.settings.host_id:
            node.start_drain()
            return
        member = next(
            (m for m in node.membership.members() if m.host_id == host_id), None
        )
        if member is None or member.state is MemberState.DEAD:
            raise UnknownHostError(
                f"expected the host id of a live member, got {host_id!r}"
            )
        try:
            await node.statement_client.request(member, DrainRequest(), DRAIN_TIMEOUT_S)
        except (NotRunError, OutcomeUnknownError) as error:
            raise PeerError(f"{host_id}: {error}") from error

    def _list_proxies(self) -> tuple[ProxyInfo, ...]:
        owned: dict[str, int] = {}
        for database in self._list_databases():
            for host_id in self.node.ownership.owners(database).values():
                owned[host_id] = owned.get(host_id, 0) + 1
        return tuple(
            ProxyInfo(
                host_id=member.host_id,
                state=MemberState(member.state).name.lower(),
                region=member.place.region,
                failure_domain=member.place.failure_domain,
                incarnation=member.incarnation,
                endpoints=owned.get(member.host_id, 0),
            )
            for member in sorted(self.node.membership.members(), key=_sort_key)
        )

    def _list_databases(self) -> list[str]:
        rules = self.node.rules
        return [] if rules is None else list(rules.document.databases)

    def _list_endpoints(self) -> tuple[EndpointStatus, ...]:
        rules = self.node.rules
        if rules is None:
            return ()
        return tuple(
            self._endpoint_status(EndpointId(database, name), section)
            for database in self._list_databases()[:MAX_LISTED_DATABASES]
            for name, section in rules.document.databases[database].instances.items()
        )

    def _endpoint_status(
        self, endpoint: EndpointId, section: InstanceSection
    ) -> EndpointStatus:
        node = self.node
        owner = node.directory.owner_of(endpoint)
        supervisor = node.supervisors.supervisors.get(endpoint.database)
        status = supervisor.status_of(endpoint.instance) if supervisor else None
        owned = node.owner_service.endpoints.get(endpoint)
        queue = owned.access.admission if owned is not None else None
        lag_s = supervisor.staleness_s(endpoint.instance) if supervisor else None
        reachable = supervisor.reachability(endpoint).reached if supervisor else None
        return EndpointStatus(
            database=endpoint.database,
            instance=endpoint.instance,
            owner=owner.host_id if owner is not None else "",
            role=status.role.value if status is not None else "",
            term=status.term if status is not None else 0,
            lag_s=None if lag_s is None or lag_s == float("inf") else round(lag_s, 3),
            reachable=reachable,
            queue=_queue_lengths(queue),
            running=queue.running if isinstance(queue, AdmissionQueue) else 0,
            slots=queue.slots if queue is not None else 0,
            leaving=section.leaving or (status is not None and status.leaving),
        )

    def _list_candidates(
        self, request: ExplainRequest, policy: Policy, is_read: bool
    ) -> list[Candidate]:
        entry = self.node.entry_service
        assert entry is not None
        instances = entry.rules.document.databases[request.database].instances
        primary = self.node.directory.primary_of(request.database)
        order = [EndpointId(request.database, primary)] if primary else []
        if is_read:
            replicas = entry.replica_selector.order_replicas(
                request.database, instances, primary
            )
            order = replicas + order
        return [self._make_candidate(e, e.instance == primary, policy) for e in order]

    def _make_candidate(
        self, endpoint: EndpointId, is_primary: bool, policy: Policy
    ) -> Candidate:
        owner = self.node.directory.owner_of(endpoint)
        supervisor = self.node.supervisors.supervisors.get(endpoint.database)
        lag_s = supervisor.staleness_s(endpoint.instance) if supervisor else None
        too_stale = (
            not is_primary
            and lag_s is not None
            and policy.max_staleness_s > 0
            and lag_s > policy.max_staleness_s
        )
        reason = "primary" if is_primary else "replica"
        if owner is None:
            reason = "no proxy owns this endpoint"
        elif too_stale:
            reason = f"data older than {policy.max_staleness_s:g} s"
        return Candidate(
            instance=endpoint.instance,
            owner=owner.host_id if owner is not None else "",
            eligible=owner is not None and not too_stale,
            reason=reason,
            lag_s=None if lag_s is None or lag_s == float("inf") else round(lag_s, 3),
        )

    def _minimum_position(self, request: ExplainRequest, policy: Policy) -> str:
        if not request.session_token or policy.max_staleness_s == 0.0:
            return ""
        token = request.session_token
        if "=" not in token:
            token = f"{request.database}={token}"
        position = parse_token(token).get(request.database, LogPosition())
        return position.to_token()


def _sort_key(member) -> str:  # type: ignore[no-untyped-def]
    return str(member.host_id)


def _queue_lengths(queue: object) -> dict[str, int]:
    if not isinstance(queue, AdmissionQueue):
        return {}
    return {rank.name.lower(): queue.rank_queues[rank].length for rank in Rank}


def _explain_choice(is_read: bool, minimum: str) -> str:
    if not is_read:
        return "writes go to the primary"
    if minimum:
        return "the session's position must be applied"
    return "the replica's owner takes a read index before the read"
