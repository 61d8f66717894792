"""One soak: faults for a time, recovery, and the check of all promises."""

import random
import time
from pathlib import Path

import anyio
import msgspec
import structlog

from rosemaryward.bench.launch.processes import stop_children
from rosemaryward.bench.soak.callers import Callers
from rosemaryward.bench.soak.faults import FaultRecord, Faults
from rosemaryward.bench.soak.fleet import Fleet
from rosemaryward.bench.soak.history import check

__all__ = ["SoakResult", "soak"]

MAX_STALENESS_S = 1.5
START_TIMEOUT_S = 30.0
RECOVERY_S = 20.0
CALM_S = 4.0  # without unplanned faults; then planned work must cut nothing
DRAIN_MARGIN_S = 1.0
FEW_CONNECTIONS = 12  # with six proxies, statements go through relays
MANY_CONNECTIONS = 40

log = structlog.get_logger(__name__)


class SoakResult(msgspec.Struct):
    """What one soak found.

    Parameters
    ----------
    seed : int
    max_connections : int
        Connections that an instance accepted.
    operations, succeeded, faults : int
    broken : list of str
        Broken promises.
    """

    seed: int
    max_connections: int
    operations: int
    succeeded: int
    faults: int
    broken: list[str]


async def soak(
    seed: int, duration_s: float, proxies: int, callers: int, folder: Path, root: Path
) -> SoakResult:
    """Run one soak.

    Parameters
    ----------
    seed : int
        Decides the faults and the callers' statements.
    duration_s : float
        Time during which faults are injected.
    proxies, callers : int
    folder : Path
        Receives settings and logs of the proxies.
    root : Path
        Checkout that is tested.
    """
    draw = random.Random(seed)
    connections = draw.choice((FEW_CONNECTIONS, MANY_CONNECTIONS))
    fleet = Fleet(proxies, connections, folder, root)
    load = Callers(fleet, random.Random(seed + 1))
    faults = Faults(fleet, draw)
    broken: list[str] = []
    try:
        async with anyio.create_task_group() as tasks:
            started = anyio.Event()
            tasks.start_soon(fleet.run, tasks, started)
            await started.wait()
            late = await fleet.wait_until_ready(START_TIMEOUT_S)
            broken += [f"start: {name} is not ready" for name in late]
            async with anyio.create_task_group() as work:
                work.start_soon(load.run, callers)
                await faults.run(duration_s)
                late = await fleet.wait_until_ready(RECOVERY_S)
                broken += [f"recover: {name} is not ready" for name in late]
                recovered_at = time.monotonic()
                await anyio.sleep(1.0)
                load.stopping = True
            broken += _check_recovery(load, recovered_at)
            await anyio.sleep(0.5)  # for the replicas to follow the leader
            for proxy in fleet.proxies:
                proxy.stopping = True
            tasks.cancel_scope.cancel()
    finally:
        children = [proxy.child for proxy in fleet.proxies if proxy.child is not None]
        with anyio.CancelScope(shield=True):
            await stop_children(children)
    broken += check(load.operations, fleet.group, MAX_STALENESS_S)
    broken += _check_drains(load, faults.records)
    said = [s for o in load.operations for s in o.statements]
    return SoakResult(
        seed,
        connections,
        len(load.operations),
        sum(s.succeeded for s in said),
        len(faults.records),
        broken,
    )


def _check_recovery(load: Callers, since: float) -> list[str]:
    """Return what is wrong if statements do not succeed again after all faults."""
    said = [s for o in load.operations for s in o.statements if s.sent_at >= since]
    served = sum(s.succeeded for s in said)
    if not said or served * 2 < len(said):
        return [f"recover: {served} of {len(said)} statements succeeded"]
    return []


def _check_drains(load: Callers, records: list[FaultRecord]) -> list[str]:
    """Return statements that a SIGTERM without unplanned faults around it cut."""
    broken = []
    for proxy, said in load.cut:
        for record in records:
            if record.kind != "terminate" or record.target != proxy.name:
                continue
            if not record.began_at <= said.sent_at <= record.began_at + DRAIN_MARGIN_S:
                continue
            if _is_calm(records, record.began_at - CALM_S, record.ended_at):
                broken.append(f"drain: {said.request_id} {said.text!r} was cut")
    return broken


def _is_calm(records: list[FaultRecord], begin: float, end: float) -> bool:
    return not any(
        not record.planned and record.began_at < end and record.ended_at > begin
        for record in records
    )
