"""TLS contexts for connections from callers and between proxies."""

import ssl
from contextlib import AsyncExitStack
from pathlib import Path

from rosemaryward.operators.tls import (
    ReloadingTlsContext,
    TlsFiles,
    client_context,
    server_context,
)
from rosemaryward.peers.gossip import GossipTls
from rosemaryward.proxy.settings import ProxySettings

__all__ = ["ProxyTls"]


class ProxyTls:
    """TLS contexts that are reloaded when their files change.

    Parameters
    ----------
    settings : ProxySettings
        Paths of the certificate, key and authority files.

    Attributes
    ----------
    caller_server, peer_server, peer_client : ssl.SSLContext or None
        None if the settings name no files.
    gossip : GossipTls or None
        Paths for the gossip channel, which loads its files itself and only at start.
    """

    def __init__(self, settings: ProxySettings) -> None:
        self.settings = settings
        self.caller_server: ssl.SSLContext | None = None
        self.peer_server: ssl.SSLContext | None = None
        self.peer_client: ssl.SSLContext | None = None
        self.gossip: GossipTls | None = None
        self.exit_stack = AsyncExitStack()

    async def __aenter__(self) -> "ProxyTls":
        settings = self.settings
        if settings.certificate:
            files = TlsFiles(
                certificate=Path(settings.certificate), key=Path(settings.key)
            )
            self.caller_server = await self._enter_source(ReloadingTlsContext(files))
        if settings.peer_identity:
            await self._load_peer_files()
        return self

    async def __aexit__(self, *details: object) -> None:
        await self.exit_stack.aclose()

    async def _load_peer_files(self) -> None:
        settings = self.settings
        files = TlsFiles(
            certificate=Path(settings.peer_identity),
            authority=Path(settings.peer_authority),
        )
        self.peer_server = await self._enter_source(
            ReloadingTlsContext(files, server_context)
        )
        self.peer_client = await self._enter_source(
            ReloadingTlsContext(files, client_context)
        )
        self.gossip = GossipTls(
            ca_file=settings.peer_authority,
            certificate_file=settings.peer_identity,
            server_name=settings.peer_name,
        )

    async def _enter_source(self, source: ReloadingTlsContext) -> ssl.SSLContext:
        return (await self.exit_stack.enter_async_context(source)).context
