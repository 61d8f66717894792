"""Membership service: probes, suspicions, pushes and full exchanges."""

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
from rosemaryward.decisions.membership.entropy import PullSchedule
from rosemaryward.decisions.membership.pauses import PauseDetector
from rosemaryward.decisions.membership.primaries import PrimaryDirectory
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

FORGET_INTERVAL_S = 10.0
BURY_TICK_S = 0.02


class DocumentSource(Protocol):
    """The configuration that the service announces and hands to other proxies."""

    @property
    def version(self) -> int:
        """Version of the document in force, 0 for none."""

    @property
    def data(self) -> bytes:
        """Stored form of that document."""

    def notice(self, source: Member, version: int) -> None:
        """Learn that another proxy has a document of `version`."""

    def delta(self, base_version: int) -> bytes | None:
        """Return the difference to `base_version`, None if it is not known."""


class MembershipService:
    """Keeps the member table and spreads members, primaries and versions.

    Parameters
    ----------
    local : Member
        This proxy; its incarnation is its start time in milliseconds.
    channel : GossipChannel
    random : random.Random
    settings : MembershipSettings
    seeds : sequence of (str, int)
        Addresses and gossip ports of members to contact first.

    Notes
    -----
    A member that does not answer is probed through others and then suspected.
    The suspicion runs from the first unanswered probe, and the members that
    probe it meanwhile tell it, so that it can refute with a higher incarnation.
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
        self.rounds = ProbeRounds(self.state)
        self.last_exchange = float("-inf")
        self.pauses = PauseDetector(self.settings, self._resume)
        self._configuration: DocumentSource | None = None
        self._resumed: list[Callable[[float], None]] = []
        self._left = False
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
        self.last_exchange = anyio.current_time()
        self._tasks = await self._stack.enter_async_context(anyio.create_task_group())
        for run in (self._probe, self._bury, self._push, self._rejoin):
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

    # Public surface

    @property
    def local(self) -> Member:
        """Own entry of this proxy."""
        return self.state.local

    @property
    def primaries(self) -> PrimaryDirectory:
        """Directory of primaries that this service spreads."""
        return self.state.primaries

    def members(self) -> list[Member]:
        """Return all members, the dead and the leaving ones included."""
        return self.state.table.members()

    def live_members(self) -> list[Member]:
        """Return the alive and the suspected members, this proxy included."""
        return list(self.state.table.live())

    def subscribe(self, callback: Callable[[Member], None]) -> None:
        """Call `callback` with each changed member."""
        self.state.on_change.append(callback)

    def subscribe_resumed(self, callback: Callable[[float], None]) -> None:
        """Call `callback` with the length of a pause once the process resumes."""
        self._resumed.append(callback)

    def attach_configuration(self, source: DocumentSource) -> None:
        """Announce the version of `source` and serve its document."""
        self._configuration = source
        self.state.config_version = lambda: source.version

    def trigger_push(self) -> None:
        """Push the digest to some members at once."""
        self.state.announce()

    async def wait_joined(self) -> None:
        """Return once the table is complete enough to act on.

        That is after a first full exchange with another member, or when no other
        member is known or answers soon after the start.
        """
        if not self.joined() and self.contacts.absent():
            with anyio.move_on_after(self.settings.join_s):
                await self._joined.wait()
        self._joined.set()

    def joined(self) -> bool:
        """Return whether `wait_joined` returns at once."""
        return self._joined.is_set()

    async def wait_exchange(self, timeout_s: float) -> None:
        """Return when another member answers, at the latest after `timeout_s`."""
        with anyio.move_on_after(timeout_s):
            await self._exchanged.wait()

    def alone(self) -> bool:
        """Return whether no other live member is known."""
        live = self.state.table.live()
        return not live or (len(live) == 1 and live[0].host_id == self.local.host_id)

    def neighbours(self) -> list[Member]:
        """Return a few live members, those in the own region first."""
        return self.state.sample_near(self.settings.fanout)

    def silent_for(self) -> float:
        """Return the time since the last probe that a member answered was sent."""
        return anyio.current_time() - self.last_exchange

    async def handle(self, request: GossipRequest) -> GossipReply:
        """Answer a request of another proxy."""
        now = self._now()
        match request:
            case Probe():
                reply = self.state.answer_probe(request, now)
                self._compare(request.sender, request.digest, now)
                return reply
            case IndirectProbe():
                return await self._probe_for(request, now)
            case Pull():
                return self._answer_pull(request)

    async def pull_document(
        self, source: Member, version: int, timeout_s: float
    ) -> PullReply:
        """Fetch a document newer than `version` from another proxy.

        Returns
        -------
        PullReply
            With ``config_version`` 0 if the other proxy has nothing newer.

        Raises
        ------
        PeerError
            If it does not answer.
        """
        message = Pull(version, False, False)
        reply = await self.channel.request(source, message, timeout_s)
        if not isinstance(reply, PullReply):
            raise PeerError(f"{source.host_id} sent another answer")
        return reply

    async def leave(self) -> None:
        """Mark this proxy as leaving and tell several members at once."""
        self._left = True
        if self.local.state != MemberState.LEAVING:
            self.state.set_own_state(MemberState.LEAVING, raise_incarnation=False)
        async with anyio.create_task_group() as tasks:
            for target in self.state.sample(2 * self.settings.fanout):
                tasks.start_soon(self._exchange, target)

    def merge_hosts(self, hosts: Sequence[ListedHost]) -> None:
        """Learn from the platform's list, which lags behind.

        Notes
        -----
        A listed host that is not known is only contacted, since the list may name
        hosts that are gone. A host that the list newly marks as leaving is marked
        in the table; the mark holds for the incarnation at hand. This proxy
        follows the list about itself, so it returns when the mark goes away.
        """
        own = self.local.host_id
        for host in self.contacts.replace_hosts(hosts):
            if host.host_id != own:
                self.state.mark_leaving(host.host_id, anyio.current_time())
        for host in hosts:
            if host.host_id == own:
                self._follow_list(host)

    # Tasks

    async def _probe(self) -> None:
        interval = self.settings.probe_interval_s
        await anyio.sleep(self.random.random() * interval)
        next_forget = 0.0
        while True:
            now = self._now()
            if now >= next_forget:
                self.state.forget(now)
                next_forget = now + FORGET_INTERVAL_S
            target = self.rounds.next_target(now)
            if target is None:
                await anyio.sleep(interval)
                continue
            await self._probe_once(target, now)

    async def _probe_once(self, target: Member, sent: float) -> None:
        """Probe one member and suspect it unless it answers within the interval."""
        settings = self.settings
        pauses = self.pauses.count
        self._start(self._exchange, target)
        await anyio.sleep(settings.probe_timeout_s)
        if not self.rounds.answered(target.host_id, sent):
            for helper in self.state.sample(settings.indirect_probes, target.host_id):
                self._start(self._probe_through, helper, target, sent)
        await anyio.sleep(settings.probe_interval_s - settings.probe_timeout_s)
        now = self._now()
        if (
            not self.rounds.answered(target.host_id, sent)
            and pauses == self.pauses.count
        ):
            self.state.suspect(target, sent, now)

    async def _probe_through(self, helper: Member, target: Member, sent: float) -> None:
        message = IndirectProbe(self.local, target)
        ack = await self._ask(helper, message)
        if ack is not None and ack.reached:
            self.rounds.note_answer(target.host_id, sent)

    async def _probe_for(self, request: IndirectProbe, now: float) -> ProbeAck:
        self.state.apply_sender(request.sender, now)
        reached = await self._exchange(request.target, self.settings.probe_timeout_s)
        return self.state.answer_probe_request(request, reached)

    async def _confirm(self, host_id: str) -> None:
        """Probe a suspected member until the suspicion ends."""
        while host_id in self.state.suspicions:
            member = self.state.table.get(host_id)
            if member is not None:
                self._start(self._exchange, member)
            await anyio.sleep(self.settings.confirm_interval_s)
        self._confirming.discard(host_id)

    async def _bury(self) -> None:
        while True:
            if not self.state.suspicions:
                self._suspected = anyio.Event()
                await self._suspected.wait()
            await anyio.sleep(BURY_TICK_S)
            self.state.bury(self._now())

    async def _push(self) -> None:
        state, settings = self.state, self.settings
        while True:
            await state.news.wait()
            state.news = anyio.Event()
            state.unsent = max(0, state.unsent - settings.updates_per_message)
            for target in state.sample_near(settings.fanout):
                self._start(self._exchange, target)
            if state.unsent:
                state.announce()
            await anyio.sleep(settings.push_gap_s)

    async def _rejoin(self) -> None:
        """Contact seeds and dead members, which ends partitions."""
        settings = self.settings
        pause = settings.probe_interval_s
        while True:
            candidates = self.contacts.absent()
            count = settings.fanout if self.alone() else 1
            chosen = self.random.sample(candidates, min(count, len(candidates)))
            for target in chosen:
                self._start(self._exchange, target)
            pause = min(2 * pause, settings.rejoin_interval_s)
            await anyio.sleep(pause * (0.75 + 0.5 * self.random.random()))

    # Exchanges

    async def _exchange(self, target: Member, timeout_s: float | None = None) -> bool:
        """Send a probe; return whether the target itself answered.

        Another proxy may have taken over the target's address.
        """
        sent = anyio.current_time()
        ack = await self._ask(target, self.state.probe(target), timeout_s)
        if ack is None:
            return False
        self.rounds.note_answer(ack.sender.host_id, sent)
        return ack.sender.host_id == target.host_id

    async def _ask(
        self,
        target: Member,
        message: Probe | IndirectProbe,
        timeout_s: float | None = None,
    ) -> ProbeAck | None:
        sent = anyio.current_time()
        if timeout_s is None:
            timeout_s = self.settings.answer_timeout_s
        try:
            ack = await self.channel.request(target, message, timeout_s)
        except PeerError:
            return None
        now = self._now()
        if not isinstance(ack, ProbeAck) or ack.sender.host_id == self.local.host_id:
            return None
        if now - sent <= 2 * self.settings.answer_timeout_s:
            self.last_exchange = max(self.last_exchange, sent)
            self._exchanged.set()
            self._exchanged = anyio.Event()
        self.state.apply_ack(ack, now)
        self._compare(ack.sender, ack.digest, now)
        return ack

    def _compare(self, peer: Member, digest: Digest, now: float) -> None:
        """Fetch what the other proxy has and this one lacks."""
        configuration = self._configuration
        if configuration and digest.config_version > configuration.version:
            configuration.notice(peer, digest.config_version)
        table, primaries = self.state.table, self.state.primaries
        members = self._member_pulls.due(table.digest, digest.members, len(table), now)
        records = self._primary_pulls.due(
            primaries.digest, digest.primaries, len(primaries), now
        )
        if members:
            self._member_pulls.pulled(now)
        elif table.digest == digest.members:
            self._joined.set()
        if records:
            self._primary_pulls.pulled(now)
        if members or records:
            self._start(self._pull, peer, members, records)

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

    def _start(self, run: Callable[..., object], *arguments: object) -> None:
        if self._tasks is not None:
            self._tasks.start_soon(run, *arguments)  # type: ignore[arg-type]

    def _now(self) -> float:
        """Return the time and let the pause detector compare it."""
        now = anyio.current_time()
        self.pauses.tick(now)
        return now

    def _resume(self, gap_s: float) -> None:
        """React to a pause of the process that lasted `gap_s` seconds."""
        self.state.postpone_suspicions(anyio.current_time())
        self.state.refute(self.local.incarnation)
        for callback in self._resumed:
            callback(gap_s)

    def _start_confirming(self, member: Member, own: bool) -> None:
        self._suspected.set()
        share = self.settings.confirmations / max(1, len(self.state.table.live()))
        chosen = own or self.random.random() < share
        if chosen and member.host_id not in self._confirming:
            self._confirming.add(member.host_id)
            self._start(self._confirm, member.host_id)

    def _follow_list(self, host: ListedHost) -> None:
        leaving = self.local.state == MemberState.LEAVING
        if host.leaving and not leaving:
            self.state.set_own_state(MemberState.LEAVING, raise_incarnation=False)
        elif leaving and not (host.leaving or self._left):
            self.state.set_own_state(MemberState.ALIVE, raise_incarnation=True)
