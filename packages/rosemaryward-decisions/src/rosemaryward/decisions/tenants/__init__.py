"""Tenants of a deployment: their keys, and the authorization of their operations.

The key of a caller identifies its tenant. Keys are kept as digests, and appear in log
lines only as fingerprints. Imports neither an adapter nor the gateway.
"""

from rosemaryward.decisions.tenants.authorization import (
    AuthorizationError,
    Authorizer,
    CallerAccess,
    RefusalCause,
    RevocationProof,
)
from rosemaryward.decisions.tenants.directory import (
    Tenant,
    TenantDirectory,
    TenantProblem,
)
from rosemaryward.decisions.tenants.keys import CallerKey
from rosemaryward.decisions.tenants.limiter import OperationLimiter

__all__ = [
    "AuthorizationError",
    "Authorizer",
    "CallerAccess",
    "CallerKey",
    "OperationLimiter",
    "RefusalCause",
    "RevocationProof",
    "Tenant",
    "TenantDirectory",
    "TenantProblem",
]
