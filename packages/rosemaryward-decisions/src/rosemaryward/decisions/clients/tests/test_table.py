import pytest

from rosemaryward.decisions.clients import (
    ALLOWANCE_BYTES,
    ClientLimits,
    ClientState,
    ClientTable,
    derive_limits,
)

MIB = 1 << 20
LIMITS = ClientLimits(connections=4, starting=2, ending=1, memory_bytes=100_000)


class Connection:
    """Connection that records what the table asks of it."""

    def __init__(self, table, state=None):
        self.calls = []
        self.client = table.admit(
            lambda: self.calls.append("abort"), lambda: self.calls.append("discard")
        )
        if self.client is not None and state is not None:
            self.client.enter(state)


@pytest.fixture
def clock():
    return [0.0]


@pytest.fixture
def table(clock):
    return ClientTable(LIMITS, lambda: clock[0])


def connect(table, clock, *states):
    connections = []
    for state in states:
        clock[0] += 1.0
        connections.append(Connection(table, state))
    return connections


def test_smallest_host_has_room_for_its_callers():
    """Guards against defaults that a client inside the published limits meets."""
    limits = derive_limits(memory_mib=200, descriptors=4300)
    assert limits.callers.connections >= 400
    assert limits.peers.connections >= 81 * 2
    assert limits.callers.memory_bytes >= 5 * MIB


@pytest.mark.parametrize("memory_mib", [200, 552])
@pytest.mark.parametrize("descriptors", [4300, 8192])
def test_limits_fit_memory_and_descriptors(memory_mib, descriptors):
    """Guards against limits that together exceed the machine's."""
    limits = derive_limits(memory_mib, descriptors)
    addresses = (limits.callers, limits.peers, limits.control, *[limits.internal] * 2)
    connections = sum(x.connections + x.ending for x in addresses)
    assert connections < descriptors - 200
    held = sum(x.memory_bytes for x in addresses)
    buffers = limits.callers.connections * 96 * 1024
    assert held + buffers < memory_mib * MIB * 0.7


@pytest.mark.parametrize("address", ["peers", "control"])
def test_proxies_that_connect_at_once_are_all_admitted(address, clock):
    """Guards against closing proxies that meet a newly elected relay at once."""
    limits = getattr(derive_limits(memory_mib=200, descriptors=4300), address)
    table = ClientTable(limits, lambda: clock[0])
    connections = [Connection(table) for _ in range(300)]
    assert not any(connection.calls for connection in connections)


def test_oldest_start_up_is_closed_for_a_new_one(table, clock):
    """Guards against silent connections that keep callers from starting."""
    first, second = connect(table, clock, None, None)
    third = Connection(table)
    assert (first.calls, second.calls) == (["abort"], [])
    assert third.client is not None
    assert table.counts == {"starting_closed": 1}


def test_recent_start_ups_are_closed_only_to_make_room(table, clock):
    """Guards against resetting a pool of callers whose start-up messages are sent.

    It also guards against a silent crowd that ends sessions.
    """
    idle, *recent = [
        Connection(table, state) for state in (ClientState.IDLE, None, None, None)
    ]
    assert not any(connection.calls for connection in recent)
    assert Connection(table).client is not None
    assert [c.calls for c in (idle, *recent)] == [[], ["abort"], [], []]
    assert idle.client.state is ClientState.IDLE


def test_longest_idle_connection_is_asked_to_end(table, clock):
    """Guards against closing a connection whose request is outstanding."""
    states = [ClientState.SERVING, *[ClientState.IDLE] * 3]
    connections = connect(table, clock, *states)
    ended = []
    connections[1].client.end = ended.append
    assert Connection(table).client is not None
    assert len(ended) == 1
    assert [c.calls for c in connections] == [[], [], [], []]
    assert connections[1].client.state is ClientState.ENDING


def test_connection_is_refused_while_all_are_in_service(table, clock):
    """Guards against an unbounded number of connections."""
    connections = connect(table, clock, *[ClientState.SERVING] * 5)
    assert Connection(table).client is None
    assert all(not c.calls for c in connections)
    assert table.counts["connection_refused"] == 1


def test_usual_messages_need_no_common_memory(table, clock):
    """Guards against a crowd that takes the memory of ordinary callers."""
    crowd, caller = connect(table, clock, ClientState.SERVING, ClientState.SERVING)
    assert crowd.client.hold(ALLOWANCE_BYTES + LIMITS.memory_bytes)
    assert caller.client.hold(ALLOWANCE_BYTES)
    assert not caller.client.hold(ALLOWANCE_BYTES + 1)


def test_message_that_is_incomplete_for_longest_is_dropped(table, clock):
    """Guards against messages without end that block the complete ones."""
    slow, newer, caller = connect(
        table, clock, ClientState.RECEIVING, ClientState.RECEIVING, ClientState.SERVING
    )
    assert slow.client.hold(60_000)
    assert newer.client.hold(60_000)
    assert caller.client.hold(60_000)
    assert (slow.calls, newer.calls) == (["discard"], [])
    assert table.held_bytes == 2 * (60_000 - ALLOWANCE_BYTES)


def test_own_message_is_refused_if_it_is_the_oldest(table, clock):
    """Guards against a slow message that displaces those of others."""
    slow, newer = connect(table, clock, *[ClientState.RECEIVING] * 2)
    assert newer.client.hold(100_000)
    assert not slow.client.hold(100_000)
    assert not newer.calls


def test_answer_that_is_blocked_for_longest_is_dropped(table, clock):
    """Guards against answers that nobody takes."""
    blocked, other = connect(table, clock, *[ClientState.SENDING] * 2)
    table.force_hold(blocked.client, 100_000)
    table.force_hold(other.client, 100_000)
    assert (blocked.calls, other.calls) == (["abort"], [])
    assert table.held_bytes == 100_000 - ALLOWANCE_BYTES


def test_removed_connection_holds_nothing(table, clock):
    """Guards against memory that stays counted after its connection."""
    (connection,) = connect(table, clock, ClientState.SERVING)
    assert connection.client.keep(50_000)
    assert connection.client.hold(50_000)
    table.remove(connection.client)
    assert table.held_bytes == 0
    assert connection.client.hold(80_000)
    assert table.held_bytes == 0


@pytest.mark.parametrize(
    ("state", "limit_s"),
    [
        (ClientState.STARTING, LIMITS.startup_s),
        (ClientState.RECEIVING, LIMITS.message_s),
        (ClientState.SENDING, LIMITS.answer_s),
    ],
)
def test_expired_connection_is_closed(table, clock, state, limit_s):
    """Guards against connections that stop half-way."""
    expired, idle = connect(table, clock, state, ClientState.IDLE)
    clock[0] += limit_s - 1.0
    table.close_expired()
    assert not expired.calls
    clock[0] += 1.0
    table.close_expired()
    assert (expired.calls, idle.calls) == (["abort"], [])
