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


def server_certificate(context: ssl.SSLContext) -> bytes | None:
    """Return the certificate of a server with the context, in DER form."""
    client = ssl.SSLContext(ssl.PROTOCOL_TLS_CLIENT)
    client.check_hostname = False
    client.verify_mode = ssl.CERT_NONE
    server_side, client_side = socket.socketpair()

    def serve() -> None:
        context.wrap_socket(server_side, server_side=True).close()

    thread = threading.Thread(target=serve)
    thread.start()
    with client.wrap_socket(client_side) as connection:
        found = connection.getpeercert(binary_form=True)
    thread.join()
    return found


@pytest.mark.looptime
async def test_reload(tmp_path):
    """Guards against serving an expired certificate or a partly written one."""
    live = tmp_path / "live.pem"
    shutil.copy(CERTIFICATES / "first.pem", live)
    async with ReloadingTlsContext(TlsFiles(certificate=live)) as source:
        first = server_certificate(source.context)
        text = (CERTIFICATES / "second.pem").read_text()
        live.write_text(text[: len(text) // 2])
        await anyio.sleep(2 * tls.FILE_CHECK_INTERVAL_S)
        assert server_certificate(source.context) == first
        live.write_text(text)
        await anyio.sleep(2 * tls.FILE_CHECK_INTERVAL_S)
        assert server_certificate(source.context) not in (first, None)


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
    """Guards against a client that accepts unverified certificates."""
    context = client_context(TlsFiles(authority=CERTIFICATES / "first.pem"))
    assert context.verify_mode is ssl.CERT_REQUIRED
    assert context.check_hostname
