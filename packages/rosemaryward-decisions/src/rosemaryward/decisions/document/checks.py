"""Consistency checks between the fields of a document."""

import ipaddress
from collections import Counter
from collections.abc import Collection, Iterator

import msgspec

from rosemaryward.decisions.document.conversion import check_ranges, convert_document
from rosemaryward.decisions.document.formats import parse_text
from rosemaryward.decisions.document.schema import (
    DatabaseSection,
    Document,
    RankSection,
    RuleSection,
    TenantSection,
)
from rosemaryward.decisions.errors import DocumentError
from rosemaryward.decisions.types import Rank

__all__ = ["RANK_NAMES", "Problem", "check_document", "list_problems", "parse_document"]

RANK_NAMES = tuple(rank.name.lower() for rank in Rank)
ACCESS_NAMES = ("", "read", "write")
MIN_INSTANCES = 3
MAX_FLOOR_SUM = 1.0
FLOAT_TOLERANCE = 1e-9
MAX_LISTED_NAMES = 10  # known names in one error message

Address = ipaddress.IPv4Address | ipaddress.IPv6Address


class Problem(msgspec.Struct, frozen=True):
    """A field that fails a check.

    Parameters
    ----------
    path : str
        Path of the field, such as ``databases.orders.slots``.
    problem : str
        What was expected and what was found.
    """

    path: str
    problem: str


def _check_known(
    path: str, kind: str, name: str, known: Collection[str]
) -> Iterator[Problem]:
    if name not in known:
        listed = ", ".join(sorted(known)[:MAX_LISTED_NAMES]) or "none"
        yield Problem(path, f"expected a known {kind} ({listed}), found {name!r}")


def _check_regions(document: Document) -> Iterator[Problem]:
    if not document.regions:
        yield Problem("regions", "expected at least one region, found none")
    owner: dict[str, str] = {}
    for region, domains in document.regions.items():
        path = f"regions.{region}"
        if not domains:
            yield Problem(path, "expected at least one failure domain, found none")
        for index, domain in enumerate(domains):
            if domain in owner:
                yield Problem(
                    f"{path}[{index}]",
                    f"expected a failure domain of one region only, found {domain!r} "
                    f"in {owner[domain]} too",
                )
            owner.setdefault(domain, region)


def _parse_address(host: str) -> Address | None:
    try:
        return ipaddress.ip_address(host)
    except ValueError:
        return None


def _check_address(path: str, host: str, address: Address | None) -> Iterator[Problem]:
    if address is None:
        yield Problem(f"{path}.host", f"expected an IP address, found {host!r}")
    elif address.is_unspecified or address.is_multicast:
        yield Problem(f"{path}.host", f"expected the address of a host, found {host!r}")


def _check_instances(
    document: Document, path: str, database: DatabaseSection
) -> Iterator[Problem]:
    count = len(database.instances)
    if count < MIN_INSTANCES or count % 2 == 0:
        yield Problem(
            f"{path}.instances",
            f"expected an odd number of instances, at least {MIN_INSTANCES}, "
            f"found {count}",
        )
    for name, instance in database.instances.items():
        place = f"{path}.instances.{name}"
        yield from _check_known(
            f"{place}.region", "region", instance.region, document.regions
        )
        domains = document.regions.get(instance.region)
        if domains is not None:
            yield from _check_known(
                f"{place}.failure_domain",
                f"failure domain of region {instance.region}",
                instance.failure_domain,
                domains,
            )


def _check_databases(document: Document) -> Iterator[Problem]:
    for name, database in document.databases.items():
        path = f"databases.{name}"
        yield from _check_known(
            f"{path}.tenant", "tenant", database.tenant, document.tenants
        )
        if database.slots > database.connections:
            yield Problem(
                f"{path}.slots",
                f"expected at most the {database.connections} connections of an "
                f"instance, found {database.slots}",
            )
        yield from _check_instances(document, path, database)


def _check_addresses(document: Document) -> Iterator[Problem]:
    used: dict[tuple[Address, int], str] = {}
    for name, database in document.databases.items():
        for instance, section in database.instances.items():
            path = f"databases.{name}.instances.{instance}"
            address = _parse_address(section.host)
            yield from _check_address(path, section.host, address)
            if address is None:
                continue
            owner = used.setdefault((address, section.port), path)
            if owner is not path:
                yield Problem(
                    f"{path}.port",
                    f"expected an address of its own, found {section.host}:"
                    f"{section.port} of {owner}",
                )


def _check_users(path: str, tenant: TenantSection) -> Iterator[Problem]:
    for name, user in tenant.users.items():
        place = f"{path}.users.{name}.ranks"
        if not user.ranks:
            yield Problem(place, "expected at least one rank, found none")
        for index, rank in enumerate(user.ranks):
            yield from _check_known(f"{place}[{index}]", "rank", rank, RANK_NAMES)


def _has_replica(database: DatabaseSection) -> bool:
    return sum(not item.leaving for item in database.instances.values()) > 1


def _check_staleness(
    document: Document, tenant: str, path: str, rule: RuleSection
) -> Iterator[Problem]:
    if rule.max_staleness_s == 0:
        return
    place = f"{path}.max_staleness_s"
    if rule.access == "write":
        yield Problem(
            place, f"expected 0 in a rule for writes, found {rule.max_staleness_s}"
        )
    for name, database in document.databases.items():
        matched = name in rule.databases if rule.databases else True
        if not rule.databases and database.tenant != tenant:
            continue
        if matched and not _has_replica(database):
            yield Problem(
                place,
                f"expected a database with a replica that stays, found {name!r} "
                "without one",
            )


def _check_rule(
    document: Document, tenant: str, path: str, rule: RuleSection
) -> Iterator[Problem]:
    yield from _check_known(f"{path}.rank", "rank", rule.rank, RANK_NAMES)
    for index, name in enumerate(rule.databases):
        yield from _check_known(
            f"{path}.databases[{index}]", "database", name, document.databases
        )
    for index, name in enumerate(rule.users):
        yield from _check_known(
            f"{path}.users[{index}]", "user", name, document.tenants[tenant].users
        )
    if rule.access not in ACCESS_NAMES:
        yield Problem(
            f"{path}.access", f"expected read, write or empty, found {rule.access!r}"
        )
    yield from _check_staleness(document, tenant, path, rule)


def _check_rules(document: Document, name: str) -> Iterator[Problem]:
    rules = document.tenants[name].rules
    counts = Counter(rule.name for rule in rules)
    for index, rule in enumerate(rules):
        path = f"tenants.{name}.rules[{index}]"
        if counts[rule.name] > 1:
            yield Problem(
                f"{path}.name", f"expected a name of its own, found {rule.name!r} twice"
            )
        yield from _check_rule(document, name, path, rule)


def _check_tenants(document: Document) -> Iterator[Problem]:
    owner: dict[str, str] = {}
    for name, tenant in document.tenants.items():
        path = f"tenants.{name}"
        for user in tenant.users:
            if user in owner:
                yield Problem(
                    f"{path}.users.{user}",
                    "expected a user name of one tenant only, found it in "
                    f"{owner[user]} too",
                )
            owner.setdefault(user, name)
        yield from _check_users(path, tenant)
        yield from _check_rules(document, name)


def _check_ranks(document: Document) -> Iterator[Problem]:
    for name in document.ranks:
        yield from _check_known(f"ranks.{name}", "rank", name, RANK_NAMES)
    floors = [document.ranks.get(name, RankSection()).floor for name in RANK_NAMES]
    if sum(floors) > MAX_FLOOR_SUM + FLOAT_TOLERANCE:
        yield Problem(
            "ranks",
            f"expected floors with a sum of at most {MAX_FLOOR_SUM:g}, found "
            f"{sum(floors):g}; a rank that is left out counts with "
            f"{RankSection().floor:g}",
        )


def list_problems(document: Document) -> list[Problem]:
    """Return all inconsistencies between the fields."""
    return [
        *_check_regions(document),
        *_check_databases(document),
        *_check_addresses(document),
        *_check_tenants(document),
        *_check_ranks(document),
    ]


def check_document(document: Document) -> None:
    """Check the ranges of the fields and the consistency between them.

    Raises
    ------
    DocumentError
        With the first problem.
    """
    check_ranges(document)
    problems = list_problems(document)
    if problems:
        raise DocumentError(problems[0].path, problems[0].problem)


def parse_document(text: bytes, name: str) -> Document:
    """Parse a document and check it.

    Parameters
    ----------
    text : bytes
        Text in UTF-8 in YAML, TOML or JSON.
    name : str
        File name; its suffix selects the format.

    Raises
    ------
    DocumentError
        With the path of the field, the expected value and the value found.
    """
    document = convert_document(parse_text(text, name))
    check_document(document)
    return document
