import anyio
import pytest

from rosemaryward.decisions.clock import boot_time_s
from rosemaryward.decisions.errors import PeerError
from rosemaryward.decisions.mirror import (
    ChangeHistory,
    ChangesReply,
    ChangesRequest,
    FollowerSource,
    HistoryLostError,
    Listing,
    NotLoadedError,
    Reader,
    StoredValue,
    StoreMirror,
    StoreRead,
    make_revision,
)
from rosemaryward.decisions.mirror.follower import (
    HISTORY_MAX_CHANGES,
    READER_MAX_READ_AGE_S,
)
from rosemaryward.decisions.mirror.tests.test_mirror import Store, Subscriber, until

SHORT_WAIT_S = 0.01
CONFIGURATION_LIMIT_S = 5.0  # in which a confirmed configuration is in force
TRANSFER_TIMEOUT_S = 3.0  # that a request of changes may last beyond its wait
LARGE_FLEET_PAUSE_S = 0.3


def value(key, revision):
    return StoredValue(key, b"x", revision)


def make_history(*keys):
    """Return the history of a mirror that loaded some keys at revision 10."""
    history = ChangeHistory()
    for key in keys:
        history.record_write(value(key, 5))
    history.advance(10)
    return history


async def request_changes(history, after):
    """Return the reply of a history without waiting for a change."""
    return await history.answer(ChangesRequest(after, SHORT_WAIT_S), lambda: 0.0)


async def test_changes_after_a_revision():
    """Guards against a follower that misses changes or gets all values each time."""
    history = make_history("a", "b")
    history.record_write(value("a", 11))
    history.record_removal("b", 12)
    history.advance(12)
    reply = await request_changes(history, 10)
    assert reply == ChangesReply([value("a", 11)], [("b", 12)], 12, False, 0.0)


async def test_all_values_replace_changes_that_are_not_kept():
    """Guards against a follower that misses a removal."""
    history = make_history("a", "b")
    assert (await request_changes(history, 7)).complete
    for revision in range(11, 11 + HISTORY_MAX_CHANGES + 1):
        history.record_write(value("a", revision))
    history.advance(11 + HISTORY_MAX_CHANGES)
    reply = await request_changes(history, 10)
    assert reply.complete
    assert {stored.key for stored in reply.written} == {"a", "b"}


async def test_follower_waits_for_a_change():
    """Guards against followers that send requests without a pause."""
    history = make_history("a")
    replies = []

    async def follow():
        replies.append(await history.answer(ChangesRequest(10, 5.0), lambda: 0.0))

    with anyio.fail_after(2):
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(follow)
            await anyio.wait_all_tasks_blocked()
            history.record_write(value("a", 11))
            assert replies == []
            history.advance(11)
    assert replies[0].revision == 11


async def test_mirror_that_is_not_loaded_returns_nothing():
    """Guards against an empty listing that removes a follower's values."""
    with pytest.raises(NotLoadedError):
        await request_changes(ChangeHistory(), 0)


class FollowedProxy:
    """Proxy whose mirror another proxy follows."""

    def __init__(self):
        self.store = Store()
        self.mirror = StoreMirror(self.store, {}, "c/", lambda *_: None)
        self.age_s = 0.0
        self.down = False

    async def ask(self, request):
        if self.down:
            raise PeerError("unreachable")
        return await self.mirror.history.answer(request, lambda: self.age_s)


class UnusedStore(Store):
    """Store that a follower must not call."""

    async def list(self, prefix):
        raise AssertionError("listed")

    async def watch(self, prefix, after, wait_s):
        raise AssertionError("watched")


def make_source(reader, store):
    """Return the source of a follower of one reader."""

    async def readers():
        return [Reader("proxy-1", reader.ask)]

    return FollowerSource(store, readers)


async def test_follower_gets_all_changes_through_its_reader():
    """Guards against a configuration read by every proxy over a narrow link."""
    reader = FollowedProxy()
    reader.store.put("k", b"1")
    subscriber = Subscriber()
    follower = StoreMirror(
        reader.store,
        {"": subscriber},
        "c/",
        lambda *_: None,
        source=make_source(reader, UnusedStore()),
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
        pytest.param({"age_s": READER_MAX_READ_AGE_S + 1.0}, id="without-the-store"),
    ],
)
async def test_follower_without_a_usable_reader_calls_the_store(fault):
    """Guards against a stale configuration from a reader that lost the store."""
    reader = FollowedProxy()
    await reader.mirror.reload()
    for name, setting in fault.items():
        setattr(reader, name, setting)
    store = Store()
    store.put("k", b"1")
    source = make_source(reader, store)
    asked_at = boot_time_s()
    listing = await source.list("")
    assert asked_at <= listing.sent_at <= boot_time_s()
    assert listing == Listing([value_of(store, "k")], store.revision, listing.sent_at)


@pytest.mark.parametrize(
    ("reader_fails", "known"),
    [
        pytest.param(False, False, id="listed-by-a-reader"),
        pytest.param(True, True, id="listed-by-the-store"),
    ],
)
async def test_only_a_listing_by_the_store_is_a_read(reader_fails, known):
    """Guards against an age taken from a reader whose mirror is behind its reads."""
    reader = FollowedProxy()
    await reader.mirror.reload()
    reader.down = reader_fails
    store = Store()
    follower = StoreMirror(
        store, {}, "c/", lambda *_: None, source=make_source(reader, store)
    )
    await follower.reload()
    assert (follower.age_s() < float("inf")) is known


def value_of(store, key):
    return store.values[key]


async def test_follower_without_all_changes_reloads():
    """Guards against a follower that continues after missed changes."""
    reader = FollowedProxy()
    await reader.mirror.reload()
    with pytest.raises(HistoryLostError):
        await make_source(reader, UnusedStore()).watch("", 3, SHORT_WAIT_S)


async def wait_like_a_reader_without_the_store(request):
    """Hold a request as long as it allows, and reply without a change."""
    await anyio.sleep(request.wait_s)
    return ChangesReply([], [], request.after, False, READER_MAX_READ_AGE_S + 1.0)


async def stay_silent(request):
    """Give no reply until the request times out."""
    await anyio.sleep(request.wait_s + TRANSFER_TIMEOUT_S)
    raise PeerError("no reply in time")


@pytest.mark.parametrize("second_reader_fails", [False, True])
@pytest.mark.parametrize(
    "fail", [wait_like_a_reader_without_the_store, stay_silent], ids=["cut", "silent"]
)
async def test_follower_of_a_failed_reader_gets_a_change_in_time(
    fail, second_reader_fails
):
    """Guards against a follower that asks the same failed reader again and again."""
    store = Store()
    healthy = FollowedProxy()
    healthy.store = healthy.mirror.store = healthy.mirror.source = store
    asks = [healthy.ask, healthy.ask]

    async def readers():
        return [
            Reader(f"proxy-{number}", lambda request, n=number: asks[n](request))
            for number in range(2)
        ]

    async def confirm_through_reader():
        return None if second_reader_fails else StoreRead(store.revision, 0.0)

    subscriber = Subscriber()
    follower = StoreMirror(
        store,
        {"": subscriber},
        "c/",
        lambda *_: None,
        confirm_through_reader,
        watch_pause_s=lambda: LARGE_FLEET_PAUSE_S,
        source=FollowerSource(store, readers),
    )
    async with anyio.create_task_group() as tasks:
        tasks.start_soon(healthy.mirror.run)
        tasks.start_soon(follower.run)
        store.put("k", b"1")
        await until(lambda: "k" in subscriber.values)
        asks[:] = [fail, fail if second_reader_fails else healthy.ask]
        store.put("k", b"2")  # ends the request that waits at the healthy reader
        await until(lambda: subscriber.values["k"] == b"2")
        store.put("k", b"3")
        seen = []
        with anyio.move_on_after(CONFIGURATION_LIMIT_S):
            while not seen:
                await anyio.sleep(SHORT_WAIT_S)
                seen += [value for value in subscriber.values.values() if value == b"3"]
        tasks.cancel_scope.cancel()
    assert seen == [b"3"]


@pytest.mark.parametrize(
    ("initial_age_s", "ends_after_s"),
    [
        pytest.param(READER_MAX_READ_AGE_S + 1.0, 0.0, id="lost-before"),
        pytest.param(READER_MAX_READ_AGE_S - 0.2, 0.2, id="lost-while-it-waits"),
    ],
)
async def test_reader_without_the_store_ends_the_wait(initial_age_s, ends_after_s):
    """Guards against a follower that waits for changes that cannot arrive."""
    history = make_history("a")
    began_at = anyio.current_time()
    reply = await history.answer(
        ChangesRequest(10, 5.0),
        lambda: initial_age_s + anyio.current_time() - began_at,
    )
    assert reply.age_s > READER_MAX_READ_AGE_S
    assert anyio.current_time() - began_at == pytest.approx(ends_after_s, abs=0.15)


async def test_reader_waits_for_its_first_read():
    """Guards against followers that call the store while the whole fleet starts."""
    history = make_history("a")
    ages_s = [float("inf"), float("inf"), 0.1]
    reply = await history.answer(
        ChangesRequest(0, 5.0), lambda: ages_s.pop(0) if len(ages_s) > 1 else ages_s[0]
    )
    assert reply.age_s == 0.1


async def test_failure_of_a_reader_elsewhere_ends_the_request_to_it():
    """Guards against waiting for a reader that another request found to be gone."""
    reader = FollowedProxy()
    reader.ask = stay_silent
    store = Store()
    store.put("k", b"1")
    source = make_source(reader, store)
    async with anyio.create_task_group() as tasks:
        with anyio.fail_after(1.0):
            tasks.start_soon(fail_soon, source.failures)
            assert (await source.list("")).revision == store.revision


async def fail_soon(failures):
    await anyio.sleep(SHORT_WAIT_S)
    failures.record("proxy-1", "no reply")


async def test_follower_gets_all_values_of_a_restored_store():
    """Guards against a key of a follower that neither store nor reader has."""
    history = make_history("a")
    restored = make_revision(1, 4)
    history.record_write(value("a", restored))
    history.advance(restored)
    reply = await request_changes(history, 12)
    assert reply.complete
    assert reply.written == [value("a", restored)]
    history.record_write(value("a", restored + 1))
    history.advance(restored + 1)
    assert not (await request_changes(history, restored)).complete
