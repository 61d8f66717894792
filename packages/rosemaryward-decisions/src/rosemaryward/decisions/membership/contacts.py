"""Addresses to contact in order to join the cluster or heal a partition."""

from collections.abc import Sequence

from rosemaryward.decisions.interfaces import ListedHost
from rosemaryward.decisions.membership.table import MemberTable
from rosemaryward.decisions.messages import Member, MemberState
from rosemaryward.decisions.types import Place

__all__ = ["Contacts"]

_UNKNOWN_INCARNATION = 0


class Contacts:
    """Addresses of seeds, of listed hosts and of dead members.

    Parameters
    ----------
    table : MemberTable
    seeds : sequence of (str, int)
        Address and gossip port of each seed.
    """

    __slots__ = ("_listed", "seeds", "table")

    def __init__(self, table: MemberTable, seeds: Sequence[tuple[str, int]]) -> None:
        self.table = table
        self.seeds = list(seeds)
        self._listed: dict[str, ListedHost] = {}

    def replace_listed_hosts(self, hosts: Sequence[ListedHost]) -> list[ListedHost]:
        """Replace the platform's list and return the hosts newly marked as leaving."""
        before, self._listed = self._listed, {host.host_id: host for host in hosts}
        return [
            host
            for host in hosts
            if host.leaving
            and not (host.host_id in before and before[host.host_id].leaving)
        ]

    def rejoin_candidates(self) -> list[Member]:
        """Return one entry for each known address that no present member has."""
        present = {(m.host, m.gossip_port) for m in self.table.present()}
        absent = {(m.host, m.gossip_port): m for m in self.table.dead()}
        for host in self._listed.values():
            address = (host.host, host.gossip_port)
            absent.setdefault(address, _contact_entry(*address))
        for seed in self.seeds:
            absent.setdefault(seed, _contact_entry(*seed))
        return [member for address, member in absent.items() if address not in present]


def _contact_entry(host: str, port: int) -> Member:
    """Return a placeholder for an address whose member is not known."""
    place = Place("", "")
    host_id = f"{host}:{port}"
    return Member(
        host_id, _UNKNOWN_INCARNATION, MemberState.ALIVE, place, host, 0, port
    )
