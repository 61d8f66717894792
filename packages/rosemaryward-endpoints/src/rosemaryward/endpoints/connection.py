"""Statement connections to an instance, based on `asyncmy`."""

import anyio
import asyncmy
from asyncmy.errors import MySQLError

from rosemaryward.decisions.errors import (
    NotPrimaryError,
    NotRunError,
    OutcomeUnknownError,
    StatementError,
)
from rosemaryward.decisions.messages import Column, StatementResult

__all__ = ["Credentials", "MysqlConnection", "open_connection"]

READ_ONLY_CODE = 1290  # the instance does not accept writes
TOO_MANY_CONNECTIONS_CODE = 1040
CLIENT_ERROR_CODES = range(2000, 3000)  # set by the client library, not the instance
NOT_RUN_PREFIX = "not run:"


class Credentials:
    """Account that the proxy logs in to instances with.

    Parameters
    ----------
    user : str
    password : str
    """

    __slots__ = ("password", "user")

    def __init__(self, user: str, password: str) -> None:
        self.user = user
        self.password = password


async def open_connection(
    host: str,
    port: int,
    database: str,
    credentials: Credentials,
    timeout_s: float,
) -> "MysqlConnection":
    """Connect to an instance.

    Parameters
    ----------
    host : str
    port : int
    database : str
        Default database of the connection.
    credentials : Credentials
    timeout_s : float
        Longest time for connecting and logging in.

    Raises
    ------
    NotRunError
        If the instance cannot be reached or refuses the connection.
    """
    try:
        with anyio.fail_after(timeout_s):
            raw = await asyncmy.connect(
                host=host,
                port=port,
                user=credentials.user,
                password=credentials.password,
                database=database,
                autocommit=True,
                conv={},
                connect_timeout=timeout_s,
            )
    except (MySQLError, OSError, RuntimeError, TimeoutError) as error:
        # asyncmy raises RuntimeError if the instance closes the connection while it
        # is being opened.
        raise NotRunError(f"cannot connect to {host}:{port}: {error}") from error
    return MysqlConnection(raw)


class MysqlConnection:
    """Runs one statement at a time; implements `StatementConnection`.

    Values stay in the encoding of the MySQL text protocol, because the entry proxy
    forwards them unchanged.

    Parameters
    ----------
    raw : asyncmy.Connection

    Attributes
    ----------
    broken : bool
        Whether the connection is closed and must not be reused.
    """

    __slots__ = ("broken", "raw")

    def __init__(self, raw: asyncmy.Connection) -> None:
        self.raw = raw
        self.broken = False

    async def execute(self, sql: str, timeout_s: float) -> StatementResult:
        """Run one statement; see `StatementConnection.execute`."""
        try:
            with anyio.fail_after(timeout_s):
                cursor = self.raw.cursor()
                await cursor.execute(sql)
                rows = await cursor.fetchall() if cursor.description else ()
        except MySQLError as error:
            raise self._translate(error) from error
        except TimeoutError as error:
            self._close_broken()
            raise OutcomeUnknownError(f"no reply within {timeout_s:.3f} s") from error
        except (OSError, RuntimeError) as error:
            # The event loop raises RuntimeError for a closed transport.
            self._close_broken()
            raise OutcomeUnknownError(f"connection broke: {error}") from error
        except BaseException:
            # A cancelled statement leaves an unread reply on the connection.
            self._close_broken()
            raise
        return _to_statement_result(cursor, rows)

    async def reset(self) -> None:
        """Roll back an open transaction.

        Raises
        ------
        OutcomeUnknownError
            If the connection broke.
        """
        await self.execute("ROLLBACK", timeout_s=1.0)

    async def aclose(self) -> None:
        """Close the connection without waiting for the instance."""
        self._close_broken()

    def _close_broken(self) -> None:
        self.broken = True
        self.raw.close()

    def _translate(self, error: MySQLError) -> Exception:
        """Return the error for an exception of the client library."""
        code, message = _code_and_message(error)
        if code in CLIENT_ERROR_CODES or code == 0:
            self._close_broken()
            return OutcomeUnknownError(f"connection broke: {message}")
        if code == READ_ONLY_CODE and message.startswith(NOT_RUN_PREFIX):
            return NotPrimaryError(message.removeprefix(NOT_RUN_PREFIX).strip())
        if code == TOO_MANY_CONNECTIONS_CODE:
            return NotRunError(message)
        return StatementError(code, message)


def _to_statement_result(
    cursor: asyncmy.cursors.Cursor, rows: tuple
) -> StatementResult:
    if not cursor.description:
        return StatementResult(
            affected_rows=max(cursor.rowcount, 0), last_insert_id=cursor.lastrowid or 0
        )
    columns = tuple(Column(field[0], field[1]) for field in cursor.description)
    return StatementResult(columns=columns, rows=[list(row) for row in rows])


def _code_and_message(error: MySQLError) -> tuple[int, str]:
    """Return the code and message of an error, with code 0 if it has none."""
    if len(error.args) >= 2 and isinstance(error.args[0], int):
        return error.args[0], str(error.args[1])
    return 0, str(error)
