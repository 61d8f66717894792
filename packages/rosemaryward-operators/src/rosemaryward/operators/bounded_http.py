"""HTTP connections of operators, with bounds on their number and on silent ones."""

import asyncio
from typing import Any

from uvicorn.protocols.http.h11_impl import H11Protocol

from rosemaryward.decisions.clients import Client, ClientState, ClientTable

__all__ = ["BoundedHttpProtocol", "bounded_protocol"]


class BoundedHttpProtocol(H11Protocol):
    """HTTP connection with an entry in a table of clients.

    Attributes
    ----------
    clients : ClientTable
        Table of the server, set by `bounded_protocol`.
    entry : Client or None
        Entry of the connection, None if it was refused.
    """

    clients: ClientTable
    entry: Client | None = None

    def connection_made(  # type: ignore[override]
        self, transport: asyncio.Transport
    ) -> None:
        """Admit a connection that was accepted, or close it."""
        super().connection_made(transport)
        self.entry = self.clients.admit(transport.abort)
        if self.entry is None:
            transport.abort()

    def connection_lost(self, exc: Exception | None) -> None:
        """Release the entry."""
        if self.entry is not None:
            self.clients.remove(self.entry)
        super().connection_lost(exc)

    def data_received(self, data: bytes) -> None:
        """Handle received bytes, then record whether a request is complete."""
        super().data_received(data)
        cycle: Any = self.cycle
        if self.entry is None or cycle is None or cycle.response_complete:
            return
        if not cycle.more_body:
            self.entry.enter(ClientState.SERVING)
        elif self.entry.state is not ClientState.RECEIVING:
            self.entry.enter(ClientState.RECEIVING)

    def on_response_complete(self) -> None:
        """Record that the connection waits for a request."""
        if self.entry is not None:
            self.entry.enter(ClientState.IDLE)
        super().on_response_complete()


def bounded_protocol(clients: ClientTable) -> type[BoundedHttpProtocol]:
    """Return the protocol class of the server whose connections a table bounds."""
    return type("_BoundedHttpProtocol", (BoundedHttpProtocol,), {"clients": clients})
