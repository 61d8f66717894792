"""Probes of endpoints that did not answer, so that they are used again soon."""

from collections.abc import Callable

import anyio
import structlog

from rosemaryward.decisions.errors import EndpointError
from rosemaryward.decisions.gateway.connections import EndpointPool
from rosemaryward.decisions.gateway.directory import EndpointDirectory
from rosemaryward.decisions.gateway.environment import Endpoint
from rosemaryward.decisions.leadership.control import EndpointControl

__all__ = ["EndpointProber"]

PROBE_INTERVAL_S = 0.3

log = structlog.get_logger(__name__)


class EndpointProber:
    """Asks avoided endpoints for their status; an answer ends the avoidance.

    A relay refuses statements for an endpoint that does not answer it, so none of them
    would find out that it answers again. Only relays probe: an endpoint that is slow
    under load would get further connections from every other proxy.

    Parameters
    ----------
    directory : EndpointDirectory
        Endpoints with the direct pools of this proxy.
    control : EndpointControl
        Requests the status of an endpoint.
    is_relay : callable
        Returns whether this proxy is the relay of an endpoint.

    Attributes
    ----------
    probing : set of str
        Ids of the endpoints with a probe in progress.
    """

    def __init__(
        self,
        directory: EndpointDirectory,
        control: EndpointControl,
        is_relay: Callable[[Endpoint], bool],
    ) -> None:
        self.directory = directory
        self.control = control
        self.is_relay = is_relay
        self.probing: set[str] = set()

    async def run(self) -> None:
        """Probe avoided endpoints until cancelled."""
        async with anyio.create_task_group() as tasks:
            while True:
                for endpoint_id, pool in self.directory.pools.items():
                    if self._is_due(pool):
                        self.probing.add(endpoint_id)
                        tasks.start_soon(self._probe, endpoint_id)
                await anyio.sleep(PROBE_INTERVAL_S)

    def _is_due(self, pool: EndpointPool) -> bool:
        """Return whether to probe an endpoint now."""
        if not pool.suspect or pool.endpoint.id in self.probing:
            return False
        return self.is_relay(pool.endpoint)

    async def _probe(self, endpoint_id: str) -> None:
        try:
            await self.control.status(endpoint_id)
        except EndpointError as error:
            log.debug(
                "probe of an avoided endpoint failed",
                endpoint=endpoint_id,
                error=str(error),
            )
        finally:
            self.probing.discard(endpoint_id)
