import anyio
import msgspec
import pytest

from rosemaryward.decisions.errors import PeerError
from rosemaryward.decisions.leadership.members import MemberDirectory, MemberRecord
from rosemaryward.decisions.leadership.readers import ReaderAddress, ReaderList
from rosemaryward.decisions.mirror import (
    ChangesReply,
    ChangesRequest,
    Listing,
    StoredValue,
)
from rosemaryward.decisions.types import Place
from rosemaryward.proxy import platform_readers
from rosemaryward.proxy.platform_keys import READERS_KEY
from rosemaryward.proxy.platform_readers import ReaderDirectory

REQUEST = ChangesRequest(0, 0.1)
REPLY = ChangesReply([], [], 12, True, 0.5)
PUBLISHED = ReaderList(
    (
        ReaderAddress("proxy-0", "10.0.0.1:1", "a"),
        ReaderAddress("proxy-1", "10.0.0.2:1", "b"),
    )
)


class Store:
    """Store with the published list, which counts the writes."""

    def __init__(self, value):
        self.value = value
        self.writes = []

    async def list(self, prefix):
        values = [] if self.value is None else [StoredValue(prefix, self.value, 9)]
        return Listing(values, 9)

    async def write(self, key, value, expected):
        self.writes.append((key, value, expected))
        return 10 + len(self.writes)


class Peers:
    """Requests to a reader that refuses the first ones."""

    def __init__(self, refused=0):
        self.refused = refused
        self.asked = []

    async def request_changes(self, member, request):
        self.asked.append(member.address)
        if len(self.asked) <= self.refused:
            raise PeerError("connection refused")
        return REPLY


class Lock:
    def __init__(self, held):
        self.held = held

    def is_held(self):
        return self.held


class Fleet:
    """A proxy of failure domain a, and what it reads from the store."""

    def __init__(self, name="proxy-2", value=None, refused=0, held=False, size=0):
        self.store = Store(value)
        self.peers = Peers(refused)
        self.members = MemberDirectory()
        for number in range(size):
            self.add(number)
        self.refreshed = 0
        self.directory = ReaderDirectory(
            name,
            Place("north", "a"),
            self.store,
            self.members,
            self.peers,
            Lock(held),
            self.refresh_members,
        )

    def add(self, number):
        place = Place("north", "ab"[number % 2])
        record = MemberRecord(
            f"proxy-{number}", "10.0.0.9:1", f"inc-{number}", "", place
        )
        self.members.observe(record, number + 1)
        self.members.mark_alive(record.name)

    async def refresh_members(self):
        self.refreshed += 1


@pytest.mark.parametrize(
    ("name", "value", "readers", "refreshed"),
    [
        pytest.param(
            "proxy-2", msgspec.json.encode(PUBLISHED), ["proxy-0"], 0, id="follower"
        ),
        pytest.param("proxy-0", msgspec.json.encode(PUBLISHED), [], 0, id="reader"),
        pytest.param("proxy-2", None, [], 1, id="not-published"),
        pytest.param("proxy-2", b"{", [], 1, id="unreadable"),
    ],
)
async def test_readers_of_a_process_that_knows_no_member(
    name, value, readers, refreshed
):
    """Guards against a listing of all members by each process of a new fleet."""
    fleet = Fleet(name, value)
    assert [reader.name for reader in await fleet.directory.readers()] == readers
    assert fleet.refreshed == refreshed


async def test_reader_that_still_starts_is_asked_again():
    """Guards against store listings by all that start sooner than their reader."""
    fleet = Fleet(value=msgspec.json.encode(PUBLISHED), refused=2)
    [reader] = await fleet.directory.readers()
    assert await reader.request_changes(REQUEST) == REPLY
    assert fleet.peers.asked == ["10.0.0.1:1"] * 3


async def test_reader_that_is_gone_is_given_up(monkeypatch):
    """Guards against a process that waits for a reader that does not come back."""
    monkeypatch.setattr(platform_readers, "READER_START_WAIT_S", 0.05)
    fleet = Fleet(value=msgspec.json.encode(PUBLISHED), refused=1000)
    [reader] = await fleet.directory.readers()
    with pytest.raises(PeerError):
        await reader.request_changes(REQUEST)


@pytest.mark.parametrize(
    ("held", "size", "writes"),
    [
        pytest.param(True, 14, 1, id="holder"),
        pytest.param(False, 14, 0, id="another-proxy"),
        pytest.param(True, 12, 0, id="small-fleet"),
    ],
)
async def test_holder_of_the_lock_publishes_an_unchanged_list_once(
    monkeypatch, held, size, writes
):
    """Guards against writes by many proxies, or one at each check."""
    monkeypatch.setattr(platform_readers, "PUBLISH_INTERVAL_S", 0.01)
    fleet = Fleet(held=held, size=size)
    with anyio.move_on_after(0.2):
        await fleet.directory.publish()
    assert [key for key, _, _ in fleet.store.writes] == [READERS_KEY] * writes
