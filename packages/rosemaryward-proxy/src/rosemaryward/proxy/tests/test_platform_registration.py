import anyio
import httpx
import msgspec
import pytest

from rosemaryward.decisions.leadership.members import MemberDirectory, MemberRecord
from rosemaryward.decisions.mirror import LeaseLostError
from rosemaryward.platform.fakes.documents import encode_settings
from rosemaryward.platform.fakes.store import FakeStore
from rosemaryward.platform.settings import read_settings
from rosemaryward.proxy.platform_keys import MEMBER_PREFIX
from rosemaryward.proxy.platform_node import PlatformNode
from rosemaryward.proxy.platform_registration import MemberRegistration

RECORD = MemberRecord("proxy-1", "10.0.0.1:1", "inc-1")


class Store:
    """Store that records which keys and leases are removed."""

    def __init__(self):
        self.deleted = []
        self.ended_leases = []

    async def delete(self, key, expected):
        self.deleted.append(key)

    async def revoke_lease(self, lease_id):
        self.ended_leases.append(lease_id)


@pytest.mark.parametrize(
    ("lease", "ended"),
    [
        pytest.param(7, [7], id="lease"),
        pytest.param(0, [], id="lease-was-lost"),
    ],
)
async def test_drain_ends_only_a_lease_that_the_process_has(lease, ended):
    """Guards against ending lease 0, which names the keys without a lease."""
    store = Store()
    registration = MemberRegistration(RECORD, store, MemberDirectory(), None, None)
    registration.lease = lease
    await registration.remove()
    assert store.ended_leases == ended
    assert len(store.deleted) == 1


async def test_process_registers_after_its_predecessor_left_during_the_start(tmp_path):
    """Guards against a process that expects a registration that is gone, for good."""
    path = tmp_path / "host.json"
    path.write_bytes(encode_settings("host-1", ("north", "a"), [1, 2, 3, 4, 5], 6, 7))
    node = PlatformNode(read_settings(path), path)
    server = FakeStore()
    predecessor = msgspec.json.encode(MemberRecord("host-1", "10.0.0.1:1", "before"))
    server.put(MEMBER_PREFIX + "host-1", predecessor)
    app = server.create_app(lambda key, value: value)
    async with node.store, anyio.create_task_group() as tasks:
        await node.store.client.aclose()
        node.store.client = httpx.AsyncClient(transport=httpx.ASGITransport(app))
        await node.reader_directory.readers()
        server.delete(MEMBER_PREFIX + "host-1")
        tasks.start_soon(node.mirror.run)
        await node.mirror.loaded.wait()
        await node.registration._renew(node.mirror)
        tasks.cancel_scope.cancel()
    assert node.registration.lease
    assert MEMBER_PREFIX + "host-1" in server.items


class RenewingStore(Store):
    """Store whose lease ends while the registration is renewed."""

    def __init__(self):
        super().__init__()
        self.renewing = anyio.Event()
        self.ended = anyio.Event()
        self.granted = []

    async def grant_lease(self, ttl_s):
        self.granted.append(ttl_s)
        return len(self.granted)

    async def renew_lease(self, lease_id):
        self.renewing.set()
        await self.ended.wait()
        raise LeaseLostError(str(lease_id))

    async def revoke_lease(self, lease_id):
        await super().revoke_lease(lease_id)
        self.ended.set()


class LoadedMirror:
    """Mirror that has read the store."""

    def __init__(self):
        self.loaded = anyio.Event()
        self.loaded.set()


async def test_process_that_leaves_does_not_register_again():
    """Guards against a registration of an ended process, for which changes wait."""
    store, members = RenewingStore(), MemberDirectory()
    registration = MemberRegistration(RECORD, store, members, None, None)
    members.observe(RECORD, 5)
    registration.lease = 7
    async with anyio.create_task_group() as tasks:
        tasks.start_soon(registration.run, LoadedMirror())
        await store.renewing.wait()
        with anyio.fail_after(5.0):
            await registration.remove()
    assert store.granted == [3.0]  # the initial lease
