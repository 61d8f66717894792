"""Another writer leaves odd entries among those of the instances; a primary leaves.

Each odd entry is complete but for a start time that is too large a number. The primary
reports that it is draining just after them.
"""

import asyncio
import json
import sys
from pathlib import Path

HERE = Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent / "standins-3"))

import standins  # noqa: E402

PLACES = [("north", "a"), ("north", "b"), ("south", "c")]
PROXIES = 6
ODD_ENTRIES = 9  # as many as three services of three instances
NUMBER_DIGITS = 400
DRAIN_S = 7.0
ENDS_AFTER_S = 14.0
PROBE_S = 0.1


def odd_entry(number):
    """Return an entry of an instance of an unknown service."""
    entry = {
        "service": "other",
        "address": f"127.0.0.1:{30_000 + number}",
        "zone": "a",
        "version": "1",
        "slots": 5,
        "state": "ready",
        "warmup_left_ms": 0,
        "sequence": 1,
        "born": 10**NUMBER_DIGITS,
        "db_role": "replica",
    }
    return json.dumps(entry).encode()


async def press(proxy, record):
    """Run reads in sessions of their own until cancelled."""
    while True:
        caller = standins.Caller(proxy.address, "keep", record)
        try:
            if (await caller.open()).startswith("READY"):
                await caller.query("READ a1")
        except standins.Lost:
            pass
        finally:
            caller.close()
        await asyncio.sleep(PROBE_S)


async def check(trouble):
    record = standins.Record(HERE / "record.txt")
    fleet = standins.Fleet(record, PLACES, PROXIES)
    group = standins.Group("orders", PLACES, record)
    fleet.groups.append(group)
    await group.start()
    await fleet.store.start()
    tasks = [asyncio.create_task(standins.keep_registered(fleet.store, fleet.groups))]
    fleet.write_config([("keep", "orders", "primary", {})])
    try:
        for proxy in fleet.proxies:
            proxy.write_settings(fleet.store.address, group.address)
            proxy.start()
        if not await fleet.wait_ready():
            raise RuntimeError("the proxies are not ready")
        await asyncio.sleep(4.5)
        tasks += [asyncio.create_task(press(p, record)) for p in fleet.proxies]
        await asyncio.sleep(1.0)
        if trouble:
            fleet.store.put_all(
                {f"servers/db-{n}": odd_entry(n) for n in range(ODD_ENTRIES)}
            )
            record.write(ODD_ENTRIES, "odd entries written")
        await asyncio.sleep(0.1)
        leaving = group.instances[0]
        leaving.state = "draining"
        fleet.store.put(f"servers/{leaving.id}", leaving.registration())
        acknowledged_at = record.now()
        record.write("draining acknowledged", leaving.id)
        await asyncio.sleep(ENDS_AFTER_S)
        leaving.crash()
        late = [
            run[0] - acknowledged_at
            for run in group.runs
            if run[1] == leaving.id and run[0] > acknowledged_at + DRAIN_S
        ]
        text = (
            f"{len(late)} requests ran at the leaving instance later than {DRAIN_S:g} s "
            f"after the acknowledgement, the last one {max(late, default=0):.2f} s after"
        )
        return standins.report(bool(late), text)
    finally:
        for task in tasks:
            task.cancel()
        fleet.stop()


standins.main(check)
