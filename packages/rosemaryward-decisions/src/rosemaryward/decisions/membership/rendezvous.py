"""Assignment of owners by weighted rendezvous hashing."""

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
    "ScoredPair",
    "assign_owners",
    "match_owners",
    "proximity",
    "proposer_order",
    "rank_members",
    "rendezvous_score",
    "select_across_regions",
    "weighted_score",
]

ScoredPair = tuple[float, str, str]
"""Score, instance and host id; pairs are matched in descending order."""

_HashedMember = tuple[int, str, float]
"""Host id hash, host id and weight of a member."""

_HASH_MASK = (1 << 64) - 1
_HASH_RANGE = float(1 << 64)
_HASH_MULTIPLIER = 0x9E3779B97F4A7C15  # odd, so multiplying loses none of the 64 bits
_SAME_DOMAIN, _SAME_REGION, _OTHER_REGION = 2, 1, 0
_member_hash = lru_cache(maxsize=20_000)(stable_hash)


def rendezvous_score(key_hash: int, member: Member) -> float:
    """Return the weighted score of a member for a key; the highest wins."""
    mixed_hash = (
        (key_hash ^ _member_hash(member.host_id)) * _HASH_MULTIPLIER
    ) & _HASH_MASK
    return weighted_score(mixed_hash, member.weight)


def weighted_score(mixed_hash: int, weight: float) -> float:
    """Return the score for a 64-bit hash; it grows with the hash and the weight."""
    fraction = (mixed_hash + 0.5) / _HASH_RANGE
    return -weight / math.log(fraction) if fraction < 1.0 else math.inf


def rank_members(key: str, members: Iterable[Member]) -> list[Member]:
    """Return the members in descending order of score for `key`."""
    key_hash = stable_hash(key)
    return sorted(
        members, key=lambda m: (rendezvous_score(key_hash, m), m.host_id), reverse=True
    )


class MemberPool:
    """Members grouped by place, shared by many assignments.

    Parameters
    ----------
    members : iterable of Member

    Attributes
    ----------
    weight : float or None
        Weight of all members, None if the weights differ. With equal weights the
        hashes order the members as the scores do, without a logarithm.
    size : int
        Number of members.
    """

    __slots__ = ("by_place", "size", "weight")

    def __init__(self, members: Iterable[Member]) -> None:
        self.by_place: dict[Place, list[_HashedMember]] = defaultdict(list)
        self.size = 0
        weights = set()
        for member in members:
            candidate = (_member_hash(member.host_id), member.host_id, member.weight)
            self.by_place[member.place].append(candidate)
            self.size += 1
            weights.add(member.weight)
        self.weight = weights.pop() if len(weights) == 1 else None

    def best_members(
        self, key_hash: int, section: InstanceSection, level: int, count: int
    ) -> list[tuple[float, str]]:
        """Return the highest scores of each place at one proximity, with host ids.

        Parameters
        ----------
        key_hash : int
            Hash of the instance.
        section : InstanceSection
        level : int
            Value of `proximity` that the members must have.
        count : int
            Limit of members per place.
        """
        found: list[tuple[float, str]] = []
        for place, candidates in self.by_place.items():
            if proximity(section, place) != level:
                continue
            scored: list[tuple[float, str]] = [
                (((key_hash ^ member_hash) * _HASH_MULTIPLIER) & _HASH_MASK, host_id)
                for member_hash, host_id, _ in candidates
            ]
            if self.weight is None:
                scored = [
                    (weighted_score(int(mixed_hash), candidate[2]), host_id)
                    for (mixed_hash, host_id), candidate in zip(
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

    Members in the instance's failure domain are preferred, then those in its
    region. No member owns two instances of the database while another owns none.

    Parameters
    ----------
    database : str
    instances : mapping of str to InstanceSection
    members : sequence of Member
        Live members; every proxy must pass the same ones.

    Returns
    -------
    dict of str to str
        Host id of the owner by instance; empty if there are no members.
    """
    return match_owners(database, instances, MemberPool(members))


def match_owners(
    database: str, instances: Mapping[str, InstanceSection], pool: MemberPool
) -> dict[str, str]:
    """Choose the owners as `assign_owners` does, from a member pool.

    Notes
    -----
    Pairs of instance and member are matched by proximity first and then by score.
    An instance whose failure domain has no members left therefore gets none that
    already owns a nearer instance, and a change of one member moves only the
    instances that gain or lose it.
    """
    owners: dict[str, str] = {}
    while pool.size and len(owners) < len(instances):
        assigned: set[str] = set()
        for level in (_SAME_DOMAIN, _SAME_REGION, _OTHER_REGION):
            unowned = {i: s for i, s in instances.items() if i not in owners}
            for _, instance, host_id in _best_pairs(
                database, unowned, pool, level, assigned
            ):
                if instance not in owners and host_id not in assigned:
                    owners[instance] = host_id
                    assigned.add(host_id)
    return {i: owners[i] for i in instances if i in owners}


def proposer_order(database: str, members: Sequence[Member]) -> list[str]:
    """Return the host ids in the order in which the members propose promotions."""
    return [m.host_id for m in rank_members(f"{database}\0proposer", members)]


def select_across_regions(ranked: Sequence[Member], count: int) -> list[Member]:
    """Return `count` ranked members, starting with the best one of each region."""
    regions: set[str] = set()
    best_of_regions = []
    for member in ranked:
        if member.place.region not in regions:
            regions.add(member.place.region)
            best_of_regions.append(member)
    chosen = {member.host_id for member in best_of_regions}
    others = [member for member in ranked if member.host_id not in chosen]
    return [*best_of_regions, *others][:count]


def proximity(section: InstanceSection, place: Place) -> int:
    """Return 2 in the instance's failure domain, 1 in its region, 0 elsewhere."""
    if place.region != section.region:
        return _OTHER_REGION
    if place.failure_domain != section.failure_domain:
        return _SAME_REGION
    return _SAME_DOMAIN


def _best_pairs(
    database: str,
    instances: Mapping[str, InstanceSection],
    pool: MemberPool,
    level: int,
    assigned: set[str],
) -> list[ScoredPair]:
    """Return the best pairs at one proximity in descending order.

    The other instances take at most one member each, and those in `assigned` are
    excluded, so the sum of both counts is enough candidates per instance.
    """
    pairs: list[ScoredPair] = []
    for instance, section in instances.items():
        key_hash = stable_hash(database, instance)
        best = pool.best_members(
            key_hash, section, level, len(instances) + len(assigned)
        )
        pairs += [
            (score, instance, host) for score, host in best if host not in assigned
        ]
    return sorted(pairs, reverse=True)
