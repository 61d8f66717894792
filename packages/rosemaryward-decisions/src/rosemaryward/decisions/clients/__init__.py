"""Limits on the connections and the memory of clients, without I/O."""

from rosemaryward.decisions.clients.limits import (
    ALLOWANCE_BYTES,
    ClientLimits,
    ProcessLimits,
    derive_limits,
)
from rosemaryward.decisions.clients.reports import report_limits
from rosemaryward.decisions.clients.table import Client, ClientState, ClientTable

__all__ = [
    "ALLOWANCE_BYTES",
    "Client",
    "ClientLimits",
    "ClientState",
    "ClientTable",
    "ProcessLimits",
    "derive_limits",
    "report_limits",
]
