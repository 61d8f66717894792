"""Operators who change the document through the administration API."""

import asyncio
from typing import Any

import httpx
import msgspec

from rosemaryward.bench.launch.state import RunningDeployment, RunningProxy
from rosemaryward.bench.load.recorder import clock

__all__ = ["AcceptedChange", "Operator", "race"]

TIMEOUT_S = 5.0
ROUND_S = 0.2
FIRST_LIMIT = 100  # lowest queue limit that an operator sets


class AcceptedChange(msgspec.Struct, frozen=True):
    """A version that the administration API has accepted.

    Parameters
    ----------
    at : float
    version : int
    queue_limit : int
        Value that the change gave to the normal rank's queue limit.
    """

    at: float
    version: int
    queue_limit: int


class Operator:
    """Changes the queue limit of the normal rank through one proxy.

    Parameters
    ----------
    running : RunningDeployment
    proxy : RunningProxy
    """

    def __init__(self, running: RunningDeployment, proxy: RunningProxy) -> None:
        self.proxy = proxy
        self.headers = {"Authorization": f"Bearer {running.admin_token}"}
        self.accepted: list[AcceptedChange] = []
        self.refused = 0

    async def change(self, queue_limit: int) -> None:
        """Read the document, change it and put it in force if nobody else has."""
        async with httpx.AsyncClient(
            trust_env=False,
            timeout=TIMEOUT_S,
            headers=self.headers,
            base_url=self.proxy.admin_url,
        ) as client:
            try:
                reply = (await client.get("/v1/config")).raise_for_status().json()
                answer = await client.put(
                    "/v1/config", json=change_request(reply, queue_limit)
                )
            except httpx.HTTPError:
                self.refused += 1
                return
        if answer.status_code != 200:
            self.refused += 1
            return
        version = int(answer.json()["version"])
        self.accepted.append(AcceptedChange(clock(), version, queue_limit))


def change_request(reply: dict[str, Any], queue_limit: int) -> dict[str, Any]:
    """Return the body that changes one value of the document in `reply`."""
    document = reply["document"]
    document["ranks"]["normal"]["queue_limit"] = queue_limit
    return {
        "text": msgspec.json.encode(document).decode(),
        "name": "document.json",
        "base_version": reply["version"],
        "comment": f"queue limit {queue_limit}",
        "merge": False,
    }


async def race(operators: list[Operator], until: float) -> None:
    """Let operators change the same value at the same time, round by round."""
    limit = FIRST_LIMIT
    while clock() < until:
        await asyncio.gather(
            *(
                operator.change(limit + number)
                for number, operator in enumerate(operators)
            )
        )
        limit += len(operators)
        await asyncio.sleep(ROUND_S)
