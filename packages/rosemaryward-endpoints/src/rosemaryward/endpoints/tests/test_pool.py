import anyio
import pytest

from rosemaryward.decisions.errors import NotRunError, OutcomeUnknownError
from rosemaryward.endpoints.pool import ConnectionPool

pytestmark = pytest.mark.looptime


class FakeConnection:
    def __init__(self):
        self.broken = False
        self.resets = 0
        self.fails_reset = False

    async def reset(self):
        self.resets += 1
        if self.fails_reset:
            raise OutcomeUnknownError("lost")

    async def aclose(self):
        self.broken = True


class FakeInstance:
    """Opens fake connections and refuses those beyond the limit."""

    def __init__(self, limit=10):
        self.limit = limit
        self.opened = []

    async def connect(self):
        await anyio.sleep(0.01)
        if sum(not c.broken for c in self.opened) >= self.limit:
            raise NotRunError("too many connections")
        self.opened.append(FakeConnection())
        return self.opened[-1]


async def test_open_connections_stay_within_the_maximum():
    """Guards against connections beyond the maximum under load."""
    instance = FakeInstance(limit=3)
    most_open = 0
    async with ConnectionPool(instance.connect, max_open=3, min_open=0) as pool:

        async def use():
            nonlocal most_open
            async with pool.connection(5.0):
                most_open = max(most_open, sum(not c.broken for c in instance.opened))
                await anyio.sleep(0.05)

        async with anyio.create_task_group() as group:
            for _ in range(20):
                group.start_soon(use)
    assert most_open == 3
    assert all(c.broken for c in instance.opened)


async def test_minimum_of_connections_is_opened_in_advance():
    """Guards against statements that wait for a connection to be opened."""
    instance = FakeInstance()
    async with ConnectionPool(instance.connect, max_open=10, min_open=4) as pool:
        await anyio.sleep(1.0)
        assert len(pool.idle) == 4


async def test_no_free_connection_is_not_run():
    """Guards against an unbounded wait for a connection."""
    async with (
        ConnectionPool(FakeInstance().connect, max_open=1, min_open=0) as pool,
        pool.connection(1.0),
    ):
        with pytest.raises(NotRunError, match="1 of 1"):
            await pool.take(0.5)


@pytest.mark.parametrize(
    ("used_by_transaction", "fails_reset", "reusable"),
    [
        pytest.param(False, False, True, id="statement"),
        pytest.param(True, False, True, id="transaction-is-reset"),
        pytest.param(True, True, False, id="failed-reset-closes"),
    ],
)
async def test_reuse(used_by_transaction, fails_reset, reusable):
    """Guards against an open transaction that another caller's statement runs in."""
    async with ConnectionPool(FakeInstance().connect, max_open=2, min_open=0) as pool:
        connection = await pool.take(1.0)
        connection.fails_reset = fails_reset
        await pool.give_back(connection, used_by_transaction)
        assert connection.resets == used_by_transaction
        assert (connection in pool.idle) == reusable
        assert pool.open_count == reusable


async def test_cancelled_connect_is_not_counted():
    """Guards against cancelled connects that count as open connections."""
    async with ConnectionPool(FakeInstance().connect, max_open=1, min_open=0) as pool:
        with anyio.move_on_after(0.001):
            await pool.take(1.0)
        async with pool.connection(1.0):
            assert pool.open_count == 1
