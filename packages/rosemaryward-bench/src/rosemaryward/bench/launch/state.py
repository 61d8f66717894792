"""What the launcher tells other tools about the running set."""

import msgspec

__all__ = ["RunningEndpoint", "RunningProxy", "RunningDeployment", "RunningUser"]


class RunningProxy(msgspec.Struct, frozen=True, kw_only=True):
    """Addresses of one proxy."""

    host_id: str
    host: str
    mysql_port: int
    admin_url: str
    pid: int
    region: str
    failure_domain: str


class RunningEndpoint(msgspec.Struct, frozen=True, kw_only=True):
    """Address of one instance and its role at the start."""

    database: str
    instance: str
    host: str
    port: int
    pid: int
    region: str
    failure_domain: str
    role: str


class RunningUser(msgspec.Struct, frozen=True, kw_only=True):
    """An account with its password and the rank of its work."""

    name: str
    password: str
    rank: str


class RunningDeployment(msgspec.Struct, frozen=True, kw_only=True):
    """Everything that runs, as ``out/up.json`` holds it."""

    deployment: str
    environment: str
    proxies: list[RunningProxy]
    endpoints: list[RunningEndpoint]
    databases: list[str]
    users: list[RunningUser]
    admin_token: str
    store_url: str
    hosts_url: str
    tables: dict[str, str]
    relay_url: str = ""
