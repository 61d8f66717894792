"""Client of the administration API, used by the command line."""

from pathlib import Path
from typing import Any, TypeVar
from urllib.parse import urlsplit

import httpx
import msgspec

from rosemaryward.decisions.errors import RosemarywardError, SettingsError
from rosemaryward.operators.replies import ErrorBody, ErrorReply
from rosemaryward.operators.server import is_loopback
from rosemaryward.operators.tls import TlsFiles, client_context

__all__ = ["EXIT_CONFLICT", "EXIT_FAILED", "EXIT_USAGE", "CommandError", "ApiClient"]

EXIT_FAILED = 1
EXIT_USAGE = 2
EXIT_CONFLICT = 3
REQUEST_TIMEOUT_S = 30.0

T = TypeVar("T")


class CommandError(RosemarywardError):
    """A command that failed.

    Parameters
    ----------
    body : ErrorBody
        Error of the API, or of the command itself in the same form.
    exit_code : int
        Exit code of the process.
    """

    def __init__(self, body: ErrorBody, exit_code: int = EXIT_FAILED) -> None:
        super().__init__(f"{body.path}: {body.message}" if body.path else body.message)
        self.body = body
        self.exit_code = exit_code


def usage_error(message: str) -> CommandError:
    """Return the error for wrong arguments of a command."""
    return CommandError(ErrorBody(code="usage", message=message), EXIT_USAGE)


class ApiClient:
    """Sends requests to the administration API with the operator's token.

    Parameters
    ----------
    url : str
        Administration address of a proxy.
    token : str
    authority : Path or None
        PEM file with the authorities that the proxy's certificate is verified
        against.
    """

    __slots__ = ("authority", "token", "url")

    def __init__(self, url: str, token: str, authority: Path | None = None) -> None:
        self.url = url
        self.token = token
        self.authority = authority

    def _open_client(self) -> httpx.Client:
        """Return an HTTP client; raises `CommandError` for unusable options."""
        parts = urlsplit(self.url)
        if parts.scheme not in ("http", "https") or not parts.hostname:
            raise usage_error(
                f"--url: expected http(s)://HOST:PORT, found {self.url!r}"
            )
        if not self.token:
            raise usage_error("pass --token or set ROSEMARYWARD_ADMIN_TOKEN")
        if parts.scheme == "http" and not is_loopback(parts.hostname):
            raise usage_error(
                "--url: expected https, because a token must not be sent in plain text"
            )
        verify: Any = True
        if parts.scheme == "https":
            try:
                verify = client_context(TlsFiles(authority=self.authority))
            except SettingsError as error:
                raise usage_error(str(error)) from error
        return httpx.Client(
            base_url=self.url,
            headers={"authorization": f"Bearer {self.token}"},
            verify=verify,
            timeout=REQUEST_TIMEOUT_S,
            trust_env=False,
        )

    def call(self, method: str, path: str, kind: type[T], body: Any = None) -> T:
        """Send a request and return the decoded reply.

        Parameters
        ----------
        method, path : str
        kind : type
            Type of the reply.
        body : object, optional
            Sent as JSON, or unchanged if it is bytes.

        Raises
        ------
        CommandError
            If the proxy does not reply or refuses the request.
        """
        return msgspec.json.decode(self.call_raw(method, path, body), type=kind)

    def call_raw(self, method: str, path: str, body: Any = None) -> bytes:
        """Send a request and return the undecoded body of the reply; see `call`."""
        content = body
        if body is not None and not isinstance(body, bytes):
            content = msgspec.json.encode(body)
        try:
            with self._open_client() as client:
                reply = client.request(method, path, content=content)
        except httpx.HTTPError as error:
            text = f"no reply from {self.url}: {error}"
            raise CommandError(ErrorBody(code="no_answer", message=text)) from error
        if reply.is_success:
            return reply.content
        code = EXIT_CONFLICT if reply.status_code == 409 else EXIT_FAILED
        raise CommandError(_read_error(reply), code)


def _read_error(reply: httpx.Response) -> ErrorBody:
    try:
        return msgspec.json.decode(reply.content, type=ErrorReply).error
    except msgspec.MsgspecError:
        text = (
            f"expected an error body, got another one with status {reply.status_code}"
        )
        return ErrorBody(code="unexpected", message=text)
