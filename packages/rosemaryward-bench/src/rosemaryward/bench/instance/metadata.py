"""Results of SHOW, DESCRIBE, SET and queries of server metadata."""

import re

from mysql_mimic.results import AllowedResult
from mysql_mimic.session import Session
from mysql_mimic.variables import Variables

from rosemaryward.bench.instance.database import Database

__all__ = ["METADATA", "MetadataSession"]

METADATA = re.compile(
    r"@@|\binformation_schema\b"
    r"|\b(CONNECTION_ID|DATABASE|SCHEMA|USER|CURRENT_USER|VERSION)\s*\(",
    re.I,
)


class MetadataSession(Session):
    """Session of mysql-mimic that reads the instance's table definitions."""

    def __init__(self, database: Database, variables: Variables) -> None:
        super().__init__(variables)
        self.tables = database

    async def answer(self, sql: str, schema_name: str | None) -> AllowedResult:
        """Run one metadata statement with `schema_name` as the default schema."""
        self.database = schema_name
        return await self.handle_query(sql, {})

    async def schema(self) -> dict:
        """Return the tables with their columns and types, as of the last commit."""
        rows = self.tables.connection.execute(
            "SELECT m.name, c.name, c.type FROM sqlite_master m"
            " JOIN pragma_table_info(m.name) c"
            " WHERE m.type = 'table' AND m.name NOT LIKE 'sqlite_%'"
        )
        found: dict[str, dict[str, str]] = {}
        for table, column, kind in rows:
            found.setdefault(table, {})[column] = kind
        return {self.database or "": found}
