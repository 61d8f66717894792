import hashlib

import anyio
import asyncmy
import pytest
from asyncmy.errors import MySQLError

from rosemaryward.callers.reader import CommandReader
from rosemaryward.callers.server import CallerServer
from rosemaryward.decisions.clients import ClientLimits
from rosemaryward.decisions.errors import (
    NotRunError,
    OutcomeUnknownError,
    OverloadError,
    StatementError,
)
from rosemaryward.decisions.messages import Column, StatementResult
from rosemaryward.decisions.routing.attributes import Attributes
from rosemaryward.decisions.routing.classification import Classifier
from rosemaryward.decisions.routing.rules import UserAccount
from rosemaryward.decisions.types import LogPosition, Rank

PASSWORD = "leaf-mould"
HASH = hashlib.sha1(hashlib.sha1(PASSWORD.encode()).digest()).hexdigest()
LONGLONG, VARCHAR, DATETIME = 8, 253, 12


class FakeRunner:
    """Statement runner and account source with fixed replies."""

    def __init__(self):
        self.classifier = Classifier()
        self.calls = []
        self.called = anyio.Event()
        self.closed = anyio.Event()
        self.reply = StatementResult()
        self.refuses_connections = False
        self.closed_sessions = []
        self.release = None

    def account(self, user):
        if user == "ana":
            return UserAccount("ana", "team", HASH, frozenset(Rank))
        return None

    def check_connection(self, tenant):
        if self.refuses_connections:
            raise OverloadError(f"tenant {tenant} has 10 connections")

    def open_session(self, session):
        pass

    async def close_session(self, session):
        self.closed_sessions.append(session)
        self.closed.set()

    async def reset(self, session):
        pass

    async def run(self, session, sql, statement_attributes=None):
        self.calls.append((session, sql, statement_attributes))
        self.called.set()
        if self.release is not None:
            await self.release.wait()
        if isinstance(self.reply, Exception):
            raise self.reply
        return self.reply


@pytest.fixture
async def runner():
    return FakeRunner()


@pytest.fixture
async def server(runner):
    async with CallerServer("127.0.0.1", 0, runner, runner) as server:
        yield server


async def _connect(server, password=PASSWORD, user="ana"):
    return await asyncmy.connect(
        host="127.0.0.1",
        port=server.port,
        user=user,
        password=password,
        database="db",
        autocommit=True,
    )


async def _execute(connection, sql):
    cursor = connection.cursor()
    await cursor.execute(sql)
    return cursor


@pytest.mark.parametrize(
    ("user", "password"),
    [
        pytest.param("ana", "wrong", id="wrong-password"),
        pytest.param("ana", "", id="no-password"),
        pytest.param("bob", PASSWORD, id="unknown-user"),
    ],
)
async def test_wrong_credentials(server, runner, user, password):
    """Guards against a connection without valid credentials."""
    with pytest.raises(MySQLError):
        await _connect(server, password, user)
    assert runner.calls == []


async def test_values_keep_their_types(server, runner):
    """Guards against numbers and times that callers receive as text."""
    runner.reply = StatementResult(
        columns=(
            Column("n", LONGLONG),
            Column("t", VARCHAR),
            Column("d", DATETIME),
            Column("z", LONGLONG),
        ),
        rows=[["42", "öl", "2026-03-01 20:15:00", None]],
    )
    connection = await _connect(server)
    row = await (await _execute(connection, "SELECT * FROM t")).fetchone()
    assert row[:2] == (42, "öl")
    assert (row[2].hour, row[3]) == (20, None)
    connection.close()


async def test_write_reports_rows_and_id(server, runner):
    """Guards against a lost row count or generated key."""
    runner.reply = StatementResult(affected_rows=3, last_insert_id=17)
    connection = await _connect(server)
    cursor = await _execute(connection, "INSERT INTO t VALUES (1)")
    assert (cursor.rowcount, cursor.lastrowid) == (3, 17)
    connection.close()


@pytest.mark.parametrize(
    ("error", "code", "start"),
    [
        pytest.param(NotRunError("no primary"), 1205, "not run:", id="not-run"),
        pytest.param(OutcomeUnknownError("x"), 1317, "outcome unknown:", id="unknown"),
        pytest.param(StatementError(1146, "no table"), 1146, "no table", id="sql"),
    ],
)
async def test_error_leaves_the_connection_usable(server, runner, error, code, start):
    """Guards against outcomes that a caller cannot distinguish."""
    connection = await _connect(server)
    runner.reply = error
    with pytest.raises(MySQLError) as caught:
        await _execute(connection, "INSERT INTO t VALUES (1)")
    assert caught.value.args[0] == code
    assert caught.value.args[1].startswith(start)
    runner.reply = StatementResult(affected_rows=1)
    assert (await _execute(connection, "DELETE FROM t")).rowcount == 1
    connection.close()


async def test_attributes(server, runner):
    """Guards against a session name or rank that has no effect."""
    connection = await _connect(server)
    await _execute(connection, "SET @rosemaryward_session = 'ana-1'")
    await _execute(connection, "/* rosemaryward rank=urgent */ SELECT * FROM t")
    session, _, given = runner.calls[-1]
    assert session.attributes.session == "ana-1"
    assert given == Attributes(rank=Rank.URGENT)
    await _execute(connection, "SET @rosemaryward_session = NULL")
    assert session.attributes.session == ""
    session.record_write("db", LogPosition(2, 9))
    token = await (await _execute(connection, "SELECT @rosemaryward_token")).fetchone()
    assert token == ("db=2.9",)
    connection.close()


@pytest.mark.parametrize(
    "sql",
    [
        pytest.param("SET @rosemaryward_rank = 'first'", id="set"),
        pytest.param("SET @rosemaryward_colour = 'red'", id="unknown-name"),
        pytest.param("/* rosemaryward rank=first */ SELECT * FROM t", id="comment"),
    ],
)
async def test_bad_attribute_is_refused(server, runner, sql):
    """Guards against running a statement with an invalid attribute."""
    connection = await _connect(server)
    with pytest.raises(MySQLError) as caught:
        await _execute(connection, sql)
    assert caught.value.args[0] == 1231
    assert runner.calls == []
    connection.close()


async def test_connection_limit(server, runner):
    """Guards against a tenant that uses up all connections of a proxy."""
    runner.refuses_connections = True
    with pytest.raises(MySQLError) as caught:
        await _connect(server)
    assert caught.value.args[0] == 1040


async def test_closed_connection_closes_the_session(server, runner):
    """Guards against an open transaction after its caller has disconnected."""
    connection = await _connect(server)
    await _execute(connection, "SELECT * FROM t")
    connection.close()
    with anyio.fail_after(5):
        await runner.closed.wait()
    assert runner.closed_sessions == [runner.calls[0][0]]


async def test_drain_completes_the_statement_in_progress(server, runner):
    """Guards against a graceful shutdown that interrupts a statement."""
    runner.release = anyio.Event()
    runner.reply = StatementResult(affected_rows=1)
    connection = await _connect(server)
    results = []

    async def write():
        results.append((await _execute(connection, "DELETE FROM t")).rowcount)

    async def drain():
        results.append(await server.drain(10.0))

    async with anyio.create_task_group() as group:
        group.start_soon(write)
        await runner.called.wait()
        group.start_soon(drain)
        await anyio.sleep(0.1)
        assert len(server.sessions) == 1
        runner.release.set()
    assert results == [1, 0]
    with pytest.raises(MySQLError):
        await _connect(server)


async def test_drain_refuses_the_next_statement_as_not_run(server, runner):
    """Guards against a connection closed without a reply to its statement."""
    connection = await _connect(server)
    async with anyio.create_task_group() as group:
        group.start_soon(server.drain, 10.0)
        await anyio.sleep(0.1)
        with pytest.raises(MySQLError) as caught:
            await _execute(connection, "DELETE FROM t")
    assert caught.value.args == (1053, "not run: server shutdown in progress")
    assert runner.calls == []
    assert not server.sessions


async def test_header_in_two_segments(runner):
    """Guards against failing on a packet header that TCP delivers in two segments."""
    reader = CommandReader()
    reader.feed_data(b"\x01\x00")
    async with anyio.create_task_group() as group:
        group.start_soon(anyio.sleep, 0)
        reader.feed_data(b"\x00\x00")
        assert await reader.read(4) == b"\x01\x00\x00\x00"
    reader.feed_data(b"\x01")
    reader.feed_eof()
    assert await reader.read(4) == b""


async def test_statement_size_is_bounded(server, runner, monkeypatch):
    """Guards against memory exhaustion by one statement."""
    monkeypatch.setattr("rosemaryward.callers.session.MAX_STATEMENT_CHARACTERS", 100)
    connection = await _connect(server)
    with pytest.raises(MySQLError, match="not run: statement"):
        await _execute(connection, "SELECT " + "1 + " * 50 + "1 FROM t")
    assert runner.calls == []
    connection.close()


class UnreadWriter:
    """Writer whose connection closes once the client has taken its answer."""

    def __init__(self):
        self.transport = self
        self.taken = anyio.Event()
        self.aborted = False

    def close(self):
        pass

    async def wait_closed(self):
        await self.taken.wait()

    def abort(self):
        self.aborted = True


@pytest.mark.parametrize("takes_answer", [True, False])
async def test_connection_counts_until_it_is_closed(runner, takes_answer):
    """Guards against descriptors of clients that quit without reading the answer."""
    limits = ClientLimits(
        connections=4, starting=4, ending=1, memory_bytes=0, answer_s=0.2
    )
    server = CallerServer("127.0.0.1", 0, runner, runner, limits=limits)

    async def serve_client(reader, writer):
        pass

    server._serve_client = serve_client
    writer = UnreadWriter()
    async with anyio.create_task_group() as tasks:
        tasks.start_soon(server._serve, CommandReader(), writer)
        await anyio.wait_all_tasks_blocked()
        assert len(server.clients.clients) == 1
        assert not writer.aborted
        if takes_answer:
            writer.taken.set()
    assert not server.clients.clients
    assert writer.aborted
