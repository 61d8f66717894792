"""A transaction that is open at SIGTERM ends before half of the grace period is over."""

import asyncio
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))

from bed import *  # noqa: E402, F403

GRACE_S = 6.0  # `grace_s` of the settings
COMMITS_S = (2.75, 2.8, 2.85)  # after the SIGTERM; half of the period is 3.0


async def transact(fleet, proxy, number, started_at, commit_after_s):
    """Run one transaction; return how and when it ended, in seconds after SIGTERM."""
    client = Client(fleet.record, f"client-{number}")
    if not await client.open(proxy.front, "shop"):
        raise RuntimeError("no session")
    answers = [await client.ask("BEGIN"), await client.ask(f"WRITE item{number} first")]
    if any(answer is None or answer.code != "OK" for answer in answers):
        raise RuntimeError("the transaction did not open")
    await started_at.wait()
    begun = started_at.at
    steps = [(0.4 * n, f"WRITE item{number} data{n}") for n in range(1, 7)]
    for after_s, text in [*steps, (commit_after_s, "COMMIT")]:
        message = await client.rest(begun + after_s)
        if message is not None:
            client.close()
            return f"ended before its {text}", now() - begun, message
        answer = await client.ask(text)
        code = "no answer" if answer is None else answer.code
        if code != "OK":
            return text, now() - begun, code
    client.close()
    return "COMMIT", now() - begun, "OK"


async def case(folder):
    """Return whether each transaction could end within half of the grace period."""
    async with Fleet(folder) as fleet:
        fleet.record.say("six proxies are ready; trouble:", trouble())
        proxy = fleet.proxies[1]
        started_at = asyncio.Event()
        tasks = [
            asyncio.create_task(transact(fleet, proxy, n, started_at, after_s))
            for n, after_s in enumerate(COMMITS_S)
        ]
        await asyncio.sleep(0.5)
        if trouble():
            proxy.signal(signal.SIGTERM)
        started_at.at = now()
        started_at.set()
        ends = await asyncio.gather(*tasks)
        early = [end for end in ends if end[2] != "OK" and end[1] < GRACE_S / 2]
        for number, (what, at_s, outcome) in enumerate(ends):
            fleet.record.say(f"client-{number}: {what}, {at_s:.3f} s after SIGTERM: {outcome}")
        return BROKEN if early else HELD


run_case(__file__, case)
