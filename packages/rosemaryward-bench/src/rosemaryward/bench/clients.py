"""MySQL client connections to instances and proxies."""

from typing import Any

import asyncmy
import asyncmy.errors

__all__ = ["CONNECT_ERRORS", "connect"]

CONNECT_ERRORS = (OSError, TimeoutError, asyncmy.errors.Error)


async def connect(**options: Any) -> asyncmy.Connection:
    """Open a connection with the options of `asyncmy.connect`.

    Raises
    ------
    OSError, TimeoutError, asyncmy.errors.Error
        If the server cannot be reached or refuses the connection.
    """
    try:
        return await asyncmy.connect(**options)
    except RuntimeError as error:
        # asyncmy raises RuntimeError if the server has already closed the connection.
        raise ConnectionResetError(str(error)) from error
