"""Connections of clients, the memory that they hold, and whom to close at a limit."""

from collections.abc import Callable, Iterable
from enum import IntEnum

from rosemaryward.decisions.clients.limits import ALLOWANCE_BYTES, ClientLimits

__all__ = ["Client", "ClientState", "ClientTable"]

STARTING_GRACE_S = 0.5
"""Within it, a start-up message that has not arrived is no sign of a silent client. Of
400 callers that connect at once and send theirs 0.1 s later, 96 were closed."""
CLOSE_REASON = "too many connections or too much memory in use"


class ClientState(IntEnum):
    """What a connection does."""

    STARTING = 0
    IDLE = 1
    IN_TRANSACTION = 2
    RECEIVING = 3
    SERVING = 4
    SENDING = 5
    ENDING = 6


class Client:
    """Connection of one client.

    Parameters
    ----------
    table : ClientTable
    abort : callable
        Closes the connection at once.
    discard : callable
        Drops what has been received of an incomplete message.

    Attributes
    ----------
    state : ClientState
    since_s : float
        Time since which it is in this state, in seconds of the table's clock.
    held_bytes : int
        Bytes above the allowance that count towards the common memory.
    kept_bytes : int
        Part of them that stays between two messages.
    end : callable or None
        Asks the client to disconnect, None if the connection can only be aborted.
    """

    __slots__ = (
        "abort",
        "discard",
        "end",
        "held_bytes",
        "kept_bytes",
        "since_s",
        "state",
        "table",
    )

    def __init__(
        self,
        table: "ClientTable",
        abort: Callable[[], None],
        discard: Callable[[], None],
    ) -> None:
        self.table = table
        self.abort = abort
        self.discard = discard
        self.end: Callable[[str], None] | None = None
        self.state = ClientState.STARTING
        self.since_s = table.clock()
        self.held_bytes = 0
        self.kept_bytes = 0

    def enter(self, state: ClientState) -> None:
        """Change the state; a connection that ends stays in that state."""
        if self.state is not ClientState.ENDING:
            self.state = state
            self.since_s = self.table.clock()

    def hold(self, size: int) -> bool:
        """Set the bytes that the connection holds for the present message.

        Returns False, without a change, if the common memory does not suffice.
        """
        held = self.kept_bytes + (
            size - ALLOWANCE_BYTES if size > ALLOWANCE_BYTES else 0
        )
        if held == self.held_bytes:
            return True
        return self.table.hold(self, held)

    def keep(self, size: int) -> bool:
        """Set the bytes that the connection holds between two messages.

        Returns False, without a change, if the common memory does not suffice.
        """
        kept = max(size - ALLOWANCE_BYTES, 0)
        if not self.table.hold(self, self.held_bytes + kept - self.kept_bytes):
            return False
        self.kept_bytes = kept
        return True

    def force_keep(self, size: int) -> None:
        """Set the bytes that the connection holds already between two messages."""
        kept = max(size - ALLOWANCE_BYTES, 0)
        if self in self.table.clients:
            self.table.held_bytes += kept - self.kept_bytes
            self.held_bytes += kept - self.kept_bytes
            self.kept_bytes = kept


class ClientTable:
    """All connections of the clients of one address.

    Parameters
    ----------
    limits : ClientLimits
    clock : callable
        Returns the time in seconds.
    closes_holders : bool
        Whether connections are closed for the memory that they hold. Otherwise only
        incomplete messages are dropped.

    Attributes
    ----------
    clients : dict of Client to None
        Open connections in the order in which they were accepted.
    held_bytes : int
        Bytes above the allowances that all connections hold.
    counts : dict of str to int
        Number of refusals and closes by cause.
    """

    def __init__(
        self,
        limits: ClientLimits,
        clock: Callable[[], float],
        closes_holders: bool = True,
    ) -> None:
        self.closes_holders = closes_holders
        self.limits = limits
        self.clock = clock
        self.clients: dict[Client, None] = {}
        self.held_bytes = 0
        self.counts: dict[str, int] = {}

    def admit(
        self, abort: Callable[[], None], discard: Callable[[], None] = lambda: None
    ) -> Client | None:
        """Add a connection, closing others at a limit; None refuses it."""
        if len(self.clients) >= self.limits.starting:
            self._bound_starting()
        if len(self.clients) >= self.limits.connections:
            self._end_one()
        most = self.limits.connections + self.limits.ending
        if len(self.clients) >= most and not self._abort_one():
            self.count("connection_refused")
            return None
        client = Client(self, abort, discard)
        self.clients[client] = None
        return client

    def remove(self, client: Client) -> None:
        """Remove a connection and release what it holds."""
        if client in self.clients:
            del self.clients[client]
            self.held_bytes -= client.held_bytes
            client.held_bytes = client.kept_bytes = 0

    def hold(self, client: Client, held: int) -> bool:
        """Set the bytes above its allowance that a client holds."""
        if client not in self.clients:
            return True
        needed = held - client.held_bytes
        if needed > 0 and not self._make_room(client, needed):
            self.count("memory_refused")
            return False
        self.held_bytes += needed
        client.held_bytes = held
        return True

    def force_hold(self, client: Client, size: int) -> None:
        """Count bytes that a client holds already, such as its answer."""
        if client not in self.clients:
            return
        held = client.kept_bytes + max(size - ALLOWANCE_BYTES, 0)
        self._make_room(client, held - client.held_bytes)
        self.held_bytes += held - client.held_bytes
        client.held_bytes = held

    def close_expired(self) -> None:
        """Close the connections that exceed a time limit."""
        now = self.clock()
        bounds = {
            ClientState.STARTING: ("startup_time", self.limits.startup_s),
            ClientState.RECEIVING: ("message_time", self.limits.message_s),
            ClientState.SENDING: ("answer_time", self.limits.answer_s),
        }
        for client in list(self.clients):
            cause, limit_s = bounds.get(client.state, ("", 0.0))
            if cause and now - client.since_s > limit_s:
                self._abort(client, cause)

    def count(self, cause: str) -> None:
        """Count a refusal or a close."""
        self.counts[cause] = self.counts.get(cause, 0) + 1

    def _bound_starting(self) -> None:
        """Close the oldest start-up at the limit, a recent one only to make room."""
        starting = self._in_state(ClientState.STARTING)
        if len(starting) < self.limits.starting:
            return
        oldest = _oldest(starting)
        is_full = len(self.clients) >= self.limits.connections
        if is_full or self.clock() - oldest.since_s >= STARTING_GRACE_S:
            self._abort(oldest, "starting_closed")

    def _end_one(self) -> None:
        """Ask the client that has been idle for longest to disconnect."""
        idle = self._in_state(ClientState.IDLE)
        if idle:
            self._end(_oldest(idle), "idle_closed")

    def _abort_one(self) -> bool:
        """Close the connection that is missed least; False if all are in service."""
        for state in (
            ClientState.ENDING,
            ClientState.STARTING,
            ClientState.RECEIVING,
            ClientState.IN_TRANSACTION,
        ):
            candidates = self._in_state(state)
            if candidates:
                self._abort(_oldest(candidates), f"{state.name.lower()}_closed")
                return True
        return False

    def _make_room(self, client: Client, needed: int) -> bool:
        """Release memory of others until `needed` bytes fit; False if they do not."""
        while self.held_bytes + needed > self.limits.memory_bytes:
            if not self._release_one(client):
                return False
        return True

    def _release_one(self, client: Client) -> bool:
        """Release the memory of one client; False if there is none to release.

        The message that has been incomplete for longest is dropped first, also if it
        is the one that needs memory.
        """
        receiving = [
            other
            for other in self._in_state(ClientState.RECEIVING)
            if other.held_bytes > other.kept_bytes or other is client
        ]
        if receiving:
            oldest = _oldest(receiving)
            if oldest is client:
                return False
            oldest.discard()
            self.hold(oldest, oldest.kept_bytes)
            self.count("message_dropped")
            return True
        if not self.closes_holders:
            return False
        blocked = [x for x in self._holders(ClientState.SENDING) if x is not client]
        if blocked:
            self._abort(_oldest(blocked), "answer_dropped")
            return True
        idle = [x for x in self._holders(ClientState.IDLE) if x is not client]
        if idle:
            self._abort(max(idle, key=_held_bytes), "idle_closed")
            return True
        return False

    def _in_state(self, state: ClientState) -> list[Client]:
        return [client for client in self.clients if client.state is state]

    def _holders(self, state: ClientState) -> list[Client]:
        return [client for client in self._in_state(state) if client.held_bytes]

    def _end(self, client: Client, cause: str) -> None:
        if client.end is None:
            self._abort(client, cause)
            return
        self.count(cause)
        client.enter(ClientState.ENDING)
        client.end(CLOSE_REASON)

    def _abort(self, client: Client, cause: str) -> None:
        self.count(cause)
        self.remove(client)
        client.abort()


def _oldest(clients: Iterable[Client]) -> Client:
    return min(clients, key=lambda client: client.since_s)


def _held_bytes(client: Client) -> int:
    return client.held_bytes
