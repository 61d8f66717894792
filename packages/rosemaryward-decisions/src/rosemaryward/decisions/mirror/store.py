"""Interface of a key-value store with revisions, prefix watches and leases.

A store that is restored from a copy begins a new generation: it loses what it has
acknowledged since the copy, and numbers its changes from there again. A revision
therefore consists of the generation and the store's own number. Revisions never go
back, and none is given out twice.
"""

from collections.abc import Sequence
from typing import Protocol

import msgspec

from rosemaryward.decisions.errors import StoreError
from rosemaryward.decisions.types import MAX_COUNT, Count

__all__ = [
    "Changes",
    "ConditionalWrite",
    "MAX_GENERATION",
    "MAX_NUMBER",
    "HistoryLostError",
    "LeaseLostError",
    "LeaseStore",
    "LeasedKey",
    "Listing",
    "StoreRead",
    "StoredValue",
    "generation_of",
    "make_revision",
    "number_of",
]

NUMBER_BITS = 42  # enough for 10,000 changes per second in ten years
MAX_NUMBER = (1 << NUMBER_BITS) - 1
MAX_GENERATION = MAX_COUNT >> NUMBER_BITS


def make_revision(generation: int, number: int) -> int:
    """Return the revision for a generation and the number of a change in it."""
    return generation << NUMBER_BITS | number


def generation_of(revision: int) -> int:
    """Return the generation of the store to which a revision belongs."""
    return revision >> NUMBER_BITS


def number_of(revision: int) -> int:
    """Return the number that the store itself gives to a revision."""
    return revision & MAX_NUMBER


class HistoryLostError(StoreError):
    """The store no longer has all changes after the given revision."""


class LeaseLostError(StoreError):
    """The lease has expired or was revoked."""


class StoredValue(msgspec.Struct, frozen=True):
    """A key with its value.

    Parameters
    ----------
    key : str
        Key in the store.
    value : bytes
        Encoded value.
    revision : int
        Store revision of the last change of the key.
    """

    key: str
    value: bytes
    revision: Count


class Listing(msgspec.Struct, frozen=True):
    """Values under a prefix.

    Parameters
    ----------
    values : list of StoredValue
        All values whose keys start with the prefix.
    revision : int
        Store revision of the first page; later changes may be included.
    sent_at : float, optional
        Boot time in seconds, not later than the store was asked for the first page;
        None if another process listed the values.
    """

    values: list[StoredValue]
    revision: int
    sent_at: float | None = None


class Changes(msgspec.Struct, frozen=True):
    """Changes after a revision.

    Parameters
    ----------
    written : list of StoredValue
        Written values.
    removed : list of tuple of str and int
        Key and store revision of each removal.
    revision : int
        Store revision after which the next watch continues.
    """

    written: list[StoredValue]
    removed: list[tuple[str, int]]
    revision: int


class StoreRead(msgspec.Struct, frozen=True):
    """Read of the store that another process made.

    Parameters
    ----------
    revision : int
        Store revision of the read.
    sent_at : float
        Boot time of this host in seconds, not later than the read was sent.
    """

    revision: int
    sent_at: float


class LeasedKey(msgspec.Struct, frozen=True):
    """A key bound to a lease, written unconditionally.

    Parameters
    ----------
    key : str
        Key in the store.
    value : bytes
        Encoded value.
    lease_id : int
        Lease with which the store removes the key.
    """

    key: str
    value: bytes
    lease_id: int


class ConditionalWrite(msgspec.Struct, frozen=True):
    """A value to write if its key has the expected revision.

    Parameters
    ----------
    key : str
        Key to write.
    value : bytes
        Encoded value.
    expected : int
        Store revision of the value to replace, 0 if the key must not exist.
    lease_id : int, optional
        Lease to bind the key to, 0 for none.
    """

    key: str
    value: bytes
    expected: int
    lease_id: int = 0


class LeaseStore(Protocol):
    """The platform's store; every method raises `StoreError` without an answer.

    A write or delete raises `ConflictError` if the expected revision belongs to an
    earlier generation, or if the store was restored while it was in progress.
    """

    async def list(self, prefix: str) -> Listing:
        """Return all values whose keys start with `prefix`."""

    async def watch(self, prefix: str, after: int, wait_s: float) -> Changes:
        """Wait for changes after a revision and return them.

        Parameters
        ----------
        prefix : str
            Prefix of the keys to watch.
        after : int
            Store revision up to which all changes are known.
        wait_s : float
            Longest wait for a change, in seconds.

        Raises
        ------
        HistoryLostError
            If the store no longer has all changes after the revision.
        """

    async def write(
        self, key: str, value: bytes, expected: int, lease_id: int = 0
    ) -> int:
        """Write a value if its key has the expected revision.

        Parameters
        ----------
        key : str
            Key to write.
        value : bytes
            Encoded value.
        expected : int
            Store revision of the value to replace, 0 if the key must not exist.
        lease_id : int, optional
            Lease to bind the key to, 0 for none.

        Returns
        -------
        int
            Store revision of the change.

        Raises
        ------
        ConflictError
            If the key has another revision.
        LeaseLostError
            If the lease has expired.
        """

    async def write_all(self, writes: Sequence[ConditionalWrite]) -> int:
        """Write all values or, unless all keys have the expected revisions, none.

        Returns
        -------
        int
            Store revision of the change.

        Raises
        ------
        ConflictError
            If a key has another revision.
        LeaseLostError
            If a lease has expired.
        """

    async def register(
        self, key: str, value: bytes, expected: int, leased_key: LeasedKey
    ) -> int:
        """Write a value as `write` does, and a leased key in the same transaction.

        Parameters
        ----------
        key : str
            Key to write.
        value : bytes
            Encoded value.
        expected : int
            Store revision of the value to replace, 0 if the key must not exist.
        leased_key : LeasedKey
            Key to write unconditionally.

        Returns
        -------
        int
            Store revision of the change.

        Raises
        ------
        ConflictError
            If the key has another revision.
        LeaseLostError
            If the lease has expired.
        """

    async def delete(self, key: str, expected: int) -> None:
        """Delete a key; raises `ConflictError` unless it has the expected revision."""

    async def grant_lease(self, ttl_s: float) -> int:
        """Return the id of a new lease that expires after `ttl_s` seconds."""

    async def renew_lease(self, lease_id: int) -> None:
        """Renew a lease; raises `LeaseLostError` if it has expired."""

    async def revoke_lease(self, lease_id: int) -> None:
        """Revoke a lease; the store removes its keys."""
