"""Interface of a store with revisions, watches over prefixes, and leases."""

from typing import Protocol

import msgspec

from rosemaryward.decisions.errors import StoreError

__all__ = [
    "Changes",
    "HistoryLostError",
    "LeaseLostError",
    "LeaseStore",
    "LeasedKey",
    "Listing",
    "StoredValue",
]


class HistoryLostError(StoreError):
    """The store no longer has the changes after the given revision."""


class LeaseLostError(StoreError):
    """The lease has ended."""


class StoredValue(msgspec.Struct, frozen=True):
    """A key with its value and the revision of its last change."""

    key: str
    value: bytes
    revision: int


class Listing(msgspec.Struct, frozen=True):
    """Values under a prefix.

    Parameters
    ----------
    values : list of StoredValue
    revision : int
        Revision of the store at the first page; later changes may be included.
    """

    values: list[StoredValue]
    revision: int


class Changes(msgspec.Struct, frozen=True):
    """Changes after a revision.

    Parameters
    ----------
    written : list of StoredValue
    removed : list of tuple of str and int
        Key and revision of each removal.
    revision : int
        Revision from which the next watch continues.
    """

    written: list[StoredValue]
    removed: list[tuple[str, int]]
    revision: int


class LeasedKey(msgspec.Struct, frozen=True):
    """Key that ends with a lease, written whatever its revision."""

    key: str
    value: bytes
    lease_id: int


class LeaseStore(Protocol):
    """The platform's store; every method raises `StoreError` without an answer."""

    async def list(self, prefix: str) -> Listing:
        """Return all values whose keys start with `prefix`."""

    async def watch(self, prefix: str, after: int, wait_s: float) -> Changes:
        """Return changes after a revision, waiting until there is one.

        Raises
        ------
        HistoryLostError
        """

    async def write(
        self, key: str, value: bytes, expected: int, lease_id: int = 0
    ) -> int:
        """Replace a value if it has a revision (0: does not exist).

        Returns
        -------
        int
            Revision of the change.

        Raises
        ------
        ConflictError
            If the revision differs.
        LeaseLostError
        """

    async def register(
        self, key: str, value: bytes, expected: int, leased_key: LeasedKey
    ) -> int:
        """Replace a value if it has a revision, and set a leased key with it.

        Returns
        -------
        int
            Revision of the change.

        Raises
        ------
        ConflictError
        LeaseLostError
        """

    async def delete(self, key: str, expected: int) -> None:
        """Delete a key if it has a revision; raises `ConflictError`."""

    async def grant_lease(self, ttl_s: float) -> int:
        """Return the id of a new lease."""

    async def renew_lease(self, lease_id: int) -> None:
        """Renew a lease; raises `LeaseLostError`."""

    async def revoke_lease(self, lease_id: int) -> None:
        """End a lease; its keys are removed."""
