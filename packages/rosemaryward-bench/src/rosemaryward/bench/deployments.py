"""The two example deployments with documents, tables, latencies and users."""

from pathlib import Path

import msgspec

from rosemaryward.decisions.document import Document, parse_document
from rosemaryward.decisions.types import Rank

__all__ = ["Deployment", "DEPLOYMENTS", "Latency", "example_password", "get_deployment"]


class Latency(msgspec.Struct, frozen=True, kw_only=True):
    """One-way latencies in seconds and the bandwidth between regions.

    Parameters
    ----------
    failure_domains : float
        Between failure domains of one region.
    regions : float
        Between regions.
    callers : float
        Between callers and proxies.
    region_bits_per_s : float
        Bandwidth in each direction, for all traffic between two regions.
    """

    failure_domains: float
    regions: float
    callers: float = 0.003
    region_bits_per_s: float = 15_000_000.0


class Deployment(msgspec.Struct, frozen=True, kw_only=True):
    """Example deployment.

    Parameters
    ----------
    name : str
        Name, also of the example document's file.
    latency : Latency
    tables : dict of Rank to str
        Table whose statements have this rank.
    users : dict of Rank to str
        User whose statements have this rank.
    proxies_per_domain : int
        Proxies in each failure domain.
    """

    name: str
    latency: Latency
    tables: dict[Rank, str]
    users: dict[Rank, str]
    proxies_per_domain: int = 2

    def document(self, folder: Path) -> Document:
        """Read and parse the example document from `folder`."""
        path = folder / f"{self.name}.yaml"
        return parse_document(path.read_bytes(), path.name)

    def table_definitions(self) -> list[str]:
        """Return the statements that create the tables of one database.

        Each insert has its own value of ``item``, which has no unique index, so a
        statement that runs twice leaves two rows.
        """
        return [
            f"CREATE TABLE IF NOT EXISTS {table} ("
            "id BIGINT UNSIGNED NOT NULL AUTO_INCREMENT, "
            "item VARCHAR(64) NOT NULL, session VARCHAR(64) NOT NULL, "
            "amount INT NOT NULL, body TEXT NOT NULL, made DATETIME, "
            f"PRIMARY KEY (id), KEY item (item)) ENGINE=InnoDB"
            for table in self.tables.values()
        ]


def example_password(user: str) -> str:
    """Return the password of a user in the example documents."""
    return f"{user}-example"


DEPLOYMENTS = {
    deployment.name: deployment
    for deployment in (
        Deployment(
            name="dat-mun-xanh",
            latency=Latency(failure_domains=0.0015, regions=0.008),
            tables={
                Rank.URGENT: "bookings",
                Rank.NORMAL: "credits",
                Rank.BULK: "route_sheets",
            },
            users={
                Rank.URGENT: "bookings",
                Rank.NORMAL: "credits",
                Rank.BULK: "routes",
            },
        ),
        Deployment(
            name="derwent",
            latency=Latency(failure_domains=0.0005, regions=0.008),
            tables={
                Rank.URGENT: "orders",
                Rank.NORMAL: "reservations",
                Rank.BULK: "stock",
            },
            users={
                Rank.URGENT: "orders",
                Rank.NORMAL: "reservations",
                Rank.BULK: "stock",
            },
        ),
    )
}


def get_deployment(name: str) -> Deployment:
    """Return a deployment by name.

    Raises
    ------
    ValueError
        If there is no deployment of this name.
    """
    try:
        return DEPLOYMENTS[name]
    except KeyError:
        known = ", ".join(DEPLOYMENTS)
        raise ValueError(
            f"--deployment: expected one of {known}, got {name!r}"
        ) from None
