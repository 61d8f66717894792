"""Primary records in the platform's store, used for discovery and snapshots."""

import random
from collections import OrderedDict

import anyio
import msgspec
import structlog

from rosemaryward.decisions.document.stored import (
    decode_primary,
    encode_primary,
    primary_key,
)
from rosemaryward.decisions.errors import ConflictError, StoreError
from rosemaryward.decisions.interfaces import Store
from rosemaryward.decisions.messages import PrimaryRecord

__all__ = ["PrimaryRecorder"]

INITIAL_BACKOFF_S = 0.2
MAX_BACKOFF_S = 10.0
WRITE_JITTER_S = 2.0
"""Spreads the writes of many proxies that learn of changes at the same time."""


class PrimaryRecorder:
    """Writes newer primary records to the store in the background.

    Nothing waits for the writes: a promotion is complete without the store.

    Parameters
    ----------
    environment : str
        Name of the environment, part of the keys.
    store : Store
        Client of the platform's store.
    jitter : random.Random
        Source of the random delays.

    Attributes
    ----------
    pending : OrderedDict of str to PrimaryRecord
        Records to write, by database.
    """

    def __init__(self, environment: str, store: Store, jitter: random.Random) -> None:
        self.environment = environment
        self.store = store
        self.jitter = jitter
        self.pending: OrderedDict[str, PrimaryRecord] = OrderedDict()
        self.record_added = anyio.Event()
        self.log = structlog.get_logger()

    def add(self, record: PrimaryRecord) -> None:
        """Queue a record unless one of the same or a later term is queued."""
        queued = self.pending.get(record.database)
        if queued is None or queued.term < record.term:
            self.pending[record.database] = record
            self.record_added.set()

    async def run(self) -> None:
        """Write queued records until cancelled."""
        backoff_s = INITIAL_BACKOFF_S
        while True:
            if not self.pending:
                self.record_added = anyio.Event()
                await self.record_added.wait()
                await anyio.sleep(self.jitter.uniform(0.0, WRITE_JITTER_S))
            record = next(iter(self.pending.values()))
            try:
                await self._write(record)
            except StoreError:
                await anyio.sleep(self.jitter.uniform(0.5, 1.0) * backoff_s)
                backoff_s = min(2 * backoff_s, MAX_BACKOFF_S)
                continue
            backoff_s = INITIAL_BACKOFF_S
            if self.pending.get(record.database) is record:
                del self.pending[record.database]

    async def _write(self, record: PrimaryRecord) -> None:
        key = primary_key(self.environment, record.database)
        found = await self.store.get(key)
        if found is not None and _term_of(found.value) >= record.term:
            return
        version = found.version if found is not None else 0
        try:
            await self.store.compare_and_swap(key, encode_primary(record), version)
        except ConflictError:
            # Another proxy wrote concurrently; the retry compares the terms again.
            self.log.debug("primary record write conflict", database=record.database)
            raise


def _term_of(value: bytes) -> int:
    """Return the term of a stored record, 0 for one that cannot be decoded."""
    try:
        return decode_primary(value).term
    except msgspec.DecodeError:
        return 0
