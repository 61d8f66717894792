"""Symbolic names of what a fault affects.

A name is read from its end: ``owner of primary of first database`` is the proxy
that owns the primary of the first database. ``remote`` selects what is outside the
region of the database's primary, ``near`` what is inside it.
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

EVERYTHING = "*"
ORDINALS = ("first", "second", "third")
STORE_NODE = "platform"


class TargetError(ValueError):
    """A symbolic name selects nothing."""


class Kind(StrEnum):
    """What a selection contains."""

    DATABASES = "databases"
    ENDPOINTS = "endpoints"
    PROXIES = "proxies"
    PLACES = "places"


class Selection(msgspec.Struct, frozen=True):
    """Result of a name.

    Parameters
    ----------
    kind : Kind
    databases, places : tuple of str
        Places are failure domains, regions or nodes of the relay.
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
        """Selectors of the relay."""
        return [
            *(node_name(endpoint) for endpoint in self.endpoints),
            *(proxy.host_id for proxy in self.proxies),
            *self.places,
        ]

    @property
    def processes(self) -> list[RunningEndpoint | RunningProxy]:
        """Endpoints and proxies."""
        return [*self.endpoints, *self.proxies]

    @property
    def pids(self) -> list[int]:
        """Processes of endpoints and proxies."""
        return [process.pid for process in self.processes]


def node_name(endpoint: RunningEndpoint) -> str:
    """Return the name of an instance at the relay."""
    return f"{endpoint.database}-{endpoint.instance}"


class Targets:
    """Resolves names against the present state.

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
            "replica": lambda chosen: self.replicas(chosen, near=None),
            "near replica": lambda chosen: self.replicas(chosen, near=True),
            "remote replica": lambda chosen: self.replicas(chosen, near=False),
            "owner": self.owner,
            "failure domain": self.failure_domain,
            "region": self.region,
            "proxies": self.proxies,
            "instances": self.instances,
        }

    def resolve(self, name: str) -> Selection:
        """Return what a name selects now.

        Raises
        ------
        TargetError
            If a part of the name is unknown or selects nothing.
        """
        *parts, last = name.split(" of ")
        chosen = self.base(last)
        for part in reversed(parts):
            if part not in self.selectors:
                raise TargetError(f"target: unknown part {part!r} of {name!r}")
            chosen = self.selectors[part](chosen)
        if not (chosen.databases or chosen.nodes):
            raise TargetError(f"target: {name!r} selects nothing")
        return chosen

    def base(self, name: str) -> Selection:
        """Return what the end of a name selects."""
        if name == EVERYTHING:
            return Selection(Kind.PLACES, places=(EVERYTHING,))
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

    def primary(self, chosen: Selection) -> Selection:
        """Return the primaries of databases."""
        found = tuple(self.primaries[name] for name in chosen.databases)
        return Selection(Kind.ENDPOINTS, endpoints=found)

    def replicas(self, chosen: Selection, near: bool | None) -> Selection:
        """Return one replica of each database."""
        found = []
        for database in chosen.databases:
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

    def owner(self, chosen: Selection) -> Selection:
        """Return the owners of endpoints."""
        names = [
            self.owners.get((item.database, item.instance), "")
            for item in chosen.endpoints
        ]
        found = tuple(item for item in self.running.proxies if item.host_id in names)
        return Selection(Kind.PROXIES, proxies=found)

    def failure_domain(self, chosen: Selection) -> Selection:
        """Return the failure domains of endpoints and proxies."""
        places = dict.fromkeys(item.failure_domain for item in chosen.processes)
        return Selection(Kind.PLACES, places=tuple(places))

    def region(self, chosen: Selection) -> Selection:
        """Return the regions of endpoints and proxies."""
        places = dict.fromkeys(item.region for item in chosen.processes)
        return Selection(Kind.PLACES, places=tuple(places))

    def proxies(self, chosen: Selection) -> Selection:
        """Return the proxies in places."""
        found = tuple(item for item in self.running.proxies if within(item, chosen))
        return Selection(Kind.PROXIES, proxies=found)

    def instances(self, chosen: Selection) -> Selection:
        """Return the instances in places."""
        found = tuple(item for item in self.running.endpoints if within(item, chosen))
        return Selection(Kind.ENDPOINTS, endpoints=found)

    def other_places(self, places: tuple[str, ...]) -> list[str]:
        """Return the failure domains outside the given domains or regions."""
        domains = {item.failure_domain: item.region for item in self.running.proxies}
        return [
            domain
            for domain, region in domains.items()
            if domain not in places and region not in places
        ]


def within(item: RunningEndpoint | RunningProxy, chosen: Selection) -> bool:
    """Whether a process is in one of the selected places."""
    return item.failure_domain in chosen.places or item.region in chosen.places
