"""Gossip membership: probes, suspicions, pushes and full exchanges."""

from collections.abc import Callable, Sequence
from contextlib import AsyncExitStack
from random import Random
from types import TracebackType
from typing import Protocol, Self

import anyio
import anyio.abc

from rosemaryward.decisions.errors import PeerError
from rosemaryward.decisions.interfaces import GossipChannel, ListedHost
from rosemaryward.decisions.membership.contacts import Contacts
from rosemaryward.decisions.membership.pauses import PauseDetector
from rosemaryward.decisions.membership.primaries import PrimaryDirectory
from rosemaryward.decisions.membership.pull_schedule import PullSchedule
from rosemaryward.decisions.membership.rounds import ProbeRounds
from rosemaryward.decisions.membership.settings import MembershipSettings
from rosemaryward.decisions.membership.state import GossipState
from rosemaryward.decisions.messages import (
    Digest,
    GossipReply,
    GossipRequest,
    IndirectProbe,
    Member,
    MemberState,
    Probe,
    ProbeAck,
    Pull,
    PullReply,
)

__all__ = ["MembershipService", "DocumentSource"]

EXPIRY_CHECK_INTERVAL_S = 10.0
DEATH_CHECK_INTERVAL_S = 0.02


class DocumentSource(Protocol):
    """Configuration document that the service announces and serves."""

    @property
    def version(self) -> int:
        """Version of the current document, 0 for none."""

    @property
    def data(self) -> bytes:
        """Encoded stored form of the current document."""

    def note_announcement(self, source: Member, version: int) -> None:
        """Record that another proxy has the document with `version`."""

    def delta(self, base_version: int) -> bytes | None:
        """Return the encoded delta from `base_version`, None if there is none."""


class MembershipService:
    """Maintains the member table and spreads members, primaries and versions.

    Parameters
    ----------
    local : Member
        Entry of this proxy; its incarnation is its start time in milliseconds.
    channel : GossipChannel
    random : random.Random
    settings : MembershipSettings
    seeds : sequence of (str, int)
        Address and gossip port of each member to contact first.

    Notes
    -----
    A member that does not answer is probed indirectly and then suspected. The
    suspicion timeout starts at the first unanswered probe. Probes of a suspected
    member carry the suspicion, so that it can refute with a higher incarnation.
    """

    def __init__(
        self,
        local: Member,
        channel: GossipChannel,
        random: Random,
        settings: MembershipSettings | None = None,
        seeds: Sequence[tuple[str, int]] = (),
    ) -> None:
        self.settings = settings or MembershipSettings()
        self.channel = channel
        self.random = random
        self.state = GossipState(local, self.settings, random)
        self.contacts = Contacts(self.state.table, seeds)
        self.probe_rounds = ProbeRounds(self.state)
        self.last_exchange_at = float("-inf")
        self.pause_detector = PauseDetector(self.settings, self._handle_pause)
        self._configuration: DocumentSource | None = None
        self._resume_callbacks: list[Callable[[float], None]] = []
        self._leave_requested = False
        self._confirming: set[str] = set()
        self._suspected = anyio.Event()
        self._joined = anyio.Event()
        self._exchanged = anyio.Event()
        self._member_pulls = PullSchedule(self.settings)
        self._primary_pulls = PullSchedule(self.settings)
        self._stack = AsyncExitStack()
        self._tasks: anyio.abc.TaskGroup | None = None
        self.state.on_suspect.append(self._start_confirming)

    async def __aenter__(self) -> Self:
        self.last_exchange_at = anyio.current_time()
        self._tasks = await self._stack.enter_async_context(anyio.create_task_group())
        for run in (
            self._probe_members,
            self._declare_deaths,
            self._push_updates,
            self._rejoin,
        ):
            self._tasks.start_soon(run)
        return self

    async def __aexit__(
        self,
        kind: type[BaseException] | None,
        error: BaseException | None,
        trace: TracebackType | None,
    ) -> None:
        if self._tasks is not None:
            self._tasks.cancel_scope.cancel()
            self._tasks = None
        await self._stack.__aexit__(kind, error, trace)

    # Public interface

    @property
    def local(self) -> Member:
        """Entry of this proxy."""
        return self.state.local

    @property
    def primaries(self) -> PrimaryDirectory:
        """Directory of the primary records that this service spreads."""
        return self.state.primaries

    def members(self) -> list[Member]:
        """Return all members, including the dead and the leaving ones."""
        return self.state.table.members()

    def live_members(self) -> list[Member]:
        """Return the alive and the suspected members, including this proxy."""
        return list(self.state.table.live())

    def subscribe(self, callback: Callable[[Member], None]) -> None:
        """Call `callback` with each changed entry of the member table."""
        self.state.on_change.append(callback)

    def subscribe_resumed(self, callback: Callable[[float], None]) -> None:
        """Call `callback` with the length of each pause in seconds, after the pause."""
        self._resume_callbacks.append(callback)

    def attach_configuration(self, source: DocumentSource) -> None:
        """Announce the version of `source` and serve its document to other proxies."""
        self._configuration = source
        self.state.config_version = lambda: source.version

    def trigger_push(self) -> None:
        """Push the digest and queued updates to some members without delay."""
        self.state.trigger_push()

    async def wait_joined(self) -> None:
        """Wait until the member table is complete enough to act on.

        That is after a first full exchange with another member, if no address of
        another member is known, or after ``join_timeout_s``.
        """
        if not self.joined() and self.contacts.rejoin_candidates():
            with anyio.move_on_after(self.settings.join_timeout_s):
                await self._joined.wait()
        self._joined.set()

    def joined(self) -> bool:
        """Return whether `wait_joined` returns at once."""
        return self._joined.is_set()

    async def wait_exchange(self, timeout_s: float) -> None:
        """Wait until another member answers, at most `timeout_s`."""
        with anyio.move_on_after(timeout_s):
            await self._exchanged.wait()

    def is_alone(self) -> bool:
        """Return whether this proxy knows no other live member."""
        live = self.state.table.live()
        return not live or (len(live) == 1 and live[0].host_id == self.local.host_id)

    def neighbours(self) -> list[Member]:
        """Return a few live members, mostly from this proxy's region."""
        return self.state.sample_nearby_peers(self.settings.fanout)

    def seconds_since_exchange(self) -> float:
        """Return the time since the last answered request was sent."""
        return anyio.current_time() - self.last_exchange_at

    async def handle(self, request: GossipRequest) -> GossipReply:
        """Answer a request of another proxy."""
        now = self._now()
        match request:
            case Probe():
                reply = self.state.answer_probe(request, now)
                self._pull_differences(request.sender, request.digest, now)
                return reply
            case IndirectProbe():
                return await self._answer_probe_request(request, now)
            case Pull():
                return self._answer_pull(request)

    async def pull_document(
        self, source: Member, version: int, timeout_s: float
    ) -> PullReply:
        """Fetch a document newer than `version` from another proxy.

        Returns
        -------
        PullReply
            Its ``config_version`` is 0 if the other proxy has no newer document.

        Raises
        ------
        PeerError
            If the other proxy does not answer or sends another type of reply.
        """
        message = Pull(version, False, False)
        reply = await self.channel.request(source, message, timeout_s)
        if not isinstance(reply, PullReply):
            raise PeerError(
                f"{source.host_id}: expected PullReply, got {type(reply).__name__}"
            )
        return reply

    async def leave(self) -> None:
        """Mark this proxy as leaving and push that to several members."""
        self._leave_requested = True
        if self.local.state != MemberState.LEAVING:
            self.state.set_own_state(MemberState.LEAVING, raise_incarnation=False)
        async with anyio.create_task_group() as tasks:
            for target in self.state.sample_peers(2 * self.settings.fanout):
                tasks.start_soon(self._exchange, target)

    def merge_hosts(self, hosts: Sequence[ListedHost]) -> None:
        """Apply the platform's list of hosts, which may be out of date.

        Notes
        -----
        An unknown listed host is only contacted, because the list may contain hosts
        that no longer exist. A host that the list newly marks as leaving is marked
        in the table, for its current incarnation. This proxy follows the list for
        its own entry, so it becomes alive again when the mark is removed.
        """
        own = self.local.host_id
        for host in self.contacts.replace_listed_hosts(hosts):
            if host.host_id != own:
                self.state.mark_leaving(host.host_id, anyio.current_time())
        for host in hosts:
            if host.host_id == own:
                self._apply_listed_state(host)

    # Tasks

    async def _probe_members(self) -> None:
        interval_s = self.settings.probe_interval_s
        await anyio.sleep(self.random.random() * interval_s)
        next_expiry = 0.0
        while True:
            now = self._now()
            if now >= next_expiry:
                self.state.remove_expired(now)
                next_expiry = now + EXPIRY_CHECK_INTERVAL_S
            target = self.probe_rounds.next_target(now)
            if target is None:
                await anyio.sleep(interval_s)
                continue
            await self._probe_once(target, now)

    async def _probe_once(self, target: Member, sent_at: float) -> None:
        """Probe one member and suspect it unless it answers within the interval."""
        settings = self.settings
        pauses_before = self.pause_detector.pause_count
        self._start_task(self._exchange, target)
        await anyio.sleep(settings.probe_timeout_s)
        if not self.probe_rounds.answered(target.host_id, sent_at):
            for helper in self.state.sample_peers(
                settings.indirect_probes, target.host_id
            ):
                self._start_task(self._probe_indirectly, helper, target, sent_at)
        await anyio.sleep(settings.probe_interval_s - settings.probe_timeout_s)
        now = self._now()
        if (
            not self.probe_rounds.answered(target.host_id, sent_at)
            and pauses_before == self.pause_detector.pause_count
        ):
            self.state.suspect(target, sent_at, now)

    async def _probe_indirectly(
        self, helper: Member, target: Member, sent_at: float
    ) -> None:
        message = IndirectProbe(self.local, target)
        ack = await self._request_ack(helper, message)
        if ack is not None and ack.reached:
            self.probe_rounds.note_answer(target.host_id, sent_at)

    async def _answer_probe_request(
        self, request: IndirectProbe, now: float
    ) -> ProbeAck:
        self.state.apply_sender(request.sender, now)
        reached = await self._exchange(request.target, self.settings.probe_timeout_s)
        return self.state.answer_probe_request(request, reached)

    async def _confirm_suspicion(self, host_id: str) -> None:
        """Probe a suspected member until the suspicion ends."""
        while host_id in self.state.suspicions:
            member = self.state.table.get(host_id)
            if member is not None:
                self._start_task(self._exchange, member)
            await anyio.sleep(self.settings.confirm_interval_s)
        self._confirming.discard(host_id)

    async def _declare_deaths(self) -> None:
        while True:
            if not self.state.suspicions:
                self._suspected = anyio.Event()
                await self._suspected.wait()
            await anyio.sleep(DEATH_CHECK_INTERVAL_S)
            self.state.declare_deaths(self._now())

    async def _push_updates(self) -> None:
        state, settings = self.state, self.settings
        while True:
            await state.push_requested.wait()
            state.push_requested = anyio.Event()
            state.unpushed_changes = max(
                0, state.unpushed_changes - settings.updates_per_message
            )
            for target in state.sample_nearby_peers(settings.fanout):
                self._start_task(self._exchange, target)
            if state.unpushed_changes:
                state.trigger_push()
            await anyio.sleep(settings.push_interval_s)

    async def _rejoin(self) -> None:
        """Contact seeds, listed hosts and dead members to heal partitions."""
        settings = self.settings
        interval_s = settings.probe_interval_s
        while True:
            candidates = self.contacts.rejoin_candidates()
            count = settings.fanout if self.is_alone() else 1
            chosen = self.random.sample(candidates, min(count, len(candidates)))
            for target in chosen:
                self._start_task(self._exchange, target)
            interval_s = min(2 * interval_s, settings.rejoin_interval_s)
            await anyio.sleep(interval_s * (0.75 + 0.5 * self.random.random()))

    # Exchanges

    async def _exchange(self, target: Member, timeout_s: float | None = None) -> bool:
        """Send a probe and return whether the target itself answered.

        Another proxy may answer if it has taken over the target's address.
        """
        sent_at = anyio.current_time()
        ack = await self._request_ack(target, self.state.probe(target), timeout_s)
        if ack is None:
            return False
        self.probe_rounds.note_answer(ack.sender.host_id, sent_at)
        return ack.sender.host_id == target.host_id

    async def _request_ack(
        self,
        target: Member,
        message: Probe | IndirectProbe,
        timeout_s: float | None = None,
    ) -> ProbeAck | None:
        sent_at = anyio.current_time()
        if timeout_s is None:
            timeout_s = self.settings.answer_timeout_s
        try:
            ack = await self.channel.request(target, message, timeout_s)
        except PeerError:
            return None
        now = self._now()
        if not isinstance(ack, ProbeAck) or ack.sender.host_id == self.local.host_id:
            return None
        if now - sent_at <= 2 * self.settings.answer_timeout_s:
            self.last_exchange_at = max(self.last_exchange_at, sent_at)
            self._exchanged.set()
            self._exchanged = anyio.Event()
        self.state.apply_ack(ack, now)
        self._pull_differences(ack.sender, ack.digest, now)
        return ack

    def _pull_differences(self, peer: Member, digest: Digest, now: float) -> None:
        """Pull what the other proxy has and this one lacks, according to its digest."""
        configuration = self._configuration
        if configuration and digest.config_version > configuration.version:
            configuration.note_announcement(peer, digest.config_version)
        table, primaries = self.state.table, self.state.primaries
        pull_members = self._member_pulls.due(
            table.digest, digest.members, len(table), now
        )
        pull_primaries = self._primary_pulls.due(
            primaries.digest, digest.primaries, len(primaries), now
        )
        if pull_members:
            self._member_pulls.note_pull(now)
        elif table.digest == digest.members:
            self._joined.set()
        if pull_primaries:
            self._primary_pulls.note_pull(now)
        if pull_members or pull_primaries:
            self._start_task(self._pull, peer, pull_members, pull_primaries)

    async def _pull(self, source: Member, members: bool, primaries: bool) -> None:
        version = self._configuration.version if self._configuration else 0
        message = Pull(version, members, primaries)
        timeout_s = 2 * self.settings.answer_timeout_s
        try:
            reply = await self.channel.request(source, message, timeout_s)
        except PeerError:
            return
        if isinstance(reply, PullReply):
            self.state.apply_all(reply.members, self._now())
            self.state.apply_primaries(reply)
            if members:
                self._joined.set()

    def _answer_pull(self, request: Pull) -> PullReply:
        reply = self.state.answer_pull(request)
        source = self._configuration
        if source is None or source.version <= request.config_version:
            return reply
        if request.want_members or request.want_primaries:
            return reply
        delta = source.delta(request.config_version)
        if delta is not None:
            base = request.config_version
            return PullReply(source.version, delta, base_version=base)
        return PullReply(source.version, source.data)

    # Helpers

    def _start_task(self, run: Callable[..., object], *arguments: object) -> None:
        if self._tasks is not None:
            self._tasks.start_soon(run, *arguments)  # type: ignore[arg-type]

    def _now(self) -> float:
        """Return the time in seconds and pass it to the pause detector."""
        now = anyio.current_time()
        self.pause_detector.tick(now)
        return now

    def _handle_pause(self, gap_s: float) -> None:
        """Handle a pause of the process that lasted `gap_s` seconds."""
        self.state.postpone_suspicions(anyio.current_time())
        self.state.refute(self.local.incarnation)
        for callback in self._resume_callbacks:
            callback(gap_s)

    def _start_confirming(self, member: Member, by_own_probe: bool) -> None:
        """Probe a suspected member too if this proxy is chosen to confirm it."""
        self._suspected.set()
        probability = self.settings.confirming_members / max(
            1, len(self.state.table.live())
        )
        chosen = by_own_probe or self.random.random() < probability
        if chosen and member.host_id not in self._confirming:
            self._confirming.add(member.host_id)
            self._start_task(self._confirm_suspicion, member.host_id)

    def _apply_listed_state(self, host: ListedHost) -> None:
        leaving = self.local.state == MemberState.LEAVING
        if host.leaving and not leaving:
            self.state.set_own_state(MemberState.LEAVING, raise_incarnation=False)
        elif leaving and not (host.leaving or self._leave_requested):
            self.state.set_own_state(MemberState.ALIVE, raise_incarnation=True)
