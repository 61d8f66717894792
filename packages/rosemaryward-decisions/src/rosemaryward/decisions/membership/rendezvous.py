"""Owners by weighted rendezvous hashing."""

import heapq
import math
from collections import defaultdict
from collections.abc import Iterable, Mapping, Sequence
from functools import lru_cache

from rosemaryward.decisions.document.schema import InstanceSection
from rosemaryward.decisions.hashing import stable_hash
from rosemaryward.decisions.messages import Member
from rosemaryward.decisions.types import Place

__all__ = [
    "MemberPool",
    "Pair",
    "assign_owners",
    "match_owners",
    "nearness",
    "proposer_order",
    "rank_members",
    "rendezvous_score",
    "spread_over_regions",
    "weighted",
]

Pair = tuple[float, str, str]
"""Score, instance and host id; pairs are matched from the greatest one."""

_Candidate = tuple[int, str, float]
"""Hash, host id and weight of a member."""

_MASK = (1 << 64) - 1
_RANGE = float(1 << 64)
_FACTOR = 0x9E3779B97F4A7C15  # odd, so that the product keeps all 64 bits
_SAME_DOMAIN, _SAME_REGION, _ELSEWHERE = 2, 1, 0
_member_hash = lru_cache(maxsize=20_000)(stable_hash)


def rendezvous_score(key_hash: int, member: Member) -> float:
    """Return the weighted score of a member for a key; the highest wins."""
    mixed = ((key_hash ^ _member_hash(member.host_id)) * _FACTOR) & _MASK
    return weighted(mixed, member.weight)


def weighted(mixed: int, weight: float) -> float:
    """Return the score for a mixed hash, which grows with the hash and the weight."""
    share = (mixed + 0.5) / _RANGE
    return -weight / math.log(share) if share < 1.0 else math.inf


def rank_members(key: str, members: Iterable[Member]) -> list[Member]:
    """Return the members by descending score for `key`."""
    key_hash = stable_hash(key)
    return sorted(
        members, key=lambda m: (rendezvous_score(key_hash, m), m.host_id), reverse=True
    )


class MemberPool:
    """Members grouped by place, for many assignments over the same members.

    Parameters
    ----------
    members : iterable of Member

    Attributes
    ----------
    weight : float or None
        Weight of all members, None if they differ. With one weight the hashes
        order the members as the scores do and need no logarithm.
    """

    __slots__ = ("by_place", "size", "weight")

    def __init__(self, members: Iterable[Member]) -> None:
        self.by_place: dict[Place, list[_Candidate]] = defaultdict(list)
        self.size = 0
        weights = set()
        for member in members:
            candidate = (_member_hash(member.host_id), member.host_id, member.weight)
            self.by_place[member.place].append(candidate)
            self.size += 1
            weights.add(member.weight)
        self.weight = weights.pop() if len(weights) == 1 else None

    def best(
        self, key_hash: int, section: InstanceSection, near: int, count: int
    ) -> list[tuple[float, str]]:
        """Return the best scores and host ids at one nearness to an instance."""
        found: list[tuple[float, str]] = []
        for place, candidates in self.by_place.items():
            if nearness(section, place) != near:
                continue
            scored: list[tuple[float, str]] = [
                (((key_hash ^ member_hash) * _FACTOR) & _MASK, host_id)
                for member_hash, host_id, _ in candidates
            ]
            if self.weight is None:
                scored = [
                    (weighted(int(mixed), candidate[2]), host_id)
                    for (mixed, host_id), candidate in zip(
                        scored, candidates, strict=True
                    )
                ]
            found += heapq.nlargest(count, scored)
        return found


def assign_owners(
    database: str,
    instances: Mapping[str, InstanceSection],
    members: Sequence[Member],
) -> dict[str, str]:
    """Choose the owner of each instance of a database.

    A member in the instance's failure domain goes first, then one in its region.
    Nobody owns two instances of the database while another member owns none.

    Parameters
    ----------
    database : str
    instances : mapping of str to InstanceSection
    members : sequence of Member
        The live members, the same on every proxy.

    Returns
    -------
    dict of str to str
        Host id by instance; empty without members.
    """
    return match_owners(database, instances, MemberPool(members))


def match_owners(
    database: str, instances: Mapping[str, InstanceSection], pool: MemberPool
) -> dict[str, str]:
    """Choose the owners as `assign_owners` does, from a prepared pool.

    Notes
    -----
    The nearest pairs of instance and member are matched first, in the order of
    their scores. An instance whose own failure domain has lost its members thus
    takes no member that serves an instance nearby, and a change of one member
    moves only instances that gain or lose it.
    """
    owners: dict[str, str] = {}
    while pool.size and len(owners) < len(instances):
        used: set[str] = set()
        for near in (_SAME_DOMAIN, _SAME_REGION, _ELSEWHERE):
            free = {i: s for i, s in instances.items() if i not in owners}
            for _, instance, host_id in _pairs(database, free, pool, near, used):
                if instance not in owners and host_id not in used:
                    owners[instance] = host_id
                    used.add(host_id)
    return {i: owners[i] for i in instances if i in owners}


def proposer_order(database: str, members: Sequence[Member]) -> list[str]:
    """Return the host ids in the order in which they propose a promotion."""
    return [m.host_id for m in rank_members(f"{database}\0proposer", members)]


def spread_over_regions(ranked: Sequence[Member], count: int) -> list[Member]:
    """Return `count` of the ranked members, first the best one of each region."""
    regions: set[str] = set()
    firsts = []
    for member in ranked:
        if member.place.region not in regions:
            regions.add(member.place.region)
            firsts.append(member)
    chosen = {member.host_id for member in firsts}
    others = [member for member in ranked if member.host_id not in chosen]
    return [*firsts, *others][:count]


def nearness(section: InstanceSection, place: Place) -> int:
    """Return 2 within the instance's failure domain, 1 within its region, else 0."""
    if place.region != section.region:
        return _ELSEWHERE
    if place.failure_domain != section.failure_domain:
        return _SAME_REGION
    return _SAME_DOMAIN


def _pairs(
    database: str,
    instances: Mapping[str, InstanceSection],
    pool: MemberPool,
    near: int,
    used: set[str],
) -> list[Pair]:
    """Return the best pairs at one nearness, the greatest first.

    The other instances take at most one member each, and `used` names members that
    are taken already, so this many candidates are enough.
    """
    pairs: list[Pair] = []
    for instance, section in instances.items():
        key_hash = stable_hash(database, instance)
        best = pool.best(key_hash, section, near, len(instances) + len(used))
        pairs += [(score, instance, host) for score, host in best if host not in used]
    return sorted(pairs, reverse=True)
