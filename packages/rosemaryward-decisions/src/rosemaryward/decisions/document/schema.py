"""Schema of the configuration document.

Unknown fields are refused, so that a misspelt field name is reported. Annotations
define the accepted ranges. The class docstrings describe the fields, and the
configuration reference is generated from them.
"""

from typing import Annotated

import msgspec
from msgspec import Meta

from rosemaryward.decisions.admission.sections import (
    Limit,
    RankSection,
    TenantLimits,
)

__all__ = [
    "Document",
    "DatabaseSection",
    "InstanceSection",
    "RankSection",
    "RuleSection",
    "TenantLimits",
    "TenantSection",
    "UserSection",
]

Name = Annotated[str, Meta(pattern=r"^[A-Za-z0-9_][A-Za-z0-9_.-]{0,63}$(?!\n)")]
"""Name of a database, an instance, a tenant, a user, a region or a rule."""

Port = Annotated[int, Meta(ge=1, le=65535)]
OptionalDeadlineSeconds = Annotated[float, Meta(ge=0.0, le=3600.0)]
StalenessSeconds = Annotated[float, Meta(ge=0.0, le=86400.0)]
LinkBitsPerSecond = Annotated[float, Meta(gt=0.0, le=1e12)]
PasswordHash = Annotated[str, Meta(pattern=r"^[0-9A-Fa-f]{40}$(?!\n)")]


class InstanceSection(
    msgspec.Struct, frozen=True, kw_only=True, forbid_unknown_fields=True
):
    """Address, region and failure domain of one instance.

    Parameters
    ----------
    host : str
        IP address of the instance.
    port : int
        TCP port of the instance.
    region : str
        Region of the instance.
    failure_domain : str
        Failure domain of the instance, one of its region.
    leaving : bool
        Set by operators before they remove the instance.
    """

    host: str
    port: Port
    region: Name
    failure_domain: Name
    leaving: bool = False


class DatabaseSection(
    msgspec.Struct, frozen=True, kw_only=True, forbid_unknown_fields=True
):
    """One database group.

    Parameters
    ----------
    tenant : str
        Tenant that owns the database.
    instances : dict of str to InstanceSection
        Instances of the group by name.
    slots : int
        Number of statements that one instance runs concurrently.
    connections : int
        Number of connections that one instance accepts.
    """

    tenant: Name
    instances: dict[Name, InstanceSection]
    slots: Limit
    connections: Limit


class RuleSection(
    msgspec.Struct, frozen=True, kw_only=True, forbid_unknown_fields=True
):
    """Rule that gives matching statements a rank and a staleness limit.

    The first matching rule of a tenant applies. An empty field matches everything.

    Parameters
    ----------
    name : str
        Name of the rule, unique in its tenant.
    rank : str
        ``urgent``, ``normal`` or ``bulk``.
    databases, tables, users : tuple of str
        Names to which the rule applies.
    access : str
        ``read``, ``write`` or empty for both.
    max_staleness_s : float
        Maximum age in seconds of the data that reads return; 0 requires that reads
        see all acknowledged writes.
    deadline_s : float
        Deadline in seconds that replaces the rank's deadline; 0 keeps it.
    """

    name: Name
    rank: str
    databases: tuple[str, ...] = ()
    tables: tuple[str, ...] = ()
    users: tuple[str, ...] = ()
    access: str = ""
    max_staleness_s: StalenessSeconds = 0.0
    deadline_s: OptionalDeadlineSeconds = 0.0


class UserSection(
    msgspec.Struct, frozen=True, kw_only=True, forbid_unknown_fields=True
):
    """Account of a caller.

    Parameters
    ----------
    password_hash : str
        Hex form of SHA1(SHA1(password)), as ``mysql_native_password`` stores it.
    ranks : tuple of str
        Ranks that the user may request with an attribute.
    """

    password_hash: PasswordHash
    ranks: tuple[str, ...] = ("urgent", "normal", "bulk")


class TenantSection(
    msgspec.Struct, frozen=True, kw_only=True, forbid_unknown_fields=True
):
    """Users, rules and limits of one tenant.

    Parameters
    ----------
    users : dict of str to UserSection
        Accounts by name. A user name belongs to one tenant only.
    rules : tuple of RuleSection
        Rules in the order of precedence.
    limits : TenantLimits
        Limits of the tenant at each proxy.
    """

    users: dict[Name, UserSection]
    rules: tuple[RuleSection, ...] = ()
    limits: TenantLimits = TenantLimits()


class Document(msgspec.Struct, frozen=True, kw_only=True, forbid_unknown_fields=True):
    """Complete configuration of one environment.

    Parameters
    ----------
    environment : str
        Name of the environment, such as ``trial`` or ``production``.
    regions : dict of str to tuple of str
        Failure domains of each region.
    databases : dict of str to DatabaseSection
        Database groups by name.
    tenants : dict of str to TenantSection
        Tenants by name.
    ranks : dict of str to RankSection
        Settings of the ranks ``urgent``, ``normal`` and ``bulk``.
    region_link_bits_per_s : float
        Capacity of the link between regions in bits per second, each way.
    """

    environment: Name
    regions: dict[Name, tuple[Name, ...]]
    databases: dict[Name, DatabaseSection]
    tenants: dict[Name, TenantSection]
    ranks: dict[str, RankSection] = {}
    region_link_bits_per_s: LinkBitsPerSecond = 15_000_000.0
