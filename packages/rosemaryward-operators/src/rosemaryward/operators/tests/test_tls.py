import shutil
import socket
import ssl
import threading
from pathlib import Path

import anyio
import pytest

from rosemaryward.decisions.errors import SettingsError
from rosemaryward.operators import tls
from rosemaryward.operators.tls import ReloadingTlsContext, TlsFiles, client_context

CERTIFICATES = Path(__file__).parent / "certificates"


def presented(context: ssl.SSLContext) -> bytes | None:
    """Return the certificate that a server with the context presents."""
    client = ssl.SSLContext(ssl.PROTOCOL_TLS_CLIENT)
    client.check_hostname = False
    client.verify_mode = ssl.CERT_NONE
    ours, theirs = socket.socketpair()

    def serve() -> None:
        context.wrap_socket(ours, server_side=True).close()

    thread = threading.Thread(target=serve)
    thread.start()
    with client.wrap_socket(theirs) as connection:
        found = connection.getpeercert(binary_form=True)
    thread.join()
    return found


@pytest.mark.looptime
async def test_reload(tmp_path):
    """Guards against an expired certificate after a renewal, and a half-written one."""
    live = tmp_path / "live.pem"
    shutil.copy(CERTIFICATES / "first.pem", live)
    async with ReloadingTlsContext(TlsFiles(certificate=live)) as source:
        first = presented(source.context)
        text = (CERTIFICATES / "second.pem").read_text()
        live.write_text(text[: len(text) // 2])
        await anyio.sleep(2 * tls.CHECK_INTERVAL_S)
        assert presented(source.context) == first
        live.write_text(text)
        await anyio.sleep(2 * tls.CHECK_INTERVAL_S)
        assert presented(source.context) not in (first, None)


@pytest.mark.parametrize(
    "files",
    [
        pytest.param(TlsFiles(), id="no-certificate"),
        pytest.param(TlsFiles(certificate=Path("missing.pem")), id="missing"),
        pytest.param(
            TlsFiles(
                certificate=CERTIFICATES / "first.pem",
                key=CERTIFICATES / "second.pem",
            ),
            id="other-key",
        ),
    ],
)
def test_bad_files(files):
    """Guards against a server that starts without a usable certificate."""
    with pytest.raises(SettingsError, match="TLS"):
        tls.server_context(files)


def test_client_verifies():
    """Guards against a client that accepts any certificate."""
    context = client_context(TlsFiles(authority=CERTIFICATES / "first.pem"))
    assert context.verify_mode is ssl.CERT_REQUIRED
    assert context.check_hostname
