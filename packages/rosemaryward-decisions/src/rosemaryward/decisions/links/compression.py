"""Compression of messages that cross the link between regions."""

import zlib

__all__ = ["compress_if_smaller", "decompress"]

# Level 1 halves 512 bytes of result rows in 4 us. Level 6 takes twice the time and
# saves a twentieth more. A single row grows when compressed.
ZLIB_LEVEL = 1
MIN_MESSAGE_BYTES = 256
MIN_SAVED_SHARE = 0.125  # share of the message that compression has to save


def compress_if_smaller(data: bytes) -> tuple[bytes, bool]:
    """Compress a message if that saves enough bytes.

    Parameters
    ----------
    data : bytes

    Returns
    -------
    data : bytes
        The compressed or the unchanged message.
    compressed : bool
        Whether the message was compressed.
    """
    if len(data) < MIN_MESSAGE_BYTES:
        return data, False
    compressed = zlib.compress(data, ZLIB_LEVEL)
    if len(compressed) > len(data) * (1.0 - MIN_SAVED_SHARE):
        return data, False
    return compressed, True


def decompress(data: bytes, maximum: int) -> bytes:
    """Decompress a message that `compress_if_smaller` compressed.

    Parameters
    ----------
    data : bytes
    maximum : int
        Largest accepted size of the decompressed message in bytes.

    Returns
    -------
    bytes

    Raises
    ------
    ValueError
        If the data is damaged or incomplete, or the message exceeds `maximum`.
    """
    decoder = zlib.decompressobj()
    try:
        message = decoder.decompress(data, maximum)
    except zlib.error as error:
        raise ValueError(f"compressed message is damaged: {error}") from error
    if not decoder.eof:
        raise ValueError(
            f"compressed message is incomplete or expands beyond {maximum} bytes"
        )
    return message
