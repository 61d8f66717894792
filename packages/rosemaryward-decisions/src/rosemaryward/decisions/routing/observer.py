"""Observer of statements, for metrics."""

from typing import Protocol

__all__ = ["NullObserver", "StatementObserver"]


class StatementObserver(Protocol):
    """Receives measurements of the entry and owner paths."""

    def record_statement(
        self, tenant: str, rank: int, queue_s: float, service_s: float
    ) -> None:
        """Record the queue and service time of a statement in seconds, at its owner."""

    def record_outcome(self, tenant: str, rank: int, outcome: str) -> None:
        """Count an outcome: ``done``, ``not_run``, ``unknown`` or ``failed``."""

    def record_read(self, tenant: str, from_replica: bool) -> None:
        """Count a completed read by the role that served it."""

    def record_confirmed_write(self, database: str) -> None:
        """Record that a write of the database was confirmed by a majority."""


class NullObserver:
    """Observer that ignores all measurements."""

    def record_statement(
        self, tenant: str, rank: int, queue_s: float, service_s: float
    ) -> None:
        """Ignore the times."""

    def record_outcome(self, tenant: str, rank: int, outcome: str) -> None:
        """Ignore the outcome."""

    def record_read(self, tenant: str, from_replica: bool) -> None:
        """Ignore the read."""

    def record_confirmed_write(self, database: str) -> None:
        """Ignore the write."""
