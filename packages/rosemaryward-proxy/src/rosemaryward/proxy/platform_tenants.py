"""Tenants at one proxy: authorization, log lines and counters."""

from collections.abc import Callable

import structlog

from rosemaryward.decisions.gateway.environment import Environment
from rosemaryward.decisions.mirror import StoreMirror
from rosemaryward.decisions.tenants import (
    Authorizer,
    CallerAccess,
    CallerKey,
    OperationLimiter,
    RefusalCause,
    RevocationProof,
)
from rosemaryward.operators.bounded_logs import LogRateLimiter
from rosemaryward.operators.metrics import ProxyMetrics
from rosemaryward.platform.line_protocol import ENCODING
from rosemaryward.platform.settings import HostSettings

__all__ = ["TenantAccess"]

MAX_LOGGED_PROBLEMS = 5  # of one tenant
REFUSAL_LINES_PER_S = 10.0
REFUSAL_BURST_LINES = 40.0

log = structlog.get_logger(__name__)


class TenantAccess:
    """Authorization of callers by the configuration and the mirror of this proxy.

    Parameters
    ----------
    environment : callable
        Returns the configuration in force.
    settings : callable
        Returns the settings in force.
    mirror : callable
        Returns the mirror of the store.
    metrics : ProxyMetrics
        Metrics registry of this process.
    limiter : OperationLimiter, optional
        Limits the operations of tenants.

    Attributes
    ----------
    authorizer : Authorizer
        Decides for which tenant a caller acts.
    pool_count : int
        Number of pools in the configuration `counted_environment`.
    """

    def __init__(
        self,
        environment: Callable[[], Environment],
        settings: Callable[[], HostSettings],
        mirror: Callable[[], StoreMirror],
        metrics: ProxyMetrics,
        limiter: OperationLimiter | None = None,
    ) -> None:
        self.environment = environment
        self.settings = settings
        self.mirror = mirror
        self.metrics = metrics
        self.limiter = limiter
        self.authorizer = Authorizer(
            lambda: environment().tenants,
            RevocationProof(
                lambda: mirror().age_s(),
                self._revocation_bound_s,
                lambda: environment().version,
            ),
        )
        self.counted_environment: Environment | None = None
        self.pool_count = 1
        self.refusal_budget = LogRateLimiter(REFUSAL_LINES_PER_S, REFUSAL_BURST_LINES)

    @property
    def pools_per_proxy(self) -> int:
        """Number of separate connection pools that this proxy has for an endpoint."""
        environment = self.environment()
        # The selection of a relay asks this for each statement.
        if environment is not self.counted_environment:
            self.counted_environment = environment
            self.pool_count = _count_pools(environment)
        return self.pool_count

    def weight(self, tenant: str) -> float | None:
        """Return the weight of a tenant in admission queues, its rate."""
        directory = self.environment().tenants
        found = None if directory is None else directory.tenants.get(tenant)
        return None if found is None else found.rate_per_s

    def access(self, key: CallerKey) -> CallerAccess:
        """Return the access of a caller with a key."""
        return CallerAccess(key, self.authorizer, self.limiter, self.log_refusal)

    def loggable_database(self, database: str) -> str:
        """Return what to log for a database that has no route.

        With tenants, and while no configuration tells whether there are any, it may be
        a key that was sent in the place of the database.
        """
        environment = self.environment()
        if environment.version and environment.tenants is None:
            return database
        return CallerKey(database.encode(ENCODING)).fingerprint

    def log_refusal(self, key: CallerKey, tenant: str, cause: RefusalCause) -> None:
        """Log a refusal caused by the key or the proof; the limiter logs its own."""
        if cause is RefusalCause.RATE_LIMIT:
            return
        left_out = self.refusal_budget.take()
        if left_out is None:
            return
        mirror = self.mirror()
        log.info(
            "key refused",
            key=key.fingerprint,
            tenant=tenant,
            cause=cause.value,
            configuration=self.environment().version,
            revision=mirror.revision,
            age_s=round(mirror.age_s(), 3),
            left_out=left_out,
        )

    def report_problems(self) -> None:
        """Log each tenant of a new configuration that is not used as listed."""
        environment = self.environment()
        if environment.tenants is None:
            return
        problems: dict[str, list[str]] = {}
        for found in environment.tenants.problems:
            problems.setdefault(found.tenant, []).append(found.problem)
        for tenant, texts in problems.items():
            log.warning(
                "tenant entry invalid",
                tenant=tenant,
                problems=texts[:MAX_LOGGED_PROBLEMS],
                count=len(texts),
                configuration=environment.version,
            )

    def export_metrics(self) -> None:
        """Copy the counters to the registry, if there are tenants."""
        if self.environment().tenants is None and not self.authorizer.operations:
            return
        self.metrics.set_tenant_operations(self.authorizer.operations)
        self.metrics.set_tenant_refusals(
            {cause.value: count for cause, count in self.authorizer.refusals.items()}
        )

    def _revocation_bound_s(self) -> float | None:
        bounds = self.settings().bounds
        return bounds.revoke_s if bounds.strict_revoke else None


def _count_pools(environment: Environment) -> int:
    """Return the number of tenants, and one more if a route needs none."""
    if environment.tenants is None:
        return 1
    has_public = any(route.public for route in environment.routes.values())
    return max(len(environment.tenants.tenants) + has_public, 1)
