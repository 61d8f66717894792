import pytest

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
from rosemaryward.decisions.leadership.tests.fakes import ChangeScenario, status
from rosemaryward.decisions.types import Place

LEADS = {"i-1": status(1, 5, is_primary=True), "i-2": status(1, 5), "i-3": status(1, 5)}


class Supervised:
    """Supervisor of a group whose changes are only counted."""

    def __init__(self, monkeypatch, statuses, reaches=()):
        monkeypatch.setattr(supervisor_module, "ASK_AFTER_S", 0.0)
        self.parts = ChangeScenario(dict(statuses))
        self.reasons = []
        self.clock = FakeClock()
        self.parts.leadership.clock = self.clock
        for member in self.parts.members.members:
            self.parts.members.mark_alive(member)

        async def reaches_endpoint(member, request):
            return member.name in reaches

        self.parts.peers.probe_endpoint = reaches_endpoint
        reasons = self.reasons

        class CountedChange:
            def __init__(self, group, context, clock):
                pass

            async def run(self, reason, old_primary_silent):
                reasons.append(reason)

        monkeypatch.setattr(supervisor_module, "PrimaryChange", CountedChange)
        self.supervisor = PrimarySupervisor(GROUP, self.parts.context(), self.clock)
        self.supervisor._track()

    async def check_after(self, *pauses_s):
        for pause_s in pauses_s:
            self.clock.now += pause_s
            await self.supervisor.check()
        return self.reasons


async def test_primary_that_answers_is_kept(monkeypatch):
    """Guards against a change without a reason."""
    run = Supervised(monkeypatch, LEADS)
    assert await run.check_after(0.1, 1.0, 5.0) == []


@pytest.mark.parametrize(
    ("reaches", "reasons"),
    [
        pytest.param((), ["primary silent"], id="nobody-reaches-it"),
        pytest.param(("proxy-2",), [], id="half-of-the-members-reach-it"),
    ],
)
async def test_silent_primary(monkeypatch, reaches, reasons):
    """Guards against a change because of the holder's own links."""
    run = Supervised(monkeypatch, {"i-2": LEADS["i-2"], "i-3": LEADS["i-3"]}, reaches)
    assert await run.check_after(0.2) == []
    assert await run.check_after(1.0) == reasons


@pytest.mark.parametrize(
    ("prepare", "reason"),
    [
        pytest.param(
            lambda parts: parts.directory.observe(
                make_endpoint("i-1", FAR, leaving=True)
            ),
            "primary leaving",
            id="leaving",
        ),
        pytest.param(
            lambda parts: parts.directory.endpoints.pop("i-1"),
            "primary gone",
            id="gone",
        ),
        pytest.param(
            lambda parts: parts.leadership.observe(
                GROUP, make_record(2, serving=False), 9
            ),
            "unfinished change",
            id="unfinished",
        ),
    ],
)
async def test_reasons_that_need_no_probe(monkeypatch, prepare, reason):
    """Guards against an endpoint that leaves while it is the primary."""
    run = Supervised(monkeypatch, LEADS)
    prepare(run.parts)
    assert await run.check_after(0.1) == [reason]


async def test_primary_whose_log_no_replica_receives(monkeypatch):
    """Guards against writes that wait for a replica that is cut off."""
    statuses = LEADS | {"i-1": status(1, 9, is_primary=True)}
    run = Supervised(monkeypatch, statuses)
    with run.parts.leadership.track_write(GROUP):
        assert await run.check_after(0.6, 0.3) == []
        reasons = await run.check_after(0.3, 0.3, 0.3)
    assert reasons[0] == "primary cut off from its replicas"


async def test_first_primary_is_the_only_one_that_claims_to_lead(monkeypatch):
    """Guards against a record for one of two endpoints that claim to lead."""
    run = Supervised(monkeypatch, LEADS)
    leadership = run.parts.leadership
    leadership.records.clear()
    leadership.revisions.clear()
    run.parts.writer.revision = 0
    run.parts.directory.observe(make_endpoint("i-2", FAR, claims_primary=True))
    await run.check_after(0.1)
    assert not leadership.records
    run.parts.directory.observe(make_endpoint("i-2", FAR))
    await run.check_after(0.1)
    assert leadership.records[GROUP].primary == "i-1"


def test_witnesses_are_few_and_of_all_domains(monkeypatch):
    """Guards against probes of a large fleet that fill the endpoint's slots."""
    run = Supervised(monkeypatch, LEADS)
    for number in range(40):
        place = Place("north", f"d{number % 4}")
        record = MemberRecord(f"m{number}", "", f"inc-m{number}", "", place)
        run.parts.members.observe(record, 100 + number)
        run.parts.members.mark_alive(record.name)
    witnesses = run.supervisor._witnesses()
    assert len(witnesses) == supervisor_module.WITNESS_LIMIT
    domains = {witness.place.failure_domain for witness in witnesses}
    assert domains >= {"d0", "d1", "d2", "d3"}
