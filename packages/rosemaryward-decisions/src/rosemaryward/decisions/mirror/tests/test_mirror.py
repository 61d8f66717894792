import anyio
import pytest

from rosemaryward.decisions.errors import StoreError
from rosemaryward.decisions.mirror import (
    Changes,
    HistoryLostError,
    Listing,
    StoredValue,
    StoreMirror,
    StoreRead,
    make_revision,
)
from rosemaryward.decisions.mirror.timing import WATCH_CATCH_UP_S


class Subscriber:
    """Subscriber that keeps the values and the changes that it received."""

    def __init__(self):
        self.values = {}
        self.changes = []

    def apply_write(self, stored):
        self.values[stored.key] = stored.value
        self.changes.append((stored.key, stored.revision))

    def apply_removal(self, key):
        self.values.pop(key, None)
        self.changes.append((key, None))


class Store:
    """Store whose watches can miss changes or lose their history."""

    def __init__(self):
        self.values = {}
        self.revision = 10
        self.events = []
        self.changed = anyio.Event()
        self.silent = False
        self.history_from = 0
        self.down = False

    def put(self, key, value):
        self.revision += 1
        stored = StoredValue(key, value, self.revision)
        self.values[key] = stored
        self._notify(([stored], []))

    def drop(self, key):
        self.revision += 1
        del self.values[key]
        self._notify(([], [(key, self.revision)]))

    def _notify(self, event):
        self.events.append((self.revision, event))
        self.changed.set()
        self.changed = anyio.Event()

    async def list(self, prefix):
        await anyio.lowlevel.checkpoint()
        if self.down:
            raise StoreError("down")
        found = [v for k, v in self.values.items() if k.startswith(prefix)]
        return Listing(found, self.revision)

    async def watch(self, prefix, after, wait_s):
        while True:
            if self.down:
                raise StoreError("down")
            if after < self.history_from:
                raise HistoryLostError(str(after))
            new = [event for revision, event in self.events if revision > after]
            if new and not self.silent:
                written = [stored for event in new for stored in event[0]]
                removed = [gone for event in new for gone in event[1]]
                return Changes(written, removed, self.revision)
            await self.changed.wait()


async def run_mirror(store, check):
    """Run a mirror during `check`; return its subscriber."""
    subscriber = Subscriber()
    mirror = StoreMirror(store, {"": subscriber}, "c/", lambda sent_at, listing: None)
    async with anyio.create_task_group() as tasks:
        tasks.start_soon(mirror.run)
        await check(mirror, subscriber)
        tasks.cancel_scope.cancel()
    return subscriber


async def until(condition):
    """Wait until a condition holds; fail after about 5 s."""
    for _ in range(500):
        if condition():
            return
        await anyio.sleep(0.01)
    raise AssertionError("condition expected to hold within 5 s, still false")


async def test_changes_and_removals_arrive():
    """Guards against a mirror that misses a removal."""
    store = Store()
    store.put("c/a", b"1")

    async def check(mirror, subscriber):
        await until(lambda: subscriber.values == {"c/a": b"1"})
        store.put("d/b", b"2")
        await until(lambda: "d/b" in subscriber.values)
        store.drop("c/a")
        await until(lambda: subscriber.values == {"d/b": b"2"})

    await run_mirror(store, check)


async def test_silent_watch_is_detected():
    """Guards against a stale configuration after a watch that receives nothing."""
    store = Store()
    store.put("c/a", b"1")

    async def check(mirror, subscriber):
        await until(lambda: "c/a" in subscriber.values)
        store.silent = True
        store.put("d/b", b"2")
        await until(lambda: "d/b" in subscriber.values)

    await run_mirror(store, check)


async def test_reload_after_lost_history_applies_removals():
    """Guards against keeping keys that were removed while the history was lost."""
    store = Store()
    store.put("d/a", b"1")
    store.put("d/b", b"2")

    async def check(mirror, subscriber):
        await until(lambda: len(subscriber.values) == 2)
        store.silent = True
        store.drop("d/a")
        store.history_from = store.revision + 1
        store.silent = False
        store.revision += 1
        store.changed.set()
        store.changed = anyio.Event()
        await until(lambda: subscriber.values == {"d/b": b"2"})

    await run_mirror(store, check)


def test_older_answers_do_not_replace_newer_ones():
    """Guards against a listing that overtakes a watch and restores old values."""
    subscriber = Subscriber()
    mirror = StoreMirror(Store(), {"": subscriber}, "c/", lambda *_: None)
    mirror._apply(Changes([StoredValue("k", b"new", 20)], [], 20))
    mirror._apply(Changes([StoredValue("k", b"old", 15)], [], 15))
    assert subscriber.values == {"k": b"new"}
    assert mirror.revision == 20
    mirror._apply(Changes([], [("k", 25)], 25))
    mirror._apply(Changes([StoredValue("k", b"new", 20)], [], 20))
    assert subscriber.values == {}


async def test_requested_confirmation_does_not_wait():
    """Guards against a restarted proxy that stays unconfirmed for the catch-up time."""
    store = Store()
    confirmed = []
    mirror = StoreMirror(
        store, {}, "c/", lambda sent_at, listing: confirmed.append(sent_at)
    )
    async with anyio.create_task_group() as tasks:
        tasks.start_soon(mirror.run)
        await until(lambda: len(confirmed) == 1)
        asked_at = mirror.clock()
        mirror.confirm_now()
        await until(lambda: len(confirmed) == 2)
        tasks.cancel_scope.cancel()
    assert confirmed[1] - asked_at < WATCH_CATCH_UP_S


async def test_reader_is_asked_after_the_first_own_read():
    """Guards against store reads by every proxy of a large fleet."""
    store = Store()
    confirmed = []
    asked = []

    async def confirm_through_reader():
        asked.append(store.revision)
        return StoreRead(store.revision, 0.0)

    mirror = StoreMirror(
        store,
        {},
        "c/",
        lambda sent_at, listing: confirmed.append(sent_at),
        confirm_through_reader,
    )
    async with anyio.create_task_group() as tasks:
        tasks.start_soon(mirror.run)
        await until(lambda: asked)
        tasks.cancel_scope.cancel()
    assert len(confirmed) == 1


async def test_successive_changes_share_one_watch():
    """Guards against a call by each proxy for each of many changes."""
    store = Store()
    subscriber = Subscriber()
    watches = []
    original = store.watch

    async def watch(*arguments):
        watches.append(arguments)
        return await original(*arguments)

    store.watch = watch
    mirror = StoreMirror(
        store, {"": subscriber}, "c/", lambda *_: None, watch_pause_s=lambda: 0.2
    )
    async with anyio.create_task_group() as tasks:
        tasks.start_soon(mirror.run)
        await until(lambda: watches)
        for number in range(10):
            store.put(f"d/{number}", b"x")
            await anyio.sleep(0.005)
        await until(lambda: len(subscriber.values) == 10)
        tasks.cancel_scope.cancel()
    assert len(watches) <= 3


@pytest.mark.parametrize(
    ("pause_s", "listings"),
    [
        pytest.param(0.0, 2, id="small-fleet-reads-all-at-once"),
        pytest.param(0.01, 1, id="large-fleet-watches-anew-first"),
    ],
)
async def test_watch_behind_the_store(pause_s, listings):
    """Guards against full listings by a large fleet while a link is congested."""
    store = Store()
    everything = []
    original = store.list

    async def list_(prefix):
        if not prefix:
            everything.append(store.revision)
        return await original(prefix)

    store.list = list_
    original_watch = store.watch
    watches = []

    async def watch(*arguments):
        watches.append(arguments)
        if len(watches) == 1:
            await anyio.sleep_forever()  # a connection that stalled
        return await original_watch(*arguments)

    store.watch = watch
    subscriber = Subscriber()
    mirror = StoreMirror(
        store, {"": subscriber}, "c/", lambda *_: None, watch_pause_s=lambda: pause_s
    )
    async with anyio.create_task_group() as tasks:
        tasks.start_soon(mirror.run)
        await until(lambda: watches)
        store.put("d/b", b"2")
        await until(lambda: "d/b" in subscriber.values)
        tasks.cancel_scope.cancel()
    assert len(everything) == listings


async def test_restore_is_reported_before_its_values():
    """Guards against applying the records of a restored store as the newest ones."""
    store = Store()
    store.put("c/a", b"1")
    subscriber = Subscriber()
    seen = []
    mirror = StoreMirror(store, {"": subscriber}, "c/", lambda *_: None)
    mirror.restore_listeners.append(
        lambda generation: seen.append((generation, len(subscriber.changes)))
    )
    await mirror.reload()
    store.revision = make_revision(1, 5)
    store.put("c/a", b"0")
    await mirror._read_confirmed()
    await mirror.reload()
    assert seen == [(1, 1)]
    assert subscriber.changes == [("c/a", 11), ("c/a", make_revision(1, 6))]


class PagedStore(Store):
    """Store that changes between the pages of a listing, and takes time for each."""

    def __init__(self, clock, change):
        super().__init__()
        self.clock = clock
        self.change = change

    async def list(self, prefix):
        first_page = [v for v in self.values.values() if v.key < "n"]
        revision = self.revision
        self.clock.now += 1.0
        self.change(self)
        last_page = [v for v in self.values.values() if v.key >= "n"]
        self.clock.now += 1.0
        return Listing(first_page + last_page, revision)


class SteppedClock:
    def __init__(self):
        self.now = 50.0

    def __call__(self):
        return self.now


def change_first_page(store):
    store.put("a", b"2")


def change_last_page(store):
    store.put("z", b"2")


def remove_from_first_page(store):
    store.drop("a")


def remove_from_last_page(store):
    store.drop("z")


@pytest.mark.parametrize(
    "change",
    [
        change_first_page,
        change_last_page,
        remove_from_first_page,
        remove_from_last_page,
    ],
)
@pytest.mark.parametrize("known_before", [False, True])
async def test_first_listing_dates_what_it_includes(change, known_before):
    """Guards against an age that leaves out a change acknowledged before it.

    A change during the listing is later than the time that the age counts from, and
    the watch that continues after the first page has it.
    """
    clock = SteppedClock()
    store = PagedStore(clock, lambda store: None)
    store.put("a", b"1")
    store.put("z", b"1")
    subscriber = Subscriber()
    mirror = StoreMirror(store, {"": subscriber}, "c/", lambda *_: None, clock=clock)
    assert mirror.age_s() == float("inf")
    if known_before:
        await mirror.reload()
    store.put("b", b"acknowledged before")
    store.drop("b")
    store.put("c", b"acknowledged before")
    asked_at = clock.now
    store.change = change
    await mirror.reload()
    assert mirror.current_at == asked_at
    assert mirror.age_s() == 2.0
    assert subscriber.values["c"] == b"acknowledged before"
    assert "b" not in subscriber.values
    mirror._apply(await store.watch("", mirror.revision, 0.1))
    assert subscriber.values == {k: v.value for k, v in store.values.items()}


async def test_first_read_follows_the_registration():
    """Guards against a first read that cannot show this process, which delays it."""
    store = Store()
    reads = []
    mirror = StoreMirror(
        store, {}, "c/", lambda sent_at, listing: reads.append(listing.revision)
    )
    async with anyio.create_task_group() as tasks:
        tasks.start_soon(mirror.run)
        await mirror.loaded.wait()
        store.put("c/registration", b"1")
        mirror.confirm_now()
        await until(lambda: reads)
        tasks.cancel_scope.cancel()
    assert reads == [store.revision]


async def test_registration_that_a_reader_confirms_needs_no_read():
    """Guards against store reads by every process of a fleet that restarts."""
    store = Store()
    reads = []
    mirror = StoreMirror(
        store, {}, "c/", lambda sent_at, listing: reads.append(sent_at)
    )

    async def confirm_registration():
        return StoreRead(store.revision, 3.0)

    mirror.confirm_registration = confirm_registration
    async with anyio.create_task_group() as tasks:
        tasks.start_soon(mirror.run)
        await mirror.loaded.wait()
        mirror.confirm_now()
        await until(lambda: mirror.last_read is not None)
        tasks.cancel_scope.cancel()
    assert not reads


async def test_read_of_a_reader_counts_as_soon_as_the_mirror_reaches_it():
    """Guards against a process without a proof for the catch-up time."""
    store = Store()
    mirror = StoreMirror(store, {}, "c/", lambda *_: None)
    store.silent = True

    async def confirm_registration():
        return StoreRead(store.revision + 1, 3.0)

    mirror.confirm_registration = confirm_registration
    async with anyio.create_task_group() as tasks:
        tasks.start_soon(mirror.run)
        await mirror.loaded.wait()
        mirror.current_at = 0.0  # the listing is a read as well
        mirror.confirm_now()
        await until(lambda: mirror.last_read is not None)
        mirror._apply(Changes([], [], store.revision + 1))
        assert mirror.current_at == 3.0
        tasks.cancel_scope.cancel()
