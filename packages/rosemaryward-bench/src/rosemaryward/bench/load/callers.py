"""Callers whose sessions switch between the proxies."""

import asyncio
import random
from collections.abc import Sequence

import msgspec

from rosemaryward.bench.history.operations import Kind, Operation, Outcome, body_of
from rosemaryward.bench.launch.state import RunningDeployment, RunningProxy, RunningUser
from rosemaryward.bench.load.connections import CallerConnection, CallFailure
from rosemaryward.bench.load.recorder import Recorder, clock

__all__ = ["Caller", "CallerMix", "MIXES"]

MAX_ATTEMPTS = 3
MAX_RETRY_DELAY_S = 0.1
TIMEOUT_MARGIN_S = 3.0
MAX_OWN_ITEMS = 50


class CallerMix(msgspec.Struct, frozen=True, kw_only=True):
    """Operation mix and rate of a caller.

    Parameters
    ----------
    write, transaction, roam : float
        Probabilities of a write, a transaction and a switch to another proxy. The
        remaining operations read the caller's own items.
    keyed : float
        Share of writes with a request key, which are retried if their outcome is
        unknown.
    think_s : float
        Mean seconds between operations.
    deadline_s : float
        Deadline of the rank in seconds.
    """

    write: float
    transaction: float
    roam: float
    keyed: float
    think_s: float
    deadline_s: float


MIXES = {
    "urgent": CallerMix(
        write=0.3, transaction=0.05, roam=0.1, keyed=0.5, think_s=0.1, deadline_s=1.0
    ),
    "normal": CallerMix(
        write=0.2, transaction=0.1, roam=0.1, keyed=1.0, think_s=0.1, deadline_s=2.0
    ),
    "bulk": CallerMix(
        write=0.05, transaction=0.0, roam=0.1, keyed=0.0, think_s=0.05, deadline_s=5.0
    ),
}


class Caller:
    """Caller with one named session that uses any of the proxies.

    Parameters
    ----------
    name : str
        Name of the session, a prefix of its items.
    running : RunningDeployment
    user : RunningUser
        Account, whose rank selects the table and the mix.
    recorder : Recorder
    rng : random.Random
        Selects operations, databases, proxies and pauses.
    mix : CallerMix, optional
        Replaces the mix of the rank.
    databases : sequence of str, optional
        Databases to use, all by default.
    """

    def __init__(
        self,
        name: str,
        running: RunningDeployment,
        user: RunningUser,
        recorder: Recorder,
        rng: random.Random,
        mix: CallerMix | None = None,
        databases: Sequence[str] = (),
    ) -> None:
        self.name = name
        self.running = running
        self.user = user
        self.recorder = recorder
        self.rng = rng
        self.mix = mix or MIXES[user.rank]
        self.databases = databases or running.databases
        self.table = running.tables[user.rank]
        self.proxies: list[RunningProxy] = running.proxies
        self.connections: dict[str, CallerConnection] = {}
        self.connection = self.connection_to(rng.choice(self.proxies))
        self.own_items: list[tuple[str, str]] = []
        self.item_count = 0

    def connection_to(self, proxy: RunningProxy) -> CallerConnection:
        """Return this session's connection to a proxy."""
        if proxy.host_id not in self.connections:
            timeout_s = self.mix.deadline_s + TIMEOUT_MARGIN_S
            self.connections[proxy.host_id] = CallerConnection(
                proxy, self.user, self.name, timeout_s
            )
        return self.connections[proxy.host_id]

    async def run(self, until: float) -> None:
        """Run operations until the time `until`."""
        try:
            while clock() < until:
                await asyncio.sleep(self.rng.expovariate(1.0) * self.mix.think_s)
                await self.step()
        finally:
            for connection in self.connections.values():
                connection.close()

    async def step(self) -> None:
        """Run one operation that the mix selects."""
        if self.rng.random() < self.mix.roam:
            self.connection = self.connection_to(self.rng.choice(self.proxies))
        choice = self.rng.random()
        if choice < self.mix.transaction:
            await self.transact()
        elif choice < self.mix.transaction + self.mix.write or not self.own_items:
            await self.write()
        else:
            await self.read()

    def new_item(self) -> str:
        """Return an item that no other write uses."""
        self.item_count += 1
        return f"{self.name}-{self.item_count}"

    def insert(self, item: str) -> str:
        """Return the statement that inserts an item."""
        return (
            f"INSERT INTO {self.table} (item, session, amount, body, made) VALUES "
            f"('{item}', '{self.name}', {self.item_count}, '{body_of(item)}', NOW())"
        )

    async def write(self) -> None:
        """Insert an item, with retries only where they cannot duplicate it."""
        item, database = self.new_item(), self.rng.choice(self.databases)
        keyed = self.rng.random() < self.mix.keyed
        for _ in range(MAX_ATTEMPTS):
            outcome = await self.write_once(item, database, keyed)
            if outcome is Outcome.DONE:
                self.add_own_item(item, database)
            if outcome is Outcome.UNKNOWN and not keyed:
                return
            if outcome in (Outcome.DONE, Outcome.FAILED):
                return
            await asyncio.sleep(self.rng.uniform(0.5, 1.0) * MAX_RETRY_DELAY_S)
            self.connection = self.connection_to(self.rng.choice(self.proxies))

    async def write_once(self, item: str, database: str, keyed: bool) -> Outcome:
        """Send an insert and record its outcome."""
        start, position, detail = clock(), None, ""
        try:
            await self.connection.use(database)
            if keyed:
                await self.set_request_key(item)
            await self.connection.execute(self.insert(item))
            outcome = Outcome.DONE
        except CallFailure as failure:
            outcome, detail = failure.outcome, failure.detail
        end = clock()
        if outcome is Outcome.DONE:
            position = await self.reported_position(database)
        self.record(
            Kind.WRITE,
            item,
            start,
            outcome,
            database,
            end,
            result=position,
            detail=detail,
        )
        return outcome

    async def set_request_key(self, item: str) -> None:
        """Set the request key of the next write, which makes retries idempotent."""
        try:
            await self.connection.execute(f"SET @rosemaryward_request = '{item}'")
        except CallFailure as failure:
            raise CallFailure(Outcome.NOT_RUN, failure.detail) from failure

    async def reported_position(self, database: str) -> str | None:
        """Return the log position that the proxy reports for the last write."""
        try:
            rows = await self.connection.execute("SELECT @rosemaryward_token")
        except CallFailure:
            return None
        parts = str(rows[0][0] or "").split(",") if rows else []
        found = dict(part.split("=", 1) for part in parts if "=" in part)
        return found.get(database)

    async def transact(self) -> None:
        """Insert two items in one transaction."""
        database = self.rng.choice(self.databases)
        items = [self.new_item(), self.new_item()]
        start, outcome, detail = clock(), Outcome.NOT_RUN, ""
        try:
            await self.connection.use(database)
            await self.connection.execute("BEGIN")
            for item in items:
                await self.connection.execute(self.insert(item))
            outcome, detail = await self.commit()
        except CallFailure as failure:
            detail = failure.detail
            await self.roll_back()
        end = clock()
        for item in items:
            self.record(
                Kind.WRITE,
                item,
                start,
                outcome,
                database,
                end,
                transaction=items[0],
                detail=detail,
            )
            if outcome is Outcome.DONE:
                self.add_own_item(item, database)

    async def commit(self) -> tuple[Outcome, str]:
        """Commit and return the outcome of the transaction and its error."""
        try:
            await self.connection.execute("COMMIT")
        except CallFailure as failure:
            # Only a not-run error guarantees that nothing was committed.
            refused = failure.outcome is Outcome.NOT_RUN
            return Outcome.NOT_RUN if refused else Outcome.UNKNOWN, failure.detail
        return Outcome.DONE, ""

    async def roll_back(self) -> None:
        """Roll back a transaction that failed before its commit."""
        try:
            await self.connection.execute("ROLLBACK")
        except CallFailure:
            self.connection.close()

    def add_own_item(self, item: str, database: str) -> None:
        """Add an acknowledged item to those that this session reads."""
        self.own_items.append((item, database))
        del self.own_items[:-MAX_OWN_ITEMS]

    async def read(self) -> None:
        """Read one of the session's own items, usually the last one."""
        last = self.rng.random() < 0.7
        item, database = self.own_items[-1] if last else self.rng.choice(self.own_items)
        echo = f"{self.name}/{self.rng.getrandbits(32):08x}"
        start, rows, outcome, detail = clock(), None, Outcome.DONE, ""
        try:
            await self.connection.use(database)
            rows = await self.connection.execute(
                f"SELECT '{echo}', item, session, body FROM {self.table} "
                f"WHERE item = '{item}'"
            )
        except CallFailure as failure:
            outcome, detail = failure.outcome, failure.detail
        found = None if rows is None else [list(row) for row in rows]
        self.record(
            Kind.READ,
            item,
            start,
            outcome,
            database,
            clock(),
            result=found,
            value=echo,
            detail=detail,
        )
        if outcome is not Outcome.DONE:
            self.connection = self.connection_to(self.rng.choice(self.proxies))

    def record(
        self,
        kind: Kind,
        key: str,
        start: float,
        outcome: Outcome,
        database: str,
        end: float,
        **fields: object,
    ) -> None:
        """Record one operation of this session."""
        operation = Operation(
            session=self.name,
            kind=kind,
            key=key,
            start=start,
            end=end,
            outcome=outcome,
            database=database,
            proxy=self.connection.proxy.host_id,
            rank=self.user.rank,
            deadline_s=self.mix.deadline_s,
            **fields,  # type: ignore[arg-type]
        )
        self.recorder.add(operation)
