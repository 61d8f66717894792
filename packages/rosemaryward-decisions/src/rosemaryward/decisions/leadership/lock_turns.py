"""Order in which the members of the fleet try to acquire the failover lock.

Each attempt costs calls to the store, and a change of primary costs its holder a
request to every member. The members with the most capacity therefore come first, but
those whose process is new come last, since it may not acquire the lock yet.
"""

from rosemaryward.decisions.hashing import stable_hash
from rosemaryward.decisions.leadership.failover_lock import NEW_PROCESS_WAIT_S
from rosemaryward.decisions.leadership.members import MemberDirectory, MemberRecord

__all__ = ["acquire_delay_s"]

TURN_S = 0.7  # until a large fleet has seen the record of a new holder
MAX_TURNS = 8


def acquire_delay_s(members: MemberDirectory, name: str) -> float:
    """Return how long a member leaves a free lock to others, in seconds.

    Parameters
    ----------
    members : MemberDirectory
        Live members, among which the turns are given.
    name : str
        Name of the member.
    """

    def order(member: MemberRecord) -> tuple[bool, float, int]:
        age_s = members.clock() - members.observed_at[member.name]
        is_new = age_s < NEW_PROCESS_WAIT_S
        return is_new, -member.capacity, stable_hash(member.name)

    live = sorted(members.live_members(), key=order)
    names = [member.name for member in live[:MAX_TURNS]]
    turn = names.index(name) if name in names else MAX_TURNS
    return turn * TURN_S
