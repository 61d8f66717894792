"""Session of one caller connection: passes MySQL commands to the entry service."""

import contextlib
from collections.abc import Iterator
from typing import Any, Protocol

from mysql_mimic.connection import Connection
from mysql_mimic.errors import ErrorCode, MysqlError
from mysql_mimic.prepared import PreparedStatement
from mysql_mimic.results import ResultSet
from mysql_mimic.session import Session
from sqlglot import exp

from rosemaryward.callers.errors import memory_error, shutdown_error, to_mysql_error
from rosemaryward.callers.parameters import (
    bind_parameters,
    find_placeholders,
    read_parameters,
)
from rosemaryward.callers.results import to_result_set
from rosemaryward.decisions.clients import ClientState
from rosemaryward.decisions.errors import OverloadError, RosemarywardError
from rosemaryward.decisions.messages import StatementResult
from rosemaryward.decisions.routing.attributes import (
    ATTRIBUTE_PREFIX,
    Attributes,
    parse_attributes,
    parse_comment,
    parse_set_statement,
)
from rosemaryward.decisions.routing.classification import (
    MAX_STATEMENT_CHARACTERS,
    Classifier,
    StatementKind,
)
from rosemaryward.decisions.routing.rules import UserAccount
from rosemaryward.decisions.routing.sessions import CallerSession

__all__ = ["CallerConnection", "MysqlSession", "StatementRunner"]

MAX_KEPT_BYTES = 64 * 1024 * 1024
"""Prepared statements and parameters of one connection: four of the longest packets."""
PREPARED_OVERHEAD_BYTES = 500
STATEMENT_ID_BYTES = 4
TOKEN_QUERY = f"select @{ATTRIBUTE_PREFIX}token"


class StatementRunner(Protocol):
    """Runs the statements of caller sessions; implemented by the entry service."""

    @property
    def classifier(self) -> Classifier:
        """Statement classifier with its cache."""

    async def run(
        self,
        session: CallerSession,
        sql: str,
        statement_attributes: Attributes | None = None,
    ) -> StatementResult:
        """Run one statement of a session.

        Parameters
        ----------
        session : CallerSession
        sql : str
        statement_attributes : Attributes, optional
            Attributes given with this statement only.
        """

    def check_connection(self, tenant: str) -> None:
        """Raise `OverloadError` if the tenant may open no more connections."""

    def open_session(self, session: CallerSession) -> None:
        """Count a new connection towards the tenant's limit."""

    async def close_session(self, session: CallerSession) -> None:
        """Roll back the open transaction and stop counting the connection."""

    async def reset(self, session: CallerSession) -> None:
        """Roll back the open transaction of a session."""


class AccountSource(Protocol):
    """Looks up accounts in the configuration in force."""

    def account(self, user: str) -> UserAccount | None:
        """Return the account of a user, or None if there is none."""


class MysqlSession(Session):
    """Session that handles connection-local statements and forwards all others.

    Parameters
    ----------
    runner : StatementRunner
    accounts : AccountSource

    Attributes
    ----------
    state : CallerSession or None
        None before authentication and after the connection has closed.
    affected_rows, last_insert_id : int
        Values for the OK packet of the current statement.
    is_draining : bool
        Whether statements outside a transaction are refused.
    is_refused : bool
        Whether a statement has been refused because of a drain.
    """

    def __init__(self, runner: StatementRunner, accounts: AccountSource) -> None:
        super().__init__()
        self.runner = runner
        self.accounts = accounts
        self.state: CallerSession | None = None
        self.affected_rows = 0
        self.last_insert_id = 0
        self.is_draining = False
        self.is_refused = False

    async def init(self, connection: Connection) -> None:
        """Look up the account after authentication and open the session."""
        await super().init(connection)
        account = self.accounts.account(self.username or "")
        if account is None:
            raise MysqlError("Access denied", ErrorCode.ACCESS_DENIED_ERROR)
        self.state = CallerSession(account, self.database or "")
        self.runner.open_session(self.state)

    async def use(self, database: str) -> None:
        """Change the default database."""
        await super().use(database)
        if self.state is not None:
            self.state.database = database

    async def reset(self) -> None:
        """Roll back the open transaction and clear the session's attributes."""
        await super().reset()
        if self.state is not None:
            await self.runner.reset(self.state)
            self.state = CallerSession(self.state.account, self.state.database)

    async def close(self) -> None:
        """Close the session after the caller has disconnected."""
        await super().close()
        state, self.state = self.state, None
        if state is not None:
            await self.runner.close_session(state)

    async def handle_query(self, sql: str, attrs: dict[str, str]) -> Any:
        """Handle one statement; see `mysql_mimic.session.BaseSession.handle_query`."""
        self.affected_rows = self.last_insert_id = 0
        if self.is_draining and self._state().transaction is None:
            self.is_refused = True
            raise shutdown_error()
        try:
            return await self._handle(sql, attrs)
        except MysqlError:
            raise
        except RosemarywardError as error:
            raise to_mysql_error(error) from error

    async def query(
        self, expression: exp.Expression, sql: str, attrs: dict[str, str]
    ) -> Any:
        """Forward a statement that the base class does not handle itself."""
        return await self._forward(sql, _statement_attributes(sql, attrs))

    async def _handle(self, sql: str, attrs: dict[str, str]) -> Any:
        state = self._state()
        if len(sql) > MAX_STATEMENT_CHARACTERS:
            raise MysqlError(
                f"not run: statement: expected at most {MAX_STATEMENT_CHARACTERS} "
                f"characters, got {len(sql)}",
                ErrorCode.MALFORMED_PACKET,
            )
        assignment = parse_set_statement(sql)
        if assignment is not None:
            _assign_attribute(state, assignment)
            return None
        statement = self.runner.classifier.classify(sql)
        if statement.kind is StatementKind.LOCAL:
            return await self._handle_local(state, sql, attrs)
        return await self._forward(sql, _statement_attributes(sql, attrs))

    async def _handle_local(
        self, state: CallerSession, sql: str, attrs: dict[str, str]
    ) -> Any:
        if sql.strip().rstrip(";").lower() == TOKEN_QUERY:
            return [(state.token,)], [f"@{ATTRIBUTE_PREFIX}token"]
        result = await super().handle_query(sql, attrs)
        autocommit = bool(self.variables.get("autocommit"))
        if autocommit and not state.autocommit:
            await self._forward("COMMIT", None)
        state.autocommit = autocommit
        return result

    async def _forward(
        self, sql: str, attributes: Attributes | None
    ) -> ResultSet | None:
        result = await self.runner.run(self._state(), sql, attributes)
        self.affected_rows = result.affected_rows
        self.last_insert_id = result.last_insert_id
        return to_result_set(result) if result.columns else None

    def _state(self) -> CallerSession:
        if self.state is None:
            raise MysqlError("Access denied", ErrorCode.ACCESS_DENIED_ERROR)
        return self.state


class CallerConnection(Connection):
    """MySQL connection that adapts the OK and error packets of the base class.

    OK packets contain affected rows and insert ids. A connection over the tenant's
    limit is refused before authentication completes, because the caller would see
    a later error as a lost connection.

    Attributes
    ----------
    refusal : OverloadError or None
        Why the connection was refused.
    """

    refusal: OverloadError | None = None
    prepared_bytes = 0
    long_data_bytes = 0

    async def handle_stmt_prepare(self, data: bytes) -> None:
        """Prepare a statement, unless those of the connection take too much memory."""
        size = len(data) + PREPARED_OVERHEAD_BYTES
        self._keep(self.prepared_bytes + size, self.long_data_bytes)
        await super().handle_stmt_prepare(data)

    async def handle_stmt_close(self, data: bytes) -> None:
        """Forget a prepared statement."""
        await super().handle_stmt_close(data)
        statements = self.prepared_stmts.values()
        self._keep(
            sum(len(x.sql) + PREPARED_OVERHEAD_BYTES for x in statements),
            self.long_data_bytes,
        )

    async def handle_stmt_send_long_data(self, data: bytes) -> None:
        """Add to a parameter; there is no reply that could refuse it."""
        try:
            self._keep(self.prepared_bytes, self.long_data_bytes + len(data))
        except MysqlError:
            self.stream.reader.client.abort()
            return
        await super().handle_stmt_send_long_data(data)

    def com_stmt_prepare_response(
        self, statement: PreparedStatement
    ) -> Iterator[bytes]:
        """Return the reply that tells the number of parameters."""
        statement.num_params = len(find_placeholders(statement.sql))
        return super().com_stmt_prepare_response(statement)

    async def handle_stmt_execute(self, data: bytes) -> None:
        """Run a prepared statement, which releases its parameters."""
        statement = self.get_stmt(int.from_bytes(data[:STATEMENT_ID_BYTES], "little"))
        with self._bound(statement, data):
            await super().handle_stmt_execute(data)
        if self.long_data_bytes:
            self._keep(self.prepared_bytes, self._count_long_data())

    @contextlib.contextmanager
    def _bound(self, statement: PreparedStatement, data: bytes) -> Iterator[None]:
        """Replace the parameters of a statement by literals while it is executed."""
        sql, count = statement.sql, statement.num_params
        values = read_parameters(
            data, statement, self.capabilities, self.client_charset
        )
        statement.sql, statement.num_params = bind_parameters(sql, values), 0
        try:
            yield
        finally:
            statement.sql, statement.num_params = sql, count

    def _count_long_data(self) -> int:
        buffers = (x.param_buffers or {} for x in self.prepared_stmts.values())
        return sum(len(part) for buffer in buffers for part in buffer.values())

    def _keep(self, prepared_bytes: int, long_data_bytes: int) -> None:
        """Count what stays between two commands; raises `MysqlError`."""
        total = prepared_bytes + long_data_bytes
        if total > MAX_KEPT_BYTES or not self.stream.reader.client.keep(total):
            raise memory_error()
        self.prepared_bytes = prepared_bytes
        self.long_data_bytes = long_data_bytes

    async def command_phase(self) -> None:
        """Serve commands; the connection has finished its login."""
        self.stream.reader.client.enter(ClientState.IDLE)
        await super().command_phase()

    async def authenticate(self, username: str, *args: Any, **kwargs: Any) -> None:
        """Check the tenant's connection limit, then the credentials."""
        account = self.session.accounts.account(username)
        if account is not None:
            try:
                self.session.runner.check_connection(account.tenant)
            except OverloadError as error:
                self.refusal = error
                raise MysqlError(error.reason, ErrorCode.CON_COUNT_ERROR) from error
        await super().authenticate(username, *args, **kwargs)

    def error(self, **kwargs: Any) -> bytes:
        """Return an error packet; the base class uses one code for all refusals."""
        reader = self.stream.reader
        if reader.is_refused:
            reader.is_refused = False
            refusal = memory_error()
            kwargs.update(msg=refusal.msg, code=refusal.code)
        if self.refusal is not None:
            kwargs.update(msg=self.refusal.reason, code=ErrorCode.CON_COUNT_ERROR)
        return super().error(**kwargs)

    def ok(self, **kwargs: Any) -> bytes:
        """Return an OK packet with affected rows and insert id."""
        session = self.session
        kwargs.setdefault("affected_rows", session.affected_rows)
        kwargs.setdefault("last_insert_id", session.last_insert_id)
        return super().ok(**kwargs)


def _assign_attribute(state: CallerSession, assignment: dict[str, str]) -> None:
    name, value = next(iter(assignment.items()))
    if not value and name in Attributes.__struct_fields__:
        state.attributes = state.attributes.without(name)
        return
    state.attributes = state.attributes.merged_with(parse_attributes(assignment))


def _statement_attributes(sql: str, attrs: dict[str, str]) -> Attributes | None:
    """Return the attributes in a statement's comment and query attributes."""
    attributes = parse_comment(sql) if sql.lstrip()[:2] == "/*" else None
    prefixed = {
        name.removeprefix(ATTRIBUTE_PREFIX): value
        for name, value in attrs.items()
        if name.startswith(ATTRIBUTE_PREFIX)
    }
    if prefixed:
        parsed = parse_attributes(prefixed)
        attributes = parsed if attributes is None else attributes.merged_with(parsed)
    return attributes
