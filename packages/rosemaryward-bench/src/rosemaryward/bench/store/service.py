"""Calls of the etcd v3 gateway API on the stored values."""

import operator
from collections.abc import AsyncIterator, Callable
from typing import Any

import anyio
import msgspec

from rosemaryward.bench.store.faults import Faults, RateLimit
from rosemaryward.bench.store.values import (
    MAX_VALUE_BYTES,
    KeyValue,
    KeyValueTable,
    in_range,
)
from rosemaryward.bench.store.wire import (
    INVALID_ARGUMENT,
    StoreRefusalError,
    bytes_field,
    encode_event,
    encode_kv,
    integer_field,
    reply_header,
)

__all__ = ["StoreService", "Counts"]

OUT_OF_RANGE = 11  # gRPC status code
NOT_FOUND = 5  # gRPC status code


class Counts(msgspec.Struct):
    """Numbers of calls and dropped replies since the start."""

    reads: int = 0
    writes: int = 0
    watches: int = 0
    lost_answers: int = 0


class StoreService:
    """Runs gateway calls, which are given as parsed JSON bodies.

    Parameters
    ----------
    writes_per_s, reads_per_s : float
        Calls accepted per second, 0 for no limit. A watch counts as a read.
    """

    def __init__(self, writes_per_s: float = 0.0, reads_per_s: float = 0.0) -> None:
        self.values = KeyValueTable()
        self.faults = Faults()
        self.write_limit = RateLimit(writes_per_s)
        self.read_limit = RateLimit(reads_per_s)
        self.counts = Counts()

    def start_read(self) -> None:
        """Apply the rate limit to a read, count it and revoke expired leases."""
        self.read_limit.take_token()
        self.counts.reads += 1
        self.values.expire()

    def start_write(self) -> None:
        """Apply the rate limit to a write, count it and revoke expired leases."""
        self.write_limit.take_token()
        self.counts.writes += 1
        self.values.expire()

    def answer(self, **fields: Any) -> dict[str, Any]:
        """Return a reply with the header of the current revision."""
        return {"header": reply_header(self.values.revision), **fields}

    def range(self, body: dict[str, Any]) -> dict[str, Any]:
        """Answer ``/v3/kv/range``."""
        self.start_read()
        return self.answer(**self.range_fields(body))

    def range_fields(self, body: dict[str, Any]) -> dict[str, Any]:
        """Return the reply fields of a range request."""
        found = self.values.range(
            bytes_field(body, "key"), bytes_field(body, "range_end")
        )
        count, limit = len(found), integer_field(body, "limit")
        if limit:
            found = found[:limit]
        if body.get("count_only"):
            found = []
        fields: dict[str, Any] = {"count": str(count)}
        if found:
            fields["kvs"] = [encode_kv(item) for item in found]
        if len(found) < count and not body.get("count_only"):
            fields["more"] = True
        return fields

    def put(self, body: dict[str, Any]) -> dict[str, Any]:
        """Answer ``/v3/kv/put``."""
        self.start_write()
        self.check_put(body)
        self.store(body, self.values.next_revision())
        return self.answer()

    def check_put(self, body: dict[str, Any]) -> None:
        """Refuse a value over the size limit or an unknown lease."""
        if len(bytes_field(body, "value")) > MAX_VALUE_BYTES:
            raise StoreRefusalError(
                400, INVALID_ARGUMENT, "etcdserver: request is too large"
            )
        lease = integer_field(body, "lease")
        if lease and lease not in self.values.leases:
            raise StoreRefusalError(
                404, NOT_FOUND, "etcdserver: requested lease not found"
            )

    def store(self, body: dict[str, Any], revision: int) -> None:
        """Store the value of a put request."""
        self.values.put(
            bytes_field(body, "key"),
            bytes_field(body, "value"),
            integer_field(body, "lease"),
            revision,
        )

    def delete_range(self, body: dict[str, Any]) -> dict[str, Any]:
        """Answer ``/v3/kv/deleterange``."""
        self.start_write()
        return self.answer(**self.remove(body, self.values.revision + 1))

    def remove(self, body: dict[str, Any], revision: int) -> dict[str, Any]:
        """Delete the keys of a request as part of the change `revision`."""
        deleted = self.values.delete(
            bytes_field(body, "key"), bytes_field(body, "range_end"), revision
        )
        if deleted:
            self.values.revision = revision
        return {"deleted": str(deleted)}

    def transact(self, body: dict[str, Any]) -> dict[str, Any]:
        """Answer ``/v3/kv/txn``."""
        self.start_write()
        succeeded = all(self.compare_holds(item) for item in body.get("compare", []))
        requests = body.get("success" if succeeded else "failure", [])
        for request in requests:
            if "request_put" in request:
                self.check_put(request["request_put"])
        revision = self.values.revision + 1
        responses = [self.run(request, revision) for request in requests]
        answer = self.answer()
        if succeeded:
            answer["succeeded"] = True
        if responses:
            answer["responses"] = responses
        return answer

    def run(self, request: dict[str, Any], revision: int) -> dict[str, Any]:
        """Run one request of a transaction as part of the change `revision`."""
        if "request_put" in request:
            self.values.revision = revision
            self.store(request["request_put"], revision)
            return {"response_put": self.answer()}
        if "request_range" in request:
            return {
                "response_range": self.answer(
                    **self.range_fields(request["request_range"])
                )
            }
        if "request_delete_range" in request:
            fields = self.remove(request["request_delete_range"], revision)
            return {"response_delete_range": self.answer(**fields)}
        raise StoreRefusalError(
            400, INVALID_ARGUMENT, "unknown request in the transaction"
        )

    def compare_holds(self, compare: dict[str, Any]) -> bool:
        """Return whether one comparison of a transaction holds."""
        item = self.values.get(bytes_field(compare, "key"))
        actual, expected = comparison_operands(item, compare)
        result = compare.get("result", "EQUAL")
        if result not in COMPARISONS:
            raise StoreRefusalError(400, INVALID_ARGUMENT, f"unknown result {result!r}")
        if item is None and compare.get("target") == "VALUE":
            return False
        return COMPARISONS[result](actual, expected)

    def grant(self, body: dict[str, Any]) -> dict[str, Any]:
        """Answer ``/v3/lease/grant``."""
        self.start_write()
        ttl_s = max(integer_field(body, "TTL"), 1)
        lease_id = self.values.grant(ttl_s, integer_field(body, "ID"))
        return self.answer(ID=str(lease_id), TTL=str(ttl_s))

    def keep_alive(self, body: dict[str, Any]) -> dict[str, Any]:
        """Answer ``/v3/lease/keepalive``; without TTL if the lease has expired."""
        self.start_read()
        lease_id = integer_field(body, "ID")
        ttl_s = self.values.keep_alive(lease_id)
        fields = {"ID": str(lease_id)} | ({"TTL": str(ttl_s)} if ttl_s else {})
        return {"result": self.answer(**fields)}

    def revoke(self, body: dict[str, Any]) -> dict[str, Any]:
        """Answer ``/v3/lease/revoke``."""
        self.start_write()
        if not self.values.revoke(integer_field(body, "ID")):
            raise StoreRefusalError(
                404, NOT_FOUND, "etcdserver: requested lease not found"
            )
        return self.answer()

    def watch(self, body: dict[str, Any]) -> AsyncIterator[dict[str, Any]]:
        """Answer ``/v3/watch`` with a stream that ends when the store goes down."""
        self.start_read()
        self.counts.watches += 1
        create = body.get("create_request", {})
        return self.stream(
            bytes_field(create, "key"),
            bytes_field(create, "range_end"),
            integer_field(create, "start_revision") or self.values.revision + 1,
        )

    async def stream(
        self, key: bytes, range_end: bytes, revision: int
    ) -> AsyncIterator[dict[str, Any]]:
        """Yield the changes of a key range from `revision` on."""
        yield {"result": self.answer(watch_id="0", created=True)}
        seen = 0
        while not self.faults.plan.down:
            changed, faults_changed = self.values.changed, self.faults.changed
            fresh, seen = self.values.events[seen:], len(self.values.events)
            events = [
                encode_event(event)
                for event in fresh
                if event.kv.mod_revision >= revision
                and in_range(event.kv.key, key, range_end)
            ]
            if events:
                yield {"result": self.answer(watch_id="0", events=events)}
            await wait_for_first(changed, faults_changed)

    async def expire_leases(self) -> None:
        """Revoke expired leases every second until cancelled."""
        while True:
            await anyio.sleep(1.0)
            self.values.expire()


async def wait_for_first(*events: anyio.Event) -> None:
    """Return once any of the events is set."""
    async with anyio.create_task_group() as tasks:

        async def wait(event: anyio.Event) -> None:
            await event.wait()
            tasks.cancel_scope.cancel()

        for event in events:
            tasks.start_soon(wait, event)


COMPARISONS: dict[str, Callable[[Any, Any], bool]] = {
    "EQUAL": operator.eq,
    "NOT_EQUAL": operator.ne,
    "GREATER": operator.gt,
    "LESS": operator.lt,
}


def comparison_operands(
    item: KeyValue | None, compare: dict[str, Any]
) -> tuple[Any, Any]:
    """Return the stored and the expected operand of a comparison."""
    target = compare.get("target", "VERSION")
    if target == "VALUE":
        return item.value if item else b"", bytes_field(compare, "value")
    fields = {
        "VERSION": "version",
        "CREATE": "create_revision",
        "MOD": "mod_revision",
        "LEASE": "lease",
    }
    if target not in fields:
        raise StoreRefusalError(400, INVALID_ARGUMENT, f"unknown target {target!r}")
    field = fields[target]
    return getattr(item, field) if item else 0, integer_field(compare, field)
