import asyncio

import pytest
from hypothesis import given, seed, settings
from hypothesis import strategies as st
from mysql_mimic.errors import MysqlError
from mysql_mimic.stream import ConnectionClosed, MysqlStream

from rosemaryward.callers.reader import (
    MAX_LOGIN_BYTES,
    REFUSED_COMMAND,
    CommandReader,
)
from rosemaryward.decisions.clients import ClientLimits, ClientState, ClientTable

PAYLOADS = st.lists(st.binary(min_size=1, max_size=50), max_size=10)
SIZES = st.lists(st.integers(1, 30), min_size=1)
EXPECTED_ERRORS = (
    ConnectionClosed,
    ConnectionError,
    MysqlError,
    asyncio.IncompleteReadError,
)


def create_reader(state=ClientState.IDLE, memory_bytes=1 << 20):
    limits = ClientLimits(
        connections=4, starting=4, ending=1, memory_bytes=memory_bytes
    )
    reader = CommandReader()
    table = ClientTable(limits, lambda: 0.0)
    reader.client = table.admit(lambda: reader.feed_eof())
    reader.client.enter(state)
    return reader


async def read_messages(data, sizes):
    """Return the messages that a server reads, and the error at the end."""
    reader = create_reader()

    async def feed():
        start = 0
        while start < len(data):
            size = sizes[start % len(sizes)]
            reader.feed_data(data[start : start + size])
            start += size
            await asyncio.sleep(0)
        reader.feed_eof()

    feeder = asyncio.ensure_future(feed())
    stream = MysqlStream(reader, None)
    messages = []
    try:
        while True:
            messages.append(await stream.read())
            stream.reset_seq()
    except EXPECTED_ERRORS as error:
        return messages, error
    finally:
        await feeder


def packet(payload, sequence=0):
    return len(payload).to_bytes(3, "little") + bytes([sequence]) + payload


@seed(1)
@settings(max_examples=100, deadline=None)
@given(PAYLOADS, SIZES)
def test_messages_do_not_depend_on_the_pieces(payloads, sizes):
    """Guards against bytes that are taken for another message."""
    data = b"".join(map(packet, payloads))
    messages, error = asyncio.run(read_messages(data, sizes))
    assert messages == payloads
    assert isinstance(error, ConnectionClosed)


@seed(1)
@settings(max_examples=200, deadline=None)
@given(st.binary(max_size=200), SIZES)
def test_any_bytes_end_with_a_known_error(data, sizes):
    """Guards against input that ends a process or blocks a connection."""
    _, error = asyncio.run(read_messages(data, sizes))
    assert isinstance(error, EXPECTED_ERRORS)


async def test_long_packet_before_login_is_refused_by_its_header():
    """Guards against memory for clients that nobody knows."""
    reader = create_reader(ClientState.STARTING)
    reader.feed_data((MAX_LOGIN_BYTES + 1).to_bytes(3, "little") + b"\1")
    with pytest.raises(ConnectionError):
        await reader.read(4)


async def test_message_without_memory_is_replaced_by_a_refused_command():
    """Guards against serving a statement that the memory does not suffice for."""
    reader = create_reader(memory_bytes=40_000)
    stream = MysqlStream(reader, None)
    reader.feed_data(packet(b"\3" + b"x" * 30_000) + packet(b"\3SELECT 1"))
    assert await stream.read() == REFUSED_COMMAND
    assert reader.is_refused
    assert reader.client.held_bytes == 0
    stream.reset_seq()
    assert await stream.read() == b"\3SELECT 1"


@pytest.mark.parametrize(
    "data",
    [
        pytest.param(packet(b"\x18" + bytes(30_000)), id="long-data"),
        pytest.param(packet(b"\x19" + bytes(30_000)), id="close-statement"),
        pytest.param(
            packet(b"\3" + bytes(0xFFFFFE)) + packet(b"x" * 30_000, 1), id="last-part"
        ),
    ],
)
async def test_dropped_message_without_a_refusal_closes_the_connection(data):
    """Guards against an error taken for the reply to another statement.

    It also guards against a statement that runs without its end.
    """
    reader = create_reader(memory_bytes=20_000_000 if len(data) > 1 << 20 else 40_000)
    stream = MysqlStream(reader, None)
    reader.feed_data(data + packet(b"\3SELECT 1"))
    with pytest.raises(ConnectionError):
        await stream.read()


async def test_message_of_several_packets_is_bounded():
    """Guards against a message that is continued without end."""
    reader = create_reader(memory_bytes=1 << 30)
    stream = MysqlStream(reader, None)
    for sequence in range(3):
        reader.feed_data(packet(bytes(0xFFFFFF), sequence))
    with pytest.raises(ConnectionError):
        await stream.read()


async def test_commands_ahead_let_other_tasks_run():
    """Guards against a client whose commands block all other connections."""
    reader = create_reader()
    stream = MysqlStream(reader, None)
    reader.feed_data(packet(b"\1") * 10)
    steps = 0

    async def count():
        nonlocal steps
        while True:
            steps += 1
            await asyncio.sleep(0)

    counter = asyncio.ensure_future(count())
    for _ in range(10):
        await stream.read()
        stream.reset_seq()
    counter.cancel()
    assert steps >= 9
