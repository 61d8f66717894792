import anyio
import pytest

from rosemaryward.bench.relay.network import (
    CALLERS,
    Fault,
    Network,
    NetworkSettings,
    Node,
)

A1 = Node("a1", "south", "south-1")
A2 = Node("a2", "south", "south-2")
B1 = Node("b1", "north", "north-1")
SETTINGS = NetworkSettings(
    failure_domains=1.0, regions=8.0, callers=3.0, region_bits_per_s=8.0
)


@pytest.mark.looptime
@pytest.mark.parametrize(
    ("source", "target", "expected_s"),
    [(A1, A1, 0), (A1, A2, 1), (A1, B1, 9), (B1, A1, 9), (CALLERS, A1, 3)],
)
async def test_latency_follows_the_places(source, target, expected_s):
    """Guards against the same latency within and between domains and regions."""
    network = Network(SETTINGS)
    sent = anyio.current_time()
    assert network.arrival(source, target, 1) - sent == pytest.approx(expected_s)


@pytest.mark.looptime
async def test_region_link_is_shared_in_each_direction():
    """Guards against a bandwidth limit per connection instead of per link."""
    network = Network(SETTINGS)
    sent = anyio.current_time()
    times = [network.arrival(A1, B1, 10), network.arrival(A2, B1, 10)]
    times.append(network.arrival(B1, A1, 10))
    assert [time - sent for time in times] == pytest.approx([18, 28, 18])
    assert network.region_bytes == {"south>north": 20, "north>south": 10}


@pytest.mark.parametrize(
    ("fault", "cut"),
    [
        (Fault(source="south", target="north", cut=True), [True, True]),
        (
            Fault(source="a1", target="north-1", cut=True, both_ways=False),
            [True, False],
        ),
        (Fault(source="a2", target="*", cut=True), [False, False]),
        (Fault(source="a1", target="b1", extra_s=1), [False, False]),
    ],
)
def test_cut_selects_nodes_and_directions(fault, cut):
    """Guards against cuts that affect nodes or directions other than the named ones."""
    network = Network(SETTINGS)
    network.set_faults([fault])
    assert [network.is_cut(A1, B1), network.is_cut(B1, A1)] == cut
