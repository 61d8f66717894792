import anyio
import pytest

from rosemaryward.decisions.clients import ClientLimits, ClientState, ClientTable
from rosemaryward.decisions.gateway.outcomes import Answer, ConnectionState, Failure
from rosemaryward.decisions.gateway.statements import (
    AdmissionParameters,
    Statement,
    StatementKind,
)
from rosemaryward.decisions.links import LinkPurpose
from rosemaryward.decisions.messages import (
    EndpointId,
    Execute,
    NotRun,
    StatementResult,
)
from rosemaryward.decisions.relays.messages import Answered, Refused, RunRequest
from rosemaryward.decisions.types import Rank
from rosemaryward.peers import relays, statements
from rosemaryward.peers.clients import ConnectionMemory
from rosemaryward.peers.frames import FrameReader, encode_message, split_frames
from rosemaryward.peers.relays import RelayServer
from rosemaryward.peers.send_queue import SendQueue
from rosemaryward.peers.statements import StatementServer

MEMORY_BYTES = 1 << 20
LIMITS = ClientLimits(connections=4, starting=4, ending=1, memory_bytes=MEMORY_BYTES)
LONG = 700_000  # two of them exceed the bound


class FakeStream:
    """Stream whose peer sends what the test appends, and takes bytes if allowed."""

    def __init__(self):
        self.received, self.incoming = anyio.create_memory_object_stream(100)
        self.takes_bytes = anyio.Event()
        self.takes_bytes.set()
        self.reader = FrameReader()
        self.replies = {}

    async def receive(self, max_bytes):
        return await self.incoming.receive()

    async def send(self, data):
        await self.takes_bytes.wait()
        self.replies |= dict(self.reader.feed(data))

    def put(self, data):
        self.received.send_nowait(data)


class Connection:
    """Connection to a table that closes none for its memory."""

    def __init__(self, table=None):
        self.clock = [0.0]
        self.table = table or ClientTable(
            LIMITS, lambda: self.clock[0], closes_holders=False
        )
        self.aborted = False
        self.client = self.table.admit(self.abort)
        self.stream = FakeStream()
        self.queue = SendQueue(self.stream, LinkPurpose.RESULT)
        self.frames = FrameReader()
        self.refused = []
        self.memory = ConnectionMemory(
            self.client, self.frames, self.queue, self.refused.append
        )

    def abort(self):
        self.aborted = True

    async def receive(self, data):
        messages = dict(self.frames.feed(data))
        await self.memory.count_received()
        return messages


def message(request_id, size):
    return b"".join(split_frames(request_id, bytes([request_id]) * size))


@pytest.mark.parametrize("piece", [7, 5_000, 70_000])
@pytest.mark.parametrize("received", [20_000, 65_000, 130_000, 200_000])
def test_dropped_message_is_skipped_to_its_end(piece, received):
    """Guards against the rest of a dropped message taken for another one."""
    reader = FrameReader()
    data = message(1, 250_000)
    assert not list(reader.feed(data[:received]))
    assert reader.discard_incomplete() == {1}
    assert reader.held_bytes() <= 13
    rest = data[received:] + message(2, 100) + message(3, 100_000)
    found = []
    for start in range(0, len(rest), piece):
        found += reader.feed(rest[start : start + piece])
    assert found == [(2, b"\2" * 100), (3, b"\3" * 100_000)]
    assert not reader.discarded


def test_short_message_received_in_part_is_not_dropped():
    """Guards against dropping the request that ends a transaction."""
    reader = FrameReader()
    data = message(1, 10_000)
    assert not list(reader.feed(data[:100]))
    assert not reader.discard_incomplete()
    assert list(reader.feed(data[100:])) == [(1, b"\1" * 10_000)]


async def test_incomplete_messages_are_refused_one_by_one():
    """Guards against closing a connection on which other statements run."""
    slow = Connection()
    newer = Connection(slow.table)
    await slow.receive(message(1, 2 * LONG)[:LONG])
    slow.clock[0] = 1.0
    await newer.receive(message(2, 2 * LONG)[:LONG])
    assert (slow.refused, newer.refused) == ([1], [])
    await newer.receive(message(2, 2 * LONG)[LONG : 2 * LONG - 100_000])
    assert newer.refused == [2]
    assert not slow.aborted
    assert not newer.aborted
    assert newer.table.held_bytes == 0


async def test_request_counts_until_its_reply_is_written():
    """Guards against requests in progress and replies that nothing bounds."""
    connection = Connection()
    memory, client = connection.memory, connection.client
    end_request = memory.begin_request(LONG, can_be_refused=True)
    assert memory.begin_request(LONG, can_be_refused=True) is None
    assert memory.begin_request(1_000, can_be_refused=True) is not None
    connection.queue.put(1, bytes(2 * MEMORY_BYTES), Rank.NORMAL)
    end_request()
    assert client.held_bytes > MEMORY_BYTES
    assert client.state is ClientState.SERVING
    assert memory.begin_request(LONG, can_be_refused=True) is None
    assert memory.begin_request(LONG, can_be_refused=False) is not None
    assert not connection.aborted
    async with anyio.create_task_group() as tasks:
        tasks.start_soon(connection.queue.run)
        await anyio.wait_all_tasks_blocked()
        tasks.cancel_scope.cancel()
    assert len(connection.stream.replies[1]) == 2 * MEMORY_BYTES
    assert client.held_bytes < LONG


@pytest.mark.parametrize("takes_bytes", [True, False])
async def test_only_a_peer_that_takes_no_bytes_is_closed(takes_bytes):
    """Guards against replies kept for a peer that has stopped reading."""
    connection = Connection()
    stream = connection.stream
    async with anyio.create_task_group() as tasks:
        tasks.start_soon(connection.queue.run)
        for _ in range(3):
            stream.takes_bytes = anyio.Event()
            connection.queue.put(1, bytes(100), Rank.NORMAL)
            await anyio.wait_all_tasks_blocked()
            assert connection.client.state is ClientState.SENDING
            connection.clock[0] += LIMITS.answer_s * 0.7
            connection.table.close_expired()
            if takes_bytes:
                stream.takes_bytes.set()
                await anyio.wait_all_tasks_blocked()
        tasks.cancel_scope.cancel()
    assert connection.aborted is not takes_bytes


async def test_peer_that_takes_no_replies_is_not_read():
    """Guards against replies to messages such as pings that nothing bounds."""
    connection = Connection()
    connection.queue.put(1, bytes(2 * MEMORY_BYTES), Rank.NORMAL)
    with anyio.move_on_after(0.05) as scope:
        await connection.receive(message(2, 10))
    assert scope.cancelled_caught


def relay_requests():
    admission = AdmissionParameters(1, "caller", "db", 5.0, 1)
    for request_id, size in ((1, LONG), (2, LONG), (3, 100)):
        statement = Statement(str(request_id), StatementKind.READ, "x" * size)
        yield (
            request_id,
            relays._encoder.encode(
                RunRequest("i-1", statement, {}, None, None, admission)
            ),
        )


async def serve_relay(stream, client_table, answered):
    class Session:
        peer = "proxy-1"

        async def handle(self, request):
            await answered.wait()
            return Answered(Answer(ConnectionState.IDLE, "s", ()))

    server = RelayServer("127.0.0.1:0", None)
    queue = SendQueue(stream, LinkPurpose.RESULT)
    async with anyio.create_task_group() as server.task_group:
        server.task_group.start_soon(queue.run)
        await server._read(stream, b"", Session(), queue, client_table.admit(None))


def statement_requests():
    for request_id, size in ((1, LONG), (2, LONG), (3, 100)):
        execute = Execute(EndpointId("db", "a"), "x" * size, False, 0, 1.0)
        yield request_id, encode_message(execute)


async def serve_statements(stream, client_table, answered):
    async def handle(sender, request):
        await answered.wait()
        return StatementResult()

    server = StatementServer("127.0.0.1", 0, handle, None)
    queue = SendQueue(stream, LinkPurpose.RESULT)
    async with anyio.create_task_group() as server.task_group:
        server.task_group.start_soon(queue.run)
        client = client_table.admit(None)
        await server._read_requests(stream, "proxy-1", b"", queue, client)


@pytest.mark.parametrize(
    ("requests", "serve", "decode", "refused"),
    [
        pytest.param(
            relay_requests,
            serve_relay,
            relays._reply_decoder.decode,
            Refused,
            id="relay",
        ),
        pytest.param(
            statement_requests,
            serve_statements,
            statements.decode_reply,
            NotRun,
            id="statements",
        ),
    ],
)
async def test_request_above_the_bound_is_refused_as_not_run(
    requests, serve, decode, refused
):
    """Guards against unknown outcomes of the other statements of a proxy."""
    stream = FakeStream()
    table = ClientTable(LIMITS, lambda: 0.0, closes_holders=False)
    answered = anyio.Event()
    async with anyio.create_task_group() as tasks:
        tasks.start_soon(serve, stream, table, answered)
        for request_id, payload in requests():
            for frame in split_frames(request_id, payload):
                stream.put(frame)
        await anyio.wait_all_tasks_blocked()
        assert list(stream.replies) == [2]
        reply = decode(stream.replies[2])
        assert isinstance(reply, refused)
        assert getattr(reply, "failure", Failure.BUSY) is Failure.BUSY
        answered.set()
        await anyio.wait_all_tasks_blocked()
        assert set(stream.replies) == {1, 2, 3}
        assert table.held_bytes == 0
        tasks.cancel_scope.cancel()
