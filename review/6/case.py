"""A shape with blanks changes what the prepared statements of two clients run."""

import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))

from bed import *  # noqa: E402, F403

SHAPE = "q2c"
LONG_SHAPE = "q2c WRITE note"  # one field: the last one extends to the end of the line
PLAIN_SHAPE = "q2d"
OWN_SHAPE = "q2e WRITE note"  # its first word is no other client's shape
OWN_PLAIN_SHAPE = "q2e"


async def execute(client, name: str, argument: str, expected: list, *prepared: str):
    """Execute a prepared statement; note what the instance has to run for it."""
    answer = await client.ask(f"EXECUTE {name} {argument}")
    if answer is not None and answer.code == "OK":
        expected.append((answer.request, *prepared, argument))


async def case(folder):
    """Return whether each acknowledged write ran with its own shape, item and data."""
    async with Fleet(folder) as fleet:
        fleet.record.say("six proxies are ready; trouble:", trouble())
        other_shape = LONG_SHAPE if trouble() else PLAIN_SHAPE
        front = fleet.proxies[0].front
        first = Client(fleet.record, "first")
        second = Client(fleet.record, "second")
        for client in (first, second):
            if not await client.open(front, "shop"):
                raise RuntimeError("no session")
        expected: list = []
        own_shape = OWN_SHAPE if trouble() else OWN_PLAIN_SHAPE
        await second.ask(f"PREPARE own WRITE {own_shape}")
        await execute(second, "own", "booking-6 sunday", expected, "WRITE", own_shape)
        await first.ask(f"PREPARE save WRITE {SHAPE}")
        await first.ask(f"PREPARE look READ {SHAPE}")
        await execute(first, "save", "credit-1 ten", expected, "WRITE", SHAPE)
        await execute(first, "look", "credit-1", expected, "READ", SHAPE)
        await second.ask(f"PREPARE save WRITE {other_shape}")
        await second.ask(f"PREPARE look READ {other_shape}")
        await execute(second, "save", "booking-7 monday", expected, "WRITE", other_shape)
        await execute(second, "look", "booking-7", expected, "READ", other_shape)
        await execute(first, "save", "credit-2 twenty", expected, "WRITE", SHAPE)
        await execute(first, "look", "credit-1", expected, "READ", SHAPE)
        read = {}
        for item in ("booking-6", "credit-1", "booking-7", "credit-2"):
            answer = await first.ask(f"READ {item}")
            read[item] = answer and answer.rows
        ran = {request: (request, *rest) for request, *rest in fleet.group.ran}
        wrong = [(e, ran.get(e[0])) for e in expected if ran.get(e[0]) != e]
        for asked, run in wrong:
            fleet.record.say("asked for", asked, "but the instance ran", run)
        fleet.record.say("read afterwards:", read)
        return BROKEN if wrong else HELD


run_case(__file__, case)
