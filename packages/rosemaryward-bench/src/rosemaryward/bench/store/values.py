"""Keys, revisions and leases of the key-value store."""

import anyio
import msgspec

__all__ = ["MAX_VALUE_BYTES", "KeyValue", "Event", "Lease", "KeyValueTable", "in_range"]

MAX_VALUE_BYTES = 1024 * 1024


class KeyValue(msgspec.Struct, frozen=True):
    """A key with its value and the revision numbers of etcd."""

    key: bytes
    value: bytes
    create_revision: int
    mod_revision: int
    version: int
    lease: int = 0


class Event(msgspec.Struct, frozen=True):
    """A change of a key; a deletion carries only the key and the revision."""

    kv: KeyValue
    deleted: bool = False


class Lease(msgspec.Struct):
    """A lease with its time to live and the event loop's time at expiry, in seconds."""

    ttl_s: int
    expires_at: float


def in_range(key: bytes, start: bytes, end: bytes) -> bool:
    """Return whether a key equals `start` or, given an `end`, is in [start, end).

    An `end` of one NUL byte means all keys from `start` on.
    """
    if not end:
        return key == start
    return start <= key and (end == b"\0" or key < end)


class KeyValueTable:
    """Current values, leases and the history of changes."""

    def __init__(self) -> None:
        self.revision = 1
        self.items: dict[bytes, KeyValue] = {}
        self.events: list[Event] = []
        self.leases: dict[int, Lease] = {}
        self.last_lease = 1000
        self.changed = anyio.Event()

    def get(self, key: bytes) -> KeyValue | None:
        """Return the value of a key."""
        return self.items.get(key)

    def range(self, key: bytes, range_end: bytes) -> list[KeyValue]:
        """Return the values of one key or of a key range, sorted by key."""
        if not range_end:
            found = self.items.get(key)
            return [found] if found else []
        names = sorted(name for name in self.items if in_range(name, key, range_end))
        return [self.items[name] for name in names]

    def next_revision(self) -> int:
        """Start a change and return its revision."""
        self.revision += 1
        return self.revision

    def put(self, key: bytes, value: bytes, lease: int, revision: int) -> None:
        """Store a value as part of the change `revision`."""
        before = self.items.get(key)
        item = KeyValue(
            key=key,
            value=value,
            create_revision=before.create_revision if before else revision,
            mod_revision=revision,
            version=before.version + 1 if before else 1,
            lease=lease,
        )
        self.items[key] = item
        self.record(Event(item))

    def delete(self, key: bytes, range_end: bytes, revision: int) -> int:
        """Remove keys as part of the change `revision` and return their number."""
        found = self.range(key, range_end)
        for item in found:
            del self.items[item.key]
            deleted_item = KeyValue(item.key, b"", 0, revision, 0)
            self.record(Event(deleted_item, deleted=True))
        return len(found)

    def record(self, event: Event) -> None:
        """Append a change to the history and wake the watches."""
        self.events.append(event)
        self.changed.set()
        self.changed = anyio.Event()

    def grant(self, ttl_s: int, lease_id: int) -> int:
        """Create a lease and return its id; a `lease_id` of 0 generates one."""
        if not lease_id:
            self.last_lease += 1
            lease_id = self.last_lease
        self.leases[lease_id] = Lease(ttl_s, anyio.current_time() + ttl_s)
        return lease_id

    def keep_alive(self, lease_id: int) -> int:
        """Renew a lease and return its time to live in seconds, 0 if it has expired."""
        self.expire()
        lease = self.leases.get(lease_id)
        if lease is None:
            return 0
        lease.expires_at = anyio.current_time() + lease.ttl_s
        return lease.ttl_s

    def revoke(self, lease_id: int) -> bool:
        """Revoke a lease and delete its keys; return False if it is unknown."""
        if self.leases.pop(lease_id, None) is None:
            return False
        keys = [item.key for item in self.items.values() if item.lease == lease_id]
        revision = self.next_revision() if keys else self.revision
        for key in keys:
            self.delete(key, b"", revision)
        return True

    def expire(self) -> None:
        """Revoke all leases whose time to live has passed."""
        now = anyio.current_time()
        expired = [key for key, lease in self.leases.items() if lease.expires_at <= now]
        for lease_id in expired:
            self.revoke(lease_id)
