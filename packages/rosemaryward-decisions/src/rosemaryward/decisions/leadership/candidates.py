"""Selection of the endpoint that becomes the primary of a group."""

import math
from collections.abc import Sequence

import msgspec
import structlog

from rosemaryward.decisions.leadership.context import FailoverContext
from rosemaryward.decisions.leadership.control import EndpointStatus
from rosemaryward.decisions.leadership.replica_sets import (
    count_uncertain,
    merge_endpoints,
)
from rosemaryward.decisions.types import LogPosition

__all__ = ["CandidateSelector", "EndpointStatuses"]

log = structlog.get_logger(__name__)


class EndpointStatuses(msgspec.Struct, frozen=True):
    """Statuses of the endpoints of a group during a change of primary.

    Parameters
    ----------
    answered : dict of str to EndpointStatus
        Status of each endpoint that answered, by id.
    silent : list of str
        Ids of the endpoints that did not.
    """

    answered: dict[str, EndpointStatus]
    silent: list[str]


class CandidateSelector:
    """Selects an endpoint that has all acknowledged commits of a group.

    Parameters
    ----------
    group : str
        Group whose primary is changed.
    context : FailoverContext
        Objects that the change uses.

    Attributes
    ----------
    last_decision : dict of str to object
        Fields of the last logged decision, which is repeated many times.
    """

    def __init__(self, group: str, context: FailoverContext) -> None:
        self.group = group
        self.context = context
        self.last_decision: dict[str, object] = {}

    def choose(
        self,
        statuses: EndpointStatuses,
        eligible: Sequence[str],
        reported: LogPosition | None,
        committed: LogPosition,
    ) -> str | None:
        """Return the endpoint to promote, None if none surely has all commits.

        Parameters
        ----------
        statuses : EndpointStatuses
            Statuses read after the old primary stopped confirming commits.
        eligible : sequence of str
            Endpoints that answered and may be promoted, unless they leave; the first
            one among equals is chosen.
        reported : LogPosition or None
            Newest position that all members have seen acknowledged, None if some
            have not answered.
        committed : LogPosition
            Position that a write which a member has seen acknowledged has at least.
        """
        candidates = {
            endpoint_id: statuses.answered[endpoint_id].received
            for endpoint_id in eligible
            if not self._is_leaving(endpoint_id)
        }
        if not candidates:
            return None
        best = max(candidates, key=candidates.__getitem__)
        received = candidates[best]
        positions = {e: s.received for e, s in statuses.answered.items()}
        replica_set = self._replica_set()
        uncertain = count_uncertain(received, replica_set, positions)
        tolerated = self.context.tolerated_logs(self.group)
        acknowledged = self._newest_acknowledged(reported)
        has_all_acknowledged = acknowledged is not None and received >= acknowledged
        # An endpoint that has started just now may hold commits and not be known yet.
        may_lack_endpoints = self.context.directory.may_lack_endpoints()
        is_counted = uncertain <= tolerated and not may_lack_endpoints
        # Without synchronous replicas, the loss of the primary's log is accepted. If
        # all logs are known and none has the commit, it is lost for good.
        may_exist = uncertain > 0 and self._is_replicated()
        lacks_commit = received < committed and may_exist
        is_chosen = not lacks_commit and (is_counted or has_all_acknowledged)
        decision = {
            "endpoint": best,
            "received": received.to_token(),
            "newest": max(positions.values()).to_token(),
            "positions": {e: p.to_token() for e, p in sorted(positions.items())},
            "acknowledged": "" if acknowledged is None else acknowledged.to_token(),
            "reported": "" if reported is None else reported.to_token(),
            "committed": committed.to_token(),
            "silent": statuses.silent,
            "replica_set": sorted(replica_set),
            "uncertain": uncertain,
            "tolerated": tolerated,
            "may_lack_endpoints": may_lack_endpoints,
            "chosen": is_chosen,
        }
        if decision != self.last_decision:
            log.info("candidate", group=self.group, **decision)
        self.last_decision = decision
        return best if is_chosen else None

    def complete_replicas(
        self, primary: str, demoted: EndpointStatus, held: EndpointStatuses
    ) -> list[str]:
        """Return the replicas that have all that a demoted primary can acknowledge.

        An entry that none of the held replicas has received cannot be acknowledged any
        more.

        Parameters
        ----------
        primary : str
            Id of the demoted primary.
        demoted : EndpointStatus
            Its status since.
        held : EndpointStatuses
            Statuses of the replicas, which receive nothing more.
        """
        others = self._replica_set().keys() - {primary}
        required = demoted.received
        if others and others <= held.answered.keys():
            required = max(status.received for status in held.answered.values())
        return [e for e, s in held.answered.items() if s.received >= required]

    def _newest_acknowledged(self, reported: LogPosition | None) -> LogPosition | None:
        """Return a position that includes all acknowledged writes, None if unknown.

        Processes that have ended do not answer a fence. A sample of the primary's
        position that was taken since includes what they have seen acknowledged.
        """
        if reported is None:
            return None
        ended_at = self.context.members.last_end_at()
        if math.isinf(ended_at):
            return reported
        sampled = self.context.group_samples(self.group).required_position(ended_at)
        return None if sampled is None else max(reported, sampled)

    def _is_leaving(self, endpoint_id: str) -> bool:
        """Return whether an endpoint leaves, or has left during the change."""
        endpoint = self.context.directory.endpoints.get(endpoint_id)
        return endpoint is None or endpoint.leaving

    def _is_replicated(self) -> bool:
        """Return whether an acknowledged commit is in the log of a replica."""
        return self.context.sync_replicas(self.group) > 0

    def _replica_set(self) -> dict[str, str]:
        """Return the endpoints that may hold acknowledged commits, with addresses."""
        recorded = self.context.replica_sets.endpoints(self.group)
        registered = self.context.directory.in_group(self.group)
        return merge_endpoints(recorded, registered)
