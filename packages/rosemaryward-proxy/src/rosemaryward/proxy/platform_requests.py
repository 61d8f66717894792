"""Handling of requests from other members of the fleet."""

import structlog

from rosemaryward.decisions.clock import boot_time_s
from rosemaryward.decisions.errors import EndpointError
from rosemaryward.decisions.gateway.directory import EndpointDirectory
from rosemaryward.decisions.leadership.confirmation import Confirmation
from rosemaryward.decisions.leadership.control import EndpointControl
from rosemaryward.decisions.leadership.failover_lock import FailoverLock
from rosemaryward.decisions.leadership.members import (
    ConfirmationRequest,
    FenceReply,
    FenceRequest,
    IntroductionReply,
    IntroductionRequest,
    ReachabilityReply,
    RecordAck,
    RecordNotice,
    ReleaseReply,
    ReleaseRequest,
)
from rosemaryward.decisions.leadership.records import Leadership
from rosemaryward.decisions.mirror import ChangeHistory, ChangesRequest
from rosemaryward.peers.members import MemberReply, MemberRequest

__all__ = ["MemberRequestHandler"]

RECENT_ANSWER_S = 0.3  # after a more recent answer the endpoint is not probed

log = structlog.get_logger(__name__)


class MemberRequestHandler:
    """Answers requests of other members.

    Parameters
    ----------
    incarnation : str
        Identifier of this process.
    leadership : Leadership
        Group records known here.
    confirmation : Confirmation
        Tells how recent the records are.
    failover_lock : FailoverLock
        Lock whose tokens can be invalidated.
    directory : EndpointDirectory
        Connection pools of the endpoints.
    control : EndpointControl
        Probes endpoints.
    history : ChangeHistory
        Recent changes seen by this proxy's mirror of the store.
    """

    def __init__(
        self,
        incarnation: str,
        leadership: Leadership,
        confirmation: Confirmation,
        failover_lock: FailoverLock,
        directory: EndpointDirectory,
        control: EndpointControl,
        history: ChangeHistory,
    ) -> None:
        self.history = history
        self.incarnation = incarnation
        self.leadership = leadership
        self.confirmation = confirmation
        self.failover_lock = failover_lock
        self.directory = directory
        self.control = control

    async def handle(self, request: MemberRequest) -> MemberReply:
        """Return the reply to a request."""
        if isinstance(request, ChangesRequest):
            return await self.history.answer(
                request, lambda: boot_time_s() - self.confirmation.read_at
            )
        if isinstance(request, RecordNotice):
            self.leadership.observe(request.group, request.record, request.revision)
            return RecordAck()
        if isinstance(request, FenceRequest):
            position = await self.leadership.fence_and_drain(
                request.group, request.epoch
            )
            committed = self.leadership.committed_position(request.group)
            return FenceReply(self.incarnation, position, committed)
        if isinstance(request, ConfirmationRequest):
            return self.confirmation.reply(request)
        if isinstance(request, IntroductionRequest):
            self.confirmation.observe_introduction(request.member)
            return IntroductionReply(self.incarnation)
        if isinstance(request, ReleaseRequest):
            self.failover_lock.invalidate_token(request.token)
            return ReleaseReply(stopped=self.confirmation.changes_in_progress == 0)
        return ReachabilityReply(await self._is_reachable(request.endpoint))

    async def _is_reachable(self, endpoint_id: str) -> bool:
        """Return whether an endpoint answers; a refusal for its limit counts too."""
        started_at = boot_time_s()
        pool = self.directory.pools.get(endpoint_id)
        if pool is not None and pool.last_answer_at >= started_at - RECENT_ANSWER_S:
            return True
        try:
            await self.control.status(endpoint_id)
        except EndpointError as error:
            answered = pool is not None and pool.last_answer_at >= started_at
            log.info(
                "endpoint probed",
                endpoint=endpoint_id,
                answered=answered,
                error=str(error),
            )
            return answered
        return True
