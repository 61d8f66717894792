"""Callers of the soak, which run single statements and transactions."""

import random
import time

import anyio

from rosemaryward.bench.soak.endings import LostReply
from rosemaryward.bench.soak.fleet import Fleet, Proxy
from rosemaryward.bench.soak.history import Operation, StatementRecord
from rosemaryward.platform.fakes.caller import (
    CallerReply,
    FakeCaller,
    ReplyLostError,
)
from rosemaryward.platform.fakes.documents import ROUTE_TYPES

__all__ = ["Callers"]

STATEMENT_TIMEOUT_S = 2.5
MEAN_PAUSE_S = 0.05
ITEM_COUNT = 40
SESSION_OPERATIONS_LIMIT = 12  # exclusive


class Callers:
    """Runs concurrent sessions and records their statements and replies.

    Parameters
    ----------
    fleet : Fleet
        Proxies that the sessions connect to.
    rng : random.Random
        Selects proxies, databases, statements and pauses.
    keep_sessions : bool
        Whether each session lasts until its proxy closes the connection.
    is_balanced : bool
        Whether new sessions avoid the proxies that the load balancer has removed.

    Attributes
    ----------
    operations : list of Operation
        Operations of all sessions in the order in which they began.
    unanswered : list of tuple of Proxy and StatementRecord
        Statements without a complete reply, each with the proxy that it was sent to.
    lost_replies : list of LostReply
        The same, also for session variables and the begin of transactions.
    sessions : int
        Number of sessions started.
    stopping : bool
        Set by the owner to end all sessions after their present operation.
    """

    def __init__(
        self,
        fleet: Fleet,
        rng: random.Random,
        keep_sessions: bool = False,
        is_balanced: bool = False,
    ) -> None:
        self.fleet = fleet
        self.rng = rng
        self.keep_sessions = keep_sessions
        self.is_balanced = is_balanced
        self.operations: list[Operation] = []
        self.unanswered: list[tuple[Proxy, StatementRecord]] = []
        self.lost_replies: list[LostReply] = []
        self.sessions = 0
        self.stopping = False

    async def run(self, count: int) -> None:
        """Run `count` concurrent callers until `stopping` is set."""
        async with anyio.create_task_group() as tasks:
            for _ in range(count):
                tasks.start_soon(self._run_caller)

    async def _run_caller(self) -> None:
        while not self.stopping:
            proxies = self.fleet.proxies
            if self.is_balanced:
                proxies = [proxy for proxy in proxies if not proxy.is_removed]
            if not proxies:
                await anyio.sleep(MEAN_PAUSE_S)
                continue
            proxy = self.rng.choice(proxies)
            try:
                await self._run_session(proxy)
            except ReplyLostError:
                await anyio.sleep(MEAN_PAUSE_S)  # the next session selects a proxy anew

    async def _run_session(self, proxy: Proxy) -> None:
        database = self.rng.choice(list(ROUTE_TYPES))
        self.sessions += 1
        number = self.sessions
        values: dict[str, str] = {}
        async with FakeCaller(proxy.address, database) as caller:
            if self.rng.random() < 0.4:
                reply = await self._query(proxy, caller, f"SET tag {number}")
                if reply.code:
                    return
                values["tag"] = str(number)
            prepared = await self._prepare(proxy, caller, number)
            if prepared is None:
                return
            left = self.rng.randrange(1, SESSION_OPERATIONS_LIMIT)
            while (left or self.keep_sessions) and not self.stopping:
                left = max(left - 1, 0)
                operation = Operation(
                    number,
                    database,
                    dict(values),
                    time.monotonic(),
                    [],
                    prepared=prepared,
                )
                self.operations.append(operation)
                if not await self._run_operation(proxy, caller, operation):
                    return
                await caller.pause(self.rng.expovariate(1 / MEAN_PAUSE_S))

    async def _run_operation(
        self, proxy: Proxy, caller: FakeCaller, operation: Operation
    ) -> bool:
        """Run one operation and return whether the session continues."""
        if self.rng.random() < 0.6:
            statement = await self._run_statement(
                proxy, caller, operation, self._random_statement()
            )
            return not statement.code or statement.code in ("BUSY", "FAILED")
        operation.transaction = True
        texts = [self._random_statement() for _ in range(self.rng.randrange(1, 5))]
        reply = await self._query(proxy, caller, "BEGIN")
        if reply.code:
            return False
        for text in texts:
            if (await self._run_statement(proxy, caller, operation, text)).code:
                return False
            await caller.pause(self.rng.expovariate(1 / MEAN_PAUSE_S))
        if self.rng.random() < 0.1:
            return False  # closes the connection with the transaction open
        if self.rng.random() < 0.1:
            reply = await self._query(proxy, caller, "ROLLBACK")
            operation.expects_no_effect = not reply.code
            return not reply.code
        return not (await self._run_statement(proxy, caller, operation, "COMMIT")).code

    def _random_statement(self) -> str:
        item = f"k{self.rng.randrange(ITEM_COUNT)}"
        if self.rng.random() < 0.4:
            return f"WRITE {item} {self.rng.getrandbits(48):x}"
        return f"READ {item}"

    async def _prepare(
        self, proxy: Proxy, caller: FakeCaller, number: int
    ) -> dict[str, tuple[str, str]] | None:
        """Prepare statements in every other session, under names that collide.

        Returns
        -------
        dict of str to tuple of str, or None
            Access and shape by name; None if the proxy has refused one.
        """
        if number % 2:
            return {}
        other = "READ" if number % 4 else "WRITE"
        shape = f"q{number % 6} {other} note"
        prepared = {"w1": ("WRITE", shape), "r1": ("READ", shape)}
        for name, (access, shape) in prepared.items():
            text = f"PREPARE {name} {access} {shape}"
            if (await self._query(proxy, caller, text)).code:
                return None
        return prepared

    async def _query(self, proxy: Proxy, caller: FakeCaller, text: str) -> CallerReply:
        """Send a statement and record it if its reply is lost."""
        sent_at = time.monotonic()
        try:
            return await caller.query(text, STATEMENT_TIMEOUT_S)
        except ReplyLostError as error:
            lost = LostReply(
                proxy.name, str(error), text, sent_at, time.monotonic(), caller.is_open
            )
            self.lost_replies.append(lost)
            raise

    async def _run_statement(
        self, proxy: Proxy, caller: FakeCaller, operation: Operation, text: str
    ) -> StatementRecord:
        """Run a statement, prepared if the session has prepared its kind."""
        word, _, arguments = text.partition(" ")
        name = f"{word[:1].lower()}1"
        executed = operation.prepared.get(name, ())
        if executed:
            text = f"EXECUTE {name} {arguments}"
        statement = StatementRecord("", text, time.monotonic(), prepared=executed)
        operation.statements.append(statement)
        try:
            reply = await self._query(proxy, caller, text)
        except ReplyLostError as error:
            statement.request_id = str(error)
            self.unanswered.append((proxy, statement))
            raise
        statement.request_id = reply.request_id
        statement.ended_at = time.monotonic()
        statement.code = reply.code
        statement.signature = reply.signature
        statement.rows = reply.rows
        if reply.has_no_effect:
            operation.expects_no_effect = True
        return statement
