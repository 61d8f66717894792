"""Callers of the soak: sessions with single statements and transactions."""

import random
import time

import anyio

from rosemaryward.bench.soak.fleet import Fleet, Proxy
from rosemaryward.bench.soak.history import Operation, Said
from rosemaryward.platform.fakes.caller import FakeCaller, ReplyLostError
from rosemaryward.platform.fakes.documents import ROUTE_TYPES

__all__ = ["Callers"]

STATEMENT_TIMEOUT_S = 2.5
PAUSE_S = 0.05
ITEMS = 40
SESSION_OPERATIONS = 12


class Callers:
    """Sessions that run operations one after the other and keep what they were told.

    Parameters
    ----------
    fleet : Fleet
    random_ : random.Random

    Attributes
    ----------
    operations : list of Operation
    cut : list of tuple of Proxy and Said
        Statements without a whole reply.
    """

    def __init__(self, fleet: Fleet, random_: random.Random) -> None:
        self.fleet = fleet
        self.random = random_
        self.operations: list[Operation] = []
        self.cut: list[tuple[Proxy, Said]] = []
        self.sessions = 0
        self.stopping = False

    async def run(self, count: int) -> None:
        """Run sessions until `stopping` is set."""
        async with anyio.create_task_group() as tasks:
            for _ in range(count):
                tasks.start_soon(self._caller)

    async def _caller(self) -> None:
        while not self.stopping:
            proxy = self.random.choice(self.fleet.proxies)
            try:
                await self._session(proxy)
            except ReplyLostError:
                await anyio.sleep(PAUSE_S)  # the next session may use another proxy

    async def _session(self, proxy: Proxy) -> None:
        database = self.random.choice(list(ROUTE_TYPES))
        self.sessions += 1
        number = self.sessions
        values: dict[str, str] = {}
        async with FakeCaller(proxy.address, database) as caller:
            if self.random.random() < 0.4:
                reply = await caller.query(f"SET tag {number}", STATEMENT_TIMEOUT_S)
                if reply.code:
                    return
                values["tag"] = str(number)
            for _ in range(self.random.randrange(1, SESSION_OPERATIONS)):
                if self.stopping:
                    return
                operation = Operation(
                    number, database, dict(values), time.monotonic(), []
                )
                self.operations.append(operation)
                if not await self._operate(proxy, caller, operation):
                    return
                await anyio.sleep(self.random.expovariate(1 / PAUSE_S))

    async def _operate(
        self, proxy: Proxy, caller: FakeCaller, operation: Operation
    ) -> bool:
        """Run one operation; return whether the session goes on."""
        if self.random.random() < 0.6:
            said = await self._say(proxy, caller, operation, self._statement())
            return not said.code or said.code in ("BUSY", "FAILED")
        operation.transaction = True
        texts = [self._statement() for _ in range(self.random.randrange(1, 5))]
        reply = await caller.query("BEGIN", STATEMENT_TIMEOUT_S)
        if reply.code:
            return False
        for text in texts:
            if (await self._say(proxy, caller, operation, text)).code:
                return False
            await anyio.sleep(self.random.expovariate(1 / PAUSE_S))
        if self.random.random() < 0.1:
            return False  # leaves in the middle of the transaction
        if self.random.random() < 0.1:
            reply = await caller.query("ROLLBACK", STATEMENT_TIMEOUT_S)
            operation.keeps_nothing = not reply.code
            return not reply.code
        return not (await self._say(proxy, caller, operation, "COMMIT")).code

    def _statement(self) -> str:
        item = f"k{self.random.randrange(ITEMS)}"
        if self.random.random() < 0.4:
            return f"WRITE {item} {self.random.getrandbits(48):x}"
        return f"READ {item}"

    async def _say(
        self, proxy: Proxy, caller: FakeCaller, operation: Operation, text: str
    ) -> Said:
        """Run a statement and keep what was said."""
        said = Said("", text, time.monotonic())
        operation.statements.append(said)
        try:
            reply = await caller.query(text, STATEMENT_TIMEOUT_S)
        except ReplyLostError as error:
            said.request_id = str(error)
            self.cut.append((proxy, said))
            raise
        said.request_id = reply.request_id
        said.ended_at = time.monotonic()
        said.code = reply.code
        said.signature = reply.signature
        said.rows = reply.rows
        if reply.has_no_effect:
            operation.keeps_nothing = True
        return said
