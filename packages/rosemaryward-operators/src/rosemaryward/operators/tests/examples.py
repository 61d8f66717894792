"""Example document and an in-memory store with injected faults."""

from collections.abc import AsyncIterator, Awaitable, Callable
from enum import Enum
from typing import Any

import anyio
import msgspec

from rosemaryward.decisions.document import Document
from rosemaryward.decisions.errors import ConflictError, StoreError
from rosemaryward.decisions.interfaces import VersionedValue

PASSWORD_HASH = "2470c0c06dee42fd1618bb99005adca2ec9d1e19"
DOMAINS = ("h-1", "h-2", "l-1")


def example_values(environment: str = "production") -> dict[str, Any]:
    """Return a valid document as plain values."""
    databases = {}
    for number, tenant in enumerate(("orders", "stock")):
        databases[tenant] = {
            "tenant": tenant,
            "slots": 3,
            "connections": 40,
            "instances": {
                f"i{index}": {
                    "host": "127.0.0.1",
                    "port": 7000 + 100 * number + index,
                    "region": "launceston" if domain == "l-1" else "hobart",
                    "failure_domain": domain,
                }
                for index, domain in enumerate(DOMAINS)
            },
        }
    return {
        "environment": environment,
        "regions": {"hobart": ["h-1", "h-2"], "launceston": ["l-1"]},
        "databases": databases,
        "tenants": {
            "orders": {
                "users": {"shop": {"password_hash": PASSWORD_HASH}},
                "rules": [{"name": "all", "rank": "urgent"}],
            },
            "stock": {"users": {"viewer": {"password_hash": PASSWORD_HASH}}},
        },
        "ranks": {"bulk": {"floor": 0.2}},
    }


def example_document(environment: str = "production", **slots: int) -> Document:
    """Return a valid document; keywords set the slots of databases."""
    values = example_values(environment)
    for database, count in slots.items():
        values["databases"][database]["slots"] = count
    return msgspec.convert(values, Document)


class Fault(Enum):
    """Fault injected into one call of the store."""

    NONE = "none"
    LOST_REQUEST = "lost request"
    LOST_ANSWER = "lost answer"


async def _no_fault(method: str, key: str) -> Fault:
    await anyio.sleep(0.001)
    return Fault.NONE


class MemoryStore:
    """In-memory store that asks for a fault before each call.

    Parameters
    ----------
    choose_fault : callable
        Awaited before each call with the method and the key; returns the fault.
    """

    def __init__(
        self, choose_fault: Callable[[str, str], Awaitable[Fault]] = _no_fault
    ) -> None:
        self.choose_fault = choose_fault
        self.values: dict[str, VersionedValue] = {}
        self.writes: list[VersionedValue] = []
        self.down = False
        self.revision = 0

    async def _run(self, method: str, key: str, call: Callable[[], Any]) -> Any:
        fault = await self.choose_fault(method, key)
        if self.down or fault is Fault.LOST_REQUEST:
            raise StoreError("no reply")
        result = call()
        if fault is Fault.LOST_ANSWER:
            raise StoreError("reply lost")
        return result

    async def get(self, key: str) -> VersionedValue | None:
        return await self._run("get", key, lambda: self.values.get(key))

    async def list(self, prefix: str) -> list[VersionedValue]:
        def call() -> list[VersionedValue]:
            keys = sorted(key for key in self.values if key.startswith(prefix))
            return [self.values[key] for key in keys]

        return await self._run("list", prefix, call)

    async def compare_and_swap(self, key: str, value: bytes, version: int) -> int:
        return await self._run("swap", key, lambda: self._swap(key, value, version))

    def _swap(self, key: str, value: bytes, version: int) -> int:
        present = self.values.get(key)
        found = 0 if present is None else present.version
        if found != version:
            raise ConflictError(f"expected version {version}, found {found}")
        self.revision += 1
        self.values[key] = VersionedValue(key, value, self.revision)
        self.writes.append(self.values[key])
        return self.revision

    async def watch(self, key: str) -> AsyncIterator[VersionedValue]:
        raise StoreError("not supported")
        yield self.values[key]
