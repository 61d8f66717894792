"""One soak: fault injection, recovery and the checks of all guarantees."""

import enum
import random
import time
from pathlib import Path

import anyio
import msgspec
import structlog

from rosemaryward.bench.launch.processes import stop_children
from rosemaryward.bench.soak.callers import Callers
from rosemaryward.bench.soak.endings import check_cuts, check_endings
from rosemaryward.bench.soak.failovers import FailoverFaults
from rosemaryward.bench.soak.faults import FaultRecord, Faults
from rosemaryward.bench.soak.fleet import Fleet
from rosemaryward.bench.soak.history import check
from rosemaryward.bench.soak.maintenance import Maintenance
from rosemaryward.bench.soak.restores import Restores
from rosemaryward.platform.fakes.group import MEAN_STATEMENT_DURATION_S

__all__ = ["FaultSelection", "SoakResult", "soak"]

MAX_STALENESS_S = 1.5
START_TIMEOUT_S = 30.0
RECOVERY_TIMEOUT_S = 20.0
RECOVERY_LIMIT_S = 12.0  # in which callers are to be served again
# A store counts as stable 4 s after a fault; a change is then in force in 3 s.
CONFIGURATION_TIMEOUT_S = 7.0
QUIET_PERIOD_S = 4.0  # without unplanned faults before a checked SIGTERM
DRAIN_START_WINDOW_S = 1.0
FEW_CONNECTIONS = 12  # too few for six proxies, which then use relays
MANY_CONNECTIONS = 40
BALANCED_SHARE = 0.5  # of the runs with series
LONG_STATEMENT_DURATION_S = 0.02  # mean; statements are at work at any moment

log = structlog.get_logger(__name__)


class FaultSelection(enum.Enum):
    """What a soak injects.

    Attributes
    ----------
    SINGLE
        Faults and planned work, drawn one by one.
    MIXED
        The same beside series of planned work.
    PLANNED
        Only series of planned work, so that no unplanned fault excuses a cut
        statement.
    RESTORED
        Faults and planned work, drawn one by one, beside restores of the store.
    CRASHES
        Crashes of instances that overlap, with replicas that receive nothing, and
        kills of proxies.
    FAILOVERS
        Crashes of instances that return under other ids or with other logs, promotion
        calls that are held up, and faults of the failover lock's holder.
    """

    SINGLE = "single"
    MIXED = "mixed"
    PLANNED = "planned"
    RESTORED = "restored"
    CRASHES = "crashes"
    FAILOVERS = "failovers"

    @classmethod
    def of_seed(cls, seed: int) -> "FaultSelection":
        """Return the selection for a seed: every other one has planned work only."""
        return cls.PLANNED if seed % 2 else cls.MIXED


SLOW_RECOVERIES = (
    FaultSelection.RESTORED,
    FaultSelection.CRASHES,
    FaultSelection.FAILOVERS,
)


class SoakResult(msgspec.Struct):
    """Result of one soak.

    Parameters
    ----------
    seed : int
        Seed of the run.
    max_connections : int
        Connections that an instance accepted at most.
    operations, succeeded, faults : int
        Numbers of operations, successful statements and injected faults.
    violations : list of str
        One line for each violated guarantee.
    dropped : list of str
        One line for each statement that a drain neither ran nor answered.
    """

    seed: int
    max_connections: int
    operations: int
    succeeded: int
    faults: int
    violations: list[str]
    dropped: list[str]


async def soak(
    seed: int,
    duration_s: float,
    proxies: int,
    callers: int,
    folder: Path,
    root: Path,
    selection: FaultSelection = FaultSelection.SINGLE,
) -> SoakResult:
    """Run one soak.

    Parameters
    ----------
    seed : int
        Seed of the faults and of the statements of the callers.
    duration_s : float
        Seconds during which faults are started.
    proxies, callers : int
        Number of proxies and of concurrent callers.
    folder : Path
        Folder for the settings and logs of the proxies.
    root : Path
        Checkout to test.
    selection : FaultSelection
        What is injected.
    """
    rng = random.Random(seed)
    connections = rng.choice((FEW_CONNECTIONS, MANY_CONNECTIONS))
    in_series = selection in (FaultSelection.MIXED, FaultSelection.PLANNED)
    mean_statement_s = (
        LONG_STATEMENT_DURATION_S if in_series else MEAN_STATEMENT_DURATION_S
    )
    fleet = Fleet(proxies, connections, mean_statement_s, folder, root)
    is_balanced = in_series and random.Random(seed + 3).random() < BALANCED_SHARE
    load = Callers(fleet, random.Random(seed + 1), in_series, is_balanced)
    is_failovers = selection is FaultSelection.FAILOVERS
    faults = FailoverFaults(fleet, rng) if is_failovers else Faults(fleet, rng)
    if selection is FaultSelection.CRASHES:
        faults.select_crashes()
    maintenance = Maintenance(fleet, faults, random.Random(seed + 2))
    restores = Restores(fleet, faults, random.Random(seed + 4))
    violations: list[str] = []
    try:
        async with anyio.create_task_group() as tasks:
            started = anyio.Event()
            tasks.start_soon(fleet.run, tasks, started)
            await started.wait()
            late = await fleet.wait_until_ready(START_TIMEOUT_S)
            violations += [f"start: {name} is not ready" for name in late]
            async with anyio.create_task_group() as work:
                work.start_soon(load.run, callers)
                async with anyio.create_task_group() as injection:
                    if selection is not FaultSelection.PLANNED:
                        injection.start_soon(faults.run, duration_s)
                    if in_series:
                        injection.start_soon(maintenance.run, duration_s)
                    if selection is FaultSelection.RESTORED:
                        injection.start_soon(restores.run, duration_s)
                injected_until = time.monotonic()
                late = await fleet.wait_until_ready(RECOVERY_TIMEOUT_S)
                violations += [f"recover: {name} is not ready" for name in late]
                late = await fleet.wait_until_configured(CONFIGURATION_TIMEOUT_S)
                violations += [f"configuration: {name} has an older" for name in late]
                if selection in SLOW_RECOVERIES:
                    # A change of primary may wait for members that do not answer.
                    left_s = injected_until + RECOVERY_LIMIT_S - time.monotonic()
                    await anyio.sleep(max(left_s, 0.0))
                recovered_at = time.monotonic()
                await anyio.sleep(1.0)
                load.stopping = True
            violations += _check_recovery(load, recovered_at)
            await anyio.sleep(0.5)  # for the replicas to apply the log of the primary
            for proxy in fleet.proxies:
                proxy.stopping = True
            tasks.cancel_scope.cancel()
    finally:
        children = [proxy.child for proxy in fleet.proxies if proxy.child is not None]
        with anyio.CancelScope(shield=True):
            await stop_children(children)
    runs = [run for proxy in fleet.proxies for run in proxy.runs]
    violations += check_endings(runs)
    violations += check(load.operations, fleet.group, MAX_STALENESS_S)
    violations += _check_drains(load, faults.records)
    cut, dropped = check_cuts(
        load.lost_replies,
        runs,
        {run.request_id for run in fleet.group.executed_statements},
        lambda begin, end: (
            not _has_no_unplanned_fault(faults.records, begin - QUIET_PERIOD_S, end)
        ),
    )
    violations += cut
    statements = [s for o in load.operations for s in o.statements]
    return SoakResult(
        seed,
        connections,
        len(load.operations),
        sum(s.succeeded for s in statements),
        len(faults.records),
        violations,
        dropped,
    )


def _check_recovery(load: Callers, since: float) -> list[str]:
    """Return a violation unless half of the statements since then succeeded."""
    statements = [
        s for o in load.operations for s in o.statements if s.sent_at >= since
    ]
    served = sum(s.succeeded for s in statements)
    if not statements or served * 2 < len(statements):
        return [f"recover: {served} of {len(statements)} statements succeeded"]
    return []


def _check_drains(load: Callers, records: list[FaultRecord]) -> list[str]:
    """Find statements that a SIGTERM interrupted without an unplanned fault nearby."""
    violations = []
    for proxy, statement in load.unanswered:
        for record in records:
            if record.kind != "terminate" or record.target != proxy.name:
                continue
            if (
                not record.began_at
                <= statement.sent_at
                <= record.began_at + DRAIN_START_WINDOW_S
            ):
                continue
            if _has_no_unplanned_fault(
                records, record.began_at - QUIET_PERIOD_S, record.ended_at
            ):
                violations.append(
                    f"drain: {statement.request_id} {statement.text!r} was cut"
                )
    return violations


def _has_no_unplanned_fault(
    records: list[FaultRecord], begin: float, end: float
) -> bool:
    return not any(
        not record.planned and record.began_at < end and record.ended_at > begin
        for record in records
    )
