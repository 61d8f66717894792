"""Stream reader of a caller connection that bounds and measures what it receives."""

import asyncio
import math
from collections.abc import Callable

import anyio
from mysql_mimic import types

from rosemaryward.decisions.clients import ALLOWANCE_BYTES, Client, ClientState

__all__ = ["CallerProtocol", "CommandReader"]

HEADER_BYTES = 4
LONGEST_PACKET = 0xFFFFFF
MAX_LOGIN_BYTES = 64 * 1024
"""Longest packet before the login has succeeded; usual ones have some hundred bytes."""
MAX_MESSAGE_BYTES = 32 * 1024 * 1024
"""Longest message of several packets. Statements have at most 4 Mi characters."""
COPIES_IN_SERVICE = 3
"""Copies of a long statement while it is served: as packet, text and fingerprint."""
REFUSED_COMMAND = b"\xff"
"""Unknown command, which `CallerConnection` answers with the refusal."""
COMMANDS_WITHOUT_REPLY = frozenset(
    (types.Commands.COM_STMT_SEND_LONG_DATA, types.Commands.COM_STMT_CLOSE)
)
"""The caller would take a refusal for the reply to its next command."""
WAITING_STATES = (ClientState.IDLE, ClientState.IN_TRANSACTION)


class CommandReader(asyncio.StreamReader):
    """Stream reader of one caller connection.

    `mysql-mimic` reads a packet's header with a single call of `read` and fails if TCP
    delivers only a part of it, so `read` returns all requested bytes.

    It reads a command only after it has written the previous reply. A reply is
    therefore complete once the reader waits for the next bytes.

    Parameters
    ----------
    loop : asyncio.AbstractEventLoop, optional
    long_messages : asyncio.Lock, optional
        Common to all connections, so that one long message is passed on at a time.

    Attributes
    ----------
    waiting_since_s : float
        Event loop time at which the current wait began, infinity if there is none.
    client : Client or None
        Entry of the connection in the table of clients.
    is_in_transaction : callable
        Returns whether the connection is inside a transaction.
    is_refused : bool
        Whether the last message was dropped, so that it has to be refused.
    taken_bytes : int
        Bytes of the present message that were read from the buffer.
    """

    waiting_since_s = math.inf
    client: Client | None = None
    is_refused = False
    taken_bytes = 0
    _buffer: bytearray
    _continues = False  # whether the present message has another packet

    def __init__(
        self,
        loop: asyncio.AbstractEventLoop | None = None,
        long_messages: asyncio.Lock | None = None,
    ) -> None:
        super().__init__(loop=loop)
        self.long_messages = long_messages or asyncio.Lock()
        self.is_in_transaction: Callable[[], bool] = lambda: False

    def feed_data(self, data: bytes) -> None:  # type: ignore[override]
        """Add received bytes; ends the connection if its memory does not suffice."""
        super().feed_data(data)
        client = self.client
        if client is None:
            return
        if client.state in WAITING_STATES:
            client.enter(ClientState.RECEIVING)
        if client.state is not ClientState.RECEIVING:
            return
        size = len(self._buffer) + self.taken_bytes
        if size > ALLOWANCE_BYTES and not client.hold(size):
            client.abort()

    async def read(self, n: int = -1) -> bytes:
        """Return exactly `n` bytes, or empty bytes if the connection has ended."""
        if n == HEADER_BYTES and not self._continues:
            self._begin_message()
        if self._buffer:
            # A client that sends commands ahead must not keep others from running.
            await asyncio.sleep(0)
        self.waiting_since_s = anyio.current_time()
        try:
            data = await super().readexactly(n)
        except asyncio.IncompleteReadError:
            return b""
        finally:
            self.waiting_since_s = math.inf
        if n == HEADER_BYTES:
            self._check_length(int.from_bytes(data[:3], "little"))
        return data

    async def readexactly(self, n: int) -> bytes:
        """Return a packet's payload, `REFUSED_COMMAND` instead of a dropped one."""
        data = await super().readexactly(n)
        self.taken_bytes += n
        client = self.client
        if client is None or self._continues or client.state is ClientState.STARTING:
            return data
        client.enter(ClientState.SERVING)
        size = self.taken_bytes
        if size > ALLOWANCE_BYTES and not client.hold(COPIES_IN_SERVICE * size):
            client.hold(0)
            self._check_refusable(data, n)
            self.is_refused = True
            return REFUSED_COMMAND
        if size > ALLOWANCE_BYTES:
            # Reading a statement of 1 MiB takes tenths of a second of the event loop.
            async with self.long_messages:
                await asyncio.sleep(0)
        return data

    def idle_s(self) -> float:
        """Return how long the reader has waited, 0 while a command is handled."""
        return max(0.0, anyio.current_time() - self.waiting_since_s)

    def _begin_message(self) -> None:
        """Release what the previous message held."""
        self.taken_bytes = 0
        client = self.client
        if client is None or client.state is ClientState.STARTING:
            return
        waits = self.is_in_transaction()
        client.enter(ClientState.IN_TRANSACTION if waits else ClientState.IDLE)
        client.hold(0)
        if self._buffer:
            client.enter(ClientState.RECEIVING)

    def _check_refusable(self, data: bytes, size: int) -> None:
        """Raise `ConnectionError` if a dropped message cannot be answered.

        The stream has taken the earlier packets of a message already, and would pass
        them on as a command without its end.
        """
        if self.taken_bytes > size or data[0] in COMMANDS_WITHOUT_REPLY:
            raise ConnectionAbortedError("a message without a refusal was dropped")

    def _check_length(self, length: int) -> None:
        """Raise `ConnectionError` if the message is too long."""
        self._continues = length == LONGEST_PACKET
        client = self.client
        is_starting = client is not None and client.state is ClientState.STARTING
        limit = MAX_LOGIN_BYTES if is_starting else MAX_MESSAGE_BYTES
        if self.taken_bytes + length > limit:
            raise ConnectionAbortedError(f"message: expected at most {limit} bytes")
        if length == 0 and client is not None and not is_starting:
            client.enter(ClientState.SERVING)


class CallerProtocol(asyncio.StreamReaderProtocol):
    """Protocol of a caller connection that counts the answers not yet taken.

    Parameters
    ----------
    reader : CommandReader
    on_connected : callable
        Serves the connection.
    loop : asyncio.AbstractEventLoop
    """

    def __init__(
        self,
        reader: CommandReader,
        on_connected: Callable[..., object],
        loop: asyncio.AbstractEventLoop,
    ) -> None:
        super().__init__(reader, on_connected, loop=loop)  # type: ignore[arg-type]
        self.reader = reader
        self.transport: asyncio.Transport | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Remember the transport."""
        self.transport = transport  # type: ignore[assignment]
        super().connection_made(transport)

    def pause_writing(self) -> None:
        """Count the answer, which the caller does not take."""
        super().pause_writing()
        client = self.reader.client
        if client is not None and self.transport is not None:
            client.enter(ClientState.SENDING)
            size = self.transport.get_write_buffer_size()
            client.table.force_hold(client, size)

    def resume_writing(self) -> None:
        """Continue to serve the command."""
        super().resume_writing()
        if self.reader.client is not None:
            self.reader.client.enter(ClientState.SERVING)
