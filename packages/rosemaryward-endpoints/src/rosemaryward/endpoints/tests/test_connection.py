import anyio
import pytest
from asyncmy.errors import OperationalError

from rosemaryward.decisions.errors import (
    EndpointError,
    NotRunError,
    OutcomeUnknownError,
)
from rosemaryward.endpoints.connection import (
    Credentials,
    MysqlConnection,
    open_connection,
)
from rosemaryward.endpoints.control import MysqlInstanceControl

CREDENTIALS = Credentials("proxy", "")


async def _close_at_once(stream):
    await stream.aclose()


async def _send_garbage(stream):
    await stream.send(b"\xff" * 200)
    await stream.aclose()


async def _stay_silent(stream):
    await anyio.sleep_forever()


@pytest.mark.parametrize("behave", [_close_at_once, _send_garbage, _stay_silent])
async def test_faulty_instance_raises_an_error_of_the_hierarchy(behave):
    """Guards against a library exception that terminates the proxy."""
    async with (
        await anyio.create_tcp_listener(local_host="127.0.0.1") as listener,
        anyio.create_task_group() as group,
    ):
        port = listener.extra(anyio.abc.SocketAttribute.local_port)
        group.start_soon(listener.serve, behave)
        for _ in range(5):
            with pytest.raises(NotRunError):
                await open_connection("127.0.0.1", port, "db", CREDENTIALS, 0.2)
        control = MysqlInstanceControl("127.0.0.1", port, CREDENTIALS)
        with pytest.raises(EndpointError):
            await control.status(timeout_s=0.2)
        group.cancel_scope.cancel()


@pytest.mark.parametrize(
    "error",
    [
        pytest.param(
            RuntimeError("unable to perform operation"), id="closed-transport"
        ),
        pytest.param(ConnectionResetError(), id="reset"),
        pytest.param(OperationalError(2013, "lost"), id="lost"),
    ],
)
async def test_lost_connection_is_an_unknown_outcome(error):
    """Guards against a closed transport that terminates the task using it."""

    class Raw:
        closed = False

        def cursor(self):
            raise error

        def close(self):
            self.closed = True

    connection = MysqlConnection(Raw())
    with pytest.raises(OutcomeUnknownError):
        await connection.execute("SELECT 1", 1.0)
    assert connection.broken
    assert connection.raw.closed
