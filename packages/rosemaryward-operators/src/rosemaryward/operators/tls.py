"""TLS contexts from files, reloaded when the files change."""

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

FILE_CHECK_INTERVAL_S = 10.0

logger = structlog.get_logger(__name__)


class TlsFiles(msgspec.Struct, frozen=True, kw_only=True):
    """PEM files for one side of TLS connections.

    Parameters
    ----------
    certificate, key : Path or None
        Certificate chain and private key; a client may have none.
    authority : Path or None
        Authorities that the peer's certificate is verified against. A server without
        it accepts clients without a certificate.
    """

    certificate: Path | None = None
    key: Path | None = None
    authority: Path | None = None

    def paths(self) -> list[Path]:
        """Return the paths that are set."""
        candidates = (self.certificate, self.key, self.authority)
        return [path for path in candidates if path is not None]


def _load(context: ssl.SSLContext, files: TlsFiles) -> None:
    """Load the files into a context; raises `SettingsError`."""
    try:
        if files.certificate is not None:
            context.load_cert_chain(files.certificate, files.key)
        if files.authority is not None:
            context.load_verify_locations(files.authority)
    except (OSError, ssl.SSLError) as error:
        names = ", ".join(str(path) for path in files.paths())
        raise SettingsError(f"TLS files {names}: {error}") from error


def server_context(files: TlsFiles) -> ssl.SSLContext:
    """Return a TLS context for a server.

    Raises
    ------
    SettingsError
        If a file cannot be read or the key does not match the certificate.
    """
    if files.certificate is None:
        raise SettingsError("TLS: expected a certificate for a server, got none")
    context = ssl.SSLContext(ssl.PROTOCOL_TLS_SERVER)
    context.minimum_version = ssl.TLSVersion.TLSv1_2
    _load(context, files)
    if files.authority is not None:
        context.verify_mode = ssl.CERT_REQUIRED
    return context


def client_context(files: TlsFiles) -> ssl.SSLContext:
    """Return a TLS context for a client.

    Without an authority it trusts the authorities of the operating system.

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
    """TLS context that is reloaded when its files change.

    New connections use the new certificate. An authority that is removed from its
    file stays trusted until the process restarts, because a loaded authority cannot
    be removed from a context.

    Parameters
    ----------
    files : TlsFiles
    build : callable
        `server_context` or `client_context`.

    Attributes
    ----------
    context : ssl.SSLContext
        Created when the context manager is entered.
    """

    __slots__ = (
        "_loaded_stamps",
        "_refused_stamps",
        "_stack",
        "build",
        "context",
        "files",
    )

    def __init__(
        self,
        files: TlsFiles,
        build: Callable[[TlsFiles], ssl.SSLContext] = server_context,
    ) -> None:
        self.files = files
        self.build = build
        self._stack = AsyncExitStack()
        self._refused_stamps: object = None

    async def __aenter__(self) -> "ReloadingTlsContext":
        self._loaded_stamps = self._read_stamps()
        self.context = self.build(self.files)
        tasks = await self._stack.enter_async_context(anyio.create_task_group())
        self._stack.callback(tasks.cancel_scope.cancel)
        tasks.start_soon(self._reload_periodically)
        return self

    async def __aexit__(
        self,
        kind: type[BaseException] | None,
        error: BaseException | None,
        trace: TracebackType | None,
    ) -> bool | None:
        return await self._stack.__aexit__(kind, error, trace)

    def reload(self) -> bool:
        """Load the files if they changed; unusable files are refused and logged once.

        Returns
        -------
        bool
            Whether the files were loaded.
        """
        stamps = self._read_stamps()
        if stamps == self._loaded_stamps:
            return False
        try:
            self.build(self.files)
        except SettingsError as error:
            if self._refused_stamps != stamps:
                logger.warning("TLS files refused", problem=str(error))
            self._refused_stamps = stamps
            return False
        _load(self.context, self.files)
        self._loaded_stamps = stamps
        logger.info("TLS files reloaded")
        return True

    def _read_stamps(self) -> tuple[tuple[int, int, int], ...]:
        """Return the inode, modification time and size of each file."""
        stamps = []
        for path in self.files.paths():
            try:
                status = os.stat(path)
            except OSError:
                stamps.append((0, 0, 0))
            else:
                stamps.append((status.st_ino, status.st_mtime_ns, status.st_size))
        return tuple(stamps)

    async def _reload_periodically(self) -> None:
        while True:
            await anyio.sleep(FILE_CHECK_INTERVAL_S)
            self.reload()
