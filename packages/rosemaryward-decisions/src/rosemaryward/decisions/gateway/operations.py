"""Tenant of a session's operations, and the limit on how many begin."""

from rosemaryward.decisions.errors import OverloadError
from rosemaryward.decisions.gateway.outcomes import Failure
from rosemaryward.decisions.gateway.session_context import SessionContext
from rosemaryward.decisions.gateway.statements import Statement, StatementKind
from rosemaryward.decisions.tenants import (
    AuthorizationError,
    CallerAccess,
    RefusalCause,
)

__all__ = ["OperationRefusedError", "SessionOperations"]

FORWARDED_KINDS = (StatementKind.READ, StatementKind.WRITE)
BEGIN_KINDS = (StatementKind.BEGIN, StatementKind.BEGIN_READ)
FAILURE_BY_CAUSE = {
    RefusalCause.UNKNOWN_KEY: Failure.UNKNOWN_KEY,
    RefusalCause.NO_PROOF: Failure.BUSY,
    RefusalCause.RATE_LIMIT: Failure.BUSY,
}


class OperationRefusedError(AuthorizationError):
    """The caller may not run a statement now, and how its session reports that."""

    @property
    def failure(self) -> Failure:
        """Failure to report outside of a transaction."""
        return FAILURE_BY_CAUSE[self.cause]

    @property
    def idle_reason(self) -> str:
        """Reason to report outside of a transaction."""
        is_busy = self.failure is Failure.BUSY
        return f"not run: {self.reason}" if is_busy else self.reason


class SessionOperations:
    """Authorizes the statements of one session and counts its operations.

    Parameters
    ----------
    context : SessionContext
        Session whose tenant is set when an operation begins.
    access : CallerAccess, optional
        Key of the caller; without it, no statement is checked.

    Attributes
    ----------
    caller : str
        Name of the caller in configurations without tenants.
    refundable : str
        Tenant whose limit counts the current operation, empty if none does.
    """

    __slots__ = ("access", "caller", "context", "refundable")

    def __init__(self, context: SessionContext, access: CallerAccess | None) -> None:
        self.context = context
        self.access = access
        self.caller = context.caller
        self.refundable = ""

    def authorize(self, is_public: bool) -> str:
        """Return the tenant that the caller acts for, empty if it needs none.

        Raises
        ------
        OperationRefusedError
            If the key is unknown, or may have been removed unseen.
        """
        if self.access is None:
            return ""
        try:
            return self.access.authorizer.authorize(self.access.key, is_public)
        except AuthorizationError as error:
            self.access.record_refusal(error.cause, self.context.tenant)
            raise OperationRefusedError(error.cause, error.reason) from error

    def begins(self, statement: Statement) -> bool:
        """Return whether a statement outside of a transaction is an operation."""
        if statement.kind is StatementKind.EXECUTE:
            return statement.name in self.context.prepared
        return statement.kind in FORWARDED_KINDS or statement.kind in BEGIN_KINDS

    async def begin(self, tenant: str) -> None:
        """Begin an operation for a tenant.

        Raises
        ------
        OperationRefusedError
            If the tenant is over its limit.
        """
        self.context.tenant = tenant
        self.context.sent = False
        self.refundable = ""
        if self.access is None:
            return
        authorizer = self.access.authorizer
        has_tenants = authorizer.directory() is not None
        self.context.caller = (
            self.access.key.fingerprint if has_tenants else self.caller
        )
        if not tenant:
            return
        await self._admit(tenant)
        authorizer.count_operation(tenant)

    async def _admit(self, tenant: str) -> None:
        """Count an operation against the tenant's limit."""
        assert self.access is not None
        if self.access.limiter is None:
            return
        try:
            await self.access.limiter.admit(tenant)
        except OverloadError as error:
            self.access.record_refusal(RefusalCause.RATE_LIMIT, tenant)
            raise OperationRefusedError(
                RefusalCause.RATE_LIMIT,
                "rate limit of the tenant exceeded, retry in "
                f"{error.retry_after_s:.2f} s",
            ) from error
        self.refundable = tenant

    def end_refused(self) -> None:
        """End an operation that was refused; refund it if nothing of it was sent."""
        tenant, self.refundable = self.refundable, ""
        if tenant and not self.context.sent and self.access is not None:
            assert self.access.limiter is not None
            self.access.limiter.refund(tenant)
