"""SSL contexts from files, with reload when the files change."""

import os
import ssl
from collections.abc import Callable
from contextlib import AsyncExitStack
from pathlib import Path
from types import TracebackType

import anyio
import msgspec
import structlog

from rosemaryward.decisions.errors import SettingsError

__all__ = ["TlsFiles", "ReloadingTlsContext", "client_context", "server_context"]

CHECK_INTERVAL_S = 10.0

logger = structlog.get_logger(__name__)


class TlsFiles(msgspec.Struct, frozen=True, kw_only=True):
    """PEM files of one side of a connection.

    Parameters
    ----------
    certificate, key : Path or None
        Certificate chain and private key; a client may have none.
    authority : Path or None
        Certificates that the other side's certificate is checked against. A server
        without it accepts clients without a certificate.
    """

    certificate: Path | None = None
    key: Path | None = None
    authority: Path | None = None

    def paths(self) -> list[Path]:
        """Return the files that exist in the configuration."""
        candidates = (self.certificate, self.key, self.authority)
        return [path for path in candidates if path is not None]


def _load(context: ssl.SSLContext, files: TlsFiles) -> None:
    try:
        if files.certificate is not None:
            context.load_cert_chain(files.certificate, files.key)
        if files.authority is not None:
            context.load_verify_locations(files.authority)
    except (OSError, ssl.SSLError) as error:
        names = ", ".join(str(path) for path in files.paths())
        raise SettingsError(f"TLS files {names}: {error}") from error


def server_context(files: TlsFiles) -> ssl.SSLContext:
    """Return a context for a server.

    Raises
    ------
    SettingsError
        If a file cannot be read or the key does not match the certificate.
    """
    if files.certificate is None:
        raise SettingsError("TLS: a server needs a certificate")
    context = ssl.SSLContext(ssl.PROTOCOL_TLS_SERVER)
    context.minimum_version = ssl.TLSVersion.TLSv1_2
    _load(context, files)
    if files.authority is not None:
        context.verify_mode = ssl.CERT_REQUIRED
    return context


def client_context(files: TlsFiles) -> ssl.SSLContext:
    """Return a context for a client; it trusts the system without an authority.

    Raises
    ------
    SettingsError
        If a file cannot be read or the key does not match the certificate.
    """
    context = ssl.SSLContext(ssl.PROTOCOL_TLS_CLIENT)
    context.minimum_version = ssl.TLSVersion.TLSv1_2
    if files.authority is None:
        context.load_default_certs()
    _load(context, files)
    return context


class ReloadingTlsContext:
    """A context that follows its files.

    New connections use the new certificate. An authority that is removed from its
    file stays trusted until the process restarts, because a context cannot forget it.

    Parameters
    ----------
    files : TlsFiles
    build : callable
        `server_context` or `client_context`.

    Attributes
    ----------
    context : ssl.SSLContext
        Set on entry.
    """

    __slots__ = ("_refused", "_stack", "_stamp", "build", "context", "files")

    def __init__(
        self,
        files: TlsFiles,
        build: Callable[[TlsFiles], ssl.SSLContext] = server_context,
    ) -> None:
        self.files = files
        self.build = build
        self._stack = AsyncExitStack()
        self._refused: object = None

    async def __aenter__(self) -> "ReloadingTlsContext":
        self._stamp = self._read_stamp()
        self.context = self.build(self.files)
        tasks = await self._stack.enter_async_context(anyio.create_task_group())
        self._stack.callback(tasks.cancel_scope.cancel)
        tasks.start_soon(self._watch)
        return self

    async def __aexit__(
        self,
        kind: type[BaseException] | None,
        error: BaseException | None,
        trace: TracebackType | None,
    ) -> bool | None:
        return await self._stack.__aexit__(kind, error, trace)

    def reload(self) -> bool:
        """Load the files if they changed; files that do not fit are left out.

        Returns
        -------
        bool
            Whether the context uses new files.
        """
        stamp = self._read_stamp()
        if stamp == self._stamp:
            return False
        try:
            self.build(self.files)
        except SettingsError as error:
            if self._refused != stamp:
                logger.warning("TLS files refused", problem=str(error))
            self._refused = stamp
            return False
        _load(self.context, self.files)
        self._stamp = stamp
        logger.info("TLS files reloaded")
        return True

    def _read_stamp(self) -> tuple[tuple[int, int, int], ...]:
        stamps = []
        for path in self.files.paths():
            try:
                status = os.stat(path)
            except OSError:
                stamps.append((0, 0, 0))
            else:
                stamps.append((status.st_ino, status.st_mtime_ns, status.st_size))
        return tuple(stamps)

    async def _watch(self) -> None:
        while True:
            await anyio.sleep(CHECK_INTERVAL_S)
            self.reload()
