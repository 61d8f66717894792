"""STALE: a primary that was replaced is taken for the promoted one."""

import asyncio
import os
import sys
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))

from standins import Broken, Client, Fleet, run_case  # noqa: E402

TROUBLE = os.environ.get("TROUBLE", "1") != "0"
ROUTES = {"booking": ("primary", 0)}
CUT_AFTER_S = 6.0
CUT_S = 5.0
DARK_BEFORE_HEAL_S = 0.4
AFTER_S = 5.0


class History:
    def __init__(self):
        self.commits = []  # id, acknowledged at
        self.reads = []  # id, first byte of the read
        self.stopping = False


async def work(proxy, history, record):
    """Single writes and reads by turns on the primary route, one each 50 ms."""
    n = 0
    while not history.stopping:
        try:
            async with Client(proxy, "booking") as client:
                while not history.stopping:
                    n += 1
                    text = f"WRITE k{n % 50} v{n}" if n % 2 else "READ k1"
                    request, code, _, _, sent_at, at = await client.query(text)
                    record.write(f"answer {request} {code or 'ok'}: {text}")
                    if not code and n % 2:
                        history.commits.append((request, at))
                    elif not code:
                        history.reads.append((request, sent_at))
                    await asyncio.sleep(0.05)
        except Broken as error:
            record.write(f"session of {proxy.name} ended: {error}")
            await asyncio.sleep(0.2)


def stale_reads(history, group):
    """Return the reads whose log lacks a commit acknowledged before their first byte.

    Commits that a promote has rolled back are left out.
    """
    leader = max(
        (i for i in group.instances if i.role == "primary"), key=lambda i: i.term
    )
    kept = {entry[2] for entry in leader.received}
    stale = []
    for request, first_byte in history.reads:
        _, instance, log = group.reads[request]
        present = set(log)
        missing = [
            at
            for commit, at in history.commits
            if at < first_byte and commit in kept and commit not in present
        ]
        if missing:
            stale.append((request, instance, len(missing), first_byte - min(missing)))
    return stale


async def main():
    async with Fleet(FOLDER, ROUTES) as fleet:
        record = fleet.record
        if not await fleet.wait_until_ready():
            return 2
        history = History()
        group = fleet.group
        old = group.instances[0]
        # Four of six proxies lose their path: share 0.65. The holder is among them.
        others = sorted(fleet.proxies, key=lambda p: p.name != fleet.holder())
        cut = {p.name for p in others[:4]}
        record.write(f"primary {old.name}; holder {fleet.holder()}; cut {sorted(cut)}")
        tasks = [
            asyncio.create_task(work(proxy, history, record))
            for proxy in fleet.proxies
            for _ in range(2)
        ]
        await asyncio.sleep(CUT_AFTER_S)
        if TROUBLE:
            record.write(f"{old.name} is cut from its replicas and 4 proxies")
            old.cut_from = cut | {i.name for i in group.instances if i is not old}
        await asyncio.sleep(CUT_S - DARK_BEFORE_HEAL_S)
        new = group.instances[0]
        if TROUBLE:
            new = max(
                (i for i in group.instances if i.role == "primary"),
                key=lambda i: i.term,
            )
            if new is old:
                record.write("the primary was not replaced during the cut")
                return 2
            record.write(f"the new primary {new.name} crashes and is dark")
            new.dark = True
        await asyncio.sleep(DARK_BEFORE_HEAL_S)
        old.cut_from = set()
        record.write(f"the cut of {old.name} has healed")
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
        return 1 if stale else 0


if __name__ == "__main__":
    run_case(main())
