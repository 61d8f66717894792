import anyio
import pytest

from rosemaryward.decisions.errors import EndpointError
from rosemaryward.decisions.gateway import prober
from rosemaryward.decisions.gateway.outcomes import Answer, ConnectionState
from rosemaryward.decisions.gateway.prober import EndpointProber
from rosemaryward.decisions.gateway.tests.fakes import GatewayHarness


class Control:
    """Status requests, which succeed for the endpoints in `answering`."""

    def __init__(self, harness, answering):
        self.harness = harness
        self.answering = answering
        self.asked = []

    async def status(self, endpoint_id):
        self.asked.append(endpoint_id)
        await anyio.sleep(0.02)
        if endpoint_id not in self.answering:
            raise EndpointError(f"{endpoint_id} does not answer")
        answer = Answer(["row"], "-", ConnectionState.IDLE)
        self.harness.directory.pools[endpoint_id].record_answer(answer)


@pytest.mark.parametrize(
    ("failures", "answering", "suspect"),
    [
        pytest.param(1, ["i-1"], False, id="answers-again"),
        pytest.param(5, ["i-1"], False, id="answers-after-many-failures"),
        pytest.param(1, [], True, id="silent"),
    ],
)
async def test_endpoint_is_used_again_once_it_answers(
    monkeypatch, failures, answering, suspect
):
    """Guards against an endpoint that is avoided for seconds after a short cut."""
    monkeypatch.setattr(prober, "PROBE_INTERVAL_S", 0.01)
    harness = GatewayHarness()
    pool = harness.pool(harness.primary)
    for _ in range(failures):
        pool.record_failure("silent")
    control = Control(harness, answering)
    with anyio.move_on_after(0.1):
        await EndpointProber(harness.directory, control, lambda endpoint: True).run()
    assert pool.suspect is suspect
    assert set(control.asked) == {"i-1"}
    assert len(control.asked) <= 5


async def test_only_relays_probe(monkeypatch):
    """Guards against a slow endpoint that gets probes of the whole fleet."""
    monkeypatch.setattr(prober, "PROBE_INTERVAL_S", 0.01)
    harness = GatewayHarness()
    harness.pool(harness.primary).record_failure("slow")
    control = Control(harness, [])
    with anyio.move_on_after(0.1):
        await EndpointProber(harness.directory, control, lambda endpoint: False).run()
    assert control.asked == []
