"""Client of the key-value store over the etcd v3 JSON gateway."""

from base64 import b64encode
from collections.abc import AsyncIterator, Iterable, Sequence
from types import TracebackType
from typing import Any, Self, TypeVar

import anyio
import httpx
import msgspec

from rosemaryward.decisions.clients import FailureLog
from rosemaryward.decisions.decoding import decode_with
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
WATCH_IDLE_TIMEOUT_S = 60.0
MAX_WATCH_MESSAGE_BYTES = 4 << 20  # a value of 1 MiB takes 1.4 MiB in base64

_Reply = TypeVar("_Reply")


class EtcdStore:
    """Client of the platform's key-value store; implements `Store`.

    The version of a value is its ``mod_revision``.

    Parameters
    ----------
    url : str
        Base address such as ``http://127.0.0.1:2379``.
    timeout_s : float
        Longest wait for one reply.
    watch_idle_s : float
        Time without messages after which a watch is reopened.

    Attributes
    ----------
    calls, failures : int
        Number of requests to the store, and of those that failed.
    lost_replies : int
        Number of compare-and-swap requests whose reply was lost.
    rejected_values : int
        Number of values in replies that could not be decoded and were left out.

    Notes
    -----
    The reply of a compare-and-swap may be lost after the change took effect. The
    client then reads the key. If the key still has the old version, the change has
    not taken effect, and the client sends the same transaction again; at most one
    copy of it can succeed. A newer version with exactly the sent value counts as
    success. Users that must distinguish their change from an equal one of another
    writer include something unique in the value; documents contain their version,
    author and time. A newer version with another value is a conflict, even if the
    change was in force in between.
    """

    def __init__(
        self,
        url: str,
        timeout_s: float = 1.0,
        watch_idle_s: float = WATCH_IDLE_TIMEOUT_S,
    ) -> None:
        self.url = url.rstrip("/")
        self.timeout_s = timeout_s
        self.watch_idle_s = watch_idle_s
        self.calls = 0
        self.failures = 0
        self.lost_replies = 0
        self.rejected_values = 0
        self.failure_log = FailureLog()
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
        """Return the value of a key, or None if the key does not exist."""
        values = self._decode_values((await self._range(key)).kvs)
        return values[0] if values else None

    async def list(self, prefix: str) -> list[VersionedValue]:
        """Return the values of all keys that start with `prefix`, sorted by key."""
        start = prefix.encode()
        body = {"key": _to_base64(start), "range_end": _to_base64(prefix_end(start))}
        reply = await self._call("/v3/kv/range", body, RangeReply)
        return sorted(self._decode_values(reply.kvs), key=lambda v: v.key)

    async def put(self, key: str, value: bytes) -> None:
        """Write a value regardless of the key's version."""
        body = {"key": _to_base64(key.encode()), "value": _to_base64(value)}
        await self._call("/v3/kv/put", body, msgspec.Raw)

    async def compare_and_swap(self, key: str, value: bytes, version: int) -> int:
        """Replace a value if it has the expected version.

        Parameters
        ----------
        key : str
        value : bytes
        version : int
            Expected version; 0 if the key must not exist.

        Returns
        -------
        int
            The new version.

        Raises
        ------
        ConflictError
            If the key has another version.
        StoreError
            If the outcome could not be determined.
        """
        body = _swap_body(key, value, version)
        lost_error: StoreError | None = None
        for _ in range(SWAP_ATTEMPTS):
            try:
                reply = await self._call("/v3/kv/txn", body, TxnReply)
            except StoreError as error:
                lost_error = error
                self.lost_replies += 1
                found = await self._read_back(key)
                if found is None or found.mod_revision == version:
                    continue
            else:
                if reply.succeeded:
                    return reply.header.revision
                found = _current_value(reply)
            if lost_error is not None and found.value == value:
                return found.mod_revision
            raise ConflictError(
                f"{key}: expected version {version}, found {found.mod_revision}"
            )
        raise StoreError(
            f"{key}: outcome of the compare-and-swap is unknown after "
            f"{SWAP_ATTEMPTS} attempts"
        ) from lost_error

    async def watch(self, key: str) -> AsyncIterator[VersionedValue]:
        """Yield the current value and every change until the watch fails.

        Raises
        ------
        StoreError
            If the store does not reply or ends the watch.

        Notes
        -----
        A watch without messages for `watch_idle_s` is reopened after reading the
        key, which shows whether the store still replies.
        """
        seen = 0
        while True:
            reply = await self._range(key)
            for value in self._decode_values(reply.kvs):
                if value.version > seen:
                    seen = value.version
                    yield value
            async for result in self._stream_results(key, reply.header.revision + 1):
                written = [e.kv for e in result.events if e.type == "PUT"]
                for value in self._decode_values(written):
                    seen = value.version
                    yield value

    async def _stream_results(
        self, key: str, revision: int
    ) -> AsyncIterator[WatchResult]:
        """Yield the results of one watch until it receives no message for too long."""
        create_request = {
            "key": _to_base64(key.encode()),
            "start_revision": str(revision),
        }
        timeout = httpx.Timeout(self.timeout_s, read=self.watch_idle_s)
        self.calls += 1
        try:
            async with self._open_client().stream(
                "POST",
                "/v3/watch",
                json={"create_request": create_request},
                timeout=timeout,
            ) as response:
                response.raise_for_status()
                async for line in _read_lines(response):
                    yield _decode_watch_result(line)
        except httpx.ReadTimeout:
            return
        except (httpx.HTTPError, msgspec.DecodeError) as error:
            self.failures += 1
            raise StoreError(f"watch: {error!r}") from error
        raise StoreError("watch: connection closed by the store")

    async def _read_back(self, key: str) -> KeyValue | None:
        """Return the current value, empty if there is none, None if the read failed."""
        try:
            reply = await self._range(key)
        except StoreError:
            await anyio.sleep(self.timeout_s / 10)
            return None
        return _first_value(reply)

    async def _range(self, key: str) -> RangeReply:
        body = {"key": _to_base64(key.encode())}
        return await self._call("/v3/kv/range", body, RangeReply)

    async def _call(
        self, path: str, body: dict[str, Any], kind: type[_Reply]
    ) -> _Reply:
        self.calls += 1
        try:
            with anyio.fail_after(self.timeout_s):
                response = await self._open_client().post(path, json=body)
            response.raise_for_status()
            return _decode(response.content, kind)
        except (TimeoutError, httpx.HTTPError, msgspec.DecodeError) as error:
            self.failures += 1
            raise StoreError(f"{path}: {error!r}") from error

    def _decode_values(self, values: Iterable[msgspec.Raw]) -> Sequence[VersionedValue]:
        """Return the values that can be decoded; counts the others."""
        decoded: list[VersionedValue] = []
        for raw in values:
            try:
                kv = _decode(raw, KeyValue)
                key = kv.key.decode()
            except (msgspec.DecodeError, UnicodeDecodeError) as error:
                self.rejected_values += 1
                self.failure_log.record("store value cannot be used", error)
                continue
            decoded.append(VersionedValue(key, kv.value, kv.mod_revision))
        return decoded

    def _open_client(self) -> httpx.AsyncClient:
        if self._client is None:
            raise StoreError("the store client is used outside its context")
        return self._client


def _to_base64(data: bytes) -> str:
    return b64encode(data).decode()


def _swap_body(key: str, value: bytes, version: int) -> dict[str, Any]:
    name = _to_base64(key.encode())
    compare = {
        "key": name,
        "target": "MOD",
        "result": "EQUAL",
        "mod_revision": str(version),
    }
    return {
        "compare": [compare],
        "success": [{"request_put": {"key": name, "value": _to_base64(value)}}],
        "failure": [{"request_range": {"key": name}}],
    }


def _current_value(reply: TxnReply) -> KeyValue:
    """Return the current value in the reply to a refused swap, empty if none."""
    for operation in reply.responses:
        found = operation.response_range
        if found is not None and found.kvs:
            return _first_value(found)
    return KeyValue()


def _first_value(reply: RangeReply) -> KeyValue:
    """Return the first value of a reply, empty if there is none that can be decoded."""
    try:
        return _decode(reply.kvs[0], KeyValue) if reply.kvs else KeyValue()
    except msgspec.DecodeError:
        return KeyValue()


async def _read_lines(response: httpx.Response) -> AsyncIterator[bytes]:
    """Yield the lines of a stream; raises `StoreError` for a line that is too long."""
    buffer = b""
    async for chunk in response.aiter_bytes():
        *lines, buffer = (buffer + chunk).split(b"\n")
        if len(buffer) > MAX_WATCH_MESSAGE_BYTES:
            raise StoreError(
                f"watch: expected messages of at most {MAX_WATCH_MESSAGE_BYTES} bytes, "
                f"got {len(buffer)}"
            )
        for line in filter(None, lines):
            yield line


def _decode(data: bytes, kind: type[_Reply]) -> _Reply:
    """Decode a reply, whose numbers may be strings; raises `msgspec.DecodeError`."""
    return decode_with(
        lambda text: msgspec.json.decode(text, type=kind, strict=False), data
    )


def _decode_watch_result(line: bytes) -> WatchResult:
    message = _decode(line, WatchMessage)
    if message.result is None or message.result.canceled:
        raise StoreError("watch: cancelled by the store")
    return message.result
