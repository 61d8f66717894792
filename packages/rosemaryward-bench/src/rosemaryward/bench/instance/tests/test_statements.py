import asyncmy.errors
import pytest

from rosemaryward.bench.instance.tests.support import (
    client,
    group,
    run,
    wait_until_applied,
)
from rosemaryward.decisions.routing.request_keys import CREATE_REQUEST_TABLE

BOOKINGS_TABLE_SQL = """CREATE TABLE IF NOT EXISTS `bookings` (
  `id` BIGINT UNSIGNED NOT NULL AUTO_INCREMENT,
  `depot` VARCHAR(40) COLLATE utf8mb4_bin NOT NULL DEFAULT 'x' COMMENT 'place',
  `weight` DECIMAL(10,2), `made` DATETIME DEFAULT CURRENT_TIMESTAMP,
  PRIMARY KEY (`id`), KEY `k` (`depot`), UNIQUE KEY `u` (`depot`, `weight`)
) ENGINE=InnoDB AUTO_INCREMENT=1 DEFAULT CHARSET=utf8mb4"""


async def test_statements_of_ordinary_clients():
    """Guards against statements that change their meaning in translation to SQLite."""
    async with group(1) as (primary,), client(primary.port) as connection:
        await run(connection, BOOKINGS_TABLE_SQL)
        text = 'it\'s \\ "x"\nđất'
        insert = "INSERT INTO bookings (depot, weight) VALUES (%s, %s)"
        cursor = await run(connection, insert, text, "1.50")
        assert (cursor.rowcount, cursor.lastrowid) == (1, 1)
        cursor = await run(connection, insert + ", ('b', 2)", "c", 3)
        assert (cursor.rowcount, cursor.lastrowid) == (2, 2)
        rows = await run(
            connection, "SELECT id, depot, weight FROM bookings ORDER BY id"
        )
        assert [(row[0], row[1], float(row[2])) for row in rows] == [
            (1, text, 1.5),
            (2, "c", 3.0),
            (3, "b", 2.0),
        ]
        assert await run(connection, "SELECT LAST_INSERT_ID()") == [(2,)]
        (made,) = (await run(connection, "SELECT made FROM bookings LIMIT 1"))[0]
        assert made.year > 2000
        upsert = "INSERT INTO bookings (id, depot) VALUES (3, 'd')"
        upsert += " ON DUPLICATE KEY UPDATE depot = VALUES(depot)"
        await run(connection, upsert)
        assert await run(connection, "SELECT depot FROM bookings WHERE id=3") == [
            ("d",)
        ]
        assert await run(connection, "SELECT CONCAT('a', 7 DIV 2), 7/2") == [
            ("a3", 3.5)
        ]


async def test_request_keys_that_differ_in_case_are_two_keys():
    """Guards against a write that is not run because of another caller's key."""
    async with group(1) as (primary,), client(primary.port) as connection:
        await run(connection, CREATE_REQUEST_TABLE)
        for key in ("booking-a", "Booking-A"):
            await run(
                connection,
                "INSERT INTO rosemaryward_requests (request_key, affected_rows, "
                f"last_insert_id) VALUES ('{key}', 0, 0)",
            )
        (count,) = await run(connection, "SELECT COUNT(*) FROM rosemaryward_requests")
    assert count == (2,)


@pytest.mark.parametrize(
    ("sql", "code"),
    [
        ("INSERT INTO t VALUES (1, 2)", 1062),
        ("INSERT INTO t VALUES (2, NULL)", 1048),
        ("INSERT INTO missing VALUES (1)", 1146),
        ("SELECT * FROM missing", 1146),
        ("SELECT missing FROM t", 1054),
        ("SELECT FROM WHERE", 1064),
        ("NONSENSE", 1064),
    ],
)
async def test_error_codes(sql, code):
    """Guards against wrong MySQL error numbers, by which clients tell errors apart."""
    async with group(1) as (primary,), client(primary.port) as connection:
        await run(
            connection,
            "CREATE TABLE t (a INT PRIMARY KEY, b INT NOT NULL)",
        )
        await run(connection, "INSERT INTO t VALUES (1, 1)")
        with pytest.raises(asyncmy.errors.Error) as caught:
            await run(connection, sql)
        assert caught.value.args[0] == code


async def test_transactions_are_isolated_and_atomic():
    """Guards against reads of uncommitted rows and against partial commits."""
    async with group(1) as (primary,), client(primary.port) as a:
        await run(a, "CREATE TABLE t (a INT PRIMARY KEY)")
        async with client(primary.port, autocommit=False) as b:
            await run(b, "INSERT INTO t VALUES (1)")
            assert await run(b, "SELECT * FROM t") == [(1,)]
            assert await run(a, "SELECT * FROM t") == []
            await b.rollback()
            await run(b, "INSERT INTO t VALUES (2)")
            with pytest.raises(asyncmy.errors.IntegrityError):
                await run(b, "INSERT INTO t VALUES (2)")
            await b.commit()
            assert await run(a, "SELECT * FROM t") == [(2,)]
            await run(b, "INSERT INTO t VALUES (3)")
        await run(a, "INSERT INTO t VALUES (4)")
        assert await run(a, "SELECT a FROM t ORDER BY a") == [(2,), (4,)]


async def test_connection_limit():
    """Guards against accepting more connections than the limit."""
    async with group(1, connections=1) as (primary,), client(primary.port) as first:
        with pytest.raises(asyncmy.errors.OperationalError) as caught:
            async with client(primary.port):
                pass
        assert caught.value.args[0] == 1040
        assert await run(first, "SELECT 1") == [(1,)]


async def test_metadata():
    """Guards against rejecting the metadata statements that clients send on connect."""
    async with group(1) as (primary,), client(primary.port) as connection:
        await run(connection, "CREATE TABLE t (a INT PRIMARY KEY)")
        assert await run(connection, "SHOW TABLES") == [("t",)]
        assert await run(connection, "SELECT @@version_comment LIMIT 1")
        assert await run(connection, "SELECT DATABASE()") == [("main",)]
        await run(connection, "SET NAMES utf8mb4")
        await run(connection, "SET @x = 'y'")


async def test_open_transactions_do_not_block_one_another():
    """Guards against open transactions that share generated ids or see others' rows."""
    async with (
        group(2) as (primary, replica),
        client(primary.port, autocommit=False) as a,
        client(primary.port, autocommit=False) as b,
    ):
        await run(a, "CREATE TABLE t (id INT AUTO_INCREMENT PRIMARY KEY, v INT)")
        first = await run(a, "INSERT INTO t (v) VALUES (1)")
        second = await run(b, "INSERT INTO t (v) VALUES (2), (3)")
        assert (first.lastrowid, second.lastrowid) == (1, 2)
        assert await run(b, "SELECT id FROM t ORDER BY id") == [(2,), (3,)]
        await b.commit()
        await a.commit()
        rows = await run(a, "SELECT id, v FROM t ORDER BY id")
        assert rows == [(1, 1), (2, 2), (3, 3)]
        third = await run(a, "INSERT INTO t (v) VALUES (4)")
        await a.commit()
        assert third.lastrowid > 3
        await wait_until_applied(replica, primary)
        async with client(replica.port) as reader:
            copied = await run(reader, "SELECT id, v FROM t ORDER BY id")
        assert copied == [*rows, (third.lastrowid, 4)]


@pytest.mark.parametrize(
    "statement",
    [
        "INSERT INTO t VALUES (2, 0)",
        "DELETE FROM t WHERE a = 1",
        "SELECT b FROM t WHERE a = 1 FOR UPDATE",
    ],
)
async def test_conflicting_transaction_fails_at_commit(statement):
    """Guards against a commit after another commit has changed its results."""
    async with (
        group(1) as (primary,),
        client(primary.port) as a,
        client(primary.port) as b,
    ):
        await run(a, "CREATE TABLE t (a INT PRIMARY KEY, b INT)")
        await run(a, "INSERT INTO t VALUES (1, 0)")
        await run(a, "BEGIN")
        await run(a, statement)
        await run(a, "UPDATE t SET b = b + 10")
        await run(b, "REPLACE INTO t VALUES (2, 5)")
        await run(b, "UPDATE t SET a = 7, b = 1 WHERE a = 1")
        with pytest.raises(asyncmy.errors.Error) as caught:
            await run(a, "COMMIT")
        assert caught.value.args[0] == 1213
        assert await run(a, "SELECT a, b FROM t ORDER BY a") == [(2, 5), (7, 1)]
