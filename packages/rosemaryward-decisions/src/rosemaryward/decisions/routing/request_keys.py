"""Records of request keys, which make repeats of writes idempotent.

The record is written in the same database transaction as the write it belongs
to, so both take effect or neither does.
"""

from rosemaryward.decisions.errors import OutcomeUnknownError, StatementError
from rosemaryward.decisions.interfaces import StatementConnection
from rosemaryward.decisions.messages import Done

__all__ = ["ROLLBACK_ERRORS", "execute_once", "insert_request_key"]

TABLE = "rosemaryward_requests"
CREATE_TABLE = (
    f"CREATE TABLE IF NOT EXISTS {TABLE} (request_key VARCHAR(128) PRIMARY KEY, "
    "affected_rows BIGINT NOT NULL, last_insert_id BIGINT NOT NULL, "
    "created_at TIMESTAMP DEFAULT CURRENT_TIMESTAMP)"
)
NO_SUCH_TABLE_ERROR = 1146
DUPLICATE_KEY_ERROR = 1062
ROLLBACK_ERRORS = frozenset({1205, 1213, 3101})
"""Errors after which a transaction has been rolled back, also at its commit: lock
wait timeout, deadlock or conflict, and rollback requested during the commit."""


async def execute_once(
    connection: StatementConnection, sql: str, request_key: str, timeout_s: float
) -> Done:
    """Run a write unless an earlier one with the same key has been committed.

    Parameters
    ----------
    connection : StatementConnection
    sql : str
    request_key : str
    timeout_s : float
        Longest time for each step in seconds.

    Returns
    -------
    Done
        The answer of this run, or the recorded one of the earlier run.
    """
    await connection.execute("BEGIN", timeout_s)
    try:
        recorded = await insert_request_key(connection, request_key, timeout_s)
        if recorded is not None:
            await connection.execute("ROLLBACK", timeout_s)
            return recorded
        done = await connection.execute(sql, timeout_s)
        await connection.execute(
            f"UPDATE {TABLE} SET affected_rows = {done.affected_rows}, "
            f"last_insert_id = {done.last_insert_id} "
            f"WHERE request_key = {_quote(request_key)}",
            timeout_s,
        )
    except StatementError:
        await connection.execute("ROLLBACK", timeout_s)
        raise
    try:
        await connection.execute("COMMIT", timeout_s)
    except StatementError as error:
        if error.code in ROLLBACK_ERRORS:
            raise
        raise OutcomeUnknownError(f"commit failed: {error}") from error
    return done


async def insert_request_key(
    connection: StatementConnection, request_key: str, timeout_s: float
) -> Done | None:
    """Record a key in the open transaction.

    Returns
    -------
    Done or None
        The recorded answer if the key exists already.
    """
    insert = (
        f"INSERT INTO {TABLE} (request_key, affected_rows, last_insert_id) "
        f"VALUES ({_quote(request_key)}, 0, 0)"
    )
    try:
        await connection.execute(insert, timeout_s)
    except StatementError as error:
        if error.code == DUPLICATE_KEY_ERROR:
            return await _recorded(connection, request_key, timeout_s)
        if error.code != NO_SUCH_TABLE_ERROR:
            raise
        # The table is created outside the transaction, since DDL commits it.
        await connection.execute("ROLLBACK", timeout_s)
        await connection.execute(CREATE_TABLE, timeout_s)
        await connection.execute("BEGIN", timeout_s)
        return await insert_request_key(connection, request_key, timeout_s)
    return None


async def _recorded(
    connection: StatementConnection, request_key: str, timeout_s: float
) -> Done:
    done = await connection.execute(
        f"SELECT affected_rows, last_insert_id FROM {TABLE} "
        f"WHERE request_key = {_quote(request_key)}",
        timeout_s,
    )
    if not done.rows:
        raise OutcomeUnknownError(f"request key {request_key!r} is being written")
    affected, inserted = done.rows[0]
    return Done(affected_rows=int(affected or 0), last_insert_id=int(inserted or 0))


def _quote(text: str) -> str:
    escaped = text.replace("\\", "\\\\").replace("'", "''")
    return f"'{escaped}'"
