"""Dispatch and execution of the statements of one connection."""

import re
from typing import Any

from mysql_mimic.connection import Connection
from mysql_mimic.results import ResultSet
from mysql_mimic.session import BaseSession
from mysql_mimic.types import ServerStatus
from mysql_mimic.variables import GlobalVariables, SessionVariables

from rosemaryward.bench.instance.control import GroupControl
from rosemaryward.bench.instance.database import Result
from rosemaryward.bench.instance.errors import PARSE_ERROR, mysql_error
from rosemaryward.bench.instance.group import Group
from rosemaryward.bench.instance.metadata import METADATA, MetadataSession
from rosemaryward.bench.instance.slots import Slots
from rosemaryward.bench.instance.transactions import Transaction

__all__ = ["InstanceSession", "InstanceConnection"]

FIRST_WORD = re.compile(r"(?:\s|/\*.*?\*/|--[^\n]*\n|#[^\n]*\n|\()*(\w+)\s*(\w*)", re.S)
AUTOCOMMIT = re.compile(r"\bAUTOCOMMIT\s*=\s*(\w+)", re.I)
LOCKING_READ = re.compile(r"\bFOR\s+UPDATE\s*;?\s*$", re.I)
LAST_INSERT_ID = re.compile(r"\bLAST_INSERT_ID\s*\(\s*\)", re.I)

READS = {"SELECT", "WITH", "VALUES", "TABLE"}
WRITES = {"INSERT", "UPDATE", "DELETE", "REPLACE", "SAVEPOINT", "RELEASE"}
DEFINITIONS = {"CREATE", "DROP", "ALTER", "TRUNCATE", "RENAME"}
METADATA_WORDS = {"SHOW", "DESC", "DESCRIBE", "KILL", "USE"}


class InstanceConnection(Connection):
    """Connection whose OK packets carry the row count and id of the last write."""

    def ok(self, **kwargs: Any) -> bytes:
        """Return an OK packet."""
        outcome = getattr(self.session, "outcome", None)
        if outcome is not None and not kwargs.get("eof"):
            kwargs.setdefault("affected_rows", outcome.affected_rows)
            kwargs.setdefault("last_insert_id", outcome.last_insert_id)
        return super().ok(**kwargs)


class InstanceSession(BaseSession):
    """Runs the statements of one connection.

    Parameters
    ----------
    group : Group
    control : GroupControl
    slots : Slots
    database_name : str
        Name that clients see as the default schema.
    """

    def __init__(
        self, group: Group, control: GroupControl, slots: Slots, database_name: str
    ) -> None:
        self.group = group
        self.control = control
        self.slots = slots
        self.username: str | None = None
        self.database_name = database_name
        self.database: str | None = database_name
        self.variables = SessionVariables(GlobalVariables())
        self.metadata = MetadataSession(self.group.database, self.variables)
        self.connection: Connection | None = None
        self.outcome: Result | None = None
        self.autocommit = True
        self.transaction: Transaction | None = None
        self.last_insert_id = 0

    async def init(self, connection: Connection) -> None:
        """Store the connection after authentication."""
        self.connection = connection
        self.database = self.database or self.database_name
        await self.metadata.init(connection)
        self.update_status_flags()

    async def close(self) -> None:
        """Roll back the open transaction."""
        self.transaction = None

    async def reset(self) -> None:
        """Roll back and restore the state of a new connection."""
        self.transaction = None
        self.autocommit = True
        self.update_status_flags()

    async def use(self, database: str) -> None:
        """Select a schema; any name is accepted because the instance has only one."""
        self.database = database

    async def handle_query(self, sql: str, attrs: dict[str, str]) -> Any:
        """Run one statement."""
        self.outcome = None
        match = FIRST_WORD.match(sql)
        if match is None:
            raise mysql_error(PARSE_ERROR, "empty statement")
        word, second = match[1].upper(), match[2].upper()
        if second == "GROUP" and word in ("SHOW", "ALTER"):
            result = await self.control.run(sql)
        else:
            result = await self.dispatch(word, second, sql.strip().rstrip(";"))
        self.update_status_flags()
        if isinstance(result, Result):
            self.outcome = result
            return ResultSet(result.rows, result.columns) if result.columns else None
        return result

    async def dispatch(self, word: str, second: str, sql: str) -> Any:
        """Run a statement that is not a group control statement."""
        if word in READS:
            if METADATA.search(sql):
                return await self.metadata.answer(sql, self.database)
            return await self.read(self.with_last_insert_id(sql))
        if word in WRITES or (word == "ROLLBACK" and second == "TO"):
            return await self.write(self.with_last_insert_id(sql))
        if word in DEFINITIONS:
            return await self.define(word, second, sql)
        if word in ("BEGIN", "START"):
            return await self.begin()
        if word in ("COMMIT", "ROLLBACK"):
            return await self.finish(word == "COMMIT")
        if word == "SET":
            return await self.set_variables(sql)
        if word in METADATA_WORDS:
            return await self.metadata.answer(sql, self.database)
        raise mysql_error(PARSE_ERROR, f"syntax error near {word!r}")

    def with_last_insert_id(self, sql: str) -> str:
        """Replace `LAST_INSERT_ID()` by the value of this connection."""
        if "(" not in sql:
            return sql
        return LAST_INSERT_ID.sub(str(self.last_insert_id), sql)

    async def read(self, sql: str) -> Result:
        """Run a query; a locking read starts a transaction without autocommit."""
        locking = bool(LOCKING_READ.search(sql))
        if locking and not self.autocommit:
            self.open_transaction()
        await self.slots.run_statement()
        if self.transaction is not None:
            return self.transaction.read(sql, locking)
        self.group.count_read()
        result, _ = self.group.database.read(sql, self.group.wall_time())
        return result

    async def write(self, sql: str) -> Result:
        """Run a write, and commit it unless a transaction is open."""
        self.group.require_primary()
        if not self.autocommit:
            self.open_transaction()
        await self.slots.run_statement()
        if self.transaction is not None:
            result = self.transaction.write(sql)
        else:
            result = self.group.write_now(sql)
        self.last_insert_id = result.last_insert_id or self.last_insert_id
        return result

    def open_transaction(self) -> None:
        """Start a transaction unless one is open."""
        self.transaction = self.transaction or Transaction(self.group)

    async def define(self, word: str, second: str, sql: str) -> Result:
        """Run a schema change, which commits the open transaction first."""
        if second in ("DATABASE", "SCHEMA"):
            return Result()
        await self.finish(True)
        was_autocommit, self.autocommit = self.autocommit, True
        try:
            return await self.write(sql)
        finally:
            self.autocommit = was_autocommit

    async def begin(self) -> Result:
        """Commit the open transaction and start an explicit one."""
        await self.finish(True)
        self.open_transaction()
        return Result()

    async def finish(self, commit: bool) -> Result:
        """Commit or roll back the open transaction."""
        transaction, self.transaction = self.transaction, None
        if commit and transaction is not None and transaction.executed:
            await self.slots.run_statement()
            transaction.commit()
        return Result()

    async def set_variables(self, sql: str) -> Any:
        """Run SET; user variables are accepted and ignored."""
        match = AUTOCOMMIT.search(sql)
        if match:
            self.autocommit = match[1].upper() in ("1", "ON", "TRUE")
            return await self.finish(True) if self.autocommit else Result()
        if "@" in sql.replace("@@", ""):
            return Result()
        return await self.metadata.answer(sql, self.database)

    def update_status_flags(self) -> None:
        """Set the connection's flags for autocommit and an open transaction."""
        flags = ServerStatus(0)
        if self.autocommit:
            flags |= ServerStatus.SERVER_STATUS_AUTOCOMMIT
        if self.transaction is not None:
            flags |= ServerStatus.SERVER_STATUS_IN_TRANS
        if self.connection is not None:
            self.connection.status_flags = flags
