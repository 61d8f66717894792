"""HTTP client of the platform's host list."""

from types import TracebackType
from typing import Self

import anyio
import httpx
import msgspec

from rosemaryward.decisions.clients import FailureLog
from rosemaryward.decisions.decoding import decode_json
from rosemaryward.decisions.errors import StoreError
from rosemaryward.decisions.interfaces import ListedHost

__all__ = ["HttpHostList"]


class HttpHostList:
    """Reads the host list from a JSON document; implements `HostList`.

    Parameters
    ----------
    url : str
        Address of the document.
    timeout_s : float
        Longest wait for a response.

    Attributes
    ----------
    failures : int
        Number of failed reads.
    rejected_hosts : int
        Number of entries that could not be decoded and were left out.
    """

    def __init__(self, url: str, timeout_s: float = 1.0) -> None:
        self.url = url
        self.timeout_s = timeout_s
        self.failures = 0
        self.rejected_hosts = 0
        self.failure_log = FailureLog()
        self._client: httpx.AsyncClient | None = None

    async def __aenter__(self) -> Self:
        self._client = httpx.AsyncClient(timeout=self.timeout_s, trust_env=False)
        return self

    async def __aexit__(
        self,
        kind: type[BaseException] | None,
        error: BaseException | None,
        trace: TracebackType | None,
    ) -> None:
        if self._client is not None:
            await self._client.aclose()
            self._client = None

    async def fetch(self) -> list[ListedHost]:
        """Return the listed hosts; raises `StoreError` if the list cannot be read."""
        if self._client is None:
            raise StoreError("the host list client is used outside its context")
        try:
            with anyio.fail_after(self.timeout_s):
                response = await self._client.get(self.url)
            response.raise_for_status()
            entries = decode_json(response.content, list[msgspec.Raw])
        except (TimeoutError, httpx.HTTPError, msgspec.DecodeError) as error:
            self.failures += 1
            raise StoreError(f"host list: {error!r}") from error
        return self._decode_hosts(entries)

    def _decode_hosts(self, entries: list[msgspec.Raw]) -> list[ListedHost]:
        """Return the entries that can be decoded; counts the others."""
        hosts: list[ListedHost] = []
        for entry in entries:
            try:
                hosts.append(decode_json(entry, ListedHost))
            except msgspec.DecodeError as error:
                self.rejected_hosts += 1
                self.failure_log.record("entry of the host list cannot be used", error)
        return hosts
