"""Recorded request keys, which make retries of writes idempotent.

A key is recorded in the same database transaction as its write, so either both
take effect or neither does.
"""

from rosemaryward.decisions.errors import OutcomeUnknownError, StatementError
from rosemaryward.decisions.interfaces import StatementConnection
from rosemaryward.decisions.messages import StatementResult
from rosemaryward.decisions.routing.literals import quote_text

__all__ = ["ROLLBACK_ERROR_CODES", "execute_once", "insert_request_key"]

REQUEST_TABLE = "rosemaryward_requests"
CREATE_REQUEST_TABLE = (
    f"CREATE TABLE IF NOT EXISTS {REQUEST_TABLE} ("
    "request_key VARCHAR(128) CHARACTER SET utf8mb4 COLLATE utf8mb4_bin PRIMARY KEY, "
    "affected_rows BIGINT NOT NULL, last_insert_id BIGINT NOT NULL, "
    "created_at TIMESTAMP DEFAULT CURRENT_TIMESTAMP)"
)
NO_SUCH_TABLE_ERROR_CODE = 1146  # ER_NO_SUCH_TABLE
DUPLICATE_KEY_ERROR_CODE = 1062  # ER_DUP_ENTRY
ROLLBACK_ERROR_CODES = frozenset({1205, 1213, 3101})
"""Errors after which the transaction has been rolled back, even on ``COMMIT``: lock
wait timeout, deadlock or conflict, and rollback requested during the commit."""


async def execute_once(
    connection: StatementConnection, sql: str, request_key: str, timeout_s: float
) -> StatementResult:
    """Run a write unless one with the same request key has been committed.

    Parameters
    ----------
    connection : StatementConnection
    sql : str
    request_key : str
    timeout_s : float
        Timeout in seconds of each SQL statement.

    Returns
    -------
    StatementResult
        Answer of this run, or the recorded answer of the earlier run.
    """
    await connection.execute("BEGIN", timeout_s)
    try:
        recorded = await insert_request_key(connection, request_key, timeout_s)
        if recorded is not None:
            await connection.execute("ROLLBACK", timeout_s)
            return recorded
        done = await connection.execute(sql, timeout_s)
        await connection.execute(
            f"UPDATE {REQUEST_TABLE} SET affected_rows = {done.affected_rows}, "
            f"last_insert_id = {done.last_insert_id} "
            f"WHERE request_key = {quote_text(request_key)}",
            timeout_s,
        )
    except StatementError:
        await connection.execute("ROLLBACK", timeout_s)
        raise
    try:
        await connection.execute("COMMIT", timeout_s)
    except StatementError as error:
        if error.code in ROLLBACK_ERROR_CODES:
            raise
        raise OutcomeUnknownError(f"commit failed: {error}") from error
    return done


async def insert_request_key(
    connection: StatementConnection, request_key: str, timeout_s: float
) -> StatementResult | None:
    """Record a request key in the open transaction.

    Returns
    -------
    StatementResult or None
        The recorded answer if the key exists, None if it was inserted.
    """
    insert = (
        f"INSERT INTO {REQUEST_TABLE} (request_key, affected_rows, last_insert_id) "
        f"VALUES ({quote_text(request_key)}, 0, 0)"
    )
    try:
        await connection.execute(insert, timeout_s)
    except StatementError as error:
        if error.code == DUPLICATE_KEY_ERROR_CODE:
            return await _read_recorded_answer(connection, request_key, timeout_s)
        if error.code != NO_SUCH_TABLE_ERROR_CODE:
            raise
        # The table is created outside the transaction, because DDL commits it.
        await connection.execute("ROLLBACK", timeout_s)
        await connection.execute(CREATE_REQUEST_TABLE, timeout_s)
        await connection.execute("BEGIN", timeout_s)
        return await insert_request_key(connection, request_key, timeout_s)
    return None


async def _read_recorded_answer(
    connection: StatementConnection, request_key: str, timeout_s: float
) -> StatementResult:
    done = await connection.execute(
        f"SELECT affected_rows, last_insert_id FROM {REQUEST_TABLE} "
        f"WHERE request_key = {quote_text(request_key)}",
        timeout_s,
    )
    if not done.rows:
        raise OutcomeUnknownError(
            f"request key {request_key!r} is being recorded by another transaction"
        )
    affected_rows, insert_id = done.rows[0]
    return StatementResult(
        affected_rows=int(affected_rows or 0), last_insert_id=int(insert_id or 0)
    )
