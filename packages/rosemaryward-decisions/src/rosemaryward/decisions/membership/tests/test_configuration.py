import random

import anyio
import pytest
from hypothesis import given, settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule
from msgspec.structs import replace

from rosemaryward.decisions.document.schema import (
    DatabaseSection,
    Document,
    InstanceSection,
)
from rosemaryward.decisions.document.stored import (
    StoredDocument,
    document_key,
    encode_stored,
)
from rosemaryward.decisions.errors import ConflictError, DocumentError, StoreError
from rosemaryward.decisions.interfaces import VersionedValue
from rosemaryward.decisions.membership import ConfigurationReplica, MembershipService
from rosemaryward.decisions.membership.delta import apply_delta, make_delta
from rosemaryward.decisions.membership.tests.cluster import (
    Cluster,
    Network,
    make_member,
)

KEY = document_key("trial")
virtual = pytest.mark.looptime(noop_cycles=0)


def stored(version, environment="trial", author="a"):
    document = Document(environment=environment, regions={}, databases={}, tenants={})
    return StoredDocument(
        version=version, author=author, comment="", changed_at="", document=document
    )


class FakeStore:
    """Store that can be down and can lose the answer to a successful write."""

    def __init__(self):
        self.value = None
        self.revision = 0
        self.down = False
        self.lose_answers = False
        self.calls = 0
        self.watches = 0
        self.changed = anyio.Event()

    def put(self, document):
        self.revision += 1
        self.value = VersionedValue(KEY, encode_stored(document), self.revision)
        self.changed.set()
        self.changed = anyio.Event()

    async def get(self, key):
        self.calls += 1
        await anyio.sleep(0.005)
        if self.down:
            raise StoreError("down")
        return self.value

    async def compare_and_swap(self, key, value, version):
        await anyio.sleep(0.005)
        if (self.value.version if self.value else 0) != version:
            raise ConflictError("newer")
        self.revision += 1
        self.value = VersionedValue(key, value, self.revision)
        self.changed.set()
        self.changed = anyio.Event()
        if self.lose_answers:
            raise StoreError("answer lost")
        return self.revision

    async def watch(self, key):
        self.watches += 1
        self.calls += 1
        try:
            while True:
                if self.down:
                    raise StoreError("down")
                if self.value is not None:
                    yield self.value
                with anyio.move_on_after(1.0):
                    await self.changed.wait()
        finally:
            self.watches -= 1


class ConfigurationCluster(Cluster):
    """Cluster whose members also run configuration replicas."""

    def __init__(self, network=None, store=None):
        super().__init__(network)
        self.store = store or FakeStore()
        self.replicas = {}
        self.history = {}

    async def enter(self, number, service, stack):
        replica = ConfigurationReplica(
            "trial", service.local.host_id, self.store, service, random.Random(number)
        )
        self.replicas[number] = replica
        seen = self.history.setdefault(number, [])
        replica.subscribe(lambda document: seen.append(document.version))
        await stack.enter_async_context(replica)

    def versions(self):
        return {self.replicas[number].version for number in self.services}

    def all_at(self, version):
        return lambda: self.versions() == {version}


@virtual
@pytest.mark.parametrize("loss", [0.0, 0.1])
async def test_change_reaches_all_members(loss):
    """Guards against a change that takes longer than seconds to reach all members."""
    async with ConfigurationCluster(Network(loss=loss)) as cluster:
        cluster.store.put(stored(1))
        await cluster.start_all(6, settle_s=10)
        assert cluster.versions() == {1}
        assert cluster.store.watches == 3
        for version in range(2, 12):
            cluster.store.put(stored(version))
            await cluster.until(cluster.all_at(version), 2.0)
            await anyio.sleep(1)
        assert all(seen == sorted(seen) for seen in cluster.history.values())


@virtual
async def test_store_down():
    """Guards against a start or a later change that fails after a store outage."""
    async with ConfigurationCluster() as cluster:
        cluster.store.put(stored(1))
        await cluster.start_all(5, settle_s=10)
        cluster.store.down = True
        await anyio.sleep(30)
        await cluster.start(5)
        await cluster.until(cluster.all_at(1), 1.0)
        assert not all(r.store_reachable for r in cluster.replicas.values())
        cluster.store.down = False
        cluster.store.put(stored(2))
        await cluster.until(cluster.all_at(2), 10.0)


@virtual
async def test_store_down_at_the_first_start():
    """Guards against a proxy that stops trying when no member has a document yet."""
    async with ConfigurationCluster() as cluster:
        cluster.store.down = True
        await cluster.start_all(3, settle_s=20)
        assert cluster.versions() == {0}
        cluster.store.down = False
        cluster.store.put(stored(1))
        await cluster.until(cluster.all_at(1), 10.0)


@virtual
async def test_rebuilt_store_does_not_restore_an_older_document():
    """Guards against applying an older document from a store restored by snapshot."""
    async with ConfigurationCluster() as cluster:
        cluster.store.put(stored(7))
        await cluster.start_all(6, settle_s=10)
        cluster.store.revision = 0
        cluster.store.put(stored(5))
        await anyio.sleep(60)
        assert cluster.versions() == {7}
        assert sum(r.stale_documents for r in cluster.replicas.values()) > 0
        cluster.store.put(stored(8))
        await cluster.until(cluster.all_at(8), 2.0)


@virtual
async def test_watchers_are_replaced():
    """Guards against changes that go unnoticed after all watchers died."""
    async with ConfigurationCluster() as cluster:
        cluster.store.put(stored(1))
        await cluster.start_all(6, settle_s=10)
        watching = [n for n, r in cluster.replicas.items() if r.is_watcher()]
        assert len(watching) == 3
        for number in watching:
            cluster.kill(number)
        await anyio.sleep(4)
        assert cluster.store.watches == 3
        cluster.store.put(stored(2))
        await cluster.until(cluster.all_at(2), 2.0)


@virtual
async def test_concurrent_writes_with_lost_answers():
    """Guards against replicas that diverge after conflicting changes."""
    async with ConfigurationCluster() as cluster:
        cluster.store.put(stored(1))
        await cluster.start_all(6, settle_s=10)
        cluster.store.lose_answers = True

        async def change(author):
            for _ in range(5):
                found = await cluster.store.get(KEY)
                replica = cluster.replicas[0]
                document = stored(replica.version + 1, author=author)
                try:
                    await cluster.store.compare_and_swap(
                        KEY, encode_stored(document), found.version
                    )
                except StoreError:
                    await anyio.sleep(0.3)

        async with anyio.create_task_group() as tasks:
            for author in "ab":
                tasks.start_soon(change, author)
        await anyio.sleep(3)
        assert len({r.data for r in cluster.replicas.values()}) == 1
        assert cluster.replicas[0].data == cluster.store.value.value


@virtual
async def test_partition_during_a_change():
    """Guards against members that keep an old document after a partition heals."""
    async with ConfigurationCluster() as cluster:
        cluster.store.put(stored(1))
        await cluster.start_all(6, settle_s=10)
        for number in (2, 5):  # all members of the second region
            cluster.replicas[number].store = FakeStore()
            cluster.replicas[number].store.down = True
        cluster.network.partition(cluster.hosts({2, 5}), cluster.hosts({0, 1, 3, 4}))
        await anyio.sleep(20)
        cluster.store.put(stored(2))
        await anyio.sleep(20)
        cluster.network.cut_links.clear()
        await cluster.until(cluster.all_at(2), 10.0)


@virtual
async def test_large_cluster():
    """Guards against store load or delays that grow with the cluster."""
    async with ConfigurationCluster() as cluster:
        cluster.store.put(stored(1))
        for number in range(100):
            await cluster.start(number)
        await cluster.until(cluster.all_at(1), 20.0)
        await anyio.sleep(10)
        cluster.store.calls = 0
        cluster.store.put(stored(2))
        await cluster.until(cluster.all_at(2), 3.0)
        await anyio.sleep(20)
        assert cluster.store.calls < 10


def make_replica():
    member = make_member(0)
    service = MembershipService(member, Network().channel("x"), random.Random(1))

    def validate(document):
        if document.author == "bad":
            raise DocumentError("author", "is refused here")

    return ConfigurationReplica(
        "trial", "p0", FakeStore(), service, random.Random(1), validate
    )


@virtual
@pytest.mark.parametrize(
    "data",
    [
        b"",
        b"\xff\xfe",
        b"{}",
        encode_stored(stored(9))[:-2],
        encode_stored(stored(9, environment="production")),
        encode_stored(stored(9, author="bad")),
        encode_stored(stored(10**30)),
        encode_stored(stored(-1)),
    ],
)
async def test_invalid_document_is_rejected(data):
    """Guards against applying a damaged document or one of another environment."""
    replica = make_replica()
    assert replica.offer(encode_stored(stored(3)))
    assert not replica.offer(data)
    assert (replica.version, replica.rejected) == (3, 1)
    assert replica.offer(encode_stored(stored(10)))


def stored_large(version, changed=()):
    sections = {
        f"d{n}": DatabaseSection(
            tenant="t",
            instances={
                f"i{k}": InstanceSection(
                    host="10.0.0.1", port=n + 1, region="r", failure_domain="a"
                )
                for k in range(3)
            },
            slots=9 if n in changed else 1,
            connections=1,
        )
        for n in range(200)
    }
    document = stored(version)
    return replace(document, document=replace(document.document, databases=sections))


def test_delta_is_small_and_exact():
    """Guards against sending the whole document over the billed link per change."""
    base, data = (
        encode_stored(stored_large(1)),
        encode_stored(stored_large(2, changed={50, 120})),
    )
    delta = make_delta(base, data)
    assert apply_delta(base, delta) == data
    assert len(delta) < len(data) / 50
    assert apply_delta(base[::2], delta) is None
    assert apply_delta(base, delta[:-3]) is None
    assert apply_delta(base, b"\x92\x91\x93\xa1c\x01\xcd\xff\xff\xc4\x00") is None


@settings(derandomize=True, deadline=None)
@given(base=st.binary(max_size=60), data=st.text("{}a,", max_size=60))
def test_delta_of_any_texts(base, data):
    """Guards against texts that a delta rebuilds wrongly."""
    data = data.encode()
    for start in (base, data[::-1], data[3:] + data[:9]):
        assert apply_delta(start, make_delta(start, data)) == data


@virtual
async def test_pull_fetches_the_delta():
    """Guards against full pulls by proxies that are only one version behind."""
    async with ConfigurationCluster() as cluster:
        cluster.store.put(stored_large(1))
        await cluster.start_all(6, settle_s=10)
        cluster.network.bytes = 0
        cluster.store.put(stored_large(2, changed={7}))
        await cluster.until(cluster.all_at(2), 2.0)
        assert cluster.network.bytes < len(cluster.store.value.value)
        assert cluster.replicas[5].data == cluster.store.value.value
        assert sum(r.mismatched_deltas for r in cluster.replicas.values()) == 0
        cluster.replicas[3].data = b"{}"  # the delta does not match this base
        cluster.replicas[3].store = FakeStore()
        cluster.store.put(stored_large(3, changed={8}))
        await cluster.until(cluster.all_at(3), 2.0)


class ReplicaMachine(RuleBasedStateMachine):
    """The replica ends at the highest valid version and never turns back."""

    def __init__(self):
        super().__init__()
        self.replica = make_replica()
        self.applied = []
        self.replica.subscribe(lambda document: self.applied.append(document.version))
        self.highest = 0

    @rule(version=st.integers(0, 30), author=st.sampled_from(["a", "b", "bad"]))
    def offer(self, version, author):
        async def run():
            return self.replica.offer(encode_stored(stored(version, author=author)))

        accepted = anyio.run(run)
        valid = author != "bad"
        assert accepted == (valid and version > self.highest)
        if valid:
            self.highest = max(self.highest, version)

    @rule(data=st.binary(max_size=20))
    def garbage(self, data):
        async def run():
            return self.replica.offer(data)

        assert not anyio.run(run)

    @invariant()
    def never_reverts(self):
        assert self.replica.version == self.highest
        assert self.applied == sorted(set(self.applied))


TestReplicaMachine = ReplicaMachine.TestCase
TestReplicaMachine.settings = settings(
    derandomize=True, max_examples=25, stateful_step_count=15, deadline=None
)
