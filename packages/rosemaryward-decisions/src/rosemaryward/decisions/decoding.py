"""Decoding of values and messages that other processes have written.

A deeply nested value raises `RecursionError` in msgspec's decoders, also where it
stands in a field that the type does not have.
"""

from collections.abc import Callable
from typing import TypeVar

import msgspec

__all__ = ["decode_json", "decode_with"]

_Decoded = TypeVar("_Decoded")


def decode_json(data: bytes, kind: type[_Decoded]) -> _Decoded:
    """Decode a JSON value.

    Parameters
    ----------
    data : bytes
        Encoded value.
    kind : type
        Type of the decoded value.

    Raises
    ------
    msgspec.DecodeError
        If the value is malformed, nested too deeply or of another type.
    """
    return decode_with(lambda text: msgspec.json.decode(text, type=kind), data)


def decode_with(decode: Callable[[bytes], _Decoded], data: bytes) -> _Decoded:
    """Decode a value with a function of msgspec or a method of one of its decoders.

    Parameters
    ----------
    decode : callable
        Decodes the value.
    data : bytes
        Encoded value.

    Raises
    ------
    msgspec.DecodeError
        If the value is malformed, nested too deeply or of another type.
    """
    try:
        return decode(data)
    except RecursionError as error:
        raise msgspec.DecodeError("the value is nested too deeply") from error
