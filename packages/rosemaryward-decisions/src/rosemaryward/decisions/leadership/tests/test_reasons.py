import pytest

from rosemaryward.decisions.errors import PeerError
from rosemaryward.decisions.gateway.tests.fakes import (
    FAR,
    GROUP,
    FakeClock,
    make_endpoint,
    make_record,
)
from rosemaryward.decisions.leadership import supervisor as supervisor_module
from rosemaryward.decisions.leadership.members import MemberRecord
from rosemaryward.decisions.leadership.supervisor import PrimarySupervisor
from rosemaryward.decisions.leadership.tests.fakes import (
    ChangeScenario,
    member,
    status,
)
from rosemaryward.decisions.types import Place

HEALTHY = {
    "i-1": status(1, 5, is_primary=True),
    "i-2": status(1, 5),
    "i-3": status(1, 5),
}


class Supervised:
    """Supervisor of one group that only records the reasons of its changes."""

    def __init__(self, monkeypatch, statuses, reaches=()):
        monkeypatch.setattr(supervisor_module, "ASK_MEMBERS_DELAY_S", 0.0)
        self.scenario = ChangeScenario(dict(statuses))
        self.reasons = []
        self.unreachable = set()
        self.clock = FakeClock()
        self.scenario.leadership.clock = self.clock
        for name in self.scenario.members.members:
            self.scenario.members.mark_alive(name)

        async def reaches_endpoint(member, request):
            if member.name in self.unreachable:
                raise PeerError(f"{member.name} is unreachable")
            return member.name in reaches

        self.scenario.peers.probe_endpoint = reaches_endpoint
        reasons = self.reasons

        class RecordedChange:
            def __init__(self, group, context, clock):
                pass

            async def run(self, reason, old_primary_silent):
                reasons.append(reason)

        monkeypatch.setattr(supervisor_module, "PrimaryChange", RecordedChange)
        self.supervisor = PrimarySupervisor(GROUP, self.scenario.context(), self.clock)
        self.supervisor._track_primary()

    async def check_after(self, *pauses_s):
        for pause_s in pauses_s:
            self.clock.now += pause_s
            await self.supervisor.check()
        return self.reasons


async def test_primary_that_answers_is_kept(monkeypatch):
    """Guards against a change without a reason."""
    run = Supervised(monkeypatch, HEALTHY)
    assert await run.check_after(0.1, 1.0, 5.0) == []


@pytest.mark.parametrize(
    ("is_primary", "reasons"),
    [
        pytest.param(False, ["primary has become a replica"], id="replica"),
        pytest.param(True, [], id="registration-is-older"),
    ],
)
async def test_recorded_primary_that_is_registered_as_a_replica(
    monkeypatch, is_primary, reasons
):
    """Guards against refusing all writes while the record names a replica."""
    run = Supervised(monkeypatch, HEALTHY | {"i-1": status(1, 5, is_primary)})
    run.scenario.directory.observe(make_endpoint("i-1", FAR, claims_primary=False))
    assert await run.check_after(0.1, 0.1) == reasons


@pytest.mark.parametrize(
    ("reaches", "reasons"),
    [
        pytest.param((), ["primary silent"], id="nobody-reaches-it"),
        pytest.param(("proxy-2",), [], id="half-of-the-members-reach-it"),
    ],
)
async def test_silent_primary(monkeypatch, reaches, reasons):
    """Guards against a change caused by a fault of the holder's own links."""
    run = Supervised(
        monkeypatch, {"i-2": HEALTHY["i-2"], "i-3": HEALTHY["i-3"]}, reaches
    )
    assert await run.check_after(0.2) == []
    assert await run.check_after(1.0) == reasons


@pytest.mark.parametrize(
    ("unreachable", "reasons"),
    [
        pytest.param(("proxy-2", "proxy-3", "proxy-4", "proxy-5"), [], id="all"),
        pytest.param(("proxy-2", "proxy-3"), ["primary silent"], id="half"),
    ],
)
async def test_holder_that_reaches_no_member_changes_no_primary(
    monkeypatch, unreachable, reasons
):
    """Guards against changes of healthy primaries by a holder that is cut off."""
    run = Supervised(monkeypatch, {"i-2": HEALTHY["i-2"], "i-3": HEALTHY["i-3"]})
    for number in (3, 4, 5):
        run.scenario.members.observe(member(f"proxy-{number}"), number)
        run.scenario.members.mark_alive(f"proxy-{number}")
    run.unreachable = set(unreachable)
    assert await run.check_after(0.2, 1.0) == reasons


@pytest.mark.parametrize(
    ("prepare", "reason"),
    [
        pytest.param(
            lambda scenario: scenario.directory.observe(
                make_endpoint("i-1", FAR, leaving=True)
            ),
            "primary leaving",
            id="leaving",
        ),
        pytest.param(
            lambda scenario: scenario.directory.endpoints.pop("i-1"),
            "primary gone",
            id="gone",
        ),
        pytest.param(
            lambda scenario: scenario.leadership.observe(
                GROUP, make_record(2, serving=False), 9
            ),
            "unfinished change",
            id="unfinished",
        ),
    ],
)
async def test_reasons_without_a_probe(monkeypatch, prepare, reason):
    """Guards against an endpoint that leaves while it is the primary."""
    run = Supervised(monkeypatch, HEALTHY)
    prepare(run.scenario)
    assert await run.check_after(0.1) == [reason]


async def test_primary_whose_log_no_replica_receives(monkeypatch):
    """Guards against writes that wait for a replica that is cut off."""
    statuses = HEALTHY | {"i-1": status(1, 9, is_primary=True)}
    run = Supervised(monkeypatch, statuses)
    with run.scenario.leadership.track_write(GROUP):
        assert await run.check_after(0.6, 0.3) == []
        reasons = await run.check_after(0.3, 0.3, 0.3)
    assert reasons[0] == "primary cut off from its replicas"


async def test_first_primary_is_the_only_endpoint_that_claims_to_be_it(monkeypatch):
    """Guards against a record of one of two endpoints that claim to be primary."""
    run = Supervised(monkeypatch, HEALTHY | {"i-2": status(1, 5, is_primary=True)})
    leadership = run.scenario.leadership
    leadership.records.clear()
    leadership.revisions.clear()
    run.scenario.writer.revision = 0
    run.scenario.directory.observe(make_endpoint("i-2", FAR, claims_primary=True))
    await run.check_after(0.1)
    assert not leadership.records
    run.scenario.directory.observe(make_endpoint("i-2", FAR))
    await run.check_after(0.1)
    assert leadership.records[GROUP].primary == "i-1"


def test_probing_members_are_few_and_of_all_domains(monkeypatch):
    """Guards against probes by a large fleet that fill the endpoint's slots."""
    run = Supervised(monkeypatch, HEALTHY)
    for number in range(40):
        place = Place("north", f"d{number % 4}")
        record = MemberRecord(f"m{number}", "", f"inc-m{number}", "", place)
        run.scenario.members.observe(record, 100 + number)
        run.scenario.members.mark_alive(record.name)
    probing_members = run.supervisor._probing_members()
    assert len(probing_members) == supervisor_module.MAX_PROBING_MEMBERS
    domains = {member.place.failure_domain for member in probing_members}
    assert domains >= {"d0", "d1", "d2", "d3"}


@pytest.mark.parametrize(
    ("statuses", "expected"),
    [
        pytest.param({"i-1": status(1, 5, True)}, "i-1", id="other-does-not-answer"),
        pytest.param(HEALTHY, "i-1", id="other-is-a-replica"),
        pytest.param(
            {"i-1": status(1, 5, True), "i-2": status(2, 5, True)},
            "i-2",
            id="newest-term",
        ),
        pytest.param(
            {"i-1": status(1, 5, True), "i-2": status(1, 5, True)},
            None,
            id="both-lead-the-same-term",
        ),
        pytest.param({}, None, id="none-answers"),
    ],
)
async def test_first_primary_is_the_claimant_that_leads(
    monkeypatch, statuses, expected
):
    """Guards against an entry of another writer that keeps a group from starting."""
    run = Supervised(monkeypatch, statuses)
    scenario = run.scenario
    scenario.directory.observe(make_endpoint("i-2", FAR, claims_primary=True))
    scenario.leadership.records.clear()
    scenario.leadership.revisions.clear()
    scenario.writer.revision = 0
    await run.check_after(0.1)
    record = scenario.leadership.records.get(GROUP)
    assert (None if record is None else record.primary) == expected
