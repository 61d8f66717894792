"""Settings of a proxy process, read from flags and environment variables."""

import ipaddress
import re
from dataclasses import dataclass, field
from typing import Annotated
from urllib.parse import urlsplit

import cappa

from rosemaryward.decisions.clients import ProcessLimits, derive_limits
from rosemaryward.decisions.errors import SettingsError
from rosemaryward.decisions.types import Place
from rosemaryward.proxy.memory import descriptor_limit, machine_memory_mib

__all__ = ["ProxySettings"]

MAX_PORT = 65535
MAX_GRACE_S = 3600.0
MAX_MEMORY_MIB = 1024.0 * 1024.0
MAX_DESCRIPTORS = 1 << 20
HOST_ID_PATTERN = re.compile(r"[\w.-]{1,64}", re.ASCII)
VARIABLE_PREFIX = "ROSEMARYWARD_"


def _option(name: str, text: str, default: str | None = None) -> cappa.Arg:
    """Return a command-line option that falls back to an environment variable."""
    variable = VARIABLE_PREFIX + name.upper().replace("-", "_")
    return cappa.Arg(
        long=f"--{name}",
        default=cappa.Env(variable, default=default),
        help=f"{text} [{variable}]",
    )


@cappa.command(name="rosemaryward-proxy")
@dataclass(slots=True)
class ProxySettings:
    """Run one proxy on an entry host.

    The configuration document gives everything that concerns the environment;
    these settings give what concerns this process.
    """

    host_id: Annotated[str, _option("host-id", "Unique name of this host")]
    region: Annotated[str, _option("region", "Region of this host")]
    failure_domain: Annotated[
        str, _option("failure-domain", "Failure domain of this host")
    ]
    environment: Annotated[str, _option("environment", "Environment to serve")]
    store_url: Annotated[str, _option("store-url", "URL of the platform's store")]
    hosts_url: Annotated[
        str, _option("hosts-url", "URL of the platform's host list", "")
    ]
    host: Annotated[str, _option("host", "IP address to listen on", "127.0.0.1")]
    advertise_host: Annotated[
        str,
        _option("advertise-host", "IP address for other proxies, if it differs", ""),
    ]
    mysql_port: Annotated[int, _option("mysql-port", "Port for callers", "3306")]
    statement_port: Annotated[
        int,
        _option("statement-port", "Port for statements of other proxies", "7401"),
    ]
    gossip_port: Annotated[int, _option("gossip-port", "Port for gossip", "7402")]
    admin_port: Annotated[int, _option("admin-port", "Administration port", "7403")]
    admin_token: Annotated[
        str,
        _option("admin-token", "Bearer token with all roles, empty for none", ""),
    ]
    endpoint_user: Annotated[
        str,
        _option("endpoint-user", "User name at endpoints", "rosemaryward"),
    ]
    endpoint_password: Annotated[
        str, _option("endpoint-password", "Password at endpoints", "")
    ]
    weight: Annotated[
        float,
        _option("weight", "Share of endpoints relative to other hosts", "1.0"),
    ]
    grace_s: Annotated[
        float,
        _option("grace-s", "Longest wait for requests at shutdown, seconds", "30"),
    ]
    certificate: Annotated[str, _option("certificate", "Certificate file", "")]
    key: Annotated[str, _option("key", "Private key file", "")]
    peer_identity: Annotated[
        str,
        _option("peer-identity", "Certificate and key for other proxies, PEM", ""),
    ]
    peer_authority: Annotated[
        str,
        _option("peer-authority", "Certificates that other proxies must have", ""),
    ]
    peer_name: Annotated[
        str,
        _option("peer-name", "Name in every proxy's certificate", "rosemaryward"),
    ]
    admin_tokens: Annotated[
        str,
        _option("admin-tokens", "JSON file of hashed tokens with roles", ""),
    ]
    memory_mb: Annotated[
        float,
        _option("memory-mb", "Memory of this process in MiB, 0 for the machine's", "0"),
    ]
    max_fds: Annotated[
        int,
        _option("max-fds", "Descriptors of this process, 0 for its limit", "0"),
    ]
    log_level: Annotated[str, _option("log-level", "Lowest level of log lines", "info")]
    seed_peer: Annotated[
        list[str],
        cappa.Arg(long="--seed-peer", help="HOST:GOSSIP_PORT of a proxy, repeatable"),
    ] = field(default_factory=list)

    @property
    def place(self) -> Place:
        """Region and failure domain of this host."""
        return Place(self.region, self.failure_domain)

    @property
    def seeds(self) -> list[tuple[str, int]]:
        """Gossip addresses of the seed peers as host and port."""
        return [_parse_address("--seed-peer", text) for text in self.seed_peer]

    def client_limits(self) -> ProcessLimits:
        """Return the limits on clients that follow from memory and descriptors."""
        return derive_limits(
            self.memory_mb or machine_memory_mib(),
            self.max_fds or descriptor_limit(),
        )

    def check(self) -> None:
        """Raise `SettingsError` for the first invalid setting."""
        for name in ("host_id", "region", "failure_domain", "environment", "store_url"):
            _check_not_empty(name, getattr(self, name))
        if not HOST_ID_PATTERN.fullmatch(self.host_id):
            raise SettingsError(
                f"--host-id: expected 1 to 64 letters, digits or any of ._-, "
                f"got {self.host_id!r}"
            )
        _check_url("store_url", self.store_url)
        if self.hosts_url:
            _check_url("hosts_url", self.hosts_url)
        _check_ip("--host", self.host)
        if self.advertise_host:
            _check_ip("--advertise-host", self.advertise_host)
        for name in ("mysql_port", "statement_port", "gossip_port", "admin_port"):
            _check_range(name, getattr(self, name), 0, MAX_PORT)
        _check_range("memory_mb", self.memory_mb, 0.0, MAX_MEMORY_MIB)
        _check_range("max_fds", self.max_fds, 0, MAX_DESCRIPTORS)
        _check_range("weight", self.weight, 0.01, 100.0)
        _check_range("grace_s", self.grace_s, 0.0, MAX_GRACE_S)
        if bool(self.certificate) != bool(self.key):
            raise SettingsError("--certificate and --key: expected both or neither")
        if bool(self.peer_identity) != bool(self.peer_authority):
            raise SettingsError(
                "--peer-identity and --peer-authority: expected both or neither"
            )
        if not self.peer_identity and not ipaddress.ip_address(self.host).is_loopback:
            raise SettingsError(
                f"--peer-identity: expected a file, since --host {self.host} is not a "
                "loopback address"
            )
        _ = self.seeds


def _flag(name: str) -> str:
    return "--" + name.replace("_", "-")


def _check_not_empty(name: str, value: str | None) -> None:
    if not value:
        variable = VARIABLE_PREFIX + name.upper()
        raise SettingsError(f"{_flag(name)} or {variable}: expected a value, got none")


def _check_url(name: str, value: str) -> None:
    parts = urlsplit(value)
    if parts.scheme not in ("http", "https") or not parts.hostname:
        raise SettingsError(f"{_flag(name)}: expected an http(s) URL, got {value!r}")


def _check_ip(flag: str, value: str) -> None:
    try:
        ipaddress.ip_address(value)
    except ValueError as error:
        raise SettingsError(f"{flag}: expected an IP address, got {value!r}") from error


def _check_range(name: str, value: float, low: float, high: float) -> None:
    if not low <= value <= high:
        raise SettingsError(
            f"{_flag(name)}: expected {low:g} to {high:g}, got {value:g}"
        )


def _parse_address(flag: str, text: str) -> tuple[str, int]:
    host, _, port = text.rpartition(":")
    if not port.isdecimal() or not 1 <= int(port) <= MAX_PORT:
        raise SettingsError(f"{flag}: expected HOST:PORT, got {text!r}")
    _check_ip(flag, host)
    return host, int(port)
