"""One caller connection: MySQL commands on one side, the entry path on the other."""

from typing import Any, Protocol

from mysql_mimic.connection import Connection
from mysql_mimic.errors import ErrorCode, MysqlError
from mysql_mimic.results import ResultSet
from mysql_mimic.session import Session
from sqlglot import exp

from rosemaryward.callers.errors import shutdown_error, to_mysql_error
from rosemaryward.callers.results import to_result_set
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

TOKEN_QUERY = f"select @{ATTRIBUTE_PREFIX}token"


class StatementRunner(Protocol):
    """The entry path as the callers' side uses it."""

    @property
    def classifier(self) -> Classifier:
        """Classifier with its cache."""

    async def run(
        self,
        session: CallerSession,
        sql: str,
        statement_attributes: Attributes | None = None,
    ) -> StatementResult:
        """Run one statement."""

    def check_connection(self, tenant: str) -> None:
        """Raise `OverloadError` if the tenant may open no more connections."""

    def open_session(self, session: CallerSession) -> None:
        """Count a connection."""

    async def close_session(self, session: CallerSession) -> None:
        """Roll back what a closed connection has left open, and uncount it."""

    async def reset(self, session: CallerSession) -> None:
        """Roll back the open transaction."""


class AccountSource(Protocol):
    """Looks users up in the configuration in force."""

    def account(self, user: str) -> UserAccount | None:
        """Return the account of a user."""


class MysqlSession(Session):
    """Session that answers what concerns the connection and forwards the rest.

    Parameters
    ----------
    runner : StatementRunner
    accounts : AccountSource
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
        """Look up the account after authentication."""
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
        """Roll back and forget the session's attributes."""
        await super().reset()
        if self.state is not None:
            await self.runner.reset(self.state)
            self.state = CallerSession(self.state.account, self.state.database)

    async def close(self) -> None:
        """Roll back when the caller has gone."""
        await super().close()
        state, self.state = self.state, None
        if state is not None:
            await self.runner.close_session(state)

    async def handle_query(self, sql: str, attrs: dict[str, str]) -> Any:
        """Run one statement; see `mysql_mimic.session.BaseSession.handle_query`."""
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
        """Forward a statement that the base class does not answer itself."""
        return await self._forward(sql, _given_attributes(sql, attrs))

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
            _assign(state, assignment)
            return None
        statement = self.runner.classifier.classify(sql)
        if statement.kind is StatementKind.LOCAL:
            return await self._handle_local(state, sql, attrs)
        return await self._forward(sql, _given_attributes(sql, attrs))

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

    async def _forward(self, sql: str, given: Attributes | None) -> ResultSet | None:
        done = await self.runner.run(self._state(), sql, given)
        self.affected_rows = done.affected_rows
        self.last_insert_id = done.last_insert_id
        return to_result_set(done) if done.columns else None

    def _state(self) -> CallerSession:
        if self.state is None:
            raise MysqlError("Access denied", ErrorCode.ACCESS_DENIED_ERROR)
        return self.state


class CallerConnection(Connection):
    """Connection with the proxy's answers in OK and error packets.

    OK packets carry affected rows and insert ids. A connection over the tenant's
    limit is refused before the authentication ends, because an error after it
    would reach the caller as a lost connection.
    """

    refusal: OverloadError | None = None

    async def authenticate(self, username: str, *args: Any, **kwargs: Any) -> None:
        """Check the connection limit, then the credentials."""
        account = self.session.accounts.account(username)
        if account is not None:
            try:
                self.session.runner.check_connection(account.tenant)
            except OverloadError as error:
                self.refusal = error
                raise MysqlError(error.reason, ErrorCode.CON_COUNT_ERROR) from error
        await super().authenticate(username, *args, **kwargs)

    def error(self, **kwargs: Any) -> bytes:
        """Return an error packet; the base class has one code for all refusals."""
        if self.refusal is not None:
            kwargs.update(msg=self.refusal.reason, code=ErrorCode.CON_COUNT_ERROR)
        return super().error(**kwargs)

    def ok(self, **kwargs: Any) -> bytes:
        """Return an OK packet."""
        session = self.session
        kwargs.setdefault("affected_rows", session.affected_rows)
        kwargs.setdefault("last_insert_id", session.last_insert_id)
        return super().ok(**kwargs)


def _assign(state: CallerSession, assignment: dict[str, str]) -> None:
    name, value = next(iter(assignment.items()))
    if not value and name in Attributes.__struct_fields__:
        state.attributes = state.attributes.without(name)
        return
    state.attributes = state.attributes.merged_with(parse_attributes(assignment))


def _given_attributes(sql: str, attrs: dict[str, str]) -> Attributes | None:
    """Return the attributes given with one statement."""
    given = parse_comment(sql) if sql.lstrip()[:2] == "/*" else None
    ours = {
        name.removeprefix(ATTRIBUTE_PREFIX): value
        for name, value in attrs.items()
        if name.startswith(ATTRIBUTE_PREFIX)
    }
    if ours:
        parsed = parse_attributes(ours)
        given = parsed if given is None else given.merged_with(parsed)
    return given
