"""Recording of the callers' operations."""

import time

from rosemaryward.bench.history.operations import Operation

__all__ = ["Recorder", "clock"]


def clock() -> float:
    """Return the monotonic time in seconds that all operations of a history use."""
    return time.monotonic()


class Recorder:
    """Collects the operations of all callers of one process."""

    def __init__(self) -> None:
        self.operations: list[Operation] = []

    def add(self, operation: Operation) -> None:
        """Append one operation."""
        self.operations.append(operation)

    def between(self, start: float, end: float) -> list[Operation]:
        """Return the operations that started within a time span."""
        return [item for item in self.operations if start <= item.start < end]
