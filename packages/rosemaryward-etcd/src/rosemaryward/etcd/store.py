"""Store client for the etcd v3 JSON gateway."""

from base64 import b64encode
from collections.abc import AsyncIterator
from types import TracebackType
from typing import Any, Self, TypeVar

import anyio
import httpx
import msgspec

from rosemaryward.decisions.errors import ConflictError, StoreError
from rosemaryward.decisions.interfaces import VersionedValue
from rosemaryward.etcd.wire import (
    KeyValue,
    RangeReply,
    TxnReply,
    WatchMessage,
    WatchResult,
    prefix_end,
)

__all__ = ["EtcdStore"]

SWAP_ATTEMPTS = 3
WATCH_IDLE_S = 60.0
MAX_WATCH_MESSAGE = 4 << 20  # bytes; a value of 1 MiB in base64 takes 1.4 MiB

_Reply = TypeVar("_Reply")


class EtcdStore:
    """The platform's key-value service over its JSON gateway.

    The version of a value is its ``mod_revision``.

    Parameters
    ----------
    url : str
        Base address such as ``http://127.0.0.1:2379``.
    timeout_s : float
        Longest wait for one answer.
    watch_idle_s : float
        Time after which a silent watch is opened again.

    Notes
    -----
    An answer of a compare-and-swap may be lost after the change took effect.
    The client then reads the key back. The old version means that the change has
    not taken effect, and the same transaction is sent again, which at most one of
    the copies can win. A newer version with exactly the value that was sent counts
    as success. Callers that must tell their change from an equal one of another
    writer put something unique into the value; documents carry their version,
    author and time. A newer version with another value is a conflict, whether or
    not the change was in force in between.
    """

    def __init__(
        self, url: str, timeout_s: float = 1.0, watch_idle_s: float = WATCH_IDLE_S
    ) -> None:
        self.url = url.rstrip("/")
        self.timeout_s = timeout_s
        self.watch_idle_s = watch_idle_s
        self.calls = 0
        self.failures = 0
        self.lost_answers = 0
        self._client: httpx.AsyncClient | None = None

    async def __aenter__(self) -> Self:
        self._client = httpx.AsyncClient(
            base_url=self.url, timeout=self.timeout_s, trust_env=False
        )
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

    async def get(self, key: str) -> VersionedValue | None:
        """Return the value, or None if there is none."""
        reply = await self._range(key)
        return _versioned(reply.kvs[0]) if reply.kvs else None

    async def list(self, prefix: str) -> list[VersionedValue]:
        """Return all values whose keys start with `prefix`, sorted by key."""
        start = prefix.encode()
        body = {"key": _text(start), "range_end": _text(prefix_end(start))}
        reply = await self._call("/v3/kv/range", body, RangeReply)
        return sorted((_versioned(kv) for kv in reply.kvs), key=lambda v: v.key)

    async def put(self, key: str, value: bytes) -> None:
        """Write the value whatever its version."""
        body = {"key": _text(key.encode()), "value": _text(value)}
        await self._call("/v3/kv/put", body, msgspec.Raw)

    async def compare_and_swap(self, key: str, value: bytes, version: int) -> int:
        """Replace the value if it has `version` (0: must not exist).

        Returns
        -------
        int
            The new version.

        Raises
        ------
        ConflictError
            If the version differs.
        StoreError
            If the outcome could not be settled.
        """
        body = _swap_body(key, value, version)
        lost: StoreError | None = None
        for _ in range(SWAP_ATTEMPTS):
            try:
                reply = await self._call("/v3/kv/txn", body, TxnReply)
            except StoreError as error:
                lost = error
                self.lost_answers += 1
                found = await self._read_back(key)
                if found is None or found.mod_revision == version:
                    continue
            else:
                if reply.succeeded:
                    return reply.header.revision
                found = _found(reply)
            if lost is not None and found.value == value:
                return found.mod_revision
            raise ConflictError(
                f"{key}: expected version {version}, found {found.mod_revision}"
            )
        raise StoreError(f"{key}: outcome of the swap is not known") from lost

    async def watch(self, key: str) -> AsyncIterator[VersionedValue]:
        """Yield the value now and at every change until the watch fails.

        Raises
        ------
        StoreError
            If the service does not answer or ends the watch.

        Notes
        -----
        A watch that is silent for a minute is opened again, after a read that
        shows whether the service is still there.
        """
        seen = 0
        while True:
            reply = await self._range(key)
            for kv in reply.kvs:
                if kv.mod_revision > seen:
                    seen = kv.mod_revision
                    yield _versioned(kv)
            async for result in self._stream(key, reply.header.revision + 1):
                for event in result.events:
                    if event.type == "PUT":
                        seen = event.kv.mod_revision
                        yield _versioned(event.kv)

    async def _stream(self, key: str, revision: int) -> AsyncIterator[WatchResult]:
        """Yield the messages of one watch until it is silent for too long."""
        created = {"key": _text(key.encode()), "start_revision": str(revision)}
        timeout = httpx.Timeout(self.timeout_s, read=self.watch_idle_s)
        self.calls += 1
        try:
            async with self._opened().stream(
                "POST", "/v3/watch", json={"create_request": created}, timeout=timeout
            ) as response:
                response.raise_for_status()
                async for line in _lines(response):
                    yield _watch_result(line)
        except httpx.ReadTimeout:
            return
        except (httpx.HTTPError, msgspec.DecodeError) as error:
            self.failures += 1
            raise StoreError(f"watch: {error!r}") from error
        raise StoreError("watch: closed by the service")

    async def _read_back(self, key: str) -> KeyValue | None:
        """Return the key as it is, None if it is not known."""
        try:
            reply = await self._range(key)
        except StoreError:
            await anyio.sleep(self.timeout_s / 10)
            return None
        return reply.kvs[0] if reply.kvs else KeyValue()

    async def _range(self, key: str) -> RangeReply:
        body = {"key": _text(key.encode())}
        return await self._call("/v3/kv/range", body, RangeReply)

    async def _call(
        self, path: str, body: dict[str, Any], kind: type[_Reply]
    ) -> _Reply:
        self.calls += 1
        try:
            with anyio.fail_after(self.timeout_s):
                response = await self._opened().post(path, json=body)
            response.raise_for_status()
            return msgspec.json.decode(response.content, type=kind, strict=False)
        except (TimeoutError, httpx.HTTPError, msgspec.DecodeError) as error:
            self.failures += 1
            raise StoreError(f"{path}: {error!r}") from error

    def _opened(self) -> httpx.AsyncClient:
        if self._client is None:
            raise StoreError("the store client is not open")
        return self._client


def _text(data: bytes) -> str:
    return b64encode(data).decode()


def _versioned(kv: KeyValue) -> VersionedValue:
    return VersionedValue(kv.key.decode(), kv.value, kv.mod_revision)


def _swap_body(key: str, value: bytes, version: int) -> dict[str, Any]:
    name = _text(key.encode())
    compare = {
        "key": name,
        "target": "MOD",
        "result": "EQUAL",
        "mod_revision": str(version),
    }
    return {
        "compare": [compare],
        "success": [{"request_put": {"key": name, "value": _text(value)}}],
        "failure": [{"request_range": {"key": name}}],
    }


def _found(reply: TxnReply) -> KeyValue:
    """Return the value that a refused swap reports, an empty one for none."""
    for operation in reply.responses:
        found = operation.response_range
        if found is not None and found.kvs:
            return found.kvs[0]
    return KeyValue()


async def _lines(response: httpx.Response) -> AsyncIterator[bytes]:
    """Yield the lines of a stream, none of them without bound."""
    buffer = b""
    async for chunk in response.aiter_bytes():
        *lines, buffer = (buffer + chunk).split(b"\n")
        if len(buffer) > MAX_WATCH_MESSAGE:
            raise StoreError("watch: message is too long")
        for line in filter(None, lines):
            yield line


def _watch_result(line: bytes) -> WatchResult:
    message = msgspec.json.decode(line, type=WatchMessage, strict=False)
    if message.result is None or message.result.canceled:
        raise StoreError("watch: cancelled by the service")
    return message.result
