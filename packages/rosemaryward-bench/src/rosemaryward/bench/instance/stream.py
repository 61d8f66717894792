"""MySQL packet stream that accepts packet headers split by TCP."""

import asyncio

from mysql_mimic.stream import MysqlStream

__all__ = ["ExactReader", "open_stream"]


class ExactReader:
    """Reader whose `read` returns all requested bytes, or none at end of stream.

    `MysqlStream` reads a packet's header with one call and fails if TCP delivers
    only part of it.

    Parameters
    ----------
    reader : asyncio.StreamReader
    """

    __slots__ = ("reader", "readexactly")

    def __init__(self, reader: asyncio.StreamReader) -> None:
        self.reader = reader
        self.readexactly = reader.readexactly

    async def read(self, size: int) -> bytes:
        """Return `size` bytes, or none if the connection has ended."""
        try:
            return await self.reader.readexactly(size)
        except asyncio.IncompleteReadError:
            return b""


def open_stream(
    reader: asyncio.StreamReader, writer: asyncio.StreamWriter
) -> MysqlStream:
    """Return the packet stream of a connection."""
    return MysqlStream(ExactReader(reader), writer)
