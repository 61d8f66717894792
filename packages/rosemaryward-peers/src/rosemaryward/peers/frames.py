"""Framing of MessagePack messages on connections between proxies.

A frame consists of a four-byte length, an eight-byte request id, one byte of flags
and a fragment of a message. Long messages are split into fragments so that frames
of other requests can be sent in between.
"""

import struct
from collections.abc import Iterator

import msgspec

from rosemaryward.decisions.clients import ALLOWANCE_BYTES
from rosemaryward.decisions.decoding import decode_with
from rosemaryward.decisions.errors import PeerError
from rosemaryward.decisions.links import decompress
from rosemaryward.decisions.messages import StatementReply, StatementRequest

__all__ = [
    "MAX_MESSAGE_BYTES",
    "FRAGMENT_BYTES",
    "HEADER_BYTES",
    "FrameReader",
    "decode_reply",
    "decode_request",
    "encode_message",
    "split_frames",
]

FRAGMENT_BYTES = 64 * 1024
MAX_MESSAGE_BYTES = 64 * 1024 * 1024
_HEADER = struct.Struct("!IQB")
HEADER_BYTES = _HEADER.size
_LENGTH_BYTES = 4
_MORE_FLAG = 1
_COMPRESSED_FLAG = 2

_encoder = msgspec.msgpack.Encoder()
_request_decoder = msgspec.msgpack.Decoder(StatementRequest)
_reply_decoder = msgspec.msgpack.Decoder(StatementReply)


def encode_message(message: StatementRequest | StatementReply) -> bytes:
    """Encode a message as MessagePack."""
    return _encoder.encode(message)


def decode_request(data: bytes) -> StatementRequest:
    """Decode a request; raises `PeerError` if it is malformed."""
    return _decode(_request_decoder, data)


def decode_reply(data: bytes) -> StatementReply:
    """Decode a reply; raises `PeerError` if it is malformed."""
    return _decode(_reply_decoder, data)


def split_frames(
    request_id: int,
    payload: bytes,
    fragment_bytes: int = FRAGMENT_BYTES,
    compressed: bool = False,
) -> Iterator[bytes]:
    """Yield the frames of one message.

    Parameters
    ----------
    request_id : int
        Request that the message belongs to.
    payload : bytes
        Encoded message.
    fragment_bytes : int
        Largest fragment.
    compressed : bool
        Whether `payload` is compressed.
    """
    flags = _COMPRESSED_FLAG if compressed else 0
    offset = 0
    while True:
        fragment = payload[offset : offset + fragment_bytes]
        offset += fragment_bytes
        more = offset < len(payload)
        length = _HEADER.size - _LENGTH_BYTES + len(fragment)
        yield (
            _HEADER.pack(length, request_id, flags | (_MORE_FLAG if more else 0))
            + fragment
        )
        if not more:
            return


class FrameReader:
    """Reassembles messages from the frames of a byte stream.

    Parameters
    ----------
    max_message_bytes : int
        Largest accepted message, and limit of all incomplete messages together.

    Attributes
    ----------
    incomplete : dict of int to bytearray
        Fragments received so far of messages with more to come, by request id.
    discarded : set of int
        Request ids of messages whose further fragments are skipped.
    skip_bytes : int
        Bytes of the present frame that are skipped when they arrive.
    """

    __slots__ = (
        "buffer",
        "discarded",
        "incomplete",
        "max_message_bytes",
        "skip_bytes",
    )

    def __init__(self, max_message_bytes: int = MAX_MESSAGE_BYTES) -> None:
        self.max_message_bytes = max_message_bytes
        self.buffer = bytearray()
        self.incomplete: dict[int, bytearray] = {}
        self.discarded: set[int] = set()
        self.skip_bytes = 0

    def discard_incomplete(self) -> set[int]:
        """Drop the incomplete long messages and return their request ids.

        A message in a frame of at most `ALLOWANCE_BYTES` is kept: it may end a
        transaction, and releases no counted memory.
        """
        dropped = set(self.incomplete)
        if len(self.buffer) >= _HEADER.size:
            length, request_id, _ = _HEADER.unpack_from(self.buffer)
            if length > ALLOWANCE_BYTES:
                dropped.add(request_id)
        self.incomplete.clear()
        self.discarded |= dropped
        for _ in self.feed(b""):  # skips the frame that is received in part
            raise AssertionError("a complete message was not taken")
        return dropped

    def held_bytes(self) -> int:
        """Return the bytes of incomplete frames and messages."""
        if not self.incomplete:
            return len(self.buffer)
        return len(self.buffer) + sum(map(len, self.incomplete.values()))

    def feed(self, data: bytes) -> Iterator[tuple[int, bytes]]:
        """Add received bytes and yield each complete message with its request id.

        Raises
        ------
        PeerError
            If a frame is malformed or a message is too long.
        """
        skipped = min(self.skip_bytes, len(data))
        self.skip_bytes -= skipped
        buffer = self.buffer
        buffer += memoryview(data)[skipped:]
        offset = 0
        while len(buffer) - offset >= _HEADER.size:
            length, request_id, flags = _HEADER.unpack_from(buffer, offset)
            self._check_frame_length(length)
            end = offset + _LENGTH_BYTES + length
            if request_id in self.discarded:
                offset = self._skip_frame(request_id, flags, end)
                continue
            if end > len(buffer):
                break
            fragment = bytes(buffer[offset + _HEADER.size : end])
            offset = end
            message = self._add_fragment(request_id, flags, fragment)
            if message is not None:
                yield request_id, self._decompress(message, flags)
        del buffer[:offset]

    def _skip_frame(self, request_id: int, flags: int, end: int) -> int:
        """Skip a frame of a dropped message; returns where the next one begins."""
        received = min(end, len(self.buffer))
        self.skip_bytes = end - received
        if not flags & _MORE_FLAG:
            self.discarded.remove(request_id)
        return received

    def _decompress(self, message: bytes, flags: int) -> bytes:
        if not flags & _COMPRESSED_FLAG:
            return message
        try:
            return decompress(message, self.max_message_bytes)
        except ValueError as error:
            raise PeerError(f"compressed message: {error}") from error

    def _check_frame_length(self, length: int) -> None:
        shortest = _HEADER.size - _LENGTH_BYTES
        if not shortest <= length <= shortest + FRAGMENT_BYTES:
            raise PeerError(
                f"frame length: expected {shortest} to "
                f"{shortest + FRAGMENT_BYTES} bytes, got {length}"
            )

    def _add_fragment(
        self, request_id: int, flags: int, fragment: bytes
    ) -> bytes | None:
        partial = self.incomplete.get(request_id)
        if partial is None:
            if not flags & _MORE_FLAG:
                return fragment
            partial = self.incomplete[request_id] = bytearray()
        partial += fragment
        if sum(map(len, self.incomplete.values())) > self.max_message_bytes:
            raise PeerError(
                f"fragmented messages longer than {self.max_message_bytes} bytes"
            )
        if flags & _MORE_FLAG:
            return None
        del self.incomplete[request_id]
        return bytes(partial)


def _decode(decoder: msgspec.msgpack.Decoder, data: bytes):  # type: ignore[no-untyped-def]
    try:
        return decode_with(decoder.decode, data)
    except msgspec.DecodeError as error:
        raise PeerError(f"malformed message: {error}") from error
