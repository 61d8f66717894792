"""Execution of other proxies' statements at a relay."""

import contextlib
from collections.abc import Awaitable, Callable
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
from rosemaryward.decisions.gateway.statements import (
    AdmissionParameters,
    StatementKind,
)
from rosemaryward.decisions.leadership.records import Leadership
from rosemaryward.decisions.leadership.verification import PrimaryVerifier
from rosemaryward.decisions.quota import Allocator, LendRequest, ShareDonation
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

REPLY_MARGIN_S = 0.05  # lets a refusal arrive before the proxy times out
ROLLBACK_TIMEOUT_S = 0.5
FULL_LOAD = 1.0  # of the slots of an endpoint that refuses statements, at least
MAX_LOAD_WAIT_S = 0.3  # a relay that cannot load delays a statement no longer
LEAVING = "the endpoint has been leaving for long"
NO_TRANSACTION = Unanswered("the transaction has ended")

log = structlog.get_logger(__name__)


class RelayService:
    """Runs statements of other proxies on this proxy's connections.

    Parameters
    ----------
    directory : EndpointDirectory
        Registered endpoints with this proxy's connections.
    leadership : Leadership
        Records of the groups' primaries.
    samples : callable
        Returns the position samples of a group's primary.
    clock : callable, optional
        Returns the boot time in seconds.
    wait_until_loaded : callable, optional
        Waits until the registered endpoints are known after the start.
    verifier : PrimaryVerifier, optional
        Asks a primary whether it still leads; without it, an old confirmation allows
        no reads at primaries.

    Attributes
    ----------
    leaving : bool
        Whether new statements are refused because the process is about to stop.
    allocator : Allocator or None
        Handles the messages about tenants' rates, None if there are no limits.
    running : int
        Number of requests and transactions in progress.
    reply_counts : dict of str to int
        Number of replies since the start, by kind.
    """

    def __init__(
        self,
        directory: EndpointDirectory,
        leadership: Leadership,
        samples: Callable[[str], PositionSamples],
        clock: Callable[[], float] = boot_time_s,
        wait_until_loaded: Callable[[], Awaitable[object]] = anyio.lowlevel.checkpoint,
        verifier: PrimaryVerifier | None = None,
    ) -> None:
        self.verifier = verifier
        self.wait_until_loaded = wait_until_loaded
        self.directory = directory
        self.leadership = leadership
        self.samples = samples
        self.clock = clock
        self.leaving = False
        self.allocator: Allocator | None = None
        self.running = 0
        self.reply_counts: dict[str, int] = {}
        self.became_idle = anyio.Event()

    def begin_work(self) -> None:
        """Count the start of a request or a transaction."""
        self.running += 1

    def end_work(self) -> None:
        """Count the end of a request or a transaction."""
        self.running -= 1
        if not self.running:
            self.became_idle.set()
            self.became_idle = anyio.Event()

    async def wait_until_idle(self) -> None:
        """Wait until no request and no transaction is in progress."""
        while self.running:
            await self.became_idle.wait()

    def session(self, peer: str) -> "RelaySession":
        """Return a session for a new connection of another proxy.

        Parameters
        ----------
        peer : str
            Name of the other proxy.
        """
        return RelaySession(self, peer)

    async def find_pool(
        self, endpoint_id: str, admission: AdmissionParameters
    ) -> EndpointPool | Refused:
        """Return an endpoint's pool, or a refusal if it must not be used.

        A process that has just started waits until it knows the endpoints.

        Parameters
        ----------
        endpoint_id : str
            Id of the endpoint.
        admission : AdmissionParameters
            Parameters of the statement, for its epoch.
        """
        if self.leaving:
            return Refused(Failure.BUSY, "the relay is about to stop")
        if endpoint_id not in self.directory.pools:
            with anyio.move_on_after(min(admission.remaining_s, MAX_LOAD_WAIT_S)):
                await self.wait_until_loaded()
        pool = self.directory.pools.get(endpoint_id)
        if pool is None:
            return Refused(
                Failure.WRONG_ENDPOINT, f"endpoint {endpoint_id} is not registered"
            )
        if pool.suspect:
            return Refused(
                Failure.BUSY, f"endpoint {endpoint_id} does not answer", answers=False
            )
        if not self.accepts_statements(pool):
            return Refused(Failure.BUSY, LEAVING)
        return self.check_epoch(pool, admission) or pool

    async def check_request(
        self, pool: EndpointPool, admission: AdmissionParameters, only_reads: bool
    ) -> Refused | None:
        """Return a refusal if a new statement must not be sent to its endpoint.

        Parameters
        ----------
        pool : EndpointPool
            Pool of the endpoint.
        admission : AdmissionParameters
            Parameters of the statement; its epoch tells whether the endpoint is the
            primary.
        only_reads : bool
            Whether the statement, or its transaction, only reads.
        """
        if admission.epoch and only_reads and not await self._may_read(pool, admission):
            return Refused(
                Failure.NOT_PRIMARY, "the primary was not verified before the read"
            )
        if not self.accepts_statements(pool):
            return Refused(Failure.BUSY, LEAVING)
        return self.check_epoch(pool, admission)

    async def _may_read(
        self, pool: EndpointPool, admission: AdmissionParameters
    ) -> bool:
        """Return whether no commit can be missing from a primary's log."""
        endpoint = pool.endpoint
        if self.verifier is None:
            return self.leadership.may_read(
                endpoint.group, endpoint.id, admission.epoch
            )
        return await self.verifier.may_read(
            endpoint.group, endpoint.id, admission.epoch
        )

    def record_verification(
        self, pool: EndpointPool, sent_at: float, answer: Answer
    ) -> None:
        """Record that an endpoint has accepted what a replica refuses."""
        if answer.failure is None:
            self.leadership.record_verification(pool.endpoint.id, sent_at)

    def accepts_statements(self, pool: EndpointPool) -> bool:
        """Return whether an endpoint may get new statements."""
        return self.directory.accepts_statements(pool.endpoint.id)

    def check_epoch(
        self, pool: EndpointPool, admission: AdmissionParameters
    ) -> Refused | None:
        """Return a refusal if the primary that a statement expects was fenced."""
        fenced = self.leadership.fence_epochs.get(pool.endpoint.group, 0)
        if admission.epoch and admission.epoch < fenced:
            return Refused(
                Failure.NOT_PRIMARY, "the primary was fenced before the statement ran"
            )
        return None

    def _is_usable_primary(
        self, pool: EndpointPool, admission: AdmissionParameters
    ) -> bool:
        """Return whether an endpoint is the primary that a statement expects."""
        endpoint = pool.endpoint
        record = self.leadership.primary(endpoint.group)
        return (
            record is not None
            and record.primary == endpoint.id
            and record.epoch == admission.epoch
            and self.leadership.may_read(endpoint.group, endpoint.id, record.epoch)
        )

    def make_reply(
        self,
        pool: EndpointPool,
        admission: AdmissionParameters,
        times: "_RequestTimes",
        answer: Answer,
    ) -> Answered:
        """Return the reply for an answer, with samples of the primary's log.

        Parameters
        ----------
        pool : EndpointPool
            Pool of the endpoint that answered.
        admission : AdmissionParameters
            Parameters of the statement; its epoch tells whether the endpoint is the
            primary.
        times : _RequestTimes
            Times of the request.
        answer : Answer
            Answer of the endpoint.
        """
        pool.record_answer(answer)
        answer = msgspec.structs.replace(answer, load=round(pool.queue.mean_load(), 2))
        if not admission.epoch or answer.position is None:
            return Answered(answer)
        if answer.failure is Failure.NOT_PRIMARY:
            return Answered(answer)
        if not self._is_usable_primary(pool, admission):
            return Answered(answer)
        samples = self.samples(pool.endpoint.group)
        samples.record(times.sent_at, answer.position)
        shared = [
            (sent_at - times.arrived_at, position)
            for sent_at, position in samples.samples_to_share(self.clock())
        ]
        return Answered(msgspec.structs.replace(answer, samples=shared))


class _RequestTimes:
    """Times of one request, as boot times in seconds.

    Parameters
    ----------
    arrived_at : float
        Arrival at the relay.
    remaining_s : float
        Time until the request expires, in seconds from its arrival.

    Attributes
    ----------
    expires_at : float
        Expiry of the request.
    sent_at : float
        Start of the exchange with the endpoint.
    """

    __slots__ = ("arrived_at", "expires_at", "sent_at")

    def __init__(self, arrived_at: float, remaining_s: float) -> None:
        self.arrived_at = arrived_at
        self.expires_at = arrived_at + remaining_s
        self.sent_at = arrived_at

    def remaining_s(self, now: float) -> float:
        """Return the time until the request expires, in seconds, at least 0."""
        return max(self.expires_at - now, 0.0)


class _Lease:
    """Connection that an open transaction holds.

    Parameters
    ----------
    pool : EndpointPool
        Pool that the connection belongs to.
    pooled : PooledConnection
        Connection of the transaction.

    Attributes
    ----------
    admitted : bool
        Whether the transaction's first statement has entered the admission queue.
    busy : bool
        Whether a statement or the rollback is running.
    abandoned : bool
        Whether to close the connection when the running statement ends.
    """

    __slots__ = ("abandoned", "admitted", "busy", "pool", "pooled")

    def __init__(self, pool: EndpointPool, pooled: PooledConnection) -> None:
        self.pool = pool
        self.pooled = pooled
        self.admitted = False
        self.busy = False
        self.abandoned = False


class RelaySession:
    """Requests of one other proxy on one connection.

    Parameters
    ----------
    service : RelayService
        Service that the session belongs to.
    peer : str
        Name of the other proxy.

    Attributes
    ----------
    leases : dict of int to _Lease
        Connections of open transactions, by lease number.
    beginning_leases : set of int
        Lease numbers of transactions that are being opened.
    closed : bool
        Whether the connection to the other proxy has ended.
    """

    def __init__(self, service: RelayService, peer: str) -> None:
        self.service = service
        self.peer = peer
        self.leases: dict[int, _Lease] = {}
        self.beginning_leases: set[int] = set()
        self.closed = False

    async def handle(self, request: RelayRequest) -> RelayReply | None:
        """Run a request and return the reply, or None for a request without one."""
        self.service.begin_work()
        try:
            reply = await self._handle(request)
        finally:
            self.service.end_work()
        if reply is not None:
            kind = type(reply).__name__.lower()
            reply_counts = self.service.reply_counts
            reply_counts[kind] = reply_counts.get(kind, 0) + 1
        return reply

    async def _handle(self, request: RelayRequest) -> RelayReply | None:
        if isinstance(request, RunRequest):
            return await self._run(request)
        if isinstance(request, BeginRequest):
            self.beginning_leases.add(request.lease)
            try:
                return await self._begin(request)
            finally:
                self.beginning_leases.discard(request.lease)
        if isinstance(request, LeasedRequest):
            return await self._run_leased(request)
        if isinstance(request, RollBackRequest):
            return await self._roll_back(request.lease)
        if isinstance(request, CloseRequest):
            self._abandon(request.lease)
            return None
        if isinstance(request, ShareDonation | LendRequest):
            return self._answer_quota(request)
        return Pong()

    def _answer_quota(self, request: ShareDonation | LendRequest) -> RelayReply:
        """Pass a message about tenants' rates to the allocator of this process."""
        allocator = self.service.allocator
        if allocator is None:
            return Refused(Failure.BUSY, "the proxy is not an allocator")
        return allocator.handle(request)

    def close(self) -> None:
        """Abandon the open transactions, because the connection has ended."""
        self.closed = True
        if self.leases:
            log.info(
                "relayed transactions given up", peer=self.peer, open=len(self.leases)
            )
        for lease in list(self.leases):
            self._abandon(lease)

    async def _run(self, request: RunRequest) -> RelayReply:
        found = await self.service.find_pool(request.endpoint, request.admission)
        if isinstance(found, Refused):
            return found
        pool = found
        times = self._request_times(request.admission)
        try:
            async with (
                self._slot(pool, request.admission),
                pool.connection(
                    times.remaining_s(self.service.clock()),
                    tenant=request.admission.tenant,
                ) as pooled,
            ):
                return await self._execute(pool, pooled, request, times)
        except OverloadError as error:
            load = max(pool.queue.mean_load(), FULL_LOAD)
            return Refused(Failure.BUSY, str(error), load)
        except ConnectError as error:
            return Refused(error.failure, error.reason)

    async def _begin(self, request: BeginRequest) -> RelayReply:
        found = await self.service.find_pool(request.endpoint, request.admission)
        if isinstance(found, Refused):
            return found
        pool = found
        times = self._request_times(request.admission)
        try:
            pooled = await pool.acquire(
                request.admission.remaining_s, tenant=request.admission.tenant
            )
        except ConnectError as error:
            return Refused(error.failure, error.reason)
        try:
            with anyio.fail_after(times.remaining_s(self.service.clock())):
                await pooled.set_session_values(request.values)
                refused = await self.service.check_request(
                    pool, request.admission, request.read_only
                )
                if refused is not None:
                    pool.release(pooled)
                    return refused
                times.sent_at = self.service.clock()
                answer = await pooled.begin(request.read_only, request.min_position)
                if not request.read_only:
                    self.service.record_verification(pool, times.sent_at, answer)
        except (UnansweredError, TimeoutError) as error:
            reason = _reason_of(error)
            pool.record_unanswered(times.sent_at, error, reason)
            pool.release(pooled)
            return Unanswered(reason)
        except ConnectError as error:
            pool.release(pooled)
            return Refused(error.failure, error.reason)
        except BaseException:
            pool.release(pooled)
            raise
        if answer.failure is not None:
            pool.release(pooled)
        elif self.closed or request.lease not in self.beginning_leases:
            # The other proxy abandoned the transaction or disconnected meanwhile.
            pooled.broken = True
            pool.release(pooled)
        else:
            self.leases[request.lease] = _Lease(pool, pooled)
            self.service.begin_work()
        return self.service.make_reply(pool, request.admission, times, answer)

    async def _run_leased(self, request: LeasedRequest) -> RelayReply:
        lease = self.leases.get(request.lease)
        if lease is None:
            return NO_TRANSACTION
        times = self._request_times(request.admission)
        lease.busy = True
        is_first = not lease.admitted
        try:
            async with self._first_slot(lease, request.admission):
                if is_first and not self.service.accepts_statements(lease.pool):
                    lease.pooled.broken = True
                    return Refused(Failure.BUSY, LEAVING)
                reply = await self._execute(lease.pool, lease.pooled, request, times)
        except OverloadError as error:
            return Refused(Failure.BUSY, str(error))
        finally:
            lease.busy = False
            if lease.abandoned or lease.pooled.broken:
                self._abandon(request.lease)
        ended = (
            isinstance(reply, Answered) and reply.answer.state is ConnectionState.IDLE
        )
        if ended:
            self._release_lease(request.lease, lease)
        return reply

    async def _roll_back(self, lease_id: int) -> RelayReply:
        lease = self.leases.get(lease_id)
        if lease is None:
            return NO_TRANSACTION
        lease.busy = True
        try:
            with anyio.fail_after(ROLLBACK_TIMEOUT_S):
                answer = await lease.pooled.roll_back()
            lease.pooled.broken = answer.state is not ConnectionState.IDLE
        except (UnansweredError, TimeoutError) as error:
            return Unanswered(_reason_of(error))
        finally:
            lease.busy = False
            self._release_lease(lease_id, lease)
        return Answered(answer)

    async def _execute(
        self,
        pool: EndpointPool,
        pooled: PooledConnection,
        request: RunRequest | LeasedRequest,
        times: _RequestTimes,
    ) -> RelayReply:
        """Run a statement on a connection and return the reply."""
        min_position = request.min_position if isinstance(request, RunRequest) else None
        sent = False
        times.sent_at = self.service.clock()
        try:
            with anyio.fail_after(times.remaining_s(times.sent_at)):
                await pooled.set_session_values(request.values)
                named = None
                if request.prepared is not None:
                    named = await pooled.prepare(request.prepared)
                refused = await self._check_request(pool, request)
                if refused is not None:
                    return refused
                sent = True
                times.sent_at = self.service.clock()
                answer = await pooled.execute(request.statement, named, min_position)
                if _is_write(request):
                    self.service.record_verification(pool, times.sent_at, answer)
        except (UnansweredError, TimeoutError) as error:
            reason = _reason_of(error)
            pool.record_unanswered(times.sent_at, error, reason)
            return Unanswered(reason) if sent else Refused(Failure.BUSY, reason)
        except ConnectError as error:
            return Refused(error.failure, error.reason)
        return self.service.make_reply(pool, request.admission, times, answer)

    async def _check_request(
        self, pool: EndpointPool, request: RunRequest | LeasedRequest
    ) -> Refused | None:
        """Return a refusal if a statement must not be sent to its endpoint."""
        if isinstance(request, LeasedRequest):
            # The statements of an open transaction belong together.
            return self.service.check_epoch(pool, request.admission)
        return await self.service.check_request(
            pool, request.admission, not _is_write(request)
        )

    def _request_times(self, admission: AdmissionParameters) -> _RequestTimes:
        return _RequestTimes(self.service.clock(), admission.remaining_s)

    def _slot(self, pool: EndpointPool, admission: AdmissionParameters) -> SlotGrant:
        remaining_s = max(admission.remaining_s - REPLY_MARGIN_S, 0.0)
        rank = Rank(min(admission.rank, max(Rank)))
        return pool.queue.slot(rank, admission.caller, admission.share, remaining_s)

    def _first_slot(
        self, lease: _Lease, admission: AdmissionParameters
    ) -> AbstractAsyncContextManager[object]:
        """Return a slot for the first statement, a null context for later ones."""
        if lease.admitted:
            return contextlib.nullcontext()
        lease.admitted = True
        return self._slot(lease.pool, admission)

    def _abandon(self, lease_id: int) -> None:
        """Close a transaction's connection, after its running statement ends."""
        self.beginning_leases.discard(lease_id)
        lease = self.leases.get(lease_id)
        if lease is None:
            return
        lease.abandoned = True
        if not lease.busy:
            lease.pooled.broken = True
            self._release_lease(lease_id, lease)

    def _release_lease(self, lease_id: int, lease: _Lease) -> None:
        """Return a transaction's connection to its pool."""
        if self.leases.pop(lease_id, None) is not None:
            self.service.end_work()
            lease.pool.release(lease.pooled)


def _is_write(request: RunRequest | LeasedRequest) -> bool:
    """Return whether a request runs a statement that only a primary accepts."""
    if request.prepared is not None:
        return request.prepared.writes
    return request.statement.kind is StatementKind.WRITE


def _reason_of(error: Exception) -> str:
    return str(error) or "the endpoint did not answer in time"
