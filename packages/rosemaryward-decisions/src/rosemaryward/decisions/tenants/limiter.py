"""Interface of the limit on the operations of tenants."""

from typing import Protocol

__all__ = ["OperationLimiter"]


class OperationLimiter(Protocol):
    """Counts the operations of each tenant against its rate.

    An operation is a transaction, or a statement outside of one that goes to an
    endpoint.
    """

    async def admit(self, tenant: str) -> None:
        """Count an operation that begins.

        Raises
        ------
        OverloadError
            If the tenant is over its limit; has the time after which to retry.
        """

    def refund(self, tenant: str) -> None:
        """Give back the count of an operation of which nothing reached an endpoint."""
