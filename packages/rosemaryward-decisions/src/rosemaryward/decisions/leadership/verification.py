"""Verification that a primary still leads, before a read at it.

A confirmation is valid for several seconds, so that proxies can serve while the store
does not answer them. A change of primary would have to wait that long for a proxy that
does not answer. Instead, a proxy whose confirmation is older than `UNVERIFIED_READ_S`
asks the primary for its status before it reads: one that was demoted reports it.
"""

from collections.abc import Callable

import anyio
import structlog

from rosemaryward.decisions.clock import boot_time_s
from rosemaryward.decisions.errors import EndpointError
from rosemaryward.decisions.leadership.control import EndpointControl
from rosemaryward.decisions.leadership.records import Leadership

__all__ = ["PrimaryVerifier"]

log = structlog.get_logger(__name__)


class PrimaryVerifier:
    """Asks primaries for their status; reads that arrive meanwhile share the answer.

    Parameters
    ----------
    leadership : Leadership
        Records of the primaries, and their verifications.
    control : EndpointControl
        Requests the status of an endpoint.
    clock : callable, optional
        Boot time in seconds.

    Attributes
    ----------
    locks : dict of str to anyio.Lock
        Held while the status of an endpoint is requested.
    outcomes : dict of str to tuple of float and bool
        Boot time of the last request to each endpoint, and whether it leads.
    """

    def __init__(
        self,
        leadership: Leadership,
        control: EndpointControl,
        clock: Callable[[], float] = boot_time_s,
    ) -> None:
        self.leadership = leadership
        self.control = control
        self.clock = clock
        self.locks: dict[str, anyio.Lock] = {}
        self.outcomes: dict[str, tuple[float, bool]] = {}

    async def may_read(self, group: str, endpoint: str, epoch: int) -> bool:
        """Return whether no commit can be missing from a primary's log.

        Parameters
        ----------
        group : str
            Group of the primary.
        endpoint : str
            Id of the primary.
        epoch : int
            Epoch of the record that makes the endpoint the primary.
        """
        if self.leadership.may_read(group, endpoint, epoch):
            return True
        arrived_at = self.clock()
        async with self.locks.setdefault(endpoint, anyio.Lock()):
            if self.leadership.may_read(group, endpoint, epoch):
                return True
            sent_at, leads = self.outcomes.get(endpoint, (float("-inf"), False))
            if sent_at < arrived_at:
                leads = await self._request_status(endpoint)
        return leads

    async def _request_status(self, endpoint: str) -> bool:
        """Return whether an endpoint reports that it leads its group."""
        sent_at = self.clock()
        self.outcomes[endpoint] = (sent_at, False)
        try:
            status = await self.control.status(endpoint)
        except EndpointError as error:
            log.info("primary not verified", endpoint=endpoint, error=str(error))
            return False
        self.outcomes[endpoint] = (sent_at, status.is_primary)
        if status.is_primary:
            self.leadership.record_verification(endpoint, sent_at)
        else:
            log.info("primary was demoted", endpoint=endpoint, term=status.term)
        return status.is_primary
