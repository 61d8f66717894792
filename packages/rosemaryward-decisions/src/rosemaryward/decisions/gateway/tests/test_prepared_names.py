import gc
import tracemalloc

import anyio
import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from rosemaryward.decisions.gateway.pooled_connection import PooledConnection
from rosemaryward.decisions.gateway.prepared_names import (
    MAX_PREPARED_BYTES,
    MAX_PREPARED_STATEMENTS,
)
from rosemaryward.decisions.gateway.statements import PreparedStatement
from rosemaryward.decisions.gateway.tests.fakes import (
    FakeConnection,
    FakeInstance,
    GatewayHarness,
)
from rosemaryward.decisions.relays.tests.fakes import RelayedGatewayHarness

MIB = 1 << 20
HARNESSES = [
    pytest.param(GatewayHarness, id="direct"),
    pytest.param(RelayedGatewayHarness, id="relayed"),
]
SHAPES = st.tuples(st.booleans(), st.sampled_from(["q", "q READ", "q" * 9, "w" * 30]))


def lengths_of(connection):
    return [len(shape) for _, shape in connection.prepared.values()]


@pytest.mark.parametrize(
    ("length", "count"),
    [
        pytest.param(3, MAX_PREPARED_STATEMENTS + 9, id="many"),
        pytest.param(400_000, 12, id="long"),
        pytest.param(MIB - 60, 3, id="longest"),
    ],
)
async def test_prepared_statements_of_a_connection_are_bounded(length, count):
    """Guards against one client whose shapes take the memory of proxy and endpoint."""
    pooled = PooledConnection(FakeConnection(FakeInstance("i-1")))
    for number in range(count):
        shape = f"{number:03d}".ljust(length, "k")
        named = await pooled.prepare(PreparedStatement(False, shape))
        assert pooled.connection.prepared[named.name] == ("READ", shape)
    lengths = lengths_of(pooled.connection)
    assert len(lengths) == len(pooled.prepared) <= MAX_PREPARED_STATEMENTS
    assert sum(lengths) == pooled.prepared.size <= MAX_PREPARED_BYTES


@settings(deadline=None)
@given(st.lists(SHAPES, max_size=40))
def test_names_stay_with_their_statement(sequence):
    """Guards against a name that runs another statement after an eviction."""
    anyio.run(prepare_and_check, sequence)


async def prepare_and_check(sequence):
    pooled = PooledConnection(FakeConnection(FakeInstance("i-1")))
    pooled.prepared.max_statements, pooled.prepared.max_bytes = 3, 40
    for writes, shape in sequence:
        named = await pooled.prepare(PreparedStatement(writes, shape))
        access = "WRITE" if writes else "READ"
        assert pooled.connection.prepared[named.name] == (access, shape)
        assert len(pooled.connection.prepared) <= 3


def clear_fakes(harness):
    """Drop what the endpoint and the link keep, which is not the proxy's memory."""
    if isinstance(harness, RelayedGatewayHarness):
        harness.link_provider.links[-1].sent.clear()
        harness.closed.clear()
        harness = harness.relay
    harness.primary.ran.clear()
    for connection in harness.primary.connections:
        connection.values.clear()
        connection.prepared.clear()


@pytest.mark.parametrize("harness", HARNESSES)
async def test_shapes_and_values_take_no_memory_after_their_statement(harness):
    """Guards against sessions that are gone but fill the memory of the process."""
    made = harness()

    async def serve(number):
        shape = f"{number} ".ljust(100_000, "s")
        texts = (f"SET name {shape}", f"PREPARE s READ {shape}", "EXECUTE s item")
        replies = await made.serve(*texts)
        assert [reply.failure for reply in replies] == [None] * 3

    await serve(0)
    gc.collect()
    tracemalloc.start()
    for number in range(40):
        await serve(number)
        clear_fakes(made)
    gc.collect()
    held, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    assert held < MIB
