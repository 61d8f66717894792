"""What a relay does with the statements of other proxies."""

import contextlib
from collections.abc import Callable
from contextlib import AbstractAsyncContextManager

import anyio
import msgspec
import structlog

from rosemaryward.decisions.admission import SlotGrant
from rosemaryward.decisions.clock import boot_time_s
from rosemaryward.decisions.errors import OverloadError
from rosemaryward.decisions.freshness import PositionSamples
from rosemaryward.decisions.gateway.connections import EndpointPool, PooledConnection
from rosemaryward.decisions.gateway.directory import EndpointDirectory
from rosemaryward.decisions.gateway.outcomes import (
    Answer,
    ConnectError,
    ConnectionState,
    Failure,
    UnansweredError,
)
from rosemaryward.decisions.gateway.statements import AdmissionParameters
from rosemaryward.decisions.leadership.records import Leadership
from rosemaryward.decisions.relays.messages import (
    Answered,
    BeginRequest,
    CloseRequest,
    LeasedRequest,
    Pong,
    Refused,
    RelayReply,
    RelayRequest,
    RollBackRequest,
    RunRequest,
    Unanswered,
)
from rosemaryward.decisions.types import Rank

__all__ = ["RelayService", "RelaySession"]

REPLY_MARGIN_S = 0.05  # for the refusal to arrive before the proxy gives up
ROLLBACK_TIMEOUT_S = 0.5
NO_TRANSACTION = Unanswered("the transaction has ended")

log = structlog.get_logger(__name__)


class RelayService:
    """Runs statements of other proxies on this proxy's connections.

    Parameters
    ----------
    directory : EndpointDirectory
    leadership : Leadership
    samples : callable
        Returns the samples of a group's primary.
    clock : callable, optional

    Attributes
    ----------
    leaving : bool
        Whether new statements are refused because the process stops.
    running : int
        Requests and transactions in progress.
    reply_counts : dict of str to int
        Replies so far by their kind.
    """

    def __init__(
        self,
        directory: EndpointDirectory,
        leadership: Leadership,
        samples: Callable[[str], PositionSamples],
        clock: Callable[[], float] = boot_time_s,
    ) -> None:
        self.directory = directory
        self.leadership = leadership
        self.samples = samples
        self.clock = clock
        self.leaving = False
        self.running = 0
        self.reply_counts: dict[str, int] = {}
        self.idle = anyio.Event()

    def enter(self) -> None:
        """Count a request or a transaction that begins."""
        self.running += 1

    def leave(self) -> None:
        """Count a request or a transaction that ends."""
        self.running -= 1
        if not self.running:
            self.idle.set()
            self.idle = anyio.Event()

    async def wait_until_idle(self) -> None:
        """Return when no request and no transaction is in progress."""
        while self.running:
            await self.idle.wait()

    def session(self, peer: str) -> "RelaySession":
        """Return the state of one connection of another proxy."""
        return RelaySession(self, peer)

    def find_pool(
        self, endpoint_id: str, admission: AdmissionParameters
    ) -> EndpointPool | Refused:
        """Return an endpoint's pool, or why its statements are refused."""
        if self.leaving:
            return Refused(Failure.BUSY, "the relay is leaving")
        pool = self.directory.pools.get(endpoint_id)
        if pool is None:
            return Refused(Failure.WRONG_ENDPOINT, f"{endpoint_id} is not registered")
        return self.check_epoch(pool, admission) or pool

    def check_epoch(
        self, pool: EndpointPool, admission: AdmissionParameters
    ) -> Refused | None:
        """Return a refusal if the primary that a statement names was replaced."""
        fenced = self.leadership.fenced.get(pool.endpoint.group, 0)
        if admission.epoch and admission.epoch < fenced:
            return Refused(Failure.NOT_PRIMARY, "the primary is being changed")
        return None

    def answer(
        self,
        pool: EndpointPool,
        admission: AdmissionParameters,
        times: "_Times",
        answer: Answer,
    ) -> Answered:
        """Return an endpoint's answer with what is known of its primary's log."""
        pool.record_answer(answer)
        if not admission.epoch or answer.position is None:
            return Answered(answer)
        if answer.failure is Failure.NOT_PRIMARY:
            return Answered(answer)
        samples = self.samples(pool.endpoint.group)
        samples.record(times.sent_at, answer.position)
        spread = [
            (sent_at - times.arrived_at, position)
            for sent_at, position in samples.spread(self.clock())
        ]
        return Answered(msgspec.structs.replace(answer, samples=spread))


class _Times:
    """When a request arrived, when it is of no use any more and when it was sent."""

    __slots__ = ("arrived_at", "expires_at", "sent_at")

    def __init__(self, arrived_at: float, remaining_s: float) -> None:
        self.arrived_at = arrived_at
        self.expires_at = arrived_at + remaining_s
        self.sent_at = arrived_at

    def remaining_s(self, now: float) -> float:
        """Return the time until the request is of no use, at least 0."""
        return max(self.expires_at - now, 0.0)


class _Lease:
    """Connection that an open transaction holds."""

    __slots__ = ("admitted", "busy", "given_up", "pool", "pooled")

    def __init__(self, pool: EndpointPool, pooled: PooledConnection) -> None:
        self.pool = pool
        self.pooled = pooled
        self.admitted = False
        self.busy = False
        self.given_up = False


class RelaySession:
    """Requests of one proxy on one connection.

    Parameters
    ----------
    service : RelayService
    peer : str
        Name of the other proxy.
    """

    def __init__(self, service: RelayService, peer: str) -> None:
        self.service = service
        self.peer = peer
        self.leases: dict[int, _Lease] = {}
        self.beginning: set[int] = set()
        self.closed = False

    async def handle(self, request: RelayRequest) -> RelayReply | None:
        """Return the reply to a request, None for one that has none."""
        self.service.enter()
        try:
            reply = await self._handle(request)
        finally:
            self.service.leave()
        if reply is not None:
            kind = type(reply).__name__.lower()
            reply_counts = self.service.reply_counts
            reply_counts[kind] = reply_counts.get(kind, 0) + 1
        return reply

    async def _handle(self, request: RelayRequest) -> RelayReply | None:
        if isinstance(request, RunRequest):
            return await self._run(request)
        if isinstance(request, BeginRequest):
            self.beginning.add(request.lease)
            try:
                return await self._begin(request)
            finally:
                self.beginning.discard(request.lease)
        if isinstance(request, LeasedRequest):
            return await self._run_leased(request)
        if isinstance(request, RollBackRequest):
            return await self._roll_back(request.lease)
        if isinstance(request, CloseRequest):
            self._give_up(request.lease)
            return None
        return Pong()

    def close(self) -> None:
        """Give up the transactions of a proxy whose connection has ended."""
        self.closed = True
        if self.leases:
            log.info(
                "relayed transactions given up", peer=self.peer, open=len(self.leases)
            )
        for lease in list(self.leases):
            self._give_up(lease)

    async def _run(self, request: RunRequest) -> RelayReply:
        found = self.service.find_pool(request.endpoint, request.admission)
        if isinstance(found, Refused):
            return found
        pool = found
        times = self._times(request.admission)
        try:
            async with (
                self._slot(pool, request.admission),
                pool.connection(times.remaining_s(self.service.clock())) as pooled,
            ):
                return await self._execute(pool, pooled, request, times)
        except OverloadError as error:
            return Refused(Failure.BUSY, str(error))
        except ConnectError as error:
            return Refused(error.failure, error.reason)

    async def _begin(self, request: BeginRequest) -> RelayReply:
        found = self.service.find_pool(request.endpoint, request.admission)
        if isinstance(found, Refused):
            return found
        pool = found
        times = self._times(request.admission)
        try:
            pooled = await pool.acquire(request.admission.remaining_s)
        except ConnectError as error:
            return Refused(error.failure, error.reason)
        try:
            with anyio.fail_after(times.remaining_s(self.service.clock())):
                await pooled.set_session_values(request.values)
                times.sent_at = self.service.clock()
                answer = await pooled.begin(request.read_only, request.min_position)
        except (UnansweredError, TimeoutError) as error:
            reason = _reason(error)
            pool.record_unanswered(times.sent_at, error, reason)
            pool.release(pooled)
            return Unanswered(reason)
        except BaseException:
            pool.release(pooled)
            raise
        if answer.failure is not None:
            pool.release(pooled)
        elif self.closed or request.lease not in self.beginning:
            # The other proxy has given the transaction up, or has ended.
            pooled.broken = True
            pool.release(pooled)
        else:
            self.leases[request.lease] = _Lease(pool, pooled)
            self.service.enter()
        return self.service.answer(pool, request.admission, times, answer)

    async def _run_leased(self, request: LeasedRequest) -> RelayReply:
        lease = self.leases.get(request.lease)
        if lease is None:
            return NO_TRANSACTION
        times = self._times(request.admission)
        lease.busy = True
        try:
            async with self._first_slot(lease, request.admission):
                reply = await self._execute(lease.pool, lease.pooled, request, times)
        except OverloadError as error:
            return Refused(Failure.BUSY, str(error))
        finally:
            lease.busy = False
            if lease.given_up or lease.pooled.broken:
                self._give_up(request.lease)
        ended = (
            isinstance(reply, Answered) and reply.answer.state is ConnectionState.IDLE
        )
        if ended:
            self._end(request.lease, lease)
        return reply

    async def _roll_back(self, number: int) -> RelayReply:
        lease = self.leases.get(number)
        if lease is None:
            return NO_TRANSACTION
        lease.busy = True
        try:
            with anyio.fail_after(ROLLBACK_TIMEOUT_S):
                answer = await lease.pooled.roll_back()
            lease.pooled.broken = answer.state is not ConnectionState.IDLE
        except (UnansweredError, TimeoutError) as error:
            return Unanswered(_reason(error))
        finally:
            lease.busy = False
            self._end(number, lease)
        return Answered(answer)

    async def _execute(
        self,
        pool: EndpointPool,
        pooled: PooledConnection,
        request: RunRequest | LeasedRequest,
        times: _Times,
    ) -> RelayReply:
        """Run a statement on a connection."""
        min_position = request.min_position if isinstance(request, RunRequest) else None
        sent = False
        times.sent_at = self.service.clock()
        try:
            with anyio.fail_after(times.remaining_s(times.sent_at)):
                await pooled.set_session_values(request.values)
                name = ""
                if request.prepared is not None:
                    name = await pooled.prepare(request.prepared)
                replaced = self.service.check_epoch(pool, request.admission)
                if replaced is not None:
                    return replaced
                sent = True
                times.sent_at = self.service.clock()
                answer = await pooled.execute(request.statement, name, min_position)
        except (UnansweredError, TimeoutError) as error:
            reason = _reason(error)
            pool.record_unanswered(times.sent_at, error, reason)
            return Unanswered(reason) if sent else Refused(Failure.BUSY, reason)
        return self.service.answer(pool, request.admission, times, answer)

    def _times(self, admission: AdmissionParameters) -> _Times:
        return _Times(self.service.clock(), admission.remaining_s)

    def _slot(self, pool: EndpointPool, admission: AdmissionParameters) -> SlotGrant:
        remaining_s = max(admission.remaining_s - REPLY_MARGIN_S, 0.0)
        rank = Rank(min(admission.rank, max(Rank)))
        return pool.queue.slot(rank, admission.caller, admission.database, remaining_s)

    def _first_slot(
        self, lease: _Lease, admission: AdmissionParameters
    ) -> AbstractAsyncContextManager[object]:
        """Return a slot for a transaction's first statement, nothing for later ones."""
        if lease.admitted:
            return contextlib.nullcontext()
        lease.admitted = True
        return self._slot(lease.pool, admission)

    def _give_up(self, number: int) -> None:
        """Close a transaction's connection, after its running statement if any."""
        self.beginning.discard(number)
        lease = self.leases.get(number)
        if lease is None:
            return
        lease.given_up = True
        if not lease.busy:
            lease.pooled.broken = True
            self._end(number, lease)

    def _end(self, number: int, lease: _Lease) -> None:
        """Give a transaction's connection back."""
        if self.leases.pop(number, None) is not None:
            self.service.leave()
            lease.pool.release(lease.pooled)


def _reason(error: Exception) -> str:
    return str(error) or "no answer in time"
