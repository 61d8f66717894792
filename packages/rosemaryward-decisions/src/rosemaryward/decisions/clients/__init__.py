"""Limits on the connections and the memory of clients, without I/O."""

from rosemaryward.decisions.clients.enforcement import enforce_limits
from rosemaryward.decisions.clients.limits import (
    ALLOWANCE_BYTES,
    DEFAULT_LIMITS,
    NO_MEMORY,
    ClientLimits,
    ProcessLimits,
    derive_limits,
)
from rosemaryward.decisions.clients.table import Client, ClientState, ClientTable

__all__ = [
    "ALLOWANCE_BYTES",
    "DEFAULT_LIMITS",
    "NO_MEMORY",
    "Client",
    "ClientLimits",
    "ClientState",
    "ClientTable",
    "ProcessLimits",
    "derive_limits",
    "enforce_limits",
]
