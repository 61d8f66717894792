"""Settings of the membership service."""

import msgspec

__all__ = ["MembershipSettings"]


class MembershipSettings(msgspec.Struct, frozen=True, kw_only=True):
    """Time and size limits of the membership service; times are in seconds.

    Parameters
    ----------
    probe_interval_s : float
        Time between two probes that this proxy sends.
    probe_timeout_s : float
        Time without an answer after which other members are asked to probe the target.
    answer_timeout_s : float
        Time after which an answer is ignored.
    indirect_probes : int
        Members that are asked to probe a member that did not answer.
    suspicion_timeout_s : float
        Time from the first unanswered probe until a member is declared dead.
    confirming_members : int
        Members in the whole cluster that also probe a suspected member.
    confirm_interval_s : float
        Time between two probes of a suspected member by one confirming member.
    fanout : int
        Members to which a change is pushed immediately.
    push_interval_s : float
        Shortest time between two pushes.
    updates_per_message : int
        Limit of member updates, and of primary records, in one message.
    retransmission_factor : int
        After the push, each update is sent ``retransmission_factor *
        log10(members + 1)`` more times.
    pause_tolerance_s : float
        Delay of the event loop beyond which the process counts as paused.
    rejoin_interval_s : float
        Time between two attempts to contact dead members and seeds.
    retention_s : float
        Time after which a dead member is removed from the table.
    pull_interval_s : float
        Shortest time between two full exchanges of the same kind of entries.
    pull_bytes_per_s : float
        Limit on the traffic of full exchanges in bytes per second, which makes them
        less frequent in a large cluster.
    join_timeout_s : float
        Longest wait for a first full exchange before this proxy acts on its table.
    max_members : int
        Size limit of the member table.
    """

    probe_interval_s: float = 0.25
    probe_timeout_s: float = 0.1
    answer_timeout_s: float = 0.5
    indirect_probes: int = 2
    suspicion_timeout_s: float = 0.75
    confirming_members: int = 6
    confirm_interval_s: float = 0.125
    fanout: int = 3
    push_interval_s: float = 0.02
    updates_per_message: int = 16
    retransmission_factor: int = 4
    pause_tolerance_s: float = 0.5
    rejoin_interval_s: float = 5.0
    retention_s: float = 7200.0
    pull_interval_s: float = 1.0
    pull_bytes_per_s: float = 4000.0
    join_timeout_s: float = 2.0
    max_members: int = 10_000

    @property
    def min_death_delay_s(self) -> float:
        """Shortest silence after which others may take over a member's endpoints."""
        return self.suspicion_timeout_s
