"""Owner path: handles requests of entry proxies for the endpoints owned here."""

from collections.abc import Callable
from types import TracebackType

import anyio
from anyio.abc import TaskGroup

from rosemaryward.decisions.errors import OverloadError, RosemarywardError
from rosemaryward.decisions.messages import (
    DrainRequest,
    EndTransaction,
    NotRun,
    ReachabilityRequest,
    StatementReply,
    StatementRequest,
    StatementResult,
)
from rosemaryward.decisions.routing.owned_endpoint import OwnedEndpoint
from rosemaryward.decisions.routing.replies import (
    REASON_NOT_OWNER,
    to_overload,
    to_reply,
)
from rosemaryward.decisions.types import EndpointId

__all__ = ["OwnerService"]

IDLE_CHECK_INTERVAL_S = 1.0


class OwnerService:
    """Handles requests of entry proxies for all endpoints that this proxy owns.

    Parameters
    ----------
    is_owner : callable
        Returns whether this proxy may serve an endpoint now.
    reachability : callable
        Returns the reply to a `ReachabilityRequest` request.
    on_drain : callable, optional
        Starts the drain of this proxy.
    """

    def __init__(
        self,
        is_owner: Callable[[EndpointId], bool],
        reachability: Callable[[EndpointId], StatementReply],
        on_drain: Callable[[], None] = lambda: None,
    ) -> None:
        self.on_drain = on_drain
        self.is_owner = is_owner
        self.reachability = reachability
        self.endpoints: dict[EndpointId, OwnedEndpoint] = {}
        self.task_group: TaskGroup | None = None

    async def __aenter__(self) -> "OwnerService":
        self.task_group = anyio.create_task_group()
        await self.task_group.__aenter__()
        self.task_group.start_soon(self._roll_back_idle)
        return self

    async def __aexit__(
        self,
        kind: type[BaseException] | None,
        error: BaseException | None,
        trace: TracebackType | None,
    ) -> None:
        assert self.task_group is not None
        self.task_group.cancel_scope.cancel()
        await self.task_group.__aexit__(None, None, None)

    async def handle(self, sender: str, message: StatementRequest) -> StatementReply:
        """Return the reply to a request; project errors become replies too.

        Parameters
        ----------
        sender : str
            Host id of the entry proxy.
        message : StatementRequest
        """
        try:
            if isinstance(message, ReachabilityRequest):
                return self.reachability(message.endpoint)
            if isinstance(message, DrainRequest):
                self.on_drain()
                return StatementResult()
            owned = self.endpoints.get(message.endpoint)
            if owned is None:
                return NotRun(
                    REASON_NOT_OWNER, f"{message.endpoint} is not owned by this proxy"
                )
            if isinstance(message, EndTransaction):
                return await owned.end(sender, message)
            starts_work = not message.transaction or message.begins_transaction
            if starts_work and not self.is_owner(message.endpoint):
                return NotRun(
                    REASON_NOT_OWNER,
                    f"{message.endpoint} is handed over to another proxy",
                )
            try:
                return await owned.run(sender, message)
            except OverloadError as error:
                return to_overload(error, owned.access.admission.estimated_waits_s())
        except RosemarywardError as error:
            return to_reply(error)

    def roll_back_sender(self, sender: str) -> None:
        """Roll back the open transactions of an entry proxy that disconnected."""
        assert self.task_group is not None
        for owned in self.endpoints.values():
            for transaction in owned.transactions.table.of_sender(sender):
                self.task_group.start_soon(owned.roll_back, transaction)

    async def _roll_back_idle(self) -> None:
        while True:
            await anyio.sleep(IDLE_CHECK_INTERVAL_S)
            for owned in list(self.endpoints.values()):
                for transaction in owned.idle_transactions():
                    await owned.roll_back(transaction)
