"""Command ``check``."""

from dataclasses import dataclass
from pathlib import Path

import cappa

from rosemaryward.bench.history.checker import check_history
from rosemaryward.bench.history.operations import read_history

__all__ = ["CheckCommand"]

MAX_SHOWN_FINDINGS = 20


@cappa.command(name="check", help="Check the invariants over a history.")
@dataclass
class CheckCommand:
    """Arguments of ``check``."""

    history: Path

    def __call__(self) -> int:
        """Print the counts and the first findings; exit with 1 if there are any."""
        report = check_history(read_history(self.history))
        print(
            f"{report.operations} operations, {report.checked_writes} items, "
            f"{report.checked_reads} reads"
        )
        for fault, count in report.counts.items():
            print(f"{fault}: {count}")
        for finding in report.findings[:MAX_SHOWN_FINDINGS]:
            print(
                f"{finding.fault}: {finding.database} {finding.key}: {finding.detail}"
            )
        if not report.passed:
            raise cappa.Exit(code=1)
        return 0
