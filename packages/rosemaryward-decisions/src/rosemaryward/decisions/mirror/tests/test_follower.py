import anyio
import pytest

from rosemaryward.decisions.errors import PeerError
from rosemaryward.decisions.mirror import (
    ChangeHistory,
    ChangesReply,
    ChangesRequest,
    FollowerSource,
    HistoryLostError,
    Listing,
    NotLoadedError,
    StoredValue,
    StoreMirror,
)
from rosemaryward.decisions.mirror.follower import EVENT_LIMIT, READ_AGE_LIMIT_S
from rosemaryward.decisions.mirror.tests.test_mirror import Store, Subscriber, until

AT_ONCE_S = 0.01


def value(key, revision):
    return StoredValue(key, b"x", revision)


def make_history(*keys):
    """Return the history of a mirror that loaded some keys at revision 10."""
    history = ChangeHistory()
    for key in keys:
        history.record_write(value(key, 5))
    history.advance(10)
    return history


async def changes(history, after):
    return await history.answer(ChangesRequest(after, AT_ONCE_S), 0.0)


async def test_changes_after_a_revision():
    """Guards against a follower that gets too little, or everything each time."""
    history = make_history("a", "b")
    history.record_write(value("a", 11))
    history.record_removal("b", 12)
    history.advance(12)
    reply = await changes(history, 10)
    assert reply == ChangesReply([value("a", 11)], [("b", 12)], 12, False, 0.0)


async def test_changes_that_are_not_kept_are_replaced_by_all_values():
    """Guards against a follower that misses a removal."""
    history = make_history("a", "b")
    assert (await changes(history, 7)).complete
    for revision in range(11, 11 + EVENT_LIMIT + 1):
        history.record_write(value("a", revision))
    history.advance(11 + EVENT_LIMIT)
    reply = await changes(history, 10)
    assert reply.complete
    assert {stored.key for stored in reply.written} == {"a", "b"}


async def test_follower_waits_for_a_change():
    """Guards against followers that ask without a pause."""
    history = make_history("a")
    replies = []

    async def follow():
        replies.append(await history.answer(ChangesRequest(10, 5.0), 0.0))

    with anyio.fail_after(2):
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(follow)
            await anyio.wait_all_tasks_blocked()
            history.record_write(value("a", 11))
            assert replies == []
            history.advance(11)
    assert replies[0].revision == 11


async def test_mirror_without_values_tells_nothing():
    """Guards against an empty listing that removes what a follower knows."""
    with pytest.raises(NotLoadedError):
        await changes(ChangeHistory(), 0)


class Reader:
    """Mirror of a store that another one follows."""

    def __init__(self):
        self.store = Store()
        self.mirror = StoreMirror(self.store, {}, "c/", lambda *_: None)
        self.age_s = 0.0
        self.down = False

    async def ask(self, request):
        if self.down:
            raise PeerError("unreachable")
        return await self.mirror.history.answer(request, self.age_s)


class Unused(Store):
    """Store that a follower must not ask."""

    async def list(self, prefix):
        raise AssertionError("listed")

    async def watch(self, prefix, after, wait_s):
        raise AssertionError("watched")


def follow(reader, store):
    async def readers():
        return [reader.ask]

    return FollowerSource(store, readers)


async def test_follower_learns_everything_through_its_reader():
    """Guards against a configuration that each proxy reads over a narrow link."""
    reader = Reader()
    reader.store.put("k", b"1")
    subscriber = Subscriber()
    follower = StoreMirror(
        reader.store,
        {"": subscriber},
        "c/",
        lambda *_: None,
        source=follow(reader, Unused()),
    )
    async with anyio.create_task_group() as tasks:
        tasks.start_soon(reader.mirror.run)
        tasks.start_soon(follower.run)
        await until(lambda: subscriber.values == {"k": b"1"})
        reader.store.put("k", b"2")
        await until(lambda: subscriber.values == {"k": b"2"})
        reader.store.drop("k")
        await until(lambda: subscriber.values == {})
        tasks.cancel_scope.cancel()


@pytest.mark.parametrize(
    "fault",
    [
        pytest.param({"down": True}, id="unreachable"),
        pytest.param({"age_s": READ_AGE_LIMIT_S + 1.0}, id="without-the-store"),
    ],
)
async def test_follower_of_a_lost_reader_asks_the_store(fault):
    """Guards against an old configuration behind a reader that lost the store."""
    reader = Reader()
    await reader.mirror.reload()
    for name, setting in fault.items():
        setattr(reader, name, setting)
    store = Store()
    store.put("k", b"1")
    source = follow(reader, store)
    assert (await source.list("")) == Listing([value_of(store, "k")], store.revision)


def value_of(store, key):
    return store.values[key]


async def test_follower_without_all_changes_loads_again():
    """Guards against a follower that goes on with a gap."""
    reader = Reader()
    await reader.mirror.reload()
    with pytest.raises(HistoryLostError):
        await follow(reader, Unused()).watch("", 3, AT_ONCE_S)
