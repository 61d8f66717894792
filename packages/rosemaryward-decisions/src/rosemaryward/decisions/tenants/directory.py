"""Tenants of one version of the configuration, found by the digests of their keys."""

import hmac
import math
from collections.abc import Iterable, Mapping

import msgspec

from rosemaryward.decisions.tenants.keys import CallerKey

__all__ = ["Tenant", "TenantDirectory", "TenantProblem"]


class Tenant(msgspec.Struct, frozen=True, kw_only=True):
    """Tenant with the limit of its operations.

    Parameters
    ----------
    name : str
        Name of the tenant, which instances are told.
    rate_per_s : float, optional
        Operations per second over all hosts, None for no limit.
    burst : float
        Operations that may exceed the rate at once.
    """

    name: str
    rate_per_s: float | None = None
    burst: float = 0.0


class TenantProblem(msgspec.Struct, frozen=True):
    """Invalid entry of the configuration.

    Parameters
    ----------
    tenant : str
        Name of the tenant, or the place of an entry without a usable name.
    problem : str
        What is wrong and how it is handled; contains no key.
    """

    tenant: str
    problem: str


class TenantDirectory:
    """Tenants by name and by key.

    Parameters
    ----------
    entries : iterable of tuple of Tenant and list of CallerKey
        Tenants as listed, with their keys. A tenant that is listed twice has the keys
        of both entries and the lower rate and burst. A key of two tenants is accepted
        for neither, as a caller must not act for a tenant that it may not belong to.
    problems : iterable of TenantProblem, optional
        Invalid entries that were found before.

    Attributes
    ----------
    tenants : dict of str to Tenant
        Tenants by name.
    owners : dict of bytes to tuple of bytes and str
        Digest and tenant of each accepted key, by digest.
    problems : list of TenantProblem
        Invalid entries.
    """

    __slots__ = ("owners", "problems", "tenants")

    def __init__(
        self,
        entries: Iterable[tuple[Tenant, list[CallerKey]]],
        problems: Iterable[TenantProblem] = (),
    ) -> None:
        self.tenants: dict[str, Tenant] = {}
        self.owners: dict[bytes, tuple[bytes, str]] = {}
        self.problems = list(problems)
        holders: dict[bytes, dict[str, str]] = {}
        for listed, keys in entries:
            tenant = self._sanitize(listed)
            known = self.tenants.get(tenant.name)
            self.tenants[tenant.name] = (
                tenant if known is None else _unite(known, tenant)
            )
            if known is not None:
                self._report(
                    tenant.name,
                    "listed twice; the keys are united, the lower rate applies",
                )
            for key in keys:
                if key.digest:
                    holders.setdefault(key.digest, {})[tenant.name] = key.fingerprint
        self._assign_keys(holders)

    def __repr__(self) -> str:
        return f"TenantDirectory(tenants={len(self.tenants)}, keys={len(self.owners)})"

    def find(self, key: CallerKey) -> str | None:
        """Return the name of the tenant that holds a key, None if nobody does."""
        owner = self.owners.get(key.digest)
        # The dictionary compares hashes of digests first, so the time that it takes
        # tells nothing about a prefix of the key.
        if owner is None or not hmac.compare_digest(owner[0], key.digest):
            return None
        return owner[1]

    def _assign_keys(self, holders: Mapping[bytes, Mapping[str, str]]) -> None:
        """Assign each key to its tenant, if it has only one."""
        for digest, fingerprints in holders.items():
            names = sorted(fingerprints)
            if len(names) == 1:
                self.owners[digest] = (digest, names[0])
                continue
            for name in names:
                others = ", ".join(other for other in names if other != name)
                self._report(
                    name,
                    f"the key {fingerprints[name]} is also held by {others}; it is "
                    "accepted for neither",
                )

    def _sanitize(self, tenant: Tenant) -> Tenant:
        """Return the tenant with valid limits; report invalid ones."""
        rate, burst = tenant.rate_per_s, tenant.burst
        if rate is not None and not _is_valid(rate):
            self._report(tenant.name, "invalid rate; nothing is admitted")
            rate = 0.0
        if not _is_valid(burst):
            self._report(tenant.name, "invalid burst; 0 is used")
            burst = 0.0
        return Tenant(name=tenant.name, rate_per_s=rate, burst=burst)

    def _report(self, tenant: str, problem: str) -> None:
        self.problems.append(TenantProblem(tenant, problem))


def _is_valid(limit: float) -> bool:
    return math.isfinite(limit) and limit >= 0.0


def _unite(one: Tenant, other: Tenant) -> Tenant:
    """Return a tenant that is listed twice, with the lower limits."""
    limited = [tenant for tenant in (one, other) if tenant.rate_per_s is not None]
    return Tenant(
        name=one.name,
        rate_per_s=min(
            (tenant.rate_per_s for tenant in limited if tenant.rate_per_s is not None),
            default=None,
        ),
        burst=min((tenant.burst for tenant in limited), default=0.0),
    )
