"""Answers to the rare requests of other members."""

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
    ReachabilityReply,
    RecordAck,
    RecordNotice,
    ReleaseReply,
    ReleaseRequest,
)
from rosemaryward.decisions.leadership.records import Leadership
from rosemaryward.decisions.mirror import ChangeHistory, ChangesRequest
from rosemaryward.peers.members import MemberReply, MemberRequest

__all__ = ["MemberRequests"]

REACHED_WITHIN_S = 0.3  # an answer as young as this needs no probe

log = structlog.get_logger(__name__)


class MemberRequests:
    """Answers other members.

    Parameters
    ----------
    incarnation : str
        This process.
    leadership : Leadership
    confirmation : Confirmation
    duty : FailoverLock
    directory : EndpointDirectory
    control : EndpointControl
    history : ChangeHistory
        Of this proxy's mirror of the store.
    """

    def __init__(
        self,
        incarnation: str,
        leadership: Leadership,
        confirmation: Confirmation,
        duty: FailoverLock,
        directory: EndpointDirectory,
        control: EndpointControl,
        history: ChangeHistory,
    ) -> None:
        self.history = history
        self.incarnation = incarnation
        self.leadership = leadership
        self.confirmation = confirmation
        self.duty = duty
        self.directory = directory
        self.control = control

    async def answer(self, request: MemberRequest) -> MemberReply:
        """Return the reply to a request."""
        if isinstance(request, ChangesRequest):
            age_s = boot_time_s() - self.confirmation.read_at
            return await self.history.answer(request, age_s)
        if isinstance(request, RecordNotice):
            self.leadership.observe(request.group, request.record, request.revision)
            return RecordAck()
        if isinstance(request, FenceRequest):
            position = await self.leadership.fence_and_drain(
                request.group, request.epoch
            )
            return FenceReply(self.incarnation, position)
        if isinstance(request, ConfirmationRequest):
            return self.confirmation.reply(request)
        if isinstance(request, ReleaseRequest):
            self.duty.invalidate_token(request.token)
            return ReleaseReply(stopped=self.confirmation.changes_in_progress == 0)
        return ReachabilityReply(await self._reaches(request.endpoint))

    async def _reaches(self, endpoint_id: str) -> bool:
        """Return whether an endpoint answers, if only that it is at its limit."""
        asked_at = boot_time_s()
        pool = self.directory.pools.get(endpoint_id)
        if pool is not None and pool.last_answer_at >= asked_at - REACHED_WITHIN_S:
            return True
        try:
            await self.control.status(endpoint_id)
        except EndpointError as error:
            answered = pool is not None and pool.last_answer_at >= asked_at
            log.info(
                "endpoint probed",
                endpoint=endpoint_id,
                answered=answered,
                error=str(error),
            )
            return answered
        return True
