"""Limits of tenants at one proxy."""

from collections.abc import Mapping

from anyio import current_time

from rosemaryward.decisions.admission.sections import TenantLimits
from rosemaryward.decisions.errors import OverloadError

__all__ = ["TenantLimiter"]

BURST_S = 1.0  # capacity of a tenant's token bucket, as seconds of its rate


class TenantUsage:
    """Token bucket and open connections of one tenant."""

    __slots__ = ("connections", "tokens", "updated_at")

    def __init__(self, tokens: float, now: float) -> None:
        self.tokens = tokens
        self.updated_at = now
        self.connections = 0


class TenantLimiter:
    """Limits the statement rate and the connections of each tenant.

    Parameters
    ----------
    limits : Mapping of str to TenantLimits
        Limits by tenant name; a tenant without an entry is not limited.
    """

    __slots__ = ("limits", "usages")

    def __init__(self, limits: Mapping[str, TenantLimits]) -> None:
        self.limits = limits
        self.usages: dict[str, TenantUsage] = {}

    def set_limits(self, limits: Mapping[str, TenantLimits]) -> None:
        """Replace the limits; open connections stay open."""
        self.limits = limits
        self.usages = {
            tenant: usage
            for tenant, usage in self.usages.items()
            if tenant in limits or usage.connections
        }

    def admit_statement(self, tenant: str) -> None:
        """Take one token for a statement from the tenant's bucket.

        Raises
        ------
        OverloadError
            If the bucket is empty; `retry_after_s` is the time until the next
            token.
        """
        limits = self.limits.get(tenant)
        if limits is None or not limits.statements_per_s:
            return
        rate = limits.statements_per_s
        now = current_time()
        usage = self._usage(tenant, now, rate)
        burst = max(rate * BURST_S, 1.0)
        tokens = min(burst, usage.tokens + (now - usage.updated_at) * rate)
        usage.updated_at = now
        if tokens < 1.0:
            usage.tokens = tokens
            raise OverloadError(
                f"tenant {tenant} exceeds its limit of {rate:g} statements/s",
                (1.0 - tokens) / rate,
            )
        usage.tokens = tokens - 1.0

    def open_connection(self, tenant: str) -> None:
        """Count a new connection; `close_connection` must be called for it.

        Raises
        ------
        OverloadError
            If the tenant has reached its connection limit.
        """
        self.check_connection(tenant)
        self._usage(tenant, current_time(), 0.0).connections += 1

    def check_connection(self, tenant: str) -> None:
        """Raise `OverloadError` if the tenant has reached its connection limit."""
        limits = self.limits.get(tenant)
        usage = self._usage(tenant, current_time(), 0.0)
        if limits is not None and usage.connections >= limits.connections:
            raise OverloadError(
                f"tenant {tenant} has {usage.connections} open connections, "
                f"at most {limits.connections} allowed"
            )

    def close_connection(self, tenant: str) -> None:
        """Count a connection as closed."""
        self.usages[tenant].connections -= 1

    def _usage(self, tenant: str, now: float, rate: float) -> TenantUsage:
        """Return the usage of a tenant; a new one starts with a full bucket."""
        usage = self.usages.get(tenant)
        if usage is None:
            usage = self.usages[tenant] = TenantUsage(max(rate * BURST_S, 1.0), now)
        return usage
