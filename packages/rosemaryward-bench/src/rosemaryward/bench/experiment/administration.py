"""Simulated operators that change the document over the administration API."""

import asyncio
from typing import Any

import httpx
import msgspec

from rosemaryward.bench.launch.state import RunningDeployment, RunningProxy
from rosemaryward.bench.load.recorder import clock

__all__ = ["AcceptedChange", "Operator", "race"]

REQUEST_TIMEOUT_S = 5.0
ROUND_INTERVAL_S = 0.2
FIRST_QUEUE_LIMIT = 100  # lowest queue limit that an operator sets


class AcceptedChange(msgspec.Struct, frozen=True):
    """A document version that the administration API has accepted.

    Parameters
    ----------
    at : float
        Time of the reply in seconds of the clock of the run.
    version : int
    queue_limit : int
        New queue limit of the normal rank.
    """

    at: float
    version: int
    queue_limit: int


class Operator:
    """Changes the queue limit of the normal rank through one proxy.

    Parameters
    ----------
    running : RunningDeployment
        Set with the token for the administration API.
    proxy : RunningProxy
        Proxy that receives the changes.

    Attributes
    ----------
    accepted : list of AcceptedChange
    refused : int
        Number of changes that failed or conflicted with another one.
    """

    def __init__(self, running: RunningDeployment, proxy: RunningProxy) -> None:
        self.proxy = proxy
        self.headers = {"Authorization": f"Bearer {running.admin_token}"}
        self.accepted: list[AcceptedChange] = []
        self.refused = 0

    async def change(self, queue_limit: int) -> None:
        """Read the document and write it back with a new queue limit.

        The write is refused if another change came between.
        """
        async with httpx.AsyncClient(
            trust_env=False,
            timeout=REQUEST_TIMEOUT_S,
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
    """Return the request body that changes the queue limit in the read document."""
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
    """Let all operators change the same value concurrently in rounds until a time."""
    limit = FIRST_QUEUE_LIMIT
    while clock() < until:
        await asyncio.gather(
            *(
                operator.change(limit + number)
                for number, operator in enumerate(operators)
            )
        )
        limit += len(operators)
        await asyncio.sleep(ROUND_INTERVAL_S)
