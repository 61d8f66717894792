"""Limits on the connections and the memory of clients, without I/O."""

from rosemaryward.decisions.clients.enforcement import enforce_limits
from rosemaryward.decisions.clients.failures import FailureLog, contain_failures
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
    "FailureLog",
    "ProcessLimits",
    "contain_failures",
    "derive_limits",
    "enforce_limits",
]
