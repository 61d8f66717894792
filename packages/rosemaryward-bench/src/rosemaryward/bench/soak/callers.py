"""Callers of the soak, which run single statements and transactions."""

import random
import time

import anyio

from rosemaryward.bench.soak.fleet import Fleet, Proxy
from rosemaryward.bench.soak.history import Operation, StatementRecord
from rosemaryward.platform.fakes.caller import FakeCaller, ReplyLostError
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

    Attributes
    ----------
    operations : list of Operation
        Operations of all sessions in the order in which they began.
    unanswered : list of tuple of Proxy and StatementRecord
        Statements without a complete reply, each with the proxy that it was sent to.
    sessions : int
        Number of sessions started.
    stopping : bool
        Set by the owner to end all sessions after their present operation.
    """

    def __init__(self, fleet: Fleet, rng: random.Random) -> None:
        self.fleet = fleet
        self.rng = rng
        self.operations: list[Operation] = []
        self.unanswered: list[tuple[Proxy, StatementRecord]] = []
        self.sessions = 0
        self.stopping = False

    async def run(self, count: int) -> None:
        """Run `count` concurrent callers until `stopping` is set."""
        async with anyio.create_task_group() as tasks:
            for _ in range(count):
                tasks.start_soon(self._run_caller)

    async def _run_caller(self) -> None:
        while not self.stopping:
            proxy = self.rng.choice(self.fleet.proxies)
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
                reply = await caller.query(f"SET tag {number}", STATEMENT_TIMEOUT_S)
                if reply.code:
                    return
                values["tag"] = str(number)
            for _ in range(self.rng.randrange(1, SESSION_OPERATIONS_LIMIT)):
                if self.stopping:
                    return
                operation = Operation(
                    number, database, dict(values), time.monotonic(), []
                )
                self.operations.append(operation)
                if not await self._run_operation(proxy, caller, operation):
                    return
                await anyio.sleep(self.rng.expovariate(1 / MEAN_PAUSE_S))

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
        reply = await caller.query("BEGIN", STATEMENT_TIMEOUT_S)
        if reply.code:
            return False
        for text in texts:
            if (await self._run_statement(proxy, caller, operation, text)).code:
                return False
            await anyio.sleep(self.rng.expovariate(1 / MEAN_PAUSE_S))
        if self.rng.random() < 0.1:
            return False  # closes the connection with the transaction open
        if self.rng.random() < 0.1:
            reply = await caller.query("ROLLBACK", STATEMENT_TIMEOUT_S)
            operation.expects_no_effect = not reply.code
            return not reply.code
        return not (await self._run_statement(proxy, caller, operation, "COMMIT")).code

    def _random_statement(self) -> str:
        item = f"k{self.rng.randrange(ITEM_COUNT)}"
        if self.rng.random() < 0.4:
            return f"WRITE {item} {self.rng.getrandbits(48):x}"
        return f"READ {item}"

    async def _run_statement(
        self, proxy: Proxy, caller: FakeCaller, operation: Operation, text: str
    ) -> StatementRecord:
        """ExecutedStatement a statement and record its reply."""
        statement = StatementRecord("", text, time.monotonic())
        operation.statements.append(statement)
        try:
            reply = await caller.query(text, STATEMENT_TIMEOUT_S)
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
