"""STALE: reads at a replaced primary that only one quiet proxy still reaches."""

import asyncio
import os
import sys
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))

from standins import Broken, Client, Fleet, run_case  # noqa: E402

TROUBLE = os.environ.get("TROUBLE", "1") != "0"
MAX_STALENESS_S = 1.5
ROUTES = {"booking": ("primary", 0), "sheet": ("bounded_staleness", 1500)}
CUT_AFTER_S = 8.0
CUT_S = 5.0
AFTER_S = 5.0
STATEMENTS = 10  # reads of a transaction; with BEGIN and COMMIT 12 statements
PAUSE_S = 0.9


class History:
    def __init__(self):
        self.commits = []  # id, acknowledged at
        self.reads = []  # id, first byte of the read or of its transaction
        self.stopping = False


async def write(proxy, history, record):
    """Single writes on the primary route, one each 50 ms."""
    n = 0
    while not history.stopping:
        try:
            async with Client(proxy, "booking") as client:
                while not history.stopping:
                    n += 1
                    result = await client.query(f"WRITE k{n % 50} v{n}")
                    if not result[1]:
                        history.commits.append((result[0], result[5]))
                    record.write(f"answer {result[0]} {result[1] or 'ok'}: write")
                    await asyncio.sleep(0.05)
        except Broken as error:
            record.write(f"session of {proxy.name} ended: {error}")
            await asyncio.sleep(0.2)


async def read(proxy, history, record):
    """Single reads on the bounded route, one each 100 ms."""
    while not history.stopping:
        try:
            async with Client(proxy, "sheet") as client:
                while not history.stopping:
                    request, code, _, _, sent_at, _ = await client.query("READ k1")
                    if not code:
                        history.reads.append((request, sent_at))
                    record.write(f"answer {request} {code or 'ok'}: read")
                    await asyncio.sleep(0.1)
        except Broken as error:
            record.write(f"session of {proxy.name} ended: {error}")
            await asyncio.sleep(0.2)


async def transact(proxy, history, record, delay_s):
    """Read-only transactions of 12 statements on the bounded route, with pauses."""
    await asyncio.sleep(delay_s)
    while not history.stopping:
        try:
            async with Client(proxy, "sheet") as client:
                while not history.stopping:
                    _, code, _, _, began_at, _ = await client.query("BEGIN READ")
                    for _ in range(STATEMENTS if not code else 0):
                        await asyncio.sleep(PAUSE_S)
                        request, code, _, _, _, _ = await client.query("READ k2")
                        record.write(f"answer {request} {code or 'ok'}: transaction")
                        if code:
                            break
                        history.reads.append((request, began_at))
                    await client.query("ROLLBACK" if code else "COMMIT")
                    await asyncio.sleep(0.1)
        except Broken as error:
            record.write(f"session of {proxy.name} ended: {error}")
            await asyncio.sleep(0.2)


def stale_reads(history, group):
    """Return the reads whose log lacks a commit that their route demands."""
    leader = max(
        (i for i in group.instances if i.role == "primary"), key=lambda i: i.term
    )
    kept = {entry[2] for entry in leader.received}
    stale = []
    for request, first_byte in history.reads:
        ran_at, instance, log = group.reads[request]
        present = set(log)
        missing = [
            (commit, at)
            for commit, at in history.commits
            if at < first_byte - MAX_STALENESS_S and commit in kept - present
        ]
        if missing:
            oldest = min(at for _, at in missing)
            stale.append((request, instance, len(missing), first_byte - oldest))
    return stale


async def main():
    async with Fleet(FOLDER, ROUTES) as fleet:
        record = fleet.record
        if not await fleet.wait_until_ready():
            return 2
        history = History()
        group = fleet.group
        primary = group.instances[0]
        quiet = next(
            p
            for p in fleet.proxies
            if p.zone == primary.zone and p.name != fleet.holder()
        )
        # Four of six proxies lose their path: share 0.65. The holder is among them.
        others = [p for p in fleet.proxies if p is not quiet]
        others.sort(key=lambda p: (p.name != fleet.holder(), p.zone == primary.zone))
        cut = others[:4]
        record.write(f"primary {primary.name}; holder {fleet.holder()}")
        record.write(f"quiet proxy {quiet.name}; cut {[p.name for p in cut]}")
        tasks = [asyncio.create_task(write(p, history, record)) for p in cut]
        tasks += [asyncio.create_task(read(quiet, history, record)) for _ in range(2)]
        tasks += [
            asyncio.create_task(transact(quiet, history, record, n * 1.4))
            for n in range(7)
        ]
        await asyncio.sleep(CUT_AFTER_S)
        if TROUBLE:
            record.write(f"{primary.name} is cut from its replicas and {len(cut)} proxies")
            primary.cut_from = {p.name for p in cut}
            primary.cut_from |= {i.name for i in group.instances if i is not primary}
        await asyncio.sleep(CUT_S)
        primary.cut_from = set()
        record.write("the cut has healed")
        await asyncio.sleep(AFTER_S)
        history.stopping = True
        await asyncio.wait(tasks, timeout=4)
        for task in tasks:
            task.cancel()
        stale = stale_reads(history, group)
        for request, instance, missing, age_s in stale:
            record.write(
                f"STALE {request} at {instance}: lacks {missing} commits, the oldest "
                f"acknowledged {age_s:.3f} s before its first byte"
            )
        record.write(
            f"{len(history.reads)} reads, {len(history.commits)} commits, "
            f"{len(group.promotions)} promotion calls, {len(stale)} stale reads"
        )
        print(f"{len(stale)} stale reads of {len(history.reads)}")
        if not history.reads or not history.commits:
            return 2
        if TROUBLE and not group.promotions:
            return 2
        return 1 if stale else 0


if __name__ == "__main__":
    run_case(main())
