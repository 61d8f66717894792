"""Description of a running deployment, which other tools read from ``up.json``."""

import msgspec

__all__ = ["RunningEndpoint", "RunningProxy", "RunningDeployment", "RunningUser"]


class RunningProxy(msgspec.Struct, frozen=True, kw_only=True):
    """Addresses, process id and location of one proxy."""

    host_id: str
    host: str
    mysql_port: int
    admin_url: str
    pid: int
    region: str
    failure_domain: str


class RunningEndpoint(msgspec.Struct, frozen=True, kw_only=True):
    """Address, process id and location of one instance, with its initial role."""

    database: str
    instance: str
    host: str
    port: int
    pid: int
    region: str
    failure_domain: str
    role: str


class RunningUser(msgspec.Struct, frozen=True, kw_only=True):
    """An account with its password and the rank of its statements."""

    name: str
    password: str
    rank: str


class RunningDeployment(msgspec.Struct, frozen=True, kw_only=True):
    """All processes, addresses and accounts, as written to ``out/up.json``."""

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
