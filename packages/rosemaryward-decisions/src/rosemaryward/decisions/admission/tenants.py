"""Limits of tenants at one proxy."""

from collections.abc import Mapping

from anyio import current_time

from rosemaryward.decisions.admission.sections import TenantLimits
from rosemaryward.decisions.errors import OverloadError

__all__ = ["TenantLimiter"]

BURST_S = 1.0  # a tenant may use the statements of one second at once


class TenantUse:
    """Tokens and open connections of one tenant."""

    __slots__ = ("connections", "tokens", "updated_at")

    def __init__(self, tokens: float, now: float) -> None:
        self.tokens = tokens
        self.updated_at = now
        self.connections = 0


class TenantLimiter:
    """Limit the statements per second and the connections of each tenant.

    Parameters
    ----------
    limits : Mapping of str to TenantLimits
        By tenant; a missing tenant is not limited.
    """

    __slots__ = ("limits", "uses")

    def __init__(self, limits: Mapping[str, TenantLimits]) -> None:
        self.limits = limits
        self.uses: dict[str, TenantUse] = {}

    def set_limits(self, limits: Mapping[str, TenantLimits]) -> None:
        """Replace the limits; open connections stay open."""
        self.limits = limits
        self.uses = {
            tenant: use
            for tenant, use in self.uses.items()
            if tenant in limits or use.connections
        }

    def admit_statement(self, tenant: str) -> None:
        """Take one statement from the tenant's rate.

        Raises
        ------
        OverloadError
            If the rate is used up; `retry_after_s` tells when it is not.
        """
        limits = self.limits.get(tenant)
        if limits is None or not limits.statements_per_s:
            return
        rate = limits.statements_per_s
        now = current_time()
        use = self._use(tenant, now, rate)
        burst = max(rate * BURST_S, 1.0)
        tokens = min(burst, use.tokens + (now - use.updated_at) * rate)
        use.updated_at = now
        if tokens < 1.0:
            use.tokens = tokens
            raise OverloadError(
                f"tenant {tenant} passes {rate:g} statements/s", (1.0 - tokens) / rate
            )
        use.tokens = tokens - 1.0

    def open_connection(self, tenant: str) -> None:
        """Count a connection; `close_connection` has to follow.

        Raises
        ------
        OverloadError
            If the tenant has as many connections as it may have.
        """
        self.check_connection(tenant)
        self._use(tenant, current_time(), 0.0).connections += 1

    def check_connection(self, tenant: str) -> None:
        """Raise `OverloadError` if the tenant may open no more connections."""
        limits = self.limits.get(tenant)
        use = self._use(tenant, current_time(), 0.0)
        if limits is not None and use.connections >= limits.connections:
            raise OverloadError(f"tenant {tenant} has {use.connections} connections")

    def close_connection(self, tenant: str) -> None:
        """Count a connection that has closed."""
        self.uses[tenant].connections -= 1

    def _use(self, tenant: str, now: float, rate: float) -> TenantUse:
        use = self.uses.get(tenant)
        if use is None:
            use = self.uses[tenant] = TenantUse(max(rate * BURST_S, 1.0), now)
        return use
