import pytest

from rosemaryward.decisions.leadership.members import MemberDirectory, MemberRecord
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
