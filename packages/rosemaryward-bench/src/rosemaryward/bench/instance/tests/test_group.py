import asyncmy.errors
import pytest

from rosemaryward.bench.instance.tests.support import (
    client,
    group,
    run,
    wait_until_applied,
)

RAISE_TERM_SQL = "ALTER GROUP RAISE TERM {} TO {} BY '{}'"


async def test_replicas_receive_and_apply():
    """Guards against replicas that miss entries or apply them out of order."""
    async with group() as (primary, *replicas), client(primary.port) as connection:
        await run(connection, "CREATE TABLE t (a INT PRIMARY KEY, b TEXT)")
        await run(connection, "INSERT INTO t VALUES (1, UUID()), (2, NOW())")
        expected = await run(connection, "SELECT * FROM t ORDER BY a")
        for replica in replicas:
            await wait_until_applied(replica, primary)
            async with client(replica.port) as reader:
                assert await run(reader, "SELECT * FROM t ORDER BY a") == expected
                with pytest.raises(asyncmy.errors.Error, match="not run:") as caught:
                    await run(reader, "INSERT INTO t VALUES (3, 'x')")
                assert caught.value.args[0] == 1290


async def test_lag_separates_received_from_applied():
    """Guards against replica reads that see entries before the apply lag has passed."""
    async with group(2, lag_s=60) as (primary, replica), client(primary.port) as a:
        await run(a, "CREATE TABLE t (a INT)")
        async with client(replica.port) as b:
            (row,) = await run(b, "SHOW GROUP STATUS WAIT 1 2 5000")
            assert row == (1, "replica", 1, 2, 0, 0, 0)
            await run(b, "ALTER GROUP SET LAG 0")
            await run(b, "ALTER GROUP SET LEAVING 1")
            await wait_until_applied(replica, primary)
            (row,) = await run(b, "SHOW GROUP STATUS")
            assert row == (1, "replica", 1, 2, 1, 2, 1)


async def test_raise_term_is_a_compare_and_set():
    """Guards against a term that is granted to two proposers."""
    async with group(1) as (primary,), client(primary.port) as connection:
        for expected, new, proposer, accepted in (
            (0, 5, "a", 0),
            (1, 3, "a", 1),
            (1, 3, "a", 1),
            (1, 3, "b", 0),
            (3, 3, "b", 0),
            (3, 4, "b", 1),
        ):
            sql = RAISE_TERM_SQL.format(expected, new, proposer)
            assert await run(connection, sql) == [(accepted,)]
        assert await run(connection, "ALTER GROUP OPEN 3") == [(0,)]
        assert await run(connection, "ALTER GROUP OPEN 4") == [(1,)]
        (row,) = await run(connection, "SHOW GROUP STATUS")
        assert row[:4] == (4, "primary", 4, 2)


async def test_fence_rolls_back_open_transactions():
    """Guards against commits that a fenced primary acknowledges."""
    async with group(1) as (primary,), client(primary.port) as connection:
        await run(connection, "CREATE TABLE t (a INT)")
        await run(connection, "BEGIN")
        await run(connection, "INSERT INTO t VALUES (1)")
        async with client(primary.port) as control:
            await run(control, RAISE_TERM_SQL.format(1, 2, "a"))
            for sql in ("COMMIT", "INSERT INTO t VALUES (2)"):
                with pytest.raises(asyncmy.errors.Error, match="not run:"):
                    await run(connection, sql)
            await run(control, "ALTER GROUP OPEN 2")
            assert await run(connection, "SELECT * FROM t") == []
            await run(connection, "INSERT INTO t VALUES (3)")


async def test_returned_primary_discards_its_own_entries():
    """Guards against a former primary that keeps entries the new primary lacks."""
    async with group(2, lag_s=0) as (old, new), client(old.port) as a:
        await run(a, "CREATE TABLE t (a INT)")
        await wait_until_applied(new, old)
        async with client(new.port) as b:
            await run(b, RAISE_TERM_SQL.format(1, 2, "p"))
            await run(a, "INSERT INTO t VALUES (1)")
            await run(a, "INSERT INTO t VALUES (2)")
            await run(b, "ALTER GROUP OPEN 2")
            await run(b, "INSERT INTO t VALUES (7)")
            follow = f"ALTER GROUP FOLLOW 2 '127.0.0.1' {new.port}"
            assert await run(a, follow) == [(1,)]
            await wait_until_applied(old, new)
            assert await run(a, "SELECT * FROM t") == [(7,)]
            assert old.group.log.last == new.group.log.last
            low = f"ALTER GROUP FOLLOW 1 '127.0.0.1' {new.port}"
            assert await run(a, low) == [(0,)]
