import msgspec
import pytest

from rosemaryward.decisions.errors import EndpointError
from rosemaryward.decisions.gateway.tests.fakes import GROUP, FakeClock, make_record
from rosemaryward.decisions.leadership.replication_resume import (
    LATE_PAUSE_S,
    RETRY_INTERVAL_S,
    ReplicationResume,
)
from rosemaryward.decisions.leadership.supervisor import PrimarySupervisor
from rosemaryward.decisions.leadership.tests.fakes import (
    ChangeScenario,
    Control,
    status,
)

PAUSED = msgspec.structs.replace(status(1, 5), held_term=2)
HEALTHY = {
    "i-1": status(1, 5, is_primary=True),
    "i-2": status(1, 5),
    "i-3": status(1, 5),
}


class PausableControl(Control):
    """Control of endpoints that can be paused, and that refuse some operations."""

    def __init__(self, statuses):
        super().__init__(statuses)
        self.refused = set()
        self.on_status = lambda: None

    async def _call(self, operation, endpoint_id):
        answer = await super()._call(operation, endpoint_id)
        if (operation, endpoint_id) in self.refused:
            raise EndpointError(f"{endpoint_id} is busy")
        return answer

    async def status(self, endpoint_id):
        answer = await super().status(endpoint_id)
        self.on_status()
        return answer

    async def hold(self, endpoint_id, term):
        return self._set_held_term(await super().hold(endpoint_id, term), term)

    async def release(self, endpoint_id):
        return self._set_held_term(await super().release(endpoint_id), 0)

    def _set_held_term(self, answer, term):
        endpoint_id = self.calls[-1][1]
        held = msgspec.structs.replace(answer, held_term=term)
        self.statuses[endpoint_id] = held
        return held

    def count(self, operation, endpoint_id="i-3"):
        return self.calls.count((operation, endpoint_id))


class ResumeScenario:
    """Upkeep of the replication of a group with a primary and two replicas."""

    def __init__(self, **statuses):
        by_id = {name.replace("_", "-"): s for name, s in statuses.items()}
        self.scenario = ChangeScenario({})
        self.control = PausableControl(HEALTHY | by_id)
        self.scenario.control = self.control
        self.clock = FakeClock()
        self.resume = ReplicationResume(GROUP, self.scenario.context(), self.clock)

    async def update(self, seconds=0.0, interval_s=0.25):
        """Update at once and then at an interval for a time in seconds."""
        records = self.scenario.leadership.records
        await self.resume.update(records[GROUP])
        for _ in range(int(seconds / interval_s)):
            self.clock.now += interval_s
            await self.resume.update(records[GROUP])

    def is_paused(self, endpoint_id="i-3"):
        return self.control.statuses[endpoint_id].held_term > 0


async def test_replica_that_is_busy_when_a_change_resumes_it_does_not_stay_paused():
    """Guards against writes that wait for a replica that was never resumed."""
    run = ChangeScenario({})
    run.control = PausableControl({"i-2": status(1, 6), "i-3": status(1, 5)})
    run.promoter.control = run.control
    run.control.refused = {("release", "i-3")}
    await run.run(old_primary_silent=True)
    assert run.leadership.records[GROUP].primary == "i-2"
    assert run.control.statuses["i-3"].held_term > 0
    run.control.refused = set()
    del run.directory.endpoints["i-1"]
    await PrimarySupervisor(GROUP, run.context(), FakeClock()).check()
    assert run.control.statuses["i-3"].held_term == 0


@pytest.mark.parametrize("operation", ["status", "release"])
async def test_replica_that_stays_busy_is_asked_again(operation):
    """Guards against giving up on a replica, and against filling its slots."""
    run = ResumeScenario(i_3=PAUSED)
    run.control.refused = {(operation, "i-3")}
    await run.update(seconds=10.0)
    assert run.is_paused()
    assert run.control.count(operation) <= 1 + 10.0 / RETRY_INTERVAL_S
    run.control.refused = set()
    await run.update(seconds=RETRY_INTERVAL_S)
    assert not run.is_paused()


def lose_lock(run):
    run.scenario.lock.held = False


def announce_change(run):
    run.scenario.leadership.observe(GROUP, make_record(2, serving=False), 2)


def change_primary(run):
    run.scenario.leadership.observe(GROUP, make_record(2), 2)


@pytest.mark.parametrize("event", [lose_lock, announce_change])
async def test_replica_is_not_resumed_without_the_lock_or_during_a_change(event):
    """Guards against commits that a replica confirms after its status was read."""
    run = ResumeScenario(i_3=PAUSED)
    event(run)
    await run.update(seconds=5.0)
    assert run.is_paused()
    assert run.control.calls == []


@pytest.mark.parametrize("event", [lose_lock, announce_change, change_primary])
async def test_replica_is_not_resumed_if_its_status_arrives_too_late(event):
    """Guards against ending the pause of a change that has begun meanwhile."""
    run = ResumeScenario(i_3=PAUSED)
    run.control.on_status = lambda: event(run)
    await run.update()
    assert run.control.count("status") == 1
    assert run.control.count("release") == 0


async def test_replica_that_receives_entries_is_asked_twice_after_a_change():
    """Guards against status requests that take slots of busy replicas for nothing."""
    run = ResumeScenario()
    await run.update(seconds=60.0)
    assert run.control.calls.count(("status", "i-1")) == 0
    assert [run.control.count("status", e) for e in ("i-2", "i-3")] == [2, 2]
    change_primary(run)
    await run.update(seconds=60.0)
    assert [run.control.count("status", e) for e in ("i-2", "i-3")] == [4, 4]
    assert run.control.count("release") == 0


async def test_pause_that_takes_effect_after_the_change_is_ended():
    """Guards against a replica that is paused by a call that was held up."""
    run = ResumeScenario()
    await run.update(seconds=5.0)
    run.control.statuses["i-3"] = PAUSED
    await run.update(seconds=LATE_PAUSE_S)
    assert not run.is_paused()
