"""Connections of a caller to the proxies."""

import asyncio
from typing import Any

import asyncmy
import asyncmy.errors

from rosemaryward.bench.clients import CONNECT_ERRORS, connect
from rosemaryward.bench.history.operations import Outcome
from rosemaryward.bench.launch.state import RunningProxy, RunningUser

__all__ = ["CallFailure", "CallerConnection", "classify_error"]

NOT_RUN_CODE = 1205
OUTCOME_UNKNOWN_CODE = 1317
CLIENT_ERROR_CODES = range(2000, 3000)  # raised by the client library
CONNECT_TIMEOUT_S = 2.0


class CallFailure(Exception):  # noqa: N818
    """A statement ended without a successful reply.

    Parameters
    ----------
    outcome : Outcome
        What the caller knows about the statement.
    detail : str
        Error text.
    """

    def __init__(self, outcome: Outcome, detail: str) -> None:
        super().__init__(detail)
        self.outcome = outcome
        self.detail = detail


def classify_error(error: Exception) -> Outcome:
    """Return the outcome of a statement that failed with an error."""
    if not isinstance(error, asyncmy.errors.Error) or len(error.args) < 2:
        return Outcome.UNKNOWN
    code, message = error.args[0], str(error.args[1])
    if message.startswith("not run:"):
        return Outcome.NOT_RUN
    if code == OUTCOME_UNKNOWN_CODE or code in CLIENT_ERROR_CODES:
        return Outcome.UNKNOWN
    return Outcome.FAILED


class CallerConnection:
    """Connection of a named session to one proxy, opened on first use.

    Parameters
    ----------
    proxy : RunningProxy
    user : RunningUser
    session : str
        Name of the session, the same on every proxy.
    timeout_s : float
        Seconds to wait for an answer at most.
    """

    def __init__(
        self, proxy: RunningProxy, user: RunningUser, session: str, timeout_s: float
    ) -> None:
        self.proxy = proxy
        self.user = user
        self.session = session
        self.timeout_s = timeout_s
        self.connection: asyncmy.Connection | None = None
        self.database = ""

    async def use(self, database: str) -> None:
        """Connect if necessary and select a database.

        Raises
        ------
        CallFailure
            With the outcome not run, since no statement was sent.
        """
        try:
            async with asyncio.timeout(self.timeout_s):
                if self.connection is None:
                    await self.connect(database)
                elif self.database != database:
                    await self.connection.select_db(database)
                self.database = database
        except CONNECT_ERRORS as error:
            self.close()
            raise CallFailure(Outcome.NOT_RUN, f"no connection: {error}") from error

    async def connect(self, database: str) -> None:
        """Open the connection and set the name of the session."""
        self.connection = await connect(
            host=self.proxy.host,
            port=self.proxy.mysql_port,
            user=self.user.name,
            password=self.user.password,
            database=database,
            autocommit=True,
            connect_timeout=CONNECT_TIMEOUT_S,
        )
        async with self.connection.cursor() as cursor:
            await cursor.execute(f"SET @rosemaryward_session = '{self.session}'")

    async def execute(self, sql: str, *arguments: Any) -> list[tuple[Any, ...]]:
        """Run one statement and return its rows.

        Raises
        ------
        CallFailure
            With the outcome of the statement. The connection is closed unless the
            proxy answered.
        """
        if self.connection is None:
            raise CallFailure(Outcome.NOT_RUN, "the connection is closed")
        try:
            async with (
                asyncio.timeout(self.timeout_s),
                self.connection.cursor() as cursor,
            ):
                await cursor.execute(sql, arguments or None)
                return list(await cursor.fetchall()) if cursor.description else []
        except CONNECT_ERRORS as error:
            if not is_server_error(error):
                self.close()
            raise CallFailure(classify_error(error), str(error)) from error
        except BaseException:
            self.close()
            raise

    def close(self) -> None:
        """Close the connection; the next use opens a new one."""
        if self.connection is not None:
            self.connection.close()
        self.connection = None


def is_server_error(error: Exception) -> bool:
    """Return whether the server sent the error, so that the connection is usable."""
    if not isinstance(error, asyncmy.errors.Error) or not error.args:
        return False
    return error.args[0] not in CLIENT_ERROR_CODES
