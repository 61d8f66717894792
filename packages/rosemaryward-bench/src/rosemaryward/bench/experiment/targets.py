"""Symbolic names of the targets of faults.

A name is read from its end: ``owner of primary of first database`` is the proxy
that owns the primary of the first database. ``near`` selects
replicas in the region of the database's primary, ``remote`` those outside it.
"""

from collections.abc import Callable, Mapping
from enum import StrEnum

import msgspec

from rosemaryward.bench.launch.state import (
    RunningDeployment,
    RunningEndpoint,
    RunningProxy,
)

__all__ = ["Selection", "TargetError", "Targets", "Kind", "node_name"]

ALL_NODES = "*"
ORDINALS = ("first", "second", "third")
STORE_NODE = "platform"


class TargetError(ValueError):
    """A symbolic name is unknown or selects nothing."""


class Kind(StrEnum):
    """Type of the items in a selection."""

    DATABASES = "databases"
    ENDPOINTS = "endpoints"
    PROXIES = "proxies"
    PLACES = "places"


class Selection(msgspec.Struct, frozen=True):
    """Items that a symbolic name selects.

    Parameters
    ----------
    kind : Kind
    databases, places : tuple of str
        Names; places are failure domains, regions or nodes of the relay.
    endpoints : tuple of RunningEndpoint
    proxies : tuple of RunningProxy
    """

    kind: Kind
    databases: tuple[str, ...] = ()
    endpoints: tuple[RunningEndpoint, ...] = ()
    proxies: tuple[RunningProxy, ...] = ()
    places: tuple[str, ...] = ()

    @property
    def nodes(self) -> list[str]:
        """Names of the selected items at the relay."""
        return [
            *(node_name(endpoint) for endpoint in self.endpoints),
            *(proxy.host_id for proxy in self.proxies),
            *self.places,
        ]

    @property
    def processes(self) -> list[RunningEndpoint | RunningProxy]:
        """Selected endpoints and proxies."""
        return [*self.endpoints, *self.proxies]

    @property
    def pids(self) -> list[int]:
        """Process ids of the selected endpoints and proxies."""
        return [process.pid for process in self.processes]


def node_name(endpoint: RunningEndpoint) -> str:
    """Return the name of an instance at the relay."""
    return f"{endpoint.database}-{endpoint.instance}"


class Targets:
    """Resolves symbolic names for the present state.

    Parameters
    ----------
    running : RunningDeployment
    primaries : mapping of str to RunningEndpoint
        Present primary by database.
    owners : mapping
        Host id of the owner by database and instance.
    """

    def __init__(
        self,
        running: RunningDeployment,
        primaries: Mapping[str, RunningEndpoint],
        owners: Mapping[tuple[str, str], str],
    ) -> None:
        self.running = running
        self.primaries = primaries
        self.owners = owners
        self.selectors: dict[str, Callable[[Selection], Selection]] = {
            "primary": self.primary,
            "replica": lambda selection: self.replicas(selection, near=None),
            "near replica": lambda selection: self.replicas(selection, near=True),
            "remote replica": lambda selection: self.replicas(selection, near=False),
            "owner": self.owner,
            "failure domain": self.failure_domain,
            "region": self.region,
            "proxies": self.proxies,
            "instances": self.instances,
        }

    def resolve(self, name: str) -> Selection:
        """Return the items that a name selects.

        Raises
        ------
        TargetError
            If a part of the name is unknown or selects nothing.
        """
        *parts, last = name.split(" of ")
        selection = self.resolve_base(last)
        for part in reversed(parts):
            if part not in self.selectors:
                raise TargetError(f"target: unknown part {part!r} of {name!r}")
            selection = self.selectors[part](selection)
        if not (selection.databases or selection.nodes):
            raise TargetError(f"target: {name!r} selects nothing")
        return selection

    def resolve_base(self, name: str) -> Selection:
        """Return the items that the last part of a name selects."""
        if name == ALL_NODES:
            return Selection(Kind.PLACES, places=(ALL_NODES,))
        if name == "store":
            return Selection(Kind.PLACES, places=(STORE_NODE,))
        if name == "each database":
            return Selection(Kind.DATABASES, databases=tuple(self.running.databases))
        ordinal, _, what = name.partition(" ")
        if what == "database" and ordinal in (*ORDINALS, "last"):
            index = -1 if ordinal == "last" else ORDINALS.index(ordinal)
            return Selection(Kind.DATABASES, databases=(self.running.databases[index],))
        regions = list(dict.fromkeys(item.region for item in self.running.proxies))
        if what == "region" and ordinal in ORDINALS[: len(regions)]:
            place = regions[ORDINALS.index(ordinal)]
            return Selection(Kind.PLACES, places=(place,))
        raise TargetError(f"target: unknown name {name!r}")

    def primary(self, selection: Selection) -> Selection:
        """Return the primaries of databases."""
        found = tuple(self.primaries[name] for name in selection.databases)
        return Selection(Kind.ENDPOINTS, endpoints=found)

    def replicas(self, selection: Selection, near: bool | None) -> Selection:
        """Return one replica of each database.

        `near` restricts it to the region of the primary if True, to other regions
        if False.
        """
        found = []
        for database in selection.databases:
            primary = self.primaries[database]
            candidates = [
                item
                for item in self.running.endpoints
                if item.database == database
                and item.instance != primary.instance
                and (near is None or (item.region == primary.region) == near)
            ]
            found += candidates[:1]
        return Selection(Kind.ENDPOINTS, endpoints=tuple(found))

    def owner(self, selection: Selection) -> Selection:
        """Return the proxies that own endpoints."""
        names = [
            self.owners.get((item.database, item.instance), "")
            for item in selection.endpoints
        ]
        found = tuple(item for item in self.running.proxies if item.host_id in names)
        return Selection(Kind.PROXIES, proxies=found)

    def failure_domain(self, selection: Selection) -> Selection:
        """Return the failure domains of endpoints and proxies."""
        places = dict.fromkeys(item.failure_domain for item in selection.processes)
        return Selection(Kind.PLACES, places=tuple(places))

    def region(self, selection: Selection) -> Selection:
        """Return the regions of endpoints and proxies."""
        places = dict.fromkeys(item.region for item in selection.processes)
        return Selection(Kind.PLACES, places=tuple(places))

    def proxies(self, selection: Selection) -> Selection:
        """Return the proxies in places."""
        found = tuple(
            item for item in self.running.proxies if is_within(item, selection)
        )
        return Selection(Kind.PROXIES, proxies=found)

    def instances(self, selection: Selection) -> Selection:
        """Return the instances in places."""
        found = tuple(
            item for item in self.running.endpoints if is_within(item, selection)
        )
        return Selection(Kind.ENDPOINTS, endpoints=found)

    def other_places(self, places: tuple[str, ...]) -> list[str]:
        """Return the failure domains outside the given failure domains and regions."""
        domains = {item.failure_domain: item.region for item in self.running.proxies}
        return [
            domain
            for domain, region in domains.items()
            if domain not in places and region not in places
        ]


def is_within(item: RunningEndpoint | RunningProxy, selection: Selection) -> bool:
    """Return whether a process is in one of the selected places."""
    return item.failure_domain in selection.places or item.region in selection.places
