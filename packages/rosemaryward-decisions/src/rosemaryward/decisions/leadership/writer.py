"""Conditional writes of the records that the holder of the failover lock keeps."""

from typing import Protocol, TypeVar

__all__ = ["RecordWriter"]

RecordT = TypeVar("RecordT", contravariant=True)


class RecordWriter(Protocol[RecordT]):
    """Conditional writes of one record for each group."""

    async def write(self, group: str, record: RecordT, expected: int) -> int:
        """Write a record and return its store revision.

        Parameters
        ----------
        group : str
            Group of the record.
        record : RecordT
            Record to write.
        expected : int
            Store revision of the record to replace, 0 if there must be none.

        Raises
        ------
        ConflictError
            If the record has another revision.
        StoreError
            If the store does not answer.
        """
