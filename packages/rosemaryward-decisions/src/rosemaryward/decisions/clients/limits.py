"""Limits that follow from the memory and the descriptors of a process."""

import msgspec

__all__ = [
    "ALLOWANCE_BYTES",
    "DEFAULT_LIMITS",
    "NO_MEMORY",
    "ClientLimits",
    "ProcessLimits",
    "derive_limits",
]

MIB = 1 << 20
ALLOWANCE_BYTES = 16 * 1024
"""Bytes of a connection that are not counted towards the common memory.

Usual statements are shorter, so no crowd can take the memory that they need.
"""

CONNECTION_BYTES = 96 * 1024
"""Memory of one connection: its objects, `ALLOWANCE_BYTES`, and received bytes that
wait in the system (at most 64 KiB with a receive buffer of 32 KiB)."""

CONNECTIONS_MEMORY_SHARE = 1 / 3
COMMON_MEMORY_SHARE = 1 / 8
RESERVED_DESCRIPTORS = 200  # for files
CALLERS_DESCRIPTOR_SHARE = 0.35
PEERS_DESCRIPTOR_SHARE = 0.25
CONTROL_DESCRIPTOR_SHARE = 0.1
"""The rest is for outgoing connections and the other addresses."""
STARTING_SHARE = 1 / 4
"""Of the callers. Other proxies have no such limit, as all of them connect at once to
a relay that has just been elected."""
ENDING_SHARE = 1 / 8
INTERNAL_CONNECTIONS = 32
INTERNAL_REQUEST_S = 15.0
MIN_CONNECTIONS = 16
NO_MEMORY = "not run: the memory for long statements is in use"


class ClientLimits(msgspec.Struct, frozen=True, kw_only=True):
    """Limits on the clients of one address.

    Parameters
    ----------
    connections : int
        Open connections.
    starting : int
        Open connections that have not finished their start-up.
    ending : int
        Connections above `connections` while others are asked to disconnect.
    memory_bytes : int
        Bytes that all connections hold together above `ALLOWANCE_BYTES` each.
    startup_s : float
        Longest start-up in seconds.
    message_s : float
        Longest time from the first to the last byte of a message, in seconds.
    answer_s : float
        Longest time for which a client may block an answer, in seconds.
    """

    connections: int
    starting: int
    ending: int
    memory_bytes: int
    startup_s: float = 3.0
    message_s: float = 10.0
    answer_s: float = 15.0


class ProcessLimits(msgspec.Struct, frozen=True, kw_only=True):
    """Limits on all clients of one process.

    Parameters
    ----------
    callers : ClientLimits
        Limits at the address for callers.
    peers : ClientLimits
        Limits at the address for statements of other proxies.
    control : ClientLimits
        Limits at the address for control requests of other proxies.
    internal : ClientLimits
        Limits at each address for probes, metrics and operators.
    """

    callers: ClientLimits
    peers: ClientLimits
    control: ClientLimits
    internal: ClientLimits


def derive_limits(memory_mib: float, descriptors: int) -> ProcessLimits:
    """Return the limits of a process.

    Parameters
    ----------
    memory_mib : float
        Memory of the machine or of the process, in MiB.
    descriptors : int
        Descriptors that the process may have open.
    """
    available = max(descriptors - RESERVED_DESCRIPTORS, 0)
    memory = int(memory_mib * MIB)
    fitting = int(memory * CONNECTIONS_MEMORY_SHARE) // CONNECTION_BYTES
    callers = min(int(available * CALLERS_DESCRIPTOR_SHARE), fitting)
    peers = int(available * PEERS_DESCRIPTOR_SHARE)
    common = int(memory * COMMON_MEMORY_SHARE)
    control = int(available * CONTROL_DESCRIPTOR_SHARE)
    return ProcessLimits(
        callers=_client_limits(callers, common, STARTING_SHARE),
        peers=_client_limits(peers, common // 2),
        control=_client_limits(control, common // 4),
        internal=ClientLimits(
            connections=INTERNAL_CONNECTIONS,
            starting=INTERNAL_CONNECTIONS,
            ending=1,
            memory_bytes=0,
            startup_s=INTERNAL_REQUEST_S,
        ),
    )


def _client_limits(
    connections: int, memory_bytes: int, starting_share: float = 1.0
) -> ClientLimits:
    connections = max(connections, MIN_CONNECTIONS)
    return ClientLimits(
        connections=connections,
        starting=max(int(connections * starting_share), MIN_CONNECTIONS // 2),
        ending=max(int(connections * ENDING_SHARE), 1),
        memory_bytes=memory_bytes,
    )


DEFAULT_LIMITS = derive_limits(memory_mib=200, descriptors=4300)
"""Limits of the smallest host."""
