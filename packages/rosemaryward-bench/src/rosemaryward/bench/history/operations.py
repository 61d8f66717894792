"""Operations of callers and the file format of a history."""

import hashlib
from collections.abc import Iterable
from enum import StrEnum
from pathlib import Path
from typing import Any

import msgspec

__all__ = ["Kind", "Operation", "Outcome", "body_of", "read_history", "write_history"]


class Kind(StrEnum):
    """Type of a recorded operation."""

    WRITE = "write"
    READ = "read"
    FINAL = "final"
    PRIMARY = "primary"


class Outcome(StrEnum):
    """What the caller knows about an operation."""

    DONE = "done"
    NOT_RUN = "not_run"
    UNKNOWN = "unknown"
    FAILED = "failed"


class Operation(msgspec.Struct, frozen=True, kw_only=True, omit_defaults=True):
    """One operation of one session.

    Parameters
    ----------
    session : str
        Name of the session.
    kind : Kind
        A write inserts one row whose item is `key`. A read returns the rows of the
        item `key`. A final operation holds all rows of the database after the
        run. A primary operation records that an instance was observed as primary.
    key : str
        Item of a write or read, instance of a primary operation.
    value : str
        Text that a read echoes in every row, or the term of a primary operation.
    start, end : float
        Seconds of one monotonic clock for all operations of a history.
    outcome : Outcome
    proxy : str
        Host id of the proxy that received the operation.
    database : str
    result : any
        For a write, the position that the proxy reported, such as ``"3.1042"``, or
        None. For a read, rows of echo, item, session and body. For a final
        operation, pairs of item and body.
    rank : str
    transaction : str
        Common to the writes of one transaction, empty for none.
    deadline_s : float
        Deadline of the rank in seconds, 0 if unknown.
    detail : str
        Error text of an operation that did not succeed.
    """

    session: str
    kind: Kind
    key: str
    start: float
    end: float
    outcome: Outcome
    database: str
    value: str = ""
    proxy: str = ""
    result: Any = None
    rank: str = ""
    transaction: str = ""
    deadline_s: float = 0.0
    detail: str = ""


def body_of(item: str) -> str:
    """Return the body of an item's row, which identifies foreign rows."""
    return hashlib.sha256(item.encode()).hexdigest() * 3


def write_history(path: Path, operations: Iterable[Operation]) -> None:
    """Write operations as JSON lines."""
    encoder = msgspec.json.Encoder()
    path.write_bytes(b"".join(encoder.encode(item) + b"\n" for item in operations))


def read_history(path: Path) -> list[Operation]:
    """Read operations from JSON lines."""
    decoder = msgspec.json.Decoder(Operation)
    return [decoder.decode(line) for line in path.read_bytes().splitlines()]
