"""The store gives some machines no response, and a route is dropped meanwhile.

Four seconds after the store answers such a machine again, the machine is in touch, and
no statement may run on the dropped route any more.
"""

import asyncio
import sys
from pathlib import Path

HERE = Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent / "standins-3"))

import standins  # noqa: E402

PLACES = [("north", "a"), ("north", "b"), ("south", "c")]
PROXIES = 9
TURNED_AWAY = 3  # a share of 0.35
OUTAGE_S = 9.0
DROP_AFTER_S = 4.0
LAST_S = 2.2  # part of the outage in which it may end
STABLE_S = 4.0
MARGIN_S = 0.02
PROBE_S = 0.05
PROBE_UNTIL_S = 5.3
ROUNDS = 7


async def probe(proxy, database, record):
    """Run a read in a session of its own; return when it was sent and the answer."""
    caller = standins.Caller(proxy.address, database, record)
    try:
        first = await caller.open()
        if not first.startswith("READY"):
            return record.now(), first
        sent_at = record.now()
        code, _, signature, *_ = await caller.query("READ a1")
        return sent_at, code or f"ran {signature}"
    except standins.Lost as error:
        return record.now(), f"lost {error}"
    finally:
        caller.close()


async def turn_away(gate, trouble):
    """Turn a machine away for up to `OUTAGE_S`; end soon after one of its calls."""
    if trouble:
        gate.turn_away()
    await asyncio.sleep(OUTAGE_S - LAST_S)
    calls = gate.range_calls
    for _ in range(round(LAST_S / 0.005) - 1):
        if gate.range_calls != calls:
            break
        await asyncio.sleep(0.005)
    gate.admit()


async def watch_machine(proxy, gate, database, record, trouble):
    """Return how late statements ran on the dropped route, after the outage."""
    await turn_away(gate, trouble)
    ended_at = record.now()
    record.write("answered again", proxy.name)
    late = []
    await asyncio.sleep(STABLE_S - 0.2)
    while record.now() < ended_at + PROBE_UNTIL_S:
        sent_at, answer = await probe(proxy, database, record)
        after_s = sent_at - ended_at
        is_ready = await proxy.is_ready()
        record.write(proxy.name, database, f"{after_s:.3f} s after", answer, "ready" if is_ready else "not ready")
        if answer.startswith("ran") and after_s > STABLE_S + MARGIN_S:
            late.append(after_s)
        await asyncio.sleep(PROBE_S)
    return late


async def check(trouble):
    record = standins.Record(HERE / "record.txt")
    fleet = standins.Fleet(record, PLACES, PROXIES)
    group = standins.Group("orders", PLACES, record)
    fleet.groups.append(group)
    await group.start()
    await fleet.store.start()
    task = asyncio.create_task(standins.keep_registered(fleet.store, fleet.groups))
    dropped = [f"drop{n}" for n in range(ROUNDS)]
    fleet.write_config([(d, "orders", "primary", {}) for d in ["keep", *dropped]])
    gates = []
    try:
        for proxy in fleet.proxies:
            gates.append(await fleet.store.open_gate())
            proxy.write_settings(gates[-1].address, group.address)
            proxy.start()
        if not await fleet.wait_ready():
            raise RuntimeError("the proxies are not ready")
        await asyncio.sleep(3.0)
        late = []
        for number, database in enumerate(dropped):
            chosen = [(number * TURNED_AWAY + k) % PROXIES for k in range(TURNED_AWAY)]
            machines = [
                asyncio.create_task(
                    watch_machine(fleet.proxies[n], gates[n], database, record, trouble)
                )
                for n in chosen
            ]
            await asyncio.sleep(DROP_AFTER_S)
            kept = ["keep", *dropped[number + 1 :]]
            fleet.write_config([(d, "orders", "primary", {}) for d in kept])
            for machine in machines:
                late += await machine
        text = (
            f"{len(late)} statements ran on a dropped route by machines in touch, "
            f"the last {max(late, default=0):.2f} s after the store answered again"
        )
        return standins.report(bool(late), text)
    finally:
        task.cancel()
        fleet.stop()


standins.main(check)
